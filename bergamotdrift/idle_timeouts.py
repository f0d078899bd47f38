"""Idle timeouts that callers may go by while a change spreads."""

from typing import NamedTuple

# Callers may learn of a shorter timeout later than the server does.
_CHANGE_SPREAD_S = 5.0


class _Replaced(NamedTuple):
    timeout_s: float
    until_s: float


class IdleTimeouts:
    """Hold the idle timeout in force and the recent ones that it replaced."""

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._replaced: list[_Replaced] = []

    def change(self, timeout_s: float, now_s: float) -> None:
        """Replace the timeout in force."""
        if timeout_s == self._timeout_s:
            return
        self._replaced = [r for r in self._replaced if r.until_s > now_s]
        self._replaced.append(_Replaced(self._timeout_s, now_s + _CHANGE_SPREAD_S))
        self._timeout_s = timeout_s

    def longest_s(self, now_s: float) -> float:
        """Return the longest timeout in seconds that a caller may go by."""
        recent = (r.timeout_s for r in self._replaced if r.until_s > now_s)
        return max([self._timeout_s, *recent])
