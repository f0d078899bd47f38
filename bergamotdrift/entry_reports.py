"""What entries report of a permit shard: running permits and idle connections."""

from bergamotdrift.arbiter_messages import Resume
from bergamotdrift.permit_table import PermitTable
from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_pool import UpstreamPool


class EntryReports:
    """Bring a shard's permits and connections in line with the entries' reports."""

    def __init__(
        self,
        permits: PermitTable,
        upstreams: UpstreamPool,
        entries: frozenset[EntryId],
    ):
        self._permits = permits
        self._upstreams = upstreams
        # Entries whose idle connections aren't known on their present stream.
        self._unreported = set(entries)

    def disconnected(self, entry: EntryId) -> None:
        """Keep the permits of an entry until it reports on its next stream."""
        self._unreported.add(entry)
        self._permits.unconfirm(entry)

    def joined(self, entries: frozenset[EntryId]) -> None:
        """Expect the first report of new entries."""
        self._unreported |= entries

    def left(self, entry: EntryId) -> None:
        """Free what an entry held whose session has ended."""
        self._unreported.discard(entry)
        for permit in self._permits.remove_entry(entry):
            self._upstreams.end(permit, kept=False)
        self._upstreams.forget_connections(entry)

    def take(self, entry: EntryId, msg: Resume, now_ms: float) -> None:
        """Take what an entry holds; what it lost with an earlier stream is freed."""
        self._free_lost(entry, {running.permit for running in msg.permits})
        for running in msg.permits:
            permit = self._permits.adopt(entry, running, now_ms)
            if permit is not None:
                self._upstreams.adopt(permit)
        # A later report may cross a grant that counts on an idle connection.
        if entry in self._unreported:
            self._unreported.discard(entry)
            self._take_connections(entry, msg)

    def _free_lost(self, entry: EntryId, listed: set[str]) -> None:
        for permit in self._permits.unconfirmed_of(entry):
            if permit.permit not in listed:
                self._permits.remove(entry, permit.permit)
                self._upstreams.end(permit, kept=False)

    def _take_connections(self, entry: EntryId, msg: Resume) -> None:
        self._upstreams.forget_connections(entry)
        for kept in msg.kept:
            self._upstreams.replace_connections(entry, kept.upstream, kept.connections)
