"""Statistics of a simulation run and tables over several runs."""

import statistics
from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.exceptions import ErrorKind
from scripts.measure_sites import SETTLE_MS, WARM_UP_MS, Request, Site, Window
from scripts.measure_upstreams import Fleet

_BALANCE_WINDOW_MS = 5000.0
_HISTOGRAM_MAX_US = 60_000_000
_FAST_MS = 300.0
# Failures of a rarely used key that are further apart don't show an outage in between.
_OUTAGE_GAP_MS = 5000.0


class Measure(NamedTuple):
    """Describe a measure: its name, its unit and whether lower is better."""

    name: str
    unit: str
    less_is_better: bool = True


MEASURES = (
    Measure("imbalance, keyed", "max/mean"),
    Measure("imbalance, pools", "max/mean"),
    Measure("churn", "moves"),
    Measure("longest unavailable time of a key", "ms"),
    Measure("served while a zone leaves and returns", "%", False),
    Measure("served", "%", False),
    Measure("p50 without stragglers", "ms"),
    Measure("p99 without stragglers", "ms"),
    Measure("p99.9 without stragglers", "ms"),
    Measure("p50 with stragglers", "ms"),
    Measure("p99 with stragglers", "ms"),
    Measure("p99.9 with stragglers", "ms"),
    Measure("p99 of urgent requests", "ms"),
    Measure("p99 with unserved at their deadline, calm", "ms"),
    Measure("p99 with unserved at their deadline, stragglers", "ms"),
    Measure("answered within 300 ms", "%", False),
    Measure("not served in time with stragglers", "%"),
    Measure("worst-served workspace", "%", False),
    Measure("wrongful refusals", "%"),
    Measure("rate overshoot", "requests"),
    Measure("cold overshoot", "requests"),
)
MUST_BE_ZERO = ("rate overshoot", "cold overshoot")


class _RateChecker:
    """Detect requests beyond rate and burst with a token bucket, over any window."""

    def __init__(self, rate_per_s: float, burst: int):
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._tokens = float(burst)
        self._updated_ms = 0.0

    def count_excess(self, now_ms: float) -> bool:
        """Count a request and return whether it exceeded the rate."""
        refill = (now_ms - self._updated_ms) * self._rate_per_ms
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated_ms = now_ms
        self._tokens -= 1.0
        if self._tokens >= -1e-6:
            return False
        self._tokens = 0.0
        return True


class _LatencyHistograms:
    """Hold latency histograms in microseconds, apart for times with stragglers."""

    def __init__(self) -> None:
        self.normal = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        self.stragglers = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        self.urgent = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        # These count unserved requests at their timeout: by its served requests alone,
        # a version that refuses many would look fast.
        self.all_normal = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        self.all_stragglers = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)

    @staticmethod
    def percentile_ms(histogram: Any, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return histogram.get_value_at_percentile(percentile) / 1000.0


class _Outage:
    """Track the longest time for which a key is not served."""

    __slots__ = ("last_ms", "longest_ms", "since_ms")

    def __init__(self) -> None:
        self.since_ms: float | None = None
        self.last_ms = 0.0
        self.longest_ms = 0.0

    def extend(self, at_ms: float, now_ms: float) -> None:
        """Extend the current outage by a failed request, or start one."""
        if self.since_ms is None or at_ms - self.last_ms > _OUTAGE_GAP_MS:
            self.since_ms = at_ms
        self.last_ms = now_ms
        self.longest_ms = max(self.longest_ms, now_ms - self.since_ms)

    def end(self, latency_ms: float) -> None:
        """End the current outage."""
        self.since_ms = None
        self.longest_ms = max(self.longest_ms, latency_ms)


class RunStats:
    """Collect the statistics of the requests of one run."""

    def __init__(self, site: Site):
        self._site = site
        self._checks = {
            w.name: _RateChecker(w.rate_per_s, w.burst)
            for w in site.settings.workspaces
        }
        self._rate_overshoot = 0
        self._moves = 0
        self._latencies = _LatencyHistograms()
        self._outages: dict[str, _Outage] = {}
        self._in_rate: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._window_counts: Counter[tuple[str, bool]] = Counter()
        self.refused: Counter[str] = Counter()

    def count_admitted(self, workspace: str, now_ms: float) -> None:
        """Count a request that took a rate token."""
        self._rate_overshoot += self._checks[workspace].count_excess(now_ms)

    def count_move(self, now_ms: float) -> None:
        """Count a partition that moved to another upstream, after the warm-up."""
        self._moves += now_ms >= WARM_UP_MS

    def count_finished(
        self, req: Request, kind: ErrorKind | None, now_ms: float
    ) -> None:
        """Count a finished request: served if `kind` is None, else its error."""
        self._in_rate[req.workspace] += req.in_rate
        self._served[req.workspace] += kind is None
        is_noisy = req.workspace == self._site.noisy_workspace
        if is_noisy and self._site.plan.noisy_workspace.contains(req.at_ms):
            # Which requests exceed the rate depends on the order of token grants.
            return
        self._count_windows(req, kind)
        if kind is not None:
            self.refused[kind.value] += 1
        if req.key and kind is not ErrorKind.RATE_EXCEEDED:
            self._count_outage(req, kind, now_ms)
        self._record_latency(req, kind is None, now_ms - req.at_ms)

    def _count_windows(self, req: Request, kind: ErrorKind | None) -> None:
        plan = self._site.plan
        zone_out = plan.zone_out_window
        served = kind is None
        self._window_counts["all", served] += 1
        if Window(zone_out.start_ms, zone_out.end_ms + SETTLE_MS).contains(req.at_ms):
            self._window_counts["zone", served] += 1
        if any(w.contains(req.at_ms) for w in plan.straggler_windows):
            self._window_counts["stragglers", served] += 1

    def _count_outage(
        self, req: Request, kind: ErrorKind | None, now_ms: float
    ) -> None:
        outage = self._outages.setdefault(req.key, _Outage())
        if kind is None:
            outage.end(now_ms - req.at_ms)
        else:
            outage.extend(req.at_ms, now_ms)

    def _record_latency(self, req: Request, served: bool, latency_ms: float) -> None:
        has_stragglers = any(
            w.contains(req.at_ms) for w in self._site.plan.straggler_windows
        )
        latencies = self._latencies
        self._window_counts["fast", served and latency_ms <= _FAST_MS] += 1
        latency_us = max(1, int(latency_ms * 1000))
        if served:
            (latencies.stragglers if has_stragglers else latencies.normal).record_value(
                latency_us
            )
        if served and req.urgent:
            latencies.urgent.record_value(latency_us)
        counted_us = latency_us if served else int(req.timeout_ms * 1000)
        all_requests = (
            latencies.all_stragglers if has_stragglers else latencies.all_normal
        )
        all_requests.record_value(counted_us)

    def figures(self, fleet: Fleet) -> dict[str, float]:
        """Return the measures of the run by name."""
        normal, stragglers = self._latencies.normal, self._latencies.stragglers
        ms = self._latencies.percentile_ms
        overshoot = sum(up.cold_overshoot for up in fleet.upstreams.values())
        values = (
            self._imbalance(fleet, ServiceKind.KEYED),
            self._imbalance(fleet, ServiceKind.POOL),
            self._moves,
            max((o.longest_ms for o in self._outages.values()), default=0.0),
            self._served_share("zone"),
            self._served_share("all"),
            ms(normal, 50),
            ms(normal, 99),
            ms(normal, 99.9),
            ms(stragglers, 50),
            ms(stragglers, 99),
            ms(stragglers, 99.9),
            ms(self._latencies.urgent, 99),
            ms(self._latencies.all_normal, 99),
            ms(self._latencies.all_stragglers, 99),
            self._served_share("fast"),
            100.0 - self._served_share("stragglers"),
            self._worst_workspace_share(),
            100.0 - self._served_share("all"),
            self._rate_overshoot,
            overshoot,
        )
        names = (measure.name for measure in MEASURES)
        return dict(zip(names, map(float, values), strict=True))

    def refusal_shares(self) -> dict[str, float]:
        """Return the percentage of counted requests that ended with each error kind."""
        total = self._window_counts["all", True] + self._window_counts["all", False]
        return {
            kind: 100.0 * count / max(1, total)
            for kind, count in sorted(self.refused.items())
        }

    def _served_share(self, name: str) -> float:
        served, unserved = (
            self._window_counts[name, True],
            self._window_counts[name, False],
        )
        return 100.0 * served / max(1, served + unserved)

    def _worst_workspace_share(self) -> float:
        shares = [
            min(1.0, self._served[name] / count)
            for name, count in self._in_rate.items()
            if name and count
        ]
        return 100.0 * min(shares, default=1.0)

    def _imbalance(self, fleet: Fleet, kind: ServiceKind) -> float:
        """Return the mean over windows of the ratio of the largest load to the mean."""
        plan, ratios = self._site.plan, []
        start_ms = WARM_UP_MS
        services = {up.service.name for up in fleet.of_kind(kind)}
        while start_ms + _BALANCE_WINDOW_MS <= plan.end_ms:
            window = Window(start_ms, start_ms + _BALANCE_WINDOW_MS)
            for service in sorted(services):
                counts = [
                    sum(map(window.contains, up.started))
                    for up in fleet.of_kind(kind)
                    if up.service.name == service
                ]
                nonzero_counts = [count for count in counts if count]
                if nonzero_counts:
                    ratios.append(
                        max(nonzero_counts) / statistics.fmean(nonzero_counts)
                    )
            start_ms += _BALANCE_WINDOW_MS
        return statistics.fmean(ratios) if ratios else 0.0


def worst_value(measure: Measure, values: list[float]) -> float:
    """Return the worst of a measure's values."""
    return max(values) if measure.less_is_better else min(values)


def table_rows(runs: dict[str, list[dict[str, float]]]) -> list[list[object]]:
    """Return a row per measure with the median and worst value of each version."""
    rows: list[list[object]] = []
    for measure in MEASURES:
        row: list[object] = [measure.name, measure.unit]
        for figures in runs.values():
            values = [item[measure.name] for item in figures]
            row += [
                round(statistics.median(values), 2),
                round(worst_value(measure, values), 2),
            ]
        rows.append(row)
    return rows


def refusal_rows(runs: dict[str, list[dict[str, float]]]) -> list[list[object]]:
    """Return a row per error kind with the median and worst share of each version."""
    kinds = sorted({kind for items in runs.values() for item in items for kind in item})
    rows: list[list[object]] = []
    for kind in kinds:
        row: list[object] = [f"not served: {kind}", "%"]
        for items in runs.values():
            values = [item.get(kind, 0.0) for item in items]
            row += [round(statistics.median(values), 3), round(max(values), 3)]
        rows.append(row)
    return rows
