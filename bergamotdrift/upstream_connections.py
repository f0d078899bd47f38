"""Upstream connections and their keep-alive pool; requests are never resent."""

from collections.abc import Callable, Collection

from bergamotdrift.arbiter_messages import KeptConnections
from bergamotdrift.clock import Clock
from bergamotdrift.http_connection import HttpConnection

# Well below 5 s, after which upstreams commonly close idle connections.
MAX_IDLE_MS = 3000


class UpstreamConnection(HttpConnection):
    """Connection to an upstream of a permit shard, which may be kept for reuse."""

    def __init__(self, shard: str, upstream: str, address: str, clock: Clock):
        super().__init__(address, clock)
        self.shard = shard
        self.upstream = upstream
        self.reused = False
        self.idle_since_ms = 0.0


class UpstreamConnectionPool:
    """Pool of idle connections by shard and upstream."""

    def __init__(self, clock: Clock, on_dropped: Callable[[str, str, int], None]):
        self._clock = clock
        self._on_dropped = on_dropped
        self._idle: dict[tuple[str, str], list[UpstreamConnection]] = {}

    def acquire(
        self,
        shard: str,
        upstream: str,
        address: str,
        avoided: Collection[UpstreamConnection] = (),
    ) -> UpstreamConnection:
        """Return a usable idle connection, or a new unconnected one.

        Connections in `avoided` stay idle.
        """
        idle = self._idle.get((shard, upstream), [])
        kept: list[UpstreamConnection] = []
        dropped = 0
        found = None
        while idle and found is None:
            conn = idle.pop()
            if conn in avoided:
                kept.append(conn)
            elif conn.address == address and self._is_fresh(conn) and conn.is_usable():
                found = conn
            else:
                conn.close()
                dropped += 1
        idle.extend(reversed(kept))
        self._report_dropped(shard, upstream, dropped)
        if found is None:
            return UpstreamConnection(shard, upstream, address, self._clock)
        found.reused = True
        return found

    def put_idle(self, conn: UpstreamConnection) -> bool:
        """Return a connection to the pool after a complete response.

        Returns False if the connection is closed and was not kept.
        """
        if conn.closed:
            return False
        conn.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault((conn.shard, conn.upstream), []).append(conn)
        return True

    def idle_counts(self, shard: str) -> list[KeptConnections]:
        """Return the number of idle connections to each upstream of a shard."""
        return [
            KeptConnections(upstream, len(conns))
            for (owner, upstream), conns in self._idle.items()
            if owner == shard and conns
        ]

    def close_idle(self, shard: str, upstream: str) -> None:
        """Close all idle connections to an upstream."""
        conns = self._idle.pop((shard, upstream), [])
        for conn in conns:
            conn.close()
        self._report_dropped(shard, upstream, len(conns))

    def close_stale(self) -> None:
        """Close connections that are dead or have been idle for too long."""
        for (shard, upstream), conns in list(self._idle.items()):
            usable = [c for c in conns if self._is_fresh(c) and c.is_usable()]
            stale = [c for c in conns if c not in usable]
            for conn in stale:
                conn.close()
            if usable:
                self._idle[shard, upstream] = usable
            else:
                del self._idle[shard, upstream]
            self._report_dropped(shard, upstream, len(stale))

    def close_unlisted(self, addresses: set[str]) -> None:
        """Close connections to upstreams that left or changed their address."""
        for (shard, upstream), conns in list(self._idle.items()):
            if any(conn.address not in addresses for conn in conns):
                self.close_idle(shard, upstream)

    def close_all(self) -> None:
        """Close all idle connections."""
        for shard, upstream in list(self._idle):
            self.close_idle(shard, upstream)

    def _is_fresh(self, conn: UpstreamConnection) -> bool:
        return self._clock.now_ms() - conn.idle_since_ms < MAX_IDLE_MS

    def _report_dropped(self, shard: str, upstream: str, dropped: int) -> None:
        if dropped:
            self._on_dropped(shard, upstream, dropped)
