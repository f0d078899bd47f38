"""Reports of nodes to a follower that the control leader is unreachable."""

from collections.abc import Collection

# A node without a leader pings each replica several times within this period.
REPORT_TTL_MS = 1500.0
# Leaves the leader time to transfer leadership before it is asked again.
_REQUEST_INTERVAL_MS = 2000.0


class LeaderReachability:
    """Decide when a follower requests a leadership transfer.

    After a one-way network partition the leader may keep its quorum while its replies
    to the nodes are lost. Raft alone would keep such a leader.
    """

    def __init__(self) -> None:
        self._reported_at_ms: dict[str, float] = {}
        self._requested_at_ms = float("-inf")

    def add(self, node: str, nodes: Collection[str], now_ms: float) -> bool:
        """Record a node's report; return True if leadership should be requested now.

        That takes recent reports from a majority of `nodes`, and no request within
        `_REQUEST_INTERVAL_MS`.
        """
        self._reported_at_ms[node] = now_ms
        self._reported_at_ms = {
            name: at_ms
            for name, at_ms in self._reported_at_ms.items()
            if name in nodes and now_ms - at_ms < REPORT_TTL_MS
        }
        if 2 * len(self._reported_at_ms) <= len(nodes):
            return False
        if now_ms - self._requested_at_ms < _REQUEST_INTERVAL_MS:
            return False
        self._requested_at_ms = now_ms
        return True
