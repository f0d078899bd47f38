"""Connection handler for gevent's pywsgi that enforces time and size limits."""

import contextlib
import io
import socket
import struct
import time
from typing import Any

import gevent
from gevent import pywsgi

from bergamotdrift.caller_writes import send_to_caller
from bergamotdrift.connection_ends import (
    ConnectionEnd,
    EndedConnection,
    record_end,
)
from bergamotdrift.exceptions import (
    ERROR_ANSWERS,
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.http_input import (
    BodyReader,
    HeaderLine,
    HttpLimits,
    RequestHead,
    SocketReader,
    count_unread,
    parse_head,
    peer_has_closed,
)
from bergamotdrift.log import log_event
from bergamotdrift.refusals import refusal_body, refusal_headers, status_line
from bergamotdrift.request_wait import RequestWait

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# After a refusal, bodies up to this size are read to the end to keep the connection
# alive.
_MAX_DISCARD_BYTES = 64 * 1024
# A connection lingers while its caller sends at least `_LINGER_MIN_BYTES` in this time.
LINGER_TIMEOUT_S = 0.5
_LINGER_MIN_BYTES = 1024
_LINGER_TOTAL_S = 2.0
# Time for data that has arrived to be received.
_ARRIVED_TIMEOUT_S = 1.0
# Time that the first request of a new connection has at a stop.
_FIRST_REQUEST_S = 0.2
_BODY_KEY = "bergamotdrift.body"
_LINGERING_ENDS = frozenset({ConnectionEnd.ANSWERED, ConnectionEnd.REFUSED})


class LimitedHandler(pywsgi.WSGIHandler):
    """Serve the requests of one connection within the server's limits."""

    server: Any
    socket: Any
    environ: Any
    provided_content_length: str | None
    _head: RequestHead
    _body: BodyReader

    def __init__(self, sock: Any, address: Any, server: Any):
        super().__init__(sock, address, server, rfile=io.BytesIO())
        self._reader = SocketReader(sock)
        self._request_wait = RequestWait(sock)
        self._aborted = False
        self._caller_has_left = False
        self._answers = 0
        self._idle_since_s = time.monotonic()
        self._idle_timeout_s = 0.0
        self._discarded_bytes = 0
        self._unread_bytes = 0

    @property
    def _limits(self) -> HttpLimits:
        return self.server.limits

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        end, detail = ConnectionEnd.KILLED, ""
        try:
            end = self._serve_requests()
        except (OSError, CallerGoneError) as exc:
            end, detail = ConnectionEnd.CALLER_LOST, str(exc)
        finally:
            self._close(end)
            self._record_end(end, detail)

    def _serve_requests(self) -> ConnectionEnd:
        """Serve requests and return why the connection ends; raises CallerGoneError."""
        while (end := self._wait_for_request()) is None:
            end = self._serve_one()
            if end is not None:
                return end
            self._idle_since_s = time.monotonic()
            self._idle_timeout_s = 0.0
        return end

    def _wait_for_request(self) -> ConnectionEnd | None:
        """Wait for data and return None, or why the connection ends without any."""
        if self._reader.has_data:
            return None
        waits = self.server.request_waits
        waits.add(self._request_wait)
        try:
            arrived = self._request_wait.until(self._wait_end_s)
        finally:
            waits.discard(self._request_wait)
        if arrived:
            more = self._reader.receive(_ARRIVED_TIMEOUT_S)
            return None if more else ConnectionEnd.CALLER_CLOSED
        if self.server.stopping:
            return ConnectionEnd.STOPPING
        return ConnectionEnd.IDLE_TIMEOUT if self._answers else ConnectionEnd.NO_REQUEST

    def _wait_end_s(self) -> float:
        """Return the monotonic time until which the next request may arrive."""
        if self.server.stopping:
            return self._idle_since_s + (0.0 if self._answers else _FIRST_REQUEST_S)
        if not self._answers:
            return self._idle_since_s + self._limits.header_timeout_s
        # A caller goes by the timeout that it knew at its last answer, or by a longer
        # one that it has learnt of since.
        longest_s = self.server.idle_timeouts.longest_s(time.monotonic())
        self._idle_timeout_s = max(self._idle_timeout_s, longest_s)
        return self._idle_since_s + self._idle_timeout_s + self._limits.idle_margin_s

    def _serve_one(self) -> ConnectionEnd | None:
        """Serve a request; return why the connection ends, or None to keep it."""
        try:
            data = self._reader.read_head(self._limits)
            self._head = parse_head(data, self._limits)
        except RequestError as exc:
            self._refuse(exc.refusal)
            return ConnectionEnd.REFUSED
        self._apply_head(self._head)
        self.environ = self.get_environ()
        self.application = self.server.application
        self.socket.settimeout(self._limits.body_timeout_s)
        self.handle_one_response()
        # Idle connections should not hold buffers.
        self.environ = None
        if self._aborted:
            return ConnectionEnd.ANSWER_ABORTED
        if self._caller_has_left:
            return ConnectionEnd.CALLER_LOST
        self._answers += 1
        if self.close_connection or not self._discard_body():
            return ConnectionEnd.ANSWERED
        return None

    def _apply_head(self, head: RequestHead) -> None:
        self.command = head.method
        self.path = head.target
        self.request_version = f"HTTP/1.{head.minor_version}"
        self.close_connection = not head.keep_alive
        self.content_length = head.length
        self._body = BodyReader(
            self._reader, head, self.socket, self._limits.body_timeout_s
        )

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environ of the current request."""
        env = self.server.get_environ()
        path, _, query = self.path.partition("?")
        env["REQUEST_METHOD"] = self.command
        env["SCRIPT_NAME"] = ""
        env["PATH_INFO"] = pywsgi.unquote_latin1(path)
        env["RAW_URI"] = self.path
        env["QUERY_STRING"] = query
        env["SERVER_PROTOCOL"] = self.request_version
        env["REMOTE_ADDR"] = str(self.client_address[0])
        env["bergamotdrift.head"] = self._head
        env["bergamotdrift.socket"] = self.socket
        env[_BODY_KEY] = self._body
        env["wsgi.input"] = io.BufferedReader(self._body)
        env["wsgi.input_terminated"] = True
        for line in self._head.headers:
            _add_header(env, line)
        return env

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Start the response; disable keep-alive if the body can't be discarded."""
        is_last = self.server.draining and not self._next_request_has_arrived()
        if is_last or not self._body_can_be_discarded():
            self.close_connection = True
        writer = super().start_response(status, headers, exc_info)
        if self.close_connection and not self._has_connection_header():
            self.response_headers.append((b"Connection", b"close"))
        return writer

    def finalize_headers(self) -> None:
        """Complete the headers; a response to HEAD gets no framing headers added."""
        if self.command == "HEAD" and self.provided_content_length is None:
            self.provided_content_length = "unstated"
        super().finalize_headers()
        unframed = self.provided_content_length is None and not (
            self.response_use_chunked or hasattr(self.result, "__len__")
        )
        if unframed and self.code not in {204, 304}:
            self.close_connection = True
        timeout_s = int(self._limits.idle_timeout_s)
        if timeout_s and not self.close_connection:
            stated = b"timeout=%d" % timeout_s
            self.response_headers.append((b"Keep-Alive", stated))

    def _write_with_headers(self, data: Any) -> None:
        """Send the headers and the first part of the body in a single write."""
        sock, writer = self.socket, _WriteBuffer()
        self.socket = writer
        try:
            super()._write_with_headers(data)
        finally:
            self.socket = sock
        send_to_caller(self.socket, writer.data, self._limits.body_timeout_s)

    def _sendall(self, data: Any) -> None:
        if isinstance(self.socket, _WriteBuffer):
            self.socket.sendall(data)
        else:
            send_to_caller(self.socket, data, self._limits.body_timeout_s)
        self.response_length += len(data)

    def _write(self, data: Any, _bytearray: Any = bytearray) -> None:
        if self.command != "HEAD":
            super()._write(data)

    def process_result(self) -> None:
        """Send the response; exceptions of the result may abort the connection."""
        try:
            super().process_result()
        except (CallerGoneError, TruncatedAnswerError) as exc:
            log_event("answer_aborted", reason=str(exc))
            self._abort()

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Log an error without traceback locals and respond with 500 if possible."""
        if issubclass(t, CallerGoneError):
            self._caller_has_left = True
        else:
            log_event("http_error", error=f"{t.__name__}: {v}"[:200])
        self.close_connection = True
        if issubclass(t, OSError) or self.headers_sent:
            self._abort()
        else:
            self._refuse(Refusal(ErrorKind.INTERNAL))

    def handle_one_response(self) -> None:
        """Run the application for the current request."""
        self.time_start = time.time()
        self.status = None
        self.headers_sent = False
        self.result = None
        self.response_use_chunked = False
        self.response_length = 0
        try:
            self.run_application()
        except gevent.GreenletExit:
            raise
        except Exception as exc:
            self.handle_error(type(exc), exc, None)

    def _has_connection_header(self) -> bool:
        return any(name.lower() == b"connection" for name, _ in self.response_headers)

    def _next_request_has_arrived(self) -> bool:
        if not self._body.at_end:
            return False
        return self._reader.has_data or peer_has_closed(self.socket) is None

    def _body_can_be_discarded(self) -> bool:
        if self._body.at_end:
            return True
        left = self._body.remaining_bytes
        small = left is not None and left <= _MAX_DISCARD_BYTES
        return small and not (self._body.needs_continue or self._body.failed)

    def _discard_body(self) -> bool:
        try:
            while not self._body.at_end:
                self._body.readinto(bytearray(_MAX_DISCARD_BYTES))
        except (RequestError, CallerGoneError):
            return False
        return True

    def _refuse(self, refusal: Refusal) -> None:
        """Send a refusal and close the connection; raises OSError."""
        body = refusal_body(refusal, "")
        headers = [*refusal_headers(refusal, body, ""), ("Connection", "close")]
        lines = [f"HTTP/1.1 {status_line(ERROR_ANSWERS[refusal.kind].status)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
        self.close_connection = True
        self.socket.settimeout(LINGER_TIMEOUT_S)
        self.socket.sendall(data)

    def _abort(self) -> None:
        """Reset the connection, so that the caller detects the truncated response."""
        self.close_connection = True
        self._aborted = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def _close(self, end: ConnectionEnd) -> None:
        self._request_wait.close()
        # Elsewhere no answer is on its way that a reset could destroy, and the reset
        # tells the caller that its next request was not read.
        if end in _LINGERING_ENDS:
            self._discarded_bytes = lingering_close(self.socket)
        self._unread_bytes = count_unread(self.socket)
        with contextlib.suppress(OSError):
            self.socket.close()

    def _record_end(self, end: ConnectionEnd, detail: str) -> None:
        idle_s = time.monotonic() - self._idle_since_s
        ended = EndedConnection(
            f"{self.client_address[0]}:{self.client_address[1]}",
            self._answers,
            round(idle_s * 1000.0),
            self._discarded_bytes,
            self._unread_bytes,
            detail,
        )
        record_end(end, ended)


def lingering_close(sock: Any) -> int:
    """Shut down sending, then drain input until the caller closes or hardly sends.

    Returns the number of discarded bytes. Closing with unread input would send a reset,
    which can destroy the response.
    """
    discarded = recent = 0
    now_s = time.monotonic()
    end_s, pause_end_s = now_s + _LINGER_TOTAL_S, now_s + LINGER_TIMEOUT_S
    with contextlib.suppress(OSError):  # the caller has left, or has stopped sending
        sock.shutdown(socket.SHUT_WR)
        while (left_s := min(end_s, pause_end_s) - time.monotonic()) > 0:
            sock.settimeout(left_s)
            data = sock.recv(_MAX_DISCARD_BYTES)
            if not data:
                break
            discarded += len(data)
            recent += len(data)
            if recent >= _LINGER_MIN_BYTES:
                recent, pause_end_s = 0, time.monotonic() + LINGER_TIMEOUT_S
    return discarded


class _WriteBuffer:
    """Stand in for a socket and buffer what pywsgi sends."""

    def __init__(self) -> None:
        self.data = bytearray()

    def sendall(self, data: bytes) -> None:
        """Append data to the buffer."""
        self.data += data


def _add_header(env: dict[str, Any], line: HeaderLine) -> None:
    if "_" in line.name:
        return
    key = line.name.upper().replace("-", "_")
    if key not in {"CONTENT_TYPE", "CONTENT_LENGTH"}:
        key = "HTTP_" + key
    if key in env:
        separator = "; " if key == "HTTP_COOKIE" else ","
        env[key] += separator + line.value
    else:
        env[key] = line.value
