"""Rows of the control state: live nodes, upstreams and what each one owns."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from bergamotdrift.commands_log import Hold
from bergamotdrift.messages import (
    IsolatedKeyRow,
    NodeRow,
    PartitionRow,
    PartitionState,
    RangeRow,
    RemovedRow,
    Role,
    ShardRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.row_table import RowTable
from bergamotdrift.tables import IsolatedKeyId, PartitionId, RangeId, UpstreamId

INCARNATIONS_KEPT = 8
INCARNATION_LISTS_KEPT = 10_000


class _OrderedRanges(NamedTuple):
    """Hold the ranges of one version of their table, in the order of the keys."""

    version: int
    by_service: Mapping[str, Sequence[RangeRow]]
    by_run: Mapping[tuple[str, str, str], Sequence[RangeRow]]


class ControlRows:
    """Hold the tables that the feed carries, and what only control knows of them."""

    def __init__(self) -> None:
        self.nodes: RowTable[str, NodeRow] = RowTable("nodes", _one_field)
        self.upstreams: RowTable[UpstreamId, UpstreamRow] = RowTable(
            "upstreams", _all_fields
        )
        self.partitions: RowTable[PartitionId, PartitionRow] = RowTable(
            "partitions", _all_fields
        )
        self.shards: RowTable[str, ShardRow] = RowTable("shards", _one_field)
        self.isolated: RowTable[IsolatedKeyId, IsolatedKeyRow] = RowTable(
            "isolated", _all_fields
        )
        self.ranges: RowTable[RangeId, RangeRow] = RowTable("ranges", _all_fields)
        # Partitions that are vacant or under release.
        self.unowned: set[PartitionId] = set()
        # What vacant partitions wait for; absent means Hold.NONE.
        self.holds: dict[PartitionId, Hold] = {}
        # Epochs at or below the floor were used by removed partitions.
        self.epoch_floors: dict[str, int] = {}
        self.next_isolated: dict[str, int] = {}
        # Incarnations of each upstream in the order of their first registration.
        self._incarnations: dict[UpstreamId, list[str]] = {}
        self._owned: dict[UpstreamId, set[PartitionId]] = {}
        self._ordered_ranges = _order_ranges(self.ranges)

    def partitions_of(self, upstream: UpstreamId) -> list[PartitionRow]:
        """Return the partitions that an upstream owns or is releasing."""
        rows = (self.partitions.get(key) for key in self._owned.get(upstream, ()))
        return sorted(row for row in rows if row is not None)

    def hold(self, key: PartitionId) -> Hold:
        """Return what a vacant partition waits for."""
        return self.holds.get(key, Hold.NONE)

    def is_superseded(self, upstream: UpstreamId, incarnation: str) -> bool:
        """Tell whether a later incarnation of the upstream has registered."""
        return incarnation in self._incarnations.get(upstream, ())[:-1]

    def put_upstream(self, index: int, row: UpstreamRow) -> bool:
        """Store an upstream and note its incarnation."""
        key = UpstreamId(row.service, row.upstream)
        known = self._incarnations.pop(key, [])
        if row.incarnation not in known:
            known = [*known, row.incarnation][-INCARNATIONS_KEPT:]
        self._incarnations[key] = known
        if len(self._incarnations) > INCARNATION_LISTS_KEPT:
            del self._incarnations[next(iter(self._incarnations))]
        return self.upstreams.put(key, row, index)

    def put_partition(self, index: int, row: PartitionRow) -> bool:
        """Store a partition and index its owner."""
        key = PartitionId(row.service, row.partition)
        self._forget_owner(key)
        self._index_owner(row)
        return self.partitions.put(key, row, index)

    def remove_partition(self, index: int, key: PartitionId) -> None:
        """Remove a partition and keep its epoch from being used again."""
        row = self.partitions.get(key)
        if row is None:
            return
        self._forget_owner(key)
        self.holds.pop(key, None)
        self.partitions.remove(key, index)
        floor = self.epoch_floors.get(key.service, 0)
        self.epoch_floors[key.service] = max(floor, row.epoch)

    def vacate(self, index: int, key: PartitionId, hold: Hold) -> bool:
        """Take a partition from its upstream; its next owner waits for `hold`."""
        row = self.partitions.get(key)
        if row is None or row.state is PartitionState.VACANT:
            return False
        if hold is not Hold.NONE:
            self.holds[key] = hold
        vacant = row._replace(upstream="", state=PartitionState.VACANT)
        return self.put_partition(index, vacant)

    def ranges_of(self, service: str) -> Sequence[RangeRow]:
        """Return the ranges of a service in the order of their keys."""
        return self._ordered().by_service.get(service, ())

    def ranges_held(
        self, service: str, upstream: str, incarnation: str
    ) -> Sequence[RangeRow]:
        """Return the ranges that one run of an upstream owns, by their keys."""
        run = (service, upstream, incarnation)
        return self._ordered().by_run.get(run, ())

    def _ordered(self) -> _OrderedRanges:
        """Return all ranges in order, sorted once for each change."""
        if self._ordered_ranges.version != self.ranges.version:
            self._ordered_ranges = _order_ranges(self.ranges)
        return self._ordered_ranges

    def replace_ranges(
        self, index: int, expected: list[RangeRow], replacement: list[RangeRow]
    ) -> bool:
        """Replace ranges if they are as expected, and tell whether they were."""
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
        """Take the ranges of an upstream whose process has surely ended."""
        for row in self.ranges_held(*_run_fields(upstream)):
            free = row._replace(
                upstream="", incarnation="", state=PartitionState.VACANT
            )
            self.ranges.put(RangeId(row.service, row.first), free, index)

    def removed_since(self, index: int) -> list[RemovedRow]:
        """Return the tombstones after an index."""
        return [row for table in self._tables() for row in table.removed_since(index)]

    def floor(self) -> int:
        """Return the index below which removals are no longer known."""
        return max(table.floor for table in self._tables())

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        return [
            [table.dump() for table in self._tables()],
            list(self.holds.items()),
            self.epoch_floors,
            self.next_isolated,
            list(self._incarnations.items()),
        ]

    def load(self, data: list[Any]) -> None:
        """Replace the content by that of a snapshot."""
        tables, holds, self.epoch_floors, self.next_isolated, incarnations = data
        self.nodes.load(tables[0], str, _node)
        self.upstreams.load(tables[1], _upstream_key, _upstream)
        self.partitions.load(tables[2], _partition_key, _partition)
        self.shards.load(tables[3], str, _shard)
        self.isolated.load(tables[4], _isolated_key, _isolated)
        self.ranges.load(tables[5], _range_key, _range)
        self.holds = {PartitionId(*key): Hold(hold) for key, hold in holds}
        self._incarnations = {UpstreamId(*key): names for key, names in incarnations}
        self._owned = {}
        self.unowned = set()
        for row in self.partitions.rows():
            self._index_owner(row)

    def _forget_owner(self, key: PartitionId) -> None:
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
        )


def _one_field(key: str) -> tuple[str, ...]:
    return (key,)


def _all_fields(key: tuple[Any, ...]) -> tuple[str, ...]:
    return tuple(str(field) for field in key)


def _upstream_key(fields: list[Any]) -> UpstreamId:
    return UpstreamId(*fields)


def _partition_key(fields: list[Any]) -> PartitionId:
    return PartitionId(*fields)


def _range_key(fields: list[Any]) -> RangeId:
    return RangeId(*fields)


def _isolated_key(fields: list[Any]) -> IsolatedKeyId:
    return IsolatedKeyId(*fields)


_ROLES = {str(role): role for role in Role}
_UPSTREAM_STATES = {str(state): state for state in UpstreamState}
_PARTITION_STATES = {str(state): state for state in PartitionState}


def _node(fields: list[Any]) -> NodeRow:
    node, role, *rest = fields
    return NodeRow(node, _ROLES[role], *rest)


def _upstream(fields: list[Any]) -> UpstreamRow:
    service, upstream, address, zone, incarnation, state, *rest = fields
    return UpstreamRow(
        service, upstream, address, zone, incarnation, _UPSTREAM_STATES[state], *rest
    )


def _partition(fields: list[Any]) -> PartitionRow:
    service, partition, upstream, epoch, state = fields
    return PartitionRow(service, partition, upstream, epoch, _PARTITION_STATES[state])


def _range(fields: list[Any]) -> RangeRow:
    service, first, last, upstream, incarnation, epoch, state, handover = fields
    known = _PARTITION_STATES[state]
    return RangeRow(service, first, last, upstream, incarnation, epoch, known, handover)


def _shard(fields: list[Any]) -> ShardRow:
    return ShardRow(*fields)


def _isolated(fields: list[Any]) -> IsolatedKeyRow:
    return IsolatedKeyRow(*fields)


def _run_fields(row: RangeRow | UpstreamRow) -> tuple[str, str, str]:
    return row.service, row.upstream, row.incarnation


def _order_ranges(table: RowTable[RangeId, RangeRow]) -> _OrderedRanges:
    by_service: dict[str, list[RangeRow]] = {}
    by_run: dict[tuple[str, str, str], list[RangeRow]] = {}
    for row in sorted(table.rows()):
        by_service.setdefault(row.service, []).append(row)
        by_run.setdefault(_run_fields(row), []).append(row)
    return _OrderedRanges(table.version, by_service, by_run)
