"""Rules and budget for repeating a request."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from bergamotdrift.constants import RETRY_BUDGET_MIN_PER_S, RETRY_BUDGET_RATIO

_WINDOW_MS = 1000.0
_STOCK_MAX = 2.0


class Attempt(NamedTuple):
    """Describe a failed attempt: what is known and whether it can be sent again."""

    not_run: bool
    idempotent: bool
    body_can_be_resent: bool
    remaining_ms: float


def may_repeat(attempt: Attempt) -> bool:
    """Tell whether the rules allow a repeat, budget aside."""
    if not attempt.body_can_be_resent or attempt.remaining_ms <= 0:
        return False
    return attempt.not_run or attempt.idempotent


class RetryBudget:
    """Bound retries to a share of the requests of the last second."""

    def __init__(self) -> None:
        self._requests_ms: deque[float] = deque()
        self._retries_ms: deque[float] = deque()

    def count_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._requests_ms.append(now_ms)
        _forget(self._requests_ms, now_ms)

    def take(self, now_ms: float) -> bool:
        """Use one retry if the budget has one left and tell whether it had."""
        _forget(self._requests_ms, now_ms)
        _forget(self._retries_ms, now_ms)
        allowed = max(
            RETRY_BUDGET_MIN_PER_S, len(self._requests_ms) * RETRY_BUDGET_RATIO
        )
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(now_ms)
        return True


class Budget(Protocol):
    """Bound the repeats of requests."""

    def count_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        ...

    def take(self, now_ms: float) -> bool:
        """Use one retry if the budget has one left and tell whether it had."""
        ...


class SharedRetryBudget:
    """Hold this entry's share of a budget over all entries, for one service.

    Each request adds `ratio` of a retry, and `per_s` more come with time. A stock of a
    few lets the retries of one lost upstream happen together.
    """

    def __init__(self, ratio: float, per_s: Callable[[], float]):
        self._ratio = ratio
        self._per_s = per_s
        self._level = 1.0
        self._filled_ms: float | None = None

    def count_request(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._level = min(_STOCK_MAX, self._level + self._ratio)

    def take(self, now_ms: float) -> bool:
        """Use one retry if there is one left and tell whether there was."""
        since_ms = now_ms if self._filled_ms is None else self._filled_ms
        self._filled_ms = now_ms
        gained = self._per_s() * (now_ms - since_ms) / 1000.0
        self._level = min(_STOCK_MAX, self._level + gained)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def _forget(times_ms: deque[float], now_ms: float) -> None:
    while times_ms and times_ms[0] <= now_ms - _WINDOW_MS:
        times_ms.popleft()
