"""Permits issued by an entry itself, within its share of each upstream's limits."""

import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import gevent
from returns.result import Failure, Result, Success

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
    PermitRelease,
)
from bergamotdrift.attempts import AttemptRegistry, RunningAttempt
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.dialect import AnswerLoad, UpstreamStatement
from bergamotdrift.direct_admission import (
    DirectAdmission,
    hold_end_ms,
    may_repeat,
    rank_of,
    route_name,
)
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.direct_selection import (
    Blocked,
    Chosen,
    DirectSelector,
    QueueWait,
    cold_start_ms,
    is_paced,
    key_of,
)
from bergamotdrift.direct_waiters import Waiter, Waiters
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.feed_tables import FeedTables, PartitionId, UpstreamId
from bergamotdrift.fence_guard import FenceGuard
from bergamotdrift.leader_pace_client import Response
from bergamotdrift.messages import KeyLoad
from bergamotdrift.request import Permit, RoutedRequest
from bergamotdrift.shards import pool_shard, upstream_shard
from bergamotdrift.stages.permit import AttemptHistory

# Capacity may free up without an event: a probe falls due, or the next second of a
# cold start begins.
_RECHECK_MS = 40.0
# Part of the remaining time that a request may be queued, so that its caller can still
# retry. Conditions that may last cause an early refusal with a longer Retry-After.
_MAX_WAIT_RATIO = {
    QueueWait.NONE: 0.0,
    QueueWait.SHORT: 0.04,
    QueueWait.LONG: 0.4,
    QueueWait.PACE: 0.4,
}
# Part of its target that a request may wait for a token of a cold upstream.
_PACE_WAIT_RATIO = 0.2
_RETRY_AFTER_S = {
    QueueWait.NONE: 0.5,
    QueueWait.SHORT: 0.5,
    QueueWait.LONG: 0.1,
    QueueWait.PACE: 0.1,
}
# An attempt is abandoned for another upstream after the larger of this multiple of the
# mean latency and this part of the remaining time.
_ATTEMPT_LIMIT_MEANS = 5.0
_ATTEMPT_LIMIT_RATIO = 0.45
_DEFAULT_ATTEMPTS = 2
MOST_URGENT_RANK = 0
_MEAN_WEIGHT = 0.05
_NO_RESPONSE = frozenset({AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED})


class DirectPermits:
    """Select an upstream for each attempt and record the result."""

    def __init__(
        self,
        tables: Callable[[], FeedTables],
        choice: DirectSelector,
        registry: AttemptRegistry,
        clock: Clock,
    ):
        self._tables = tables
        self._selector = choice
        self._registry = registry
        self._clock = clock
        self._fence_guard = FenceGuard()
        self._numbers = itertools.count(1)
        self._waiters = Waiters()
        self._route_means_ms: dict[str, float] = {}
        self._running: dict[str, RoutedRequest] = {}
        self._key_counts: Counter[tuple[str, int]] = Counter()
        self._admission = DirectAdmission(choice, random.Random())

    def acquire(
        self, routed: RoutedRequest, numbers: AttemptHistory
    ) -> Result[RunningAttempt, Refusal]:
        """Return a registered attempt, or a refusal (NO_UPSTREAM, QUEUE_FULL)."""
        if numbers.next() == 1 and routed.service.kind is ServiceKind.RANGED:
            overloaded = self._overloaded(routed)
            if overloaded is not None:
                return Failure(overloaded)
        selection = self._select(routed, numbers.excluded)
        if isinstance(selection, Chosen) and not self._waiters.has_more_urgent(routed):
            return Success(
                self._with_attempt_limit(
                    self._start(routed, selection), routed, numbers
                )
            )
        if isinstance(selection, Blocked) and self._is_hopeless(selection, routed):
            return Failure(self._refusal(routed, selection))
        return self._wait(routed, numbers)

    def _overloaded(self, routed: RoutedRequest) -> Refusal | None:
        """Count a request for a key; return its refusal if the upstream is overloaded.

        Without admission control, the most urgent requests are always sent.
        """
        now_ms = self._clock.now_ms()
        key = (routed.service.name, int(routed.routing_key))
        if self._selector.uses_admission:
            blocked, counted = self._admission.gate(routed, self._tables(), now_ms)
            if counted:
                self._key_counts[key] += counted
            return None if blocked is None else self._refusal(routed, blocked)
        self._key_counts[key] += 1
        if rank_of(routed) == MOST_URGENT_RANK:
            return None
        blocked = self._selector.overloaded(routed, self._tables(), now_ms)
        return None if blocked is None else _refusal(blocked, now_ms)

    def _refusal(
        self, routed: RoutedRequest, blocked: Blocked, held_ms: float | None = None
    ) -> Refusal:
        now_ms = self._clock.now_ms()
        if self._selector.uses_admission:
            return self._admission.refusal(routed, blocked, held_ms, now_ms)
        suffix = "" if held_ms is None else f" for {held_ms:.0f} ms"
        return _refusal(blocked, now_ms, suffix)

    def _is_hopeless(self, blocked: Blocked, routed: RoutedRequest) -> bool:
        """Return whether waiting can't help a request before its deadline."""
        free_at_ms = blocked.free_at_ms
        is_too_late = free_at_ms is not None and free_at_ms >= routed.deadline_ms
        return is_too_late or blocked.queue_wait is QueueWait.NONE

    def release(self, running: RunningAttempt, msg: PermitRelease) -> None:
        """Release a permit, record its outcome and serve waiting requests."""
        self._registry.remove(running)
        permit = running.permit
        routed = self._running.pop(permit.permit, None)
        if routed is None:
            return
        reported = running.statement.load if running.statement is not None else None
        self._selector.versions.record_end(
            permit.permit, msg.outcome, msg.latency_ms, reported
        )
        key = UpstreamId(routed.service.name, permit.upstream)
        load = self._selector.loads.get(key)
        if load is not None:
            load.in_flight = max(0, load.in_flight - 1)
            was_silent = load.own.remove(permit.permit, self._clock.now_ms())
            self._record_result(load, routed, running, msg, was_silent)
        self.notify()

    def record_outcome(
        self, routed: RoutedRequest, running: RunningAttempt, fenced: bool
    ) -> None:
        """Hold back requests for a range after one of them was fenced."""
        permit = running.permit
        if permit.partition == NO_PARTITION:
            return
        partition = PartitionId(routed.service.name, permit.partition)
        if fenced:
            now_ms = self._clock.now_ms()
            self._fence_guard.record_fenced(partition, permit.partition_epoch, now_ms)
        elif self._fence_guard.record_accepted(partition, permit.partition_epoch):
            self.notify()

    def notify(self) -> None:
        """Grant permits to queued requests where possible, the most urgent first."""
        for waiter in self._waiters_in_turn():
            if waiter.fut.ready():
                continue
            selection = self._select(waiter.routed, waiter.excluded)
            if isinstance(selection, Chosen):
                waiter.fut.set(self._start(waiter.routed, selection))
                self._waiters.record_sent(waiter)

    def _waiters_in_turn(self) -> list[Waiter]:
        if not self._selector.uses_admission:
            return self._waiters.by_arrival()
        now_ms = self._clock.now_ms()
        return self._waiters.by_deadline(
            lambda routed: self._admission.is_late(routed, now_ms)
        )

    def key_loads(self) -> list[KeyLoad]:
        """Return the request counts by key since the last call."""
        keys, self._key_counts = self._key_counts, Counter()
        return [KeyLoad(service, key, n) for (service, key), n in keys.items()]

    def _select(self, routed: RoutedRequest, excluded: list[str]) -> Chosen | Blocked:
        now_ms = self._clock.now_ms()
        selection = self._selector.select(routed, self._tables(), excluded, now_ms)
        if isinstance(selection, Chosen) and selection.key_range is not None:
            partition = PartitionId(routed.service.name, selection.key_range.first)
            if not self._fence_guard.may_send(
                partition, selection.key_range.epoch, now_ms
            ):
                return Blocked("the upstream does not know its grant yet")
        if isinstance(selection, Chosen) and self._selector.uses_admission:
            blocked = self._admission.check(routed, selection.load, now_ms)
            return selection if blocked is None else blocked
        return selection

    def _wait(
        self, routed: RoutedRequest, numbers: AttemptHistory
    ) -> Result[RunningAttempt, Refusal]:
        started_ms = self._clock.now_ms()
        waiter = self._waiters.add(routed, numbers.excluded)
        try:
            blocked = self._wait_for_permit(waiter, started_ms)
        except BaseException:
            self._release_unclaimed(waiter)
            raise
        finally:
            self._waiters.remove(waiter)
            self._selector.paces.end_wait(waiter)
        if blocked is None:
            return Success(self._with_attempt_limit(waiter.fut.get(), routed, numbers))
        held_ms = self._clock.now_ms() - started_ms
        return Failure(self._refusal(routed, blocked, held_ms))

    def _wait_for_permit(self, waiter: Waiter, started_ms: float) -> Blocked | None:
        """Wait for a permit; return None, or the reason once the wait is over."""
        while True:
            self.notify()
            if waiter.fut.ready():
                return None
            selection = self._select(waiter.routed, waiter.excluded)
            if isinstance(selection, Chosen):
                # An upstream has room, but more urgent requests go first.
                selection = Blocked("full")
            end_ms = self._wait_end_ms(waiter.routed, selection, started_ms)
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0 or self._is_hopeless(selection, waiter.routed):
                return selection
            timeout_ms = min(left_ms, _RECHECK_MS)
            if selection.cold is None:
                self._selector.paces.end_wait(waiter)
                waiter.fut.wait(timeout_ms / 1000.0)
            else:
                self._selector.paces.wait(
                    waiter, selection.cold, end_ms, waiter.rank, timeout_ms
                )

    def _wait_end_ms(
        self, routed: RoutedRequest, blocked: Blocked, started_ms: float
    ) -> float:
        """Return until when a request queued at `started_ms` may wait.

        A request with a target waits for a token only if the leader may have one by
        then.
        """
        part = _MAX_WAIT_RATIO[blocked.queue_wait]
        end_ms = started_ms + part * (routed.deadline_ms - started_ms)
        if blocked.queue_wait is QueueWait.PACE and routed.route.target_ms:
            target_end_ms = started_ms + _PACE_WAIT_RATIO * routed.route.target_ms
            end_ms = min(end_ms, target_end_ms)
            is_late = blocked.free_at_ms is not None and blocked.free_at_ms > end_ms
            return started_ms if is_late else end_ms
        if self._selector.uses_admission:
            return min(end_ms, hold_end_ms(routed, started_ms))
        return end_ms

    def _with_attempt_limit(
        self, running: RunningAttempt, routed: RoutedRequest, numbers: AttemptHistory
    ) -> RunningAttempt:
        """Set a time limit on an attempt that can be retried at another upstream."""
        is_last = numbers.sent + 1 >= (routed.route.attempts or _DEFAULT_ATTEMPTS)
        if is_last or not routed.route.idempotent:
            return running
        has_other = not routed.is_keyed and self._selector.has_alternative(
            routed.service.name, running.permit.upstream
        )
        if self._has_silence_limit(running, routed, has_other) or not has_other:
            return running
        now_ms = self._clock.now_ms()
        mean_ms = self._route_means_ms.get(route_name(routed), 0.0)
        left_ms = routed.deadline_ms - now_ms
        limit_ms = max(_ATTEMPT_LIMIT_MEANS * mean_ms, _ATTEMPT_LIMIT_RATIO * left_ms)
        if limit_ms < left_ms:
            running.attempt_deadline_ms = now_ms + limit_ms
        return running

    def _has_silence_limit(
        self, running: RunningAttempt, routed: RoutedRequest, has_other: bool
    ) -> bool:
        """Set the limit after which the upstream counts as silent; return if it is."""
        permit = running.permit
        load = self._selector.loads.get(
            UpstreamId(routed.service.name, permit.upstream)
        )
        silent_ms = None if load is None else load.own.silent_after_ms(permit.permit)
        if silent_ms is None:
            return False
        now_ms = self._clock.now_ms()
        left_ms = routed.deadline_ms - now_ms
        if not may_repeat(routed, silent_ms, left_ms, has_other):
            return False
        running.attempt_deadline_ms = now_ms + silent_ms
        return True

    def _release_unclaimed(self, waiter: Waiter) -> None:
        """Release a permit granted to a caller that has left in the meantime."""
        if waiter.fut.ready():
            running = waiter.fut.get()
            permit = running.permit
            cancelled = AttemptOutcome.CANCELLED
            msg = PermitRelease(permit.shard, permit.permit, cancelled, 0.0, False)
            gevent.spawn(self.release, running, msg)

    def _start(self, routed: RoutedRequest, selection: Chosen) -> RunningAttempt:
        load, key_range = selection
        now_ms = self._clock.now_ms()
        name = f"{next(self._numbers):x}"
        if self._selector.uses_admission:
            # The prediction counts the requests before this one.
            self._admission.record_sent(routed, load, name, now_ms)
        load.in_flight += 1
        send_by_ms = math.inf
        if is_paced(load, routed.service, now_ms):
            send_by_ms = self._selector.paces.take(key_of(load))
        if load.limit_per_s is not None:
            self._selector.statements.record_sent(load, now_ms)
        service = routed.service.name
        shard = pool_shard(service)
        if key_range is not None:
            shard = upstream_shard(service, load.row.upstream)
        permit = Permit(
            shard,
            name,
            load.row.upstream,
            load.row.address,
            True,
            NO_PARTITION if key_range is None else key_range.first,
            0 if key_range is None else key_range.epoch,
        )
        self._running[name] = routed
        self._selector.versions.record_sent(name, route_name(routed), load.row)
        running = self._registry.add(permit, routed.workspace)
        running.send_by_ms = send_by_ms
        running.on_statement = partial(
            self._record_statement, load, load.row.incarnation
        )
        return running

    def _record_statement(
        self, load: DirectLoad, incarnation: str, statement: UpstreamStatement
    ) -> None:
        """Apply what the process that the request was sent to says of itself."""
        if load.row.incarnation == incarnation:
            self._selector.statements.record(load, statement, self._clock.now_ms())

    def _record_result(
        self,
        load: DirectLoad,
        routed: RoutedRequest,
        running: RunningAttempt,
        msg: PermitRelease,
        was_silent: bool,
    ) -> None:
        now_ms = self._clock.now_ms()
        statement = running.statement
        reported = statement.load if statement is not None else None
        if reported is not None:
            load.record_load(reported, now_ms)
        if is_paced(load, routed.service, now_ms):
            self._record_pace(load, routed, reported, msg)
        # A request that was not queued says nothing of a restart, nor of the speed.
        is_ignored = was_silent and msg.outcome is AttemptOutcome.TIMEOUT
        cold_ms = 0.0 if is_ignored else cold_start_ms(routed.service)
        load.record_outcome(msg.outcome, cold_ms, now_ms)
        if msg.outcome in _NO_RESPONSE and not was_silent:
            load.record_no_response(msg.latency_ms)
        if msg.outcome is not AttemptOutcome.ANSWERED:
            return
        name = route_name(routed)
        mean = self._route_means_ms.get(name, msg.latency_ms)
        self._route_means_ms[name] = mean + _MEAN_WEIGHT * (msg.latency_ms - mean)
        load.record_busy_time(msg.latency_ms)
        self._admission.record_answer(routed, load, msg.latency_ms, now_ms)
        # Queueing time says nothing about the speed of the upstream.
        if reported is None or not reported.waiting:
            load.record_latency(msg.latency_ms, mean)

    def _record_pace(
        self,
        load: DirectLoad,
        routed: RoutedRequest,
        reported: AnswerLoad | None,
        msg: PermitRelease,
    ) -> None:
        """Tell the leader how a cold upstream responded."""
        usual_ms = self._route_means_ms.get(route_name(routed), msg.latency_ms)
        ratio = msg.latency_ms / max(1.0, usual_ms)
        waiting = reported.waiting if reported is not None else 0
        response = Response(msg.outcome, ratio, waiting, load.slots)
        self._selector.paces.record(key_of(load), response)


def _refusal(blocked: Blocked, now_ms: float, suffix: str = "") -> Refusal:
    kind = ErrorKind.QUEUE_FULL if "full" in blocked.reason else ErrorKind.NO_UPSTREAM
    retry_after_s = _RETRY_AFTER_S[blocked.queue_wait]
    if blocked.free_at_ms is not None:
        retry_after_s = max(retry_after_s, (blocked.free_at_ms - now_ms) / 1000.0)
    return Refusal(kind, blocked.reason + suffix, retry_after_s)
