"""Forward a request to an upstream under a permit and receive the response."""

import re
from collections.abc import Callable, Iterator
from typing import NamedTuple

from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
    PermitRelease,
)
from bergamotdrift.attempts import RunningAttempt
from bergamotdrift.body_source import BodySource
from bergamotdrift.clock import Clock
from bergamotdrift.dialect import NATIVE, Dialect, HeaderGetter
from bergamotdrift.exceptions import (
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.http_connection import (
    ResponseParser,
    final_response_has_arrived,
    read_response_head,
)
from bergamotdrift.http_input import HeaderLine, connection_tokens
from bergamotdrift.log import log_event
from bergamotdrift.request import IncomingRequest, RoutedRequest
from bergamotdrift.upstream_connections import (
    UpstreamConnection,
    UpstreamConnectionPool,
)

HOP_BY_HOP = frozenset({
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
})
# The entry sets these itself or must not forward them.
_OWN_HEADERS = frozenset({
    "authorization",
    "content-length",
    "expect",
    "host",
    "via",
    "x-forwarded-for",
})
NATIVE_STRIPPED_HEADERS = HOP_BY_HOP | _OWN_HEADERS | NATIVE.own_headers()
_ABSOLUTE_FORM = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
_READ_BYTES = 64 * 1024
_SERVER_ERROR_STATUS_MIN = 500
_RESETS = (BrokenPipeError, ConnectionResetError)


class AttemptFailure(NamedTuple):
    """Describe a failed attempt; `not_run` is True if it certainly was not run."""

    refusal: Refusal
    outcome: AttemptOutcome
    not_run: bool
    upstream: str = ""


class UpstreamResponse:
    """Read an upstream response as a stream and release its permit at the end."""

    def __init__(
        self,
        parser: ResponseParser,
        conn: UpstreamConnection,
        on_end: Callable[[AttemptOutcome, bool], None],
    ):
        self.status = parser.status
        self.headers = list(parser.items())
        self._parser = parser
        self._conn = conn
        self._on_end = on_end
        self._ended = False

    @property
    def length(self) -> int | None:
        """Return the Content-Length of the response, or None."""
        return self._parser.content_length

    @property
    def is_close_delimited(self) -> bool:
        """Return True if the body ends when the upstream closes the connection."""
        return not self._parser.has_framing()

    @property
    def is_complete(self) -> bool:
        """Return True if the whole response has been received."""
        return self._parser.message_complete

    def pass_on(self) -> Iterator[bytes]:
        """Wait for the body to begin, and yield it until the request's deadline.

        Raises TruncatedAnswerError if it ends early.
        """
        self._conn.drop_limit()
        try:
            while not (self._parser.has_body or self._parser.message_complete):
                self._receive()
        except BaseException:
            self.abandon()
            raise
        return self.iter_body()

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body in chunks; raises TruncatedAnswerError if it ends early."""
        try:
            while True:
                data = self._parser.take_body()
                if self._parser.message_complete:
                    self.end(self._outcome(), may_reuse=True)
                if data:
                    yield data
                if self._parser.message_complete:
                    return
                self._receive()
        finally:
            self.abandon()

    def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises TruncatedAnswerError if it ends early or is too large.
        """
        body = bytearray()
        for data in self.iter_body():
            body += data
            if len(body) > max_bytes:
                self.end(AttemptOutcome.BROKEN, may_reuse=False)
                raise TruncatedAnswerError("the response body is too large")
        return bytes(body)

    def abandon(self) -> None:
        """Release the permit as cancelled unless the response has ended."""
        self.end(AttemptOutcome.CANCELLED, may_reuse=False)

    def end(self, outcome: AttemptOutcome, may_reuse: bool) -> None:
        """Release the permit once; later calls have no effect."""
        if self._ended:
            return
        self._ended = True
        parser = self._parser
        closes = parser.ends_on_close or parser.should_close()
        whole = self._conn.request_sent and not closes
        reusable = may_reuse and whole
        self._on_end(outcome, reusable and not parser.extra_data)

    def _receive(self) -> None:
        try:
            self._conn.receive_into(self._parser)
        except TimeoutError as exc:
            self.end(AttemptOutcome.TIMEOUT, may_reuse=False)
            raise TruncatedAnswerError("the deadline passed") from exc
        except (OSError, HTTPParseError) as exc:
            self.end(AttemptOutcome.BROKEN, may_reuse=False)
            raise TruncatedAnswerError(str(exc)) from exc

    def _outcome(self) -> AttemptOutcome:
        failed = self.status >= _SERVER_ERROR_STATUS_MIN
        return AttemptOutcome.SERVER_ERROR if failed else AttemptOutcome.ANSWERED


class ForwardStage:
    """Send attempts over connections that never resend a request by themselves."""

    def __init__(
        self,
        connections: UpstreamConnectionPool,
        release: Callable[[RunningAttempt, PermitRelease], None],
        clock: Clock,
        via: str,
        may_send: Callable[[str], bool],
        dialect: Dialect = NATIVE,
    ):
        self._connections = connections
        self._release = release
        self._clock = clock
        self._via = via
        self._may_send = may_send
        self._dialect = dialect
        self._stripped_headers = HOP_BY_HOP | _OWN_HEADERS | dialect.own_headers()

    def attempt(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> Result[UpstreamResponse, AttemptFailure]:
        """Return the upstream's response or the reason for the failure."""
        started_ms = self._clock.now_ms()

        def on_end(outcome: AttemptOutcome, may_reuse: bool) -> None:
            self._end(running, outcome, may_reuse, started_ms)

        try:
            parser = self._exchange(routed, running, body)
        except BaseException as exc:
            failure = _classify_failure(exc, running)
            on_end(failure.outcome, False)
            if isinstance(exc, CallerGoneError):
                log_event(
                    "attempt_cancelled",
                    request=routed.req.request_id,
                    service=routed.service.name,
                    upstream=running.permit.upstream,
                    after_ms=round(self._clock.now_ms() - started_ms),
                )
            if isinstance(exc, (OSError, HTTPParseError, RequestError)):
                return Failure(failure)
            raise
        assert running.conn is not None
        response = UpstreamResponse(parser, running.conn, on_end)
        return _check_not_run(response, parser, self._dialect)

    def release_unused(self, running: RunningAttempt) -> None:
        """Release a permit that was not used."""
        self._end(running, AttemptOutcome.CANCELLED, False, self._clock.now_ms())

    def _exchange(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> ResponseParser:
        first = self._head(routed, running, body) + _frame_body(body.buffered, body)
        conn = self._send_first(routed, running, first, body.can_be_resent)
        parser = ResponseParser(routed.req.method)
        if body.read is not None and not conn.send_failed:
            self._send_rest(conn, body, parser)
        read_response_head(conn, routed.req.method, parser)
        self._check_response(routed, parser)
        self._read_statement(running, parser)
        return parser

    def _read_statement(self, running: RunningAttempt, parser: ResponseParser) -> None:
        """Read what the upstream says of itself.

        An answer that the request was misdirected may come from another upstream.
        """
        header = header_of(parser)
        outcome = self._dialect.not_run(parser.status, header)
        if outcome is not AttemptOutcome.FENCED:
            running.statement = self._dialect.read_statement(parser.status, header)
            running.on_statement(running.statement)

    def _check_response(self, routed: RoutedRequest, parser: ResponseParser) -> None:
        """Reject a response without framing, or one to an earlier request.

        Raises HTTPParseError.
        """
        if not (self._dialect.accepts_close_delimited or parser.has_framing()):
            raise HTTPParseError(
                "the response has neither Content-Length nor chunked encoding"
            )
        if not self._dialect.keeps_request_id:
            return
        echoed = header_of(parser)(self._dialect.request_id)
        if echoed is not None and echoed != routed.req.request_id:
            raise HTTPParseError("the response belongs to another request")

    def _send_first(
        self,
        routed: RoutedRequest,
        running: RunningAttempt,
        data: bytes,
        body_is_whole: bool,
    ) -> UpstreamConnection:
        permit = running.permit
        while True:
            conn = self._connections.acquire(
                permit.shard, permit.upstream, permit.address, running.earlier_conns
            )
            running.conn = conn
            conn.start_request(
                routed.deadline_ms, running.attempt_deadline_ms, running.may_abandon
            )
            try:
                if not conn.reused:
                    conn.connect()
                self._check_permit(running)
                conn.send(data)
                conn.request_sent = body_is_whole
                return conn
            except OSError as exc:
                if conn.any_bytes_sent and isinstance(exc, _RESETS):
                    # A response may have arrived whole before the reset.
                    return conn
                # The upstream may have closed an idle connection; as nothing was sent,
                # another connection is safe to use.
                if conn.any_bytes_sent or not conn.reused or running.cancel_reason:
                    raise
                conn.close()

    def _check_permit(self, running: RunningAttempt) -> None:
        """Abort the attempt if its permit may have been granted to another entry.

        Raises ConnectionAbortedError.
        """
        if not self._may_send(running.permit.shard):
            running.cancel("the entry lost its session")
        if running.cancel_reason:
            raise ConnectionAbortedError(running.cancel_reason)

    def _send_rest(
        self, conn: UpstreamConnection, body: BodySource, parser: ResponseParser
    ) -> None:
        assert body.read is not None
        # An upstream may respond before it has read the whole body.
        while not final_response_has_arrived(conn, parser):
            try:
                data = body.read(_READ_BYTES)
            except RequestError:
                # A caller may stop sending because it waits for that response.
                if final_response_has_arrived(conn, parser):
                    return
                raise
            end = b"0\r\n\r\n" if body.length is None else b""
            try:
                conn.send(_frame_body(data, body) if data else end)
            except _RESETS:
                return
            if not data:
                conn.request_sent = True
                return

    def _end(
        self,
        running: RunningAttempt,
        outcome: AttemptOutcome,
        may_reuse: bool,
        started_ms: float,
    ) -> None:
        conn = running.conn
        kept = False
        if conn is not None:
            may_keep = running.permit.may_keep and not running.cancel_reason
            kept = may_reuse and may_keep and self._connections.put_idle(conn)
            if not kept:
                conn.close()
            if outcome is AttemptOutcome.TIMEOUT:
                # Other idle connections to an unresponsive upstream may be dead too.
                self._connections.close_idle(conn.shard, conn.upstream)
        permit = running.permit
        latency_ms = self._clock.now_ms() - started_ms
        self._release(
            running,
            PermitRelease(permit.shard, permit.permit, outcome, latency_ms, kept),
        )

    def _head(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> bytes:
        req = routed.req
        target = _ABSOLUTE_FORM.sub("", req.target, count=1) or "/"
        lines = [f"{req.method} {target} HTTP/1.1"]
        connection_options = connection_tokens(req.fields)
        lines += end_to_end(req.headers, connection_options, self._stripped_headers)
        lines += self._own_headers(routed, running)
        if body.length is None:
            lines.append("Transfer-Encoding: chunked")
        elif body.length or req.method in {"POST", "PUT", "PATCH"}:
            lines.append(f"Content-Length: {body.length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _own_headers(self, routed: RoutedRequest, running: RunningAttempt) -> list[str]:
        req = routed.req
        permit = running.permit
        names = self._dialect
        left_ms = max(1, int(routed.deadline_ms - self._clock.now_ms()))
        lines = [
            f"Host: {req.header('host') or permit.address}",
            f"{names.request_id}: {req.request_id}",
            f"{names.deadline}: {left_ms}",
        ]
        if names.forwarded_headers:
            lines += self._forwarded_headers(req)
        if routed.workspace:
            lines.append(f"{names.workspace}: {routed.workspace}")
        if names.expected_upstream:
            lines.append(f"{names.expected_upstream}: {permit.upstream}")
        if permit.partition != NO_PARTITION and names.partition:
            lines.append(f"{names.partition}: {permit.partition}")
            lines.append(f"{names.epoch}: {permit.partition_epoch}")
        return lines

    def _forwarded_headers(self, req: IncomingRequest) -> list[str]:
        forwarded = req.fields.get("x-forwarded-for", [])
        via = req.fields.get("via", [])
        return [
            f"X-Forwarded-For: {', '.join([*forwarded, req.remote])}",
            f"Via: {', '.join([*via, self._via])}",
        ]


def end_to_end(
    headers: list[HeaderLine],
    connection_options: set[str],
    stripped: frozenset[str] = NATIVE_STRIPPED_HEADERS,
) -> list[str]:
    """Return the end-to-end header lines of a request.

    `connection_options` are the headers that the Connection header declares hop-by-hop.
    """
    return [
        f"{name}: {value}"
        for name, value in headers
        if (lower := name.lower()) not in stripped and lower not in connection_options
    ]


def _frame_body(data: bytes, body: BodySource) -> bytes:
    if body.length is not None or not data:
        return data
    return b"%x\r\n%s\r\n" % (len(data), data)


def _classify_failure(exc: BaseException, running: RunningAttempt) -> AttemptFailure:
    conn = running.conn
    sent = conn is not None and conn.any_bytes_sent
    if not sent:
        if isinstance(exc, RequestError):
            return AttemptFailure(exc.refusal, AttemptOutcome.CANCELLED, True)
        outcome = AttemptOutcome.CONNECT_FAILED
        if running.cancel_reason or isinstance(exc, CallerGoneError):
            outcome = AttemptOutcome.CANCELLED
        return AttemptFailure(
            Refusal(ErrorKind.NO_UPSTREAM, f"connect failed: {exc}"), outcome, True
        )
    if running.cancel_reason:
        refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, running.cancel_reason)
        return AttemptFailure(refusal, AttemptOutcome.CANCELLED, False)
    if isinstance(exc, TimeoutError):
        refusal = Refusal(ErrorKind.UPSTREAM_TIMEOUT)
        return AttemptFailure(refusal, AttemptOutcome.TIMEOUT, False)
    if isinstance(exc, (OSError, HTTPParseError)):
        refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, f"the connection broke: {exc}")
        return AttemptFailure(refusal, AttemptOutcome.BROKEN, False)
    refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the request was interrupted")
    return AttemptFailure(refusal, AttemptOutcome.CANCELLED, False)


def header_of(parser: ResponseParser) -> HeaderGetter:
    """Return a function that looks up the first value of a response header."""

    def value(name: str) -> str | None:
        found = parser.get(name)
        return found[0] if isinstance(found, list) else found

    return value


def _check_not_run(
    response: UpstreamResponse, parser: ResponseParser, dialect: Dialect
) -> Result[UpstreamResponse, AttemptFailure]:
    """Turn a response that states "not run" into a failure."""
    outcome = dialect.not_run(response.status, header_of(parser))
    if outcome is None:
        return Success(response)
    response.end(outcome, may_reuse=parser.message_complete)
    return Failure(AttemptFailure(Refusal(ErrorKind.UPSTREAM_SHED), outcome, True))
