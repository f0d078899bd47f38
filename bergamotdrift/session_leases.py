"""Session leases of nodes and upstreams at the control leader."""

from collections.abc import Callable, Hashable
from typing import Generic, NamedTuple, TypeVar

from bergamotdrift.constants import SESSION_TTL_MS
from bergamotdrift.lease import GrantedLease

K = TypeVar("K", bound=Hashable)


class SessionLease(NamedTuple):
    """Record the lease of an incarnation, counted from its last contact."""

    incarnation: str
    lease: GrantedLease


class SessionLeases(Generic[K]):
    """Renew and expire leases; a holder that expired is not renewed until its removal.

    A holder without a recorded contact counts as seen when the leader's term was
    opened, since the previous leader may have renewed it until then.
    """

    def __init__(self, opened_at_ms: float, ttl_ms: float | None = None):
        self._opened_at_ms = opened_at_ms
        self._fixed_ttl_ms = ttl_ms
        self._leases: dict[K, SessionLease] = {}
        self._expiring: set[tuple[K, str]] = set()

    @property
    def _ttl_ms(self) -> float:
        return SESSION_TTL_MS if self._fixed_ttl_ms is None else self._fixed_ttl_ms

    def renew(self, key: K, incarnation: str, now_ms: float) -> bool:
        """Renew a registered holder; return whether its lease was extended."""
        if (key, incarnation) in self._expiring:
            return False
        if self.has_expired(key, incarnation, now_ms):
            self.mark_expiring(key, incarnation)
            return False
        self._leases[key] = SessionLease(
            incarnation, GrantedLease(now_ms, self._ttl_ms)
        )
        return True

    def last_seen_ms(self, key: K, incarnation: str) -> float:
        """Return the time of the last contact, by default of the term's opening."""
        session = self._leases.get(key)
        if session is None or session.incarnation != incarnation:
            return self._opened_at_ms
        return session.lease.seen_at_ms

    def has_expired(self, key: K, incarnation: str, now_ms: float) -> bool:
        """Return whether a holder's lease has expired."""
        seen_at_ms = self.last_seen_ms(key, incarnation)
        return GrantedLease(seen_at_ms, self._ttl_ms).has_expired(now_ms)

    def mark_expiring(self, key: K, incarnation: str) -> None:
        """Refuse renewals from now on, since the removal may already be in the log."""
        self._expiring.add((key, incarnation))

    def is_expiring(self, key: K, incarnation: str) -> bool:
        """Return whether a holder is about to be removed."""
        return (key, incarnation) in self._expiring

    def prune_removed(self, is_known: Callable[[K, str], bool], now_ms: float) -> None:
        """Drop the state of holders that are no longer registered."""
        self._expiring = {item for item in self._expiring if is_known(*item)}
        stale = [
            key
            for key, session in self._leases.items()
            if session.lease.has_expired(now_ms)
            and not is_known(key, session.incarnation)
        ]
        for key in stale:
            del self._leases[key]

    def register(self, key: K, incarnation: str, now_ms: float) -> None:
        """Start the lease of a holder that is being registered."""
        self._leases[key] = SessionLease(
            incarnation, GrantedLease(now_ms, self._ttl_ms)
        )
