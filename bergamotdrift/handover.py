"""Rules for when a partition may be assigned to its next owner."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bergamotdrift.config.schema import Fencing, SiteSettings
from bergamotdrift.constants import SESSION_TTL_MS
from bergamotdrift.control_commands import ReassignmentWait
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import IsolatedKeyId, PartitionId
from bergamotdrift.messages import (
    PartitionRef,
    PartitionRow,
    PartitionState,
)
from bergamotdrift.partition_changes import parent_partition

# A fencing upstream that reported a release no longer serves the partition. The drain
# report only confirms that its responses have passed, so losing that report must not
# block the handover.
DRAIN_REPORT_GRACE_MS = 1000
_ROWS_PER_PAUSE = 500


class Acknowledged(NamedTuple):
    """Hold the feed index that every live node of a kind has reported as applied."""

    arbiters: float
    nodes: float


class _RowChange(NamedTuple):
    partition: PartitionId
    changed_at: int


class _KeyChange(NamedTuple):
    key: IsolatedKeyId
    changed_at: int


class _Bounds(NamedTuple):
    unfenced: bool
    permit_ms: int


def _strictest_bounds(service: str, revisions: Iterable[SiteSettings]) -> _Bounds:
    """Return the strictest bounds of the recent settings revisions.

    Requests that were permitted under an earlier revision may still run.
    """
    found = [s for s in (settings.service(service) for settings in revisions) if s]
    unfenced = any(s.fencing is Fencing.NONE for s in found)
    return _Bounds(unfenced, max((s.request_timeout_ms for s in found), default=0))


class Handover:
    """Track reports and waiting times of partitions without a settled owner.

    A new leader does not know the times measured by the previous one, so it starts
    them again.
    """

    def __init__(self, state: ControlState, pause: Callable[[], None]):
        self._state = state
        self._pause = pause
        self._released: dict[PartitionRef, float] = {}
        self._drained: set[PartitionRef] = set()
        self._first_seen_ms: dict[_RowChange, float] = {}
        self._acknowledged_ms: dict[_RowChange, float] = {}
        self._key_known_ms: dict[_KeyChange, float] = {}
        self._bounds: dict[str, _Bounds] = {}
        self._bounds_revision = -1

    def record_released(self, ref: PartitionRef, now_ms: float) -> None:
        """Record that the upstream no longer serves a releasing partition."""
        self._released.setdefault(ref, now_ms)

    def is_released(self, ref: PartitionRef) -> bool:
        """Return whether the upstream has reported the release."""
        return ref in self._released

    def record_drained(self, ref: PartitionRef) -> None:
        """Record that no permit for a releasing partition is in use."""
        self._drained.add(ref)

    def ready(self, acknowledged: Acknowledged, now_ms: float) -> list[PartitionRow]:
        """Return the partitions that may be assigned to their next owner now."""
        found = []
        unknown = self._partitions_of_keys(self._unknown_keys(acknowledged))
        unsettled = self.unsettled(acknowledged, now_ms)
        self._drop_settled()
        for count, key in enumerate(sorted(self._state.rows.unowned), 1):
            if count % _ROWS_PER_PAUSE == 0:
                self._pause()
            row = self._state.rows.partitions.get(key)
            if row is None:
                continue
            releasing = row.state is PartitionState.RELEASING
            if key in (unsettled if releasing else unknown):
                # Starts the waiting times although the partition is not ready.
                self._is_over(row, acknowledged, now_ms)
            elif self._is_over(row, acknowledged, now_ms):
                found.append(row)
        return found

    def unsettled(self, acknowledged: Acknowledged, now_ms: float) -> set[PartitionId]:
        """Return partitions whose keys may still run under another partition.

        Until every node knows that a key was isolated, and the requests permitted
        earlier have reached their deadlines, the key may run under its parent. Until
        then its own partition and the parent stay together at one upstream.
        """
        isolated = self._state.rows.isolated
        unknown = self._unknown_keys(acknowledged)
        open_keys = []
        for key in isolated.list_keys():
            change = _KeyChange(key, isolated.changed_at(key))
            if key in unknown:
                open_keys.append(key)
                continue
            known_ms = self._key_known_ms.setdefault(change, now_ms)
            if now_ms - known_ms < self._permit_bound_ms(key.service):
                open_keys.append(key)
        for change in [s for s in self._key_known_ms if s.key not in isolated]:
            del self._key_known_ms[change]
        return self._partitions_of_keys(open_keys)

    def _unknown_keys(self, acknowledged: Acknowledged) -> set[IsolatedKeyId]:
        rows = self._state.rows.isolated.rows_since(acknowledged.nodes)
        return {IsolatedKeyId(row.service, row.key_hash) for row in rows}

    def _partitions_of_keys(self, keys: Iterable[IsolatedKeyId]) -> set[PartitionId]:
        """Return the partitions of isolated keys together with their parents."""
        found = set()
        for key in keys:
            row = self._state.rows.isolated.get(key)
            service = self._state.service(key.service)
            if row is not None and service is not None:
                found.add(PartitionId(row.service, row.partition))
                found.add(parent_partition(service, row.key_hash))
        return found

    def _is_over(
        self, row: PartitionRow, acknowledged: Acknowledged, now_ms: float
    ) -> bool:
        key = PartitionId(row.service, row.partition)
        hold = self._state.rows.reassignment_wait(key)
        if row.state is PartitionState.VACANT and hold is ReassignmentWait.NONE:
            return True
        # Starts both waiting times even if another condition is not met yet.
        change = self._row_change(row)
        seen_ms = self._first_seen_ms.setdefault(change, now_ms)
        permits_over = self._permits_are_over(row, acknowledged, now_ms)
        if row.state is PartitionState.RELEASING:
            return self._release_is_complete(row, permits_over, now_ms)
        fenced = not self._is_unfenced(row.service)
        if hold is ReassignmentWait.PERMITS:
            return fenced or permits_over
        lease_over = now_ms - seen_ms >= SESSION_TTL_MS
        known = acknowledged.nodes >= change.changed_at
        return lease_over and known and (fenced or permits_over)

    def _release_is_complete(
        self, row: PartitionRow, permits_over: bool, now_ms: float
    ) -> bool:
        ref = PartitionRef(row.service, row.partition, row.epoch)
        drained = ref in self._drained
        if self._is_unfenced(row.service):
            return drained or permits_over
        released_ms = self._released.get(ref)
        if released_ms is None:
            return False
        return drained or now_ms - released_ms >= DRAIN_REPORT_GRACE_MS

    def _permits_are_over(
        self, row: PartitionRow, acknowledged: Acknowledged, now_ms: float
    ) -> bool:
        """Return whether every permit granted for the last owner has expired."""
        change = self._row_change(row)
        if acknowledged.arbiters < change.changed_at:
            return False
        since_ms = self._acknowledged_ms.setdefault(change, now_ms)
        return now_ms - since_ms >= self._permit_bound_ms(row.service)

    def _row_change(self, row: PartitionRow) -> _RowChange:
        key = PartitionId(row.service, row.partition)
        return _RowChange(key, self._state.rows.partitions.changed_at(key))

    def _is_unfenced(self, service: str) -> bool:
        return self._bounds_of(service).unfenced

    def _permit_bound_ms(self, service: str) -> int:
        return self._bounds_of(service).permit_ms

    def _bounds_of(self, service: str) -> _Bounds:
        log = self._state.settings
        if self._bounds_revision != log.revision:
            self._bounds_revision = log.revision
            self._bounds.clear()
        if service not in self._bounds:
            self._bounds[service] = _strictest_bounds(
                service, log.recent_revisions.values()
            )
        return self._bounds[service]

    def _drop_settled(self) -> None:
        unowned = self._state.rows.unowned
        for times in (self._first_seen_ms, self._acknowledged_ms):
            for change in [w for w in times if w.partition not in unowned]:
                del times[change]
        for ref in [r for r in self._released if not self._is_releasing(r)]:
            del self._released[ref]
        self._drained = {ref for ref in self._drained if self._is_releasing(ref)}

    def _is_releasing(self, ref: PartitionRef) -> bool:
        row = self._state.rows.partitions.get(PartitionId(ref.service, ref.partition))
        if row is None or row.epoch != ref.epoch:
            return False
        return row.state is PartitionState.RELEASING
