"""Running permits of one shard, indexed by ID and by request."""

from collections.abc import Iterator
from typing import NamedTuple

from bergamotdrift.arbiter_messages import RunningPermit
from bergamotdrift.connection_count import NEW_CONNECTION, ConnectionUse
from bergamotdrift.permit_queue import Waiter, WaiterKey
from bergamotdrift.takeover import EntryId


class Permit(NamedTuple):
    """Hold one running permit; `key` is None if an earlier arbiter granted it."""

    permit: str
    entry: EntryId
    key: WaiterKey | None
    upstream: str
    partition: int
    workspace: str
    use: ConnectionUse
    granted_at_ms: float


class PermitTable:
    """Hold the running permits of one shard.

    A permit is unconfirmed from the loss of its entry's stream until the entry
    reports it again, since its grant may have been lost with the stream.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix
        self._last_number = 0
        self._permits: dict[str, Permit] = {}
        self._by_key: dict[WaiterKey, str] = {}
        self._by_partition: dict[int, int] = {}
        self._unconfirmed: set[str] = set()

    def __len__(self) -> int:
        return len(self._permits)

    def __iter__(self) -> Iterator[Permit]:
        return iter(self._permits.values())

    def add(
        self, waiter: Waiter, upstream: str, use: ConnectionUse, now_ms: float
    ) -> Permit:
        """Create and return a permit for a waiter."""
        self._last_number += 1
        permit = Permit(
            f"{self._prefix}-{self._last_number:x}",
            waiter.entry,
            waiter.key,
            upstream,
            waiter.req.partition,
            waiter.req.workspace,
            use,
            now_ms,
        )
        self._insert(permit)
        return permit

    def adopt(
        self, entry: EntryId, running: RunningPermit, now_ms: float
    ) -> Permit | None:
        """Add a permit that an entry reports; return None if it is already known."""
        known = self._permits.get(running.permit)
        if known is not None:
            if known.entry == entry:
                self._unconfirmed.discard(running.permit)
            return None
        permit = Permit(
            running.permit,
            entry,
            None,
            running.upstream,
            running.partition,
            running.workspace,
            NEW_CONNECTION,
            now_ms,
        )
        self._insert(permit)
        return permit

    def remove(self, entry: EntryId, permit_id: str) -> Permit | None:
        """Remove and return a permit of an entry, or None."""
        permit = self._permits.get(permit_id)
        if permit is None or permit.entry != entry:
            return None
        del self._permits[permit_id]
        self._unconfirmed.discard(permit_id)
        if permit.key is not None:
            del self._by_key[permit.key]
        self._count_partition(permit.partition, -1)
        return permit

    def remove_request(self, key: WaiterKey) -> Permit | None:
        """Remove and return the permit granted to a request, or None."""
        permit_id = self._by_key.get(key)
        return self.remove(key.entry, permit_id) if permit_id is not None else None

    def remove_entry(self, entry: EntryId) -> list[Permit]:
        """Remove and return all permits of an entry."""
        permits = self.permits_of(entry)
        for permit in permits:
            self.remove(entry, permit.permit)
        return permits

    def has_request(self, key: WaiterKey) -> bool:
        """Return whether a request holds a permit."""
        return key in self._by_key

    def permits_of(self, entry: EntryId) -> list[Permit]:
        """Return the permits of an entry."""
        return [permit for permit in self._permits.values() if permit.entry == entry]

    def mark_unconfirmed(self, entry: EntryId) -> None:
        """Mark the permits of an entry as unconfirmed after its stream was lost."""
        self._unconfirmed.update(permit.permit for permit in self.permits_of(entry))

    def unconfirmed_permits_of(self, entry: EntryId) -> list[Permit]:
        """Return the unconfirmed permits of an entry."""
        return [p for p in self.permits_of(entry) if p.permit in self._unconfirmed]

    def is_partition_in_use(self, partition: int) -> bool:
        """Return whether a permit runs in a partition, under any epoch."""
        return partition in self._by_partition

    def entries_using(self, upstream: str) -> set[EntryId]:
        """Return the entries that hold permits at an upstream."""
        return {p.entry for p in self._permits.values() if p.upstream == upstream}

    def _insert(self, permit: Permit) -> None:
        self._permits[permit.permit] = permit
        if permit.key is not None:
            self._by_key[permit.key] = permit.permit
        self._count_partition(permit.partition, 1)

    def _count_partition(self, partition: int, change: int) -> None:
        count = self._by_partition.get(partition, 0) + change
        if count:
            self._by_partition[partition] = count
        else:
            self._by_partition.pop(partition, None)
