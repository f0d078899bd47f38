"""An entry's own requests at one upstream, and which of them will not be answered.

Load: an upstream that can't queue a request never answers it, nor any later request on
that connection. Such a request occupies neither a slot nor a place in the queue.
"""

from typing import NamedTuple


class _Sent(NamedTuple):
    at_ms: float
    silent_after_ms: float


class OwnRequests:
    """Track when requests were sent; callers pass the time."""

    __slots__ = ("_answered_ms", "_ignored_ms", "_sent")

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}
        self._answered_ms = float("-inf")
        # When the latest request was sent that ended without an answer.
        self._ignored_ms = float("-inf")

    def add(self, permit: str, silent_after_ms: float, now_ms: float) -> None:
        """Record a sent request, and after which time it counts as unanswered."""
        self._sent[permit] = _Sent(now_ms, silent_after_ms)

    def remove(self, permit: str, now_ms: float) -> bool:
        """Drop a request that has ended; return whether it took as long as silence."""
        sent = self._sent.pop(permit, None)
        if sent is None or not _is_silent(sent, now_ms):
            return False
        self._ignored_ms = max(self._ignored_ms, sent.at_ms)
        return True

    def record_answer(self, now_ms: float) -> None:
        """Record that the upstream answered a request."""
        self._answered_ms = now_ms

    def silent_after_ms(self, permit: str) -> float | None:
        """Return after which time a running request counts as unanswered, or None."""
        found = self._sent.get(permit)
        return None if found is None else found.silent_after_ms

    def silent(self, now_ms: float) -> int:
        """Return how many requests will not be answered."""
        return sum(_is_silent(sent, now_ms) for sent in self._sent.values())

    def is_suspect(self, now_ms: float) -> bool:
        """Return whether the upstream has not answered since a request it ignored."""
        ignored = [s.at_ms for s in self._sent.values() if _is_silent(s, now_ms)]
        return max(ignored, default=self._ignored_ms) > self._answered_ms

    def oldest_ms(self, now_ms: float) -> float:
        """Return the age of the oldest request that may still be answered, or 0."""
        ages = [
            now_ms - sent.at_ms
            for sent in self._sent.values()
            if not _is_silent(sent, now_ms)
        ]
        return max(ages, default=0.0)


def _is_silent(sent: _Sent, now_ms: float) -> bool:
    return now_ms - sent.at_ms >= sent.silent_after_ms
