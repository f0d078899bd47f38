"""Requests of a connection that run before the answers ahead of them are sent."""

import time
from typing import Any

import gevent

from bergamotdrift.answer_buffer import AheadBytes, AnswerBuffer, HeldTotal
from bergamotdrift.exceptions import CallerGoneError, RequestDroppedError
from bergamotdrift.http_exchange import HttpExchange
from bergamotdrift.read_ahead import AheadLoad
from bergamotdrift.read_ahead_metrics import (
    ANSWERED,
    DROPPED,
    FAILED,
    REQUESTS,
    STARTED,
)
from bergamotdrift.socket_state import count_unsent

# Time for earlier answers to arrive before the connection is reset, which discards what
# the caller has not acknowledged.
_SEND_TIMEOUT_S = 0.5
_SEND_POLL_S = 0.01


class RequestAhead:
    """Run one exchange in a greenlet of its own, into a buffer until its turn."""

    def __init__(self, exchange: HttpExchange, buffer: AnswerBuffer):
        self.exchange = exchange
        self._buffer = buffer
        self._is_running = False
        self._greenlet = gevent.spawn(self._run)

    def deliver(self, sock: Any) -> None:
        """Send the answer to the caller and wait for its end; raises OSError.

        None of an answer that has failed already is sent.
        """
        try:
            if not self._has_failed:
                self._buffer.open(sock)
            elif self.exchange.aborted:
                _wait_until_sent(sock)
            self._greenlet.join()
        except BaseException:
            REQUESTS.labels(FAILED).inc()
            self.drop("the connection ended")
            raise
        self._buffer.discard()
        REQUESTS.labels(FAILED if self._has_failed else ANSWERED).inc()

    def drop(self, reason: str) -> None:
        """End the request; if it has not started, it never runs."""
        if self._is_running:
            self._greenlet.kill(RequestDroppedError(reason), block=False)
        else:
            self._greenlet.kill(block=False)
        self._buffer.discard()

    @property
    def _has_failed(self) -> bool:
        return self.exchange.aborted or self.exchange.caller_has_left

    def _run(self) -> None:
        self._is_running = True
        try:
            self.exchange.handle_one_response()
        except (OSError, CallerGoneError):
            self.exchange.caller_has_left = True
        except BaseException:
            # Without an answer, the next one would be taken for it.
            self.exchange.aborted = True
            raise


class RequestsAhead:
    """Hold the requests behind the one that is being answered, in their order."""

    def __init__(self, total: HeldTotal) -> None:
        self.held = AheadBytes(total)
        self._queue: list[RequestAhead] = []

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._queue)

    @property
    def load(self) -> AheadLoad:
        """Return the number of requests and the bytes of answers that wait."""
        return AheadLoad(len(self._queue), self.held.count, self.held.total.count)

    @property
    def last(self) -> HttpExchange | None:
        """Return the exchange of the last request, or None without any."""
        return self._queue[-1].exchange if self._queue else None

    def start(self, exchange: HttpExchange, buffer: AnswerBuffer) -> None:
        """Run a request behind the others."""
        REQUESTS.labels(STARTED).inc()
        self._queue.append(RequestAhead(exchange, buffer))

    def take(self) -> RequestAhead | None:
        """Remove and return the first request, whose turn it is; None without any."""
        return self._queue.pop(0) if self._queue else None

    def drop_behind(self, exchange: HttpExchange, reason: str) -> int:
        """End the requests behind an exchange in the queue; return their number."""
        exchanges = [request.exchange for request in self._queue]
        if exchange not in exchanges:
            return 0
        return self._drop_from(exchanges.index(exchange) + 1, reason)

    def drop_all(self, reason: str) -> int:
        """End all requests and return their number."""
        return self._drop_from(0, reason)

    def _drop_from(self, start: int, reason: str) -> int:
        count = len(self._queue) - start
        for _ in range(count):
            self._queue.pop().drop(reason)
        if count:
            REQUESTS.labels(DROPPED).inc(count)
        return count


def _wait_until_sent(sock: Any) -> None:
    end_s = time.monotonic() + _SEND_TIMEOUT_S
    while count_unsent(sock) and time.monotonic() < end_s:
        gevent.sleep(_SEND_POLL_S)
