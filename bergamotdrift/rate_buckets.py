"""Token buckets of all workspaces, leased to entries by the control leader.

The code here does no I/O.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotdrift.config.schema import SiteSettings, WorkspaceSettings
from bergamotdrift.messages import (
    RateLot,
    RateNeed,
)

# Long enough for entries to keep serving through the election of a new leader.
RATE_LEASE_MS = 1500
# Tokens in transit back at the end of their lease are still accepted.
_RETURN_GRACE_MS = 300.0
# A bucket is refilled at most this often, however many entries ask in between.
_REFILL_INTERVAL_MS = 20.0
# Minimum wait in a reply without tokens; the entry asks again with its next pings.
_WAIT_MIN_MS = 50


# An entry without a leader uses its standby rate in this time after its last ping.
STANDBY_FROM_MS = 500.0
STANDBY_UNTIL_MS = 2500.0
# An entry with a lower standby rate does not get to a whole token in that time.
_STANDBY_MIN_PER_S = 1000.0 / (STANDBY_UNTIL_MS - STANDBY_FROM_MS)
# Time constant of the exponential smoothing of an entry's standby rate.
_STANDBY_SMOOTHING_MS = 1500.0


@dataclass(slots=True)
class _EntryLease:
    """Hold what an entry may still use: leased tokens, and standby tokens later."""

    tokens: int = 0
    expires_ms: float = 0.0
    seen_ms: float = 0.0
    granted_per_s: float = 0.0

    @property
    def standby_per_s(self) -> float:
        """Return the rate at which standby tokens accrue, or 0 if it is too low."""
        return self.granted_per_s if self.granted_per_s >= _STANDBY_MIN_PER_S else 0.0

    def standby_tokens(self, since_ms: float, now_ms: float) -> float:
        """Return the standby tokens that accrue between two times."""
        first_ms = max(since_ms, self.seen_ms + STANDBY_FROM_MS)
        last_ms = min(now_ms, self.seen_ms + STANDBY_UNTIL_MS)
        return self.standby_per_s * max(0.0, last_ms - first_ms) / 1000.0

    def renew(self, held: int, granted: int, now_ms: float) -> None:
        """Set the tokens that the entry reports to hold, plus those granted."""
        elapsed_ms = max(1.0, now_ms - self.seen_ms)
        decay = math.exp(-elapsed_ms / _STANDBY_SMOOTHING_MS)
        self.granted_per_s = (
            self.granted_per_s * decay + (1 - decay) * granted * 1000.0 / elapsed_ms
        )
        self.tokens = held + granted
        self.seen_ms = now_ms
        self.expires_ms = now_ms + RATE_LEASE_MS + _RETURN_GRACE_MS


class _EntryLeases:
    """Keep the leases of one bucket, those of the longest unseen entries first.

    A call costs a step for each entry that has not been seen for 0.5 s, however many
    others there are.
    """

    def __init__(self) -> None:
        self._by_node: OrderedDict[str, _EntryLease] = OrderedDict()
        # Tokens of leases that have not expired.
        self.held_tokens = 0

    def renew(self, node: str, held: int, granted: int, now_ms: float) -> _EntryLease:
        """Renew an entry's lease and return it."""
        lease = self._by_node.get(node)
        if lease is None:
            lease = self._by_node[node] = _EntryLease(seen_ms=now_ms - 1000.0)
        self.held_tokens -= lease.tokens
        lease.renew(held, granted, now_ms)
        self.held_tokens += lease.tokens
        self._by_node.move_to_end(node)
        return lease

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


class RateBucket:
    """Lease the tokens of one workspace.

    Leased tokens count against the burst, so that at most burst + rate x window are
    used in any window. A bucket starts empty, since the previous leader may have
    leased the whole burst.
    """

    def __init__(self, limits: WorkspaceSettings, now_ms: float):
        self._limits = limits
        self._level = 0.0
        self._refilled_at_ms = now_ms
        self._leases = _EntryLeases()

    def configure(self, limits: WorkspaceSettings, now_ms: float) -> None:
        """Apply changed limits."""
        if limits != self._limits:
            self._refill(now_ms)
            self._limits = limits
            self._level = min(self._level, float(limits.burst))

    def lease(self, node: str, need: RateNeed, now_ms: float) -> RateLot:
        """Credit returned tokens and lease up to the wanted number."""
        self._refill(now_ms)
        self._level += max(0, need.returned)
        tokens = max(0, min(need.wanted, int(self._level)))
        self._level -= tokens
        entry_lease = self._leases.renew(node, max(0, need.held), tokens, now_ms)
        missing = max(0, min(need.wanted, 1) - tokens)
        wait_ms = missing * max(_WAIT_MIN_MS, self._next_token_ms())
        standby = min(entry_lease.standby_per_s, self._limits.rate_per_s)
        return RateLot(need.workspace, tokens, RATE_LEASE_MS, int(wait_ms), standby)

    def _next_token_ms(self) -> float:
        rate = self._limits.rate_per_s
        return (1.0 - self._level) * 1000.0 / rate if rate > 0 else 1000.0

    def _refill(self, now_ms: float) -> None:
        if now_ms - self._refilled_at_ms < _REFILL_INTERVAL_MS:
            return
        since_ms, self._refilled_at_ms = self._refilled_at_ms, now_ms
        standby = self._leases.standby_tokens(since_ms, now_ms)
        self._leases.expire(now_ms)
        gained = self._limits.rate_per_s * (now_ms - since_ms) / 1000.0 - standby
        # A bucket can hold at least one token, even if the whole burst is leased.
        capacity = max(1.0, float(self._limits.burst - self._leases.held_tokens))
        self._level = min(self._level + gained, capacity)


class RateBuckets:
    """Lease tokens to entries during one leader's term."""

    def __init__(self) -> None:
        self._buckets: dict[str, RateBucket] = {}
        self._settings: SiteSettings | None = None
        self._limits: dict[str, WorkspaceSettings] = {}

    def lease(
        self,
        node: str,
        needs: Iterable[RateNeed],
        settings: SiteSettings,
        now_ms: float,
    ) -> list[RateLot]:
        """Return the tokens leased for each need; unknown workspaces are left out."""
        self.add_buckets(settings, now_ms)
        lots = []
        for need in needs:
            known = self._limits.get(need.workspace)
            if known is None:
                continue
            bucket = self._buckets[need.workspace]
            bucket.configure(known, now_ms)
            lots.append(bucket.lease(node, need, now_ms))
        return lots

    def add_buckets(self, settings: SiteSettings | None, now_ms: float) -> None:
        """Add buckets for new workspaces; they fill from now on, not from first use."""
        if settings is None or settings is self._settings:
            return
        self._settings = settings
        self._limits = {limits.name: limits for limits in settings.workspaces}
        for limits in settings.workspaces:
            if limits.name not in self._buckets:
                self._buckets[limits.name] = RateBucket(limits, now_ms)
