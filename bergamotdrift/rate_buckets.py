"""Token buckets of all workspaces, leased to entries by the control leader.

The code here does no I/O.
"""

from collections.abc import Iterable

from bergamotdrift.config.schema import SiteSettings, WorkspaceSettings
from bergamotdrift.entry_leases import EntryLeases
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
        self._leases = EntryLeases(RATE_LEASE_MS + _RETURN_GRACE_MS)

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
