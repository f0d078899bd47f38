"""Bounds on the volume of log lines, for each event and for the whole process."""

from collections import Counter

# A refused request has a line of its own; a caller in a loop must not fill the disk.
EVENT_LINES_PER_S = 200.0
EVENT_LINES_BURST = 1000.0
PROCESS_LINES_PER_S = 400.0
PROCESS_LINES_BURST = 2000.0
REPORT_INTERVAL_S = 1.0


class _Bucket:
    """Allow lines at a rate, and a burst of them after a pause."""

    __slots__ = ("_at_s", "_burst", "_level", "_per_s")

    def __init__(self, per_s: float, burst: float, now_s: float):
        self._per_s = per_s
        self._burst = burst
        self._level = burst
        self._at_s = now_s

    def has_room(self, now_s: float) -> bool:
        """Tell whether one more line is allowed."""
        gained = max(0.0, now_s - self._at_s) * self._per_s
        self._level = min(self._burst, self._level + gained)
        self._at_s = now_s
        return self._level >= 1.0

    def take(self) -> None:
        """Count a line."""
        self._level -= 1.0


class LogBudget:
    """Decide which lines are written; times in seconds are passed in.

    Each event has a budget of its own, so that a flood of one hides no other.
    """

    def __init__(self, now_s: float):
        self._process = _Bucket(PROCESS_LINES_PER_S, PROCESS_LINES_BURST, now_s)
        self._events: dict[str, _Bucket] = {}
        self._suppressed: Counter[str] = Counter()
        self._reported_s = now_s

    def allows(self, event: str, now_s: float) -> bool:
        """Tell whether a line may be written; one that may not is counted."""
        bucket = self._events.get(event)
        if bucket is None:
            bucket = _Bucket(EVENT_LINES_PER_S, EVENT_LINES_BURST, now_s)
            self._events[event] = bucket
        if bucket.has_room(now_s) and self._process.has_room(now_s):
            bucket.take()
            self._process.take()
            return True
        self._suppressed[event] += 1
        return False

    def take_report(self, now_s: float) -> str:
        """Return what was suppressed since the last report, at most once a second."""
        if not self._suppressed or now_s - self._reported_s < REPORT_INTERVAL_S:
            return ""
        self._reported_s = now_s
        suppressed, self._suppressed = self._suppressed, Counter()
        return ",".join(f"{name}:{count}" for name, count in suppressed.most_common())
