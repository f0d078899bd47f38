"""Tokens that an entry holds under leases of the control leader."""

from collections import deque
from dataclasses import dataclass, field


@dataclass
class TokenLease:
    """Hold tokens that may be used until `expires_ms`."""

    expires_ms: float
    tokens: int


@dataclass
class HeldTokens:
    """Hold leased tokens, those that expire first in front."""

    leases: deque[TokenLease] = field(default_factory=deque)

    def held(self, now_ms: float) -> int:
        """Return the number of unexpired tokens."""
        while self.leases and self.leases[0].expires_ms <= now_ms:
            self.leases.popleft()
        return sum(lease.tokens for lease in self.leases)

    def take_leased(self, now_ms: float) -> TokenLease | None:
        """Consume a token and return its lease, or None if there is no token."""
        if not self.held(now_ms):
            return None
        lease = next(lease for lease in self.leases if lease.tokens)
        lease.tokens -= 1
        return lease

    def return_tokens(self, count: int) -> int:
        """Remove up to `count` tokens, the latest lease first, and return how many."""
        remaining = count
        for lease in reversed(self.leases):
            taken = min(remaining, lease.tokens)
            lease.tokens -= taken
            remaining -= taken
        return count - remaining
