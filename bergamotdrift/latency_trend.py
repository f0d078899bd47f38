"""Trend of an upstream's latency, by which it shows that it can't keep up.

The code here does no I/O.
"""

# Weights of the latest sample. The usual latency follows a faster upstream at once and
# a slower one over tens of responses.
_RECENT_WEIGHT = 0.3
_USUAL_WEIGHT = 0.02
# Upstreams differ in speed by a factor of 2 to 3, and change it within a second.
_RISEN_FROM = 3.0


class LatencyTrend:
    """Compare the recent latency of an upstream with its own usual one."""

    __slots__ = ("_recent", "_usual")

    def __init__(self) -> None:
        self._recent = 0.0
        self._usual = 0.0

    def add(self, latency: float) -> None:
        """Add a mean latency, relative to that of the same routes elsewhere."""
        if not self._usual:
            self._recent = self._usual = latency
            return
        self._recent += _RECENT_WEIGHT * (latency - self._recent)
        weight = 1.0 if self._recent < self._usual else _USUAL_WEIGHT
        self._usual += weight * (self._recent - self._usual)

    def has_risen(self) -> bool:
        """Return whether responses take much longer than usual."""
        return self._recent > _RISEN_FROM * self._usual
