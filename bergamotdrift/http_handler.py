"""Handler of a caller's connection that enforces time and size limits."""

import contextlib
import socket
import struct
import time
from typing import Any

from bergamotdrift.answer_buffer import AnswerBuffer
from bergamotdrift.caller import CallerWatch
from bergamotdrift.caller_output import CallerOutput
from bergamotdrift.connection_ends import (
    ConnectionEnd,
    EndedConnection,
    record_end,
)
from bergamotdrift.exceptions import CallerGoneError, RequestError
from bergamotdrift.http_exchange import HttpExchange, send_refusal
from bergamotdrift.http_input import (
    BodyReader,
    HttpLimits,
    RequestHead,
    SocketReader,
    parse_head,
    peer_has_closed,
)
from bergamotdrift.log import log_event
from bergamotdrift.read_ahead import (
    RequestTraits,
    StopReason,
    has_body,
    stop_before,
    stop_behind,
)
from bergamotdrift.read_ahead_metrics import STOPS
from bergamotdrift.request_wait import RequestWait
from bergamotdrift.requests_ahead import RequestsAhead
from bergamotdrift.socket_state import count_unread

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_DISCARD_BYTES = 64 * 1024
# A connection lingers while its caller sends at least `_LINGER_MIN_BYTES` in this time.
LINGER_TIMEOUT_S = 0.5
_LINGER_MIN_BYTES = 1024
_LINGER_TOTAL_S = 2.0
# Time for data that has arrived to be received.
_ARRIVED_TIMEOUT_S = 1.0
# Time that the first request of a new connection has at a stop.
_FIRST_REQUEST_S = 0.2
_LINGERING_ENDS = frozenset({ConnectionEnd.ANSWERED, ConnectionEnd.REFUSED})
_ANSWER_CLOSES = "answer_closes"


class LimitedHandler:
    """Serve the requests of one connection within the server's limits.

    Requests run one at a time in the greenlet of the connection, and those read ahead
    of their turn in greenlets of their own.
    """

    def __init__(self, sock: Any, address: Any, server: Any):
        self.server = server
        self.client_address = address
        self.watch = CallerWatch(sock, self._on_data)
        self._socket = sock
        self._output = CallerOutput(sock)
        self._reader = SocketReader(sock)
        self._request_wait = RequestWait(sock)
        self._ahead = RequestsAhead(server.held_answers)
        self._current: HttpExchange | None = None
        self._logged_stops: frozenset[StopReason] = frozenset()
        self._answers = 0
        self._idle_since_s = time.monotonic()
        # How long a caller has waited for its first answer is known only from the start
        # of the connection, as its request may have been held up on the way.
        self.caller_waits_since_s = self._idle_since_s
        self._idle_timeout_s = 0.0
        self._discarded_bytes = 0
        self._unread_bytes = 0

    @property
    def _limits(self) -> HttpLimits:
        limits: HttpLimits = self.server.limits
        return limits

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        end, detail = ConnectionEnd.KILLED, ""
        try:
            end = self._serve_requests()
        except (OSError, CallerGoneError) as exc:
            end, detail = ConnectionEnd.CALLER_LOST, str(exc)
        finally:
            self._log_dropped(self._ahead.drop_all(end.value), end.value)
            self._close(end)
            self._record_end(end, detail)

    def has_request_behind(self, exchange: HttpExchange) -> bool:
        """Return whether another request has arrived behind that of an exchange."""
        if not exchange.body_at_end:
            return False
        if self._ahead.last not in {None, exchange}:
            return True
        return self._reader.has_data or peer_has_closed(self._socket) is None

    def on_closing(self, exchange: HttpExchange) -> None:
        """Drop the requests behind an exchange whose response ends the connection."""
        if exchange is self._current:
            count = self._ahead.drop_all(_ANSWER_CLOSES)
        else:
            count = self._ahead.drop_behind(exchange, _ANSWER_CLOSES)
        self._log_dropped(count, _ANSWER_CLOSES)

    def _serve_requests(self) -> ConnectionEnd:
        """Serve requests and return why the connection ends; raises CallerGoneError."""
        while (end := self._wait_for_request()) is None:
            end = self._serve_one()
            if end is not None:
                return end
            self._current = None
            self._idle_since_s = time.monotonic()
            self._idle_timeout_s = 0.0
        return end

    def _wait_for_request(self) -> ConnectionEnd | None:
        """Wait for data and return None, or why the connection ends without any."""
        if self._ahead or self._reader.has_data:
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
        """Answer a request; return why the connection ends, or None to keep it."""
        ahead = self._ahead.take()
        if ahead is not None:
            exchange = self._current = ahead.exchange
            self._read_ahead()
            self.watch.resume()
            self._output.settimeout(self._limits.body_timeout_s)
            ahead.deliver(self._output)
            return self._end_after(exchange)
        try:
            head = parse_head(self._reader.read_head(self._limits), self._limits)
        except RequestError as exc:
            send_refusal(self._socket, exc.refusal)
            return ConnectionEnd.REFUSED
        if self._answers:
            self.caller_waits_since_s = time.monotonic()
        exchange = self._current = self._new_exchange(head, self._output)
        if self._reader.has_data:
            self._read_ahead()
        self._output.settimeout(self._limits.body_timeout_s)
        exchange.handle_one_response()
        return self._end_after(exchange)

    def _end_after(self, exchange: HttpExchange) -> ConnectionEnd | None:
        if exchange.aborted:
            return ConnectionEnd.ANSWER_ABORTED
        if exchange.caller_has_left:
            return ConnectionEnd.CALLER_LOST
        self._answers += 1
        if exchange.close_connection or not exchange.discard_body():
            return ConnectionEnd.ANSWERED
        return None

    def _new_exchange(self, head: RequestHead, output: Any) -> HttpExchange:
        timeout_s = self._limits.body_timeout_s
        body = BodyReader(self._reader, head, self._socket, timeout_s)
        return HttpExchange(self, head, body, output)

    def _on_data(self) -> bool:
        """Read ahead what has arrived; return whether to read more."""
        stop = self._stop_behind()
        if stop is not None:
            self._count_stop(stop)
            return False
        self._reader.receive_arrived()
        return self._read_ahead()

    def _read_ahead(self) -> bool:
        """Start the received requests that may run now; return whether to read more."""
        while self._reader.has_data:
            found = self._peek_next()
            if found is None:
                return True
            if isinstance(found, StopReason):
                self._count_stop(found)
                return False
            self._reader.read_head(self._limits)
            buffer = AnswerBuffer(self._ahead.held, self._limits.max_ahead_bytes)
            self._ahead.start(self._new_exchange(found, buffer), buffer)
        return True

    def _peek_next(self) -> RequestHead | StopReason | None:
        """Return the next head if it may run now, else why not; None if incomplete."""
        stop = self._stop_behind()
        if stop is not None:
            return stop
        try:
            data = self._reader.peek_head(self._limits)
            if data is None:
                return None
            head = parse_head(data, self._limits)
        except RequestError:
            # It is refused in its turn.
            return StopReason.INVALID
        traits = RequestTraits(self.server.is_idempotent(head), has_body(head))
        return stop_before(traits) or head

    def _stop_behind(self) -> StopReason | None:
        last = self._ahead.last or self._current
        if last is None:
            return None
        return stop_behind(last.traits, self._ahead.load, self._limits)

    def _count_stop(self, reason: StopReason) -> None:
        STOPS.labels(reason.value).inc()
        # A caller that pipelines all the time would write a line for each request.
        if reason in self._logged_stops:
            return
        self._logged_stops |= {reason}
        load = self._ahead.load
        log_event(
            "read_ahead_stopped",
            caller=self._caller,
            reason=reason.value,
            requests=load.requests,
            held_bytes=load.held_bytes,
        )

    def _log_dropped(self, count: int, reason: str) -> None:
        if count:
            log_event(
                "requests_dropped", caller=self._caller, reason=reason, requests=count
            )

    @property
    def _caller(self) -> str:
        return f"{self.client_address[0]}:{self.client_address[1]}"

    def _close(self, end: ConnectionEnd) -> None:
        self._current = None
        self.watch.close()
        self._request_wait.close()
        # Elsewhere no answer is on its way that a reset could destroy, and the reset
        # tells the caller that its next request was not read.
        if end in _LINGERING_ENDS:
            self._discarded_bytes = lingering_close(self._socket)
        self._unread_bytes = count_unread(self._socket)
        with contextlib.suppress(OSError):
            if end is ConnectionEnd.ANSWER_ABORTED:
                # The caller detects the truncated response by the reset.
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            self._socket.close()

    def _record_end(self, end: ConnectionEnd, detail: str) -> None:
        idle_s = time.monotonic() - self._idle_since_s
        ended = EndedConnection(
            self._caller,
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
            data = sock.recv(_DISCARD_BYTES)
            if not data:
                break
            discarded += len(data)
            recent += len(data)
            if recent >= _LINGER_MIN_BYTES:
                recent, pause_end_s = 0, time.monotonic() + LINGER_TIMEOUT_S
    return discarded
