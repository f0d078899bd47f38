"""Upstreams of one permit shard and their requests in flight."""

import random
from collections.abc import Collection, Iterable, Iterator

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.connection_count import ConnectionUse
from bergamotdrift.messages import UpstreamRow
from bergamotdrift.observations import LoadHint
from bergamotdrift.permit_queue import Waiter
from bergamotdrift.permit_table import Permit
from bergamotdrift.shard_view import ShardView
from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_load import UpstreamLoad
from bergamotdrift.upstream_selection import (
    OutlierDetector,
    PoolLatency,
    expected_ms,
    pool_latency,
    select_upstream,
)

_EVALUATION_INTERVAL_MS = 20.0
# The best of a sample of this size is nearly as good as the best of the whole pool.
_SAMPLE_SIZE = 16


class UpstreamPool:
    """Select upstreams for queued requests and count the requests in flight."""

    def __init__(self, view: ShardView, rng: random.Random, now_ms: float):
        self._service = view.service
        self._rng = rng
        self._loads: dict[str, UpstreamLoad] = {}
        self._load_list: list[UpstreamLoad] = []
        self._adopted: dict[str, int] = {}
        self._outliers = OutlierDetector()
        self._latency = PoolLatency(0.0, 0.0)
        self._evaluated_at_ms = float("-inf")
        self.selected: UpstreamLoad | None = None
        self.update(view, (), now_ms)

    def __iter__(self) -> Iterator[UpstreamLoad]:
        return iter(self._loads.values())

    def is_known(self, upstream: str) -> bool:
        """Return whether control lists the upstream."""
        return upstream in self._loads

    def get(self, upstream: str) -> UpstreamLoad | None:
        """Return the load of a listed upstream, or None."""
        return self._loads.get(upstream)

    def has_open_upstream(self) -> bool:
        """Return whether any listed upstream accepts new requests."""
        return any(not load.is_closed for load in self._loads.values())

    def allowed_slots(self, now_ms: float) -> int:
        """Return how many requests all upstreams together may have in flight now."""
        return sum(
            load.ramp.allowed(now_ms)
            for load in self._loads.values()
            if not load.is_closed and not load.is_down
        )

    def with_free_slots(
        self, now_ms: float, only: str | None = None
    ) -> list[UpstreamLoad]:
        """Return the upstreams with a free slot, limited to `only` if given."""
        if only is None:
            return [load for load in self._load_list if load.free_slots(now_ms) > 0]
        load = self._loads.get(only)
        return [load] if load is not None and load.free_slots(now_ms) > 0 else []

    def select(
        self, waiter: Waiter, now_ms: float, among: list[UpstreamLoad] | None = None
    ) -> bool:
        """Set `selected` to an upstream for a waiter and return whether there is one.

        A large pool is sampled first: a contiguous run from a random start.
        """
        self._evaluate(now_ms)
        pool = self._load_list if among is None else among
        self.selected = None
        if len(pool) > _SAMPLE_SIZE:
            start = int(self._rng.random() * len(pool))
            sample = pool[start : start + _SAMPLE_SIZE]
            sample += pool[: _SAMPLE_SIZE - len(sample)]
            self.selected = self._select(sample, waiter, now_ms)
        if self.selected is None:
            self.selected = self._select(pool, waiter, now_ms)
        return self.selected is not None

    def _select(
        self, pool: list[UpstreamLoad], waiter: Waiter, now_ms: float
    ) -> UpstreamLoad | None:
        return select_upstream(
            pool,
            waiter.entry,
            self._effective_exclusions(waiter.req.excluded),
            self._outliers,
            self._rng,
            now_ms,
        )

    def _effective_exclusions(self, excluded: Collection[str]) -> Collection[str]:
        """Return the excluded upstreams, or none if that would exclude all."""
        if not excluded:
            return excluded
        has_other = any(
            not load.is_closed and not load.is_down and name not in excluded
            for name, load in self._loads.items()
        )
        return excluded if has_other else ()

    def start(self, load: UpstreamLoad, entry: EntryId) -> ConnectionUse:
        """Count a request as started."""
        load.in_flight += 1
        return load.connections.start_request(entry)

    def end(self, permit: Permit, kept: bool) -> None:
        """Count a request as ended."""
        load = self._loads.get(permit.upstream)
        if load is None:
            return
        load.in_flight -= 1
        load.started_ms.pop(permit.permit, None)
        load.connections.end_request(permit.entry, permit.use, kept)

    def adopt(self, permit: Permit) -> None:
        """Count a request that a previous arbiter permitted."""
        load = self._loads.get(permit.upstream)
        if load is None:
            return
        load.in_flight += 1
        load.started_ms[permit.permit] = permit.granted_at_ms
        self._adopted[permit.upstream] = self._adopted.get(permit.upstream, 0) + 1

    def raise_ramps_to_adopted(self, now_ms: float) -> None:
        """Raise the ramps to the requests that upstreams were found to run."""
        for upstream, running in self._adopted.items():
            load = self._loads.get(upstream)
            if load is not None:
                load.ramp.raise_to(float(running), now_ms)
        self._adopted.clear()

    def record_result(
        self, upstream: str, outcome: AttemptOutcome, latency_ms: float, now_ms: float
    ) -> None:
        """Record the result of an attempt, and update the outlier detection."""
        load = self._loads.get(upstream)
        if load is None:
            return
        load.record(outcome, latency_ms, now_ms)
        if self._service.kind is not ServiceKind.POOL:
            return
        load.expected_ms = expected_ms(load, self._latency, now_ms)
        if outcome is not AttemptOutcome.CANCELLED:
            median_ms = self._latency.median_ms
            self._outliers.record_probe(load, latency_ms, median_ms, now_ms)
        self._evaluate(now_ms)

    def on_load_report(
        self, upstream: str, hint: LoadHint | None, now_ms: float
    ) -> None:
        """Record a load report, or None if the upstream did not respond."""
        load = self._loads.get(upstream)
        if load is not None:
            load.on_load_report(hint, now_ms)
            load.expected_ms = expected_ms(load, self._latency, now_ms)

    def remove_idle_connections(
        self, entry: EntryId, upstream: str, connections: int
    ) -> None:
        """Count idle connections of an entry as closed."""
        load = self._loads.get(upstream)
        if load is not None:
            load.connections.remove_idle(entry, connections)

    def set_idle_connections(
        self, entry: EntryId, upstream: str, connections: int
    ) -> None:
        """Set the number of idle connections that an entry reports."""
        load = self._loads.get(upstream)
        if load is not None:
            load.connections.set_idle(entry, connections)

    def clear_idle_connections(self, entry: EntryId) -> None:
        """Count all idle connections of an entry as closed."""
        for load in self._loads.values():
            load.connections.clear_idle(entry)

    def update(
        self, view: ShardView, running: Iterable[Permit], now_ms: float
    ) -> set[str]:
        """Apply a view and return the upstreams that were removed or restarted.

        `running` holds the shard's permits; they are counted again if an upstream is
        listed again.
        """
        self._service = view.service
        rows = {row.upstream: row for row in view.upstreams}
        stopped = {name for name in self._loads if name not in rows}
        for name in stopped:
            del self._loads[name]
            self._outliers.remove(name)
        for name, row in rows.items():
            if name not in self._loads:
                self._add(row, view, running, now_ms)
            elif self._replace_row(row, now_ms):
                stopped.add(name)
            load = self._loads[name]
            load.configure(view.service, now_ms)
            load.is_closed = name in view.closed
        self._load_list = list(self._loads.values())
        return stopped

    def _add(
        self,
        row: UpstreamRow,
        view: ShardView,
        running: Iterable[Permit],
        now_ms: float,
    ) -> None:
        since_ms = view.warm_since_ms.get(row.upstream, now_ms)
        load = UpstreamLoad(row, view.service, since_ms)
        load.expected_ms = expected_ms(load, self._latency, now_ms)
        self._loads[row.upstream] = load
        for permit in running:
            if permit.upstream == row.upstream:
                load.in_flight += 1
                load.started_ms[permit.permit] = permit.granted_at_ms
                load.connections.adopt_request(permit.use)

    def _evaluate(self, now_ms: float) -> None:
        """Update expected latencies and eject outliers, at most once per interval."""
        if now_ms - self._evaluated_at_ms < _EVALUATION_INTERVAL_MS:
            return
        if self._service.kind is not ServiceKind.POOL:
            return
        self._evaluated_at_ms = now_ms
        pool = self._loads.values()
        self._latency = pool_latency(pool, now_ms)
        for load in pool:
            load.expected_ms = expected_ms(load, self._latency, now_ms)
        self._outliers.eject_outliers(pool, self._latency.median_ms, now_ms)

    def _replace_row(self, row: UpstreamRow, now_ms: float) -> bool:
        load = self._loads[row.upstream]
        if load.row == row or not load.replace_row(row, now_ms):
            return False
        self._outliers.remove(row.upstream)
        return True
