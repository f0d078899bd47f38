"""Choice of an upstream for a permit, with stragglers set aside for a while."""

import random
from collections.abc import Collection, Iterable
from statistics import median
from typing import NamedTuple

from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_load import UpstreamLoad

# An upstream this many times slower than the median of its pool is a straggler.
_STRAGGLER_FACTOR = 3.0
# Differences below this are noise of scheduling, whatever their ratio.
_STRAGGLER_MIN_MS = 10.0
_ASIDE_MS = 1000.0
# A report that shows no free slot makes an unobserved upstream look this much slower.
_FULL_HINT_FACTOR = 2.0
_NOISE = 0.05


class PoolLatency(NamedTuple):
    """Hold the median and the least of the upstreams' recent latencies, or 0."""

    usual_ms: float
    best_ms: float


def pool_latency(pool: Iterable[UpstreamLoad], now_ms: float) -> PoolLatency:
    """Return the latencies of a pool, from fresh observations where there are any."""
    known = [load.observed for load in pool if load.observed.latency_ms() > 0]
    fresh = [item for item in known if item.has_fresh_latency(now_ms)]
    latencies = [item.latency_ms() for item in fresh or known]
    if not latencies:
        return PoolLatency(0.0, 0.0)
    return PoolLatency(median(latencies), min(latencies))


def expected_ms(load: UpstreamLoad, pool: PoolLatency, now_ms: float) -> float:
    """Return the latency to expect of an upstream that runs nothing else.

    One that is little known counts as good as the best, so that it is tried. One
    whose request runs unusually long shows its latency before that request ends.
    """
    latency_ms = load.observed.expected_latency_ms(pool.best_ms or 1.0, now_ms)
    age_ms = load.oldest_age_ms(now_ms)
    if _is_slow(age_ms, pool.usual_ms):
        latency_ms = max(latency_ms, age_ms)
    hint = load.observed.usable_hint(now_ms)
    if hint is not None and hint.in_flight >= hint.slots:
        latency_ms *= _FULL_HINT_FACTOR
    return latency_ms


class StragglerWatch:
    """Set aside slow upstreams of a pool, never more than a third of it at once."""

    def __init__(self) -> None:
        self._aside_until_ms: dict[str, float] = {}

    def is_aside(self, upstream: str) -> bool:
        """Tell whether an upstream counts as set aside, probing included."""
        return upstream in self._aside_until_ms

    def aside_count(self) -> int:
        """Return how many upstreams are set aside."""
        return len(self._aside_until_ms)

    def admits(self, load: UpstreamLoad, now_ms: float) -> bool:
        """Tell whether an upstream may get a request: a single probe after a pause."""
        if not self._aside_until_ms:
            return True
        until_ms = self._aside_until_ms.get(load.row.upstream)
        if until_ms is None:
            return True
        return now_ms >= until_ms and load.in_flight == 0

    def forget(self, upstream: str) -> None:
        """Drop what is known about an upstream that left or restarted."""
        self._aside_until_ms.pop(upstream, None)

    def probe_ended(
        self, load: UpstreamLoad, latency_ms: float, others_ms: float, now_ms: float
    ) -> None:
        """Judge an upstream that is set aside by its single request."""
        upstream = load.row.upstream
        until_ms = self._aside_until_ms.get(upstream)
        if until_ms is None or now_ms < until_ms:
            return
        if _is_slow(latency_ms, others_ms):
            self._aside_until_ms[upstream] = now_ms + _ASIDE_MS
        else:
            del self._aside_until_ms[upstream]

    def judge(
        self, pool: Collection[UpstreamLoad], usual_ms: float, now_ms: float
    ) -> None:
        """Set aside the slowest stragglers while a third of the pool allows it."""
        room = len(pool) // 3 - len(self._aside_until_ms)
        if room <= 0:
            return
        stragglers = [
            load
            for load in pool
            if not self.is_aside(load.row.upstream)
            and load.observed.has_enough_samples(now_ms)
            and _is_slow(load.observed.latency_ms(), usual_ms)
        ]
        stragglers.sort(key=lambda load: load.observed.latency_ms(), reverse=True)
        for load in stragglers[:room]:
            self._aside_until_ms[load.row.upstream] = now_ms + _ASIDE_MS


def choose_upstream(
    pool: Iterable[UpstreamLoad],
    entry: EntryId,
    excluded: Collection[str],
    watch: StragglerWatch,
    rng: random.Random,
    now_ms: float,
) -> UpstreamLoad | None:
    """Return the upstream with a free slot and the least expected time, or None."""
    best: UpstreamLoad | None = None
    best_ms = float("inf")
    for load in pool:
        free = load.free_slots(now_ms)
        if free <= 0 or (excluded and load.row.upstream in excluded):
            continue
        if not load.connections.can_open(entry, load.in_flight):
            continue
        if not watch.admits(load, now_ms):
            continue
        busy = load.in_flight / (load.in_flight + free)
        # A little noise spreads equal upstreams evenly.
        wait_ms = load.expected_ms * (1.0 + busy) * (1.0 + _NOISE * rng.random())
        if wait_ms < best_ms:
            best, best_ms = load, wait_ms
    return best


def _is_slow(latency_ms: float, usual_ms: float) -> bool:
    slow_ms = max(_STRAGGLER_FACTOR * usual_ms, usual_ms + _STRAGGLER_MIN_MS)
    return usual_ms > 0 and latency_ms > slow_ms
