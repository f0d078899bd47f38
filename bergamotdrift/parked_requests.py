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

# Entries and arbiters receive a feed update within milliseconds of each other.
_FEED_WAIT_MS = 1000.0
_MAX_PARKED = 1024


class _Parked(NamedTuple):
    """Hold a parked request and the time until which it may wait."""

    waiter: Waiter
    until_ms: float


class ParkedRequests:
    """Hold requests outside the queue, bounded in number and time.

    A request is parked while it names a newer partition epoch than the arbiter's feed,
    or while the upstream fences its partition.
    """

    def __init__(
        self, guard: PartitionGuard, is_partition_in_use: Callable[[int], bool]
    ):
        self._guard = guard
        self._is_partition_in_use = is_partition_in_use
        self._fenced = FencedPartitions()
        self._parked: dict[WaiterKey, _Parked] = {}

    def __len__(self) -> int:
        return len(self._parked)

    def park_if_needed(self, waiter: Waiter, now_ms: float) -> bool:
        """Park a request that can't run yet; return whether it was parked."""
        req = waiter.req
        if req.partition == NO_PARTITION or not self._must_wait(req, now_ms):
            return False
        if len(self._parked) >= _MAX_PARKED or waiter.key in self._parked:
            return False
        until_ms = waiter.expires_ms
        if self._guard.names_newer_epoch(req):
            until_ms = min(until_ms, now_ms + _FEED_WAIT_MS)
        self._parked[waiter.key] = _Parked(waiter, until_ms)
        return True

    def record_result(
        self, permit: Permit, outcome: AttemptOutcome, now_ms: float
    ) -> bool:
        """Record an attempt's outcome; return whether its partition is now paused."""
        if permit.partition == NO_PARTITION:
            return False
        if outcome is AttemptOutcome.FENCED:
            self._fenced.pause(permit.partition, now_ms)
            return True
        if outcome is AttemptOutcome.ANSWERED and self._fenced:
            self._fenced.resume(permit.partition)
        return False

    def on_rows_changed(self) -> None:
        """Drop the pauses of partitions that this shard no longer owns."""
        self._fenced.retain(self._guard.owned_partitions())

    def pop_ready(self, now_ms: float) -> Waiter | None:
        """Remove and return a request that can run now, or None."""
        for key, parked in self._parked.items():
            if not self._must_wait(parked.waiter.req, now_ms):
                del self._parked[key]
                return parked.waiter
        return None

    def pop_expired(self, now_ms: float) -> list[Waiter]:
        """Remove and return the requests whose maximum wait has passed."""
        return self._pop_matching(lambda parked: parked.until_ms <= now_ms)

    def pop_all(self) -> list[Waiter]:
        """Remove and return all requests."""
        return self._pop_matching(lambda _parked: True)

    def cancel(self, key: WaiterKey) -> bool:
        """Drop a request; return whether it was parked."""
        return self._parked.pop(key, None) is not None

    def drop_entry(self, entry: EntryId) -> None:
        """Drop the requests of an entry."""
        if self._parked:
            self._pop_matching(lambda parked: parked.waiter.entry == entry)

    def _must_wait(self, req: PermitRequest, now_ms: float) -> bool:
        if self._guard.names_newer_epoch(req):
            return True
        return bool(self._fenced) and self._fenced.is_paused(
            req.partition, self._is_partition_in_use, now_ms
        )

    def _pop_matching(self, condition: Callable[[_Parked], bool]) -> list[Waiter]:
        taken = [parked for parked in self._parked.values() if condition(parked)]
        for parked in taken:
            del self._parked[parked.waiter.key]
        return [parked.waiter for parked in taken]
