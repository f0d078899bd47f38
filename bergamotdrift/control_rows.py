"""Tables of the control state: live nodes, upstreams and what they own."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from bergamotdrift.control_commands import ReassignmentWait
from bergamotdrift.ended_upstreams import EndedUpstreams
from bergamotdrift.feed_tables import IsolatedKeyId, PartitionId, RangeId, UpstreamId
from bergamotdrift.messages import (
    IsolatedKeyRow,
    NodeRow,
    PartitionRow,
    PartitionState,
    RangeRow,
    RemovedRow,
    Role,
    RolloutRow,
    RolloutState,
    ShardRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.row_table import RowTable

MAX_INCARNATIONS_PER_UPSTREAM = 8
MAX_INCARNATION_LISTS = 10_000
_ROLLOUTS_TABLE = 6


class _SortedRanges(NamedTuple):
    """Sorted ranges of one table version, by service and by upstream incarnation."""

    version: int
    by_service: Mapping[str, Sequence[RangeRow]]
    by_incarnation: Mapping[tuple[str, str, str], Sequence[RangeRow]]


class ControlRows:
    """Tables sent in the feed, plus state that only the control replicas keep."""

    def __init__(self) -> None:
        self.nodes: RowTable[str, NodeRow] = RowTable("nodes", _string_key_fields)
        self.upstreams: RowTable[UpstreamId, UpstreamRow] = RowTable(
            "upstreams", _tuple_key_fields
        )
        self.partitions: RowTable[PartitionId, PartitionRow] = RowTable(
            "partitions", _tuple_key_fields
        )
        self.shards: RowTable[str, ShardRow] = RowTable("shards", _string_key_fields)
        self.isolated: RowTable[IsolatedKeyId, IsolatedKeyRow] = RowTable(
            "isolated", _tuple_key_fields
        )
        self.ranges: RowTable[RangeId, RangeRow] = RowTable("ranges", _tuple_key_fields)
        self.rollouts: RowTable[str, RolloutRow] = RowTable(
            "rollouts", _string_key_fields
        )
        # Partitions in state VACANT or RELEASING.
        self.unowned: set[PartitionId] = set()
        # Condition for reassigning each vacant partition; absent means Hold.NONE.
        self.reassignment_waits: dict[PartitionId, ReassignmentWait] = {}
        # Highest epoch that removed partitions of each service have used.
        self.last_used_epochs: dict[str, int] = {}
        self.next_isolated_partition: dict[str, int] = {}
        # Incarnations of each upstream in order of first registration.
        self._incarnations: dict[UpstreamId, list[str]] = {}
        self.ended = EndedUpstreams()
        self._owned: dict[UpstreamId, set[PartitionId]] = {}
        self._sorted_ranges = _sort_ranges(self.ranges)

    def partitions_of(self, upstream: UpstreamId) -> list[PartitionRow]:
        """Return the partitions that an upstream owns or is releasing."""
        rows = (self.partitions.get(key) for key in self._owned.get(upstream, ()))
        return sorted(row for row in rows if row is not None)

    def reassignment_wait(self, key: PartitionId) -> ReassignmentWait:
        """Return the condition for reassigning a vacant partition."""
        return self.reassignment_waits.get(key, ReassignmentWait.NONE)

    def is_superseded(self, upstream: UpstreamId, incarnation: str) -> bool:
        """Return whether a later incarnation of the upstream has registered."""
        return incarnation in self._incarnations.get(upstream, ())[:-1]

    def put_upstream(self, index: int, row: UpstreamRow) -> bool:
        """Store an upstream and record its incarnation."""
        key = UpstreamId(row.service, row.upstream)
        incarnations = self._incarnations.pop(key, [])
        if row.incarnation not in incarnations:
            incarnations = [*incarnations, row.incarnation][
                -MAX_INCARNATIONS_PER_UPSTREAM:
            ]
        self._incarnations[key] = incarnations
        if len(self._incarnations) > MAX_INCARNATION_LISTS:
            del self._incarnations[next(iter(self._incarnations))]
        return self.upstreams.put(key, row, index)

    def put_partition(self, index: int, row: PartitionRow) -> bool:
        """Store a partition and update the index by owner."""
        key = PartitionId(row.service, row.partition)
        self._unindex_owner(key)
        self._index_owner(row)
        return self.partitions.put(key, row, index)

    def remove_partition(self, index: int, key: PartitionId) -> None:
        """Remove a partition and record its epoch so that it is not reused."""
        row = self.partitions.get(key)
        if row is None:
            return
        self._unindex_owner(key)
        self.reassignment_waits.pop(key, None)
        self.partitions.remove(key, index)
        last_used_epoch = self.last_used_epochs.get(key.service, 0)
        self.last_used_epochs[key.service] = max(last_used_epoch, row.epoch)

    def vacate(self, index: int, key: PartitionId, wait: ReassignmentWait) -> bool:
        """Remove a partition's owner; `wait` is the condition for the next one."""
        row = self.partitions.get(key)
        if row is None or row.state is PartitionState.VACANT:
            return False
        if wait is not ReassignmentWait.NONE:
            self.reassignment_waits[key] = wait
        vacant = row._replace(upstream="", state=PartitionState.VACANT)
        return self.put_partition(index, vacant)

    def ranges_of(self, service: str) -> Sequence[RangeRow]:
        """Return the ranges of a service, sorted by key."""
        return self._current_sorted_ranges().by_service.get(service, ())

    def ranges_owned(
        self, service: str, upstream: str, incarnation: str
    ) -> Sequence[RangeRow]:
        """Return the ranges that one incarnation of an upstream owns, sorted by key."""
        key = (service, upstream, incarnation)
        return self._current_sorted_ranges().by_incarnation.get(key, ())

    def _current_sorted_ranges(self) -> _SortedRanges:
        """Return the sorted ranges; they are cached until the table changes."""
        if self._sorted_ranges.version != self.ranges.version:
            self._sorted_ranges = _sort_ranges(self.ranges)
        return self._sorted_ranges

    def replace_ranges(
        self, index: int, expected: list[RangeRow], replacement: list[RangeRow]
    ) -> bool:
        """Replace ranges if all `expected` rows match; return whether they did."""
        for row in expected:
            if self.ranges.get(RangeId(row.service, row.first)) != row:
                return False
        starts = {row.first for row in replacement}
        for row in expected:
            if row.first not in starts:
                self.ranges.remove(RangeId(row.service, row.first), index)
        for row in replacement:
            is_new = bool(row.upstream) and not row.epoch
            stored = row._replace(epoch=index) if is_new else row
            self.ranges.put(RangeId(row.service, row.first), stored, index)
        return True

    def free_ranges(self, index: int, upstream: UpstreamRow) -> None:
        """Vacate the ranges of an upstream whose process is known to have ended."""
        for row in self.ranges_owned(*_incarnation_key(upstream)):
            free = row._replace(
                upstream="", incarnation="", state=PartitionState.VACANT
            )
            self.ranges.put(RangeId(row.service, row.first), free, index)

    def removed_since(self, index: int) -> list[RemovedRow]:
        """Return the tombstones after an index."""
        return [row for table in self._tables() for row in table.removed_since(index)]

    def tombstone_floor(self) -> int:
        """Return the index up to which tombstones have been dropped from some table."""
        return max(table.tombstone_floor for table in self._tables())

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        return [
            [table.dump() for table in self._tables()],
            list(self.reassignment_waits.items()),
            self.last_used_epochs,
            self.next_isolated_partition,
            list(self._incarnations.items()),
            self.ended.dump(),
        ]

    def load(self, data: list[Any]) -> None:
        """Replace the content with that of a snapshot."""
        (
            tables,
            waits,
            self.last_used_epochs,
            self.next_isolated_partition,
            incarnations,
            *ended,
        ) = data
        self.nodes.load(tables[0], str, _decode_node_row)
        self.upstreams.load(tables[1], _decode_upstream_key, _decode_upstream_row)
        self.partitions.load(tables[2], _decode_partition_key, _decode_partition_row)
        self.shards.load(tables[3], str, _decode_shard_row)
        self.isolated.load(tables[4], _decode_isolated_key_id, _decode_isolated_key_row)
        self.ranges.load(tables[5], _decode_range_key, _decode_range_row)
        # Snapshots of earlier releases have no rollouts and no ended upstreams.
        if len(tables) > _ROLLOUTS_TABLE:
            self.rollouts.load(tables[_ROLLOUTS_TABLE], str, _decode_rollout_row)
        self.reassignment_waits = {
            PartitionId(*key): ReassignmentWait(wait) for key, wait in waits
        }
        self._incarnations = {UpstreamId(*key): names for key, names in incarnations}
        self.ended.load(ended[0] if ended else [])
        self._owned = {}
        self.unowned = set()
        for row in self.partitions.rows():
            self._index_owner(row)

    def _unindex_owner(self, key: PartitionId) -> None:
        self.unowned.discard(key)
        row = self.partitions.get(key)
        if row is None or not row.upstream:
            return
        upstream = UpstreamId(key.service, row.upstream)
        owned = self._owned.get(upstream, set())
        owned.discard(key)
        if not owned:
            self._owned.pop(upstream, None)

    def _index_owner(self, row: PartitionRow) -> None:
        key = PartitionId(row.service, row.partition)
        if row.state is not PartitionState.OWNED:
            self.unowned.add(key)
        if row.upstream:
            upstream = UpstreamId(row.service, row.upstream)
            self._owned.setdefault(upstream, set()).add(key)

    def _tables(self) -> tuple[RowTable[Any, Any], ...]:
        return (
            self.nodes,
            self.upstreams,
            self.partitions,
            self.shards,
            self.isolated,
            self.ranges,
            self.rollouts,
        )


def _string_key_fields(key: str) -> tuple[str, ...]:
    return (key,)


def _tuple_key_fields(key: tuple[Any, ...]) -> tuple[str, ...]:
    return tuple(str(field) for field in key)


def _decode_upstream_key(fields: list[Any]) -> UpstreamId:
    return UpstreamId(*fields)


def _decode_partition_key(fields: list[Any]) -> PartitionId:
    return PartitionId(*fields)


def _decode_range_key(fields: list[Any]) -> RangeId:
    return RangeId(*fields)


def _decode_isolated_key_id(fields: list[Any]) -> IsolatedKeyId:
    return IsolatedKeyId(*fields)


_ROLES_BY_VALUE = {str(role): role for role in Role}
_UPSTREAM_STATES_BY_VALUE = {str(state): state for state in UpstreamState}
_PARTITION_STATES_BY_VALUE = {str(state): state for state in PartitionState}


def _decode_node_row(fields: list[Any]) -> NodeRow:
    node, role, *rest = fields
    return NodeRow(node, _ROLES_BY_VALUE[role], *rest)


def _decode_upstream_row(fields: list[Any]) -> UpstreamRow:
    service, upstream, address, zone, incarnation, state, *rest = fields
    return UpstreamRow(
        service,
        upstream,
        address,
        zone,
        incarnation,
        _UPSTREAM_STATES_BY_VALUE[state],
        *rest,
    )


def _decode_partition_row(fields: list[Any]) -> PartitionRow:
    service, partition, upstream, epoch, state = fields
    return PartitionRow(
        service, partition, upstream, epoch, _PARTITION_STATES_BY_VALUE[state]
    )


def _decode_range_row(fields: list[Any]) -> RangeRow:
    service, first, last, upstream, incarnation, epoch, state, handover = fields
    partition_state = _PARTITION_STATES_BY_VALUE[state]
    return RangeRow(
        service, first, last, upstream, incarnation, epoch, partition_state, handover
    )


def _decode_shard_row(fields: list[Any]) -> ShardRow:
    return ShardRow(*fields)


def _decode_isolated_key_row(fields: list[Any]) -> IsolatedKeyRow:
    return IsolatedKeyRow(*fields)


def _decode_rollout_row(fields: list[Any]) -> RolloutRow:
    service, number, target, state, *rest = fields
    return RolloutRow(service, number, target, RolloutState(state), *rest)


def _incarnation_key(row: RangeRow | UpstreamRow) -> tuple[str, str, str]:
    return row.service, row.upstream, row.incarnation


def _sort_ranges(table: RowTable[RangeId, RangeRow]) -> _SortedRanges:
    by_service: dict[str, list[RangeRow]] = {}
    by_incarnation: dict[tuple[str, str, str], list[RangeRow]] = {}
    for row in sorted(table.rows()):
        by_service.setdefault(row.service, []).append(row)
        by_incarnation.setdefault(_incarnation_key(row), []).append(row)
    return _SortedRanges(table.version, by_service, by_incarnation)
