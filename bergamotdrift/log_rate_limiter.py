"""Rate limits on log lines, for each event and for the whole process."""

from collections import Counter

# Each refused request is logged, and a caller that retries in a loop must not fill the
# disk.
EVENT_LINES_PER_S = 200.0
EVENT_LINES_BURST = 1000.0
PROCESS_LINES_PER_S = 400.0
PROCESS_LINES_BURST = 2000.0
REPORT_INTERVAL_S = 1.0


class _TokenBucket:
    """Token bucket of lines: a steady rate, and a burst after a pause."""

    __slots__ = ("_burst", "_per_s", "_refilled_s", "_tokens")

    def __init__(self, per_s: float, burst: float, now_s: float):
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_s = now_s

    def has_token(self, now_s: float) -> bool:
        """Refill the bucket and return whether one more line is allowed."""
        gained = max(0.0, now_s - self._refilled_s) * self._per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_s = now_s
        return self._tokens >= 1.0

    def consume(self) -> None:
        """Consume the token of one line."""
        self._tokens -= 1.0


class LogRateLimiter:
    """Decide which lines are written; callers pass the time in seconds.

    Each event has its own limit, so that a flood of one event doesn't hide others.
    """

    def __init__(self, now_s: float):
        self._process = _TokenBucket(PROCESS_LINES_PER_S, PROCESS_LINES_BURST, now_s)
        self._events: dict[str, _TokenBucket] = {}
        self._suppressed: Counter[str] = Counter()
        self._reported_s = now_s

    def allows(self, event: str, now_s: float) -> bool:
        """Return whether a line may be written; suppressed lines are counted."""
        bucket = self._events.get(event)
        if bucket is None:
            bucket = _TokenBucket(EVENT_LINES_PER_S, EVENT_LINES_BURST, now_s)
            self._events[event] = bucket
        if bucket.has_token(now_s) and self._process.has_token(now_s):
            bucket.consume()
            self._process.consume()
            return True
        self._suppressed[event] += 1
        return False

    def pop_report(self, now_s: float) -> str:
        """Return the counts of lines suppressed since the last report, by event.

        The string is empty if there are none, or if the last report is less than
        REPORT_INTERVAL_S ago.
        """
        if not self._suppressed or now_s - self._reported_s < REPORT_INTERVAL_S:
            return ""
        self._reported_s = now_s
        suppressed, self._suppressed = self._suppressed, Counter()
        return ",".join(f"{name}:{count}" for name, count in suppressed.most_common())
