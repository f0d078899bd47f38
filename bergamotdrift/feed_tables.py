"""Local copy of the control state that entries and arbiters maintain from the feed."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.hashing import key_hash, partition_of
from bergamotdrift.messages import (
    FeedUpdate,
    IsolatedKeyRow,
    NodeRow,
    PartitionRow,
    RangeRow,
    RemovedRow,
    Role,
    RolloutRow,
    ShardRow,
    UpstreamRow,
)
from bergamotdrift.settings_patch import apply_patch


class UpstreamId(NamedTuple):
    """Identify an upstream within its service."""

    service: str
    upstream: str


class PartitionId(NamedTuple):
    """Identify a partition within its service."""

    service: str
    partition: int


class IsolatedKeyId(NamedTuple):
    """Identify an isolated routing key by its hash."""

    service: str
    key_hash: int


class RangeId(NamedTuple):
    """Identify a key range by its service and first key."""

    service: str
    first: int


class FeedTables:
    """Settings and rows as of a feed index; the settings revision never decreases."""

    def __init__(self) -> None:
        self.index = 0
        self.revision = 0
        self.settings: SiteSettings | None = None
        self.nodes: dict[str, NodeRow] = {}
        self.upstreams: dict[UpstreamId, UpstreamRow] = {}
        self.partitions: dict[PartitionId, PartitionRow] = {}
        self.shards: dict[str, ShardRow] = {}
        self.isolated: dict[IsolatedKeyId, IsolatedKeyRow] = {}
        self.ranges: dict[RangeId, RangeRow] = {}
        self.rollouts: dict[str, RolloutRow] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._range_starts: dict[str, list[int]] = {}

    def apply(self, update: FeedUpdate) -> bool:
        """Apply an update; return False if it is older or leaves a gap."""
        if update.to_index < self.index:
            return False
        if not update.full and update.from_index > self.index:
            return False
        if not self._knows_base(update):
            # The leader sends everything to a node that has nothing.
            self.index = 0
            return False
        if update.full:
            self._clear_rows()
        self._apply_settings(update)
        self._apply_rows(update)
        for row in update.removed:
            self._remove(row)
        self._apply_ranges(update)
        if update.evacuated is not None:
            self.evacuated = frozenset(update.evacuated)
        self.index = update.to_index
        return True

    def partition_for(self, service: str, routing_key: str, partitions: int) -> int:
        """Return the partition of a routing key, taking isolated keys into account."""
        isolated = self.isolated.get(IsolatedKeyId(service, key_hash(routing_key)))
        if isolated is not None:
            return isolated.partition
        return partition_of(routing_key, partitions)

    def range_of(self, service: str, key: int) -> RangeRow | None:
        """Return the range that contains a numeric key, or None."""
        starts = self._range_starts.get(service, ())
        position = bisect_right(starts, key)
        if not position:
            return None
        row = self.ranges[RangeId(service, starts[position - 1])]
        return row if key <= row.last else None

    def arbiter_of(self, shard: str) -> NodeRow | None:
        """Return the live arbiter to which a shard is assigned, or None."""
        row = self.shards.get(shard)
        return self.nodes.get(row.node) if row is not None else None

    def nodes_of(self, role: Role) -> Iterable[NodeRow]:
        """Return the live nodes of a role."""
        return (row for row in self.nodes.values() if row.role == role)

    def _clear_rows(self) -> None:
        for table in self._tables().values():
            table.clear()

    def _apply_settings(self, update: FeedUpdate) -> None:
        if update.revision < self.revision:
            return
        if update.settings is not None:
            self.settings = update.settings
            self.revision = update.revision
        elif update.patch is not None and update.revision > self.revision:
            assert self.settings is not None
            self.settings = apply_patch(self.settings, update.patch)
            self.revision = update.revision

    def _knows_base(self, update: FeedUpdate) -> bool:
        """Return whether a patch of the settings, if there is one, can be applied."""
        patch = update.patch
        if patch is None or update.revision <= self.revision:
            return True
        return self.settings is not None and patch.base_revision == self.revision

    def _apply_rows(self, update: FeedUpdate) -> None:
        for node in update.nodes:
            self.nodes[node.node] = node
        for upstream in update.upstreams:
            self.upstreams[UpstreamId(upstream.service, upstream.upstream)] = upstream
        for partition in update.partitions:
            self.partitions[PartitionId(partition.service, partition.partition)] = (
                partition
            )
        for shard in update.shards:
            self.shards[shard.shard] = shard
        for key in update.isolated:
            self.isolated[IsolatedKeyId(key.service, key.key_hash)] = key
        for rollout in update.rollouts:
            self.rollouts[rollout.service] = rollout

    def _apply_ranges(self, update: FeedUpdate) -> None:
        for row in update.ranges:
            self.ranges[RangeId(row.service, row.first)] = row
        removed = any(row.table == "ranges" for row in update.removed)
        if update.full or update.ranges or removed:
            starts: dict[str, list[int]] = {}
            for key in sorted(self.ranges):
                starts.setdefault(key.service, []).append(key.first)
            self._range_starts = starts

    def _remove(self, row: RemovedRow) -> None:
        table = self._tables().get(row.table)
        if table is not None:
            table.pop(_decode_key(row), None)

    def _tables(self) -> dict[str, dict]:
        return {
            "nodes": self.nodes,
            "upstreams": self.upstreams,
            "partitions": self.partitions,
            "shards": self.shards,
            "isolated": self.isolated,
            "ranges": self.ranges,
            "rollouts": self.rollouts,
        }


_RowKey = str | UpstreamId | PartitionId | IsolatedKeyId | RangeId


def _decode_key(row: RemovedRow) -> _RowKey:
    if row.table == "upstreams":
        return UpstreamId(*row.key)
    if row.table == "partitions":
        return PartitionId(row.key[0], int(row.key[1]))
    if row.table == "isolated":
        return IsolatedKeyId(row.key[0], int(row.key[1]))
    if row.table == "ranges":
        return RangeId(row.key[0], int(row.key[1]))
    return row.key[0]
