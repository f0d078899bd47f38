"""Simulated entries that run the product's decision code."""

from collections import deque
from typing import NamedTuple

from bergamotdrift import constants
from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
    KeptConnections,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Resume,
    Revoke,
    RunningPermit,
    TokenGrant,
    TokenRequest,
    TokenReturn,
    TokensSpent,
)
from bergamotdrift.config.schema import ServiceKind, ServiceSettings, WorkspaceSettings
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.feed_tables import PartitionId
from bergamotdrift.fence_guard import FenceGuard
from bergamotdrift.hashing import key_hash
from bergamotdrift.messages import (
    FeedUpdate,
    Message,
    PartitionState,
    ShardRow,
)
from bergamotdrift.retry_policy import RetryBudget
from bergamotdrift.shard_view import is_workspace_shard, parse_permit_shard
from bergamotdrift.shards import pool_shard, upstream_shard, workspace_shard
from bergamotdrift.token_cache import TokenCache, TokenLease, spent_window_ms
from scripts.measure_attempts import IdleConnections, Job, send
from scripts.measure_cluster import Cluster, Node
from scripts.measure_loop import EventLoop
from scripts.measure_report import RunStats
from scripts.measure_sites import ENTRIES, Request, Site
from scripts.measure_upstreams import Fleet

# Same delays as in token_client, stages/permit and pipeline, whose code waits in
# greenlets and can't run in the simulation.
_TOKEN_RETRY_DELAY_MS = 20.0
_TOKEN_WAIT_MS = constants.TOKEN_LEASE_MS
_PERMIT_RETRY_DELAY_MS = 100.0
_KEYED_RETRY_DELAY_MS = 50.0
_RETRIABLE = frozenset({ErrorKind.NO_UPSTREAM, ErrorKind.ARBITER_UNREACHABLE})


class _Target(NamedTuple):
    shard: str
    partition: int = NO_PARTITION
    epoch: int = 0


class _WorkspaceTokens:
    """Lease rate tokens of one workspace for one entry and queue requests for them."""

    def __init__(self, entry: "Entry", limits: WorkspaceSettings):
        self._entry = entry
        self._name = limits.name
        self._token_interval_ms = 1000.0 / limits.rate_per_s
        self._window_ms = spent_window_ms(limits) or 0
        self._shard = workspace_shard(limits.name)
        self._cache = TokenCache()
        self._waiting: deque[Job] = deque()
        self._fetching = False

    def acquire(self, job: Job) -> None:
        """Admit a request with a cached token, or queue it for one."""
        if not self._waiting and self._cache.take(self._entry.loop.now_ms):
            self._entry.on_admitted(job)
            return
        self._waiting.append(job)
        if not self._fetching:
            self._fetching = True
            self._fetch()

    def return_expired(self) -> None:
        """Return tokens whose leases have expired to the arbiter."""
        for lease in self._cache.pop_expired(self._entry.loop.now_ms):
            msg = TokenReturn(self._name, lease.shard_epoch, lease.tokens)
            self._entry.cluster.send(self._entry.node, self._shard, msg)

    def spent(self) -> TokensSpent:
        """Return the recent use of tokens, for a new arbiter."""
        return self._cache.spent(self._window_ms, self._entry.loop.now_ms)

    def _fetch(self) -> None:
        self._admit_waiting()
        if not self._waiting:
            self._fetching = False
            return
        now_ms = self._entry.loop.now_ms
        cluster = self._entry.cluster
        row = cluster.tables.shards.get(self._shard)
        epoch = row.epoch if row is not None else 0
        wanted = self._cache.wanted(now_ms, len(self._waiting))
        msg = TokenRequest(self._name, epoch, wanted)

        def on_reply(reply: Message) -> None:
            self._handle_reply(reply, now_ms, epoch)

        cluster.call(self._entry.node, self._shard, msg, on_reply)

    def _handle_reply(self, reply: Message, sent_ms: float, epoch: int) -> None:
        loop = self._entry.loop
        self._reject_past_deadline()
        row = self._entry.cluster.tables.shards.get(self._shard)
        has_moved = row is None or row.epoch != epoch
        if has_moved or not isinstance(reply, TokenGrant):
            loop.call_later(_TOKEN_RETRY_DELAY_MS, self._fetch)
            return
        end_ms = sent_ms + min(reply.lease_ms, constants.TOKEN_LEASE_MS)
        self._cache.add(TokenLease(reply.tokens, end_ms, epoch))
        self._admit_waiting()
        self._reject_over_rate(reply.retry_after_ms)
        pause_ms = max(1.0, min(reply.retry_after_ms, _TOKEN_WAIT_MS))
        loop.call_later(pause_ms if self._waiting else 0.0, self._fetch)

    def _admit_waiting(self) -> None:
        while self._waiting and self._cache.take(self._entry.loop.now_ms):
            self._entry.on_admitted(self._waiting.popleft())

    def _reject_past_deadline(self) -> None:
        remaining: deque[Job] = deque()
        for job in self._waiting:
            if job.remaining_ms > 0:
                remaining.append(job)
            else:
                job.reject(ErrorKind.DEADLINE_UNREACHABLE)
        self._waiting = remaining

    def _reject_over_rate(self, retry_after_ms: float) -> None:
        now_ms = self._entry.loop.now_ms
        remaining: deque[Job] = deque()
        for job in self._waiting:
            due_ms = now_ms + retry_after_ms + len(remaining) * self._token_interval_ms
            if due_ms <= min(job.req.at_ms + _TOKEN_WAIT_MS, job.deadline_ms):
                remaining.append(job)
            else:
                job.reject(ErrorKind.RATE_EXCEEDED)
        self._waiting = remaining


class Entry:
    """Route requests with permits from the arbiters."""

    def __init__(self, router: "ProductRouter", node: Node):
        self.loop, self.cluster = router.loop, router.cluster
        self.node = node
        self._router = router
        self._guard = FenceGuard()
        self._budget = RetryBudget()
        self._connections = IdleConnections()
        self._running_permits: dict[str, dict[str, RunningPermit]] = {}
        self._feed_waiters: list[_FeedWait] = []
        self._tokens = {
            w.name: _WorkspaceTokens(self, w) for w in router.site.settings.workspaces
        }
        self.loop.call_every(20.0, self._return_tokens, node.number)

    def arrive(self, job: Job) -> None:
        """Handle a request from a caller."""
        if job.req.workspace:
            self._tokens[job.req.workspace].acquire(job)
        else:
            self._start_request(job)

    def on_admitted(self, job: Job) -> None:
        """Continue with a request that got a rate token."""
        self._router.stats.count_admitted(job.req.workspace, self.loop.now_ms)
        self._start_request(job)

    def on_feed(self, update: FeedUpdate) -> None:
        """Send Resume to the arbiters of changed shards and retry waiting requests."""
        tables = self.cluster.tables
        rows = list(tables.shards.values()) if update.full else update.shards
        for row in rows:
            if row.node and tables.shards.get(row.shard) == row:
                self._send_resume(row)
        self._resume_waiting()

    def on_notice(self, msg: Message) -> None:
        """Ignore revocations: here, attempts at lost upstreams end without them."""
        assert isinstance(msg, Revoke)

    def _send_resume(self, row: ShardRow) -> None:
        permits = list(self._running_permits.get(row.shard, {}).values())
        idle_connections = []
        if not is_workspace_shard(row.shard):
            name = parse_permit_shard(row.shard)
            for up in self._router.fleet.upstreams.values():
                is_match = name.upstream in {"", up.name}
                idle = self._connections.count(up)
                if up.service.name == name.service and is_match and idle:
                    idle_connections.append(KeptConnections(up.name, idle))
        tokens = self._tokens.get(row.shard.partition(":")[2])
        tokens_spent = tokens.spent() if tokens is not None else None
        msg = Resume(row.shard, row.epoch, permits, idle_connections, [], tokens_spent)
        self.cluster.send(self.node, row.shard, msg)

    def _return_tokens(self) -> None:
        for tokens in self._tokens.values():
            tokens.return_expired()

    def _start_request(self, job: Job) -> None:
        self._budget.count_request(self.loop.now_ms)
        self._request_permit(
            job, self._permit_wait_end_ms(job), ErrorKind.DEADLINE_UNREACHABLE
        )

    def _permit_wait_end_ms(self, job: Job) -> float:
        return min(job.deadline_ms, self.loop.now_ms + constants.PERMIT_WAIT_MS)

    # Permits

    def _request_permit(self, job: Job, end_ms: float, kind_at_end: ErrorKind) -> None:
        if self.loop.now_ms >= end_ms:
            job.reject(kind_at_end)
            return
        target = self._target(job.req)
        if target is None or not self._may_try(job.req, target):
            self._request_permit_later(job, end_ms, ErrorKind.NO_UPSTREAM)
            return
        job.attempts += 1
        number = job.attempts
        row = self.cluster.tables.shards.get(target.shard)
        msg = self._permit_request(job, target, end_ms, row)

        def on_reply(reply: Message) -> None:
            if isinstance(reply, PermitGrant):
                if self.cluster.tables.shards.get(target.shard) == row:
                    self._forward(job, target, reply)
                    return
                cancel = PermitCancel(target.shard, msg.request, number)
                self.cluster.send(self.node, target.shard, cancel)
            kind = ErrorKind.ARBITER_UNREACHABLE
            if isinstance(reply, PermitRefusal):
                kind = reply.kind
            if kind in _RETRIABLE:
                job.excluded.clear()
                self._request_permit_later(job, end_ms, kind)
            else:
                job.reject(kind)

        self.cluster.call(self.node, target.shard, msg, on_reply)

    def _request_permit_later(self, job: Job, end_ms: float, kind: ErrorKind) -> None:
        remaining_ms = max(0.0, end_ms - self.loop.now_ms)
        self._wait_for_feed(
            min(_PERMIT_RETRY_DELAY_MS, remaining_ms), job, end_ms, kind
        )

    def _wait_for_feed(
        self, limit_ms: float, job: Job, end_ms: float, kind: ErrorKind
    ) -> None:
        wait = _FeedWait(self, job, end_ms, kind)
        self._feed_waiters.append(wait)
        self.loop.call_later(limit_ms, wait.resume)

    def _resume_waiting(self) -> None:
        waiting, self._feed_waiters = self._feed_waiters, []
        for wait in waiting:
            wait.resume()

    def request_permit_again(self, job: Job, end_ms: float, kind: ErrorKind) -> None:
        """Request a permit again after a wait."""
        self._request_permit(job, end_ms, kind)

    def _may_try(self, req: Request, target: _Target) -> bool:
        if target.partition == NO_PARTITION:
            return True
        partition = PartitionId(req.service, target.partition)
        return self._guard.may_send(partition, target.epoch, self.loop.now_ms)

    def _target(self, req: Request) -> _Target | None:
        service = self._router.service(req.service)
        if service.kind is ServiceKind.POOL:
            return _Target(pool_shard(service.name))
        tables = self.cluster.tables
        number = tables.partition_for(service.name, req.key, service.partitions)
        row = tables.partitions.get(PartitionId(service.name, number))
        if row is None or row.state is not PartitionState.OWNED:
            return None
        return _Target(upstream_shard(service.name, row.upstream), number, row.epoch)

    def _permit_request(
        self, job: Job, target: _Target, end_ms: float, row: ShardRow | None
    ) -> PermitRequest:
        req = job.req
        return PermitRequest(
            f"r{req.number}",
            job.attempts,
            target.shard,
            row.epoch if row is not None else 0,
            target.partition,
            target.epoch,
            key_hash(req.key) if req.key else 0,
            req.workspace,
            req.urgent,
            max(1, int(end_ms - self.loop.now_ms)),
            list(job.excluded),
        )

    # Attempts

    def _forward(self, job: Job, target: _Target, grant: PermitGrant) -> None:
        up = self._router.fleet.upstreams[job.req.service, grant.upstream]
        running = RunningPermit(
            grant.permit,
            grant.upstream,
            target.partition,
            grant.partition_epoch,
            job.req.workspace,
        )
        permits = self._running_permits.setdefault(target.shard, {})
        permits[grant.permit] = running
        started_ms = self.loop.now_ms
        connect_ms = self._connections.acquire(up)

        def on_outcome(outcome: AttemptOutcome) -> None:
            del permits[grant.permit]
            kept = outcome is AttemptOutcome.ANSWERED and grant.may_keep
            if kept:
                self._connections.release(up)
            duration_ms = self.loop.now_ms - started_ms
            release = PermitRelease(
                target.shard, grant.permit, outcome, duration_ms, kept
            )
            self.cluster.send(self.node, target.shard, release)
            self._handle_outcome(job, target, grant, outcome)

        send(
            self.loop,
            job,
            up,
            connect_ms,
            self._router.site.model.hop_ms,
            on_outcome,
            target.partition,
            grant.partition_epoch,
        )

    def _handle_outcome(
        self, job: Job, target: _Target, grant: PermitGrant, outcome: AttemptOutcome
    ) -> None:
        is_keyed = target.partition != NO_PARTITION
        if is_keyed:
            self._record_fencing(job.req, target, grant, outcome)
        if outcome is AttemptOutcome.ANSWERED:
            job.serve()
        elif not job.allow_retry(outcome, self._budget):
            job.fail(outcome)
        elif is_keyed:
            end_ms = self._permit_wait_end_ms(job)
            self._wait_for_feed(
                _KEYED_RETRY_DELAY_MS, job, end_ms, ErrorKind.NO_UPSTREAM
            )
        else:
            job.excluded.append(grant.upstream)
            self._request_permit(
                job, self._permit_wait_end_ms(job), ErrorKind.DEADLINE_UNREACHABLE
            )

    def _record_fencing(
        self, req: Request, target: _Target, grant: PermitGrant, outcome: AttemptOutcome
    ) -> None:
        partition = PartitionId(req.service, target.partition)
        if outcome is AttemptOutcome.FENCED:
            now_ms = self.loop.now_ms
            self._guard.record_fenced(partition, grant.partition_epoch, now_ms)
        elif outcome is AttemptOutcome.ANSWERED and self._guard.record_accepted(
            partition, grant.partition_epoch
        ):
            self._resume_waiting()


class _FeedWait:
    """Hold a request until the feed changes or its retry delay has passed."""

    __slots__ = ("_entry", "_is_finished", "_request_args")

    def __init__(self, entry: Entry, job: Job, end_ms: float, kind: ErrorKind):
        self._entry = entry
        self._request_args = (job, end_ms, kind)
        self._is_finished = False

    def resume(self) -> None:
        """Request a permit again, on the first call only."""
        if not self._is_finished:
            self._is_finished = True
            self._entry.request_permit_again(*self._request_args)


class ProductRouter:
    """Route requests through the entries of the product's version."""

    def __init__(
        self, loop: EventLoop, site: Site, fleet: Fleet, stats: RunStats, seed: int
    ):
        self.loop, self.site, self.fleet, self.stats = loop, site, fleet, stats
        self._services = {s.name: s for s in site.settings.services}
        self.cluster = Cluster(loop, site, fleet, stats, seed)
        self._entries = [Entry(self, self.cluster.entry(n)) for n in range(ENTRIES)]
        self.cluster.entry_listeners = {e.node.name: e for e in self._entries}

    def service(self, name: str) -> ServiceSettings:
        """Return the settings of a service."""
        return self._services[name]

    def arrive(self, req: Request) -> None:
        """Handle a request from a caller."""
        self._entries[req.entry].arrive(Job(self.loop, self.stats, req))
