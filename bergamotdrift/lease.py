"""Leases from the views of the holder and the granter."""

from typing import NamedTuple

from bergamotdrift.constants import DRIFT_MARGIN_MS


class HeldLease(NamedTuple):
    """Store a lease as its holder counts it, from before the request, in clock ms."""

    asked_at_ms: float
    ttl_ms: float

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time in ms for which the holder may still act, or 0."""
        end_ms = self.asked_at_ms + self.ttl_ms - DRIFT_MARGIN_MS
        return max(0.0, end_ms - now_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the holder may still act."""
        return self.remaining_ms(now_ms) > 0


class GrantedLease(NamedTuple):
    """Store a granter's lease, counted from the receipt of its request, in clock ms."""

    seen_at_ms: float
    ttl_ms: float

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the granter may give the resource to another holder."""
        return now_ms >= self.seen_at_ms + self.ttl_ms
