"""Client of an entry for the tokens of cold upstreams, leased by the control leader.

The load it responds to is the requests that wait for a cold upstream. An entry of a
large fleet sends one upstream a request every few seconds, so it does not know which
token it needs next: tokens are requested for the requests that wait.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

import gevent
from gevent.event import Event

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ColdBound, ServiceSettings
from bergamotdrift.constants import DRIFT_MARGIN_MS
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.held_tokens import HeldTokens, TokenLease
from bergamotdrift.messages import PaceLot, PaceNeed
from bergamotdrift.pace_limits import pace_limits
from bergamotdrift.request_share import RequestShare

# An entry that has had no reply of a leader for this time uses its part of what the
# bound leaves for entries without a leader.
SILENT_AFTER_MS = 750.0
# A token is kept for the next request of a pool for this time after a request for
# which a cold upstream would have been the best one.
_DEMAND_MS = 400.0
# At a longer queue for each slot, a response counts as late.
_LATE_QUEUE_PER_SLOT = 2.0
# Requests that are sent in more than a second may arrive within one.
_SHARE_WINDOW_MS = 1150.0
_SEND_WITHIN_MS = 100.0
# A token that no request waits for goes to entries whose requests wait first.
_NO_REQUEST_RANK = 1_000_000

_FAILED = frozenset({
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.BROKEN,
    AttemptOutcome.CONNECT_FAILED,
})


# A ping for tokens is sent this long after the last ping at the earliest. Together with
# a round trip, it is less than the time that the most urgent requests wait for a token,
# about 60 ms.
EARLY_PING_INTERVAL_MS = 25.0
# In a large fleet the interval is longer, so that the leader gets about 6,700 pings a
# second at most, half of what it can answer.
_EARLY_PING_PER_ENTRY_MS = 0.15


class Response(NamedTuple):
    """Describe how an attempt at a cold upstream ended.

    `latency_ratio` is its latency relative to the usual one of its route.
    """

    outcome: AttemptOutcome
    latency_ratio: float = 1.0
    waiting: int = 0
    slots: int = 1

    @property
    def is_late(self) -> bool:
        """Whether the upstream's queue is long."""
        return self.waiting > _LATE_QUEUE_PER_SLOT * self.slots


@dataclass
class _ColdUpstream(HeldTokens):
    """Hold the tokens of one upstream, and what the next ping tells of it."""

    # Before this time the leader has no token for this entry.
    free_at_ms: float = 0.0
    demand_until_ms: float = float("-inf")
    # Whether the leader counts tokens as leased to this entry.
    counted: bool = False
    sound: int = 0
    shed: int = 0
    failed: int = 0
    late: int = 0
    # Sum of the relative latencies of sound and late responses.
    latency: float = 0.0

    def record(self, response: Response) -> None:
        """Count a response for the next ping."""
        if response.outcome is AttemptOutcome.SHED:
            self.shed += 1
        elif response.outcome in _FAILED:
            self.failed += 1
        elif response.outcome is AttemptOutcome.ANSWERED:
            self.latency += response.latency_ratio
            if response.is_late:
                self.late += 1
            else:
                self.sound += 1

    def take_need(
        self, key: UpstreamId, tokens: int, wait_ms: float, now_ms: float
    ) -> PaceNeed | None:
        """Return what to tell the leader, or None; `tokens` are needed in all."""
        # Tokens that are kept for longer would expire unused.
        returned = self.return_tokens(self.held(now_ms))
        need = PaceNeed(
            *key,
            tokens,
            returned,
            round(wait_ms),
            self.sound,
            self.shed,
            self.failed,
            self.late,
            round(100.0 * self.latency / max(1, self.sound + self.late)),
        )
        is_empty = not any(need[2:]) and not self.counted
        self.counted = False
        self.sound = self.shed = self.failed = self.late = 0
        self.latency = 0.0
        return None if is_empty else need


class _Waiting(NamedTuple):
    """Describe a request that waits for a token until `end_ms`."""

    upstream: UpstreamId
    end_ms: float
    rank: int


class LeaderPaceClient:
    """Hand out the tokens of cold upstreams, and tell what the next ping requests."""

    def __init__(self, clock: Clock, node: str, bound: ColdBound):
        self._clock = clock
        self._bound = bound
        self.share = RequestShare(node, _SHARE_WINDOW_MS)
        self._upstreams: dict[UpstreamId, _ColdUpstream] = {}
        self._waiting: dict[Any, _Waiting] = {}
        self._answered_at_ms = clock.now_ms()
        self._changed = Event()
        # Set by the owner of the control session; sends a ping ahead of its interval,
        # the given time after the last one.
        self.request_ping: Callable[[float], None] = lambda interval_ms: None
        self._ping_interval_ms = EARLY_PING_INTERVAL_MS

    def update(self, members: frozenset[str], upstreams: set[UpstreamId]) -> None:
        """Apply the entries and upstreams that exist."""
        self.share.set_members(members)
        self._ping_interval_ms = max(
            EARLY_PING_INTERVAL_MS, _EARLY_PING_PER_ENTRY_MS * len(members)
        )
        self.share.retain({key.upstream for key in upstreams})
        self._upstreams = {k: u for k, u in self._upstreams.items() if k in upstreams}

    def has_token(self, key: UpstreamId, service: ServiceSettings) -> bool:
        """Return whether a request may be sent to a cold upstream now."""
        now_ms = self._clock.now_ms()
        found = self._upstreams.get(key)
        if found is not None and found.held(now_ms):
            return True
        if now_ms - self._answered_at_ms < SILENT_AFTER_MS:
            return False
        unleased = pace_limits(service.cold_start, self._bound).unleased
        return unleased > 0 and self.share.has_room(key.upstream, unleased, now_ms)

    def take(self, key: UpstreamId) -> float:
        """Count a request to a cold upstream; return until when it may be sent."""
        now_ms = self._clock.now_ms()
        found = self._upstreams.get(key)
        lease = found.take_leased(now_ms) if found is not None else None
        if lease is not None:
            return lease.expires_ms
        self.share.record_sent(key.upstream, now_ms)
        return now_ms + _SEND_WITHIN_MS

    def note_demand(self, key: UpstreamId) -> None:
        """Ask for a token with the next ping, for the next request of a pool."""
        found = self._upstreams.setdefault(key, _ColdUpstream())
        found.demand_until_ms = self._clock.now_ms() + _DEMAND_MS

    def free_at_ms(self, key: UpstreamId) -> float | None:
        """Return when the leader may have a token, or None if it has not said."""
        found = self._upstreams.get(key)
        if found is None or found.free_at_ms <= self._clock.now_ms():
            return None
        return found.free_at_ms

    def wait(
        self,
        request: Any,
        key: UpstreamId,
        end_ms: float,
        rank: int,
        timeout_ms: float,
    ) -> None:
        """Wait for a reply of the leader on behalf of a request, or until a timeout."""
        free_at_ms = self.start_wait(request, key, end_ms, rank)
        if free_at_ms is not None:
            timeout_ms = min(timeout_ms, free_at_ms - self._clock.now_ms())
        gevent.wait([request.fut, self._changed], timeout_ms / 1000.0, 1)

    def start_wait(
        self, request: Any, key: UpstreamId, end_ms: float, rank: int
    ) -> float | None:
        """Count a request as one that needs a token, until `end_wait`.

        Returns when to ask again if the leader has no token, or None if it is asked.
        """
        self._waiting[request] = _Waiting(key, end_ms, rank)
        free_at_ms = self.free_at_ms(key)
        if free_at_ms is None:
            self.request_ping(self._ping_interval_ms)
        return free_at_ms

    def end_wait(self, request: Any) -> None:
        """Count a request no longer as one that needs a token."""
        self._waiting.pop(request, None)

    def record(self, key: UpstreamId, response: Response) -> None:
        """Record the result of an attempt at a cold upstream."""
        self._upstreams.setdefault(key, _ColdUpstream()).record(response)

    def pace_needs(self) -> list[PaceNeed]:
        """Return the tokens to request and to return, and how upstreams responded."""
        now_ms = self._clock.now_ms()
        waiting: dict[UpstreamId, list[_Waiting]] = {}
        for item in self._waiting.values():
            waiting.setdefault(item.upstream, []).append(item)
        for key in waiting:
            self._upstreams.setdefault(key, _ColdUpstream())
        needs = []
        for key, found in self._upstreams.items():
            items = waiting.get(key, [])
            is_needed = not items and found.demand_until_ms > now_ms
            tokens = len(items) + int(is_needed)
            wait_ms = max((item.end_ms - now_ms for item in items), default=0.0)
            need = found.take_need(key, tokens, max(0.0, wait_ms), now_ms)
            if need is not None:
                rank = min((item.rank for item in items), default=_NO_REQUEST_RANK)
                needs.append(need._replace(rank=rank, asked_ms=int(now_ms)))
        return needs

    def take_paces(self, lots: Sequence[PaceLot], asked_at_ms: float) -> None:
        """Add leased tokens; the caller then serves the requests that wait."""
        now_ms = self._clock.now_ms()
        self._answered_at_ms = max(self._answered_at_ms, asked_at_ms)
        for lot in lots:
            key = UpstreamId(lot.service, lot.upstream)
            found = self._upstreams.setdefault(key, _ColdUpstream())
            found.free_at_ms = now_ms + lot.wait_ms if lot.wait_ms else 0.0
            if lot.tokens:
                ends_ms = asked_at_ms + lot.lease_ms - DRIFT_MARGIN_MS
                found.leases.append(TokenLease(ends_ms, lot.tokens))
                found.counted = True

    def wake(self) -> None:
        """Let the requests that wait look at the leader's reply."""
        changed, self._changed = self._changed, Event()
        changed.set()
