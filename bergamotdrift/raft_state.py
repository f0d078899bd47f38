"""Raft state shared by all roles, with its pending messages and writes."""

from enum import Enum

from bergamotdrift.raft_memory import MemoryLog
from bergamotdrift.raft_messages import (
    AppendReply,
    Entry,
    HardState,
    Head,
    RaftMessage,
    Ready,
    Snapshot,
    SyncBatch,
    voters_of,
)

# Bound how long applying entries may block the event loop.
MAX_APPLY_ENTRIES = 256
MAX_APPLY_BYTES = 4 * 1024 * 1024


class RaftRole(Enum):
    """Enumerate the roles of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftState:
    """Hold term, vote and log, and collect pending messages and writes."""

    def __init__(self, replica: str, hard_state: HardState, log: MemoryLog):
        self.replica = replica
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.group = hard_state.group
        self.role = RaftRole.FOLLOWER
        self.leader = ""
        self.log = log
        self.commit = max(
            log.snapshot.log_index, min(hard_state.commit, log.last_index)
        )
        self.applied = log.snapshot.log_index
        self._messages: list[RaftMessage] = []
        self._dependents: list[RaftMessage] = []
        self._hard_state_changed = False
        self._first_unsynced: int | None = None
        self._unsaved_snapshot: Snapshot | None = None
        self._pending_restore: Snapshot | None = None
        self._syncing = False
        self._synced_term = hard_state.term
        self._synced_index = log.last_index

    @property
    def voters(self) -> list[str]:
        """Return the identities of the voters in the latest configuration."""
        return voters_of(self.log.members)

    @property
    def peers(self) -> list[str]:
        """Return the identities of all other members."""
        return [m.replica for m in self.log.members if m.replica != self.replica]

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter in the latest configuration."""
        return self.replica in self.voters

    def head(self, to: str, term: int | None = None) -> Head:
        """Return the head of a message; the term defaults to the current one."""
        return Head(self.group, self.replica, to, self.term if term is None else term)

    def set_term(self, term: int, vote: str) -> None:
        """Set term and vote; messages that depend on them wait for the next sync."""
        self.term = term
        self.vote = vote
        self._hard_state_changed = True

    def send(self, msg: RaftMessage) -> None:
        """Queue a message that does not depend on unsynced state."""
        self._messages.append(msg)

    def send_durable(self, msg: RaftMessage) -> None:
        """Queue a message to be sent once all changes so far are synced."""
        if msg.head.to != self.replica and self._is_durable():
            self._messages.append(msg)
        else:
            self._dependents.append(msg)

    def send_heartbeat_reply(self, reply: AppendReply) -> None:
        """Queue the reply to an append that added no entries, without awaiting a sync.

        The leader's lease depends only on the term being synced, so a slow disk does
        not cost the leader its lease. `match` is limited to the synced index.
        """
        if self._synced_term != self.term:
            self.send_durable(reply)
            return
        self.send(reply._replace(match=min(reply.match, self._synced_index)))

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the log, to be synced with the next batch."""
        if not entries:
            return
        self.log.append(entries)
        self._mark_unsynced(entries[0].log_index)

    def truncate(self, index: int) -> None:
        """Remove all entries from an index on; none may be committed."""
        self.log.truncate(index)
        self._mark_unsynced(index)

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log and the applied state by a snapshot."""
        self.log.install(snapshot)
        self.commit = self.applied = snapshot.log_index
        self._unsaved_snapshot = self._pending_restore = snapshot
        self._first_unsynced = None
        self._synced_index = 0

    def compact(self, snapshot: Snapshot, keep: int) -> None:
        """Compact the log into a snapshot of the applied state."""
        self.log.compact(snapshot, keep)
        self._unsaved_snapshot = snapshot

    def take_ready(self) -> Ready:
        """Return the pending work; with a batch only if the last one is synced."""
        messages, self._messages = self._messages, []
        restore, self._pending_restore = self._pending_restore, None
        return Ready(messages, self._take_batch(), restore, self._take_committed())

    def finish_batch(self, batch: SyncBatch) -> list[RaftMessage]:
        """Queue a synced batch's messages; return those addressed to this replica."""
        self._syncing = False
        self._synced_term = batch.hard_state.term
        self._update_synced_index(batch)
        for msg in batch.dependents:
            if msg.head.to != self.replica:
                self._messages.append(msg)
        return [msg for msg in batch.dependents if msg.head.to == self.replica]

    def _update_synced_index(self, batch: SyncBatch) -> None:
        if self._unsaved_snapshot is not None:
            # The log was replaced or compacted while the batch was being synced.
            return
        if batch.entries:
            self._synced_index = batch.entries[-1].log_index
        elif batch.snapshot is not None:
            self._synced_index = batch.snapshot.log_index
        if self._first_unsynced is not None:
            # Entries that were overwritten during the sync don't count.
            self._synced_index = min(self._synced_index, self._first_unsynced - 1)

    def _is_durable(self) -> bool:
        return not self._has_changes() and not self._syncing

    def _has_changes(self) -> bool:
        log_changed = (
            self._first_unsynced is not None or self._unsaved_snapshot is not None
        )
        return self._hard_state_changed or log_changed

    def _mark_unsynced(self, index: int) -> None:
        if self._first_unsynced is None or index < self._first_unsynced:
            self._first_unsynced = index
        self._synced_index = min(self._synced_index, index - 1)

    def _take_batch(self) -> SyncBatch | None:
        changed = self._has_changes()
        if self._syncing or not (changed or self._dependents):
            return None
        snapshot = self._unsaved_snapshot
        entries: list[Entry] = []
        if snapshot is not None:
            entries = self.log.entries_after(snapshot.log_index)
        elif self._first_unsynced is not None:
            entries = self.log.entries_after(self._first_unsynced - 1)
        hard_state = HardState(self.term, self.vote, self.commit, self.group)
        batch = SyncBatch(hard_state, snapshot, entries, changed, self._dependents)
        self._dependents = []
        self._hard_state_changed = False
        self._first_unsynced = self._unsaved_snapshot = None
        self._syncing = True
        return batch

    def _take_committed(self) -> list[Entry]:
        count = min(MAX_APPLY_ENTRIES, self.commit - self.applied)
        if count <= 0:
            return []
        entries = self.log.entries_from(self.applied + 1, count, MAX_APPLY_BYTES)
        self.applied += len(entries)
        return entries
