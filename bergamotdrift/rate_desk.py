"""Rate tokens of all workspaces, leased to entries by the control leader; pure."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotdrift.config.schema import SiteSettings, WorkspaceSettings
from bergamotdrift.messages import (
    RateLot,
    RateNeed,
)

# Long enough for entries to bridge the election of a new leader.
RATE_LEASE_MS = 1500
# A return that is on its way when the lease ends is still taken.
_RETURN_GRACE_MS = 300.0
# Tells an entry to ask again with its next pings when a workspace has no tokens.
_WAIT_MIN_MS = 50


# An entry without a leader uses its standby rate in this span after its last ping.
STANDBY_FROM_MS = 500.0
STANDBY_UNTIL_MS = 2500.0
# Weight of the tokens of the last second in the standby rate of an entry.
_STANDBY_SPAN_MS = 1500.0


@dataclass(slots=True)
class _Holding:
    """Hold what an entry may still use: its tokens, and its standby rate later."""

    tokens: int = 0
    ends_ms: float = 0.0
    seen_ms: float = 0.0
    per_s: float = 0.0

    def standby(self, since_ms: float, now_ms: float) -> float:
        """Return the tokens that the standby rate yields in a span of time."""
        first_ms = max(since_ms, self.seen_ms + STANDBY_FROM_MS)
        last_ms = min(now_ms, self.seen_ms + STANDBY_UNTIL_MS)
        return self.per_s * max(0.0, last_ms - first_ms) / 1000.0

    def renew(self, held: int, granted: int, now_ms: float) -> None:
        """Take what an entry states to hold, and what it is given."""
        passed_ms = max(1.0, now_ms - self.seen_ms)
        keep = math.exp(-passed_ms / _STANDBY_SPAN_MS)
        self.per_s = self.per_s * keep + (1 - keep) * granted * 1000.0 / passed_ms
        self.tokens = held + granted
        self.seen_ms = now_ms
        self.ends_ms = now_ms + RATE_LEASE_MS + _RETURN_GRACE_MS


class RateBucket:
    """Lease the tokens of one workspace.

    What entries hold counts against the burst, so that no window sees more than the
    burst and the rate allow. A bucket starts empty, since an earlier leader may have
    given the whole burst out.
    """

    def __init__(self, limits: WorkspaceSettings, now_ms: float):
        self._limits = limits
        self._level = 0.0
        self._filled_ms = now_ms
        self._held: dict[str, _Holding] = {}

    def configure(self, limits: WorkspaceSettings, now_ms: float) -> None:
        """Apply changed limits."""
        if limits != self._limits:
            self._fill(now_ms)
            self._limits = limits
            self._level = min(self._level, float(limits.burst))

    def lease(self, node: str, need: RateNeed, now_ms: float) -> RateLot:
        """Take returned tokens back and lease up to what is wanted."""
        self._fill(now_ms)
        self._level += max(0, need.returned)
        tokens = max(0, min(need.wanted, int(self._level)))
        self._level -= tokens
        holding = self._held.setdefault(node, _Holding(seen_ms=now_ms - 1000.0))
        holding.renew(max(0, need.held), tokens, now_ms)
        short = max(0, min(need.wanted, 1) - tokens)
        wait_ms = short * max(_WAIT_MIN_MS, self._next_token_ms())
        standby = min(holding.per_s, self._limits.rate_per_s)
        return RateLot(need.workspace, tokens, RATE_LEASE_MS, int(wait_ms), standby)

    def _next_token_ms(self) -> float:
        rate = self._limits.rate_per_s
        return (1.0 - self._level) * 1000.0 / rate if rate > 0 else 1000.0

    def _fill(self, now_ms: float) -> None:
        since_ms, self._filled_ms = self._filled_ms, now_ms
        standby = sum(h.standby(since_ms, now_ms) for h in self._held.values())
        over_ms = now_ms - STANDBY_UNTIL_MS
        self._held = {n: h for n, h in self._held.items() if h.seen_ms > over_ms}
        held = sum(h.tokens for h in self._held.values() if h.ends_ms > now_ms)
        gained = self._limits.rate_per_s * (now_ms - since_ms) / 1000.0 - standby
        # A bucket holds at least one token, however much of the burst is leased.
        room = max(1.0, float(self._limits.burst - held))
        self._level = min(self._level + gained, room)


class RateDesk:
    """Answer the needs of entries during one leader's term."""

    def __init__(self) -> None:
        self._buckets: dict[str, RateBucket] = {}

    def answer(
        self,
        node: str,
        needs: Iterable[RateNeed],
        settings: SiteSettings,
        now_ms: float,
    ) -> list[RateLot]:
        """Return a lot for each need; unknown workspaces get none."""
        self.open(settings, now_ms)
        limits = {item.name: item for item in settings.workspaces}
        lots = []
        for need in needs:
            known = limits.get(need.workspace)
            if known is None:
                continue
            bucket = self._buckets[need.workspace]
            bucket.configure(known, now_ms)
            lots.append(bucket.lease(node, need, now_ms))
        return lots

    def open(self, settings: SiteSettings | None, now_ms: float) -> None:
        """Start to fill the buckets of workspaces before their first need."""
        for limits in settings.workspaces if settings is not None else ():
            if limits.name not in self._buckets:
                self._buckets[limits.name] = RateBucket(limits, now_ms)
