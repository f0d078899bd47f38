"""Entries of the product's version, around its pure decision code."""

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
from bergamotdrift.fence_guard import FenceGuard
from bergamotdrift.hashing import key_hash
from bergamotdrift.messages import (
    FeedUpdate,
    Message,
    PartitionState,
    ShardRow,
)
from bergamotdrift.retry_policy import RetryBudget
from bergamotdrift.shard_view import is_workspace_shard, split_shard
from bergamotdrift.shards import pool_shard, upstream_shard, workspace_shard
from bergamotdrift.tables import PartitionId
from bergamotdrift.token_cache import TokenCache, TokenLease, spent_window_ms
from scripts.measure_attempts import Connections, Job, send
from scripts.measure_cluster import Cluster, Node
from scripts.measure_loop import Loop
from scripts.measure_report import Ledger
from scripts.measure_sites import ENTRIES, Request, Site
from scripts.measure_upstreams import Fleet

# These follow token_client, stages/permit and pipeline, whose waiting is gevent's.
_TOKEN_PAUSE_MS = 20.0
_TOKEN_WAIT_MS = constants.TOKEN_LEASE_MS
_PERMIT_PAUSE_MS = 100.0
_KEYED_PAUSE_MS = 50.0
_RETRIED = frozenset({ErrorKind.NO_UPSTREAM, ErrorKind.ARBITER_UNREACHABLE})


class _Target(NamedTuple):
    shard: str
    partition: int = NO_PARTITION
    epoch: int = 0


class _Tokens:
    """Wait for the rate tokens of one workspace at one entry."""

    def __init__(self, entry: "Entry", limits: WorkspaceSettings):
        self._entry = entry
        self._name = limits.name
        self._per_token_ms = 1000.0 / limits.rate_per_s
        self._window_ms = spent_window_ms(limits) or 0
        self._shard = workspace_shard(limits.name)
        self._cache = TokenCache()
        self._waiting: deque[Job] = deque()
        self._fetching = False

    def acquire(self, job: Job) -> None:
        """Use a token, or wait for one."""
        if not self._waiting and self._cache.take(self._entry.loop.now_ms):
            self._entry.on_token(job)
            return
        self._waiting.append(job)
        if not self._fetching:
            self._fetching = True
            self._fetch()

    def give_back(self) -> None:
        """Return the tokens whose leases have ended."""
        for lease in self._cache.take_expired(self._entry.loop.now_ms):
            msg = TokenReturn(self._name, lease.shard_epoch, lease.tokens)
            self._entry.cluster.send(self._entry.node, self._shard, msg)

    def spent(self) -> TokensSpent:
        """Report the use of tokens to a new arbiter."""
        return self._cache.spent(self._window_ms, self._entry.loop.now_ms)

    def _fetch(self) -> None:
        self._serve()
        if not self._waiting:
            self._fetching = False
            return
        now_ms = self._entry.loop.now_ms
        cluster = self._entry.cluster
        row = cluster.tables.shards.get(self._shard)
        epoch = row.epoch if row is not None else 0
        wanted = self._cache.wanted(now_ms, len(self._waiting))
        msg = TokenRequest(self._name, epoch, wanted)

        def answer(reply: Message) -> None:
            self._take(reply, now_ms, epoch)

        cluster.call(self._entry.node, self._shard, msg, answer)

    def _take(self, reply: Message, asked_ms: float, epoch: int) -> None:
        loop = self._entry.loop
        self._drop_late()
        row = self._entry.cluster.tables.shards.get(self._shard)
        moved = row is None or row.epoch != epoch
        if moved or not isinstance(reply, TokenGrant):
            loop.after(_TOKEN_PAUSE_MS, self._fetch)
            return
        end_ms = asked_ms + min(reply.lease_ms, constants.TOKEN_LEASE_MS)
        self._cache.add(TokenLease(reply.tokens, end_ms, epoch))
        self._serve()
        self._refuse_late(reply.retry_after_ms)
        pause_ms = max(1.0, min(reply.retry_after_ms, _TOKEN_WAIT_MS))
        loop.after(pause_ms if self._waiting else 0.0, self._fetch)

    def _serve(self) -> None:
        while self._waiting and self._cache.take(self._entry.loop.now_ms):
            self._entry.on_token(self._waiting.popleft())

    def _drop_late(self) -> None:
        staying: deque[Job] = deque()
        for job in self._waiting:
            if job.left_ms > 0:
                staying.append(job)
            else:
                job.refuse(ErrorKind.DEADLINE_UNREACHABLE)
        self._waiting = staying

    def _refuse_late(self, retry_after_ms: float) -> None:
        now_ms = self._entry.loop.now_ms
        staying: deque[Job] = deque()
        for job in self._waiting:
            due_ms = now_ms + retry_after_ms + len(staying) * self._per_token_ms
            if due_ms <= min(job.req.at_ms + _TOKEN_WAIT_MS, job.deadline_ms):
                staying.append(job)
            else:
                job.refuse(ErrorKind.RATE_EXCEEDED)
        self._waiting = staying


class Entry:
    """Route requests with permits of the arbiters."""

    def __init__(self, router: "OurRouter", node: Node):
        self.loop, self.cluster = router.loop, router.cluster
        self.node = node
        self._router = router
        self._guard = FenceGuard()
        self._budget = RetryBudget()
        self._connections = Connections()
        self._held: dict[str, dict[str, RunningPermit]] = {}
        self._feed_waiters: list[_FeedWait] = []
        self._tokens = {
            w.name: _Tokens(self, w) for w in router.site.settings.workspaces
        }
        self.loop.every(20.0, self._return_tokens, node.number)

    def arrive(self, job: Job) -> None:
        """Take a request of a caller."""
        if job.req.workspace:
            self._tokens[job.req.workspace].acquire(job)
        else:
            self._begin(job)

    def on_token(self, job: Job) -> None:
        """Go on with a request that has a token."""
        self._router.ledger.admitted(job.req.workspace, self.loop.now_ms)
        self._begin(job)

    def on_feed(self, update: FeedUpdate) -> None:
        """Report to the arbiters of changed shards and try again what waits."""
        tables = self.cluster.tables
        rows = list(tables.shards.values()) if update.full else update.shards
        for row in rows:
            if row.node and tables.shards.get(row.shard) == row:
                self._resume(row)
        self._wake()

    def on_notice(self, msg: Message) -> None:
        """Attempts at upstreams that are gone end by themselves in this model."""
        assert isinstance(msg, Revoke)

    def _resume(self, row: ShardRow) -> None:
        permits = list(self._held.get(row.shard, {}).values())
        kept = []
        if not is_workspace_shard(row.shard):
            name = split_shard(row.shard)
            for up in self._router.fleet.upstreams.values():
                fits = name.upstream in {"", up.name}
                idle = self._connections.idle(up)
                if up.service.name == name.service and fits and idle:
                    kept.append(KeptConnections(up.name, idle))
        tokens = self._tokens.get(row.shard.partition(":")[2])
        spent = tokens.spent() if tokens is not None else None
        msg = Resume(row.shard, row.epoch, permits, kept, [], spent)
        self.cluster.send(self.node, row.shard, msg)

    def _return_tokens(self) -> None:
        for tokens in self._tokens.values():
            tokens.give_back()

    def _begin(self, job: Job) -> None:
        self._budget.count_request(self.loop.now_ms)
        self._ask(job, self._end_of_wait(job), ErrorKind.DEADLINE_UNREACHABLE)

    def _end_of_wait(self, job: Job) -> float:
        return min(job.deadline_ms, self.loop.now_ms + constants.PERMIT_WAIT_MS)

    # Permits

    def _ask(self, job: Job, end_ms: float, last: ErrorKind) -> None:
        if self.loop.now_ms >= end_ms:
            job.refuse(last)
            return
        target = self._target(job.req)
        if target is None or not self._may_try(job.req, target):
            self._ask_later(job, end_ms, ErrorKind.NO_UPSTREAM)
            return
        job.attempts += 1
        number = job.attempts
        row = self.cluster.tables.shards.get(target.shard)
        msg = self._permit_request(job, target, end_ms, row)

        def answer(reply: Message) -> None:
            if isinstance(reply, PermitGrant):
                if self.cluster.tables.shards.get(target.shard) == row:
                    self._forward(job, target, reply)
                    return
                cancel = PermitCancel(target.shard, msg.request, number)
                self.cluster.send(self.node, target.shard, cancel)
            kind = ErrorKind.ARBITER_UNREACHABLE
            if isinstance(reply, PermitRefusal):
                kind = reply.kind
            if kind in _RETRIED:
                job.excluded.clear()
                self._ask_later(job, end_ms, kind)
            else:
                job.refuse(kind)

        self.cluster.call(self.node, target.shard, msg, answer)

    def _ask_later(self, job: Job, end_ms: float, kind: ErrorKind) -> None:
        left_ms = max(0.0, end_ms - self.loop.now_ms)
        self._wait_for_feed(min(_PERMIT_PAUSE_MS, left_ms), job, end_ms, kind)

    def _wait_for_feed(
        self, limit_ms: float, job: Job, end_ms: float, kind: ErrorKind
    ) -> None:
        wait = _FeedWait(self, job, end_ms, kind)
        self._feed_waiters.append(wait)
        self.loop.after(limit_ms, wait.resume)

    def _wake(self) -> None:
        waiting, self._feed_waiters = self._feed_waiters, []
        for wait in waiting:
            wait.resume()

    def ask_again(self, job: Job, end_ms: float, kind: ErrorKind) -> None:
        """Ask again after a wait."""
        self._ask(job, end_ms, kind)

    def _may_try(self, req: Request, target: _Target) -> bool:
        if target.partition == NO_PARTITION:
            return True
        partition = PartitionId(req.service, target.partition)
        return self._guard.may_try(partition, target.epoch, self.loop.now_ms)

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
        held = self._held.setdefault(target.shard, {})
        held[grant.permit] = running
        started_ms = self.loop.now_ms
        connect_ms = self._connections.take(up)

        def done(outcome: AttemptOutcome) -> None:
            del held[grant.permit]
            kept = outcome is AttemptOutcome.ANSWERED and grant.may_keep
            if kept:
                self._connections.give_back(up)
            spent_ms = self.loop.now_ms - started_ms
            release = PermitRelease(target.shard, grant.permit, outcome, spent_ms, kept)
            self.cluster.send(self.node, target.shard, release)
            self._ended(job, target, grant, outcome)

        send(
            self.loop,
            job,
            up,
            connect_ms,
            self._router.site.model.hop_ms,
            done,
            target.partition,
            grant.partition_epoch,
        )

    def _ended(
        self, job: Job, target: _Target, grant: PermitGrant, outcome: AttemptOutcome
    ) -> None:
        is_keyed = target.partition != NO_PARTITION
        if is_keyed:
            self._note(job.req, target, grant, outcome)
        if outcome is AttemptOutcome.ANSWERED:
            job.serve()
        elif not job.may_repeat(outcome, self._budget):
            job.fail(outcome)
        elif is_keyed:
            end_ms = self._end_of_wait(job)
            self._wait_for_feed(_KEYED_PAUSE_MS, job, end_ms, ErrorKind.NO_UPSTREAM)
        else:
            job.excluded.append(grant.upstream)
            self._ask(job, self._end_of_wait(job), ErrorKind.DEADLINE_UNREACHABLE)

    def _note(
        self, req: Request, target: _Target, grant: PermitGrant, outcome: AttemptOutcome
    ) -> None:
        partition = PartitionId(req.service, target.partition)
        if outcome is AttemptOutcome.FENCED:
            now_ms = self.loop.now_ms
            self._guard.note_fenced(partition, grant.partition_epoch, now_ms)
        elif outcome is AttemptOutcome.ANSWERED and self._guard.note_run(
            partition, grant.partition_epoch
        ):
            self._wake()


class _FeedWait:
    """Hold a request until the feed changes or its pause is over."""

    __slots__ = ("_args", "_entry", "_is_over")

    def __init__(self, entry: Entry, job: Job, end_ms: float, kind: ErrorKind):
        self._entry = entry
        self._args = (job, end_ms, kind)
        self._is_over = False

    def resume(self) -> None:
        """Ask again, once."""
        if not self._is_over:
            self._is_over = True
            self._entry.ask_again(*self._args)


class OurRouter:
    """Hold the entries of the product's version."""

    def __init__(self, loop: Loop, site: Site, fleet: Fleet, ledger: Ledger, seed: int):
        self.loop, self.site, self.fleet, self.ledger = loop, site, fleet, ledger
        self._services = {s.name: s for s in site.settings.services}
        self.cluster = Cluster(loop, site, fleet, ledger, seed)
        self._entries = [Entry(self, self.cluster.entry(n)) for n in range(ENTRIES)]
        self.cluster.entry_sides = {e.node.name: e for e in self._entries}

    def service(self, name: str) -> ServiceSettings:
        """Return the settings of a service."""
        return self._services[name]

    def arrive(self, req: Request) -> None:
        """Take a request of a caller."""
        self._entries[req.entry].arrive(Job(self.loop, self.ledger, req))
