"""Gate that blocks a shard's new arbiter until every entry has reported."""

from typing import NamedTuple


class EntryId(NamedTuple):
    """Identify one process run of an entry."""

    node: str
    incarnation: str


class TakeoverGate:
    """Stay closed until every entry that was a member at the takeover has reported.

    An entry that joins later has a feed newer than the takeover, so it can't hold
    anything that the previous arbiter granted.
    """

    __slots__ = ("_missing",)

    def __init__(self, members: frozenset[EntryId]):
        self._missing = set(members)

    @property
    def is_open(self) -> bool:
        """Return whether every member has reported."""
        return not self._missing

    @property
    def missing(self) -> frozenset[EntryId]:
        """Return the entries that have not reported yet."""
        return frozenset(self._missing)

    def report(self, entry: EntryId) -> None:
        """Record that an entry has reported what it holds."""
        self._missing.discard(entry)

    def keep_members(self, members: frozenset[EntryId]) -> None:
        """Stop waiting for entries whose session control has ended."""
        self._missing &= members
