"""Reports of entries to a permit shard: running permits and idle connections."""

from bergamotdrift.arbiter_messages import Resume
from bergamotdrift.permit_table import PermitTable
from bergamotdrift.takeover import EntryId
from bergamotdrift.upstream_pool import UpstreamPool


class EntryReports:
    """Reconcile a shard's permits and connections with the entries' reports."""

    def __init__(
        self,
        permits: PermitTable,
        upstreams: UpstreamPool,
        entries: frozenset[EntryId],
    ):
        self._permits = permits
        self._upstreams = upstreams
        # Entries that haven't yet reported idle connections on their current stream.
        self._unreported = set(entries)

    def mark_disconnected(self, entry: EntryId) -> None:
        """Mark the permits of an entry as unconfirmed until its next report."""
        self._unreported.add(entry)
        self._permits.mark_unconfirmed(entry)

    def add_entries(self, entries: frozenset[EntryId]) -> None:
        """Add new entries, whose first report is expected."""
        self._unreported |= entries

    def remove_entry(self, entry: EntryId) -> None:
        """Release the permits and connections of an entry whose session has ended."""
        self._unreported.discard(entry)
        for permit in self._permits.remove_entry(entry):
            self._upstreams.end(permit, kept=False)
        self._upstreams.clear_idle_connections(entry)

    def apply_report(self, entry: EntryId, msg: Resume, now_ms: float) -> None:
        """Adopt what an entry reports, and release permits that it no longer lists."""
        self._release_unreported(entry, {running.permit for running in msg.permits})
        for running in msg.permits:
            permit = self._permits.adopt(entry, running, now_ms)
            if permit is not None:
                self._upstreams.adopt(permit)
        # Later reports on the same stream are ignored here: they may cross a grant
        # that counts on an idle connection.
        if entry in self._unreported:
            self._unreported.discard(entry)
            self._replace_connections(entry, msg)

    def _release_unreported(self, entry: EntryId, reported: set[str]) -> None:
        for permit in self._permits.unconfirmed_permits_of(entry):
            if permit.permit not in reported:
                self._permits.remove(entry, permit.permit)
                self._upstreams.end(permit, kept=False)

    def _replace_connections(self, entry: EntryId, msg: Resume) -> None:
        self._upstreams.clear_idle_connections(entry)
        for kept in msg.kept:
            self._upstreams.set_idle_connections(entry, kept.upstream, kept.connections)
