"""Cache of the rate tokens that an entry holds for a workspace under short leases."""

import math
from collections import deque
from typing import NamedTuple

from bergamotdrift.arbiter_messages import TokensSpent
from bergamotdrift.config.schema import WorkspaceSettings

# Prefetches as many tokens as were used in this time; more would only withhold them
# from other entries.
PREFETCH_WINDOW_MS = 50
_WANTED_MAX = 1024
# Uses are counted per time slot, and kept for the longest window of a report.
_USAGE_SLOT_MS = 100.0
SPENT_WINDOW_MAX_MS = 30_000


class _UsageSlot(NamedTuple):
    start_ms: float
    used: int


def spent_window_ms(limits: WorkspaceSettings) -> int | None:
    """Return the fill time of a bucket, or None if it exceeds the kept usage window."""
    if limits.rate_per_s <= 0:
        return None
    window_ms = math.ceil(1000.0 * limits.burst / limits.rate_per_s)
    return window_ms if window_ms <= SPENT_WINDOW_MAX_MS else None


class TokenLease(NamedTuple):
    """Hold tokens leased under one shard epoch; they are valid until `end_ms`."""

    tokens: int
    end_ms: float
    shard_epoch: int


class TokenCache:
    """Track leased tokens: how many to request, use and return.

    All times are in milliseconds.
    """

    def __init__(self) -> None:
        self._leases: deque[TokenLease] = deque()
        self._used_at_ms: deque[float] = deque(maxlen=_WANTED_MAX)
        self._usage_slots: deque[_UsageSlot] = deque()

    def take(self, now_ms: float) -> bool:
        """Consume an unexpired token and return whether there was one."""
        for index, lease in enumerate(self._leases):
            if lease.end_ms <= now_ms:
                continue
            if lease.tokens > 1:
                self._leases[index] = lease._replace(tokens=lease.tokens - 1)
            else:
                del self._leases[index]
            self._used_at_ms.append(now_ms)
            self._record_use(now_ms)
            return True
        return False

    def spent(self, window_ms: int, now_ms: float) -> TokensSpent:
        """Report the tokens used in at least the last `window_ms`, and those held."""
        since_ms = now_ms - window_ms - _USAGE_SLOT_MS
        used = sum(slot.used for slot in self._usage_slots if slot.start_ms >= since_ms)
        return TokensSpent(window_ms, used, self.held(now_ms))

    def wanted(self, now_ms: float, waiting: int) -> int:
        """Return how many tokens to request while `waiting` requests need one."""
        if not waiting:
            return 0
        while self._used_at_ms and self._used_at_ms[0] < now_ms - PREFETCH_WINDOW_MS:
            self._used_at_ms.popleft()
        recent_uses = len(self._used_at_ms)
        return min(max(0, waiting + recent_uses - self.held(now_ms)), _WANTED_MAX)

    def add(self, lease: TokenLease) -> None:
        """Add leased tokens; their lease counts from the time of the request."""
        if lease.tokens > 0:
            self._leases.append(lease)

    def held(self, now_ms: float) -> int:
        """Return the number of unexpired tokens."""
        return sum(lease.tokens for lease in self._leases if lease.end_ms > now_ms)

    def pop_expired(self, now_ms: float) -> list[TokenLease]:
        """Remove and return the expired leases, whose tokens are to be returned."""
        expired = [lease for lease in self._leases if lease.end_ms <= now_ms]
        if expired:
            self._leases = deque(x for x in self._leases if x.end_ms > now_ms)
        return expired

    def pop_all(self) -> list[TokenLease]:
        """Remove and return all leases."""
        leases = list(self._leases)
        self._leases.clear()
        return leases

    def _record_use(self, now_ms: float) -> None:
        slots = self._usage_slots
        if slots and now_ms - slots[-1].start_ms < _USAGE_SLOT_MS:
            slots[-1] = _UsageSlot(slots[-1].start_ms, slots[-1].used + 1)
            return
        slots.append(_UsageSlot(now_ms, 1))
        while slots[0].start_ms < now_ms - SPENT_WINDOW_MAX_MS - _USAGE_SLOT_MS:
            slots.popleft()
