"""Retry rules and retry budgets."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from bergamotdrift.constants import RETRY_BUDGET_MIN_PER_S, RETRY_BUDGET_RATIO

_WINDOW_MS = 1000.0
_BUCKET_SIZE = 2.0


class FailedAttempt(NamedTuple):
    """Describe a failed attempt for the retry rules."""

    not_run: bool
    idempotent: bool
    body_can_be_resent: bool
    remaining_ms: float


def may_retry(attempt: FailedAttempt) -> bool:
    """Return True if the rules allow a retry; the budget is checked separately."""
    if not attempt.body_can_be_resent or attempt.remaining_ms <= 0:
        return False
    return attempt.not_run or attempt.idempotent


class RetryBudget:
    """Limit retries to a share of the requests in the last second."""

    def __init__(self) -> None:
        self._requests_ms: deque[float] = deque()
        self._retries_ms: deque[float] = deque()

    def count_request(self, now_ms: float) -> None:
        """Record the first attempt of a request."""
        self._requests_ms.append(now_ms)
        _drop_expired(self._requests_ms, now_ms)

    def take(self, now_ms: float) -> bool:
        """Spend one retry if the budget allows; return True if it did."""
        _drop_expired(self._requests_ms, now_ms)
        _drop_expired(self._retries_ms, now_ms)
        allowed = max(
            RETRY_BUDGET_MIN_PER_S, len(self._requests_ms) * RETRY_BUDGET_RATIO
        )
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(now_ms)
        return True


class Budget(Protocol):
    """Limit the retries of requests."""

    def count_request(self, now_ms: float) -> None:
        """Record the first attempt of a request."""
        ...

    def take(self, now_ms: float) -> bool:
        """Spend one retry if the budget allows; return True if it did."""
        ...


class SharedRetryBudget:
    """Limit the retries of one service by this entry's share of a common budget.

    This is a token bucket: each request adds `ratio` tokens, and `per_s` tokens are
    added per second. Its size allows a burst of a few retries when an upstream is lost.
    """

    def __init__(self, ratio: float, per_s: Callable[[], float]):
        self._ratio = ratio
        self._per_s = per_s
        self._tokens = 1.0
        self._refilled_ms: float | None = None

    def count_request(self, now_ms: float) -> None:
        """Record the first attempt of a request."""
        self._tokens = min(_BUCKET_SIZE, self._tokens + self._ratio)

    def take(self, now_ms: float) -> bool:
        """Spend one retry if the budget allows; return True if it did."""
        since_ms = now_ms if self._refilled_ms is None else self._refilled_ms
        self._refilled_ms = now_ms
        gained = self._per_s() * (now_ms - since_ms) / 1000.0
        self._tokens = min(_BUCKET_SIZE, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _drop_expired(times_ms: deque[float], now_ms: float) -> None:
    while times_ms and times_ms[0] <= now_ms - _WINDOW_MS:
        times_ms.popleft()
