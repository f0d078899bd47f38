"""Exponential backoff between probe requests to an upstream that is down."""

MIN_PROBE_BACKOFF_MS = 100.0
MAX_PROBE_BACKOFF_MS = 1000.0


class ProbeBackoff:
    """Track whether an upstream is down and when it may be probed."""

    __slots__ = ("_at_ms", "_wait_ms")

    def __init__(self) -> None:
        self._at_ms = 0.0
        self._wait_ms = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the upstream is down and receives only single probe requests."""
        return self._wait_ms > 0

    def may_probe(self, now_ms: float) -> bool:
        """Return whether the next probe request is due."""
        return now_ms >= self._at_ms

    def probe_now(self, now_ms: float) -> None:
        """Allow the next request to probe at once."""
        self._at_ms = min(self._at_ms, now_ms)

    def mark_up(self) -> None:
        """Mark the upstream as up, since it responds."""
        self._wait_ms = 0.0

    def mark_down(self, now_ms: float) -> None:
        """Delay the next probe by twice the previous delay, within bounds."""
        if now_ms < self._at_ms:
            # Failures of requests sent before the delay began don't extend it.
            return
        self._wait_ms = min(
            MAX_PROBE_BACKOFF_MS, max(MIN_PROBE_BACKOFF_MS, self._wait_ms * 2)
        )
        self._at_ms = now_ms + self._wait_ms
