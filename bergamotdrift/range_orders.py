"""Delivery of range grants and releases from the leader to the upstreams."""

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

import gevent
from gevent.event import Event

from bergamotdrift.clock import Clock
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Announcement,
    PartitionState,
    RangeRow,
    UpstreamRow,
)
from bergamotdrift.range_delivery import HeldRanges
from bergamotdrift.range_leases import (
    CALL_TIMEOUT_MS,
    HOLD_MS,
    RENEW_INTERVAL_MS,
    UpstreamProcess,
    owner_process,
)

# A release is answered only after the running requests for its keys have ended.
RELEASE_TIMEOUT_MS = 1500.0
# The first renewal of a grant comes after a random part of the interval, at least this.
# Grants that begin together would otherwise be renewed in bursts.
_FIRST_RENEWAL_MIN_PART = 0.5
# An unanswered call is retried after this delay.
_RETRY_MS = 100.0
_IDLE_WAIT_MS = 300.0
# The loss of leadership is detected within this time.
_POLL_S = 0.1


class GrantOrder(NamedTuple):
    """Grant the keys `first` to `last` at an epoch for `hold_ms`."""

    first: int
    last: int
    epoch: int
    hold_ms: int
    handover: str


class ReleaseOrder(NamedTuple):
    """Release the keys `first` to `last`."""

    first: int
    last: int
    epoch: int


class _GrantKey(NamedTuple):
    """Identify a grant to an upstream process."""

    first: int
    last: int
    epoch: int


class GrantResult(StrEnum):
    """Distinguish the results of a grant call to an upstream."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class OrderTransport(Protocol):
    """Send orders to an upstream; a call fails if it is not answered in time."""

    def grant(
        self, upstream: UpstreamRow, order: GrantOrder, timeout_ms: float
    ) -> GrantResult:
        """Send a grant and return its result."""
        ...

    def release(
        self, upstream: UpstreamRow, order: ReleaseOrder, timeout_ms: float
    ) -> str | None:
        """Return the state token, empty if there is none, or None if unanswered."""
        ...

    def disconnect(self, upstream: str) -> None:
        """Close the connections to an upstream."""
        ...


class Leader(Protocol):
    """Provide the leader state while this replica is the leader."""

    def leader_state(self) -> LeaderState | None:
        """Return the state of the term that this replica leads now, or None."""
        ...

    def open_state(self) -> LeaderState | None:
        """Return the leader state of the open term, even if the lease has lapsed."""
        ...

    def wake(self) -> None:
        """Start the next command round immediately."""
        ...


class RangeOrderSender:
    """Run one worker for each upstream process that owns or releases ranges."""

    def __init__(
        self, leader: Leader, state: ControlState, clock: Clock, orders: OrderTransport
    ):
        self._leader = leader
        self._state = state
        self._clock = clock
        self._orders = orders
        self._leader_state: LeaderState | None = None
        self._workers: dict[UpstreamProcess, _UpstreamWorker] = {}
        self._greenlet: gevent.Greenlet | None = None
        self._synced_index = -1
        self._changed = Event()

    def wake(self) -> None:
        """Check immediately for orders that a change requires."""
        self._changed.set()

    def reply(
        self, leader_state: LeaderState, item: Announcement, received_ms: float
    ) -> HeldRanges | None:
        """Return None: upstreams hold what they are called with."""
        return None

    def start(self) -> None:
        """Start the background loop that follows the leadership."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop sending orders."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._stop_workers()

    def _run(self) -> None:
        while True:
            self._changed.clear()
            self._sync_workers()
            self._changed.wait(_POLL_S)

    def _sync_workers(self) -> None:
        leader_state = self._leader.open_state()
        if leader_state is not self._leader_state:
            self._stop_workers()
            self._leader_state = leader_state
            self._synced_index = -1
        if leader_state is None or self._synced_index == self._state.feed_index:
            return
        self._synced_index = self._state.feed_index
        processes = {
            owner_process(row) for row in self._state.rows.ranges.rows() if row.upstream
        }
        for process in self._workers.keys() - processes:
            self._workers.pop(process).stop()
            self._orders.disconnect(process.upstream)
        for process in processes - self._workers.keys():
            self._workers[process] = _UpstreamWorker(self, leader_state, process)
        for worker in self._workers.values():
            worker.wake.set()

    def _stop_workers(self) -> None:
        for worker in self._workers.values():
            worker.stop()
        self._workers.clear()


class _UpstreamWorker:
    """Send the orders for one upstream process.

    Grants are sent one at a time, releases concurrently.
    """

    def __init__(
        self,
        owner: RangeOrderSender,
        leader_state: LeaderState,
        process: UpstreamProcess,
    ):
        self._owner = owner
        self._leader_state = leader_state
        self._ranges = leader_state.ranges
        self._process = process
        self._grant_due_ms: dict[_GrantKey, float] = {}
        self._release_due_ms: dict[_GrantKey, float] = {}
        self._releasing: set[_GrantKey] = set()
        self._was_lost = False
        self.wake = Event()
        self._greenlet = gevent.spawn(self._loop)

    def stop(self) -> None:
        """Stop without waiting for a call in progress."""
        self._greenlet.kill(block=False)

    def _loop(self) -> None:
        # Only the owner stops its workers. A lapse of the leader's lease must not end
        # the renewals.
        while True:
            self.wake.clear()
            if not self._is_leading():
                self.wake.wait(_POLL_S)
                continue
            self._send_due()
            wait_ms = self._next_due_ms() - self._now_ms()
            self.wake.wait(min(max(wait_ms, 5.0), _IDLE_WAIT_MS) / 1000.0)

    def _now_ms(self) -> float:
        return self._owner._clock.now_ms()

    def _is_leading(self) -> bool:
        """Return whether this replica still leads; a stalled one must send nothing."""
        return self._owner._leader.leader_state() is self._leader_state

    def _rows(self) -> Sequence[RangeRow]:
        return self._owner._state.rows.ranges_owned(*self._process)

    def _next_due_ms(self) -> float:
        due_ms = [*self._grant_due_ms.values(), *self._release_due_ms.values()]
        return min(due_ms, default=self._now_ms() + _IDLE_WAIT_MS)

    def _send_due(self) -> None:
        rows = self._rows()
        known = {_grant_key(row) for row in rows}
        self._grant_due_ms = {g: t for g, t in self._grant_due_ms.items() if g in known}
        self._release_due_ms = {
            g: t for g, t in self._release_due_ms.items() if g in known
        }
        upstream = self._ranges.upstream_row(self._process)
        if upstream is None or self._is_lost():
            return
        for row in rows:
            if row.state is PartitionState.RELEASING:
                self._start_release(upstream, row)
        for row in sorted(rows, key=_grant_sort_key):
            is_due = self._grant_due_ms.get(_grant_key(row), 0.0) <= self._now_ms()
            # The range may have changed during the preceding calls.
            if is_due and self._is_still_granted(row):
                self._grant(upstream, row)

    def _is_still_granted(self, row: RangeRow) -> bool:
        """Return whether a range still has this owner and is not being released."""
        grant = _grant_key(row)
        return any(
            _grant_key(now) == grant and now.state is not PartitionState.RELEASING
            for now in self._rows()
        )

    def _is_lost(self) -> bool:
        lost = self._ranges.is_lost(self._process, self._now_ms())
        if lost is not self._was_lost:
            self._was_lost = lost
            log_event(
                "upstream_grants_paused" if lost else "upstream_grants_resumed",
                service=self._process.service,
                upstream=self._process.upstream,
            )
        return lost

    def _grant(self, upstream: UpstreamRow, row: RangeRow) -> None:
        leases = self._ranges.leases
        order = GrantOrder(row.first, row.last, row.epoch, HOLD_MS, row.handover)
        started_ms = self._now_ms()
        if not self._is_leading():
            return
        if not leases.begin_grant(row):
            self._grant_due_ms[_grant_key(row)] = started_ms + _RETRY_MS
            return
        result = GrantResult.NO_ANSWER
        try:
            result = self._owner._orders.grant(upstream, order, CALL_TIMEOUT_MS)
        finally:
            answered = result is not GrantResult.NO_ANSWER
            unchanged = self._is_still_granted(row)
            leases.end_grant(row, answered, unchanged, self._now_ms())
        accepted = result is GrantResult.ACCEPTED
        is_first = _grant_key(row) not in self._grant_due_ms
        if accepted and row.state is PartitionState.VACANT:
            leases.record_accepted(row)
            self._owner._leader.wake()
        if is_first or not accepted:
            log_event(
                "range_granted" if accepted else "range_grant_failed",
                service=row.service,
                upstream=row.upstream,
                first=row.first,
                last=row.last,
                epoch=row.epoch,
                result=result.value,
                took_ms=round(self._now_ms() - started_ms),
            )
        # Avoids a tight retry loop against an upstream that has seen a higher epoch.
        delay_ms: float = RENEW_INTERVAL_MS
        if result is GrantResult.NO_ANSWER:
            delay_ms = _RETRY_MS
        elif accepted and is_first:
            delay_ms *= random.uniform(_FIRST_RENEWAL_MIN_PART, 1.0)
        self._grant_due_ms[_grant_key(row)] = started_ms + delay_ms

    def _start_release(self, upstream: UpstreamRow, row: RangeRow) -> None:
        """Release in the background, since the reply waits for running requests."""
        grant = _grant_key(row)
        if grant in self._releasing or self._ranges.leases.handover_of(row) is not None:
            return
        if self._release_due_ms.get(grant, 0.0) > self._now_ms():
            return
        self._releasing.add(grant)
        gevent.spawn(self._release, upstream, row)

    def _release(self, upstream: UpstreamRow, row: RangeRow) -> None:
        order = ReleaseOrder(row.first, row.last, row.epoch)
        started_ms = self._now_ms()
        try:
            if not self._is_leading():
                return
            handover = self._owner._orders.release(upstream, order, RELEASE_TIMEOUT_MS)
        finally:
            self._releasing.discard(_grant_key(row))
        log_event(
            "range_released" if handover is not None else "range_release_failed",
            service=row.service,
            upstream=row.upstream,
            first=row.first,
            last=row.last,
            epoch=row.epoch,
            took_ms=round(self._now_ms() - started_ms),
        )
        if handover is None:
            self._release_due_ms[_grant_key(row)] = self._now_ms() + _RETRY_MS
            return
        self._ranges.leases.record_released(row, handover)
        self._owner._leader.wake()


def _grant_key(row: RangeRow) -> _GrantKey:
    return _GrantKey(row.first, row.last, row.epoch)


def _grant_sort_key(row: RangeRow) -> tuple[bool, int]:
    return row.state is not PartitionState.VACANT, row.first
