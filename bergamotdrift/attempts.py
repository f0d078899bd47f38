"""Registry of the permits in use and their attempts."""

from collections.abc import Callable, Sequence

from bergamotdrift.arbiter_messages import RunningPermit
from bergamotdrift.dialect import UpstreamStatement
from bergamotdrift.request import Permit
from bergamotdrift.upstream_connections import UpstreamConnection


class RunningAttempt:
    """Associate a permit with the upstream connection that uses it."""

    def __init__(self, permit: Permit, workspace: str):
        self.permit = permit
        self.workspace = workspace
        self.conn: UpstreamConnection | None = None
        # Connections that carried earlier attempts of the same request. A late second
        # answer to one of them would have the id of this attempt.
        self.earlier_conns: Sequence[UpstreamConnection] = ()
        self.cancel_reason = ""
        # Whether the caller has got a part of the answer, or is about to.
        self.is_passed_on = False
        # Time at which the attempt is abandoned for a retry; None for the request's
        # deadline.
        self.attempt_deadline_ms: float | None = None
        # Time after which the first byte may no longer be sent.
        self.send_by_ms = float("inf")
        # Called at the limit; the attempt continues if it returns False.
        self.may_abandon: Callable[[], bool] = lambda: True
        # What the upstream said of itself in its response, or None without one.
        self.statement: UpstreamStatement | None = None
        # Called with the statement before the response is passed on.
        self.on_statement: Callable[[UpstreamStatement], None] = lambda _: None

    def cancel(self, reason: str) -> None:
        """Close the connection, which ends the attempt.

        The outcome is unknown if any of the request was sent.
        """
        self.cancel_reason = self.cancel_reason or reason
        if self.conn is not None:
            self.conn.close()


class AttemptRegistry:
    """Track every permit in use by this entry."""

    def __init__(self) -> None:
        self._by_shard: dict[str, dict[str, RunningAttempt]] = {}

    def add(self, permit: Permit, workspace: str) -> RunningAttempt:
        """Register a permit before it is used."""
        attempt = RunningAttempt(permit, workspace)
        self._by_shard.setdefault(permit.shard, {})[permit.permit] = attempt
        return attempt

    def remove(self, attempt: RunningAttempt) -> None:
        """Remove a released permit."""
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

    def cancel_unanswered(self, reason: str) -> int:
        """Cancel the attempts without an answer so far; return their number."""
        attempts = [
            attempt
            for by_permit in self._by_shard.values()
            for attempt in by_permit.values()
            if not attempt.is_passed_on
        ]
        for attempt in attempts:
            attempt.cancel(reason)
        return len(attempts)

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
