"""Attempts of requests at upstreams, alike for both routers."""

from collections.abc import Callable

from bergamotdrift.arbiter_messages import (
    NO_PARTITION,
    AttemptOutcome,
)
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.retry_policy import Attempt, RetryBudget, may_repeat
from scripts.measure_loop import Loop
from scripts.measure_report import Ledger
from scripts.measure_sites import Request
from scripts.measure_upstreams import Upstream, Work

_CONNECT_MS = 1.0
_NOT_RUN = frozenset({
    AttemptOutcome.SHED,
    AttemptOutcome.FENCED,
    AttemptOutcome.CONNECT_FAILED,
})
_KIND_OF = {
    AttemptOutcome.SHED: ErrorKind.UPSTREAM_SHED,
    AttemptOutcome.FENCED: ErrorKind.NO_UPSTREAM,
    AttemptOutcome.CONNECT_FAILED: ErrorKind.NO_UPSTREAM,
    AttemptOutcome.TIMEOUT: ErrorKind.UPSTREAM_TIMEOUT,
}


class Job:
    """Hold a request while a router works on it."""

    def __init__(self, loop: Loop, ledger: Ledger, req: Request):
        self.req = req
        self.deadline_ms = req.at_ms + req.timeout_ms
        self.excluded: list[str] = []
        self.attempts = 0
        self.is_over = False
        self._loop = loop
        self._ledger = ledger

    @property
    def left_ms(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_ms - self._loop.now_ms

    def serve(self) -> None:
        """Count the request as served."""
        self._finish(None)

    def refuse(self, kind: ErrorKind) -> None:
        """Count the request as not served."""
        self._finish(kind)

    def fail(self, outcome: AttemptOutcome) -> None:
        """Count the request as failed by its last attempt."""
        self._finish(_KIND_OF.get(outcome, ErrorKind.OUTCOME_UNKNOWN))

    def may_repeat(self, outcome: AttemptOutcome, budget: RetryBudget) -> bool:
        """Tell whether the product's rules allow another attempt."""
        attempt = Attempt(outcome in _NOT_RUN, self.req.idempotent, True, self.left_ms)
        return may_repeat(attempt) and budget.take(self._loop.now_ms)

    def _finish(self, kind: ErrorKind | None) -> None:
        if not self.is_over:
            self.is_over = True
            self._ledger.finished(self.req, kind, self._loop.now_ms)


class Connections:
    """Count the idle connections of one entry to each upstream."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, str, int], int] = {}

    def take(self, up: Upstream) -> float:
        """Use an idle connection or return what a new one costs."""
        key = (up.service.name, up.name, up.run)
        idle = self._idle.get(key, 0)
        if idle:
            self._idle[key] = idle - 1
            return 0.0
        return _CONNECT_MS

    def give_back(self, up: Upstream) -> None:
        """Keep a connection."""
        key = (up.service.name, up.name, up.run)
        self._idle[key] = self._idle.get(key, 0) + 1

    def idle(self, up: Upstream) -> int:
        """Return how many idle connections lead to an upstream."""
        return self._idle.get((up.service.name, up.name, up.run), 0)


def send(
    loop: Loop,
    job: Job,
    up: Upstream,
    delay_ms: float,
    hop_ms: float,
    done: Callable[[AttemptOutcome], None],
    partition: int = NO_PARTITION,
    epoch: int = 0,
) -> None:
    """Send a request to an upstream; `done` tells the outcome once."""
    told: list[AttemptOutcome] = []

    def tell(outcome: AttemptOutcome) -> None:
        if not told:
            told.append(outcome)
            done(outcome)

    def answered(outcome: AttemptOutcome) -> None:
        loop.after(hop_ms, tell, outcome)

    work = Work(job.req.work_ms, partition, answered)

    def expire() -> None:
        if not told:
            tell(AttemptOutcome.TIMEOUT)
            loop.after(hop_ms, up.cancel, work)

    loop.after(delay_ms + hop_ms, up.arrive, work, epoch)
    loop.at(max(loop.now_ms, job.deadline_ms), expire)
