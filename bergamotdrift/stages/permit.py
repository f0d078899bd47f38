"""Acquire permits for attempts from the arbiter of the upstream."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import gevent
from returns.result import Failure, Result, Success

from bergamotdrift import constants
from bergamotdrift.arbiter_client import ArbiterCall, ArbiterClient
from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
)
from bergamotdrift.attempts import AttemptRegistry, RunningAttempt
from bergamotdrift.clock import Clock
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    Refusal,
    StreamClosedError,
)
from bergamotdrift.feed_signal import FeedSignal
from bergamotdrift.feed_tables import FeedTables, PartitionId
from bergamotdrift.fence_guard import FenceGuard
from bergamotdrift.hashing import key_hash
from bergamotdrift.messages import PartitionState
from bergamotdrift.request import Permit, RoutedRequest
from bergamotdrift.shards import pool_shard, upstream_shard
from bergamotdrift.upstream_connections import UpstreamConnection

# A refusal for a stale epoch or a lost arbiter is resolved by a feed update. Without an
# update, the permit is requested again after this pause.
_RETRY_PAUSE_MS = 100
# The arbiter refuses at the deadline by itself; the margin lets that reply arrive.
_REPLY_MARGIN_MS = 50
_RETRIED_KINDS = frozenset({ErrorKind.NO_UPSTREAM, ErrorKind.ARBITER_UNREACHABLE})


class _Target(NamedTuple):
    """Identify the shard that arbitrates a request, and its partition and epoch."""

    shard: str
    partition: int = NO_PARTITION
    epoch: int = 0


class Permits(Protocol):
    """Grant permits for attempts at upstreams."""

    def acquire(
        self, routed: RoutedRequest, history: "AttemptHistory"
    ) -> Result[RunningAttempt, Refusal]:
        """Return a registered permit or the refusal."""
        ...

    def record_outcome(
        self, routed: RoutedRequest, running: RunningAttempt, fenced: bool
    ) -> None:
        """Record whether the upstream accepted the partition's epoch."""
        ...


class PermitStage:
    """Request permits from arbiters, one at a time for each request."""

    def __init__(
        self,
        tables: Callable[[], FeedTables],
        arbiters: ArbiterClient,
        registry: AttemptRegistry,
        feed: FeedSignal,
        clock: Clock,
    ):
        self._tables = tables
        self._arbiters = arbiters
        self._registry = registry
        self._feed = feed
        self._clock = clock
        self._guard = FenceGuard()

    def acquire(
        self, routed: RoutedRequest, history: "AttemptHistory"
    ) -> Result[RunningAttempt, Refusal]:
        """Return a registered permit.

        Kinds: NO_UPSTREAM, ARBITER_UNREACHABLE, QUEUE_FULL, DEADLINE_UNREACHABLE.
        """
        now_ms = self._clock.now_ms()
        end_ms = min(routed.deadline_ms, now_ms + constants.PERMIT_WAIT_MS)
        last = Refusal(ErrorKind.DEADLINE_UNREACHABLE)
        while self._clock.now_ms() < end_ms:
            result = self._request_permit(routed, history, end_ms)
            if isinstance(result, Success):
                return result
            last = result.failure()
            if last.kind not in _RETRIED_KINDS:
                return result
            # The excluded upstreams may be the only ones left, so a further
            # request allows them again.
            history.excluded.clear()
            left_ms = end_ms - self._clock.now_ms()
            self._feed.wait(min(_RETRY_PAUSE_MS, left_ms))
        return Failure(last)

    def _request_permit(
        self, routed: RoutedRequest, history: "AttemptHistory", end_ms: float
    ) -> Result[RunningAttempt, Refusal]:
        target = self._target(routed)
        if target is None:
            return Failure(Refusal(ErrorKind.NO_UPSTREAM))
        if not self._owner_may_be_ready(routed, target):
            refusal = Refusal(
                ErrorKind.NO_UPSTREAM, "the owner has no grant of the partition yet"
            )
            return Failure(refusal)
        number = history.next()
        timeout_ms = end_ms - self._clock.now_ms() + _REPLY_MARGIN_MS
        row = self._arbiters.assignment(target.shard)
        node = row.node if row is not None else ""
        resolved = False
        try:
            call = self._arbiters.call(
                target.shard,
                lambda epoch: self._permit_request(
                    routed, target, history, end_ms, epoch
                ),
                timeout_ms,
            )
            result = self._accept(routed, target, call)
            resolved = isinstance(result, Success) or isinstance(
                call.reply, PermitRefusal
            )
            return result
        except (StreamClosedError, CallError) as exc:
            return Failure(Refusal(ErrorKind.ARBITER_UNREACHABLE, str(exc)))
        except gevent.Timeout:
            return Failure(Refusal(ErrorKind.ARBITER_UNREACHABLE, "no reply"))
        finally:
            if not resolved:
                # The arbiter may have granted the permit, or may still grant it.
                cancel = PermitCancel(target.shard, routed.req.request_id, number)
                self._arbiters.send(target.shard, cancel, node)

    def record_outcome(
        self, routed: RoutedRequest, running: RunningAttempt, fenced: bool
    ) -> None:
        """Record the fencing of a partition, which holds other requests back.

        They continue once a request for the partition has run.
        """
        if not routed.is_keyed:
            return
        permit = running.permit
        partition = PartitionId(routed.service.name, permit.partition)
        if fenced:
            now_ms = self._clock.now_ms()
            self._guard.record_fenced(partition, permit.partition_epoch, now_ms)
        elif self._guard.record_accepted(partition, permit.partition_epoch):
            self._feed.notify()

    def _owner_may_be_ready(self, routed: RoutedRequest, target: _Target) -> bool:
        if target.partition == NO_PARTITION:
            return True
        partition = PartitionId(routed.service.name, target.partition)
        return self._guard.may_send(partition, target.epoch, self._clock.now_ms())

    def _permit_request(
        self,
        routed: RoutedRequest,
        target: _Target,
        history: "AttemptHistory",
        end_ms: float,
        shard_epoch: int,
    ) -> PermitRequest:
        return PermitRequest(
            routed.req.request_id,
            history.last,
            target.shard,
            shard_epoch,
            target.partition,
            target.epoch,
            key_hash(routed.routing_key) if routed.is_keyed else 0,
            routed.workspace,
            routed.route.urgent,
            max(1, int(end_ms - self._clock.now_ms())),
            list(history.excluded),
        )

    def _accept(
        self, routed: RoutedRequest, target: _Target, call: ArbiterCall
    ) -> Result[RunningAttempt, Refusal]:
        reply = call.reply
        if isinstance(reply, PermitRefusal):
            return Failure(Refusal(reply.kind, reply.detail, reply.retry_after_s))
        if not isinstance(reply, PermitGrant):
            return Failure(Refusal(ErrorKind.ARBITER_UNREACHABLE, "unexpected reply"))
        if self._arbiters.assignment(target.shard) != call.row:
            # The new arbiter has counted only the permits that this entry had reported.
            return Failure(
                Refusal(
                    ErrorKind.ARBITER_UNREACHABLE,
                    "the shard has moved to another arbiter",
                )
            )
        permit = Permit(
            target.shard,
            reply.permit,
            reply.upstream,
            reply.address,
            reply.may_keep,
            target.partition,
            reply.partition_epoch,
        )
        return Success(self._registry.add(permit, routed.workspace))

    def _target(self, routed: RoutedRequest) -> _Target | None:
        service = routed.service
        if not routed.is_keyed:
            return _Target(pool_shard(service.name))
        tables = self._tables()
        number = tables.partition_for(
            service.name, routed.routing_key, service.partitions
        )
        row = tables.partitions.get(PartitionId(service.name, number))
        if row is None or row.state is not PartitionState.OWNED:
            return None
        return _Target(upstream_shard(service.name, row.upstream), number, row.epoch)


class AttemptHistory:
    """Track the attempts of one request and the upstreams to exclude."""

    def __init__(self) -> None:
        self.last = 0
        # Connections of the attempts of which an upstream may have received data.
        self.conns: list[UpstreamConnection] = []
        # The upstream of the last attempt.
        self.upstream = ""
        self.excluded: list[str] = []
        # True if a retry was reserved from the budget before the attempt failed.
        self.retry_reserved = False

    @property
    def sent(self) -> int:
        """Return the number of attempts of which an upstream may have received data."""
        return len(self.conns)

    def next(self) -> int:
        """Advance to the next permit request and return its number."""
        self.last += 1
        return self.last
