"""Sending of responses to callers, which are disconnected if they stop reading."""

import fcntl
import termios
import time
from array import array
from typing import Any

from prometheus_client import Counter

from bergamotdrift.exceptions import CallerGoneError
from bergamotdrift.log import log_event

# Longer than the retransmissions of a few lost packets take, and shorter than upstreams
# were seen to wait until they cut off a response that stays unread.
STALL_TIMEOUT_S = 5.0
_CHECK_INTERVAL_S = 0.5
# A caller that reads single bytes does not hold its connection open.
_MIN_READ_BYTES = 1024

STALLED_CALLERS = Counter(
    "bergamotdrift_stalled_callers_total",
    "Callers that were disconnected because they did not read their response",
)


class ReadProgress:
    """Judge from the bytes that a caller has taken whether it reads."""

    def __init__(self, now_s: float, timeout_s: float):
        self._since_s = now_s
        self._timeout_s = timeout_s
        self._taken_bytes: int | None = None

    def has_stalled(self, taken_bytes: int, now_s: float) -> bool:
        """Return True if too few bytes were taken for the timeout."""
        last = self._taken_bytes
        if last is None or taken_bytes - last >= _MIN_READ_BYTES:
            self._taken_bytes, self._since_s = taken_bytes, now_s
        return now_s - self._since_s >= self._timeout_s


def send_to_caller(sock: Any, data: bytes | bytearray, body_timeout_s: float) -> None:
    """Send all data; raises OSError, and CallerGoneError if the caller does not read.

    The kernel reports room only once much of its buffer is free, so the progress of a
    caller is judged by what it has acknowledged.
    """
    timeout_s = min(body_timeout_s, STALL_TIMEOUT_S)
    before_s = sock.gettimeout()
    view = memoryview(data)
    progress = ReadProgress(time.monotonic(), timeout_s)
    sock.settimeout(min(_CHECK_INTERVAL_S, timeout_s / 4))
    try:
        sent = 0
        while sent < len(view):
            try:
                sent += sock.send(view[sent:])
            except TimeoutError:
                taken = sent - _count_unacknowledged(sock)
                if progress.has_stalled(taken, time.monotonic()):
                    raise _stalled(sock, len(view) - sent, timeout_s) from None
    finally:
        sock.settimeout(before_s)


def _stalled(sock: Any, unsent: int, timeout_s: float) -> CallerGoneError:
    STALLED_CALLERS.inc()
    log_event(
        "caller_stalled",
        caller=_peer(sock),
        unsent=unsent,
        unacknowledged=_count_unacknowledged(sock),
        timeout_ms=round(timeout_s * 1000),
    )
    return CallerGoneError(f"the caller did not read for {timeout_s:g} s")


def _peer(sock: Any) -> str:
    try:
        address, port = sock.getpeername()[:2]
    except OSError:  # the caller has left
        return ""
    return f"{address}:{port}"


def _count_unacknowledged(sock: Any) -> int:
    size = array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    return size[0]
