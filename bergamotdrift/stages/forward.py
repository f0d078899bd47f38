"""Forward a request to an upstream under a permit and receive the response."""

from collections.abc import Callable

from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    PermitRelease,
)
from bergamotdrift.attempts import RunningAttempt
from bergamotdrift.body_source import BodySource
from bergamotdrift.byte_budget import HeldBytes
from bergamotdrift.clock import Clock
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.exceptions import (
    CallerGoneError,
    ErrorKind,
    Refusal,
    RequestError,
)
from bergamotdrift.http_connection import (
    ResponseParser,
    final_response_has_arrived,
    read_response_head,
)
from bergamotdrift.log import log_event
from bergamotdrift.request import RoutedRequest
from bergamotdrift.stages.attempt_failure import AttemptFailure, classify_failure
from bergamotdrift.stages.request_head import RequestHeads, frame_body
from bergamotdrift.stages.upstream_response import UpstreamResponse
from bergamotdrift.upstream_connections import (
    UpstreamConnection,
    UpstreamConnectionPool,
)

_RESETS = (BrokenPipeError, ConnectionResetError)


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
        self._may_send = may_send
        self._dialect = dialect
        self._heads = RequestHeads(dialect, via, clock)

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
            failure = classify_failure(exc, running)
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
        response = UpstreamResponse(parser, running.conn, on_end, routed.held)
        return _check_not_run(response, parser, self._dialect)

    def release_unused(self, running: RunningAttempt) -> None:
        """Release a permit that was not used."""
        self._end(running, AttemptOutcome.CANCELLED, False, self._clock.now_ms())

    def _exchange(
        self, routed: RoutedRequest, running: RunningAttempt, body: BodySource
    ) -> ResponseParser:
        first = self._heads.build(routed, running, body) + frame_body(
            body.buffered, body
        )
        conn = self._send_first(routed, running, first, body.can_be_resent)
        parser = ResponseParser(routed.req.method)
        if body.read is not None and not conn.send_failed:
            self._send_rest(conn, body, parser, routed.held)
        size = routed.held.chunk_size()
        read_response_head(conn, routed.req.method, parser, size)
        routed.held.set_chunk(parser.body_bytes)
        self._check_response(routed, parser)
        self._read_statement(running, parser)
        return parser

    def _read_statement(self, running: RunningAttempt, parser: ResponseParser) -> None:
        """Read what the upstream says of itself.

        An answer that the request was misdirected may come from another upstream.
        """
        header = parser.first_header
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
        echoed = parser.first_header(self._dialect.request_id)
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

        The entry may also have been frozen, or the connection slow to open.

        Raises ConnectionAbortedError.
        """
        if not self._may_send(running.permit.shard):
            running.cancel("the entry lost its session")
        elif self._clock.now_ms() > running.send_by_ms:
            running.cancel("the token for a cold upstream has expired")
        if running.cancel_reason:
            raise ConnectionAbortedError(running.cancel_reason)

    def _send_rest(
        self,
        conn: UpstreamConnection,
        body: BodySource,
        parser: ResponseParser,
        held: HeldBytes,
    ) -> None:
        assert body.read is not None
        # An upstream may respond before it has read the whole body.
        while not final_response_has_arrived(conn, parser):
            try:
                data = body.read(held.next_chunk())
            except RequestError:
                # A caller may stop sending because it waits for that response.
                if final_response_has_arrived(conn, parser):
                    return
                raise
            end = b"0\r\n\r\n" if body.length is None else b""
            try:
                conn.send(frame_body(data, body) if data else end)
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


def _check_not_run(
    response: UpstreamResponse, parser: ResponseParser, dialect: Dialect
) -> Result[UpstreamResponse, AttemptFailure]:
    """Turn a response that states "not run" into a failure."""
    outcome = dialect.not_run(response.status, parser.first_header)
    if outcome is None:
        return Success(response)
    response.end(outcome, may_reuse=parser.message_complete)
    return Failure(AttemptFailure(Refusal(ErrorKind.UPSTREAM_SHED), outcome, True))
