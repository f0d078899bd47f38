"""Tables that record the log index of each row's last change, for feed deltas."""

from collections.abc import Callable, Iterator
from typing import Any, Generic, NamedTuple, TypeVar

from bergamotdrift.messages import RemovedRow

K = TypeVar("K")
R = TypeVar("R")

MAX_TOMBSTONES = 4096


class VersionedRow(NamedTuple, Generic[R]):
    """A row and the log index of its last change."""

    row: R
    changed_at: int


class RowTable(Generic[K, R]):
    """Rows in the order of their last change.

    The number of tombstones is bounded; `tombstone_floor` is the log index up to
    which they have been dropped. A delta from a lower index would miss removals.
    """

    def __init__(self, name: str, key_fields: Callable[[K], tuple[str, ...]]):
        self.name = name
        self.tombstone_floor = 0
        # Incremented whenever a row is stored or removed.
        self.version = 0
        self._key_fields = key_fields
        self._stored: dict[K, VersionedRow[R]] = {}
        self._removed: dict[K, int] = {}

    def __len__(self) -> int:
        return len(self._stored)

    def __contains__(self, key: K) -> bool:
        return key in self._stored

    def get(self, key: K) -> R | None:
        """Return a row, or None."""
        stored = self._stored.get(key)
        return stored.row if stored is not None else None

    def changed_at(self, key: K) -> int:
        """Return the log index of a row's last change, 0 if there is no row."""
        stored = self._stored.get(key)
        return stored.changed_at if stored is not None else 0

    def list_keys(self) -> list[K]:
        """Return the keys, least recently changed first."""
        return list(self._stored)

    def rows(self) -> Iterator[R]:
        """Return the rows, least recently changed first."""
        return (stored.row for stored in self._stored.values())

    def put(self, key: K, row: R, index: int) -> bool:
        """Store a row; return whether it differs from the stored one."""
        before = self._stored.get(key)
        if before is not None and before.row == row:
            return False
        self._stored.pop(key, None)
        self._removed.pop(key, None)
        self._stored[key] = VersionedRow(row, index)
        self.version += 1
        return True

    def remove(self, key: K, index: int) -> bool:
        """Replace a row with a tombstone; return whether there was a row."""
        if self._stored.pop(key, None) is None:
            return False
        self._removed[key] = index
        self.version += 1
        while len(self._removed) > MAX_TOMBSTONES:
            oldest = next(iter(self._removed))
            self.tombstone_floor = self._removed.pop(oldest)
        return True

    def rows_since(self, index: float) -> list[R]:
        """Return the rows changed after a log index, most recently changed first."""
        rows = []
        for key in reversed(self._stored):
            stored = self._stored[key]
            if stored.changed_at <= index:
                break
            rows.append(stored.row)
        return rows

    def removed_since(self, index: int) -> list[RemovedRow]:
        """Return the tombstones of removals after a log index."""
        tombstones = []
        for key in reversed(self._removed):
            if self._removed[key] <= index:
                break
            tombstones.append(RemovedRow(self.name, self._key_fields(key)))
        return tombstones

    def dump(self) -> list[Any]:
        """Return the content for a snapshot."""
        stored = [
            [key, item.row, item.changed_at] for key, item in self._stored.items()
        ]
        removed = [[key, index] for key, index in self._removed.items()]
        return [self.tombstone_floor, stored, removed]

    def load(
        self,
        data: list[Any],
        make_key: Callable[[Any], K],
        make_row: Callable[[Any], R],
    ) -> None:
        """Replace the content with that of a snapshot."""
        self.tombstone_floor, stored, removed = data
        self._stored = {make_key(k): VersionedRow(make_row(r), i) for k, r, i in stored}
        self._removed = {make_key(k): i for k, i in removed}
        self.version += 1
