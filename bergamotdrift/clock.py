"""Clocks in milliseconds: the system's boot clock and one advanced manually."""

import time
from typing import Protocol

# CLOCK_BOOTTIME includes the time during which a VM is suspended.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Measure the time since an arbitrary start, in milliseconds."""

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        ...


class BootClock:
    """Read the time since boot, including time suspended."""

    def now_ms(self) -> float:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime(_CLOCK_ID) * 1000.0


class ManualClock:
    """Change only when advanced, for tests and simulations."""

    def __init__(self, now_ms: float = 0.0):
        self._now_ms = now_ms

    def now_ms(self) -> float:
        """Return the current simulated time in milliseconds."""
        return self._now_ms

    def advance(self, delta_ms: float) -> None:
        """Advance the time by `delta_ms` milliseconds."""
        self._now_ms += delta_ms
