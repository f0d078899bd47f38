"""Request counts of the hottest routing keys and of partitions, in bounded memory."""

import heapq

from bergamotdrift.arbiter_messages import NO_PARTITION
from bergamotdrift.messages import (
    KeyCount,
    LoadReport,
    PartitionLoad,
)

_KEYS_MAX = 256
_KEYS_REPORTED = 32


class TopKeys:
    """Find the most frequent keys with the Space-Saving algorithm.

    A new key replaces the key with the lowest count and takes over that count. So a
    count may be too high by this error, but no hot key is missed.
    """

    def __init__(self, limit: int = _KEYS_MAX):
        self._limit = limit
        self._counts: dict[int, int] = {}
        self._errors: dict[int, int] = {}
        self._heap: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: int) -> None:
        """Count one use of a key."""
        count = self._counts.get(key)
        if count is not None:
            self._counts[key] = count + 1
            return
        min_count = self._evict() if len(self._counts) >= self._limit else 0
        self._counts[key] = min_count + 1
        self._errors[key] = min_count
        heapq.heappush(self._heap, (min_count + 1, key))

    def top(self, count: int) -> list[KeyCount]:
        """Return the hottest keys with the guaranteed part of their counts."""
        certain = [
            KeyCount(key, total - self._errors[key])
            for key, total in self._counts.items()
        ]
        return heapq.nlargest(count, certain, key=lambda item: item.requests)

    def _evict(self) -> int:
        # Counts in the heap are updated lazily, when their key reaches the top.
        while True:
            heap_count, key = self._heap[0]
            count = self._counts[key]
            if heap_count == count:
                heapq.heappop(self._heap)
                del self._counts[key], self._errors[key]
                return count
            heapq.heapreplace(self._heap, (count, key))


class LoadCounter:
    """Count the requests of one keyed service between reports."""

    def __init__(self, service: str, now_ms: float):
        self._service = service
        self._since_ms = now_ms
        self._keys = TopKeys()
        self._partitions: dict[int, int] = {}

    def add(self, partition: int, key_hash: int) -> None:
        """Count one request."""
        if partition == NO_PARTITION:
            return
        self._keys.add(key_hash)
        self._partitions[partition] = self._partitions.get(partition, 0) + 1

    def take_report(self, now_ms: float) -> LoadReport | None:
        """Return the counts since the last report and reset them; None if empty."""
        window_ms = int(now_ms - self._since_ms)
        partitions, self._partitions = self._partitions, {}
        keys, self._keys = self._keys, TopKeys()
        self._since_ms = now_ms
        if not partitions:
            return None
        loads = [PartitionLoad(*item) for item in sorted(partitions.items())]
        return LoadReport(self._service, window_ms, loads, keys.top(_KEYS_REPORTED))
