"""HTTP server of the programs, on gevent's pywsgi."""

import socket
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import pywsgi

from bergamotdrift.answer_buffer import HeldTotal
from bergamotdrift.connection_ends import (
    ConnectionEnd,
    EndedConnection,
    record_end,
)
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.http_handler import (
    LINGER_TIMEOUT_S,
    LimitedHandler,
    lingering_close,
)
from bergamotdrift.http_input import HttpLimits, RequestHead
from bergamotdrift.idle_timeouts import IdleTimeouts
from bergamotdrift.log import log_event
from bergamotdrift.refusals import refusal_body
from bergamotdrift.request_wait import RequestWait
from bergamotdrift.socket_state import count_unread
from bergamotdrift.streams import parse_address

# Refused connections beyond this number are closed without lingering.
_MAX_LINGERING_REFUSALS = 32
_CLOSE_POLL_S = 0.02
# Time in which callers that send requests all the time are told that the server stops.
_DRAIN_S = 0.2
_LAST_ANSWERS_S = 1.0
_OVERLOAD_BODY = refusal_body(Refusal(ErrorKind.QUEUE_FULL, "too many connections"), "")
_OVERLOAD_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"X-Error-Kind: queue_full\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(_OVERLOAD_BODY), _OVERLOAD_BODY)
)


def _never_idempotent(_: RequestHead) -> bool:
    return False


class _LimitedServer(pywsgi.WSGIServer):
    """WSGI server that refuses connections above a limit.

    `is_idempotent` tells which requests may run beside others of their connection.
    """

    def __init__(
        self,
        listen: str,
        app: Callable[..., Any],
        limits: HttpLimits,
        is_idempotent: Callable[[RequestHead], bool],
    ):
        super().__init__(
            parse_address(listen),
            app,
            log=None,
            error_log=None,
            handler_class=LimitedHandler,
        )
        self.limits = limits
        self.is_idempotent = is_idempotent
        self.idle_timeouts = IdleTimeouts(limits.idle_timeout_s)
        self.draining = False
        self.stopping = False
        self.open_connections = 0
        self.held_answers = HeldTotal()
        self.request_waits: set[RequestWait] = set()
        self._refused = 0

    def handle(self, sock: Any, address: Any) -> None:
        """Serve a connection, or refuse it if the limit is reached."""
        if self.open_connections >= self.limits.max_connections:
            self._refuse(sock, address)
            return
        self.open_connections += 1
        try:
            super().handle(sock, address)
        finally:
            self.open_connections -= 1

    def accept_pending(self) -> None:
        """Accept all connections that wait in the queue of the listening socket."""
        try:
            while (accepted := self.do_read()) is not None:
                self.do_handle(*accepted)
        except OSError as exc:  # no descriptor is free
            log_event("accept_failed", reason=str(exc))

    def _refuse(self, sock: Any, address: Any) -> None:
        self._refused += 1
        discarded = 0
        detail = ""
        try:
            sock.settimeout(LINGER_TIMEOUT_S)
            sock.sendall(_OVERLOAD_RESPONSE)
            if self._refused <= _MAX_LINGERING_REFUSALS:
                discarded = lingering_close(sock)
        except OSError as exc:
            detail = str(exc)
        finally:
            self._refused -= 1
            unread = count_unread(sock)
            sock.close()
        caller = f"{address[0]}:{address[1]}"
        ended = EndedConnection(caller, 0, 0, discarded, unread, detail)
        record_end(ConnectionEnd.OVER_LIMIT, ended)


class HttpServer:
    """Serve a WSGI application on an address, within limits.

    Pipelined requests run concurrently if `is_idempotent` allows it, which is called in
    the hub too and must not block.
    """

    def __init__(
        self,
        listen: str,
        app: Callable[..., Any],
        limits: HttpLimits | None = None,
        is_idempotent: Callable[[RequestHead], bool] = _never_idempotent,
    ):
        self._server = _LimitedServer(
            listen, app, limits or HttpLimits(), is_idempotent
        )

    @property
    def address(self) -> str:
        """Return the bound address as `host:port`."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._server.open_connections

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()
        # Accepted sockets inherit the option. Without it, Nagle's algorithm delays the
        # body until the delayed ACK of the headers, about 40 ms.
        self._server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_limits(self, limits: HttpLimits) -> None:
        """Apply changed limits from the next request on.

        A longer idle timeout applies at once, a shorter one to later idle times.
        """
        if limits == self._server.limits:
            return
        self._server.limits = limits
        self._server.idle_timeouts.change(limits.idle_timeout_s, time.monotonic())
        self._interrupt_waits()

    def drain(self) -> None:
        """Close each connection after its current or next response."""
        self._server.draining = True

    def stop(self) -> None:
        """Stop accepting, and close connections once received requests are answered.

        Connections without a received request are closed.
        """
        self._server.draining = True
        self._server.stopping = True
        if not self._server.closed:
            self._server.accept_pending()
        self._server.close()
        self._interrupt_waits()

    def shut_down(self) -> None:
        """Tell callers to close their connections, then stop and wait for the rest."""
        self.drain()
        gevent.sleep(_DRAIN_S)
        self.stop()
        self.wait_closed(_LAST_ANSWERS_S)

    def wait_closed(self, limit_s: float) -> bool:
        """Wait after a stop until all connections are closed; return whether they are.

        A process that exits earlier cuts the answers that are still to be sent.
        """
        end_s = time.monotonic() + limit_s
        while True:
            # Accepted connections are counted once their greenlets run.
            gevent.sleep(_CLOSE_POLL_S)
            if not self.open_connections or time.monotonic() >= end_s:
                return not self.open_connections

    def _interrupt_waits(self) -> None:
        for wait in self._server.request_waits:
            wait.interrupt()
