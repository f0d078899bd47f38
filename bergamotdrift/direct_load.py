"""One upstream as a single entry sees it: its own requests and the stated load."""

import math
from typing import NamedTuple

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.messages import (
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.probe_backoff import ProbePause

# A stated load says little about the present after this time.
_LOAD_SPAN_MS = 400.0
# How much waits at an upstream besides what runs, all entries together.
QUEUE_ROOM = 6
# Requests that an entry may always have at an upstream that is not known to be full.
_SHARE_MIN = 2
# An upstream at which this many requests wait gets only one at a time from each entry.
_WAITING_MANY = 3
# An upstream that shed a request gets none for this long.
_SHED_PAUSE_MS = 60.0
# One timeout may be the request's own; two in a row without an answer are silence.
_SILENT_TIMEOUTS = 2
# Weight of the last observation in the moving averages.
_SPEED_STEP = 0.2
# The leader smooths further over all entries, each of which sees few of the answers.
_BUSY_STEP = 0.4
_ERROR_STEP = 0.1
# An upstream that fails every request looks this much slower.
_ERROR_PENALTY = 6.0

_SILENT = frozenset({AttemptOutcome.TIMEOUT, AttemptOutcome.BROKEN})


class StatedLoad(NamedTuple):
    """Hold a stated load, when it came and how many requests here ran then."""

    load: AnswerLoad
    at_ms: float
    own: int


class DirectLoad:
    """Hold what one entry knows of an upstream's load and health."""

    def __init__(self, row: UpstreamRow, slots: int):
        self.row = row
        self.slots = max(1, row.slots or slots)
        self.in_flight = 0
        # Latency of its answers relative to those of the same route elsewhere.
        self.speed = 1.0
        # How long an answer takes when nothing waits, 0 if that is unknown.
        self.busy_ms = 0.0
        self._error_rate = 0.0
        self._stated: StatedLoad | None = None
        self._paused_until_ms = 0.0
        self._cold_until_ms = 0.0
        self._failures = 0
        self._pause = ProbePause()

    @property
    def is_down(self) -> bool:
        """Tell whether the upstream gets at most single probing requests."""
        return self._pause.is_down

    def replace_row(self, row: UpstreamRow, cold_ms: float, now_ms: float) -> None:
        """Take a changed row; an upstream that was restarted starts anew."""
        before, self.row = self.row, row
        self.slots = max(1, row.slots or self.slots)
        if row.incarnation != before.incarnation:
            self._mark_up()
            self._stated = None
            self.suspect_cold(cold_ms, now_ms)

    def suspect_cold(self, cold_ms: float, now_ms: float) -> None:
        """Treat the upstream as cold for a while, since it may have restarted."""
        self._cold_until_ms = max(self._cold_until_ms, now_ms + cold_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Tell whether the upstream is cold or may be."""
        return self.row.state is UpstreamState.COLD or now_ms < self._cold_until_ms

    def has_room(self, entries: int, now_ms: float) -> bool:
        """Tell whether this entry may send one more request now.

        Each entry has an even share of the slots and queue places, and more where the
        upstream stated free slots a moment ago.
        """
        if now_ms < self._paused_until_ms:
            return False
        if self._pause.is_down:
            return self.in_flight == 0 and self._pause.may_probe(now_ms)
        share = max(_SHARE_MIN, (self.slots + QUEUE_ROOM) // max(1, entries))
        stated = self._stated
        if stated is not None and now_ms - stated.at_ms < _LOAD_SPAN_MS:
            load = stated.load
            if load.waiting >= _WAITING_MANY:
                return self.in_flight < 1
            share += max(0, load.slots - load.running - load.waiting)
        return self.in_flight < share

    def others(self, now_ms: float) -> float:
        """Return how many requests of other entries are probably there."""
        stated = self._stated
        if stated is None:
            return 0.0
        load = stated.load
        known = max(0, load.running + load.waiting - stated.own)
        return known * math.exp((stated.at_ms - now_ms) / _LOAD_SPAN_MS)

    def expected(self, now_ms: float) -> float:
        """Return the time that one more request would take; 1.0 is usual."""
        ahead = self.in_flight + self.others(now_ms)
        queued = max(0.0, ahead + 1.0 - self.slots) / self.slots
        # Shared slots slow each other down before they are all in use.
        busy = 0.2 * min(1.0, ahead / self.slots)
        slow = self.speed * self._slowness(now_ms) * (1.0 + busy + queued)
        return slow * (1.0 + _ERROR_PENALTY * self._error_rate)

    def describe(self, now_ms: float) -> str:
        """Return the upstream with what is known of its load, for the log."""
        text = f"{self.row.upstream}, {self.in_flight} of this entry"
        stated = self._stated
        if stated is None:
            return text
        load, age_ms = stated.load, now_ms - stated.at_ms
        return f"{text}, {load.running}+{load.waiting} stated {age_ms:.0f} ms ago"

    def note_load(self, load: AnswerLoad, now_ms: float) -> None:
        """Take the load that an answer stated."""
        self._stated = StatedLoad(load, now_ms, self.in_flight)
        if load.slots > 0:
            self.slots = load.slots

    def note_speed(self, latency_ms: float, route_mean_ms: float) -> None:
        """Take the latency of an answer that did not wait, and its route's mean."""
        ratio = min(max(latency_ms / max(1.0, route_mean_ms), 0.2), 5.0)
        self.speed += _SPEED_STEP * (ratio - self.speed)

    def note_busy(self, latency_ms: float) -> None:
        """Take the latency of an answer, whether or not it waited."""
        step = _BUSY_STEP if self.busy_ms else 1.0
        self.busy_ms += step * (self._without_queue(latency_ms) - self.busy_ms)

    def note_unanswered(self, waited_ms: float) -> None:
        """Take that an attempt ended without an answer after a time.

        A slow upstream whose callers leave before it answers would never look slow.
        """
        if self.busy_ms and self._without_queue(waited_ms) > self.busy_ms:
            self.note_busy(waited_ms)

    def _without_queue(self, latency_ms: float) -> float:
        """Return how long an attempt would have taken without the stated queue."""
        if self._stated is None:
            return latency_ms
        return latency_ms / (1.0 + max(0, self._stated.load.waiting) / self.slots)

    def note_outcome(
        self, outcome: AttemptOutcome, cold_ms: float, now_ms: float
    ) -> None:
        """Learn from how an attempt ended."""
        failed = outcome in {AttemptOutcome.SERVER_ERROR, *_SILENT}
        if outcome is not AttemptOutcome.CANCELLED:
            self._error_rate += _ERROR_STEP * (float(failed) - self._error_rate)
        if outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR}:
            self._mark_up()
        elif outcome is AttemptOutcome.SHED:
            self._mark_up()
            self._paused_until_ms = now_ms + _SHED_PAUSE_MS
        elif outcome is AttemptOutcome.CONNECT_FAILED:
            self.suspect_cold(cold_ms, now_ms)
            self._pause.mark_down(now_ms)
        elif outcome in _SILENT:
            if outcome is AttemptOutcome.BROKEN:
                self.suspect_cold(cold_ms, now_ms)
            self._failures += 1
            if self._failures >= _SILENT_TIMEOUTS:
                self.suspect_cold(cold_ms, now_ms)
                self._pause.mark_down(now_ms)

    def _slowness(self, now_ms: float) -> float:
        stated = self._stated
        if stated is None:
            return 1.0
        weight = math.exp((stated.at_ms - now_ms) / _LOAD_SPAN_MS)
        return 1.0 + weight * (stated.load.slowness - 1.0)

    def _mark_up(self) -> None:
        self._failures = 0
        self._pause.mark_up()
