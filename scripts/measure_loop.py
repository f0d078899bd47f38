"""Event loop of the discrete-event simulation, on a simulated clock."""

import heapq
from collections.abc import Callable
from typing import Any

from bergamotdrift.clock import ManualClock


class EventLoop:
    """Run actions in order of their times in milliseconds, then of scheduling."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[..., Any], tuple]] = []
        self._sequence_number = 0

    @property
    def now_ms(self) -> float:
        """Return the simulated time."""
        return self.clock.now_ms()

    def call_at(self, at_ms: float, action: Callable[..., Any], *args: Any) -> None:
        """Schedule an action at a time, which must not be in the past."""
        self._sequence_number += 1
        heapq.heappush(self._events, (at_ms, self._sequence_number, action, args))

    def call_later(
        self, delay_ms: float, action: Callable[..., Any], *args: Any
    ) -> None:
        """Schedule an action after a delay."""
        self.call_at(self.now_ms + delay_ms, action, *args)

    def call_every(
        self, interval_ms: float, action: Callable[[], Any], offset_ms: float = 0.0
    ) -> None:
        """Run an action periodically, first after the offset."""

        def run_and_reschedule() -> None:
            self.call_later(interval_ms, run_and_reschedule)
            action()

        self.call_later(offset_ms, run_and_reschedule)

    def run(self, until_ms: float) -> None:
        """Run all actions that are due up to a time, inclusive."""
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_ms - self.now_ms))
            action(*args)
