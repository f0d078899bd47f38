"""Share of an upstream's cold start that one entry may use, without asking anyone."""

from collections import deque

from bergamotdrift.hashing import rendezvous

WINDOW_MS = 1000.0


class ColdShare:
    """Bound the requests of this entry to cold upstreams.

    Every entry knows the same members, so the shares add up to the bound. Where there
    are more entries than requests, only the first ones in rendezvous order send any.
    """

    def __init__(self, node: str):
        self._node = node
        self._sent_ms: dict[str, deque[float]] = {}
        self._shares: dict[tuple[str, int], int] = {}
        self._members: frozenset[str] = frozenset()

    def set_members(self, members: frozenset[str]) -> None:
        """Set the entries that share the bounds."""
        if members != self._members:
            self._members = members
            self._shares.clear()

    def has_room(self, upstream: str, per_s: float, now_ms: float) -> bool:
        """Tell whether one more request may be sent within any second."""
        sent = self._sent_ms.get(upstream)
        if sent is None:
            return self._share(upstream, int(per_s)) > 0
        while sent and sent[0] <= now_ms - WINDOW_MS:
            sent.popleft()
        return len(sent) < self._share(upstream, int(per_s))

    def note_sent(self, upstream: str, now_ms: float) -> None:
        """Count a request that is sent now."""
        self._sent_ms.setdefault(upstream, deque()).append(now_ms)

    def forget(self, upstreams: set[str]) -> None:
        """Drop the counts of all upstreams but those named."""
        self._sent_ms = {u: s for u, s in self._sent_ms.items() if u in upstreams}

    def _share(self, upstream: str, per_s: int) -> int:
        key = (upstream, per_s)
        if key not in self._shares:
            order = rendezvous(upstream, self._members | {self._node})
            place = order.index(self._node)
            share, rest = divmod(per_s, len(order))
            self._shares[key] = share + (1 if place < rest else 0)
        return self._shares[key]
