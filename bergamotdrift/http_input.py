"""Reading of HTTP/1.1 requests from a socket within time and size limits."""

import contextlib
import io
import re
import socket
import time
from typing import Any, NamedTuple

from gevent import get_hub

from bergamotdrift.exceptions import CallerGoneError, ErrorKind, RequestError

_READ_EVENT = 1
_RECEIVE_BYTES = 64 * 1024
_MAX_LINE_BYTES = 4096
_HEAD_END = b"\r\n\r\n"
# Minimum body bytes per body timeout, so that a caller sending single bytes can't hold
# its connection open forever.
_MIN_BODY_BYTES_PER_TIMEOUT = 1024

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rb"(%s) ([!-~]+) HTTP/1\.([01])" % _TOKEN)
_HEADER_LINE = re.compile(rb"(%s):[ \t]*([\t\x20-\x7e\x80-\xff]*)" % _TOKEN)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
_LENGTH = re.compile(r"[0-9]{1,15}")


class HttpLimits(NamedTuple):
    """Limits of a server; times are in seconds.

    Answers state `idle_timeout_s`, and a connection is closed `idle_margin_s` later.
    Behind the request that is answered, a connection runs up to `max_ahead_requests`
    more. It starts none while their answers hold `max_ahead_bytes`, or those of all
    connections `max_ahead_total_bytes`.
    """

    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    max_connections: int = 256
    max_header_bytes: int = 16 * 1024
    max_headers: int = 100
    idle_margin_s: float = 0.0
    max_ahead_requests: int = 4
    # Two answers of the largest size that is received whole before it is passed on.
    max_ahead_bytes: int = 128 * 1024
    # About 5 % of the memory of the smallest entry, 152 MB.
    max_ahead_total_bytes: int = 8 * 1024 * 1024


class HeaderLine(NamedTuple):
    """Header line as received."""

    name: str
    value: str


class RequestHead(NamedTuple):
    """Validated request line and headers; `length` is None for a chunked body.

    `fields` maps lower-case header names to their values.
    """

    method: str
    target: str
    minor_version: int
    headers: list[HeaderLine]
    fields: dict[str, list[str]]
    length: int | None
    chunked: bool
    expects_continue: bool
    keep_alive: bool


class SocketReader:
    """Buffered reader of lines and bytes from a socket."""

    def __init__(self, sock: Any):
        self._sock = sock
        self._buf = bytearray()

    @property
    def has_data(self) -> bool:
        """Whether received data waits to be parsed."""
        return bool(self._buf)

    def receive(self, timeout_s: float) -> bool:
        """Receive more data and return False at the end of the stream.

        Raises RequestError, and CallerGoneError if the connection is lost.
        """
        if timeout_s <= 0:
            raise RequestError(ErrorKind.REQUEST_TIMEOUT)
        self._sock.settimeout(timeout_s)
        try:
            data = self._sock.recv(_RECEIVE_BYTES)
        except TimeoutError as exc:
            raise RequestError(ErrorKind.REQUEST_TIMEOUT) from exc
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc
        self._buf += data
        return bool(data)

    def receive_arrived(self) -> None:
        """Receive data that has arrived, without waiting.

        A lost connection is left to the next read or write.
        """
        with contextlib.suppress(OSError):
            self._buf += socket.socket.recv(
                self._sock._sock, _RECEIVE_BYTES, socket.MSG_DONTWAIT
            )

    def peek_head(self, limits: HttpLimits) -> bytes | None:
        """Return the bytes before the empty line if they have arrived, else None.

        They remain to be read. Raises RequestError.
        """
        end = self._buf.find(_HEAD_END)
        if (len(self._buf) if end < 0 else end) > limits.max_header_bytes:
            raise RequestError(ErrorKind.HEADERS_TOO_LARGE)
        return None if end < 0 else bytes(self._buf[:end])

    def read_head(self, limits: HttpLimits) -> bytes:
        """Return the bytes before the empty line.

        Raises RequestError, and CallerGoneError if the caller has left.
        """
        end_s = time.monotonic() + limits.header_timeout_s
        start = 0
        while True:
            end = self._buf.find(_HEAD_END, start)
            if end > limits.max_header_bytes:
                raise RequestError(ErrorKind.HEADERS_TOO_LARGE)
            if end >= 0:
                return self._take_head(end)
            if len(self._buf) > limits.max_header_bytes:
                raise RequestError(ErrorKind.HEADERS_TOO_LARGE)
            start = max(0, len(self._buf) - len(_HEAD_END) + 1)
            if not self.receive(end_s - time.monotonic()):
                raise CallerGoneError("connection closed within the headers")

    def read_line(self, timeout_s: float) -> bytes:
        """Return a line without its CRLF.

        Raises RequestError, and CallerGoneError if the caller has left.
        """
        end_s = time.monotonic() + timeout_s
        while True:
            end = self._buf.find(b"\n")
            if end >= 0:
                break
            if len(self._buf) > _MAX_LINE_BYTES:
                raise RequestError(ErrorKind.MALFORMED_REQUEST, "chunk line too long")
            if not self.receive(end_s - time.monotonic()):
                raise CallerGoneError("connection closed within the body")
        line = bytes(self._buf[: end + 1])
        del self._buf[: end + 1]
        if not line.endswith(b"\r\n"):
            raise RequestError(ErrorKind.MALFORMED_REQUEST, "line without CRLF")
        return line[:-2]

    def read_into(self, target: memoryview, timeout_s: float) -> int:
        """Fill part of the target and return its size.

        Raises RequestError, and CallerGoneError if the caller has left.
        """
        if not self._buf and not self.receive(timeout_s):
            raise CallerGoneError("connection closed within the body")
        size = min(len(target), len(self._buf))
        target[:size] = self._buf[:size]
        del self._buf[:size]
        return size

    def _take_head(self, end: int) -> bytes:
        head = bytes(self._buf[:end])
        del self._buf[: end + len(_HEAD_END)]
        return head


def parse_head(data: bytes, limits: HttpLimits) -> RequestHead:
    """Parse and validate the head of a request; raises RequestError."""
    lines = data.lstrip(b"\r\n").split(b"\r\n")
    match = _REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "invalid request line")
    if len(lines) - 1 > limits.max_headers:
        raise RequestError(ErrorKind.HEADERS_TOO_LARGE, "too many headers")
    headers = [_parse_header(line) for line in lines[1:]]
    method, target, minor = match.groups()
    return _build_head(method.decode(), target.decode(), int(minor), headers)


def _parse_header(line: bytes) -> HeaderLine:
    match = _HEADER_LINE.fullmatch(line)
    if match is None:
        # Also rejects folded headers, which servers interpret differently.
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "invalid header line")
    name, value = match.groups()
    return HeaderLine(name.decode("latin-1"), value.decode("latin-1").strip(" \t"))


def _build_head(
    method: str, target: str, minor: int, headers: list[HeaderLine]
) -> RequestHead:
    fields: dict[str, list[str]] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), []).append(value)
    lengths = fields.get("content-length", [])
    codings = fields.get("transfer-encoding", [])
    _check_framing(lengths, codings, minor)
    _check_host(fields.get("host", []), minor)
    tokens = connection_tokens(fields)
    expects = [value.lower() for value in fields.get("expect", [])]
    return RequestHead(
        method,
        target,
        minor,
        headers,
        fields,
        None if codings else int(lengths[0]) if lengths else 0,
        bool(codings),
        minor == 1 and "100-continue" in expects,
        "keep-alive" in tokens if minor == 0 else "close" not in tokens,
    )


def _check_framing(lengths: list[str], codings: list[str], minor: int) -> None:
    if lengths and codings:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, "both Content-Length and Transfer-Encoding"
        )
    if len(lengths) > 1 or any(not _LENGTH.fullmatch(value) for value in lengths):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "invalid Content-Length")
    if codings and (minor == 0 or [c.lower() for c in codings] != ["chunked"]):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "invalid Transfer-Encoding")


def _check_host(hosts: list[str], minor: int) -> None:
    if len(hosts) > 1 or (minor == 1 and not hosts):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "invalid Host")


def connection_tokens(fields: dict[str, list[str]]) -> set[str]:
    """Return the lower-case tokens of `Connection`, which name hop-by-hop headers."""
    return {
        token.strip().lower()
        for value in fields.get("connection", ())
        for token in value.split(",")
    }


class BodyReader(io.RawIOBase):
    """Read a request body; raises RequestError or CallerGoneError."""

    def __init__(
        self, reader: SocketReader, head: RequestHead, sock: Any, timeout_s: float
    ):
        self._reader = reader
        self._sock = sock
        self._timeout_s = timeout_s
        self._remaining = head.length or 0
        self._chunked = head.chunked
        self._in_chunk = False
        self._window_start_s = 0.0
        self._window_bytes = 0
        self.needs_continue = head.expects_continue and (
            head.chunked or self._remaining > 0
        )
        self.at_end = not head.chunked and self._remaining == 0
        self.failed = False

    def readable(self) -> bool:
        """Return True, since the stream is readable."""
        return True

    @property
    def remaining_bytes(self) -> int | None:
        """Number of bytes still to be read, or None for a chunked body."""
        return None if self._chunked and not self.at_end else self._remaining

    def readinto(self, target: Any) -> int:
        """Fill part of the target and return its size, 0 at the end."""
        if self.at_end:
            return 0
        try:
            self._send_continue()
            if self._chunked and not self._in_chunk:
                self._start_chunk()
                if self.at_end:
                    return 0
            return self._read_data(memoryview(target))
        except Exception:
            self.failed = True
            raise

    def _send_continue(self) -> None:
        if not self.needs_continue:
            return
        self.needs_continue = False
        try:
            self._sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def _read_data(self, target: memoryview) -> int:
        size = self._reader.read_into(target[: self._remaining], self._timeout_s)
        self._remaining -= size
        self._check_progress(size)
        if self._remaining:
            return size
        if self._chunked:
            self._end_chunk()
        else:
            self.at_end = True
        return size

    def _start_chunk(self) -> None:
        match = _CHUNK_LINE.fullmatch(self._reader.read_line(self._timeout_s))
        if match is None:
            raise RequestError(ErrorKind.MALFORMED_REQUEST, "invalid chunk size")
        self._remaining = int(match.group(1), 16)
        self._in_chunk = self._remaining > 0
        if not self._in_chunk:
            self._skip_trailers()
            self.at_end = True

    def _end_chunk(self) -> None:
        if self._reader.read_line(self._timeout_s):
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST, "chunk data exceeds the chunk size"
            )
        self._in_chunk = False

    def _skip_trailers(self) -> None:
        for _ in range(16):
            if not self._reader.read_line(self._timeout_s):
                return
        raise RequestError(ErrorKind.HEADERS_TOO_LARGE, "too many trailers")

    def _check_progress(self, size: int) -> None:
        now_s = time.monotonic()
        if not self._window_start_s:
            self._window_start_s = now_s
        self._window_bytes += size
        if self._window_bytes >= _MIN_BODY_BYTES_PER_TIMEOUT:
            self._window_start_s, self._window_bytes = now_s, 0
        elif now_s - self._window_start_s > self._timeout_s:
            raise RequestError(
                ErrorKind.REQUEST_TIMEOUT, "the request body arrives too slowly"
            )


def peer_has_closed(sock: Any) -> bool | None:
    """Return whether the peer closed its side; None if it sent more data."""
    try:
        data = socket.socket.recv(sock._sock, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return None if data else True


def read_watcher(sock: Any) -> Any:
    """Return a stopped watcher of the event loop for a readable socket."""
    return get_hub().loop.io(sock.fileno(), _READ_EVENT)
