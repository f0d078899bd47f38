"""Rate tokens of all workspaces, leased to entries by the control leader; pure."""

from collections.abc import Iterable
from typing import NamedTuple

from bergamotdrift.config.schema import SiteSettings, WorkspaceSettings
from bergamotdrift.messages import RateLot, RateNeed

# Long enough for entries to bridge the election of a new leader.
RATE_LEASE_MS = 1500
# A return that is on its way when the lease ends is still taken.
_RETURN_GRACE_MS = 300.0
# Tells an entry to ask again with its next pings when a workspace has no tokens.
_WAIT_MIN_MS = 50


class _Holding(NamedTuple):
    """Hold the tokens that an entry may still use, and until when."""

    tokens: int
    ends_ms: float


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
        ends_ms = now_ms + RATE_LEASE_MS + _RETURN_GRACE_MS
        self._held.pop(node, None)
        self._level += max(0, need.returned)
        self._held[node] = _Holding(max(0, need.held), ends_ms)
        self._fill(now_ms)
        tokens = max(0, min(need.wanted, int(self._level)))
        self._level -= tokens
        self._held[node] = _Holding(max(0, need.held) + tokens, ends_ms)
        short = max(0, min(need.wanted, 1) - tokens)
        wait_ms = short * max(_WAIT_MIN_MS, self._next_token_ms())
        return RateLot(need.workspace, tokens, RATE_LEASE_MS, int(wait_ms))

    def _next_token_ms(self) -> float:
        rate = self._limits.rate_per_s
        return (1.0 - self._level) * 1000.0 / rate if rate > 0 else 1000.0

    def _fill(self, now_ms: float) -> None:
        over = [n for n, holding in self._held.items() if holding.ends_ms <= now_ms]
        for node in over:
            del self._held[node]
        held = sum(holding.tokens for holding in self._held.values())
        gained = self._limits.rate_per_s * (now_ms - self._filled_ms) / 1000.0
        self._filled_ms = now_ms
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
        limits = {item.name: item for item in settings.workspaces}
        lots = []
        for need in needs:
            known = limits.get(need.workspace)
            if known is None:
                continue
            bucket = self._buckets.get(need.workspace)
            if bucket is None:
                bucket = self._buckets[need.workspace] = RateBucket(known, now_ms)
            bucket.configure(known, now_ms)
            lots.append(bucket.lease(node, need, now_ms))
        return lots

    def open(self, settings: SiteSettings | None, now_ms: float) -> None:
        """Start to fill the buckets of workspaces before their first need."""
        for limits in settings.workspaces if settings is not None else ():
            if limits.name not in self._buckets:
                self._buckets[limits.name] = RateBucket(limits, now_ms)
