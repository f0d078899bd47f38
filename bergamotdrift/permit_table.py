"""Running permits of one shard, found by name, by request and by entry."""

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
    reports it again, since its grant may have been lost on the way.
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
        """Grant a permit to a waiter."""
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
        self._store(permit)
        return permit

    def adopt(
        self, entry: EntryId, running: RunningPermit, now_ms: float
    ) -> Permit | None:
        """Take over a permit that an entry reports; None if it is known already."""
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
        self._store(permit)
        return permit

    def remove(self, entry: EntryId, name: str) -> Permit | None:
        """Take out and return a permit of an entry, or None."""
        permit = self._permits.get(name)
        if permit is None or permit.entry != entry:
            return None
        del self._permits[name]
        self._unconfirmed.discard(name)
        if permit.key is not None:
            del self._by_key[permit.key]
        self._count_partition(permit.partition, -1)
        return permit

    def remove_request(self, key: WaiterKey) -> Permit | None:
        """Take out and return the permit granted to a request, or None."""
        name = self._by_key.get(key)
        return self.remove(key.entry, name) if name is not None else None

    def remove_entry(self, entry: EntryId) -> list[Permit]:
        """Take out and return all permits of an entry."""
        permits = self.of_entry(entry)
        for permit in permits:
            self.remove(entry, permit.permit)
        return permits

    def has_request(self, key: WaiterKey) -> bool:
        """Tell whether a request holds a permit."""
        return key in self._by_key

    def of_entry(self, entry: EntryId) -> list[Permit]:
        """Return the permits of an entry."""
        return [permit for permit in self._permits.values() if permit.entry == entry]

    def unconfirm(self, entry: EntryId) -> None:
        """Mark the permits of an entry whose stream was lost."""
        self._unconfirmed.update(permit.permit for permit in self.of_entry(entry))

    def unconfirmed_of(self, entry: EntryId) -> list[Permit]:
        """Return the unconfirmed permits of an entry."""
        return [p for p in self.of_entry(entry) if p.permit in self._unconfirmed]

    def runs_in(self, partition: int) -> bool:
        """Tell whether a permit runs in a partition, under any epoch."""
        return partition in self._by_partition

    def entries_at(self, upstream: str) -> set[EntryId]:
        """Return the entries that hold permits at an upstream."""
        return {p.entry for p in self._permits.values() if p.upstream == upstream}

    def _store(self, permit: Permit) -> None:
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
