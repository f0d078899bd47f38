"""Sends the leader's grants and releases of key ranges to the upstreams."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

import gevent
from gevent.event import Event

from bergamotdrift.clock import Clock
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_duties import LeaderDuties
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    PartitionState,
    RangeRow,
    UpstreamRow,
)
from bergamotdrift.range_leases import (
    CALL_TIMEOUT_MS,
    HOLD_MS,
    RENEW_INTERVAL_MS,
    UpstreamRun,
    run_of,
)

# A release is answered once the work on its keys has ended.
RELEASE_TIMEOUT_MS = 1500.0
# A call without an answer is repeated after this pause.
_RETRY_MS = 100.0
_IDLE_WAIT_MS = 300.0
# The loss of the leadership is noticed within this time.
_POLL_S = 0.1


class GrantOrder(NamedTuple):
    """Grant the keys `first` to `last` under an epoch for `hold_ms`."""

    first: int
    last: int
    epoch: int
    hold_ms: int
    handover: str


class ReleaseOrder(NamedTuple):
    """Take the keys `first` to `last` back."""

    first: int
    last: int
    epoch: int


class _Grant(NamedTuple):
    """Identify a grant at one upstream."""

    first: int
    last: int
    epoch: int


class GrantResult(StrEnum):
    """Tell how an upstream answered a grant."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class UpstreamOrders(Protocol):
    """Carry orders to an upstream; a call without an answer in time is abandoned."""

    def grant(
        self, upstream: UpstreamRow, order: GrantOrder, timeout_ms: float
    ) -> GrantResult:
        """Return how the upstream answered."""
        ...

    def release(
        self, upstream: UpstreamRow, order: ReleaseOrder, timeout_ms: float
    ) -> str | None:
        """Return the state token, empty if there is none, or None without an answer."""
        ...

    def forget(self, upstream: str) -> None:
        """Close what is kept for an upstream."""
        ...


class Leader(Protocol):
    """Tell whether this replica leads."""

    def duties(self) -> LeaderDuties | None:
        """Return the duties of the term that this replica leads right now."""
        ...

    def wake(self) -> None:
        """Start the next round of commands at once."""
        ...


class RangeOrders:
    """Run one worker for each upstream that owns or releases ranges."""

    def __init__(
        self, leader: Leader, state: ControlState, clock: Clock, orders: UpstreamOrders
    ):
        self._leader = leader
        self._state = state
        self._clock = clock
        self._orders = orders
        self._duties: LeaderDuties | None = None
        self._workers: dict[UpstreamRun, _Worker] = {}
        self._greenlet: gevent.Greenlet | None = None
        self._seen_index = -1
        self._changed = Event()

    def wake(self) -> None:
        """Look at once for orders that a change calls for."""
        self._changed.set()

    def start(self) -> None:
        """Start to follow the leadership in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Send nothing more."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._stop_workers()

    def _run(self) -> None:
        while True:
            self._changed.clear()
            self._step()
            self._changed.wait(_POLL_S)

    def _step(self) -> None:
        duties = self._leader.duties()
        if duties is not self._duties:
            self._stop_workers()
            self._duties = duties
            self._seen_index = -1
        if duties is None or self._seen_index == self._state.feed_index:
            return
        self._seen_index = self._state.feed_index
        runs = {run_of(row) for row in self._state.rows.ranges.rows() if row.upstream}
        for run in self._workers.keys() - runs:
            self._workers.pop(run).stop()
            self._orders.forget(run.upstream)
        for run in runs - self._workers.keys():
            self._workers[run] = _Worker(self, duties, run)
        for worker in self._workers.values():
            worker.wake.set()

    def _stop_workers(self) -> None:
        for worker in self._workers.values():
            worker.stop()
        self._workers.clear()


class _Worker:
    """Send the orders for one run of an upstream, one at a time."""

    def __init__(self, owner: RangeOrders, duties: LeaderDuties, run: UpstreamRun):
        self._owner = owner
        self._duties = duties
        self._ranges = duties.ranges
        self._run = run
        self._due_ms: dict[_Grant, float] = {}
        self._release_due_ms: dict[_Grant, float] = {}
        self._releasing: set[_Grant] = set()
        self._lost = False
        self.wake = Event()
        self._greenlet = gevent.spawn(self._loop)

    def stop(self) -> None:
        """Stop before the next order."""
        self._greenlet.kill(block=False)

    def _loop(self) -> None:
        # The owner of the workers ends them. The lead may lapse for less time than it
        # takes the owner to notice; then the renewals must go on afterwards.
        while True:
            self.wake.clear()
            if not self._may_act():
                self.wake.wait(_POLL_S)
                continue
            self._send_due()
            wait_ms = self._next_due_ms() - self._now_ms()
            self.wake.wait(min(max(wait_ms, 5.0), _IDLE_WAIT_MS) / 1000.0)

    def _now_ms(self) -> float:
        return self._owner._clock.now_ms()

    def _may_act(self) -> bool:
        """Tell whether this replica still leads; a stalled one must send nothing."""
        return self._owner._leader.duties() is self._duties

    def _rows(self) -> Sequence[RangeRow]:
        return self._owner._state.rows.ranges_held(*self._run)

    def _next_due_ms(self) -> float:
        due_ms = [*self._due_ms.values(), *self._release_due_ms.values()]
        return min(due_ms, default=self._now_ms() + _IDLE_WAIT_MS)

    def _send_due(self) -> None:
        rows = self._rows()
        known = {_grant_of(row) for row in rows}
        self._due_ms = {g: t for g, t in self._due_ms.items() if g in known}
        self._release_due_ms = {
            g: t for g, t in self._release_due_ms.items() if g in known
        }
        upstream = self._ranges.row_of(self._run)
        if upstream is None or self._is_lost():
            return
        for row in rows:
            if row.state is PartitionState.RELEASING:
                self._start_release(upstream, row)
        for row in sorted(rows, key=_unconfirmed_first):
            is_due = self._due_ms.get(_grant_of(row), 0.0) <= self._now_ms()
            # The calls before this one take time, in which the range may change.
            if is_due and self._is_granted(row):
                self._grant(upstream, row)

    def _is_granted(self, row: RangeRow) -> bool:
        """Tell whether a range still has this owner and is not under release."""
        grant = _grant_of(row)
        return any(
            _grant_of(now) == grant and now.state is not PartitionState.RELEASING
            for now in self._rows()
        )

    def _is_lost(self) -> bool:
        lost = self._ranges.is_lost(self._run, self._now_ms())
        if lost is not self._lost:
            self._lost = lost
            log_event(
                "upstream_grants_paused" if lost else "upstream_grants_resumed",
                service=self._run.service,
                upstream=self._run.upstream,
            )
        return lost

    def _grant(self, upstream: UpstreamRow, row: RangeRow) -> None:
        leases = self._ranges.leases
        order = GrantOrder(row.first, row.last, row.epoch, HOLD_MS, row.handover)
        started_ms = self._now_ms()
        if not self._may_act():
            return
        if not leases.begin_grant(row):
            self._due_ms[_grant_of(row)] = started_ms + _RETRY_MS
            return
        result = GrantResult.NO_ANSWER
        try:
            result = self._owner._orders.grant(upstream, order, CALL_TIMEOUT_MS)
        finally:
            answered = result is not GrantResult.NO_ANSWER
            current = self._is_granted(row)
            leases.end_grant(row, answered, current, self._now_ms())
        accepted = result is GrantResult.ACCEPTED
        if accepted and row.state is PartitionState.VACANT:
            leases.note_accepted(row)
            self._owner._leader.wake()
        if _grant_of(row) not in self._due_ms or not accepted:
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
        # An upstream that has seen a higher epoch must not be asked again and again.
        pause_ms = RENEW_INTERVAL_MS
        if result is GrantResult.NO_ANSWER:
            pause_ms = _RETRY_MS
        self._due_ms[_grant_of(row)] = started_ms + pause_ms

    def _start_release(self, upstream: UpstreamRow, row: RangeRow) -> None:
        """Release in the background, since the answer waits for the running work."""
        grant = _grant_of(row)
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
            if not self._may_act():
                return
            handover = self._owner._orders.release(upstream, order, RELEASE_TIMEOUT_MS)
        finally:
            self._releasing.discard(_grant_of(row))
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
            self._release_due_ms[_grant_of(row)] = self._now_ms() + _RETRY_MS
            return
        self._ranges.leases.note_released(row, handover)
        self._owner._leader.wake()


def _grant_of(row: RangeRow) -> _Grant:
    return _Grant(row.first, row.last, row.epoch)


def _unconfirmed_first(row: RangeRow) -> tuple[bool, int]:
    return row.state is not PartitionState.VACANT, row.first
