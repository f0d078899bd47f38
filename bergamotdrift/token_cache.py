"""Rate tokens that an entry holds for a workspace under short leases."""

import math
from collections import deque
from typing import NamedTuple

from bergamotdrift.arbiter_messages import TokensSpent
from bergamotdrift.config.schema import WorkspaceSettings

# Tokens are fetched ahead for this much of recent use; more would only keep them
# from other entries.
PREFETCH_WINDOW_MS = 50
_MAX_WANTED = 1024
# Uses are remembered in slots of time for as long as reports may ask for.
_SLOT_MS = 100.0
SPENT_WINDOW_MAX_MS = 30_000


class _Slot(NamedTuple):
    start_ms: float
    used: int


def spent_window_ms(limits: WorkspaceSettings) -> int | None:
    """Return the time in which a bucket fills, or None if uses are forgotten sooner."""
    if limits.rate_per_s <= 0:
        return None
    window_ms = math.ceil(1000.0 * limits.burst / limits.rate_per_s)
    return window_ms if window_ms <= SPENT_WINDOW_MAX_MS else None


class TokenLease(NamedTuple):
    """Hold tokens of one shard epoch that may be used until `end_ms`."""

    tokens: int
    end_ms: float
    shard_epoch: int


class TokenCache:
    """Decide how many tokens to ask for, use and return; times in milliseconds."""

    def __init__(self) -> None:
        self._leases: deque[TokenLease] = deque()
        self._used_at_ms: deque[float] = deque(maxlen=_MAX_WANTED)
        self._slots: deque[_Slot] = deque()

    def take(self, now_ms: float) -> bool:
        """Use a token whose lease still runs and tell whether there was one."""
        for index, lease in enumerate(self._leases):
            if lease.end_ms <= now_ms:
                continue
            if lease.tokens > 1:
                self._leases[index] = lease._replace(tokens=lease.tokens - 1)
            else:
                del self._leases[index]
            self._used_at_ms.append(now_ms)
            self._count_use(now_ms)
            return True
        return False

    def spent(self, window_ms: int, now_ms: float) -> TokensSpent:
        """Report the tokens used since `window_ms` ago, at least, and those held."""
        since_ms = now_ms - window_ms - _SLOT_MS
        used = sum(slot.used for slot in self._slots if slot.start_ms >= since_ms)
        return TokensSpent(window_ms, used, self.held(now_ms))

    def wanted(self, now_ms: float, waiting: int) -> int:
        """Return how many tokens to ask for while `waiting` requests need one."""
        if not waiting:
            return 0
        while self._used_at_ms and self._used_at_ms[0] < now_ms - PREFETCH_WINDOW_MS:
            self._used_at_ms.popleft()
        ahead = len(self._used_at_ms)
        return min(max(0, waiting + ahead - self.held(now_ms)), _MAX_WANTED)

    def add(self, lease: TokenLease) -> None:
        """Store tokens whose lease counts from before they were asked for."""
        if lease.tokens > 0:
            self._leases.append(lease)

    def held(self, now_ms: float) -> int:
        """Return how many tokens can still be used."""
        return sum(lease.tokens for lease in self._leases if lease.end_ms > now_ms)

    def take_expired(self, now_ms: float) -> list[TokenLease]:
        """Remove and return the leases that have ended; their tokens go back."""
        expired = [lease for lease in self._leases if lease.end_ms <= now_ms]
        if expired:
            self._leases = deque(x for x in self._leases if x.end_ms > now_ms)
        return expired

    def take_all(self) -> list[TokenLease]:
        """Remove and return all leases."""
        leases = list(self._leases)
        self._leases.clear()
        return leases

    def _count_use(self, now_ms: float) -> None:
        slots = self._slots
        if slots and now_ms - slots[-1].start_ms < _SLOT_MS:
            slots[-1] = _Slot(slots[-1].start_ms, slots[-1].used + 1)
            return
        slots.append(_Slot(now_ms, 1))
        while slots[0].start_ms < now_ms - SPENT_WINDOW_MAX_MS - _SLOT_MS:
            slots.popleft()
