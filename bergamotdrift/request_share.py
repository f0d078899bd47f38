"""Share of the request rate of an upstream that one entry may use on its own."""

from collections import deque

from bergamotdrift.hashing import rendezvous


class RequestShare:
    """Limit the requests of this entry to an upstream in a sliding window.

    All entries know the same members, so the shares add up to the limit. With more
    entries than allowed requests, only the first in rendezvous order send any.
    """

    def __init__(self, node: str, window_ms: float):
        self._node = node
        self._window_ms = window_ms
        self._sent_ms: dict[str, deque[float]] = {}
        self._shares: dict[tuple[str, int], int] = {}
        self._members: frozenset[str] = frozenset()

    def set_members(self, members: frozenset[str]) -> None:
        """Set the entries that share the limits."""
        if members != self._members:
            self._members = members
            self._shares.clear()

    def has_room(self, upstream: str, limit: int, now_ms: float) -> bool:
        """Return whether one more request fits into this entry's share.

        `limit` is the number of requests of all entries in a window.
        """
        sent = self._sent_ms.get(upstream)
        if sent is None:
            return self._share(upstream, limit) > 0
        while sent and sent[0] <= now_ms - self._window_ms:
            sent.popleft()
        return len(sent) < self._share(upstream, limit)

    def record_sent(self, upstream: str, now_ms: float) -> None:
        """Count a request sent now."""
        self._sent_ms.setdefault(upstream, deque()).append(now_ms)

    def retain(self, upstreams: set[str]) -> None:
        """Drop the counts of all upstreams except those given."""
        self._sent_ms = {u: s for u, s in self._sent_ms.items() if u in upstreams}

    def _share(self, upstream: str, limit: int) -> int:
        key = (upstream, limit)
        if key not in self._shares:
            order = rendezvous(upstream, self._members | {self._node})
            position = order.index(self._node)
            share, remainder = divmod(limit, len(order))
            self._shares[key] = share + (1 if position < remainder else 0)
        return self._shares[key]
