"""Token buckets of cold upstreams, leased to entries by the control leader.

The load they respond to is the rate of requests for upstreams that have just started
or recovered, and how these respond. The code here does no I/O.
"""

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from bergamotdrift.config.schema import ColdBound, SiteSettings
from bergamotdrift.entry_leases import EntryLeases
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.latency_trend import LatencyTrend
from bergamotdrift.messages import PaceLot, PaceNeed
from bergamotdrift.pace import FALL, LATE_FALL, Pace
from bergamotdrift.pace_limits import PaceLimits, pace_limits

# Two ping intervals: an entry states what it used, and returns the rest, before then.
PACE_LEASE_MS = 500
# A sound response lets the pace rise until the next pings can tell of another one.
_SOUND_FOR_MS = 600.0
# The pace of an upstream that is not asked for is kept for this time. If the same
# process turns cold again, it goes on from there.
_RESUME_MS = 10_000.0
# An entry that waits for a token keeps its place until this long after it should have
# asked again.
_ASK_GRACE_MS = 60.0
_WAIT_MIN_MS = 5.0
_WAIT_MAX_MS = 10_000.0


STARTED = "started"
NEW_PROCESS = "new_process"


class PaceChange(NamedTuple):
    """Describe why the pace of an upstream was lowered or set anew, for the log."""

    upstream: UpstreamId
    reason: str
    before_per_s: float
    per_s: float


class _Place(NamedTuple):
    """Keep the place of an entry that waits for tokens."""

    tokens: int
    until_ms: float
    rank: int


class PaceBucket:
    """Lease tokens for the requests to one cold upstream.

    Tokens that are ready and tokens that are leased are together never more than the
    burst, so that at most burst + rate x time are used in any time.
    """

    def __init__(self, limits: PaceLimits, opens_at_ms: float, now_ms: float):
        self._limits = limits
        self.pace = Pace(limits.rates, now_ms, _SOUND_FOR_MS)
        self.incarnation = ""
        self.needed_at_ms = now_ms
        # It fills from the end of the leases of the previous leader.
        filling_s = max(0.0, now_ms - opens_at_ms) / 1000.0
        self._level = min(limits.burst, limits.rates.start * filling_s)
        self._refilled_at_ms = max(now_ms, opens_at_ms)
        self._leases = EntryLeases(PACE_LEASE_MS)
        self._latency = LatencyTrend()
        # Entries that wait for tokens, in the order in which they came.
        self._places: dict[str, _Place] = {}

    def configure(self, limits: PaceLimits, now_ms: float) -> None:
        """Apply changed limits."""
        if limits != self._limits:
            self._refill(now_ms)
            self._limits = limits
            self.pace.configure(limits.rates, now_ms)

    def restart(self, now_ms: float) -> None:
        """Begin anew with another process of the upstream."""
        self.pace.restart(now_ms)
        self._latency = LatencyTrend()

    def record(self, need: PaceNeed, now_ms: float) -> str:
        """Let the pace follow the responses; return why it fell, or an empty text."""
        if need.latency_percent:
            self._latency.add(need.latency_percent)
        reason, remaining = "", FALL
        if need.shed or need.failed:
            reason = "shed" if need.shed else "failed"
        elif need.late or (need.sound and self._latency.has_risen()):
            reason, remaining = "late", LATE_FALL
        elif need.sound:
            self.pace.on_sound(now_ms)
        if not reason or not self.pace.on_unsound(now_ms, remaining):
            return ""
        self._level *= remaining
        return reason

    def lease(self, node: str, need: PaceNeed, now_ms: float) -> PaceLot:
        """Credit returned tokens and lease up to the wanted number."""
        self.needed_at_ms = now_ms
        self._refill(now_ms)
        if self._leases.is_outdated(node, need.asked_ms):
            # It was sent on a stream that the entry has left, and knows fewer tokens.
            return PaceLot(need.service, need.upstream, 0, PACE_LEASE_MS)
        # Tokens whose lease has ended here are no longer counted and not credited.
        returned = max(0, min(need.returned, self._leases.tokens_of(node)))
        self._leases.renew(node, 0, 0, now_ms)
        self._level = self._capped(self._level + returned)
        ahead = self._tokens_ahead(node, need.rank, now_ms)
        tokens = max(0, min(need.wanted, int(self._level - ahead)))
        self._level -= tokens
        self._leases.renew(node, tokens, 0, now_ms).asked_ms = need.asked_ms
        wait_ms = self._keep_place(node, need, need.wanted - tokens, ahead, now_ms)
        return PaceLot(
            need.service, need.upstream, tokens, PACE_LEASE_MS, math.ceil(wait_ms)
        )

    def _keep_place(
        self, node: str, need: PaceNeed, missing: int, ahead: int, now_ms: float
    ) -> float:
        """Return the time to the next token for an entry, which may wait for it."""
        if missing <= 0:
            self._places.pop(node, None)
            return 0.0
        rate = self.pace.level(now_ms)
        opens_ms = max(0.0, self._refilled_at_ms - now_ms)
        wait_ms = opens_ms + (ahead + 1.0 - self._level) * 1000.0 / rate
        wait_ms = min(max(wait_ms, _WAIT_MIN_MS), _WAIT_MAX_MS)
        if wait_ms <= need.wait_ms:
            until_ms = now_ms + wait_ms + _ASK_GRACE_MS
            self._places[node] = _Place(missing, until_ms, need.rank)
        else:
            self._places.pop(node, None)
        return wait_ms

    def _tokens_ahead(self, node: str, rank: int, now_ms: float) -> int:
        """Return how many tokens are for entries that come before this one.

        These are entries with more urgent requests, and with equally urgent ones that
        have waited for longer.
        """
        self._places = {
            name: place
            for name, place in self._places.items()
            if place.until_ms > now_ms
        }
        ahead = 0
        is_later = False
        for name, place in self._places.items():
            if name == node:
                is_later = True
            elif place.rank < rank or (place.rank == rank and not is_later):
                ahead += place.tokens
        return ahead

    def _capped(self, level: float) -> float:
        return max(0.0, min(level, self._limits.burst - self._leases.held_tokens))

    def _refill(self, now_ms: float) -> None:
        if now_ms > self._refilled_at_ms:
            since_ms, self._refilled_at_ms = self._refilled_at_ms, now_ms
            gained = self.pace.level(now_ms) * (now_ms - since_ms) / 1000.0
            # Leases that end now held the level down until now.
            self._level = self._capped(self._level + gained)
        self._leases.expire(now_ms)


class PaceBuckets:
    """Lease the tokens of all cold upstreams during one leader's term.

    The previous leader may have leased tokens until `opened_at_ms`, so none are leased
    until these have expired. Entries state which upstreams are cold: one that a broken
    connection makes an entry take for cold need not be cold in the leader's tables.
    """

    def __init__(self, bound: ColdBound, opened_at_ms: float):
        self._bound = bound
        self._opens_at_ms = opened_at_ms + PACE_LEASE_MS
        self._buckets: dict[UpstreamId, PaceBucket] = {}
        self._settings: SiteSettings | None = None
        self._limits: dict[str, PaceLimits] = {}
        self._swept_at_ms = opened_at_ms
        # Called for each change other than a rise.
        self.on_change: Callable[[PaceChange], None] = lambda change: None

    def lease(
        self,
        node: str,
        needs: Iterable[PaceNeed],
        settings: SiteSettings,
        incarnation_of: Callable[[UpstreamId], str],
        now_ms: float,
    ) -> list[PaceLot]:
        """Return the tokens leased for each need; unknown services are left out."""
        self._apply(settings)
        self._sweep(now_ms)
        lots = []
        for need in needs:
            limits = self._limits.get(need.service)
            if limits is None:
                continue
            key = UpstreamId(need.service, need.upstream)
            bucket = self._bucket(key, limits, incarnation_of(key), now_ms)
            self._record(key, bucket, need, now_ms)
            lots.append(bucket.lease(node, need, now_ms))
        return lots

    def per_s(self, key: UpstreamId, now_ms: float) -> float | None:
        """Return the pace of an upstream, or None if no entry has asked for it."""
        bucket = self._buckets.get(key)
        return bucket.pace.level(now_ms) if bucket is not None else None

    def _record(
        self, key: UpstreamId, bucket: PaceBucket, need: PaceNeed, now_ms: float
    ) -> None:
        before = bucket.pace.level(now_ms)
        reason = bucket.record(need, now_ms)
        if reason:
            self.on_change(PaceChange(key, reason, before, bucket.pace.level(now_ms)))

    def _bucket(
        self, key: UpstreamId, limits: PaceLimits, incarnation: str, now_ms: float
    ) -> PaceBucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = PaceBucket(limits, self._opens_at_ms, now_ms)
            bucket.incarnation = incarnation
            start = bucket.pace.level(now_ms)
            self.on_change(PaceChange(key, STARTED, start, start))
        bucket.configure(limits, now_ms)
        if incarnation != bucket.incarnation:
            # Tokens leased for the process before it may still be used for this one.
            bucket.incarnation = incarnation
            before = bucket.pace.level(now_ms)
            bucket.restart(now_ms)
            start = bucket.pace.level(now_ms)
            self.on_change(PaceChange(key, NEW_PROCESS, before, start))
        return bucket

    def _apply(self, settings: SiteSettings) -> None:
        if settings is self._settings:
            return
        self._settings = settings
        self._limits = {
            service.name: pace_limits(service.cold_start, self._bound)
            for service in settings.services
            if service.cold_start.per_s > 0
        }

    def _sweep(self, now_ms: float) -> None:
        """Drop the buckets that have not been asked for in a while."""
        if now_ms - self._swept_at_ms < _RESUME_MS:
            return
        self._swept_at_ms = now_ms
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if now_ms - bucket.needed_at_ms < _RESUME_MS
        }
