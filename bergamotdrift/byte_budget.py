"""Accounting of the bytes that a process holds for callers and upstreams.

The load that it responds to is callers that read slowly and upstreams that respond
faster than callers read. It has no sockets and never waits: its users buffer less, or
read in smaller parts, so that the kernel's flow control slows the sender down.
"""

from collections.abc import Callable
from enum import StrEnum

CHUNK_BYTES = 64 * 1024
# Size of the parts that each connection may always hold, so that none has to wait for
# another one.
MIN_CHUNK_BYTES = 4 * 1024


class Pressure(StrEnum):
    """List what is not done because no room is left."""

    REQUEST_NOT_BUFFERED = "request_not_buffered"
    RESPONSE_NOT_BUFFERED = "response_not_buffered"
    RESPONSE_TOO_LARGE = "response_too_large"
    SMALL_CHUNK = "small_chunk"


class ByteBudget:
    """Bound on the bytes held for all requests together, and for each one."""

    def __init__(
        self,
        total_bytes: int,
        request_bytes: int,
        on_pressure: Callable[[Pressure], None] = lambda _: None,
    ):
        self.total_bytes = total_bytes
        self.request_bytes = request_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.on_pressure = on_pressure

    def open(self) -> "HeldBytes":
        """Return the account of a request."""
        return HeldBytes(self)

    def add(self, size: int) -> None:
        """Count bytes; a negative size returns them."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)


class HeldBytes:
    """Bytes held for one request; `close` returns all of them."""

    __slots__ = ("_budget", "_buffered", "_chunk", "_closed")

    def __init__(self, budget: ByteBudget):
        self._budget = budget
        self._buffered = 0
        self._chunk = 0
        self._closed = False

    def take(self, size: int, pressure: Pressure) -> bool:
        """Count bytes that are buffered, or return False if there is no room."""
        if not self._has_room(size):
            self._budget.on_pressure(pressure)
            return False
        self.hold(size)
        return True

    def hold(self, size: int) -> None:
        """Count bytes that are buffered, whether or not there is room for them."""
        if not self._closed:
            self._buffered += size
            self._budget.add(size)

    @property
    def buffered(self) -> int:
        """Bytes that are buffered, without the part that was read last."""
        return self._buffered

    def return_to(self, buffered: int) -> None:
        """Return what was buffered beyond an earlier value of `buffered`."""
        excess = max(0, self._buffered - buffered)
        self._buffered -= excess
        self._budget.add(-excess)

    def next_chunk(self) -> int:
        """Count the next part, whose buffer is held while it is read.

        Returns its size. It replaces the part before.
        """
        size = self.chunk_size()
        self.set_chunk(size)
        return size

    def chunk_size(self) -> int:
        """Return the size of the next part to read; the part before has ended."""
        self.end_chunk()
        if self._has_room(CHUNK_BYTES):
            return CHUNK_BYTES
        self._budget.on_pressure(Pressure.SMALL_CHUNK)
        return MIN_CHUNK_BYTES

    def set_chunk(self, size: int) -> None:
        """Count a part that was read, whether or not there is room for it."""
        self.end_chunk()
        if not self._closed:
            self._chunk = size
            self._budget.add(size)

    def end_chunk(self) -> None:
        """Return the part that was read last."""
        self._budget.add(-self._chunk)
        self._chunk = 0

    def close(self) -> None:
        """Return all bytes; later calls have no effect."""
        self.end_chunk()
        self._budget.add(-self._buffered)
        self._buffered = 0
        self._closed = True

    def _has_room(self, size: int) -> bool:
        budget = self._budget
        held = self._buffered + self._chunk
        return (
            not self._closed
            and held + size <= budget.request_bytes
            and budget.held_bytes + size <= budget.total_bytes
        )
