"""Fleet-wide bucket of a workspace's rate tokens, leased to entries in batches.

A leased token counts against the burst until its lease has run out, whether it is
used or not. So what all entries use in any window is at most burst + rate x window,
even if they use leased tokens late.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from bergamotdrift.arbiter_messages import (
    TokenGrant,
    TokensSpent,
)
from bergamotdrift.constants import TOKEN_LEASE_MS
from bergamotdrift.takeover import EntryId

# Entries return unused tokens within 50 ms of the lease's end. A return that comes
# after the hold time stays spent.
_RETURN_GRACE_MS = 60.0
_HOLD_MAX_MS = TOKEN_LEASE_MS + _RETURN_GRACE_MS
# An entry can't use a lease shorter than a round trip.
_HOLD_MIN_MS = 10.0
# Leases may hold this part of the burst at the full rate; a longer hold would keep
# a workspace below its rate.
_HELD_BURST_RATIO = 0.5
# An entry that got less than it wanted counts as waiting until it should have asked
# again, and this much longer.
_WANTING_MS = 50.0
_WANTING_MAX_MS = 200.0
# Holds what entries got from an earlier arbiter; nobody returns it here.
_EARLIER = EntryId("", "")


@dataclass(slots=True)
class _Lease:
    """Hold tokens given to an entry until their hold time ends."""

    entry: EntryId
    expires_ms: float
    tokens: int


class TokenBucket:
    """Lease tokens of one workspace; starts empty and shut until `open`."""

    def __init__(self, rate_per_s: float, burst: int):
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._level = 0.0
        self._held = 0
        self._leases: deque[_Lease] = deque()
        self._wanting: dict[EntryId, float] = {}
        self._tags: dict[EntryId, float] = {}
        self._virtual = 0.0
        self._refilled_at_ms = float("inf")
        self._opens_at_ms = float("inf")

    @property
    def hold_ms(self) -> float:
        """Return how long a leased token counts against the burst."""
        if self._rate_per_ms <= 0:
            return _HOLD_MAX_MS
        fitting_ms = _HELD_BURST_RATIO * self._burst / self._rate_per_ms
        return min(_HOLD_MAX_MS, max(_HOLD_MIN_MS, fitting_ms))

    @property
    def lease_ms(self) -> int:
        """Return how long an entry may use tokens, from before it asked."""
        return int(max(self.hold_ms / 2, self.hold_ms - _RETURN_GRACE_MS))

    def open(self, now_ms: float, limits_since_ms: float = float("-inf")) -> None:
        """Begin to refill once the leases of an earlier arbiter have run out.

        Their length is known if the limits are in force for longer than any lease.
        """
        is_known = now_ms - limits_since_ms >= _HOLD_MAX_MS
        self._opens_at_ms = now_ms + (self.hold_ms if is_known else _HOLD_MAX_MS)
        self._refilled_at_ms = self._opens_at_ms

    @property
    def fill_ms(self) -> float:
        """Return how long an empty bucket takes to fill."""
        if self._rate_per_ms <= 0:
            return float("inf")
        return self._burst / self._rate_per_ms

    def open_with_reports(self, reports: Iterable[TokensSpent], now_ms: float) -> None:
        """Begin with what the entries left of the burst within the fill time.

        The reports must cover the fill time and every entry that used tokens in it.
        Without use before it, the bucket held at least as much.
        """
        found = list(reports)
        held = sum(item.held for item in found)
        self._opens_at_ms = self._refilled_at_ms = now_ms
        self._level = max(0.0, self._burst - held - sum(item.used for item in found))
        if held:
            self._held += held
            lease = _Lease(_EARLIER, now_ms + _HOLD_MAX_MS, held)
            self._leases.append(lease)

    def is_open(self, now_ms: float) -> bool:
        """Tell whether the leases of an earlier arbiter have run out."""
        return now_ms >= self._opens_at_ms

    def configure(self, rate_per_s: float, burst: int, now_ms: float) -> None:
        """Apply a changed rate and burst from now on."""
        self._refill(now_ms)
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._level = max(0.0, min(self._level, self._burst - self._held))

    def take(self, entry: EntryId, wanted: int, now_ms: float) -> TokenGrant:
        """Lease up to `wanted` tokens, divided fairly between waiting entries."""
        self._refill(now_ms)
        others = self._waiting_others(entry, now_ms)
        tag = max(self._virtual, self._tags.get(entry, 0.0))
        # One token is left for each waiting entry that was served less.
        ahead = sum(self._tags.get(other, 0.0) < tag for other in others)
        share = max(1, int(self._level / (1 + len(others))))
        tokens = max(0, min(wanted, share, int(self._level - ahead)))
        if tokens:
            self._lease(entry, tokens, now_ms)
        self._count_served(entry, tag + tokens, others)
        if tokens >= wanted:
            self._wanting.pop(entry, None)
            return TokenGrant(tokens, self.lease_ms, 0)
        retry_ms = self._retry_after_ms(len(others), now_ms)
        self._wanting[entry] = now_ms + min(retry_ms, _WANTING_MAX_MS) + _WANTING_MS
        return TokenGrant(tokens, self.lease_ms, retry_ms)

    def give_back(self, entry: EntryId, tokens: int, now_ms: float) -> None:
        """Take unused tokens back; those whose hold time is over stay spent."""
        self._refill(now_ms)
        for lease in reversed(self._leases):
            if tokens <= 0:
                return
            if lease.entry != entry:
                continue
            returned = min(tokens, lease.tokens)
            lease.tokens -= returned
            tokens -= returned
            self._held -= returned
            self._level = min(self._burst - self._held, self._level + returned)

    def _lease(self, entry: EntryId, tokens: int, now_ms: float) -> None:
        self._level -= tokens
        self._held += tokens
        self._leases.append(_Lease(entry, now_ms + self.hold_ms, tokens))

    def _refill(self, now_ms: float) -> None:
        if now_ms <= self._refilled_at_ms:
            return
        # Time is taken in steps, since the level is capped while leases hold burst.
        while self._leases and self._leases[0].expires_ms <= now_ms:
            lease = self._leases.popleft()
            self._refill_until(lease.expires_ms)
            self._held -= lease.tokens
        self._refill_until(now_ms)

    def _refill_until(self, at_ms: float) -> None:
        if at_ms <= self._refilled_at_ms:
            return
        grown = self._level + (at_ms - self._refilled_at_ms) * self._rate_per_ms
        self._level = max(0.0, min(grown, self._burst - self._held))
        self._refilled_at_ms = at_ms

    def _count_served(self, entry: EntryId, tag: float, others: list[EntryId]) -> None:
        self._tags[entry] = tag
        self._virtual = min([tag, *(self._tags[other] for other in others)])
        if len(self._tags) > 2 * (len(others) + 1):
            active = {entry, *others}
            self._tags = {name: self._tags[name] for name in active}

    def _waiting_others(self, entry: EntryId, now_ms: float) -> list[EntryId]:
        gone = [name for name, until in self._wanting.items() if until <= now_ms]
        for name in gone:
            del self._wanting[name]
        return [name for name in self._wanting if name != entry]

    def _retry_after_ms(self, others: int, now_ms: float) -> int:
        if self._rate_per_ms <= 0:
            return int(_HOLD_MAX_MS)
        missing = max(0.0, 1.0 - self._level) + others
        wait_ms = missing / self._rate_per_ms + max(0.0, self._opens_at_ms - now_ms)
        return max(1, int(min(wait_ms, 60_000.0)) + 1)
