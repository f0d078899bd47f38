"""HTTP connections that send a request once and read a bounded response."""

import contextlib
import select
import struct
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import gevent.socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from bergamotdrift.clock import Clock
from bergamotdrift.http_input import peer_has_closed
from bergamotdrift.streams import disable_nagle, new_socket, parse_address

_RECEIVE_BYTES = 64 * 1024
_CONNECT_TIMEOUT_MS = 500
# Bytes of headers, trailers and chunk sizes that may arrive without any of the body.
_MAX_OVERHEAD_BYTES = 64 * 1024
# The parser accepts all numbers of three digits.
_VALID_STATUSES = range(100, 600)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class BrokenReason(StrEnum):
    """List the reasons for which a response is not accepted."""

    CLOSED = "closed"
    RESET_DURING_REQUEST = "reset_during_request"
    INVALID_STATUS = "invalid_status"
    MALFORMED = "malformed"


class ResetDuringRequestError(ConnectionResetError):
    """The connection was reset while the request was sent."""


class InvalidStatusError(HTTPParseError):
    """The response has a status that HTTP does not define."""


def broken_reason(exc: OSError | HTTPParseError) -> BrokenReason:
    """Return the reason why a response ended with an error."""
    if isinstance(exc, ResetDuringRequestError):
        return BrokenReason.RESET_DURING_REQUEST
    if isinstance(exc, InvalidStatusError):
        return BrokenReason.INVALID_STATUS
    if isinstance(exc, HTTPParseError):
        return BrokenReason.MALFORMED
    return BrokenReason.CLOSED


class ResponseParser(HTTPResponse):
    """Parser of a single response; sets `extra_data` if more data follows it."""

    def __init__(self, method: str):
        super().__init__(method=method)
        self.status = 0
        self.extra_data = False
        # A response without framing is complete once the server closes cleanly.
        self.ends_on_close = False
        self._overhead_bytes = 0
        self._has_new_body = False
        self._invalid_status = ""

    def _on_message_begin(self) -> None:
        if self.message_complete and self.status >= 200:
            self.extra_data = True
            raise HTTPParseError("data after the end of the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> Any:
        result = super()._on_headers_complete()
        self.status = self.get_code()
        if self.status not in _VALID_STATUSES:
            self._invalid_status = f"{self.status:03}"
        return result

    def _on_body(self, buf: bytearray) -> None:
        super()._on_body(buf)
        self._has_new_body = True

    def feed_bounded(self, data: bytes) -> None:
        """Parse received bytes; raises HTTPParseError, also if the head has no end."""
        self._has_new_body = False
        try:
            self.feed(data)
        except HTTPParseError:
            if not self.extra_data:
                raise
        # Not raised while parsing, since an error in a response to HEAD is dropped.
        if self._invalid_status:
            raise InvalidStatusError(f"the status {self._invalid_status} is invalid")
        self._overhead_bytes = (
            0 if self._has_new_body else self._overhead_bytes + len(data)
        )
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            raise HTTPParseError("the response headers or trailers are too large")

    @property
    def head_is_final(self) -> bool:
        """Whether the headers of the final (non-1xx) response are complete."""
        return self.headers_complete and self.status >= 200

    def first_header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        found = self.get(name)
        return found[0] if isinstance(found, list) else found

    def has_framing(self) -> bool:
        """Return whether the end of the body can be told from a lost connection."""
        if self.method == "HEAD" or self.status in {204, 304}:
            return True
        return "content-length" in self or "transfer-encoding" in self

    @property
    def has_body(self) -> bool:
        """Whether body bytes were parsed since the last call of `take_body`."""
        return bool(self._body_buffer)

    @property
    def body_bytes(self) -> int:
        """Number of body bytes parsed since the last call of `take_body`."""
        return len(self._body_buffer)

    def take_body(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data


class HttpConnection:
    """Connection to an HTTP server for one request at a time."""

    def __init__(self, address: str, clock: Clock):
        self.address = address
        self.any_bytes_sent = False
        self.request_sent = False
        self._clock = clock
        self._deadline_ms = 0.0
        self._limit_ms: float | None = None
        self._may_abandon: Callable[[], bool] = lambda: True
        self._closed = False
        self._send_error = ""
        self._sock = new_socket(address)

    def start_request(
        self,
        deadline_ms: float,
        limit_ms: float | None = None,
        may_abandon: Callable[[], bool] = lambda: True,
    ) -> None:
        """Prepare for a request that must end by the deadline.

        It times out at the earlier `limit_ms` if `may_abandon` returns true then.
        """
        self._deadline_ms = deadline_ms
        self._limit_ms = limit_ms
        self._may_abandon = may_abandon
        self.any_bytes_sent = False
        self.request_sent = False

    def drop_limit(self) -> None:
        """Let the request take until its deadline, as it can't be repeated any more."""
        self._limit_ms = None

    def connect(self) -> None:
        """Connect to the server; raises OSError."""
        left_ms = min(self._remaining_ms(), _CONNECT_TIMEOUT_MS)
        self._sock.settimeout(left_ms / 1000.0)
        self._sock.connect(parse_address(self.address))
        disable_nagle(self._sock)

    def send(self, data: bytes) -> None:
        """Send all data; `any_bytes_sent` is set once any byte left this process.

        Raises OSError. What was received before a reset can still be read then.
        """
        view = memoryview(data)
        while view:
            self._sock.settimeout(self._remaining_ms() / 1000.0)
            try:
                sent = self._sock.send(view)
            except OSError as exc:
                self._send_error = str(exc)
                raise
            self.any_bytes_sent = True
            view = view[sent:]

    def has_readable_data(self) -> bool:
        """Return whether the server has sent data or closed the connection."""
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def receive_into(
        self, parser: ResponseParser, max_bytes: int = _RECEIVE_BYTES
    ) -> int:
        """Feed up to `max_bytes` received bytes to the parser; return their number.

        Raises OSError and HTTPParseError.
        """
        data = self._receive(max_bytes)
        if not data:
            return self._handle_eof(parser)
        parser.feed_bounded(data)
        return len(data)

    def _receive(self, max_bytes: int) -> bytes:
        """Return received bytes, empty at end of stream; raises OSError."""
        while True:
            self._sock.settimeout(self._remaining_ms() / 1000.0)
            try:
                return self._sock.recv(max_bytes)
            except TimeoutError as exc:
                # The kernel reports a lost connection once, with an error number; the
                # next read would look like an orderly close. After a timeout of the
                # socket, `_remaining_ms` raises if the deadline or limit passed.
                if exc.errno is not None:
                    raise

    def _handle_eof(self, parser: ResponseParser) -> int:
        """Complete a response without framing; any other response is truncated.

        The kernel reports a reset once. If a send took that report, the end of the
        received data looks like an orderly close.
        """
        if self._send_error:
            raise ResetDuringRequestError(
                f"reset during the request: {self._send_error}"
            )
        if not parser.head_is_final or parser.has_framing():
            raise ConnectionResetError("the server closed the connection")
        parser.ends_on_close = True
        parser.message_complete = True
        return 0

    def abort(self) -> None:
        """Reset the connection, so that data in flight takes no effect."""
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._closed = True
        self._sock.close()

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and without unread data."""
        return not self._closed and peer_has_closed(self._sock) is False

    def close(self) -> None:
        """Close the connection; operations in progress fail."""
        if self._closed:
            return
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(gevent.socket.SHUT_RDWR)
        self._sock.close()

    @property
    def send_failed(self) -> bool:
        """Whether a send of this connection failed."""
        return bool(self._send_error)

    @property
    def closed(self) -> bool:
        """Whether this side has closed the connection."""
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
        if self._may_abandon():
            raise TimeoutError("the attempt's limit has passed")
        self._limit_ms = None
        return left_ms


def read_response_head(
    conn: HttpConnection,
    method: str,
    parser: ResponseParser | None = None,
    max_bytes: int = _RECEIVE_BYTES,
) -> ResponseParser:
    """Read up to the end of the final response's headers and return the parser.

    `parser` is that of a response of which a part was received already.
    """
    parser = ResponseParser(method) if parser is None else parser
    while not parser.head_is_final:
        _receive_head_part(conn, parser, max_bytes)
    return parser


def final_response_has_arrived(conn: HttpConnection, parser: ResponseParser) -> bool:
    """Return whether the final response's headers are complete, without waiting.

    Interim responses are read and dropped.
    """
    while not parser.head_is_final and conn.has_readable_data():
        _receive_head_part(conn, parser)
    return parser.head_is_final


def _receive_head_part(
    conn: HttpConnection, parser: ResponseParser, max_bytes: int = _RECEIVE_BYTES
) -> None:
    conn.receive_into(parser, max_bytes)
    if parser.status == 101:
        raise HTTPParseError("the server switched protocols")


def read_response_body(
    conn: HttpConnection, parser: ResponseParser, max_bytes: int
) -> bytes:
    """Return the rest of a response's body.

    Raises OSError, and HTTPParseError if the body is invalid or too large.
    """
    body = bytearray(parser.take_body())
    while not parser.message_complete and len(body) <= max_bytes:
        conn.receive_into(parser)
        body += parser.take_body()
    if len(body) > max_bytes:
        raise HTTPParseError("the response body is too large")
    return bytes(body)
