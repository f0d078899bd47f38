"""Lease accounting for key ranges granted in the replies to announcements.

A reply states all that an upstream is to hold, for a time that counts from when the
announcement was sent, so never later than its arrival. An upstream sends its next
announcement only after it has received or given up the last reply. A range that was
left out of one reply is therefore not granted by any earlier reply that still arrives.
"""

from typing import NamedTuple

from bergamotdrift.messages import Announcement, RangeRow
from bergamotdrift.range_leases import (
    LeaseTerms,
    RangeLeases,
    UpstreamProcess,
)

# Bears two lost announcements in a row; the third one comes in time.
ANNOUNCED_HOLD_MS = 3000
# Announcements come about once a second, and a retry at another replica takes as long.
_SILENCE_IS_LOSS_MS = 2200.0

# Assumed until two announcements of an upstream have arrived.
_USUAL_INTERVAL_MS = 900.0
_INTERVAL_WEIGHT = 0.3
# An upstream announces itself early while it releases ranges; this is no new interval.
_EARLY_MS = 300.0

# A reply reaches only the process that sent the announcement.
ANNOUNCED_GRANTS = LeaseTerms(ANNOUNCED_HOLD_MS, 0.0, _SILENCE_IS_LOSS_MS, True)


class _Arrivals(NamedTuple):
    """Hold when announcements of a process arrive."""

    last_ms: float
    interval_ms: float = _USUAL_INTERVAL_MS


def _next_arrivals(before: _Arrivals | None, now_ms: float) -> _Arrivals:
    if before is None:
        return _Arrivals(now_ms)
    passed_ms = now_ms - before.last_ms
    if not _EARLY_MS <= passed_ms <= 2 * _USUAL_INTERVAL_MS:
        return before._replace(last_ms=now_ms)
    change_ms = _INTERVAL_WEIGHT * (passed_ms - before.interval_ms)
    return _Arrivals(now_ms, before.interval_ms + change_ms)


class AnnouncedLeases(RangeLeases):
    """Track the grants of one leader term that replies to announcements renew."""

    def __init__(self, opened_at_ms: float):
        super().__init__(opened_at_ms, ANNOUNCED_GRANTS)
        self._answered_sequence: dict[UpstreamProcess, int] = {}
        # Ranges under release that a reply of this term left out, with the latest end
        # of the grants in earlier replies.
        self._left_out_until_ms: dict[RangeRow, float] = {}
        self._confirmed: set[RangeRow] = set()
        self._arrivals: dict[UpstreamProcess, _Arrivals] = {}
        # Processes whose announcement has no reply yet.
        self._waiting: set[UpstreamProcess] = set()

    def begin_reply(
        self, process: UpstreamProcess, item: Announcement, received_ms: float
    ) -> bool:
        """Return whether an announcement is newer than all that were replied to."""
        if item.sequence <= self._answered_sequence.get(process, 0):
            return False
        self._answered_sequence[process] = item.sequence
        self._waiting.add(process)
        before = self._arrivals.get(process)
        self._arrivals[process] = _next_arrivals(before, received_ms)
        return True

    def end_reply(self, process: UpstreamProcess, item: Announcement) -> bool:
        """Return whether no later announcement has arrived since `begin_reply`."""
        if item.sequence != self._answered_sequence.get(process):
            return False
        self._waiting.discard(process)
        return True

    def due_in_ms(self, process: UpstreamProcess, now_ms: float) -> float:
        """Return when a process is to announce itself next; 0 while one waits."""
        if process in self._waiting:
            return 0.0
        arrivals = self._arrivals.get(process)
        if arrivals is None:
            return _USUAL_INTERVAL_MS
        return max(0.0, arrivals.last_ms + arrivals.interval_ms - now_ms)

    def is_told(self, row: RangeRow) -> bool:
        """Return whether a reply has left out a range under release."""
        return row in self._left_out_until_ms

    def may_release(self, owner: UpstreamProcess) -> bool:
        """Return whether the reply to an announcement of the owner is due.

        A range that is put under release earlier gets no requests, although its owner
        still holds it.
        """
        return owner in self._waiting

    def renew(self, row: RangeRow, received_ms: float) -> bool:
        """Count a grant from its announcement; return whether it may be replied."""
        if not self.begin_grant(row):
            return False
        self.end_grant(row, True, True, received_ms)
        return True

    def leave_out(self, row: RangeRow) -> None:
        """Record that the reply to an announcement leaves out a range under release."""
        self._left_out_until_ms.setdefault(row, self._expires_ms(row))

    def report_released(self, row: RangeRow, handover: str) -> None:
        """Record that an upstream states in an announcement that it released a range.

        Only a range that this term has left out is certain to be released: the
        announcement may have been delayed since before a grant by an earlier leader.
        """
        self.record_released(row, handover)
        if row in self._left_out_until_ms:
            self._confirmed.add(row)

    def is_failing(
        self, process: UpstreamProcess, seen_ms: float, now_ms: float
    ) -> bool:
        """Return whether an upstream has sent no announcement for too long."""
        return now_ms - seen_ms >= self._terms.lost_after_ms

    def ownership_ended(self, row: RangeRow, now_ms: float) -> bool:
        """Return whether the last owner of a range can no longer act on it."""
        if row in self._confirmed or super().ownership_ended(row, now_ms):
            return True
        # Other ranges of the same epoch are still renewed.
        until_ms = self._left_out_until_ms.get(row)
        return until_ms is not None and now_ms >= until_ms

    def retain(self, rows: set[RangeRow], processes: set[UpstreamProcess]) -> None:
        """Drop the state of ranges and upstream processes other than the given ones."""
        super().retain(rows, processes)
        self._confirmed &= rows
        self._left_out_until_ms = {
            row: until_ms
            for row, until_ms in self._left_out_until_ms.items()
            if row in rows
        }
