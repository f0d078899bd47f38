"""Grants of key ranges in the replies to announcements."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from bergamotdrift.announced_leases import ANNOUNCED_HOLD_MS, AnnouncedLeases
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


class RangeReplies:
    """Grant and renew ranges in replies, and take the reports of released ones.

    The log decides what an upstream holds; what it states itself is only compared.
    """

    def __init__(self, leader: Leader, state: ControlState):
        self._leader = leader
        self._state = state

    def start(self) -> None:
        """Do nothing: announcements arrive without a request."""

    def stop(self) -> None:
        """Do nothing."""

    def wake(self) -> None:
        """Do nothing: a change is stated in the reply to the next announcement."""

    def reply(
        self, leader_state: LeaderState, item: Announcement, received_ms: float
    ) -> HeldRanges | None:
        """Return what an upstream is to hold; None if the reply must not renew it."""
        process = UpstreamProcess(item.service, item.upstream, item.incarnation)
        leases = leader_state.ranges.leases
        service = self._state.service(item.service)
        is_ranged = service is not None and service.kind is ServiceKind.RANGED
        if not is_ranged or not isinstance(leases, AnnouncedLeases):
            return None
        # A leader whose lease lapsed while the announcement was handled may have been
        # replaced by one that grants the ranges to others.
        if self._leader.leader_state() is not leader_state:
            return None
        if leader_state.ranges.upstream_row(process) is None:
            return None
        if not leases.begin_reply(process, item):
            log_event(
                "announcement_outdated",
                service=item.service,
                upstream=item.upstream,
                sequence=item.sequence,
            )
            return None
        rows = self._state.rows.ranges_owned(*process)
        self._take_releases(leases, rows, item)
        granted = self._renew(leases, rows, item, received_ms)
        return HeldRanges(granted, ANNOUNCED_HOLD_MS)

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
