"""Model of request attempts at upstreams, shared by both routers."""

from collections.abc import Callable

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
)
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.retry_policy import FailedAttempt, RetryBudget, may_retry
from scripts.measure_loop import EventLoop
from scripts.measure_report import RunStats
from scripts.measure_sites import Request
from scripts.measure_upstreams import Upstream, Work

_CONNECT_MS = 1.0
_NOT_EXECUTED = frozenset({
    AttemptOutcome.SHED,
    AttemptOutcome.FENCED,
    AttemptOutcome.CONNECT_FAILED,
})
_ERROR_KINDS = {
    AttemptOutcome.SHED: ErrorKind.UPSTREAM_SHED,
    AttemptOutcome.FENCED: ErrorKind.NO_UPSTREAM,
    AttemptOutcome.CONNECT_FAILED: ErrorKind.NO_UPSTREAM,
    AttemptOutcome.TIMEOUT: ErrorKind.UPSTREAM_TIMEOUT,
}


class Job:
    """Track a request from its arrival at an entry until it finishes."""

    def __init__(self, loop: EventLoop, stats: RunStats, req: Request):
        self.req = req
        self.deadline_ms = req.at_ms + req.timeout_ms
        self.excluded: list[str] = []
        self.attempts = 0
        self.is_finished = False
        self._loop = loop
        self._stats = stats

    @property
    def remaining_ms(self) -> float:
        """Return the milliseconds left until the deadline."""
        return self.deadline_ms - self._loop.now_ms

    def serve(self) -> None:
        """Finish the request as served."""
        self._finish(None)

    def reject(self, kind: ErrorKind) -> None:
        """Finish the request with an error."""
        self._finish(kind)

    def fail(self, outcome: AttemptOutcome) -> None:
        """Finish the request with the error of its last attempt."""
        self._finish(_ERROR_KINDS.get(outcome, ErrorKind.OUTCOME_UNKNOWN))

    def allow_retry(self, outcome: AttemptOutcome, budget: RetryBudget) -> bool:
        """Return whether the retry rules and the budget allow another attempt."""
        attempt = FailedAttempt(
            outcome in _NOT_EXECUTED, self.req.idempotent, True, self.remaining_ms
        )
        return may_retry(attempt) and budget.take(self._loop.now_ms)

    def _finish(self, kind: ErrorKind | None) -> None:
        if not self.is_finished:
            self.is_finished = True
            self._stats.count_finished(self.req, kind, self._loop.now_ms)


class IdleConnections:
    """Count the idle keep-alive connections of one entry to each upstream."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, str, int], int] = {}

    def acquire(self, up: Upstream) -> float:
        """Take an idle connection, or return the milliseconds that a new one takes."""
        key = (up.service.name, up.name, up.incarnation)
        count = self._idle.get(key, 0)
        if count:
            self._idle[key] = count - 1
            return 0.0
        return _CONNECT_MS

    def release(self, up: Upstream) -> None:
        """Return a connection to the idle ones."""
        key = (up.service.name, up.name, up.incarnation)
        self._idle[key] = self._idle.get(key, 0) + 1

    def count(self, up: Upstream) -> int:
        """Return the number of idle connections to an upstream."""
        return self._idle.get((up.service.name, up.name, up.incarnation), 0)


def send(
    loop: EventLoop,
    job: Job,
    up: Upstream,
    delay_ms: float,
    hop_ms: float,
    on_outcome: Callable[[AttemptOutcome], None],
    partition: int = NO_PARTITION,
    epoch: int = 0,
) -> None:
    """Send a request to an upstream; `on_outcome` is called once with the outcome."""
    reported: list[AttemptOutcome] = []

    def report_once(outcome: AttemptOutcome) -> None:
        if not reported:
            reported.append(outcome)
            on_outcome(outcome)

    def on_upstream_outcome(outcome: AttemptOutcome) -> None:
        loop.call_later(hop_ms, report_once, outcome)

    work = Work(job.req.work_ms, partition, on_upstream_outcome)

    def time_out() -> None:
        if not reported:
            report_once(AttemptOutcome.TIMEOUT)
            loop.call_later(hop_ms, up.cancel, work)

    loop.call_later(delay_ms + hop_ms, up.arrive, work, epoch)
    loop.call_at(max(loop.now_ms, job.deadline_ms), time_out)
