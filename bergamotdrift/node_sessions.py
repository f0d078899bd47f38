"""Sessions of entries and arbiters with the control leader."""

import math
from enum import Enum

from bergamotdrift import control_commands as cmd
from bergamotdrift.control_state import ControlState
from bergamotdrift.handover import Acknowledged
from bergamotdrift.messages import (
    Message,
    NodeRow,
    Role,
)
from bergamotdrift.session_leases import SessionLeases


class PingResult(Enum):
    """Determine the reply to a ping."""

    CONFIRMED = "confirmed"
    PENDING = "pending"
    IN_USE = "in_use"


class NodeSessions:
    """Register nodes, renew their sessions and expire them."""

    def __init__(self, state: ControlState, opened_at_ms: float):
        self._state = state
        self._leases: SessionLeases[str] = SessionLeases(opened_at_ms)
        self._registering: dict[str, NodeRow] = {}
        self._applied_indexes: dict[cmd.NodeIncarnation, int] = {}

    def ping(self, row: NodeRow, feed_index: int, now_ms: float) -> PingResult:
        """Renew a node's session, or start its registration."""
        registered = self._state.rows.nodes.get(row.node)
        if registered is None:
            return self._register(row, now_ms)
        if registered.incarnation != row.incarnation:
            # The earlier process may still act on its session, so it must end first.
            return PingResult.IN_USE
        if not self._leases.renew(row.node, row.incarnation, now_ms):
            return PingResult.PENDING
        self.record_feed_index(row, feed_index)
        if registered != row:
            self._registering[row.node] = row
            return PingResult.PENDING
        return PingResult.CONFIRMED

    def record_feed_index(self, row: NodeRow, feed_index: int) -> None:
        """Record the feed index up to which a node has applied the feed."""
        key = cmd.NodeIncarnation(row.node, row.incarnation)
        self._applied_indexes[key] = max(feed_index, self._applied_indexes.get(key, 0))

    def end_session(self, node: str, incarnation: str) -> None:
        """End the session of a node that shuts down gracefully."""
        if self._is_known(node, incarnation):
            self._leases.mark_expiring(node, incarnation)

    def is_live(self, node: str) -> bool:
        """Return whether a node is registered and not about to be removed."""
        row = self._state.rows.nodes.get(node)
        if row is None:
            return False
        return not self._leases.is_expiring(node, row.incarnation)

    def acknowledged(self) -> Acknowledged:
        """Return the feed indexes applied by all arbiters and by all nodes."""
        arbiters = nodes = math.inf
        for row in self._state.rows.nodes.rows():
            key = cmd.NodeIncarnation(row.node, row.incarnation)
            index = self._applied_indexes.get(key, 0)
            nodes = min(nodes, index)
            if row.role is Role.ARBITER:
                arbiters = min(arbiters, index)
        return Acknowledged(arbiters, nodes)

    def commands(self, now_ms: float) -> list[Message]:
        """Return the commands that register and remove nodes."""
        self._prune_removed(now_ms)
        commands: list[Message] = []
        expired = self._expired(now_ms)
        if expired:
            commands.append(cmd.ExpireNodes(expired))
        if self._registering:
            commands.append(cmd.RegisterNodes(list(self._registering.values())))
            self._registering.clear()
        return commands

    def _register(self, row: NodeRow, now_ms: float) -> PingResult:
        other = self._registering.get(row.node)
        if other is not None and other.incarnation != row.incarnation:
            return PingResult.IN_USE
        self._registering[row.node] = row
        self._leases.register(row.node, row.incarnation, now_ms)
        return PingResult.PENDING

    def _expired(self, now_ms: float) -> list[cmd.NodeIncarnation]:
        found = []
        for row in self._state.rows.nodes.rows():
            key = cmd.NodeIncarnation(row.node, row.incarnation)
            ended = self._leases.has_expired(row.node, row.incarnation, now_ms)
            if ended or self._leases.is_expiring(row.node, row.incarnation):
                self._leases.mark_expiring(row.node, row.incarnation)
                found.append(key)
        return found

    def _prune_removed(self, now_ms: float) -> None:
        for key in [k for k in self._applied_indexes if not self._is_known(*k)]:
            del self._applied_indexes[key]
        self._leases.prune_removed(self._is_known, now_ms)

    def _is_known(self, node: str, incarnation: str) -> bool:
        row = self._state.rows.nodes.get(node)
        return row is not None and row.incarnation == incarnation
