"""Upstream selection for permits, with temporary ejection of latency outliers."""

import random
from collections.abc import Collection, Iterable
from statistics import median
from typing import NamedTuple

from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_load import UpstreamLoad

# An upstream slower than the median of its pool by this factor is an outlier.
_OUTLIER_FACTOR = 3.0
# Smaller differences are scheduling noise, whatever their ratio.
_OUTLIER_MIN_MS = 10.0
_EJECTION_MS = 1000.0
# Factor on the expected latency if a load report shows no free slot and there are no
# fresh observations.
_FULL_HINT_FACTOR = 2.0
_JITTER = 0.05


class PoolLatency(NamedTuple):
    """Median and minimum of the upstreams' recent latencies; 0 if there are none."""

    median_ms: float
    min_ms: float


def pool_latency(pool: Iterable[UpstreamLoad], now_ms: float) -> PoolLatency:
    """Return the latencies of a pool, preferring fresh observations."""
    known = [load.observed for load in pool if load.observed.latency_ms() > 0]
    fresh = [item for item in known if item.has_fresh_latency(now_ms)]
    latencies = [item.latency_ms() for item in fresh or known]
    if not latencies:
        return PoolLatency(0.0, 0.0)
    return PoolLatency(median(latencies), min(latencies))


def expected_ms(load: UpstreamLoad, pool: PoolLatency, now_ms: float) -> float:
    """Return the expected latency of an upstream without other requests.

    With few samples it is close to the lowest of the pool, so that the upstream gets
    tried. A request that runs unusually long counts before it ends.
    """
    latency_ms = load.observed.expected_latency_ms(pool.min_ms or 1.0, now_ms)
    age_ms = load.oldest_age_ms(now_ms)
    if _is_outlier(age_ms, pool.median_ms):
        latency_ms = max(latency_ms, age_ms)
    hint = load.observed.usable_hint(now_ms)
    if hint is not None and hint.in_flight >= hint.slots:
        latency_ms *= _FULL_HINT_FACTOR
    return latency_ms


class OutlierDetector:
    """Eject slow upstreams of a pool, at most a third of the pool at once."""

    def __init__(self) -> None:
        self._ejected_until_ms: dict[str, float] = {}

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected, including while it is probed."""
        return upstream in self._ejected_until_ms

    def ejected_count(self) -> int:
        """Return the number of ejected upstreams."""
        return len(self._ejected_until_ms)

    def may_receive(self, load: UpstreamLoad, now_ms: float) -> bool:
        """Return whether an upstream may receive a request.

        An ejected one receives a single probe request once its ejection time is over.
        """
        if not self._ejected_until_ms:
            return True
        until_ms = self._ejected_until_ms.get(load.row.upstream)
        if until_ms is None:
            return True
        return now_ms >= until_ms and load.in_flight == 0

    def remove(self, upstream: str) -> None:
        """Remove the state of an upstream that left or restarted."""
        self._ejected_until_ms.pop(upstream, None)

    def record_probe(
        self, load: UpstreamLoad, latency_ms: float, median_ms: float, now_ms: float
    ) -> None:
        """Readmit an ejected upstream or eject it again, based on its probe request."""
        upstream = load.row.upstream
        until_ms = self._ejected_until_ms.get(upstream)
        if until_ms is None or now_ms < until_ms:
            return
        if _is_outlier(latency_ms, median_ms):
            self._ejected_until_ms[upstream] = now_ms + _EJECTION_MS
        else:
            del self._ejected_until_ms[upstream]

    def eject_outliers(
        self, pool: Collection[UpstreamLoad], median_ms: float, now_ms: float
    ) -> None:
        """Eject the slowest outliers, up to a third of the pool."""
        max_ejections = len(pool) // 3 - len(self._ejected_until_ms)
        if max_ejections <= 0:
            return
        outliers = [
            load
            for load in pool
            if not self.is_ejected(load.row.upstream)
            and load.observed.has_enough_samples(now_ms)
            and _is_outlier(load.observed.latency_ms(), median_ms)
        ]
        outliers.sort(key=lambda load: load.observed.latency_ms(), reverse=True)
        for load in outliers[:max_ejections]:
            self._ejected_until_ms[load.row.upstream] = now_ms + _EJECTION_MS


def select_upstream(
    pool: Iterable[UpstreamLoad],
    entry: EntryId,
    excluded: Collection[str],
    outliers: OutlierDetector,
    rng: random.Random,
    now_ms: float,
) -> UpstreamLoad | None:
    """Return the upstream with a free slot and the lowest expected time, or None."""
    best: UpstreamLoad | None = None
    best_cost_ms = float("inf")
    for load in pool:
        free = load.free_slots(now_ms)
        if free <= 0 or (excluded and load.row.upstream in excluded):
            continue
        if not load.connections.can_open(entry, load.in_flight):
            continue
        if not outliers.may_receive(load, now_ms):
            continue
        utilization = load.in_flight / (load.in_flight + free)
        # Jitter spreads requests evenly over equally loaded upstreams.
        cost_ms = (
            load.expected_ms * (1.0 + utilization) * (1.0 + _JITTER * rng.random())
        )
        if cost_ms < best_cost_ms:
            best, best_cost_ms = load, cost_ms
    return best


def _is_outlier(latency_ms: float, median_ms: float) -> bool:
    threshold_ms = max(_OUTLIER_FACTOR * median_ms, median_ms + _OUTLIER_MIN_MS)
    return median_ms > 0 and latency_ms > threshold_ms
