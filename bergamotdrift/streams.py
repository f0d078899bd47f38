"""Message streams over TCP between the system's processes."""

import contextlib
import os
import random
import socket
import time
import zlib
from typing import Any, Protocol

import gevent
import gevent.event
import gevent.socket
import msgpack
from gevent import queue
from gevent.event import AsyncResult
from gevent.server import StreamServer as _GeventServer

from bergamotdrift import constants, messages, stream_metrics
from bergamotdrift.exceptions import (
    CallError,
    ProtocolError,
    Refusal,
    StreamClosedError,
)
from bergamotdrift.messages import (
    Failure,
    FrameFlag,
    Heartbeat,
    Hello,
    Message,
)
from bergamotdrift.stream_metrics import PeerZone

_RECEIVE_BYTES = 64 * 1024
_MAX_BATCH_FRAMES = 256
_COMPRESS_MIN_BYTES = 384
_COMPRESSION_LEVEL = 1
_BACKOFF_MIN_S = 0.05
_BACKOFF_MAX_S = 1.0
_HEARTBEAT_FRAME = msgpack.packb([0, 0, *messages.pack_body(Heartbeat())])


class StreamHandler(Protocol):
    """Handle the events of a connection; called in its reader greenlet."""

    def on_open(self, conn: "Connection") -> None:
        """Handle a new connection, after its hello was accepted."""
        ...

    def on_message(self, conn: "Connection", number: int, msg: Message) -> None:
        """Handle a message; a request has a number above 0 and requires a reply."""
        ...

    def on_close(self, conn: "Connection") -> None:
        """Handle the end of a connection."""
        ...


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and port of `host:port`, or raise ValueError."""
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"{address!r} is not of the form host:port")
    return host, int(port)


def new_socket(address: str) -> Any:
    """Return an unconnected socket for the family of an IP address."""
    host = parse_address(address)[0]
    return gevent.socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)


def connect_to(address: str, timeout_ms: float) -> Any:
    """Return a socket connected to an IP address and port, or raise OSError.

    It bypasses gevent's resolver, whose first use imports modules, which takes seconds
    on a busy machine.
    """
    sock = new_socket(address)
    try:
        sock.settimeout(timeout_ms / 1000.0)
        sock.connect(parse_address(address))
        disable_nagle(sock)
    except OSError:
        sock.close()
        raise
    return sock


def disable_nagle(sock: Any) -> None:
    """Disable Nagle's algorithm, which delays small frames by up to 40 ms."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Connection:
    """Exchange frames with one peer until either side closes the connection.

    A frame is `[number, flag, name, fields]`, compressed if it is large. Heartbeats
    keep the stream alive; it is closed if nothing arrives within the read deadline,
    since a TCP connection may fail without a reset.
    """

    def __init__(self, sock: Any, hello: Hello, handler: StreamHandler):
        self._sock = sock
        self._hello = hello
        self._handler = handler
        self._outgoing: queue.Queue = queue.Queue(constants.STREAM_QUEUE_FRAMES)
        self._pending_replies: dict[int, AsyncResult] = {}
        self._last_number = 0
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=constants.STREAM_MAX_FRAME_BYTES
        )
        self.peer: Hello | None = None
        self._zone_of_peer = PeerZone.UNKNOWN
        self.closed = False
        self.close_reason = ""
        self._sent_since_heartbeat = False
        self._writer_busy = False
        self.received_at_s = time.monotonic()

    def send(self, msg: Message) -> None:
        """Queue a one-way message, or raise StreamClosedError."""
        self.send_packed(pack_one_way(msg), type(msg))

    def send_packed(self, frame: bytes, kind: type) -> None:
        """Queue a frame from `pack_one_way`, or raise StreamClosedError."""
        if self.closed:
            raise StreamClosedError(self.close_reason)
        stream_metrics.count_sent(kind.__name__, self._zone_of_peer, len(frame))
        self._sent_since_heartbeat = True
        if self._outgoing.empty() and not self._writer_busy:
            frame = self._send_now(frame)
        if frame:
            self._queue_for_writer(frame)

    def reply(self, number: int, msg: Message) -> None:
        """Queue the reply to a request; it is dropped if the connection is closed."""
        if self.closed:
            return
        self._enqueue(number, FrameFlag.REPLY, msg)

    def request(self, msg: Message) -> AsyncResult:
        """Queue a request and return the future of its reply."""
        self._last_number += 1
        number = self._last_number
        fut: AsyncResult = AsyncResult()
        self._pending_replies[number] = fut
        try:
            self._enqueue(number, FrameFlag.REQUEST, msg)
        except StreamClosedError:
            self._pending_replies.pop(number, None)
            raise
        return fut

    def call(self, msg: Message, timeout_ms: float) -> Message:
        """Send a request and return its reply.

        Raises StreamClosedError, CallError for a `Failure` and gevent.Timeout.
        """
        fut = self.request(msg)
        number = self._last_number
        try:
            answer = fut.get(timeout=timeout_ms / 1000.0)
        finally:
            self._pending_replies.pop(number, None)
        if isinstance(answer, Failure):
            raise CallError(Refusal(answer.kind, answer.detail))
        return answer

    def run(self) -> None:
        """Exchange hellos, then read frames until the connection is closed."""
        writer = gevent.spawn(self._write_loop)
        heartbeat = gevent.spawn(self._heartbeat_loop)
        opened = False
        try:
            self._sock.settimeout(constants.STREAM_READ_DEADLINE_MS / 1000.0)
            self.send(self._hello)
            self._read_hello()
            opened = True
            self._handler.on_open(self)
            self._read_loop()
        except (OSError, ProtocolError, StreamClosedError) as exc:
            self.close(str(exc) or type(exc).__name__)
        finally:
            self.close("ended")
            gevent.killall([writer, heartbeat], block=False)
            if opened:
                self._handler.on_close(self)

    def silent_ms(self) -> float:
        """Return the milliseconds since the last bytes arrived."""
        return (time.monotonic() - self.received_at_s) * 1000.0

    def close(self, reason: str) -> None:
        """Close the connection and fail the pending requests."""
        if self.closed:
            return
        self.closed = True
        self.close_reason = reason
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        pending, self._pending_replies = self._pending_replies, {}
        for fut in pending.values():
            fut.set_exception(StreamClosedError(reason))

    def _enqueue(self, number: int, flag: FrameFlag, msg: Message) -> None:
        frame = _pack_frame([number, int(flag), *messages.pack_body(msg)])
        self.send_packed(frame, type(msg))

    def _send_now(self, data: bytes) -> bytes:
        """Write to the socket and return the unsent rest; an error closes the stream.

        For a single frame this saves the switch to the writer greenlet.
        """
        try:
            return data[os.write(self._sock.fileno(), data) :]
        except BlockingIOError:
            return data
        except OSError as exc:
            self.close(str(exc))
            return b""

    def _queue_for_writer(self, data: bytes) -> None:
        try:
            self._outgoing.put_nowait(data)
        except queue.Full:
            # A peer that reads too slowly would receive outdated messages.
            self.close("the outgoing queue is full")
            raise StreamClosedError(self.close_reason) from None

    def _write_loop(self) -> None:
        while not self.closed:
            frames = [self._outgoing.get()]
            self._writer_busy = True
            while len(frames) < _MAX_BATCH_FRAMES and not self._outgoing.empty():
                frames.append(self._outgoing.get_nowait())
            try:
                self._sock.sendall(b"".join(frames))
            except OSError as exc:
                self.close(str(exc))
            self._writer_busy = False

    def _heartbeat_loop(self) -> None:
        while not self.closed:
            gevent.sleep(constants.STREAM_HEARTBEAT_MS / 1000.0)
            if (
                not self._sent_since_heartbeat
                and self._outgoing.empty()
                and not self.closed
            ):
                self._outgoing.put_nowait(_HEARTBEAT_FRAME)
            self._sent_since_heartbeat = False

    def _read_hello(self) -> None:
        _, _, msg = next(self._frames())
        if not isinstance(msg, Hello):
            raise ProtocolError("the first frame must be a hello")
        if msg.cluster != self._hello.cluster:
            raise ProtocolError(f"the peer belongs to cluster {msg.cluster[:64]!r}")
        self.peer = msg
        if self._hello.zone and msg.zone:
            same = msg.zone == self._hello.zone
            self._zone_of_peer = PeerZone.OWN if same else PeerZone.OTHER

    def _read_loop(self) -> None:
        for number, flag, msg in self._frames():
            if isinstance(msg, Heartbeat):
                continue
            if flag == FrameFlag.REPLY:
                self._resolve_reply(number, msg)
            else:
                self._handler.on_message(self, number, msg)
            if self.closed:
                return

    def _resolve_reply(self, number: int, msg: Message) -> None:
        fut = self._pending_replies.pop(number, None)
        if fut is not None:
            fut.set(msg)

    def _frames(self):
        while True:
            try:
                yield from map(_parse_frame, self._unpacker)
            except (ValueError, msgpack.UnpackException) as exc:
                raise ProtocolError(f"invalid frame: {exc}") from exc
            data = self._sock.recv(_RECEIVE_BYTES)
            if not data:
                raise StreamClosedError("the peer closed the connection")
            self.received_at_s = time.monotonic()
            try:
                self._unpacker.feed(data)
            except msgpack.BufferFull as exc:
                raise ProtocolError("the frame is too large") from exc


def pack_one_way(msg: Message) -> bytes:
    """Return a one-way frame, which can be sent on several streams."""
    return _pack_frame([0, int(FrameFlag.ONE_WAY), *messages.pack_body(msg)])


def _pack_frame(parts: list[Any]) -> bytes:
    """Return a frame, compressed if it is large; settings shrink to a tenth."""
    data = msgpack.packb(parts)
    if len(data) < _COMPRESS_MIN_BYTES:
        return data
    return msgpack.packb(zlib.compress(data, _COMPRESSION_LEVEL))


def _unpack_compressed(data: bytes) -> Any:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, constants.STREAM_MAX_FRAME_BYTES)
        if not unpacker.eof:
            raise ProtocolError("the compressed frame is too large or truncated")
        return msgpack.unpackb(plain)
    except (zlib.error, ValueError, msgpack.UnpackException) as exc:
        raise ProtocolError(f"invalid compressed frame: {exc}") from exc


def _parse_frame(frame: Any) -> tuple[int, int, Message]:
    if isinstance(frame, bytes):
        frame = _unpack_compressed(frame)
    if not isinstance(frame, list) or len(frame) != 4:
        raise ProtocolError("a frame must have four parts")
    number, flag, name, fields = frame
    if type(number) is not int or type(flag) is not int:
        raise ProtocolError("a frame's number and flag must be integers")
    return number, flag, messages.unpack_body([name, fields])


class StreamServer:
    """Accept streams on an address and run a handler for each."""

    def __init__(self, address: str, hello: Hello, handler: StreamHandler):
        self._hello = hello
        self._handler = handler
        self._server = _GeventServer(parse_address(address), self._accept)
        self.connections: set[Connection] = set()

    @property
    def address(self) -> str:
        """Return the bound address as `host:port`."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._server.stop(timeout=0)
        for conn in list(self.connections):
            conn.close("the server is stopping")

    def _accept(self, sock: Any, _peer_address: Any) -> None:
        disable_nagle(sock)
        conn = Connection(sock, self._hello, self._handler)
        self.connections.add(conn)
        try:
            conn.run()
        finally:
            self.connections.discard(conn)


class StreamClient:
    """Keep a stream to an address open, reconnecting with backoff."""

    def __init__(
        self,
        address: str,
        hello: Hello,
        handler: StreamHandler,
    ):
        self.address = address
        self._hello = hello
        self._handler = handler
        self._greenlet: gevent.Greenlet | None = None
        self._backoff_s = _BACKOFF_MIN_S
        self._ready = gevent.event.Event()
        self.conn: Connection | None = None

    def start(self) -> None:
        """Start connecting in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the stream and stop reconnecting."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self.conn is not None:
            self.conn.close("the client is stopping")

    def ready_connection(self, timeout_ms: float = 0.0) -> Connection:
        """Return the open connection, or raise StreamClosedError after the timeout."""
        if not self._ready.is_set() and timeout_ms > 0:
            self._ready.wait(timeout_ms / 1000.0)
        conn = self.conn
        if conn is None or conn.closed or not self._ready.is_set():
            raise StreamClosedError(f"not connected to {self.address}")
        return conn

    def call(self, msg: Message, timeout_ms: float) -> Message:
        """Send a request on the open connection and return its reply."""
        return self.ready_connection(timeout_ms).call(msg, timeout_ms)

    def on_open(self, conn: Connection) -> None:
        """Mark the stream as ready and notify the handler."""
        self._backoff_s = _BACKOFF_MIN_S
        self._ready.set()
        self._handler.on_open(conn)

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Pass a message to the handler."""
        self._handler.on_message(conn, number, msg)

    def on_close(self, conn: Connection) -> None:
        """Mark the stream as closed and notify the handler."""
        self._ready.clear()
        self._handler.on_close(conn)

    def _run(self) -> None:
        while True:
            self._run_connection()
            gevent.sleep(self._backoff_s * random.uniform(0.5, 1.0))
            self._backoff_s = min(self._backoff_s * 2, _BACKOFF_MAX_S)

    def _run_connection(self) -> None:
        try:
            sock = connect_to(self.address, constants.STREAM_CONNECT_TIMEOUT_MS)
        except OSError:
            return
        self.conn = Connection(sock, self._hello, self)
        try:
            self.conn.run()
        finally:
            self.conn = None
