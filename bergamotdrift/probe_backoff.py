"""Growing pauses between single requests that find out whether an upstream is back."""

PROBE_MIN_MS = 100.0
PROBE_MAX_MS = 1000.0


class ProbePause:
    """Hold whether an upstream is down, and when it may be tried again."""

    __slots__ = ("_at_ms", "_wait_ms")

    def __init__(self) -> None:
        self._at_ms = 0.0
        self._wait_ms = 0.0

    @property
    def is_down(self) -> bool:
        """Tell whether the upstream gets at most single probing requests."""
        return self._wait_ms > 0

    def may_probe(self, now_ms: float) -> bool:
        """Tell whether the pause is over."""
        return now_ms >= self._at_ms

    def end(self, now_ms: float) -> None:
        """Let the next request probe at once."""
        self._at_ms = min(self._at_ms, now_ms)

    def mark_up(self) -> None:
        """Take note that the upstream answers."""
        self._wait_ms = 0.0

    def mark_down(self, now_ms: float) -> None:
        """Begin a pause, twice as long as the last one."""
        if now_ms < self._at_ms:
            # A request from before the pause says nothing new.
            return
        self._wait_ms = min(PROBE_MAX_MS, max(PROBE_MIN_MS, self._wait_ms * 2))
        self._at_ms = now_ms + self._wait_ms
