"""Load and health of one upstream as observed by a single entry."""

import math
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.finish_time import Speed, UpstreamView
from bergamotdrift.messages import (
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.own_requests import OwnRequests
from bergamotdrift.probe_backoff import ProbeBackoff

# A load report is outdated after this time; its weight decays at this rate.
_LOAD_DECAY_MS = 400.0
# Queued requests at an upstream beyond its slots, over all entries together.
SHARED_QUEUE_DEPTH = 6
# Requests an entry may always have in flight at an upstream not known to be full.
_MIN_SHARE = 2
# At this queue length each entry has at most one request in flight at the upstream.
_LONG_QUEUE = 3
# An upstream that shed a request receives no requests for this time.
_SHED_PAUSE_MS = 60.0
# A single timeout may be due to the request; two in a row mark the upstream as down.
_FAILURES_UNTIL_DOWN = 2
# Weights of the latest sample in the exponential moving averages.
_LATENCY_WEIGHT = 0.2
# Each entry sees few of the responses; the leader smooths further over all entries.
_BUSY_WEIGHT = 0.4
_ERROR_WEIGHT = 0.1
# Factor added to the cost of an upstream that fails every request.
_ERROR_PENALTY = 6.0

_NO_RESPONSE = frozenset({AttemptOutcome.TIMEOUT, AttemptOutcome.BROKEN})


class ReportedLoad(NamedTuple):
    """Load report with its arrival time and this entry's in-flight requests then."""

    load: AnswerLoad
    at_ms: float
    own_in_flight: int


class DirectLoad:
    """Track the load and health of an upstream from one entry's requests."""

    def __init__(self, row: UpstreamRow, slots: int):
        self.row = row
        self.slots = max(1, row.slots or slots)
        self.in_flight = 0
        # Requests in flight whose silence is watched.
        self.own = OwnRequests()
        self.speed = Speed()
        # Requests per second that the upstream takes from all entries, by its last
        # answer to this entry or by its row, whichever came later; None for no limit.
        self.limit_per_s = row.limit_per_s
        # When this process of the upstream first said that it leaves.
        self.leaves_since_ms: float | None = None
        # Until when the upstream wants no request of this entry.
        self.paused_until_ms = 0.0
        # Moving average of latency relative to the mean of the same route.
        self.latency_ratio = 1.0
        # Response time without queueing; 0 while unknown.
        self.busy_ms = 0.0
        self._error_rate = 0.0
        self._reported: ReportedLoad | None = None
        self._shed_until_ms = 0.0
        self._cold_until_ms = 0.0
        self._failures = 0
        self._probe_backoff = ProbeBackoff()

    @property
    def is_down(self) -> bool:
        """Whether the upstream is down and receives only single probe requests."""
        return self._probe_backoff.is_down

    def replace_row(self, row: UpstreamRow, cold_ms: float, now_ms: float) -> None:
        """Apply a changed row; reset the state if the upstream restarted."""
        before, self.row = self.row, row
        self.slots = max(1, row.slots or self.slots)
        if row.incarnation != before.incarnation or (
            row.limit_per_s != before.limit_per_s
        ):
            self.limit_per_s = row.limit_per_s
        if row.incarnation != before.incarnation:
            self._mark_up()
            self._reported = None
            self.own.record_answer(now_ms)
            self.leaves_since_ms = None
            self.paused_until_ms = 0.0
            self.mark_maybe_cold(cold_ms, now_ms)

    def mark_maybe_cold(self, cold_ms: float, now_ms: float) -> None:
        """Treat the upstream as cold for `cold_ms`, since it may have restarted."""
        self._cold_until_ms = max(self._cold_until_ms, now_ms + cold_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the upstream is cold or may be."""
        return self.row.state is UpstreamState.COLD or now_ms < self._cold_until_ms

    def has_room(self, entries: int, now_ms: float) -> bool:
        """Return whether this entry may send one more request now.

        Each entry has an equal share of slots and queue places, plus the free slots
        in a recent load report.
        """
        if now_ms < self._shed_until_ms:
            return False
        if self._probe_backoff.is_down:
            return self.in_flight == 0 and self._probe_backoff.may_probe(now_ms)
        fresh = self._fresh_load(now_ms)
        if fresh is not None and fresh.waiting >= _LONG_QUEUE:
            return self.in_flight < 1
        return self.in_flight < self._share(entries, fresh)

    def _share(self, entries: int, fresh: AnswerLoad | None) -> int:
        share = max(_MIN_SHARE, (self.slots + SHARED_QUEUE_DEPTH) // max(1, entries))
        if fresh is not None:
            share += max(0, fresh.slots - fresh.running - fresh.waiting)
        return share

    def _fresh_load(self, now_ms: float) -> AnswerLoad | None:
        """Return the last load report unless it is outdated."""
        reported = self._reported
        if reported is None or now_ms - reported.at_ms >= _LOAD_DECAY_MS:
            return None
        return reported.load

    def may_take(self, entries: int, now_ms: float) -> bool:
        """Return whether the upstream may be sent one more request of this entry.

        Used instead of `has_room` where requests are admitted by deadline; the queue
        is then judged with the request. After a request that the upstream ignored, one
        at a time is sent until the next answer.
        """
        if now_ms < self._shed_until_ms:
            return False
        own = self.answerable(now_ms)
        if self.is_down:
            return own < 1 and self._probe_backoff.may_probe(now_ms)
        if self.own.is_suspect(now_ms):
            return own < 1
        return own < self._share(entries, self._fresh_load(now_ms))

    def view(self, now_ms: float) -> UpstreamView:
        """Return what is known of the upstream's load now."""
        reported = self._reported
        weight = 0.0
        if reported is not None:
            weight = math.exp((reported.at_ms - now_ms) / _LOAD_DECAY_MS)
        return UpstreamView(
            self.slots,
            self.answerable(now_ms),
            self.other_requests(now_ms),
            self.own.oldest_ms(now_ms),
            self.speed.estimate(self.last_slowness, weight),
            self.busy_ms,
        )

    @property
    def last_slowness(self) -> float:
        """Return the slowness that the upstream stated last, or 1.0."""
        return 1.0 if self._reported is None else self._reported.load.slowness

    @property
    def stated_requests(self) -> int | None:
        """Return the requests that the upstream stated last, or None."""
        if self._reported is None:
            return None
        return self._reported.load.running + self._reported.load.waiting

    def has_free_slot(self, now_ms: float) -> bool:
        """Return whether a recent report shows a free slot and no queue."""
        fresh, reported = self._fresh_load(now_ms), self._reported
        if fresh is None or reported is None:
            return False
        own_since = max(0, self.answerable(now_ms) - reported.own_in_flight)
        return not fresh.waiting and fresh.running + own_since < fresh.slots

    def answerable(self, now_ms: float) -> int:
        """Return this entry's requests in flight that may still be answered."""
        return max(0, self.in_flight - self.own.silent(now_ms))

    def other_requests(self, now_ms: float) -> float:
        """Return the estimated number of requests from other entries."""
        reported = self._reported
        if reported is None:
            return 0.0
        load = reported.load
        known = max(0, load.running + load.waiting - reported.own_in_flight)
        return known * math.exp((reported.at_ms - now_ms) / _LOAD_DECAY_MS)

    def expected_cost(self, now_ms: float) -> float:
        """Return the expected time of one more request; 1.0 is the usual time."""
        ahead = self.in_flight + self.other_requests(now_ms)
        queued = max(0.0, ahead + 1.0 - self.slots) / self.slots
        # Concurrent requests slow each other down before all slots are in use.
        busy = 0.2 * min(1.0, ahead / self.slots)
        service_time = (
            self.latency_ratio * self._reported_slowness(now_ms) * (1.0 + busy + queued)
        )
        return service_time * (1.0 + _ERROR_PENALTY * self._error_rate)

    def describe(self, now_ms: float) -> str:
        """Return the upstream and its known load as text for the log."""
        text = f"{self.row.upstream}, {self.in_flight} of this entry"
        reported = self._reported
        if reported is None:
            return text
        load, age_ms = reported.load, now_ms - reported.at_ms
        return f"{text}, {load.running}+{load.waiting} stated {age_ms:.0f} ms ago"

    def record_load(self, load: AnswerLoad, now_ms: float) -> None:
        """Record the load report of a response."""
        self._reported = ReportedLoad(load, now_ms, self.answerable(now_ms))
        if load.slots > 0:
            self.slots = load.slots

    def record_latency(self, latency_ms: float, route_mean_ms: float) -> None:
        """Record the latency of a response that was not queued, against its route's."""
        ratio = min(max(latency_ms / max(1.0, route_mean_ms), 0.2), 5.0)
        self.latency_ratio += _LATENCY_WEIGHT * (ratio - self.latency_ratio)

    def record_busy_time(self, latency_ms: float) -> None:
        """Record the latency of a response, whether or not it was queued."""
        weight = _BUSY_WEIGHT if self.busy_ms else 1.0
        self.busy_ms += weight * (self.without_queue(latency_ms) - self.busy_ms)

    def record_no_response(self, waited_ms: float) -> None:
        """Record an attempt that ended without a response after `waited_ms`.

        Without it, an upstream so slow that callers give up would never appear slow.
        """
        if self.busy_ms and self.without_queue(waited_ms) > self.busy_ms:
            self.record_busy_time(waited_ms)

    def without_queue(self, latency_ms: float) -> float:
        """Return a latency with the share of the reported queue removed."""
        if self._reported is None:
            return latency_ms
        return latency_ms / (1.0 + max(0, self._reported.load.waiting) / self.slots)

    def record_outcome(
        self, outcome: AttemptOutcome, cold_ms: float, now_ms: float
    ) -> None:
        """Update health and error rate with the outcome of an attempt."""
        failed = outcome in {AttemptOutcome.SERVER_ERROR, *_NO_RESPONSE}
        if outcome is not AttemptOutcome.CANCELLED:
            self._error_rate += _ERROR_WEIGHT * (float(failed) - self._error_rate)
        if outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR}:
            self.own.record_answer(now_ms)
            self._mark_up()
        elif outcome is AttemptOutcome.SHED:
            self.own.record_answer(now_ms)
            self._mark_up()
            self._shed_until_ms = now_ms + _SHED_PAUSE_MS
        elif outcome is AttemptOutcome.CONNECT_FAILED:
            self.mark_maybe_cold(cold_ms, now_ms)
            self._probe_backoff.mark_down(now_ms)
        elif outcome in _NO_RESPONSE:
            if outcome is AttemptOutcome.BROKEN:
                self.mark_maybe_cold(cold_ms, now_ms)
            self._failures += 1
            if self._failures >= _FAILURES_UNTIL_DOWN:
                self.mark_maybe_cold(cold_ms, now_ms)
                self._probe_backoff.mark_down(now_ms)

    def _reported_slowness(self, now_ms: float) -> float:
        reported = self._reported
        if reported is None:
            return 1.0
        weight = math.exp((reported.at_ms - now_ms) / _LOAD_DECAY_MS)
        return 1.0 + weight * (reported.load.slowness - 1.0)

    def _mark_up(self) -> None:
        self._failures = 0
        self._probe_backoff.mark_up()
