"""In-memory log: the latest snapshot and the entries that are not compacted."""

from typing import NamedTuple

from bergamotdrift.raft_messages import (
    Entry,
    EntryKind,
    Member,
    Snapshot,
    decode_members,
)


class _MembersAt(NamedTuple):
    log_index: int
    members: list[Member]


class MemoryLog:
    """Hold the latest snapshot and the entries after it.

    A compaction may keep some entries before the snapshot index, so that a follower
    that is slightly behind does not need a snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]):
        self._entries: list[Entry] = []
        self.install(snapshot)
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> list[Member]:
        """Return the members in the latest configuration, committed or not."""
        return self._members[-1].members

    @property
    def members_index(self) -> int:
        """Return the index of the latest configuration."""
        return self._members[-1].log_index

    def members_at(self, index: int) -> list[Member]:
        """Return the members as of an index, which must not precede the snapshot."""
        return next(m.members for m in reversed(self._members) if m.log_index <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if the log does not contain it."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def entries_from(self, index: int, count: int, size: int) -> list[Entry]:
        """Return the entries from an index on, limited by count and size in bytes.

        The first entry is returned whatever its size.
        """
        start = max(0, index - self._base_index - 1)
        selected = self._entries[start : start + count]
        total = 0
        for number, entry in enumerate(selected):
            total += len(entry.data)
            if number > 0 and total > size:
                return selected[:number]
        return selected

    def entries_after(self, index: int) -> list[Entry]:
        """Return all entries after an index."""
        return self._entries[max(0, index - self._base_index) :]

    def first_of_term(self, index: int) -> int:
        """Return the first index in the log of the term at an index."""
        term = self.term_at(index)
        while index > self._base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: list[Entry]) -> None:
        """Append entries that follow the last one; raise ValueError on a gap."""
        for entry in entries:
            if entry.log_index != self.last_index + 1:
                raise ValueError(
                    f"entry {entry.log_index} can't follow {self.last_index}"
                )
            if entry.kind is EntryKind.MEMBERS:
                members = decode_members(entry.data)
                self._members.append(_MembersAt(entry.log_index, members))
            self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove all entries from an index on."""
        del self._entries[index - self._base_index - 1 :]
        while len(self._members) > 1 and self._members[-1].log_index >= index:
            self._members.pop()

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self._base_index = snapshot.log_index
        self._base_term = snapshot.term
        self._entries.clear()
        self._members = [_MembersAt(snapshot.log_index, snapshot.members)]

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Store a snapshot and discard all but `keep` entries up to its index."""
        base = max(self._base_index, snapshot.log_index - keep)
        base_term = self.term_at(base)
        assert base_term is not None
        del self._entries[: base - self._base_index]
        self._base_index = base
        self._base_term = base_term
        self.snapshot = snapshot
        later = [m for m in self._members if m.log_index > snapshot.log_index]
        self._members = [_MembersAt(snapshot.log_index, snapshot.members), *later]
