"""Tokens that the control leader has leased to entries, by entry.

The code here does no I/O.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

# An entry without a leader uses its standby rate in this time after its last ping.
STANDBY_FROM_MS = 500.0
STANDBY_UNTIL_MS = 2500.0
# An entry with a lower standby rate does not get to a whole token in that time.
_STANDBY_MIN_PER_S = 1000.0 / (STANDBY_UNTIL_MS - STANDBY_FROM_MS)
# Time constant of the exponential smoothing of an entry's standby rate.
_STANDBY_SMOOTHING_MS = 1500.0


@dataclass(slots=True)
class EntryLease:
    """Hold what an entry may still use: leased tokens, and standby tokens later."""

    tokens: int = 0
    expires_ms: float = 0.0
    seen_ms: float = 0.0
    granted_per_s: float = 0.0
    # The entry's own time of its last need, by which late ones are recognized.
    asked_ms: int = 0

    @property
    def standby_per_s(self) -> float:
        """Return the rate at which standby tokens accrue, or 0 if it is too low."""
        return self.granted_per_s if self.granted_per_s >= _STANDBY_MIN_PER_S else 0.0

    def standby_tokens(self, since_ms: float, now_ms: float) -> float:
        """Return the standby tokens that accrue between two times."""
        first_ms = max(since_ms, self.seen_ms + STANDBY_FROM_MS)
        last_ms = min(now_ms, self.seen_ms + STANDBY_UNTIL_MS)
        return self.standby_per_s * max(0.0, last_ms - first_ms) / 1000.0

    def renew(self, held: int, granted: int, now_ms: float, hold_ms: float) -> None:
        """Set the tokens that the entry reports to hold, plus those granted."""
        elapsed_ms = max(1.0, now_ms - self.seen_ms)
        decay = math.exp(-elapsed_ms / _STANDBY_SMOOTHING_MS)
        self.granted_per_s = (
            self.granted_per_s * decay + (1 - decay) * granted * 1000.0 / elapsed_ms
        )
        self.tokens = held + granted
        self.seen_ms = now_ms
        self.expires_ms = now_ms + hold_ms


class EntryLeases:
    """Keep the leases of one bucket, those of the longest unseen entries first.

    A call costs a step for each entry that has not been seen for 0.5 s, however many
    others there are.
    """

    def __init__(self, hold_ms: float) -> None:
        # How long leased tokens count as held.
        self._hold_ms = hold_ms
        self._by_node: OrderedDict[str, EntryLease] = OrderedDict()
        # Tokens of leases that have not expired.
        self.held_tokens = 0

    def renew(self, node: str, held: int, granted: int, now_ms: float) -> EntryLease:
        """Renew an entry's lease and return it."""
        lease = self._by_node.get(node)
        if lease is None:
            lease = self._by_node[node] = EntryLease(seen_ms=now_ms - 1000.0)
        self.held_tokens -= lease.tokens
        lease.renew(held, granted, now_ms, self._hold_ms)
        self.held_tokens += lease.tokens
        self._by_node.move_to_end(node)
        return lease

    def is_outdated(self, node: str, asked_ms: int) -> bool:
        """Return whether the entry has stated a later need than this one."""
        lease = self._by_node.get(node)
        return lease is not None and asked_ms < lease.asked_ms

    def tokens_of(self, node: str) -> int:
        """Return how many tokens an entry may still hold."""
        lease = self._by_node.get(node)
        return lease.tokens if lease is not None else 0

    def standby_tokens(self, since_ms: float, now_ms: float) -> float:
        """Return the standby tokens of all entries that accrue between two times."""
        tokens = 0.0
        for lease in self._by_node.values():
            if lease.seen_ms + STANDBY_FROM_MS >= now_ms:
                break
            if lease.granted_per_s >= _STANDBY_MIN_PER_S:
                tokens += lease.standby_tokens(since_ms, now_ms)
        return tokens

    def expire(self, now_ms: float) -> None:
        """Count the tokens of expired leases no longer, and drop lost entries."""
        lost = []
        for node, lease in self._by_node.items():
            if lease.expires_ms > now_ms:
                break
            self.held_tokens -= lease.tokens
            lease.tokens = 0
            if lease.seen_ms <= now_ms - STANDBY_UNTIL_MS:
                lost.append(node)
        for node in lost:
            del self._by_node[node]
