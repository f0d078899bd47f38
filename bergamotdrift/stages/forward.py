"""Send a request to an upstream under a permit and receive its answer."""

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
from bergamotdrift.dialect import NATIVE, AnswerLoad, Dialect, HeaderOf
from bergamotdrift.exceptions import (
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestError,
    TruncatedAnswerError,
)
from bergamotdrift.http_input import HeaderLine, connection_tokens
from bergamotdrift.log import log_event
from bergamotdrift.request import IncomingRequest, RoutedRequest
from bergamotdrift.upstream_connections import (
    ResponseParser,
    UpstreamConnection,
    UpstreamConnections,
    read_head,
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
# The entry sets these itself or must not pass them on.
_OWN_HEADERS = frozenset({
    "authorization",
    "content-length",
    "expect",
    "host",
    "via",
    "x-forwarded-for",
})
NATIVE_WITHHELD = HOP_BY_HOP | _OWN_HEADERS | NATIVE.own_headers()
_ABSOLUTE_FORM = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
_PIECE_BYTES = 64 * 1024
_OUTCOME_OF_STATUS = 500


class AttemptFailure(NamedTuple):
    """Hold why an attempt failed and whether the upstream surely did not run it."""

    refusal: Refusal
    outcome: AttemptOutcome
    not_run: bool
    upstream: str = ""


class UpstreamAnswer:
    """Hold an answer whose body is read in pieces; ends the permit once."""

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
        """Return the stated length of the body, or None."""
        return self._parser.content_length

    @property
    def is_unframed(self) -> bool:
        """Tell whether only the end of the connection ends the body."""
        return not self._parser.has_framing()

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole answer has been received."""
        return self._parser.message_complete

    def pieces(self) -> Iterator[bytes]:
        """Yield the body; raises TruncatedAnswerError if it ends early."""
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

    def abandon(self) -> None:
        """Release the permit if the body was not read to its end."""
        self.end(AttemptOutcome.CANCELLED, may_reuse=False)

    def end(self, outcome: AttemptOutcome, may_reuse: bool) -> None:
        """Release the permit; later calls do nothing."""
        if self._ended:
            return
        self._ended = True
        parser = self._parser
        closes = parser.ends_with_connection or parser.should_close()
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
        failed = self.status >= _OUTCOME_OF_STATUS
        return AttemptOutcome.SERVER_ERROR if failed else AttemptOutcome.ANSWERED


class ForwardStage:
    """Carry out attempts on connections that never repeat a request."""

    def __init__(
        self,
        connections: UpstreamConnections,
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
        self._withheld = HOP_BY_HOP | _OWN_HEADERS | dialect.own_headers()

    def attempt(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> Result[UpstreamAnswer, AttemptFailure]:
        """Return the upstream's answer, or why there is none."""
        started_ms = self._clock.now_ms()

        def on_end(outcome: AttemptOutcome, may_reuse: bool) -> None:
            self._end(running, outcome, may_reuse, started_ms)

        try:
            parser = self._exchange(routed, running, body)
        except BaseException as exc:
            failure = _failure_of(exc, running)
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
        running.load = self._stated_load(parser)
        answer = UpstreamAnswer(parser, running.conn, on_end)
        return _judge(answer, parser, self._dialect)

    def _stated_load(self, parser: ResponseParser) -> AnswerLoad | None:
        stated = header_of(parser)(self._dialect.load) if self._dialect.load else None
        return self._dialect.parse_load(stated) if stated else None

    def give_back(self, running: RunningAttempt) -> None:
        """Release a permit under which nothing was sent."""
        self._end(running, AttemptOutcome.CANCELLED, False, self._clock.now_ms())

    def _exchange(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> ResponseParser:
        first = self._head(routed, running, body) + _framed(body.buffered, body)
        conn = self._send_first(routed, running, first, body.can_be_resent)
        if body.read is not None:
            self._send_rest(conn, body)
        parser = read_head(conn, routed.req.method)
        self._check_answer(routed, parser)
        return parser

    def _check_answer(self, routed: RoutedRequest, parser: ResponseParser) -> None:
        """Refuse an answer without an end, or that belongs to an earlier request."""
        if not (self._dialect.takes_unframed or parser.has_framing()):
            raise HTTPParseError("the answer's end can't be told from a loss")
        if not self._dialect.keeps_request_id:
            return
        echoed = header_of(parser)(self._dialect.request_id)
        if echoed is not None and echoed != routed.req.request_id:
            raise HTTPParseError("the answer belongs to another request")

    def _send_first(
        self,
        routed: RoutedRequest,
        running: RunningAttempt,
        data: bytes,
        body_is_whole: bool,
    ) -> UpstreamConnection:
        permit = running.permit
        while True:
            conn = self._connections.take(permit.shard, permit.upstream, permit.address)
            running.conn = conn
            conn.begin(routed.deadline_ms, running.limit_ms, running.may_give_up)
            try:
                if not conn.reused:
                    conn.connect()
                self._check_permit(running)
                conn.send(data)
                conn.request_sent = body_is_whole
                return conn
            except OSError:
                # A reused connection may have died meanwhile; nothing was sent.
                if conn.bytes_left or not conn.reused or running.cancel_reason:
                    raise
                conn.close()

    def _check_permit(self, running: RunningAttempt) -> None:
        """Refuse to act under a permit that may have been given to another."""
        if not self._may_send(running.permit.shard):
            running.cancel("the entry lost its session")
        if running.cancel_reason:
            raise ConnectionAbortedError(running.cancel_reason)

    def _send_rest(self, conn: UpstreamConnection, body: BodySource) -> None:
        assert body.read is not None
        # An upstream may answer before it has read the whole body.
        while not conn.answer_has_begun():
            data = body.read(_PIECE_BYTES)
            end = b"0\r\n\r\n" if body.length is None else b""
            try:
                conn.send(_framed(data, body) if data else end)
            except (BrokenPipeError, ConnectionResetError):
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
            kept = may_reuse and may_keep and self._connections.keep(conn)
            if not kept:
                conn.close()
            if outcome is AttemptOutcome.TIMEOUT:
                # Other open connections to a silent upstream may be dead as well.
                self._connections.drop(conn.shard, conn.upstream)
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
        named = connection_tokens(req.fields)
        lines += end_to_end(req.headers, named, self._withheld)
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
    named: set[str],
    withheld: frozenset[str] = NATIVE_WITHHELD,
) -> list[str]:
    """Return the header lines for an upstream; `named` are declared hop-by-hop."""
    return [
        f"{name}: {value}"
        for name, value in headers
        if (lower := name.lower()) not in withheld and lower not in named
    ]


def _framed(data: bytes, body: BodySource) -> bytes:
    if body.length is not None or not data:
        return data
    return b"%x\r\n%s\r\n" % (len(data), data)


def _failure_of(exc: BaseException, running: RunningAttempt) -> AttemptFailure:
    conn = running.conn
    sent = conn is not None and conn.bytes_left
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
    refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, "the request was cut off")
    return AttemptFailure(refusal, AttemptOutcome.CANCELLED, False)


def header_of(parser: ResponseParser) -> HeaderOf:
    """Return a function that returns the first value of an answer's header, or None."""

    def value(name: str) -> str | None:
        found = parser.get(name)
        return found[0] if isinstance(found, list) else found

    return value


def _judge(
    answer: UpstreamAnswer, parser: ResponseParser, dialect: Dialect
) -> Result[UpstreamAnswer, AttemptFailure]:
    """Turn an answer that states "not run" into a failure."""
    outcome = dialect.not_run(answer.status, header_of(parser))
    if outcome is None:
        return Success(answer)
    answer.end(outcome, may_reuse=parser.message_complete)
    return Failure(AttemptFailure(Refusal(ErrorKind.UPSTREAM_SHED), outcome, True))
