"""Waiting for the next request on a connection."""

import time
from collections.abc import Callable
from typing import Any

from gevent.event import Event

from bergamotdrift.http_input import peer_has_closed, read_watcher


class RequestWait:
    """Wait until a socket is readable, or until an end that may change meanwhile."""

    def __init__(self, sock: Any):
        self._sock = sock
        self._changed = Event()
        self._watcher = read_watcher(sock)

    def interrupt(self) -> None:
        """Let a running wait ask for its end again."""
        self._changed.set()

    def until(self, end_s: Callable[[], float]) -> bool:
        """Return whether data or the end of the stream arrived by a monotonic time.

        Input that has arrived counts, however late the event loop is.
        """
        self._watcher.start(self._changed.set)
        try:
            while peer_has_closed(self._sock) is False:
                left_s = end_s() - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.clear()
                self._changed.wait(left_s)
            return True
        finally:
            self._watcher.stop()

    def close(self) -> None:
        """Stop watching for good; call it before the socket is closed."""
        self._watcher.close()
