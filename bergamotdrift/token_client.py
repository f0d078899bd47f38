"""Client of an entry for rate tokens, leased by the workspaces' arbiters."""

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
_RETRY_DELAY_S = 0.02
# The arbiter credits a return until a quarter of the lease after the lease's end.
_RETURN_INTERVAL_S = 0.02
# Waits for a token that another entry returns or that is due soon, so that requests
# within the workspace's rate aren't refused. The wait counts from the first reply that
# grants too few tokens, since a slow or lost reply says nothing about the rate.
_MAX_WAIT_MS = constants.TOKEN_LEASE_MS
_MAX_WAITING = 1024


@dataclass(eq=False, slots=True)
class _TokenWaiter:
    """Hold a request that waits for a token.

    `end_ms` is set by the first reply that grants too few tokens.
    """

    deadline_ms: float
    end_ms: float = float("inf")
    fut: AsyncResult = field(default_factory=AsyncResult)


class _WorkspaceState:
    """Hold the tokens and waiting requests of one workspace."""

    def __init__(self, name: str):
        self.name = name
        self.cache = TokenCache()
        self.waiters: deque[_TokenWaiter] = deque()
        self.fetching = False


class TokenClient:
    """Hand out rate tokens, requesting them from the arbiter in batches.

    One call at a time per workspace requests tokens for all waiting requests.
    """

    def __init__(
        self,
        arbiters: ArbiterClient,
        clock: Clock,
        rate_of: Callable[[str], float],
    ):
        self._arbiters = arbiters
        self._clock = clock
        self._rate_of = rate_of
        self._workspaces: dict[str, _WorkspaceState] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the background return of unused tokens."""
        self._greenlet = gevent.spawn(self._return_loop)

    def stop(self) -> None:
        """Stop the background return and return all tokens."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for state in self._workspaces.values():
            self._return_leases(state, state.cache.pop_all())

    def acquire(self, workspace: str, deadline_ms: float) -> Result[None, Refusal]:
        """Consume a token, waiting for one until the deadline.

        Fails with RATE_EXCEEDED or DEADLINE_UNREACHABLE.
        """
        state = self._workspaces.setdefault(workspace, _WorkspaceState(workspace))
        now_ms = self._clock.now_ms()
        if not state.waiters and state.cache.take(now_ms):
            return Success(None)
        if len(state.waiters) >= _MAX_WAITING:
            return Failure(Refusal(ErrorKind.RATE_EXCEEDED))
        waiter = _TokenWaiter(deadline_ms)
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
        """Report the tokens of a workspace used in the last `window_ms`, and held."""
        state = self._workspaces.setdefault(workspace, _WorkspaceState(workspace))
        return state.cache.spent(window_ms, self._clock.now_ms())

    def _ensure_fetching(self, state: _WorkspaceState) -> None:
        if not state.fetching:
            state.fetching = True
            gevent.spawn(self._fetch_loop, state)

    def _fetch_loop(self, state: _WorkspaceState) -> None:
        try:
            while state.waiters:
                self._serve_waiters(state)
                if state.waiters:
                    gevent.sleep(self._fetch(state))
        finally:
            state.fetching = False

    def _fetch(self, state: _WorkspaceState) -> float:
        """Request tokens once and return the delay in seconds before the next call."""
        asked_at_ms = self._clock.now_ms()
        wanted = state.cache.wanted(asked_at_ms, len(state.waiters))
        try:
            call = self._arbiters.call(
                workspace_shard(state.name),
                lambda epoch: TokenRequest(state.name, epoch, wanted),
                _CALL_TIMEOUT_MS,
            )
        except (StreamClosedError, CallError, gevent.Timeout):
            return _RETRY_DELAY_S
        if not isinstance(call.reply, TokenGrant):
            return _RETRY_DELAY_S
        if self._arbiters.assignment(workspace_shard(state.name)) != call.row:
            # The new arbiter doesn't know of this grant: it counts only the tokens
            # that this entry reported to it.
            return _RETRY_DELAY_S
        grant = call.reply
        end_ms = asked_at_ms + min(grant.lease_ms, constants.TOKEN_LEASE_MS)
        state.cache.add(TokenLease(grant.tokens, end_ms, call.row.epoch))
        self._serve_waiters(state)
        if not state.waiters or grant.tokens >= wanted:
            return 0.0
        self._refuse_overdue(state, grant.retry_after_ms)
        return max(0.001, min(grant.retry_after_ms, _MAX_WAIT_MS) / 1000.0)

    def _serve_waiters(self, state: _WorkspaceState) -> None:
        now_ms = self._clock.now_ms()
        while state.waiters and state.cache.take(now_ms):
            state.waiters.popleft().fut.set(Success(None))

    def _refuse_overdue(self, state: _WorkspaceState, retry_after_ms: float) -> None:
        """Refuse the requests whose token would be due after their wait ends."""
        now_ms = self._clock.now_ms()
        per_token_ms = 1000.0 / max(self._rate_of(state.name), 0.001)
        remaining: deque[_TokenWaiter] = deque()
        for waiter in state.waiters:
            due_ms = now_ms + retry_after_ms + len(remaining) * per_token_ms
            waiter.end_ms = min(waiter.end_ms, now_ms + _MAX_WAIT_MS)
            if due_ms <= min(waiter.end_ms, waiter.deadline_ms):
                remaining.append(waiter)
                continue
            refusal = Refusal(
                ErrorKind.RATE_EXCEEDED, "", max(1.0, (due_ms - now_ms) / 1000.0)
            )
            waiter.fut.set(Failure(refusal))
        state.waiters = remaining

    def _return_loop(self) -> None:
        while True:
            gevent.sleep(_RETURN_INTERVAL_S)
            now_ms = self._clock.now_ms()
            for state in list(self._workspaces.values()):
                self._return_leases(state, state.cache.pop_expired(now_ms))

    def _return_leases(self, state: _WorkspaceState, leases: list[TokenLease]) -> None:
        shard = workspace_shard(state.name)
        for lease in leases:
            msg = TokenReturn(state.name, lease.shard_epoch, lease.tokens)
            self._arbiters.send(shard, msg)
