"""Planning of commands that assign shards to arbiters."""

from collections.abc import Callable

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import ServiceKind, SiteSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.messages import (
    Message,
    Role,
)
from bergamotdrift.node_sessions import NodeSessions
from bergamotdrift.placement import ShardOwner, choose_shard_owners
from bergamotdrift.shards import pool_shard, upstream_shard, workspace_shard

MOVE_INTERVAL_MS = 1000
# A moved shard grants no permits until all entries have reported to its new arbiter.
MOVES_PER_INTERVAL = 16
# An arbiter treats the upstreams of its first feed as new and ramps them up again. So
# no shards move to it from others until it has followed the feed for the longest ramp.
SETTLE_MARGIN_MS = 1000.0
SETTLE_MAX_MS = 30_000.0


class ShardPlanner:
    """Plan which arbiter owns each shard."""

    def __init__(
        self, state: ControlState, nodes: NodeSessions, pause: Callable[[], None]
    ):
        self._state = state
        self._nodes = nodes
        self._pause = pause
        self._known_members: frozenset[str] = frozenset()
        self._planned: tuple[int, frozenset[str]] | None = None
        self._next_moves_ms = 0.0
        self._since_ms: dict[cmd.NodeIncarnation, float] = {}

    def commands(self, now_ms: float) -> list[Message]:
        """Return the assignments and removals that are due."""
        settings = self._state.settings.current
        if settings is None:
            return []
        members = self._eligible_members(settings, now_ms)
        current = (self._state.feed_index, members)
        if current == self._planned:
            return []
        wanted = self._wanted_shards(settings)
        unwanted = [s for s in self._state.rows.shards.list_keys() if s not in wanted]
        changes = self._changes(wanted, members, now_ms)
        commands: list[Message] = []
        if unwanted:
            commands.append(cmd.RemoveShards(unwanted))
        if changes:
            commands.append(
                cmd.AssignShards([self._assignment(item) for item in changes])
            )
        if not commands and self._known_members == members:
            self._planned = current
        return commands

    def _eligible_members(
        self, settings: SiteSettings, now_ms: float
    ) -> frozenset[str]:
        """Return the arbiters that may own shards: settled, owning, or else all."""
        live = {
            cmd.NodeIncarnation(row.node, row.incarnation)
            for row in self._state.rows.nodes.rows()
            if row.role is Role.ARBITER
            and not settings.zone_is_out(row.zone)
            and self._nodes.is_live(row.node)
        }
        self._since_ms = {item: self._since_ms.get(item, now_ms) for item in live}
        settle_ms = _settle_ms(settings)
        owners = {row.node for row in self._state.rows.shards.rows()}
        members = frozenset(
            item.node
            for item, since_ms in self._since_ms.items()
            if item.node in owners or now_ms - since_ms >= settle_ms
        )
        return members or frozenset(item.node for item in live)

    def _wanted_shards(self, settings: SiteSettings) -> set[str]:
        pools = {s.name for s in settings.services if s.kind is ServiceKind.POOL}
        wanted = {pool_shard(name) for name in pools}
        wanted |= {workspace_shard(w.name) for w in settings.workspaces}
        for row in self._state.rows.upstreams.rows():
            if row.service not in pools:
                wanted.add(upstream_shard(row.service, row.upstream))
        return wanted

    def _changes(
        self, wanted: set[str], members: frozenset[str], now_ms: float
    ) -> list[ShardOwner]:
        owners = {shard: self._owner_of(shard) for shard in sorted(wanted)}
        if not members:
            return [ShardOwner(shard, "") for shard, owner in owners.items() if owner]
        limit = MOVES_PER_INTERVAL if now_ms >= self._next_moves_ms else 0
        joined = members - self._known_members
        changes = choose_shard_owners(owners, members, joined, limit, self._pause)
        moves = sum(owners[item.shard] in members for item in changes)
        if moves:
            self._next_moves_ms = now_ms + MOVE_INTERVAL_MS
        if moves < limit:
            self._known_members = members
        return changes

    def _owner_of(self, shard: str) -> str:
        row = self._state.rows.shards.get(shard)
        return row.node if row is not None else ""

    def _assignment(self, owner: ShardOwner) -> cmd.ShardAssignment:
        row = self._state.rows.shards.get(owner.shard)
        return cmd.ShardAssignment(
            owner.shard, row.epoch if row is not None else 0, owner.node
        )


def _settle_ms(settings: SiteSettings) -> float:
    ramps = [service.cold_start.ramp_s * 1000.0 for service in settings.services]
    return min(SETTLE_MAX_MS, max(ramps, default=0.0) + SETTLE_MARGIN_MS)
