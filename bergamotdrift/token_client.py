"""Waiting for rate tokens at the arbiters of the workspaces."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from returns.result import Failure, Result, Success

from bergamotdrift import constants
from bergamotdrift.arbiter_client import ArbiterClient
from bergamotdrift.arbiter_messages import (
    TokenGrant,
    TokenRequest,
    TokenReturn,
    TokensSpent,
)
from bergamotdrift.clock import Clock
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    Refusal,
    StreamClosedError,
)
from bergamotdrift.shards import workspace_shard
from bergamotdrift.token_cache import TokenCache, TokenLease

_CALL_TIMEOUT_MS = 500
_RETRY_PAUSE_S = 0.02
# The arbiter credits a return until a quarter of the lease after its end.
_RETURN_INTERVAL_S = 0.02
# A token that another entry returns or that is due soon is worth a short wait; it
# saves refusals of requests that are within the workspace's rate. The wait counts from
# the first reply that grants too few, since a slow or lost reply says nothing about
# the rate.
_MAX_WAIT_MS = constants.TOKEN_LEASE_MS
_MAX_WAITING = 1024


@dataclass(eq=False, slots=True)
class _Waiter:
    """Hold a request that waits for a token; `end_ms` is set by a short grant."""

    deadline_ms: float
    end_ms: float = float("inf")
    fut: AsyncResult = field(default_factory=AsyncResult)


class _Workspace:
    """Hold the tokens and waiting requests of one workspace."""

    def __init__(self, name: str):
        self.name = name
        self.cache = TokenCache()
        self.waiters: deque[_Waiter] = deque()
        self.fetching = False


class TokenClient:
    """Hand out rate tokens, asking the arbiter for what waits at the moment."""

    def __init__(
        self,
        arbiters: ArbiterClient,
        clock: Clock,
        rate_of: Callable[[str], float],
    ):
        self._arbiters = arbiters
        self._clock = clock
        self._rate_of = rate_of
        self._workspaces: dict[str, _Workspace] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to return unused tokens."""
        self._greenlet = gevent.spawn(self._return_loop)

    def stop(self) -> None:
        """Return all tokens."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for state in self._workspaces.values():
            self._give_back(state, state.cache.take_all())

    def acquire(self, workspace: str, deadline_ms: float) -> Result[None, Refusal]:
        """Use a token (RATE_EXCEEDED, ARBITER_UNREACHABLE, DEADLINE_UNREACHABLE)."""
        state = self._workspaces.setdefault(workspace, _Workspace(workspace))
        now_ms = self._clock.now_ms()
        if not state.waiters and state.cache.take(now_ms):
            return Success(None)
        if len(state.waiters) >= _MAX_WAITING:
            return Failure(Refusal(ErrorKind.RATE_EXCEEDED))
        waiter = _Waiter(deadline_ms)
        state.waiters.append(waiter)
        self._ensure_fetching(state)
        try:
            return waiter.fut.get(timeout=max(0.0, deadline_ms - now_ms) / 1000.0)
        except gevent.Timeout:
            return Failure(Refusal(ErrorKind.DEADLINE_UNREACHABLE, "rate tokens"))
        finally:
            if waiter in state.waiters:
                state.waiters.remove(waiter)

    def spent(self, workspace: str, window_ms: int) -> TokensSpent:
        """Report the tokens of a workspace that were used of late, and those held."""
        state = self._workspaces.setdefault(workspace, _Workspace(workspace))
        return state.cache.spent(window_ms, self._clock.now_ms())

    def _ensure_fetching(self, state: _Workspace) -> None:
        if not state.fetching:
            state.fetching = True
            gevent.spawn(self._fetch_loop, state)

    def _fetch_loop(self, state: _Workspace) -> None:
        try:
            while state.waiters:
                self._serve(state)
                if state.waiters:
                    gevent.sleep(self._fetch(state))
        finally:
            state.fetching = False

    def _fetch(self, state: _Workspace) -> float:
        """Ask once and return the pause in seconds before asking again."""
        asked_at_ms = self._clock.now_ms()
        wanted = state.cache.wanted(asked_at_ms, len(state.waiters))
        try:
            call = self._arbiters.call(
                workspace_shard(state.name),
                lambda epoch: TokenRequest(state.name, epoch, wanted),
                _CALL_TIMEOUT_MS,
            )
        except (StreamClosedError, CallError, gevent.Timeout):
            return _RETRY_PAUSE_S
        if not isinstance(call.reply, TokenGrant):
            return _RETRY_PAUSE_S
        if self._arbiters.assignment(workspace_shard(state.name)) != call.row:
            # The new arbiter counts only what this entry has reported to it.
            return _RETRY_PAUSE_S
        grant = call.reply
        end_ms = asked_at_ms + min(grant.lease_ms, constants.TOKEN_LEASE_MS)
        state.cache.add(TokenLease(grant.tokens, end_ms, call.row.epoch))
        self._serve(state)
        if not state.waiters or grant.tokens >= wanted:
            return 0.0
        self._refuse_late(state, grant.retry_after_ms)
        return max(0.001, min(grant.retry_after_ms, _MAX_WAIT_MS) / 1000.0)

    def _serve(self, state: _Workspace) -> None:
        now_ms = self._clock.now_ms()
        while state.waiters and state.cache.take(now_ms):
            state.waiters.popleft().fut.set(Success(None))

    def _refuse_late(self, state: _Workspace, retry_after_ms: float) -> None:
        """Refuse the requests whose turn would come too late."""
        now_ms = self._clock.now_ms()
        per_token_ms = 1000.0 / max(self._rate_of(state.name), 0.001)
        staying: deque[_Waiter] = deque()
        for waiter in state.waiters:
            due_ms = now_ms + retry_after_ms + len(staying) * per_token_ms
            waiter.end_ms = min(waiter.end_ms, now_ms + _MAX_WAIT_MS)
            if due_ms <= min(waiter.end_ms, waiter.deadline_ms):
                staying.append(waiter)
                continue
            refusal = Refusal(
                ErrorKind.RATE_EXCEEDED, "", max(1.0, (due_ms - now_ms) / 1000.0)
            )
            waiter.fut.set(Failure(refusal))
        state.waiters = staying

    def _return_loop(self) -> None:
        while True:
            gevent.sleep(_RETURN_INTERVAL_S)
            now_ms = self._clock.now_ms()
            for state in list(self._workspaces.values()):
                self._give_back(state, state.cache.take_expired(now_ms))

    def _give_back(self, state: _Workspace, leases: list[TokenLease]) -> None:
        shard = workspace_shard(state.name)
        for lease in leases:
            msg = TokenReturn(state.name, lease.shard_epoch, lease.tokens)
            self._arbiters.send(shard, msg)
