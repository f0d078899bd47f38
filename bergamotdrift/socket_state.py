"""State of a TCP socket that the kernel reports: closed by its peer, queued bytes."""

import fcntl
import socket
import termios
from array import array
from typing import Any

# TCP_CLOSE and TCP_CLOSE_WAIT, the first byte of the kernel's `tcp_info`.
_CLOSED_STATES = frozenset({7, 8})


def peer_has_left(sock: Any) -> bool:
    """Return whether the peer closed its side, also if data before that is unread."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return True
    return info[0] in _CLOSED_STATES


def count_unread(sock: Any) -> int:
    """Return the number of received bytes that were not read."""
    return _queued_bytes(sock, termios.FIONREAD)


def count_unsent(sock: Any) -> int:
    """Return the number of sent bytes that the peer has not acknowledged."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def _queued_bytes(sock: Any, queue: int) -> int:
    size = array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), queue, size)
    except OSError:  # the socket is closed
        return 0
    return size[0]
