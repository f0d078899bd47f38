"""Notification of changes of the feed tables."""

from gevent.event import Event


class FeedSignal:
    """Wake all greenlets that wait for the next change of the tables."""

    def __init__(self) -> None:
        self._event = Event()

    def notify(self) -> None:
        """Wake the waiting greenlets."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, timeout_ms: float) -> bool:
        """Wait for the next change; return False on timeout."""
        return self._event.wait(max(0.0, timeout_ms) / 1000.0)
