"""One request on a caller's connection and its response, on gevent's pywsgi."""

import io
import time
from typing import Any, Protocol

import gevent
from gevent import pywsgi

from bergamotdrift.caller import CallerWatch
from bergamotdrift.exceptions import (
    ERROR_ANSWERS,
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestDroppedError,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.http_input import BodyReader, HeaderLine, HttpLimits, RequestHead
from bergamotdrift.log import log_event
from bergamotdrift.read_ahead import RequestTraits, has_body
from bergamotdrift.refusals import refusal_body, refusal_headers, status_line

# Time to send a refusal.
REFUSAL_TIMEOUT_S = 0.5
# After a refusal, bodies up to this size are read to the end to keep the connection
# alive.
_MAX_DISCARD_BYTES = 64 * 1024
_BODY_KEY = "bergamotdrift.body"
# pywsgi reads requests from it; here they are read by SocketReader.
_NO_INPUT = io.BytesIO()


class ExchangeOwner(Protocol):
    """Connection that an exchange belongs to."""

    server: Any
    client_address: Any
    watch: CallerWatch
    caller_waits_since_s: float

    def has_request_behind(self, exchange: "HttpExchange") -> bool:
        """Return whether another request has arrived behind that of an exchange."""
        ...

    def on_closing(self, exchange: "HttpExchange") -> None:
        """Handle that the connection ends with the response of an exchange."""
        ...


class HttpExchange(pywsgi.WSGIHandler):
    """Run the application for one request and write the response.

    `output` is the caller's socket, or an AnswerBuffer in front of it. `aborted` is
    true once the response can't be completed, and `caller_has_left` if no one reads it.
    """

    server: Any
    socket: Any
    environ: Any
    provided_content_length: str | None

    def __init__(
        self, owner: ExchangeOwner, head: RequestHead, body: BodyReader, output: Any
    ):
        super().__init__(output, owner.client_address, owner.server, rfile=_NO_INPUT)
        self._owner = owner
        self._head = head
        self._body = body
        self.aborted = False
        self.caller_has_left = False
        self.command = head.method
        self.path = head.target
        self.request_version = f"HTTP/1.{head.minor_version}"
        self.close_connection = not head.keep_alive
        self.content_length = head.length

    @property
    def traits(self) -> RequestTraits:
        """Return what decides whether requests behind this one are read ahead."""
        return RequestTraits(
            self.server.is_idempotent(self._head),
            has_body(self._head),
            self.close_connection,
        )

    @property
    def body_at_end(self) -> bool:
        """Whether the whole body has been read."""
        return self._body.at_end

    @property
    def _limits(self) -> HttpLimits:
        return self.server.limits

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environ of the request."""
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
        env["bergamotdrift.caller_watch"] = self._owner.watch
        env["bergamotdrift.caller_waits_since_s"] = self._owner.caller_waits_since_s
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
        is_last = self.server.draining and not self._owner.has_request_behind(self)
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
        if self.close_connection:
            self._owner.on_closing(self)

    def _write_with_headers(self, data: Any) -> None:
        """Send the headers and the first part of the body in a single write."""
        sock, writer = self.socket, _WriteBuffer()
        self.socket = writer
        try:
            super()._write_with_headers(data)
        finally:
            self.socket = sock
        self.socket.sendall(writer.data)

    def _write(self, data: Any, _bytearray: Any = bytearray) -> None:
        if self.command != "HEAD":
            super()._write(data)

    def process_result(self) -> None:
        """Send the response; exceptions of the result may abort the connection."""
        try:
            super().process_result()
        except RequestDroppedError:
            raise
        except (CallerGoneError, TruncatedAnswerError) as exc:
            log_event("answer_aborted", reason=str(exc))
            self._abort()

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Log an error without traceback locals and respond with 500 if possible."""
        if issubclass(t, CallerGoneError):
            self.caller_has_left = True
        else:
            log_event("http_error", error=f"{t.__name__}: {v}"[:200])
        self.close_connection = True
        if issubclass(t, RequestDroppedError):
            return
        if issubclass(t, OSError) or self.headers_sent:
            self._abort()
        else:
            self._owner.on_closing(self)
            send_refusal(self.socket, Refusal(ErrorKind.INTERNAL))

    def handle_one_response(self) -> None:
        """Run the application for the request."""
        self.environ = self.get_environ()
        self.application = self.server.application
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
        finally:
            # Idle connections should not hold buffers.
            self.environ = None

    def discard_body(self) -> bool:
        """Read the rest of the body; return False if that fails."""
        try:
            while not self._body.at_end:
                self._body.readinto(bytearray(_MAX_DISCARD_BYTES))
        except (RequestError, CallerGoneError):
            return False
        return True

    def _has_connection_header(self) -> bool:
        return any(name.lower() == b"connection" for name, _ in self.response_headers)

    def _body_can_be_discarded(self) -> bool:
        if self._body.at_end:
            return True
        left = self._body.remaining_bytes
        small = left is not None and left <= _MAX_DISCARD_BYTES
        return small and not (self._body.needs_continue or self._body.failed)

    def _abort(self) -> None:
        """Let the connection be reset, so that the caller detects the truncation."""
        self.close_connection = True
        self.aborted = True
        self._owner.on_closing(self)


def send_refusal(sock: Any, refusal: Refusal) -> None:
    """Send a refusal that closes the connection; raises OSError."""
    body = refusal_body(refusal, "")
    headers = [*refusal_headers(refusal, body, ""), ("Connection", "close")]
    lines = [f"HTTP/1.1 {status_line(ERROR_ANSWERS[refusal.kind].status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    sock.settimeout(REFUSAL_TIMEOUT_S)
    sock.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)


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
