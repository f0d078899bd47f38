"""Grants of key ranges in the replies to announcements."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

import gevent

from bergamotdrift.announced_leases import ANNOUNCED_HOLD_MS, AnnouncedLeases
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Announcement,
    HeldRange,
    PartitionState,
    RangeRow,
    ReleasedRange,
)
from bergamotdrift.range_delivery import HeldRanges, RangeGrant
from bergamotdrift.range_leases import UpstreamProcess

# A reply waits at most this long for a range that is about to move. Upstreams count an
# announcement only if it is answered within a second.
REPLY_WAIT_MAX_MS = 450.0
_POLL_INTERVAL_S = 0.005
# Upstreams ignore a reply above 4 KiB, and a grant with a state token takes about 45
# bytes. The ranges above this number are not renewed until others were merged.
GRANTS_PER_REPLY_MAX = 80


class Leader(Protocol):
    """Provide the leader state while this replica is the leader."""

    def leader_state(self) -> LeaderState | None:
        """Return the state of the term that this replica leads now, or None."""
        ...

    def wake(self) -> None:
        """Start the next command round immediately."""
        ...


class PendingReply(NamedTuple):
    """Hold an announcement that has no reply yet."""

    leader_state: LeaderState
    leases: AnnouncedLeases
    process: UpstreamProcess
    item: Announcement
    received_ms: float

    def must_wait(self, now_ms: float) -> bool:
        """Return whether a range is about to move from or to the upstream."""
        left_ms = self.received_ms + REPLY_WAIT_MAX_MS - now_ms
        if left_ms <= 0.0:
            return False
        ranges = self.leader_state.ranges
        if ranges.has_untold_release(self.process):
            return False
        if ranges.must_release(self.process, now_ms):
            return True
        return any(
            self.leases.due_in_ms(owner, now_ms) <= left_ms
            for owner in ranges.owners_before(self.process)
        )


class RangeReplies:
    """Grant and renew ranges in replies, and take the reports of released ones.

    The log decides what an upstream holds; what it states itself is only compared.
    """

    def __init__(self, leader: Leader, state: ControlState, clock: Clock):
        self._leader = leader
        self._state = state
        self._clock = clock

    def start(self) -> None:
        """Do nothing: announcements arrive without a request."""

    def stop(self) -> None:
        """Do nothing."""

    def wake(self) -> None:
        """Do nothing: a change is stated in the reply to the next announcement."""

    def reply(
        self, leader_state: LeaderState, item: Announcement, received_ms: float
    ) -> HeldRanges | None:
        """Return what an upstream is to hold; None if the reply must not renew it.

        The reply waits for a short time if a range is about to move from or to it.
        """
        pending = self.open(leader_state, item, received_ms)
        if pending is None:
            return None
        while pending.must_wait(self._clock.now_ms()):
            gevent.sleep(_POLL_INTERVAL_S)
        return self.close(pending)

    def open(
        self, leader_state: LeaderState, item: Announcement, received_ms: float
    ) -> PendingReply | None:
        """Take what an announcement states, or return None if it renews nothing."""
        process = UpstreamProcess(item.service, item.upstream, item.incarnation)
        leases = leader_state.ranges.leases
        service = self._state.service(item.service)
        is_ranged = service is not None and service.kind is ServiceKind.RANGED
        if not is_ranged or not isinstance(leases, AnnouncedLeases):
            return None
        pending = PendingReply(leader_state, leases, process, item, received_ms)
        if not self._may_reply(leader_state, process):
            return None
        if not leases.begin_reply(process, item, received_ms):
            log_event(
                "announcement_outdated",
                service=item.service,
                upstream=item.upstream,
                sequence=item.sequence,
            )
            return None
        rows = self._state.rows.ranges_owned(*process)
        self._take_releases(leases, rows, item)
        if pending.must_wait(received_ms):
            self._leader.wake()
        return pending

    def close(self, pending: PendingReply) -> HeldRanges | None:
        """Return what the upstream is to hold now, or None if it must not be renewed.

        A leader whose lease lapsed while the announcement was handled may have been
        replaced by one that grants the ranges to others.
        """
        is_latest = pending.leases.end_reply(pending.process, pending.item)
        if not is_latest or not self._may_reply(pending.leader_state, pending.process):
            return None
        rows = self._state.rows.ranges_owned(*pending.process)
        granted = self._renew(pending.leases, rows, pending.item, pending.received_ms)
        return HeldRanges(granted, ANNOUNCED_HOLD_MS)

    def _may_reply(self, leader_state: LeaderState, process: UpstreamProcess) -> bool:
        """Return whether this replica leads and the process is the registered one."""
        if self._leader.leader_state() is not leader_state:
            return False
        return leader_state.ranges.upstream_row(process) is not None

    def _take_releases(
        self, leases: AnnouncedLeases, rows: Sequence[RangeRow], item: Announcement
    ) -> None:
        for row in rows:
            if row.state is not PartitionState.RELEASING:
                continue
            handover = _handover_of(row, item.released_ranges)
            if handover is None or leases.handover_of(row) is not None:
                continue
            leases.report_released(row, handover)
            _log_range("range_released", row, sequence=item.sequence)
            self._leader.wake()

    def _renew(
        self,
        leases: AnnouncedLeases,
        rows: Sequence[RangeRow],
        item: Announcement,
        received_ms: float,
    ) -> list[RangeGrant]:
        grants: list[RangeGrant] = []
        releasing = [row for row in rows if row.state is PartitionState.RELEASING]
        # Before the others are renewed, since leases end by epoch.
        for row in releasing:
            leases.leave_out(row)
        for row in rows:
            if row.state is PartitionState.RELEASING:
                continue
            held = _is_held(row, item.held_ranges)
            if not held:
                _log_later_epoch(row, item.held_ranges)
            grant = RangeGrant(
                row.first, row.last, row.epoch, "" if held else row.handover
            )
            joins = bool(grants) and _may_join(grants[-1], grant)
            if not joins and len(grants) == GRANTS_PER_REPLY_MAX:
                _log_range("range_not_renewed", row, ranges=len(rows))
                continue
            if not leases.renew(row, received_ms):
                continue
            if joins:
                # One grant of adjacent keys takes fewer bytes.
                grants[-1] = grants[-1]._replace(last=row.last)
            else:
                grants.append(grant)
            if row.state is PartitionState.VACANT:
                self._accept(leases, row, item)
        return grants

    def _accept(
        self, leases: AnnouncedLeases, row: RangeRow, item: Announcement
    ) -> None:
        # The next announcement, which shows that the grant arrived, comes only after a
        # second. Meanwhile an upstream that missed it rejects requests as not run.
        if not leases.is_accepted(row):
            leases.record_accepted(row)
            _log_range("range_granted", row, sequence=item.sequence)
            self._leader.wake()


def _handover_of(row: RangeRow, released: Sequence[ReleasedRange]) -> str | None:
    """Return the state token of a range, or None unless all its keys were released.

    Of several tokens, that of the most keys is returned.
    """
    spans = sorted(r for r in released if r.first <= row.last and row.first <= r.last)
    next_key = row.first
    for span in spans:
        if span.first > next_key:
            return None
        next_key = max(next_key, span.last + 1)
    if next_key <= row.last:
        return None
    largest = max(spans, key=lambda s: min(s.last, row.last) - max(s.first, row.first))
    return largest.handover


def _is_held(row: RangeRow, held: Iterable[HeldRange]) -> bool:
    """Return whether an upstream states that it holds all keys of a range."""
    return any(
        item.epoch == row.epoch and item.first <= row.first and row.last <= item.last
        for item in held
    )


def _may_join(before: RangeGrant, after: RangeGrant) -> bool:
    return (
        before.last + 1 == after.first
        and before.epoch == after.epoch
        and before.handover == after.handover
    )


def _log_later_epoch(row: RangeRow, held: Iterable[HeldRange]) -> None:
    """Log that an upstream holds keys of a range at an epoch that the log lacks."""
    for item in held:
        if item.epoch > row.epoch and item.first <= row.last and row.first <= item.last:
            _log_range("range_held_at_later_epoch", row, held_epoch=item.epoch)


def _log_range(event: str, row: RangeRow, **fields: int) -> None:
    log_event(
        event,
        service=row.service,
        upstream=row.upstream,
        first=row.first,
        last=row.last,
        epoch=row.epoch,
        **fields,
    )
