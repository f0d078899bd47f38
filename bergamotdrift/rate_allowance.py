"""Rate tokens that an entry holds under the control leader's leases."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event
from returns.result import Failure, Result, Success

from bergamotdrift.clock import Clock
from bergamotdrift.constants import DRIFT_MARGIN_MS
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.messages import (
    RateLot,
    RateNeed,
)
from bergamotdrift.rate_desk import STANDBY_FROM_MS, STANDBY_UNTIL_MS

# An entry keeps tokens for this long a time of its recent demand, so that a new
# leader's election does not stop it.
_STOCK_MS = 1200.0
_DEMAND_WINDOW_MS = 1000.0
# A request within its workspace's rate may find all tokens on their way for a moment.
_WAIT_MAX_MS = 400.0
_RETRY_AFTER_MIN_MS = 100.0
# Without an answer of the leader, the standby rate yields tokens with time.
_RECHECK_MS = 50.0
# An account below this standby rate is not renewed for its sake.
_STANDBY_LEAST_PER_S = 0.2


@dataclass
class _Lot:
    ends_ms: float
    tokens: int


@dataclass
class Account:
    """Hold the tokens and recent demand of one workspace at this entry."""

    lots: deque[_Lot] = field(default_factory=deque)
    used_ms: deque[float] = field(default_factory=deque)
    waiting: int = 0
    wait_ms: float = 0.0
    # The standby rate, and the tokens that it has yielded since the last contact.
    standby_per_s: float = 0.0
    standby_used: int = 0
    asked_at_ms: float = float("-inf")
    changed: Event = field(default_factory=Event)

    def held(self, now_ms: float) -> int:
        """Return the tokens whose lease still runs."""
        while self.lots and self.lots[0].ends_ms <= now_ms:
            self.lots.popleft()
        return sum(lot.tokens for lot in self.lots)

    def take(self, now_ms: float) -> bool:
        """Use a token and tell whether there was one."""
        if not self.held(now_ms):
            return self._take_standby(now_ms)
        for lot in self.lots:
            if lot.tokens:
                lot.tokens -= 1
                break
        return True

    def _take_standby(self, now_ms: float) -> bool:
        """Use a token of the standby rate while no leader answers."""
        since_ms = now_ms - self.asked_at_ms
        if not STANDBY_FROM_MS <= since_ms < STANDBY_UNTIL_MS - DRIFT_MARGIN_MS:
            return False
        yielded = self.standby_per_s * (since_ms - STANDBY_FROM_MS) / 1000.0
        if self.standby_used + 1 > yielded:
            return False
        self.standby_used += 1
        return True

    def give(self, count: int) -> int:
        """Take out up to `count` tokens, those with the longest lease first."""
        left = count
        for lot in reversed(self.lots):
            taken = min(left, lot.tokens)
            lot.tokens -= taken
            left -= taken
        return count - left

    def demand_per_s(self, now_ms: float) -> float:
        """Return the tokens asked for in the last second."""
        while self.used_ms and self.used_ms[0] <= now_ms - _DEMAND_WINDOW_MS:
            self.used_ms.popleft()
        return len(self.used_ms) * 1000.0 / _DEMAND_WINDOW_MS


class RateAllowance:
    """Take tokens for requests, and state what the next ping should ask for."""

    def __init__(self, clock: Clock, rate_of: Callable[[str], float]):
        self._clock = clock
        self._rate_of = rate_of
        self._accounts: dict[str, Account] = {}
        # Set by the owner of the session, to ask without waiting for the next ping.
        self.ask_now: Callable[[], None] = lambda: None

    def acquire(self, workspace: str, deadline_ms: float) -> Result[None, Refusal]:
        """Use a token, after a short wait if need be (RATE_EXCEEDED)."""
        if self._rate_of(workspace) <= 0:
            return Success(None)
        account = self._accounts.setdefault(workspace, Account())
        now_ms = self._clock.now_ms()
        account.used_ms.append(now_ms)
        if account.take(now_ms):
            return Success(None)
        end_ms = min(deadline_ms, now_ms + _WAIT_MAX_MS)
        account.waiting += 1
        try:
            return self._wait(workspace, account, end_ms)
        finally:
            account.waiting -= 1

    def rate_needs(self) -> list[RateNeed]:
        """Return what each workspace lacks or holds too much of."""
        now_ms = self._clock.now_ms()
        needs = []
        for name, account in self._accounts.items():
            held = account.held(now_ms)
            stock = account.demand_per_s(now_ms) * _STOCK_MS / 1000.0
            # Rounded up, the stocks of many entries would hold a small burst.
            target = int(stock) + account.waiting
            returned = account.give(held - target) if held > target else 0
            wanted = max(0, target - held)
            if held or wanted or account.standby_per_s > _STANDBY_LEAST_PER_S:
                needs.append(RateNeed(name, wanted, returned, held - returned))
        return needs

    def take_rates(self, lots: list[RateLot], asked_at_ms: float) -> None:
        """Take leased tokens and wake the requests that wait for them."""
        for item in lots:
            account = self._accounts.setdefault(item.workspace, Account())
            account.wait_ms = item.wait_ms if not item.tokens else 0.0
            account.standby_per_s = item.standby_per_s
            account.standby_used = 0
            account.asked_at_ms = asked_at_ms
            if item.tokens:
                ends_ms = asked_at_ms + item.lease_ms - DRIFT_MARGIN_MS
                account.lots.append(_Lot(ends_ms, item.tokens))
            changed, account.changed = account.changed, Event()
            changed.set()

    def _wait(
        self, workspace: str, account: Account, end_ms: float
    ) -> Result[None, Refusal]:
        """Wait for the leader's next answers, until one states that none is left."""
        while (left_ms := end_ms - self._clock.now_ms()) > 0:
            self.ask_now()
            answered = account.changed.wait(min(left_ms, _RECHECK_MS) / 1000.0)
            if account.take(self._clock.now_ms()):
                return Success(None)
            if answered and account.wait_ms > 0:
                break
        rate = self._rate_of(workspace)
        detail = f"no tokens left for {workspace} at {rate:g}/s"
        wait_s = max(account.wait_ms, _RETRY_AFTER_MIN_MS) / 1000.0
        return Failure(Refusal(ErrorKind.RATE_EXCEEDED, detail, wait_s))
