"""Delay of an upstream's reply until a planning round has changed its grants.

An upstream learns of grants only from replies to its announcements. If a partition
changed hands in between, arbiters would send requests that the upstream refuses as
fenced for up to an announcement interval. So a change waits for the upstream's next
announcement, and the reply to that announcement waits for the change.
"""

from bergamotdrift.feed_tables import UpstreamId


class ReplyGate:
    """Match planned changes with the upstreams whose replies are held back."""

    def __init__(self) -> None:
        self._awaited: set[UpstreamId] = set()
        self._postponed: set[UpstreamId] = set()
        self._held: set[UpstreamId] = set()
        self._admitted: set[UpstreamId] = set()

    def hold(self, upstream: UpstreamId) -> bool:
        """Return whether a reply must wait for the next round, and hold it if so."""
        if upstream not in self._awaited:
            return False
        self._held.add(upstream)
        return True

    def begin_round(self) -> None:
        """Admit changes in this round for the upstreams whose replies are held."""
        self._admitted, self._held = self._held, set()
        self._postponed = set()

    def passes(self, upstream: UpstreamId) -> bool:
        """Return whether a change may be logged now; if not, postpone it."""
        if upstream in self._admitted:
            return True
        self._postponed.add(upstream)
        return False

    def end_round(self) -> None:
        """Hold the next replies of the upstreams whose changes were postponed."""
        self._awaited = self._postponed
