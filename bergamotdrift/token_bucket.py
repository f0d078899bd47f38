"""Fleet-wide token bucket of a workspace, leased to entries in batches.

A leased token counts against the burst until its lease has expired, whether or not it
is used. So all entries together use at most burst + rate x window in any window, even
if they use leased tokens late.
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

# Entries return unused tokens within 50 ms of the lease's end. Tokens returned after
# the hold time count as used.
_RETURN_GRACE_MS = 60.0
_HOLD_MAX_MS = TOKEN_LEASE_MS + _RETURN_GRACE_MS
# An entry can't use a lease that is shorter than a round trip.
_HOLD_MIN_MS = 10.0
# Upper limit of the share of the burst that leases hold at the full rate. A longer hold
# would keep a workspace below its rate.
_HELD_BURST_RATIO = 0.5
# An entry that got less than it wanted counts as waiting until it is due to ask again,
# plus this grace time.
_WAITING_GRACE_MS = 50.0
_WAITING_MAX_MS = 200.0
# Stands for the tokens that entries hold from the previous arbiter; they aren't
# returned to this one.
_PREVIOUS_ARBITER = EntryId("", "")


@dataclass(slots=True)
class _Lease:
    """Hold the tokens leased to an entry until their hold time ends."""

    entry: EntryId
    expires_ms: float
    tokens: int


class TokenBucket:
    """Lease the tokens of one workspace; empty and closed until it is opened.

    Waiting entries share tokens by start-time fair queuing: a grant starts at the
    entry's last finish tag or the virtual time, whichever is later, and moves its
    finish tag on by the tokens granted.
    """

    def __init__(self, rate_per_s: float, burst: int):
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._level = 0.0
        self._held = 0
        self._leases: deque[_Lease] = deque()
        self._waiting_until_ms: dict[EntryId, float] = {}
        self._finish_tags: dict[EntryId, float] = {}
        self._virtual_time = 0.0
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
        """Return how long an entry may use tokens, counted from its request."""
        return int(max(self.hold_ms / 2, self.hold_ms - _RETURN_GRACE_MS))

    def open(self, now_ms: float, limits_since_ms: float = float("-inf")) -> None:
        """Start to refill once the leases of the previous arbiter have expired.

        Their length is known if the limits have been in force for longer than any
        lease; otherwise the maximum applies.
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
        """Start with the burst less what the entries used in the fill time and hold.

        The reports must cover the fill time and every entry that used tokens in it.
        Use before the fill time doesn't count, as the bucket has refilled since.
        """
        usage = list(reports)
        held = sum(item.held for item in usage)
        self._opens_at_ms = self._refilled_at_ms = now_ms
        self._level = max(0.0, self._burst - held - sum(item.used for item in usage))
        if held:
            self._held += held
            lease = _Lease(_PREVIOUS_ARBITER, now_ms + _HOLD_MAX_MS, held)
            self._leases.append(lease)

    def is_open(self, now_ms: float) -> bool:
        """Return whether the leases of the previous arbiter have expired."""
        return now_ms >= self._opens_at_ms

    def configure(self, rate_per_s: float, burst: int, now_ms: float) -> None:
        """Apply a changed rate and burst from now on."""
        self._refill(now_ms)
        self._rate_per_ms = rate_per_s / 1000.0
        self._burst = float(burst)
        self._level = max(0.0, min(self._level, self._burst - self._held))

    def take(self, entry: EntryId, wanted: int, now_ms: float) -> TokenGrant:
        """Lease up to `wanted` tokens, divided fairly among the waiting entries."""
        self._refill(now_ms)
        others = self._waiting_others(entry, now_ms)
        start_tag = max(self._virtual_time, self._finish_tags.get(entry, 0.0))
        # One token is reserved for each waiting entry that was served less.
        reserved = sum(
            self._finish_tags.get(other, 0.0) < start_tag for other in others
        )
        share = max(1, int(self._level / (1 + len(others))))
        tokens = max(0, min(wanted, share, int(self._level - reserved)))
        if tokens:
            self._lease(entry, tokens, now_ms)
        self._update_tags(entry, start_tag + tokens, others)
        if tokens >= wanted:
            self._waiting_until_ms.pop(entry, None)
            return TokenGrant(tokens, self.lease_ms, 0)
        retry_ms = self._retry_after_ms(len(others), now_ms)
        self._waiting_until_ms[entry] = (
            now_ms + min(retry_ms, _WAITING_MAX_MS) + _WAITING_GRACE_MS
        )
        return TokenGrant(tokens, self.lease_ms, retry_ms)

    def return_tokens(self, entry: EntryId, tokens: int, now_ms: float) -> None:
        """Return unused tokens; those whose hold time is over count as used."""
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
        # Refills up to each expiry in turn, since running leases lower the level's cap.
        while self._leases and self._leases[0].expires_ms <= now_ms:
            lease = self._leases.popleft()
            self._refill_until(lease.expires_ms)
            self._held -= lease.tokens
        self._refill_until(now_ms)

    def _refill_until(self, at_ms: float) -> None:
        if at_ms <= self._refilled_at_ms:
            return
        refilled = self._level + (at_ms - self._refilled_at_ms) * self._rate_per_ms
        self._level = max(0.0, min(refilled, self._burst - self._held))
        self._refilled_at_ms = at_ms

    def _update_tags(
        self, entry: EntryId, finish_tag: float, others: list[EntryId]
    ) -> None:
        self._finish_tags[entry] = finish_tag
        self._virtual_time = min([
            finish_tag,
            *(self._finish_tags[other] for other in others),
        ])
        if len(self._finish_tags) > 2 * (len(others) + 1):
            active = {entry, *others}
            self._finish_tags = {name: self._finish_tags[name] for name in active}

    def _waiting_others(self, entry: EntryId, now_ms: float) -> list[EntryId]:
        expired = [
            name for name, until in self._waiting_until_ms.items() if until <= now_ms
        ]
        for name in expired:
            del self._waiting_until_ms[name]
        return [name for name in self._waiting_until_ms if name != entry]

    def _retry_after_ms(self, others: int, now_ms: float) -> int:
        if self._rate_per_ms <= 0:
            return int(_HOLD_MAX_MS)
        missing = max(0.0, 1.0 - self._level) + others
        wait_ms = missing / self._rate_per_ms + max(0.0, self._opens_at_ms - now_ms)
        return max(1, int(min(wait_ms, 60_000.0)) + 1)
