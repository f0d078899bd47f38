"""Permits in use and the attempts that run under them."""

from collections.abc import Callable

from bergamotdrift.arbiter_messages import RunningPermit
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.request import Permit
from bergamotdrift.upstream_connections import UpstreamConnection


class RunningAttempt:
    """Hold a permit and the connection that works under it."""

    def __init__(self, permit: Permit, workspace: str):
        self.permit = permit
        self.workspace = workspace
        self.conn: UpstreamConnection | None = None
        self.cancel_reason = ""
        # When the attempt is given up for another one; None for the request's deadline.
        self.limit_ms: float | None = None
        # Asked at the limit; without another attempt, this one goes on.
        self.may_give_up: Callable[[], bool] = lambda: True
        # The load that the upstream stated in its answer, if it did.
        self.load: AnswerLoad | None = None

    def cancel(self, reason: str) -> None:
        """Close the connection; the attempt ends with an unknown outcome."""
        self.cancel_reason = self.cancel_reason or reason
        if self.conn is not None:
            self.conn.close()


class AttemptRegistry:
    """Know every permit that this entry uses."""

    def __init__(self) -> None:
        self._by_shard: dict[str, dict[str, RunningAttempt]] = {}

    def add(self, permit: Permit, workspace: str) -> RunningAttempt:
        """Register a permit before anything is done under it."""
        attempt = RunningAttempt(permit, workspace)
        self._by_shard.setdefault(permit.shard, {})[permit.permit] = attempt
        return attempt

    def remove(self, attempt: RunningAttempt) -> None:
        """Forget a permit that is released."""
        shard = attempt.permit.shard
        attempts = self._by_shard.get(shard, {})
        attempts.pop(attempt.permit.permit, None)
        if not attempts:
            self._by_shard.pop(shard, None)

    def shards(self) -> list[str]:
        """Return the shards with permits in use."""
        return list(self._by_shard)

    def running(self, shard: str) -> list[RunningPermit]:
        """Return the permits in use of a shard."""
        return [
            RunningPermit(
                a.permit.permit,
                a.permit.upstream,
                a.permit.partition,
                a.permit.partition_epoch,
                a.workspace,
            )
            for a in self._by_shard.get(shard, {}).values()
        ]

    def cancel(self, shard: str, reason: str, upstream: str = "") -> int:
        """Cancel the attempts of a shard or of one upstream; return their number."""
        attempts = [
            a
            for a in self._by_shard.get(shard, {}).values()
            if not upstream or a.permit.upstream == upstream
        ]
        for attempt in attempts:
            attempt.cancel(reason)
        return len(attempts)
