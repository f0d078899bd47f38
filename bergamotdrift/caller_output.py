"""Sending of responses to callers, which are disconnected if they stop reading."""

import contextlib
import socket
import struct
import time
from typing import Any

from prometheus_client import Counter

from bergamotdrift.exceptions import CallerGoneError
from bergamotdrift.log import log_event
from bergamotdrift.socket_state import count_unsent

# Longer than the retransmissions of a few lost packets take, and shorter than upstreams
# were seen to wait until they cut off a response that stays unread.
STALL_TIMEOUT_S = 5.0
# Part of the timeout. A send that is repeated fills the kernel's buffer further than
# one that waits for room, so it should be rare.
_CHECK_PART = 0.25
# A caller that reads single bytes does not hold its connection open.
_MIN_READ_BYTES = 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

STALLED_CALLERS = Counter(
    "bergamotdrift_stalled_callers_total",
    "Callers that were disconnected because they did not read their response",
)


class ReadProgress:
    """Judge from the bytes that a caller has taken whether it reads."""

    def __init__(self, taken_bytes: int, now_s: float, timeout_s: float):
        self._taken_bytes = taken_bytes
        self._since_s = now_s
        self._timeout_s = timeout_s

    def has_stalled(self, taken_bytes: int, now_s: float) -> bool:
        """Return True if too few bytes were taken for the timeout."""
        if taken_bytes - self._taken_bytes >= _MIN_READ_BYTES:
            self._taken_bytes, self._since_s = taken_bytes, now_s
        return now_s - self._since_s >= self._timeout_s


class CallerOutput:
    """Send to a caller's socket, and give up if the caller does not read.

    The kernel reports room only once much of its buffer is free, so the progress of a
    caller is judged by what it has acknowledged.
    """

    def __init__(self, sock: Any):
        self._sock = sock
        self._timeout_s = STALL_TIMEOUT_S

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        number: int = self._sock.fileno()
        return number

    def settimeout(self, timeout_s: float) -> None:
        """Set the time in which the caller has to read, up to STALL_TIMEOUT_S."""
        self._timeout_s = min(timeout_s, STALL_TIMEOUT_S)

    def sendall(self, data: bytes | bytearray) -> None:
        """Send all data; raises OSError, and CallerGoneError if it is not read."""
        before_s = self._sock.gettimeout()
        self._sock.settimeout(self._timeout_s * _CHECK_PART)
        try:
            self._send(memoryview(data))
        finally:
            self._sock.settimeout(before_s)

    def _send(self, view: memoryview) -> None:
        sent = 0
        taken = -count_unsent(self._sock)
        progress = ReadProgress(taken, time.monotonic(), self._timeout_s)
        while sent < len(view):
            try:
                sent += self._sock.send(view[sent:])
            except TimeoutError:
                taken = sent - count_unsent(self._sock)
                if progress.has_stalled(taken, time.monotonic()):
                    raise self._stalled(len(view) - sent) from None

    def _stalled(self, unsent: int) -> CallerGoneError:
        STALLED_CALLERS.inc()
        log_event(
            "caller_stalled",
            caller=self._peer(),
            unsent=unsent,
            unacknowledged=count_unsent(self._sock),
            timeout_ms=round(self._timeout_s * 1000),
        )
        # An orderly close could pass for the end of a response without a length, and
        # the kernel would keep what is not read.
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        return CallerGoneError(f"the caller did not read for {self._timeout_s:g} s")

    def _peer(self) -> str:
        try:
            address, port = self._sock.getpeername()[:2]
        except OSError:  # the caller has left
            return ""
        return f"{address}:{port}"
