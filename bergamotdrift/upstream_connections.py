"""Connections to upstreams that never repeat a request."""

import contextlib
import select
import struct
from collections.abc import Callable
from typing import Any

import gevent.socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from bergamotdrift.arbiter_messages import KeptConnections
from bergamotdrift.clock import Clock
from bergamotdrift.http_input import peer_has_closed
from bergamotdrift.streams import new_socket, parse_address, set_stream_options

_RECEIVE_BYTES = 64 * 1024
_CONNECT_TIMEOUT_MS = 500
# Upstreams commonly close idle connections after 5 s; reuse stops well before.
IDLE_MAX_MS = 3000
_MAX_HEAD_BYTES = 64 * 1024
_ABORT = struct.pack("ii", 1, 0)


class ResponseParser(HTTPResponse):
    """Parse one answer; bytes after it mark the connection as unusable."""

    def __init__(self, method: str):
        super().__init__(method=method)
        self.status = 0
        self.extra_data = False
        # An answer without framing is complete once the upstream has closed in order.
        self.ends_with_connection = False

    def _on_message_begin(self) -> None:
        if self.message_complete and self.status >= 200:
            self.extra_data = True
            raise HTTPParseError("data after the end of the answer")
        super()._on_message_begin()

    def _on_headers_complete(self) -> Any:
        result = super()._on_headers_complete()
        self.status = self.get_code()
        return result

    @property
    def head_is_final(self) -> bool:
        """Tell whether the headers of a final answer are complete."""
        return self.headers_complete and self.status >= 200

    def has_framing(self) -> bool:
        """Tell whether the end of the answer can be told from a lost connection."""
        if self.method == "HEAD" or self.status in {204, 304}:
            return True
        return "content-length" in self or "transfer-encoding" in self

    def take_body(self) -> bytes:
        """Return the body bytes that were parsed since the last call."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data


class UpstreamConnection:
    """Exchange one request at a time with an upstream."""

    def __init__(self, shard: str, upstream: str, address: str, clock: Clock):
        self.shard = shard
        self.upstream = upstream
        self.address = address
        self.bytes_left = False
        self.request_sent = False
        self.reused = False
        self.idle_since_ms = 0.0
        self._clock = clock
        self._deadline_ms = 0.0
        self._limit_ms: float | None = None
        self._may_give_up: Callable[[], bool] = lambda: True
        self._closed = False
        self._sock = new_socket(address)

    def begin(
        self,
        deadline_ms: float,
        limit_ms: float | None = None,
        may_give_up: Callable[[], bool] = lambda: True,
    ) -> None:
        """Prepare for a request that must end by the deadline.

        It ends by the earlier `limit_ms` if `may_give_up` then allows it.
        """
        self._deadline_ms = deadline_ms
        self._limit_ms = limit_ms
        self._may_give_up = may_give_up
        self.bytes_left = False
        self.request_sent = False

    def connect(self) -> None:
        """Connect, or raise OSError."""
        left_ms = min(self._remaining_ms(), _CONNECT_TIMEOUT_MS)
        self._sock.settimeout(left_ms / 1000.0)
        self._sock.connect(parse_address(self.address))
        set_stream_options(self._sock)

    def send(self, data: bytes) -> None:
        """Send all data; `bytes_left` tells whether any byte may have gone."""
        view = memoryview(data)
        while view:
            self._sock.settimeout(self._remaining_ms() / 1000.0)
            sent = self._sock.send(view)
            self.bytes_left = True
            view = view[sent:]

    def answer_has_begun(self) -> bool:
        """Tell whether the upstream has sent something or closed."""
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def receive_into(self, parser: ResponseParser) -> int:
        """Feed the next bytes to the parser and return their number.

        Raises OSError and HTTPParseError.
        """
        data = self._receive()
        if not data:
            return self._take_end(parser)
        try:
            parser.feed(data)
        except HTTPParseError:
            if not parser.extra_data:
                raise
        return len(data)

    def _receive(self) -> bytes:
        """Return the next bytes, empty at the end; raises OSError."""
        while True:
            self._sock.settimeout(self._remaining_ms() / 1000.0)
            # Whether the time is over is decided by the next call for what remains.
            with contextlib.suppress(TimeoutError):
                return self._sock.recv(_RECEIVE_BYTES)

    def _take_end(self, parser: ResponseParser) -> int:
        """Complete an answer that has no framing; any other one is truncated."""
        if not parser.head_is_final or parser.has_framing():
            raise ConnectionResetError("the upstream closed the connection")
        parser.ends_with_connection = True
        parser.message_complete = True
        return 0

    def abort(self) -> None:
        """Reset the connection, so that nothing still on its way takes effect."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, _ABORT
            )
        self._closed = True
        self._sock.close()

    def is_usable(self) -> bool:
        """Tell whether an idle connection is still open and silent."""
        return not self._closed and peer_has_closed(self._sock) is False

    def close(self) -> None:
        """Close the connection; an operation in progress fails."""
        if self._closed:
            return
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(gevent.socket.SHUT_RDWR)
        self._sock.close()

    @property
    def closed(self) -> bool:
        """Tell whether this side closed the connection."""
        return self._closed

    def _remaining_ms(self) -> float:
        now_ms = self._clock.now_ms()
        left_ms = self._deadline_ms - now_ms
        if left_ms <= 0:
            raise TimeoutError("the deadline has passed")
        if self._limit_ms is None:
            return left_ms
        if now_ms < self._limit_ms:
            return min(left_ms, self._limit_ms - now_ms)
        if self._may_give_up():
            raise TimeoutError("the attempt's limit has passed")
        self._limit_ms = None
        return left_ms


def read_head(conn: UpstreamConnection, method: str) -> ResponseParser:
    """Return the parser once the headers of the final answer are complete."""
    parser = ResponseParser(method)
    received = 0
    while not parser.head_is_final:
        if received > _MAX_HEAD_BYTES:
            raise HTTPParseError("the answer's headers are too large")
        received += conn.receive_into(parser)
        if parser.status == 101:
            raise HTTPParseError("the upstream switched protocols")
    return parser


class UpstreamConnections:
    """Keep idle connections per upstream of a shard."""

    def __init__(self, clock: Clock, on_dropped: Callable[[str, str, int], None]):
        self._clock = clock
        self._on_dropped = on_dropped
        self._idle: dict[tuple[str, str], list[UpstreamConnection]] = {}

    def take(self, shard: str, upstream: str, address: str) -> UpstreamConnection:
        """Return an idle connection that still works, or a new unconnected one."""
        idle = self._idle.get((shard, upstream), [])
        dropped = 0
        found = None
        while idle and found is None:
            conn = idle.pop()
            if conn.address == address and self._is_fresh(conn) and conn.is_usable():
                found = conn
            else:
                conn.close()
                dropped += 1
        self._report(shard, upstream, dropped)
        if found is None:
            return UpstreamConnection(shard, upstream, address, self._clock)
        found.reused = True
        return found

    def keep(self, conn: UpstreamConnection) -> bool:
        """Keep a connection whose answer is complete and tell whether it was kept."""
        if conn.closed:
            return False
        conn.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault((conn.shard, conn.upstream), []).append(conn)
        return True

    def kept(self, shard: str) -> list[KeptConnections]:
        """Return the number of idle connections per upstream of a shard."""
        return [
            KeptConnections(upstream, len(conns))
            for (owner, upstream), conns in self._idle.items()
            if owner == shard and conns
        ]

    def drop(self, shard: str, upstream: str) -> None:
        """Close all idle connections to an upstream."""
        conns = self._idle.pop((shard, upstream), [])
        for conn in conns:
            conn.close()
        self._report(shard, upstream, len(conns))

    def drop_old(self) -> None:
        """Close the connections that have been idle for too long or are dead."""
        for (shard, upstream), conns in list(self._idle.items()):
            good = [c for c in conns if self._is_fresh(c) and c.is_usable()]
            bad = [c for c in conns if c not in good]
            for conn in bad:
                conn.close()
            if good:
                self._idle[shard, upstream] = good
            else:
                del self._idle[shard, upstream]
            self._report(shard, upstream, len(bad))

    def drop_unknown(self, addresses: set[str]) -> None:
        """Close the connections whose upstream left or changed its address."""
        for (shard, upstream), conns in list(self._idle.items()):
            if any(conn.address not in addresses for conn in conns):
                self.drop(shard, upstream)

    def drop_all(self) -> None:
        """Close all idle connections."""
        for shard, upstream in list(self._idle):
            self.drop(shard, upstream)

    def _is_fresh(self, conn: UpstreamConnection) -> bool:
        return self._clock.now_ms() - conn.idle_since_ms < IDLE_MAX_MS

    def _report(self, shard: str, upstream: str, dropped: int) -> None:
        if dropped:
            self._on_dropped(shard, upstream, dropped)
