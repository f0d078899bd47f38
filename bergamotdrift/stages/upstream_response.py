"""Receive the body of an upstream response and release its permit at the end."""

from collections.abc import Callable, Iterator

from geventhttpclient.response import HTTPParseError

from bergamotdrift import entry_metrics
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.byte_budget import HeldBytes, Pressure
from bergamotdrift.exceptions import TruncatedAnswerError
from bergamotdrift.http_connection import ResponseParser, broken_reason
from bergamotdrift.upstream_connections import UpstreamConnection

_SERVER_ERROR_STATUS_MIN = 500


class UpstreamResponse:
    """Read an upstream response as a stream and release its permit at the end."""

    def __init__(
        self,
        parser: ResponseParser,
        conn: UpstreamConnection,
        on_end: Callable[[AttemptOutcome, bool], None],
        held: HeldBytes,
    ):
        self.status = parser.status
        self.headers = list(parser.items())
        self._parser = parser
        self._conn = conn
        self._on_end = on_end
        self._held = held
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
        """Return the whole body; room for it was taken unless its length is not known.

        Raises TruncatedAnswerError if it ends early or is too large.
        """
        body = bytearray()
        for data in self.iter_body():
            if not self._take_room(len(data)):
                self.end(AttemptOutcome.BROKEN, may_reuse=False)
                raise TruncatedAnswerError("no memory is left for the response body")
            body += data
            if len(body) > max_bytes:
                self.end(AttemptOutcome.BROKEN, may_reuse=False)
                raise TruncatedAnswerError("the response body is too large")
        return bytes(body)

    def _take_room(self, size: int) -> bool:
        if not self.is_close_delimited:
            return True
        return self._held.take(size, Pressure.RESPONSE_TOO_LARGE)

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
            size = self._held.chunk_size()
            self._held.set_chunk(self._conn.receive_into(self._parser, size))
        except TimeoutError as exc:
            self.end(AttemptOutcome.TIMEOUT, may_reuse=False)
            raise TruncatedAnswerError("the deadline passed") from exc
        except (OSError, HTTPParseError) as exc:
            entry_metrics.BROKEN_RESPONSES.labels(broken_reason(exc)).inc()
            self.end(AttemptOutcome.BROKEN, may_reuse=False)
            raise TruncatedAnswerError(str(exc)) from exc

    def _outcome(self) -> AttemptOutcome:
        failed = self.status >= _SERVER_ERROR_STATUS_MIN
        return AttemptOutcome.SERVER_ERROR if failed else AttemptOutcome.ANSWERED
