"""Client of an entry for rate tokens, leased by the control leader."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event
from returns.result import Failure, Result, Success

from bergamotdrift.clock import Clock
from bergamotdrift.constants import DRIFT_MARGIN_MS
from bergamotdrift.entry_leases import STANDBY_FROM_MS, STANDBY_UNTIL_MS
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.held_tokens import HeldTokens, TokenLease
from bergamotdrift.messages import (
    RateLot,
    RateNeed,
)

# An entry holds tokens for this much time of its recent demand, so that the election
# of a new leader doesn't stop it.
_PREFETCH_MS = 1200.0
_DEMAND_WINDOW_MS = 1000.0
# A request within its workspace's rate may have to wait for tokens that are being
# requested.
_WAIT_MAX_MS = 400.0
_RETRY_AFTER_MIN_MS = 100.0
# Interval to check for standby tokens, which accrue while no leader answers.
_RECHECK_MS = 50.0


@dataclass
class WorkspaceTokens(HeldTokens):
    """Hold the tokens and recent demand of one workspace at this entry."""

    demand_at_ms: deque[float] = field(default_factory=deque)
    waiting: int = 0
    wait_ms: float = 0.0
    # The standby rate, and the standby tokens used since the leader's last reply.
    standby_per_s: float = 0.0
    standby_tokens_used: int = 0
    asked_at_ms: float = float("-inf")
    changed: Event = field(default_factory=Event)

    def take(self, now_ms: float) -> bool:
        """Consume a token and return whether there was one."""
        if self.take_leased(now_ms) is not None:
            return True
        return self._take_standby(now_ms)

    def _take_standby(self, now_ms: float) -> bool:
        """Consume a standby token while no leader answers, if one has accrued."""
        since_ms = now_ms - self.asked_at_ms
        if not STANDBY_FROM_MS <= since_ms < STANDBY_UNTIL_MS - DRIFT_MARGIN_MS:
            return False
        accrued = self.standby_per_s * (since_ms - STANDBY_FROM_MS) / 1000.0
        if self.standby_tokens_used + 1 > accrued:
            return False
        self.standby_tokens_used += 1
        return True

    def demand_per_s(self, now_ms: float) -> float:
        """Return the requests per second that needed a token in the last second."""
        while self.demand_at_ms and self.demand_at_ms[0] <= now_ms - _DEMAND_WINDOW_MS:
            self.demand_at_ms.popleft()
        return len(self.demand_at_ms) * 1000.0 / _DEMAND_WINDOW_MS


class LeaderTokenClient:
    """Hand out rate tokens, and tell what the next ping to the leader requests."""

    def __init__(
        self,
        clock: Clock,
        rate_of: Callable[[str], float],
        burst_share_of: Callable[[str], float],
    ):
        self._clock = clock
        self._rate_of = rate_of
        # The part of a workspace's burst that falls to each entry.
        self._burst_share_of = burst_share_of
        self._workspaces: dict[str, WorkspaceTokens] = {}
        # Set by the owner of the control session; sends a ping ahead of its interval.
        self.request_ping: Callable[[], None] = lambda: None

    def acquire(self, workspace: str, deadline_ms: float) -> Result[None, Refusal]:
        """Consume a token, after a short wait if necessary.

        Fails with RATE_EXCEEDED.
        """
        if self._rate_of(workspace) <= 0:
            return Success(None)
        tokens = self._workspaces.setdefault(workspace, WorkspaceTokens())
        now_ms = self._clock.now_ms()
        tokens.demand_at_ms.append(now_ms)
        if tokens.take(now_ms):
            return Success(None)
        end_ms = min(deadline_ms, now_ms + _WAIT_MAX_MS)
        tokens.waiting += 1
        try:
            return self._wait(workspace, tokens, end_ms)
        finally:
            tokens.waiting -= 1

    def rate_needs(self) -> list[RateNeed]:
        """Return the tokens to request and to return, by workspace."""
        now_ms = self._clock.now_ms()
        needs = []
        for name, tokens in self._workspaces.items():
            held = tokens.held(now_ms)
            demand_per_s = tokens.demand_per_s(now_ms)
            if self._burst_share_of(name) < 1.0:
                # One token at each entry that saw one request would be the whole burst.
                demand_per_s = max(0.0, demand_per_s - 1.0)
            prefetch = demand_per_s * _PREFETCH_MS / 1000.0
            # Rounded up, the prefetched tokens of many entries would hold all of a
            # small burst.
            target = int(prefetch) + tokens.waiting
            returned = tokens.return_tokens(held - target) if held > target else 0
            wanted = max(0, target - held)
            if held or wanted or tokens.standby_per_s:
                needs.append(RateNeed(name, wanted, returned, held - returned))
        return needs

    def take_rates(self, lots: list[RateLot], asked_at_ms: float) -> None:
        """Add leased tokens and wake the requests that wait for them."""
        for item in lots:
            tokens = self._workspaces.setdefault(item.workspace, WorkspaceTokens())
            tokens.wait_ms = item.wait_ms if not item.tokens else 0.0
            tokens.standby_per_s = item.standby_per_s
            tokens.standby_tokens_used = 0
            tokens.asked_at_ms = asked_at_ms
            if item.tokens:
                ends_ms = asked_at_ms + item.lease_ms - DRIFT_MARGIN_MS
                tokens.leases.append(TokenLease(ends_ms, item.tokens))
            changed, tokens.changed = tokens.changed, Event()
            changed.set()

    def _wait(
        self, workspace: str, tokens: WorkspaceTokens, end_ms: float
    ) -> Result[None, Refusal]:
        """Wait for a token, until a reply of the leader says that none is left."""
        while (left_ms := end_ms - self._clock.now_ms()) > 0:
            self.request_ping()
            answered = tokens.changed.wait(min(left_ms, _RECHECK_MS) / 1000.0)
            if tokens.take(self._clock.now_ms()):
                return Success(None)
            if answered and tokens.wait_ms > 0:
                break
        rate = self._rate_of(workspace)
        detail = f"no tokens left for {workspace} at {rate:g}/s"
        wait_s = max(tokens.wait_ms, _RETRY_AFTER_MIN_MS) / 1000.0
        return Failure(Refusal(ErrorKind.RATE_EXCEEDED, detail, wait_s))
