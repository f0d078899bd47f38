"""Permits that an entry gives itself, within its share of each upstream's bounds."""

import itertools
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from returns.result import Failure, Result, Success

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
    PermitRelease,
)
from bergamotdrift.attempts import AttemptRegistry, RunningAttempt
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.direct_selection import (
    Blocked,
    Chosen,
    DirectChoice,
    Patience,
    cold_ms,
)
from bergamotdrift.exceptions import ErrorKind, Refusal
from bergamotdrift.fence_guard import FenceGuard
from bergamotdrift.messages import KeyLoad
from bergamotdrift.request import Permit, RoutedRequest
from bergamotdrift.shards import pool_shard, upstream_shard
from bergamotdrift.stages.permit import AttemptNumbers
from bergamotdrift.tables import PartitionId, Tables, UpstreamId

# Time alone may make room: a probe that is due, or the next second of a cold start.
_RECHECK_MS = 40.0
# A request that can't be sent is refused while its caller has time to come back: soon
# where the obstacle may last, with a later time to come back.
_WAIT_RATIO = {Patience.NONE: 0.0, Patience.SHORT: 0.04, Patience.LONG: 0.4}
_RETRY_AFTER_S = {Patience.NONE: 0.5, Patience.SHORT: 0.5, Patience.LONG: 0.1}
# An attempt without an answer for this many times the mean, and this part of the time
# that is left, is given up for one at another upstream.
_ATTEMPT_MEANS = 5.0
_ATTEMPT_RATIO = 0.45
_ATTEMPTS_USUAL = 2
_MEAN_STEP = 0.05
_UNANSWERED = frozenset({AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED})


class _Waiter:
    """Hold a request that waits, in the order of rank and arrival."""

    def __init__(self, rank: int, number: int, routed: RoutedRequest, excluded):
        self.order = (rank, number)
        self.routed = routed
        self.excluded = excluded
        self.fut: AsyncResult = AsyncResult()


class DirectPermits:
    """Choose an upstream for each attempt, and learn from how it ended."""

    def __init__(
        self,
        tables: Callable[[], Tables],
        choice: DirectChoice,
        registry: AttemptRegistry,
        clock: Clock,
    ):
        self._tables = tables
        self._choice = choice
        self._registry = registry
        self._clock = clock
        self._guard = FenceGuard()
        self._numbers = itertools.count(1)
        self._waiters: list[_Waiter] = []
        self._means_ms: dict[str, float] = {}
        self._running: dict[str, RoutedRequest] = {}
        self._keys: Counter[tuple[str, int]] = Counter()

    def acquire(
        self, routed: RoutedRequest, numbers: AttemptNumbers
    ) -> Result[RunningAttempt, Refusal]:
        """Return a registered permit (NO_UPSTREAM, QUEUE_FULL)."""
        if numbers.next() == 1 and routed.service.kind is ServiceKind.RANGED:
            self._keys[routed.service.name, int(routed.routing_key)] += 1
        found = self._try(routed, numbers.excluded)
        if isinstance(found, Chosen) and not self._is_behind(routed):
            return Success(self._limited(self._start(routed, found), routed, numbers))
        if isinstance(found, Blocked) and found.patience is Patience.NONE:
            return Failure(_refusal(found))
        return self._wait(routed, numbers)

    def release(self, running: RunningAttempt, msg: PermitRelease) -> None:
        """End a permit, learn from its outcome and let others run."""
        self._registry.remove(running)
        permit = running.permit
        routed = self._running.pop(permit.permit, None)
        if routed is None:
            return
        key = UpstreamId(routed.service.name, permit.upstream)
        load = self._choice.loads.get(key)
        if load is not None:
            load.in_flight = max(0, load.in_flight - 1)
            self._learn(load, routed, running, msg)
        self.notify()

    def note_outcome(
        self, routed: RoutedRequest, running: RunningAttempt, fenced: bool
    ) -> None:
        """Hold other requests for a range back after a fenced one."""
        permit = running.permit
        if permit.partition == NO_PARTITION:
            return
        held = PartitionId(routed.service.name, permit.partition)
        if fenced:
            now_ms = self._clock.now_ms()
            self._guard.note_fenced(held, permit.partition_epoch, now_ms)
        elif self._guard.note_run(held, permit.partition_epoch):
            self.notify()

    def notify(self) -> None:
        """Let the waiting requests run that can, the most urgent first."""
        for waiter in sorted(self._waiters, key=lambda w: w.order):
            if waiter.fut.ready():
                continue
            found = self._try(waiter.routed, waiter.excluded)
            if isinstance(found, Chosen):
                waiter.fut.set(self._start(waiter.routed, found))

    def key_loads(self) -> list[KeyLoad]:
        """Return the requests by key since the last call."""
        keys, self._keys = self._keys, Counter()
        return [KeyLoad(service, key, n) for (service, key), n in keys.items()]

    def _is_behind(self, routed: RoutedRequest) -> bool:
        """Tell whether a more urgent request waits for the same service."""
        rank = rank_of(routed)
        return any(
            w.order[0] < rank and w.routed.service.name == routed.service.name
            for w in self._waiters
            if not w.fut.ready()
        )

    def _try(self, routed: RoutedRequest, excluded: list[str]) -> Chosen | Blocked:
        now_ms = self._clock.now_ms()
        found = self._choice.choose(routed, self._tables(), excluded, now_ms)
        if isinstance(found, Chosen) and found.held is not None:
            held = PartitionId(routed.service.name, found.held.first)
            if not self._guard.may_try(held, found.held.epoch, now_ms):
                return Blocked("the upstream does not know its grant yet")
        return found

    def _wait(
        self, routed: RoutedRequest, numbers: AttemptNumbers
    ) -> Result[RunningAttempt, Refusal]:
        started_ms = self._clock.now_ms()
        waiter = _Waiter(rank_of(routed), next(self._numbers), routed, numbers.excluded)
        self._waiters.append(waiter)
        try:
            blocked = self._await_turn(waiter, started_ms)
        except BaseException:
            self._give_back(waiter)
            raise
        finally:
            self._waiters.remove(waiter)
        if blocked is None:
            return Success(self._limited(waiter.fut.get(), routed, numbers))
        waited_ms = self._clock.now_ms() - started_ms
        return Failure(_refusal(blocked, f" for {waited_ms:.0f} ms"))

    def _await_turn(self, waiter: _Waiter, started_ms: float) -> Blocked | None:
        """Wait until the waiter has a permit, or return why it should give up."""
        while True:
            self.notify()
            if waiter.fut.ready():
                return None
            found = self._try(waiter.routed, waiter.excluded)
            if isinstance(found, Chosen):
                # A more urgent request took its turn before.
                found = Blocked("full")
            end_ms = _wait_end_ms(waiter.routed, found.patience, started_ms)
            left_ms = end_ms - self._clock.now_ms()
            if left_ms <= 0:
                return found
            waiter.fut.wait(min(left_ms, _RECHECK_MS) / 1000.0)

    def _limited(
        self, running: RunningAttempt, routed: RoutedRequest, numbers: AttemptNumbers
    ) -> RunningAttempt:
        """Bound an attempt that can be made again elsewhere if it gets no answer."""
        is_last = numbers.sent + 1 >= (routed.route.attempts or _ATTEMPTS_USUAL)
        if is_last or routed.is_keyed or not routed.route.idempotent:
            return running
        if not self._choice.has_other(routed.service.name, running.permit.upstream):
            return running
        now_ms = self._clock.now_ms()
        mean_ms = self._means_ms.get(_name_of(routed), 0.0)
        left_ms = routed.deadline_ms - now_ms
        limit_ms = max(_ATTEMPT_MEANS * mean_ms, _ATTEMPT_RATIO * left_ms)
        if limit_ms < left_ms:
            running.limit_ms = now_ms + limit_ms
        return running

    def _give_back(self, waiter: _Waiter) -> None:
        """Return a permit that was given to a caller who left meanwhile."""
        if waiter.fut.ready():
            running = waiter.fut.get()
            permit = running.permit
            cancelled = AttemptOutcome.CANCELLED
            msg = PermitRelease(permit.shard, permit.permit, cancelled, 0.0, False)
            gevent.spawn(self.release, running, msg)

    def _start(self, routed: RoutedRequest, chosen: Chosen) -> RunningAttempt:
        load, held = chosen
        now_ms = self._clock.now_ms()
        load.in_flight += 1
        if load.is_cold(now_ms):
            self._choice.cold.note_sent(load.row.upstream, now_ms)
        service = routed.service.name
        name = f"{next(self._numbers):x}"
        shard = pool_shard(service)
        if held is not None:
            shard = upstream_shard(service, load.row.upstream)
        permit = Permit(
            shard,
            name,
            load.row.upstream,
            load.row.address,
            True,
            NO_PARTITION if held is None else held.first,
            0 if held is None else held.epoch,
        )
        self._running[name] = routed
        return self._registry.add(permit, routed.workspace)

    def _learn(
        self,
        load: DirectLoad,
        routed: RoutedRequest,
        running: RunningAttempt,
        msg: PermitRelease,
    ) -> None:
        now_ms = self._clock.now_ms()
        if running.load is not None:
            load.note_load(running.load, now_ms)
        load.note_outcome(msg.outcome, cold_ms(routed.service), now_ms)
        if msg.outcome in _UNANSWERED:
            load.note_unanswered(msg.latency_ms)
        if msg.outcome is not AttemptOutcome.ANSWERED:
            return
        name = _name_of(routed)
        mean = self._means_ms.get(name, msg.latency_ms)
        self._means_ms[name] = mean + _MEAN_STEP * (msg.latency_ms - mean)
        load.note_busy(msg.latency_ms)
        # Time in the upstream's queue says nothing about its speed.
        if running.load is None or not running.load.waiting:
            load.note_speed(msg.latency_ms, mean)


def rank_of(routed: RoutedRequest) -> int:
    """Return the rank of a request; 0 is the most urgent."""
    if routed.rank is not None:
        return routed.rank
    return routed.route.rank


def _name_of(routed: RoutedRequest) -> str:
    return routed.route.name or routed.route.path


def _wait_end_ms(routed: RoutedRequest, patience: Patience, started_ms: float) -> float:
    """Return until when a request may wait that has waited since `started_ms`."""
    return started_ms + _WAIT_RATIO[patience] * (routed.deadline_ms - started_ms)


def _refusal(blocked: Blocked, suffix: str = "") -> Refusal:
    kind = ErrorKind.QUEUE_FULL if "full" in blocked.reason else ErrorKind.NO_UPSTREAM
    return Refusal(kind, blocked.reason + suffix, _RETRY_AFTER_S[blocked.patience])
