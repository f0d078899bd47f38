"""Decisions of one permit shard: a pool, or one upstream of a keyed service.

The class `Arbitration` does no I/O. It reads only the clock and random source that it
is given, and every method returns the messages that the caller must deliver:

- `Reply(ticket, message)` answers the request that was passed in with `ticket`.
- `Notice(entry, message)` is a one-way message to an entry.

The caller is the arbiter's server or a simulator. Typical use::

    shard = Arbitration("pool:archive", view, clock, rng)
    outputs = shard.request(entry, permit_request, ticket)
    outputs = shard.release(entry, permit_release)
    outputs = shard.cancel(entry, permit_cancel)
    outputs = shard.drop_connections(entry, connection_dropped)
    outputs = shard.resume(entry, resume)       # after each takeover and reconnect
    outputs = shard.disconnect(entry)           # the entry's stream was lost
    outputs = shard.update(view)                # settings, rows or members changed
    outputs = shard.probed(upstream, hint)      # a load report, or None
    outputs = shard.tick()                      # about every 10 ms
    refs = shard.drained()                      # partitions to report as drained
    outputs = shard.close(kind)                 # the shard moves or the process stops

`view` is a `ShardView`. The shard grants nothing until each entry that was in the
first view's `entries` has called `resume` or has left `entries`, nor while
`may_grant()` is false.
"""

import random
from collections.abc import Callable

from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    ConnectionDropped,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Resume,
    Revoke,
)
from bergamotdrift.clock import Clock
from bergamotdrift.constants import PERMIT_WAIT_MS
from bergamotdrift.entry_reports import EntryReports
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import (
    PartitionRef,
    UpstreamRow,
)
from bergamotdrift.observations import DecayingMean, LoadHint
from bergamotdrift.outputs import Notice, Output, Reply, Ticket
from bergamotdrift.parked_requests import ParkedRequests
from bergamotdrift.partition_guard import PartitionGuard
from bergamotdrift.permit_queue import PermitQueue, Waiter, WaiterKey
from bergamotdrift.permit_table import PermitTable
from bergamotdrift.shard_view import ShardView
from bergamotdrift.takeover import EntryId, TakeoverGate
from bergamotdrift.upstream_pool import UpstreamPool

_SERVICE_TIME_SPAN_MS = 5000.0


class Arbitration:
    """Grant, queue and refuse permits of one shard; see the module docstring."""

    def __init__(
        self,
        shard: str,
        view: ShardView,
        clock: Clock,
        rng: random.Random,
        may_grant: Callable[[], bool] = lambda: True,
    ):
        self.shard = shard
        self.view = view
        self._clock = clock
        self._may_grant = may_grant
        self._gate = TakeoverGate(view.entries)
        self._queue = PermitQueue(view.service.queue_limit)
        self._partitions = PartitionGuard(view)
        self._service_time = DecayingMean(_SERVICE_TIME_SPAN_MS)
        # An arbiter that restarts under the same epoch must not reuse permit IDs.
        prefix = f"{view.epoch}-{rng.getrandbits(32):08x}"
        self.permits = PermitTable(prefix)
        self._parked = ParkedRequests(
            self._partitions, self.permits.is_partition_in_use
        )
        self.upstreams = UpstreamPool(view, rng, clock.now_ms())
        self._reports = EntryReports(self.permits, self.upstreams, view.entries)

    @property
    def queued(self) -> int:
        """Return the number of requests queued for a slot."""
        return len(self._queue)

    @property
    def is_waiting(self) -> bool:
        """Return whether any request waits, for a slot or for its partition."""
        return bool(self._queue) or bool(self._parked)

    @property
    def is_granting(self) -> bool:
        """Return whether permits may be granted now."""
        return self._gate.is_open and self._may_grant()

    @property
    def missing_entries(self) -> frozenset[EntryId]:
        """Return the entries that the takeover still awaits a report from."""
        return self._gate.missing

    def request(
        self, entry: EntryId, req: PermitRequest, ticket: Ticket
    ) -> list[Output]:
        """Grant, queue or refuse a permit request."""
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + req.deadline_ms
        expires_ms = min(deadline_ms, now_ms + PERMIT_WAIT_MS)
        waiter = Waiter(entry, req, ticket, deadline_ms, expires_ms)
        if req.shard_epoch == self.view.epoch and self._parked.park_if_needed(
            waiter, now_ms
        ):
            return []
        return self._admit(waiter, now_ms)

    def _admit(self, waiter: Waiter, now_ms: float) -> list[Output]:
        refusal = self._admission_refusal(waiter)
        if refusal is not None:
            return [Reply(waiter.ticket, refusal)]
        if (
            not self._queue
            and self.is_granting
            and self.upstreams.select(waiter, now_ms)
        ):
            return [self._grant(waiter, now_ms)]
        refusal = self._deadline_refusal(waiter.req, now_ms)
        if refusal is not None:
            return [Reply(waiter.ticket, refusal)]
        # The next tick grants slots that become available through elapsed time alone.
        dropped = self._queue.push(waiter)
        return [] if dropped is None else [_refusal(dropped, ErrorKind.QUEUE_FULL)]

    def release(self, entry: EntryId, msg: PermitRelease) -> list[Output]:
        """End a permit, record its outcome and grant queued requests."""
        permit = self.permits.remove(entry, msg.permit)
        if permit is None:
            return []
        now_ms = self._clock.now_ms()
        latency_ms = min(max(0.0, msg.latency_ms), now_ms - permit.granted_at_ms + 1e3)
        if msg.outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR}:
            self._service_time.add(latency_ms, now_ms)
        self.upstreams.end(permit, msg.kept)
        self.upstreams.record_result(permit.upstream, msg.outcome, latency_ms, now_ms)
        outputs: list[Output] = []
        if self._parked.record_result(permit, msg.outcome, now_ms):
            outputs = self._park_queued(permit.partition, now_ms)
        elif self._parked:
            outputs = self._admit_parked(now_ms)
        return outputs + self._grant_waiting(now_ms, permit.upstream)

    def cancel(self, entry: EntryId, msg: PermitCancel) -> list[Output]:
        """Cancel a request, whether it waits or was granted."""
        key = WaiterKey(entry, msg.request, msg.attempt)
        if self._parked.cancel(key):
            return []
        waiter = self._queue.find(key)
        if waiter is not None:
            self._queue.remove(waiter)
            return []
        permit = self.permits.remove_request(key)
        if permit is None:
            return []
        # The entry did not use the grant, so a reused idle connection is still idle.
        self.upstreams.end(permit, kept=permit.use.reuses)
        return self._grant_waiting(self._clock.now_ms(), permit.upstream)

    def drop_connections(self, entry: EntryId, msg: ConnectionDropped) -> list[Output]:
        """Record that an entry closed idle connections."""
        self.upstreams.remove_idle_connections(entry, msg.upstream, msg.connections)
        return self._grant_waiting(self._clock.now_ms())

    def resume(self, entry: EntryId, msg: Resume) -> list[Output]:
        """Adopt what an entry holds, and free what it lost with an earlier stream."""
        if msg.shard_epoch != self.view.epoch or entry not in self.view.entries:
            return []
        now_ms = self._clock.now_ms()
        self._reports.apply_report(entry, msg, now_ms)
        was_open = self._gate.is_open
        self._gate.report(entry)
        if self._gate.is_open and not was_open:
            self.upstreams.raise_ramps_to_adopted(now_ms)
        outputs = self._revoke_unknown_upstreams(entry)
        return outputs + self._grant_waiting(now_ms)

    def disconnect(self, entry: EntryId) -> list[Output]:
        """Drop the waiting requests of an entry; keep its permits until it reports."""
        self._drop_waiters(entry)
        self._reports.mark_disconnected(entry)
        return []

    def update(self, view: ShardView) -> list[Output]:
        """Apply changed settings, rows and members."""
        now_ms = self._clock.now_ms()
        before, self.view = self.view, view
        self._queue.configure(view.service.queue_limit)
        self._partitions.update(view)
        self._parked.on_rows_changed()
        for entry in before.entries - view.entries:
            self._drop_waiters(entry)
            self._reports.remove_entry(entry)
        self._reports.add_entries(view.entries - before.entries)
        was_open = self._gate.is_open
        self._gate.keep_members(view.entries)
        stopped = self.upstreams.update(view, self.permits, now_ms)
        if self._gate.is_open and not was_open:
            self.upstreams.raise_ramps_to_adopted(now_ms)
        outputs = self._revoke(stopped)
        outputs += self._refuse_unroutable()
        outputs += self._admit_parked(now_ms)
        return outputs + self._grant_waiting(now_ms)

    def on_load_report(self, upstream: str, hint: LoadHint | None) -> list[Output]:
        """Apply a load report of an upstream, or None if it did not answer."""
        now_ms = self._clock.now_ms()
        self.upstreams.on_load_report(upstream, hint, now_ms)
        return self._grant_waiting(now_ms)

    def tick(self) -> list[Output]:
        """Refuse expired requests and grant those that fit after elapsed time."""
        if not self._queue and not self._parked:
            return []
        now_ms = self._clock.now_ms()
        outputs: list[Output] = [
            _refusal(waiter, ErrorKind.NO_UPSTREAM)
            for waiter in self._parked.pop_expired(now_ms)
        ]
        outputs += [
            _refusal(waiter, self._expiry_kind(waiter))
            for waiter in self._queue.pop_expired(now_ms)
        ]
        outputs += self._admit_parked(now_ms)
        return outputs + self._grant_waiting(now_ms)

    def drained(self) -> list[PartitionRef]:
        """Return the releasing partitions that no running permit uses."""
        if not self.is_granting:
            return []
        return [
            ref
            for ref in self._partitions.releasing_partitions()
            if not self.permits.is_partition_in_use(ref.partition)
        ]

    def close(self, kind: ErrorKind = ErrorKind.ARBITER_UNREACHABLE) -> list[Output]:
        """Refuse all waiting requests, and grant nothing more."""
        self._may_grant = lambda: False
        waiters = self._queue.pop_matching(lambda _waiter: True)
        waiters += self._parked.pop_all()
        return [_refusal(waiter, kind) for waiter in waiters]

    def _admit_parked(self, now_ms: float) -> list[Output]:
        outputs: list[Output] = []
        while (waiter := self._parked.pop_ready(now_ms)) is not None:
            outputs += self._admit(waiter, now_ms)
        return outputs

    def _park_queued(self, partition: int, now_ms: float) -> list[Output]:
        """Move a paused partition's requests out of the queue to unblock others."""
        outputs: list[Output] = []
        for waiter in self._queue.pop_matching(lambda w: w.req.partition == partition):
            if not self._parked.park_if_needed(waiter, now_ms):
                outputs.append(_refusal(waiter, ErrorKind.NO_UPSTREAM))
        return outputs

    def _admission_refusal(self, waiter: Waiter) -> PermitRefusal | None:
        req = waiter.req
        if req.shard_epoch != self.view.epoch:
            return PermitRefusal(ErrorKind.ARBITER_UNREACHABLE, "stale shard epoch")
        if waiter.entry not in self.view.entries:
            return PermitRefusal(ErrorKind.ARBITER_UNREACHABLE, "unknown entry")
        key = waiter.key
        if self._queue.find(key) is not None or self.permits.has_request(key):
            return PermitRefusal(
                ErrorKind.CONFLICT_IN_PROGRESS, "duplicate permit request"
            )
        detail = self._partitions.refusal_reason(req)
        if detail:
            return PermitRefusal(ErrorKind.NO_UPSTREAM, detail)
        if not self.upstreams.has_open_upstream():
            return PermitRefusal(
                ErrorKind.NO_UPSTREAM, "no upstream accepts new requests"
            )
        if req.deadline_ms <= 0:
            return PermitRefusal(
                ErrorKind.DEADLINE_UNREACHABLE, "the deadline has passed"
            )
        return None

    def _deadline_refusal(
        self, req: PermitRequest, now_ms: float
    ) -> PermitRefusal | None:
        if not self.is_granting:
            return None
        wait_ms = self.expected_wait_ms(req.workspace, req.urgent, now_ms)
        if wait_ms <= req.deadline_ms:
            return None
        detail = f"the expected wait is {wait_ms:.0f} ms"
        return PermitRefusal(ErrorKind.DEADLINE_UNREACHABLE, detail)

    def expected_wait_ms(self, workspace: str, urgent: bool, now_ms: float) -> float:
        """Return the wait expected for a new request, by recent service times."""
        slots = self.upstreams.allowed_slots(now_ms)
        if slots <= 0:
            return 0.0
        ahead = self._queue.count_ahead(workspace, urgent)
        return (ahead + 1) * self._service_time.mean() / slots

    def _grant_waiting(
        self, now_ms: float, upstream: str | None = None
    ) -> list[Output]:
        """Grant queued requests while slots are free, at one upstream or at all."""
        if not self._queue or not self.is_granting:
            return []
        outputs: list[Output] = []
        while (waiter := self._serve_next(now_ms, upstream)) is not None:
            outputs.append(self._grant(waiter, now_ms))
        return outputs

    def _serve_next(self, now_ms: float, upstream: str | None) -> Waiter | None:
        candidates = self.upstreams.with_free_slots(now_ms, upstream)
        if not candidates:
            return None
        return self._queue.serve_next(
            lambda waiter: self.upstreams.select(waiter, now_ms, candidates)
        )

    def _grant(self, waiter: Waiter, now_ms: float) -> Reply:
        load = self.upstreams.selected
        assert load is not None
        use = self.upstreams.start(load, waiter.entry)
        permit = self.permits.add(waiter, load.row.upstream, use, now_ms)
        load.started_ms[permit.permit] = now_ms
        grant = PermitGrant(
            permit.permit,
            load.row.upstream,
            load.row.address,
            waiter.req.partition_epoch,
            use.may_keep,
        )
        return Reply(waiter.ticket, grant)

    def _drop_waiters(self, entry: EntryId) -> None:
        self._queue.pop_matching(lambda waiter: waiter.entry == entry)
        self._parked.drop_entry(entry)

    def _refuse_unroutable(self) -> list[Output]:
        is_open = self.upstreams.has_open_upstream()
        moved = self._queue.pop_matching(
            lambda waiter: (
                not is_open or bool(self._partitions.refusal_reason(waiter.req))
            )
        )
        return [_refusal(waiter, ErrorKind.NO_UPSTREAM) for waiter in moved]

    def _revoke(self, upstreams: set[str]) -> list[Output]:
        return [
            Notice(entry, Revoke(self.shard, upstream))
            for upstream in sorted(upstreams)
            for entry in sorted(self.permits.entries_using(upstream))
        ]

    def revoke_unlisted(self, is_listed: Callable[[UpstreamRow], bool]) -> list[Output]:
        """Revoke the permits at upstreams for which `is_listed` is false."""
        gone = {load.row.upstream for load in self.upstreams if not is_listed(load.row)}
        return self._revoke(gone)

    def _revoke_unknown_upstreams(self, entry: EntryId) -> list[Output]:
        """Revoke an entry's permits at upstreams that no longer exist."""
        gone = {
            permit.upstream
            for permit in self.permits.permits_of(entry)
            if not self.upstreams.is_known(permit.upstream)
        }
        return [Notice(entry, Revoke(self.shard, name)) for name in sorted(gone)]

    def _expiry_kind(self, waiter: Waiter) -> ErrorKind:
        if not self.is_granting:
            return ErrorKind.ARBITER_UNREACHABLE
        if waiter.deadline_ms > waiter.expires_ms:
            return ErrorKind.QUEUE_FULL
        return ErrorKind.DEADLINE_UNREACHABLE


def _refusal(waiter: Waiter, kind: ErrorKind) -> Reply:
    return Reply(waiter.ticket, PermitRefusal(kind))
