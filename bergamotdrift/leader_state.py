"""Volatile state of the control leader: its replies and the commands it proposes."""

from collections.abc import Callable, Sequence

from bergamotdrift.announced_leases import AnnouncedLeases
from bergamotdrift.config.schema import (
    STATED_RATE,
    ColdBound,
    RangeGrants,
    RolloutBounds,
)
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import PartitionId, UpstreamId
from bergamotdrift.handover import Handover
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReply,
    LoadReport,
    Message,
    NodeRow,
    PaceLot,
    PaceNeed,
    PartitionRef,
    PartitionState,
    RateLot,
    RateNeed,
)
from bergamotdrift.node_sessions import NodeSessions, PingResult
from bergamotdrift.pace_buckets import PaceBuckets
from bergamotdrift.pace_metrics import record_change
from bergamotdrift.partition_planner import PartitionPlanner
from bergamotdrift.range_leases import RangeLeases
from bergamotdrift.range_planner import RangePlanner
from bergamotdrift.rate_buckets import RateBuckets
from bergamotdrift.rollout_plan import RolloutPlanner
from bergamotdrift.shard_planner import ShardPlanner
from bergamotdrift.shards import upstream_shard
from bergamotdrift.upstream_sessions import UpstreamSessions

_LEASES_BY_GRANTS: dict[RangeGrants, Callable[[float], RangeLeases]] = {
    RangeGrants.CALLED: RangeLeases,
    RangeGrants.ANNOUNCED: AnnouncedLeases,
}


def _no_yield() -> None:
    """Do nothing; for callers without an event loop."""


class LeaderState:
    """Hold the sessions and planners of one term; does no I/O and reads no clock.

    Every lease holder counts as seen at `opened_at_ms`, since the previous leader may
    have renewed its lease up to then. `yield_to_loop` is called during long
    computations.
    """

    def __init__(
        self,
        state: ControlState,
        opened_at_ms: float,
        yield_to_loop: Callable[[], None] = _no_yield,
        upstream_ttl_ms: float | None = None,
        range_grants: RangeGrants = RangeGrants.CALLED,
        cold_bound: ColdBound = STATED_RATE,
        rollout: RolloutBounds | None = None,
        unix_offset_ms: float = 0.0,
    ):
        self._state = state
        self._handover = Handover(state, yield_to_loop)
        self.nodes = NodeSessions(state, opened_at_ms)
        self.upstreams = UpstreamSessions(
            state, self._handover, opened_at_ms, upstream_ttl_ms
        )
        self.ranges = RangePlanner(
            state,
            self.upstreams,
            opened_at_ms,
            yield_to_loop,
            _LEASES_BY_GRANTS[range_grants],
        )
        self.rollouts = RolloutPlanner(state, rollout, unix_offset_ms)
        self._rates = RateBuckets()
        self._rates.add_buckets(state.settings.current, opened_at_ms)
        self._paces = PaceBuckets(cold_bound, opened_at_ms)
        self._paces.on_change = record_change
        self._partitions = PartitionPlanner(
            state, self.upstreams, self._handover, opened_at_ms, yield_to_loop
        )
        self._shards = ShardPlanner(state, self.nodes, yield_to_loop)

    def ping(self, row: NodeRow, feed_index: int, now_ms: float) -> PingResult:
        """Renew a node's session, or start its registration."""
        return self.nodes.ping(row, feed_index, now_ms)

    def announce(self, item: Announcement, now_ms: float) -> AnnouncementReply:
        """Renew an upstream's lease and return its grants; an error changes nothing."""
        return self.upstreams.announce(item, now_ms)

    def defers_reply(self, item: Announcement) -> bool:
        """Return whether a reply must wait for the next round of commands.

        The round may change the grants, so the reply is computed again after it.
        """
        upstream = UpstreamId(item.service, item.upstream)
        return self._partitions.holds_reply(upstream)

    def record_drain_report(self, ref: PartitionRef, node: str) -> bool:
        """Record a drain report; return False if outdated or not the shard owner's."""
        row = self._state.rows.partitions.get(PartitionId(ref.service, ref.partition))
        if row is None or row.epoch != ref.epoch:
            return False
        if row.state is not PartitionState.RELEASING:
            return False
        shard = self._state.rows.shards.get(upstream_shard(row.service, row.upstream))
        if shard is None or shard.node != node or not self.nodes.is_live(node):
            return False
        self._handover.record_drained(ref)
        return True

    def add_loads(self, report: LoadReport, now_ms: float) -> None:
        """Record an arbiter's load report."""
        self._partitions.add_loads(report, now_ms)

    def lease_rate_tokens(
        self, node: str, needs: Sequence[RateNeed], now_ms: float
    ) -> list[RateLot]:
        """Lease rate tokens to an entry."""
        settings = self._state.settings.current
        if settings is None:
            return []
        return self._rates.lease(node, needs, settings, now_ms)

    def lease_pace_tokens(
        self, node: str, needs: Sequence[PaceNeed], now_ms: float
    ) -> list[PaceLot]:
        """Lease tokens for requests to cold upstreams to an entry."""
        settings = self._state.settings.current
        if settings is None or not needs:
            return []
        return self._paces.lease(node, needs, settings, self._incarnation_of, now_ms)

    def _incarnation_of(self, upstream: UpstreamId) -> str:
        row = self._state.rows.upstreams.get(upstream)
        return row.incarnation if row is not None else ""

    def session_commands(self, now_ms: float) -> list[Message]:
        """Return the commands for nodes and upstreams that came, changed or expired."""
        return [*self.nodes.commands(now_ms), *self.upstreams.commands(now_ms)]

    def commands(self, now_ms: float) -> list[Message]:
        """Return the commands that are due, in the order in which to propose them."""
        return [
            *self.session_commands(now_ms),
            *self._partitions.commands(self.nodes.acknowledged(), now_ms),
            *self._shards.commands(now_ms),
            # Before the ranges, which follow the shares.
            *self.rollouts.commands(now_ms),
            *self.ranges.commands(now_ms),
        ]
