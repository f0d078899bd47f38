"""Bounded buffers for the answers to requests that were read ahead."""

from typing import Any

from gevent.event import Event

from bergamotdrift.read_ahead_metrics import HELD_BYTES


class HeldTotal:
    """Count the bytes that the answers of all connections of a server hold."""

    def __init__(self) -> None:
        self.count = 0


class AheadBytes:
    """Count the bytes that the answers of one connection hold until their turn."""

    def __init__(self, total: HeldTotal) -> None:
        self.count = 0
        self.total = total
        # Most connections never wait.
        self._changed: Event | None = None

    def add(self, count: int) -> None:
        """Add bytes, or remove them if the number is negative."""
        self.count += count
        self.total.count += count
        HELD_BYTES.inc(count)
        if count < 0:
            self.wake()

    def wake(self) -> None:
        """Let waiting answers check again whether they may go on."""
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def wait(self) -> None:
        """Wait until bytes were removed, or for `wake`."""
        if self._changed is None:
            self._changed = Event()
        self._changed.wait()


class AnswerBuffer:
    """Stand in for the caller's socket until it is the answer's turn.

    Its writer waits while the buffers of the connection are full. Its own data counts
    as held meanwhile, so that nothing more is read ahead.
    """

    def __init__(self, held: AheadBytes, max_bytes: int):
        self._held = held
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._sock: Any = None
        self._discarded = False

    def sendall(self, data: bytes) -> None:
        """Hold data, or send it from the answer's turn on; raises OSError."""
        if self._sock is None:
            self._hold(data)
        else:
            self._sock.sendall(data)

    def settimeout(self, timeout_s: float) -> None:
        """Set the timeout of the socket; data that is held takes no time to send."""
        if self._sock is not None:
            self._sock.settimeout(timeout_s)

    def open(self, sock: Any) -> None:
        """Send what is held and pass on what follows; raises OSError."""
        while self._data:
            data = bytes(self._data)
            self._data.clear()
            try:
                sock.sendall(data)
            finally:
                self._held.add(-len(data))
        self._sock = sock
        self._held.wake()

    def discard(self) -> None:
        """Drop what is held; later writes fail."""
        self._discarded = True
        self._held.add(-len(self._data))
        self._data.clear()
        self._held.wake()

    def _hold(self, data: bytes) -> None:
        size = len(data)
        self._held.add(size)
        try:
            # A lone answer is taken at any size, as it is in memory already.
            while self._is_waiting and self._held.count > max(self._max_bytes, size):
                self._held.wait()
            if self._is_waiting:
                self._data += data
                size = 0
        finally:
            self._held.add(-size)
        if self._discarded:
            raise BrokenPipeError("the answer is not sent any more")
        if self._sock is not None:
            self._sock.sendall(data)

    @property
    def _is_waiting(self) -> bool:
        return self._sock is None and not self._discarded
