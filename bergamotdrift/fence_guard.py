"""Rate limit for requests to partitions whose owner has not received its grant yet."""

from cachetools import TTLCache

from bergamotdrift.feed_tables import PartitionId

# An upstream receives a grant in the reply to its next announcement, up to 500 ms after
# the feed has informed the entries. Until then single requests probe the owner. At this
# interval, the probes stay within the smallest retry budget of 3 per second.
PROBE_INTERVAL_MS = 200.0
_MAX_PARTITIONS = 4096
_FORGET_AFTER_MS = 10_000.0


class FenceGuard:
    """Let one request per interval probe a partition whose owner fenced another."""

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._next_probe_ms: TTLCache[tuple[PartitionId, int], float] = TTLCache(
            _MAX_PARTITIONS, _FORGET_AFTER_MS, timer=lambda: self._now_ms
        )

    def record_fenced(self, partition: PartitionId, epoch: int, now_ms: float) -> None:
        """Record that the owner refused the epoch."""
        self._now_ms = now_ms
        self._next_probe_ms[partition, epoch] = now_ms + PROBE_INTERVAL_MS

    def record_accepted(self, partition: PartitionId, epoch: int) -> bool:
        """Record that the owner accepts the epoch; return whether it was fenced."""
        return self._next_probe_ms.pop((partition, epoch), None) is not None

    def may_send(self, partition: PartitionId, epoch: int, now_ms: float) -> bool:
        """Return whether a request may be sent to the owner now."""
        self._now_ms = now_ms
        next_try_ms = self._next_probe_ms.get((partition, epoch))
        if next_try_ms is None:
            return True
        if now_ms < next_try_ms:
            return False
        self._next_probe_ms[partition, epoch] = now_ms + PROBE_INTERVAL_MS
        return True
