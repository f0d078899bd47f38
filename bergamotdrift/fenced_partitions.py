"""Partitions whose upstream refuses their epoch because its grant is still missing."""

from collections.abc import Callable

# An upstream receives its grants in the replies to its announcements, every 500 ms.
# Until then, retries of each request would only use up the entry's retry budget.
_PAUSE_MS = 50.0


class FencedPartitions:
    """Pause partitions after a fenced attempt, then let single requests probe them."""

    def __init__(self) -> None:
        self._resume_at_ms: dict[int, float] = {}

    def __bool__(self) -> bool:
        return bool(self._resume_at_ms)

    def pause(self, partition: int, now_ms: float) -> None:
        """Pause a partition."""
        self._resume_at_ms[partition] = now_ms + _PAUSE_MS

    def resume(self, partition: int) -> bool:
        """End the pause of a partition; return whether it was paused."""
        return self._resume_at_ms.pop(partition, None) is not None

    def retain(self, partitions: set[int]) -> None:
        """Drop all partitions except those in `partitions`, which are still owned."""
        for partition in self._resume_at_ms.keys() - partitions:
            del self._resume_at_ms[partition]

    def is_paused(
        self, partition: int, is_running: Callable[[int], bool], now_ms: float
    ) -> bool:
        """Return whether a request for a partition must wait.

        `is_running` tells whether a request of the partition is running.
        """
        resume_at_ms = self._resume_at_ms.get(partition)
        if resume_at_ms is None:
            return False
        return now_ms < resume_at_ms or is_running(partition)
