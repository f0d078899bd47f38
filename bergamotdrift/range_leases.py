"""How long upstreams may still act on the key ranges that they were granted.

A grant runs from its arrival, which the sender does not see. The leader therefore
counts it from the end of the call, whether the call was answered or abandoned. A call
of an earlier leader may have begun just before the present leader's term, so its grants
count from the latest end of such a call.

An upstream may carry out an unanswered grant after a later release of the same keys.
Released keys are therefore free only when no such grant can run any more.
"""

from typing import NamedTuple

from bergamotdrift.messages import RangeRow

# A lost upstream keeps its keys from others for this long; a new leader must renew
# the grants of the last one within it.
HOLD_MS = 2000
RENEW_INTERVAL_MS = 650
# A grant's call is abandoned and reset after this time.
CALL_TIMEOUT_MS = 400.0
# Upstreams measure the hold by clocks that may run this much slow.
CLOCK_DRIFT = 0.02
# Covers timers that fire late on either side.
HOLD_MARGIN_MS = 150.0
# An upstream that left grants unanswered for this long, and did not announce itself
# meanwhile, counts as lost: its grants are no longer renewed.
LOST_AFTER_MS = 800.0


class Holder(NamedTuple):
    """Name one run of an upstream and the epoch of its grant."""

    service: str
    upstream: str
    incarnation: str
    epoch: int


class GrantedSpan(NamedTuple):
    """Name the keys that one grant covers."""

    holder: Holder
    first: int
    last: int


class UpstreamRun(NamedTuple):
    """Name one run of an upstream."""

    service: str
    upstream: str
    incarnation: str


def holder_of(row: RangeRow) -> Holder:
    """Return the holder of an owned range."""
    return Holder(row.service, row.upstream, row.incarnation, row.epoch)


def span_of(row: RangeRow) -> GrantedSpan:
    """Return the keys of an owned range and their holder."""
    return GrantedSpan(holder_of(row), row.first, row.last)


def run_of(row: RangeRow) -> UpstreamRun:
    """Return the run of the upstream that owns a range."""
    return UpstreamRun(row.service, row.upstream, row.incarnation)


def hold_bound_ms() -> float:
    """Return the longest time in ms that a grant may run after its call ended."""
    return HOLD_MS * (1 + CLOCK_DRIFT) + HOLD_MARGIN_MS


class RangeLeases:
    """Account for the grants of one leader's term; pure, with the time passed in."""

    def __init__(self, opened_at_ms: float):
        self._opened_until_ms = opened_at_ms + CALL_TIMEOUT_MS + hold_bound_ms()
        self._until_ms: dict[Holder, float] = {}
        self._calling: dict[GrantedSpan, int] = {}
        self._unsettled_until_ms: dict[GrantedSpan, float] = {}
        self._released: dict[RangeRow, str] = {}
        self._accepted: set[RangeRow] = set()
        self._given_up: set[RangeRow] = set()
        self._failing_since_ms: dict[UpstreamRun, float] = {}

    def begin_grant(self, row: RangeRow) -> bool:
        """Count a grant as running from before it is sent, or refuse it."""
        if row in self._given_up:
            return False
        span = span_of(row)
        self._calling[span] = self._calling.get(span, 0) + 1
        return True

    def end_grant(
        self, row: RangeRow, answered: bool, current: bool, now_ms: float
    ) -> None:
        """Bound a grant whose call has ended; its hold can't have begun later.

        `current` tells that the range did not change during the call. A grant that was
        answered beside a release may have been carried out after it.
        """
        span = span_of(row)
        self._calling[span] -= 1
        if not self._calling[span]:
            del self._calling[span]
        until_ms = now_ms + hold_bound_ms()
        self._until_ms[span.holder] = until_ms
        if not (answered and current):
            self._unsettled_until_ms[span] = until_ms
        run = run_of(row)
        if answered:
            self._failing_since_ms.pop(run, None)
        else:
            self._failing_since_ms.setdefault(run, now_ms)

    def give_up(self, row: RangeRow) -> None:
        """Refuse further grants of a range whose last ones have ended.

        A command that gives it to another upstream may already be logged, while the
        holder is heard of again before the command takes effect.
        """
        self._given_up.add(row)

    def is_given_up(self, row: RangeRow) -> bool:
        """Tell whether a range is surely going to another upstream."""
        return row in self._given_up

    def note_released(self, row: RangeRow, handover: str) -> None:
        """Take note that the upstream gave a range back, with its state token."""
        self._released[row] = handover

    def note_accepted(self, row: RangeRow) -> None:
        """Take note that the upstream accepted a new grant."""
        self._accepted.add(row)

    def is_accepted(self, row: RangeRow) -> bool:
        """Tell whether the upstream accepted a new grant."""
        return row in self._accepted

    def handover_of(self, row: RangeRow) -> str | None:
        """Return the state token of a released range, None if it was not released."""
        return self._released.get(row)

    def is_failing(self, run: UpstreamRun, seen_ms: float, now_ms: float) -> bool:
        """Tell whether an upstream last seen at `seen_ms` leaves grants unanswered."""
        since_ms = self._failing_since_ms.get(run)
        if since_ms is None or seen_ms > since_ms:
            return False
        return now_ms - since_ms >= LOST_AFTER_MS

    def is_settled(self, row: RangeRow, now_ms: float) -> bool:
        """Tell whether a release of a range would surely end all its grants."""
        if now_ms < self._opened_until_ms:
            return False
        if any(_overlaps(span, row) for span in self._calling):
            return False
        return not any(
            now_ms < until_ms and _overlaps(span, row)
            for span, until_ms in self._unsettled_until_ms.items()
        )

    def knows_grants(self, now_ms: float) -> bool:
        """Tell whether all grants of earlier leaders have run out."""
        return now_ms >= self._opened_until_ms

    def has_ended(self, row: RangeRow, now_ms: float) -> bool:
        """Tell whether the last owner of a range surely acts on it no more."""
        if row in self._released and self.is_settled(row, now_ms):
            return True
        holder = holder_of(row)
        if any(span.holder == holder for span in self._calling):
            return False
        return now_ms >= self._until_ms.get(holder, self._opened_until_ms)

    def forget(self, rows: set[RangeRow], runs: set[UpstreamRun]) -> None:
        """Drop what is kept of ranges and upstreams that no longer exist."""
        self._released = {r: h for r, h in self._released.items() if r in rows}
        self._accepted &= rows
        self._given_up &= rows
        holders = {holder_of(row) for row in rows}
        self._until_ms = {h: t for h, t in self._until_ms.items() if h in holders}
        self._unsettled_until_ms = {
            span: until_ms
            for span, until_ms in self._unsettled_until_ms.items()
            if span.holder in holders
        }
        self._failing_since_ms = {
            run: since for run, since in self._failing_since_ms.items() if run in runs
        }


def _overlaps(span: GrantedSpan, row: RangeRow) -> bool:
    same = span.holder == holder_of(row)
    return same and span.first <= row.last and row.first <= span.last
