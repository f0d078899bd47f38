"""Permit requests that wait for a partition rather than for a slot."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
    PermitRequest,
)
from bergamotdrift.fenced_partitions import FencedPartitions
from bergamotdrift.partition_guard import PartitionGuard
from bergamotdrift.permit_queue import Waiter, WaiterKey
from bergamotdrift.permit_table import Permit
from bergamotdrift.takeover import EntryId

# The feed reaches entries and arbiters within milliseconds of each other.
_FEED_WAIT_MS = 1000.0
_PARKED_MAX = 1024


class _Parked(NamedTuple):
    """Hold a request and until when it may wait here."""

    waiter: Waiter
    until_ms: float


class ParkedRequests:
    """Hold requests apart from the queue, bounded in number and time.

    A request waits here while it names a newer partition epoch than the arbiter's
    feed, or while the upstream fences its partition.
    """

    def __init__(self, guard: PartitionGuard, runs_in: Callable[[int], bool]):
        self._guard = guard
        self._runs_in = runs_in
        self._fenced = FencedPartitions()
        self._held: dict[WaiterKey, _Parked] = {}

    def __len__(self) -> int:
        return len(self._held)

    def park_if_needed(self, waiter: Waiter, now_ms: float) -> bool:
        """Hold a request that can't run yet, and tell whether it is held."""
        req = waiter.req
        if req.partition == NO_PARTITION or not self._must_wait(req, now_ms):
            return False
        if len(self._held) >= _PARKED_MAX or waiter.key in self._held:
            return False
        until_ms = waiter.expires_ms
        if self._guard.is_ahead(req):
            until_ms = min(until_ms, now_ms + _FEED_WAIT_MS)
        self._held[waiter.key] = _Parked(waiter, until_ms)
        return True

    def learn(self, permit: Permit, outcome: AttemptOutcome, now_ms: float) -> bool:
        """Learn from an attempt, and tell whether its partition is now paused."""
        if permit.partition == NO_PARTITION:
            return False
        if outcome is AttemptOutcome.FENCED:
            self._fenced.fenced(permit.partition, now_ms)
            return True
        if outcome is AttemptOutcome.ANSWERED and self._fenced:
            self._fenced.answered(permit.partition)
        return False

    def on_rows_changed(self) -> None:
        """Forget the pauses of partitions that are not owned here any more."""
        self._fenced.keep(self._guard.owned())

    def take_ready(self, now_ms: float) -> Waiter | None:
        """Take out and return a request that can run now."""
        for key, parked in self._held.items():
            if not self._must_wait(parked.waiter.req, now_ms):
                del self._held[key]
                return parked.waiter
        return None

    def take_expired(self, now_ms: float) -> list[Waiter]:
        """Take out and return the requests whose time is over."""
        return self._take_if(lambda parked: parked.until_ms <= now_ms)

    def take_all(self) -> list[Waiter]:
        """Take out and return all requests."""
        return self._take_if(lambda _parked: True)

    def cancel(self, key: WaiterKey) -> bool:
        """Drop a request and tell whether it was held."""
        return self._held.pop(key, None) is not None

    def forget(self, entry: EntryId) -> None:
        """Drop the requests of an entry."""
        if self._held:
            self._take_if(lambda parked: parked.waiter.entry == entry)

    def _must_wait(self, req: PermitRequest, now_ms: float) -> bool:
        if self._guard.is_ahead(req):
            return True
        return bool(self._fenced) and self._fenced.holds(
            req.partition, self._runs_in, now_ms
        )

    def _take_if(self, condition: Callable[[_Parked], bool]) -> list[Waiter]:
        taken = [parked for parked in self._held.values() if condition(parked)]
        for parked in taken:
            del self._held[parked.waiter.key]
        return [parked.waiter for parked in taken]
