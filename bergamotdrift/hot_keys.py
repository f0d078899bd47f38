"""Bounded counts of the hottest routing keys and of partitions."""

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
    """Count keys by the space-saving method in bounded memory.

    A key that comes in anew takes over the count of the least counted one, so a
    count may be too high by that much but no hot key is missed.
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
        floor = self._evict() if len(self._counts) >= self._limit else 0
        self._counts[key] = floor + 1
        self._errors[key] = floor
        heapq.heappush(self._heap, (floor + 1, key))

    def top(self, count: int) -> list[KeyCount]:
        """Return the hottest keys with the counts that are certain."""
        certain = [
            KeyCount(key, total - self._errors[key])
            for key, total in self._counts.items()
        ]
        return heapq.nlargest(count, certain, key=lambda item: item.requests)

    def _evict(self) -> int:
        # Heap entries lag behind the counts; each is corrected when it comes up.
        while True:
            listed, key = self._heap[0]
            count = self._counts[key]
            if listed == count:
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
        """Return the counts since the last report and start anew; None if empty."""
        window_ms = int(now_ms - self._since_ms)
        partitions, self._partitions = self._partitions, {}
        keys, self._keys = self._keys, TopKeys()
        self._since_ms = now_ms
        if not partitions:
            return None
        loads = [PartitionLoad(*item) for item in sorted(partitions.items())]
        return LoadReport(self._service, window_ms, loads, keys.top(_KEYS_REPORTED))
