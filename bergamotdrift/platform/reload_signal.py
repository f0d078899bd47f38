"""SIGHUP during the start of a program, which its default action would end."""

import signal
from typing import Any

_received: list[int] = []


def record() -> None:
    """Record SIGHUP from now on, until another handler takes its place."""
    signal.signal(signal.SIGHUP, _on_signal)


def was_received() -> bool:
    """Return whether a signal was recorded."""
    return bool(_received)


def _on_signal(number: int, _frame: Any) -> None:
    _received.append(number)
