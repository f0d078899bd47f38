"""Decide which failed attempts of a request are repeated, within retry budgets."""

from collections.abc import Callable

from bergamotdrift.admission import Admission
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.body_source import BodySource
from bergamotdrift.clock import Clock
from bergamotdrift.request import RoutedRequest
from bergamotdrift.retry_policy import Budget, FailedAttempt, RetryBudget, may_retry
from bergamotdrift.stages.attempt_failure import AttemptFailure
from bergamotdrift.stages.permit import AttemptHistory


class Retries:
    """Charge retries to the budget of their service, or to that of all services."""

    def __init__(
        self,
        admission: Admission,
        clock: Clock,
        new_budget: Callable[[], Budget] | None,
    ):
        self._admission = admission
        self._clock = clock
        # Without a factory of budgets, all services share one retry budget.
        self._new_budget = new_budget
        self._budget: Budget = RetryBudget()
        self._budgets: dict[str, Budget] = {}

    def count_request(self, routed: RoutedRequest) -> None:
        """Count a request, of which a part may be retried."""
        self._budget_for(routed).count_request(self._clock.now_ms())

    def may_retry(
        self,
        routed: RoutedRequest,
        body: BodySource,
        failure: AttemptFailure,
        history: AttemptHistory,
        is_first: bool,
    ) -> bool:
        """Return True if an attempt may be repeated, and charge its budget."""
        reserved, history.retry_reserved = history.retry_reserved, False
        now_ms = self._clock.now_ms()
        attempt = FailedAttempt(
            failure.not_run,
            routed.route.idempotent,
            body.can_be_resent,
            routed.deadline_ms - now_ms,
        )
        if not may_retry(attempt):
            return False
        if reserved:
            return True
        # FenceGuard already limits these to one per partition and interval. Charging
        # them to the retry budget would refuse requests whenever many partitions move.
        # Budgets per service are charged, since they count all attempts sent upstream.
        if failure.outcome is AttemptOutcome.FENCED and self._new_budget is None:
            return True
        # All requests in flight to a lost upstream fail at once and would exceed the
        # budget. The first retry after a failed connect is free: no upstream did work.
        if is_first and failure.outcome is AttemptOutcome.CONNECT_FAILED:
            return True
        return self._budget_for(routed).take(now_ms)

    def reserve(
        self, routed: RoutedRequest, body: BodySource, history: AttemptHistory
    ) -> bool:
        """Reserve a retry from the budget before a slow attempt is abandoned.

        Returns False while the entry shuts down, if the body is not buffered or if no
        retry is left. The attempt then continues; otherwise the request would fail
        while its upstream still works.
        """
        if self._admission.stopping or not body.can_be_resent:
            return False
        history.retry_reserved = self._budget_for(routed).take(self._clock.now_ms())
        return history.retry_reserved

    def _budget_for(self, routed: RoutedRequest) -> Budget:
        if self._new_budget is None:
            return self._budget
        name = routed.service.name
        if name not in self._budgets:
            self._budgets[name] = self._new_budget()
        return self._budgets[name]
