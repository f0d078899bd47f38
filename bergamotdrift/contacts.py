"""Last contacts of nodes and upstreams, as the control leader sees them."""

from collections.abc import Callable, Hashable
from typing import Generic, NamedTuple, TypeVar

from bergamotdrift.constants import SESSION_TTL_MS
from bergamotdrift.lease import GrantedLease

K = TypeVar("K", bound=Hashable)


class Contact(NamedTuple):
    """Hold when an incarnation was last seen, in clock milliseconds."""

    incarnation: str
    lease: GrantedLease


class Contacts(Generic[K]):
    """Renew and expire holders; an expired one is not renewed before its removal.

    A holder without a contact counts as seen when the leader's term was opened,
    since the previous leader may have renewed it up to then.
    """

    def __init__(self, opened_at_ms: float, ttl_ms: float | None = None):
        self._opened_at_ms = opened_at_ms
        self._own_ttl_ms = ttl_ms
        self._contacts: dict[K, Contact] = {}
        self._expiring: set[tuple[K, str]] = set()

    @property
    def _ttl_ms(self) -> float:
        return SESSION_TTL_MS if self._own_ttl_ms is None else self._own_ttl_ms

    def renew(self, key: K, incarnation: str, now_ms: float) -> bool:
        """Renew a registered holder and tell whether its lease is extended."""
        if (key, incarnation) in self._expiring:
            return False
        if self.has_expired(key, incarnation, now_ms):
            self.start_expiry(key, incarnation)
            return False
        self._contacts[key] = Contact(incarnation, GrantedLease(now_ms, self._ttl_ms))
        return True

    def last_seen_ms(self, key: K, incarnation: str) -> float:
        """Return when a holder was last seen, at least the term's opening."""
        contact = self._contacts.get(key)
        if contact is None or contact.incarnation != incarnation:
            return self._opened_at_ms
        return contact.lease.seen_at_ms

    def has_expired(self, key: K, incarnation: str, now_ms: float) -> bool:
        """Tell whether a holder's lease has run out."""
        seen_at_ms = self.last_seen_ms(key, incarnation)
        return GrantedLease(seen_at_ms, self._ttl_ms).has_expired(now_ms)

    def start_expiry(self, key: K, incarnation: str) -> None:
        """Refuse renewals from now on, since the removal may already be logged."""
        self._expiring.add((key, incarnation))

    def is_expiring(self, key: K, incarnation: str) -> bool:
        """Tell whether a holder is about to be removed."""
        return (key, incarnation) in self._expiring

    def forget_removed(self, is_known: Callable[[K, str], bool], now_ms: float) -> None:
        """Drop what is kept of holders that are no longer registered."""
        self._expiring = {item for item in self._expiring if is_known(*item)}
        stale = [
            key
            for key, contact in self._contacts.items()
            if contact.lease.has_expired(now_ms)
            and not is_known(key, contact.incarnation)
        ]
        for key in stale:
            del self._contacts[key]

    def register(self, key: K, incarnation: str, now_ms: float) -> None:
        """Count a holder that is being registered as seen now."""
        self._contacts[key] = Contact(incarnation, GrantedLease(now_ms, self._ttl_ms))
