"""Views of control's tables for the shards of an arbiter."""

from collections.abc import Mapping
from typing import NamedTuple

from bergamotdrift.config.schema import ServiceSettings, WorkspaceSettings
from bergamotdrift.feed_tables import FeedTables, UpstreamId
from bergamotdrift.messages import (
    PartitionRow,
    Role,
    ShardRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.shards import workspace_shard
from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_ages import LimitAges, UpstreamAges


class WorkspaceView(NamedTuple):
    """Hold the part of the tables that concerns one workspace shard.

    `limits_since_ms` is the time since which the rate and burst are known to be in
    force. `local_entries` are those on the arbiter's own VM. `entries_left_ms` is the
    time when an entry last left, or infinite if unknown.
    """

    epoch: int
    workspace: WorkspaceSettings
    entries: frozenset[EntryId]
    limits_since_ms: float = float("-inf")
    local_entries: frozenset[EntryId] = frozenset()
    entries_left_ms: float = float("inf")

    @property
    def remote_entries(self) -> frozenset[EntryId]:
        """Return the entries on other VMs."""
        return self.entries - self.local_entries


class ShardView(NamedTuple):
    """Hold the part of the tables that concerns one permit shard.

    `partitions` lists those owned by the shard's upstream, and is empty for a pool.
    `closed` names upstreams that get no new requests: leaving, or in a zone that is
    out. `warm_since_ms` is the time since which an upstream is known to run, by the
    arbiter's clock; an upstream missing from it is treated as new.
    """

    epoch: int
    service: ServiceSettings
    upstreams: tuple[UpstreamRow, ...]
    partitions: tuple[PartitionRow, ...]
    entries: frozenset[EntryId]
    closed: frozenset[str]
    warm_since_ms: Mapping[str, float] = {}


def entries_of(tables: FeedTables) -> frozenset[EntryId]:
    """Return the entries in the current membership."""
    rows = tables.nodes_of(Role.ENTRY)
    return frozenset(EntryId(row.node, row.incarnation) for row in rows)


class TableIndex:
    """Index the rows of the tables by service and upstream to build shard views."""

    def __init__(
        self,
        tables: FeedTables,
        ages: UpstreamAges | None = None,
        limit_ages: LimitAges | None = None,
    ):
        self.settings = tables.settings
        self._ages = ages
        self._limit_ages = limit_ages
        self._nodes = tables.nodes
        self.entries = entries_of(tables)
        self._upstreams: dict[str, list[UpstreamRow]] = {}
        self._partitions: dict[UpstreamId, list[PartitionRow]] = {}
        for up in tables.upstreams.values():
            self._upstreams.setdefault(up.service, []).append(up)
        for part in tables.partitions.values():
            owner = UpstreamId(part.service, part.upstream)
            self._partitions.setdefault(owner, []).append(part)

    def view(self, row: ShardRow) -> ShardView | None:
        """Return the view of a permit shard, or None if its service is unknown."""
        name = parse_permit_shard(row.shard)
        if self.settings is None:
            return None
        service = self.settings.service(name.service)
        if service is None:
            return None
        ups = [
            up
            for up in self._upstreams.get(name.service, ())
            if name.upstream in {"", up.upstream}
        ]
        parts = self._partitions.get(name, []) if name.upstream else []
        closed = frozenset(
            up.upstream
            for up in ups
            if up.state is UpstreamState.LEAVING or self.settings.zone_is_out(up.zone)
        )
        warm = self._ages.since_ms(ups) if self._ages is not None else {}
        return ShardView(
            row.epoch, service, tuple(ups), tuple(parts), self.entries, closed, warm
        )

    def is_listed(self, row: UpstreamRow) -> bool:
        """Return whether the upstream of a row is still listed with its incarnation."""
        listed = self._upstreams.get(row.service, ())
        return any(
            up.upstream == row.upstream and up.incarnation == row.incarnation
            for up in listed
        )

    def workspace_view(self, row: ShardRow) -> WorkspaceView | None:
        """Return the view of a workspace shard, or None if it is unknown."""
        if self.settings is None:
            return None
        workspace = self.settings.workspace(row.shard.partition(":")[2])
        if workspace is None:
            return None
        since_ms = float("-inf")
        if self._limit_ages is not None:
            since_ms = self._limit_ages.since_ms(workspace.name)
        local = self._entries_on_vm_of(row.node)
        return WorkspaceView(row.epoch, workspace, self.entries, since_ms, local)

    def _entries_on_vm_of(self, node: str) -> frozenset[EntryId]:
        own = self._nodes.get(node)
        return frozenset(
            EntryId(row.node, row.incarnation)
            for row in self._nodes.values()
            if own is not None and row.role is Role.ENTRY and row.vm == own.vm
        )


def parse_permit_shard(shard: str) -> UpstreamId:
    """Return the service and upstream of a permit shard; a pool's upstream is empty."""
    kind, _, name = shard.partition(":")
    if kind == "pool":
        return UpstreamId(name, "")
    service, _, upstream = name.partition("/")
    return UpstreamId(service, upstream)


def is_workspace_shard(shard: str) -> bool:
    """Return whether a shard is a workspace shard rather than a permit shard."""
    return shard.startswith(workspace_shard(""))
