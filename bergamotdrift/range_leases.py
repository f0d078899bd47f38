"""Lease accounting for the key ranges granted to upstreams.

A grant is valid from its arrival, a time that the sender does not know. The leader
therefore counts it from the end of the call, whether the call was answered or timed
out. A call by an earlier leader may have begun just before the current leader's term,
so its grants count from the latest possible end of such a call.

An upstream may apply an unanswered grant after a later release of the same keys.
Released keys are therefore free only once every such grant has expired.
"""

from collections import Counter
from typing import NamedTuple

from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.grant_expiries import (
    Grant,
    GrantExpiries,
    grant_of,
    upstream_of,
)
from bergamotdrift.messages import RangeRow

# The keys of a lost upstream can't be reassigned for this long. A new leader must renew
# the grants of its predecessor within it.
HOLD_MS = 2000
RENEW_INTERVAL_MS = 650
# A grant call times out and its connection is reset after this time.
CALL_TIMEOUT_MS = 400.0
# The clock by which an upstream measures a hold may be slow by up to this fraction.
CLOCK_DRIFT = 0.02
# Allows for late timers on both sides.
HOLD_MARGIN_MS = 150.0
# An upstream is considered lost, and its grants are not renewed, when it has left
# grants unanswered for this long and sent no announcement in that time.
LOST_AFTER_MS = 800.0


class UpstreamProcess(NamedTuple):
    """Identify an upstream process: an upstream and its incarnation."""

    service: str
    upstream: str
    incarnation: str


def owner_process(row: RangeRow) -> UpstreamProcess:
    """Return the upstream process that owns a range."""
    return UpstreamProcess(row.service, row.upstream, row.incarnation)


class LeaseTerms(NamedTuple):
    """Hold what depends on how grants are delivered; times are in ms.

    `late_start_ms` is how long after its leader's last act a grant may begin.
    `ends_with_process` means that a grant never reaches a later process of its
    upstream.
    """

    hold_ms: float
    late_start_ms: float
    lost_after_ms: float
    ends_with_process: bool

    def max_hold_ms(self) -> float:
        """Return the longest time in ms that a grant may be valid once it began."""
        return self.hold_ms * (1 + CLOCK_DRIFT) + HOLD_MARGIN_MS


# A call goes to an address and an upstream's name, which a restarted process keeps.
CALLED_GRANTS = LeaseTerms(HOLD_MS, CALL_TIMEOUT_MS, LOST_AFTER_MS, False)


class RangeLeases:
    """Track the grants of one leader term.

    It does no I/O and reads no clock; callers pass the time.
    """

    def __init__(self, opened_at_ms: float, terms: LeaseTerms = CALLED_GRANTS):
        self._terms = terms
        self._earlier_grants_until_ms = (
            opened_at_ms + terms.late_start_ms + terms.max_hold_ms()
        )
        self._expiries = GrantExpiries()
        # Grants that may be applied after a later release of the same keys.
        self._unsettled = GrantExpiries()
        # By upstream, since a planner asks for each of up to a thousand ranges.
        self._calls_in_flight: dict[UpstreamId, Counter[Grant]] = {}
        self._released: dict[RangeRow, str] = {}
        self._accepted: set[RangeRow] = set()
        self._reassigning: set[RangeRow] = set()
        self._failing_since_ms: dict[UpstreamProcess, float] = {}

    @property
    def end_with_process(self) -> bool:
        """Return whether a grant never reaches a later process of its upstream."""
        return self._terms.ends_with_process

    def begin_grant(self, row: RangeRow) -> bool:
        """Record a grant before it is sent; return whether it may be sent."""
        if row in self._reassigning:
            return False
        calls = self._calls_in_flight.setdefault(upstream_of(row), Counter())
        calls[grant_of(row)] += 1
        return True

    def end_grant(
        self, row: RangeRow, answered: bool, unchanged: bool, now_ms: float
    ) -> None:
        """Set the expiry of a grant whose call has ended; its hold started no later.

        `unchanged` means that the range did not change during the call. A grant that
        was answered concurrently with a release may have been applied after it.
        """
        self._forget_call(upstream_of(row), grant_of(row))
        until_ms = now_ms + self._terms.max_hold_ms()
        self._expiries.record(row, until_ms, now_ms)
        if not (answered and unchanged):
            self._unsettled.record(row, until_ms, now_ms)
        process = owner_process(row)
        if answered:
            self._failing_since_ms.pop(process, None)
        else:
            self._failing_since_ms.setdefault(process, now_ms)

    def _forget_call(self, upstream: UpstreamId, grant: Grant) -> None:
        calls = self._calls_in_flight[upstream]
        calls[grant] -= 1
        if not calls[grant]:
            del calls[grant]
        if not calls:
            del self._calls_in_flight[upstream]

    def _has_call_in_flight(self, row: RangeRow) -> bool:
        calls = self._calls_in_flight.get(upstream_of(row), ())
        return any(grant.overlaps(row) for grant in calls)

    def _expires_ms(self, row: RangeRow) -> float:
        """Return when the last grant of a range's keys to its owner has expired."""
        until_ms = self._expiries.latest_ms(row)
        return until_ms if until_ms is not None else self._earlier_grants_until_ms

    def mark_reassigning(self, row: RangeRow) -> None:
        """Refuse further grants of a range whose previous grants have expired.

        The command that assigns it to another upstream may already be in the log when
        the holder responds again, before the command is applied.
        """
        self._reassigning.add(row)

    def is_reassigning(self, row: RangeRow) -> bool:
        """Return whether a range is being assigned to another upstream."""
        return row in self._reassigning

    def record_released(self, row: RangeRow, handover: str) -> None:
        """Record that the upstream released a range, with its state token."""
        self._released[row] = handover

    def record_accepted(self, row: RangeRow) -> None:
        """Record that the upstream accepted a new grant."""
        self._accepted.add(row)

    def is_accepted(self, row: RangeRow) -> bool:
        """Return whether the upstream accepted a new grant."""
        return row in self._accepted

    def handover_of(self, row: RangeRow) -> str | None:
        """Return the state token of a released range, or None if it is not released."""
        return self._released.get(row)

    def is_failing(
        self, process: UpstreamProcess, seen_ms: float, now_ms: float
    ) -> bool:
        """Return whether an upstream last seen at `seen_ms` fails to answer grants."""
        since_ms = self._failing_since_ms.get(process)
        if since_ms is None or seen_ms > since_ms:
            return False
        return now_ms - since_ms >= self._terms.lost_after_ms

    def is_settled(self, row: RangeRow, now_ms: float) -> bool:
        """Return whether a release of a range is certain to end all its grants."""
        if now_ms < self._earlier_grants_until_ms or self._has_call_in_flight(row):
            return False
        unsettled_until_ms = self._unsettled.latest_ms(row)
        return unsettled_until_ms is None or now_ms >= unsettled_until_ms

    def earlier_grants_expired(self, now_ms: float) -> bool:
        """Return whether all grants of earlier leaders have expired."""
        return now_ms >= self._earlier_grants_until_ms

    def is_told(self, row: RangeRow) -> bool:
        """Return whether the owner was told to release a range."""
        return row in self._released

    def may_release(self, owner: UpstreamProcess) -> bool:
        """Return whether the owner can be told now to release a range."""
        return True

    def ownership_ended(self, row: RangeRow, now_ms: float) -> bool:
        """Return whether the last owner of a range can no longer act on it."""
        if row in self._released and self.is_settled(row, now_ms):
            return True
        return not self._has_call_in_flight(row) and now_ms >= self._expires_ms(row)

    def retain(self, rows: set[RangeRow], processes: set[UpstreamProcess]) -> None:
        """Drop the state of ranges and upstream processes other than the given ones."""
        self._released = {r: h for r, h in self._released.items() if r in rows}
        self._accepted &= rows
        self._reassigning &= rows
        upstreams = {upstream_of(row) for row in rows}
        self._expiries.retain(upstreams)
        self._unsettled.retain(upstreams)
        self._failing_since_ms = {
            process: since
            for process, since in self._failing_since_ms.items()
            if process in processes
        }
