"""Time of the first assignment of a ranged service's keys.

Answers the start of many upstreams at once: those that register just after the first
assignment get their keys by handovers, while the others carry the whole load.
"""

from collections.abc import Collection

MIN_DELAY_MS = 1500.0
# Announcements arrive about once per second, so upstreams that start together register
# within that time of each other.
QUIET_MS = 1000.0
# A lost key has to be served again within this time.
MAX_DELAY_MS = 3000.0


class FirstPlacement:
    """Wait until the upstreams that start together have registered."""

    def __init__(self, now_ms: float):
        self._started_ms = now_ms
        self._joined_ms = now_ms
        self._known: frozenset[str] = frozenset()

    def is_due(self, upstreams: Collection[str], now_ms: float) -> bool:
        """Return whether to assign the keys to these upstreams now."""
        if not self._known.issuperset(upstreams):
            self._joined_ms = now_ms
            self._known = self._known.union(upstreams)
        waited_ms = now_ms - self._started_ms
        if waited_ms >= MAX_DELAY_MS:
            return True
        return waited_ms >= MIN_DELAY_MS and now_ms - self._joined_ms >= QUIET_MS
