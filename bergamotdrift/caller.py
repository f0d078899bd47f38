"""Reading of the caller's request body and detection of its disconnect."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import get_hub

from bergamotdrift.exceptions import CallerGoneError
from bergamotdrift.http_input import (
    BodyReader,
    peer_has_closed,
    read_watcher,
)
from bergamotdrift.socket_state import peer_has_left

# Time between checks for a disconnect while received data is left unread, which hides
# the end of the stream from the watcher.
_UNREAD_CHECK_S = 0.1


def _ignore_data() -> bool:
    return False


class CallerWatch:
    """Raise CallerGoneError in all requests of a connection when the caller leaves.

    `on_data` is called in the hub when data arrives during a request, and returns
    whether it is to be called again.
    """

    def __init__(self, sock: Any, on_data: Callable[[], bool]):
        self._sock = sock
        self._on_data = on_data
        self._greenlets: list[Any] = []
        self._watcher = read_watcher(sock)
        self._timer: Any = None

    def add(self, greenlet: Any) -> None:
        """Watch for a request that is handled by a greenlet."""
        self._greenlets.append(greenlet)
        self.resume()

    def remove(self, greenlet: Any) -> None:
        """Raise nothing in a greenlet from now on."""
        if greenlet in self._greenlets:
            self._greenlets.remove(greenlet)
        if not self._greenlets:
            self._pause()

    def caller_has_left(self) -> bool:
        """Return whether the caller has closed its side of the connection."""
        closed = peer_has_closed(self._sock)
        return peer_has_left(self._sock) if closed is None else closed

    def resume(self) -> None:
        """Call `on_data` again for data that arrives or has arrived."""
        if not self._greenlets:
            return
        self._stop_timer()
        if not self._watcher.active:
            self._watcher.start(self._on_readable)

    def close(self) -> None:
        """Stop watching for good; call it before the socket is closed."""
        self._greenlets.clear()
        self._pause()
        self._watcher.close()
        # Ends the reference cycle with the connection's handler.
        self._on_data = _ignore_data

    def _on_readable(self) -> None:
        closed = peer_has_closed(self._sock)
        if closed:
            self._raise_in_all()
        elif closed is None and not self._on_data():
            # Unread data would keep the watcher firing.
            self._watcher.stop()
            self._start_timer()

    def _check_unread(self) -> None:
        if peer_has_left(self._sock):
            self._raise_in_all()

    def _raise_in_all(self) -> None:
        self._pause()
        for greenlet in list(self._greenlets):
            # The end of one request may have ended others.
            if greenlet in self._greenlets:
                self._greenlets.remove(greenlet)
                greenlet.throw(CallerGoneError("the caller closed the connection"))

    def _pause(self) -> None:
        self._watcher.stop()
        self._stop_timer()

    def _start_timer(self) -> None:
        if self._greenlets and self._timer is None:
            self._timer = get_hub().loop.timer(_UNREAD_CHECK_S, _UNREAD_CHECK_S)
            self._timer.start(self._check_unread)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None


class DisconnectWatch:
    """Let CallerGoneError be raised in the handling greenlet once a body is read."""

    def __init__(self, watch: CallerWatch):
        self._watch = watch
        self._greenlet = gevent.getcurrent()
        self._armed = False

    def start(self) -> None:
        """Start watching; called once the body has been read."""
        if not self._armed:
            self._armed = True
            self._watch.add(self._greenlet)

    def stop(self) -> None:
        """Stop watching; nothing is raised afterwards."""
        self._watch.remove(self._greenlet)


class CallerBody:
    """Read a request body in chunks, then watch for a disconnect."""

    def __init__(self, raw: BodyReader, length: int | None, watch: DisconnectWatch):
        self._raw = raw
        self._watch = watch
        self.length = length
        self._watch_at_end()

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes, empty at the end of the body."""
        if self._raw.at_end:
            return b""
        target = bytearray(min(size, self._raw.remaining_bytes or size))
        count = self._raw.readinto(target)
        self._watch_at_end()
        return bytes(memoryview(target)[:count])

    def _watch_at_end(self) -> None:
        if self._raw.at_end:
            self._watch.start()
