"""Replication, commit, lease, membership and transfer on the leader."""

from collections.abc import Callable, Iterable

from bergamotdrift.raft_messages import (
    AppendEntries,
    AppendReply,
    Entry,
    EntryKind,
    Member,
    RaftTimings,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    encode_members,
    voters_of,
)
from bergamotdrift.raft_progress import (
    MAX_APPEND_BYTES,
    MAX_APPEND_ENTRIES,
    SNAPSHOT_CHUNK_BYTES,
    Flow,
    Progress,
)
from bergamotdrift.raft_state import RaftState

_NEVER = float("-inf")


class Leader:
    """Hold the leader's volatile state for one term, and replicate the log."""

    def __init__(self, state: RaftState, timings: RaftTimings, now_ms: float):
        self._state = state
        self._timings = timings
        self._elected_ms = now_ms
        self._next_heartbeat_ms = now_ms + timings.heartbeat_ms
        self._own_match = 0
        self._progress: dict[str, Progress] = {}
        self._term_start_index = state.log.last_index + 1
        self._transfer_deadline_ms = _NEVER
        # Start of the lease: a send time whose messages a quorum has answered.
        self._lease_start_ms = _NEVER
        self.transferee = ""
        self._update_progress()
        self._append([(EntryKind.NOOP, b"")], now_ms)

    @property
    def next_wake_ms(self) -> float:
        """Return when the next heartbeat is due."""
        return self._next_heartbeat_ms

    def progress_of(self, replica: str) -> Progress | None:
        """Return the replication progress of another member."""
        return self._progress.get(replica)

    def match_of(self, replica: str) -> int:
        """Return the highest index that a member is known to have synced."""
        if replica == self._state.replica:
            return self._own_match
        progress = self._progress.get(replica)
        return progress.match if progress else 0

    def is_active(self, replica: str, now_ms: float) -> bool:
        """Return whether a member answered within the election timeout."""
        progress = self._progress.get(replica)
        if progress is None:
            return replica == self._state.replica
        return now_ms < progress.acked_ms + self._timings.election_min_ms

    def is_unresponsive(self, replica: str, now_ms: float) -> bool:
        """Return whether a member has been inactive for a timeout in this term."""
        timeout_elapsed = now_ms >= self._elected_ms + self._timings.election_min_ms
        return timeout_elapsed and not self.is_active(replica, now_ms)

    def has_lease(self, now_ms: float) -> bool:
        """Return whether the leader lease is valid: no quorum can elect another."""
        lease_ms = self._timings.election_min_ms - self._timings.drift_margin_ms
        if now_ms < self._lease_start_ms + lease_ms:
            return True
        # Replies only move the time forward, so it is recomputed once it is too old.
        self._lease_start_ms = self._quorum_acked_ms(now_ms)
        return now_ms < self._lease_start_ms + lease_ms

    def has_lost_quorum(self, now_ms: float) -> bool:
        """Return whether no quorum answered within the election timeout."""
        since_ms = max(self._elected_ms, self._quorum_acked_ms(now_ms))
        return now_ms >= since_ms + self._timings.election_min_ms

    def has_applied(self) -> bool:
        """Return whether all entries committed in earlier terms are applied."""
        return self._state.applied >= self._term_start_index

    def propose(self, commands: list[bytes], now_ms: float) -> int:
        """Append commands and return the index of the first one."""
        return self._append([(EntryKind.COMMAND, c) for c in commands], now_ms)

    def may_change_members(self) -> bool:
        """Return whether a new membership change may be proposed.

        The last change must be committed. The first entry of this term must be
        applied, so that the membership rules see all earlier commands.
        """
        is_committed = self._state.log.members_index <= self._state.commit
        return is_committed and self.has_applied() and not self.transferee

    def propose_members(self, members: list[Member], now_ms: float) -> bool:
        """Append a change that adds or removes at most one voter, or return False."""
        changed = set(voters_of(members)) ^ set(self._state.voters)
        if not self.may_change_members() or len(changed) > 1 or not voters_of(members):
            return False
        self._append([(EntryKind.MEMBERS, encode_members(members))], now_ms)
        self._update_progress()
        return True

    def tick(self, now_ms: float) -> None:
        """Send heartbeats when they are due."""
        if self.transferee and now_ms >= self._transfer_deadline_ms:
            # TimeoutNow has not been sent, so this leader may continue.
            self.transferee = ""
        if now_ms < self._next_heartbeat_ms:
            return
        self._next_heartbeat_ms = now_ms + self._timings.heartbeat_ms
        for replica, progress in self._progress.items():
            progress.on_heartbeat()
            if not self._replicate(replica, progress, now_ms):
                self._send_heartbeat(replica, progress, now_ms)

    def on_append_reply(self, msg: AppendReply, now_ms: float) -> None:
        """Update a member's progress, and commit what a quorum has synced."""
        state = self._state
        if msg.match > state.log.last_index or msg.match < 0:
            return
        if msg.head.sender == state.replica:
            self._own_match = max(self._own_match, msg.match)
            self._advance_commit()
            return
        progress = self._progress.get(msg.head.sender)
        if progress is None:
            return
        progress.on_reply(msg.sent_ms, now_ms)
        if msg.success:
            progress.on_match(msg.match)
            self._advance_commit()
        else:
            progress.on_reject(msg.prev_index, msg.match)
        self._replicate(msg.head.sender, progress, now_ms)

    def on_snapshot_reply(self, msg: SnapshotReply, now_ms: float) -> None:
        """Send the next chunk of a snapshot."""
        progress = self._progress.get(msg.head.sender)
        if progress is None:
            return
        progress.on_reply(msg.sent_ms, now_ms)
        if progress.snapshot is None or msg.log_index != progress.snapshot.log_index:
            return
        if 0 <= msg.offset <= len(progress.snapshot.data):
            progress.offset = msg.offset
            self._send_chunk(msg.head.sender, progress, now_ms)

    def start_transfer(self, targets: Iterable[str], now_ms: float) -> None:
        """Choose the most up-to-date active voter among `targets`, if any."""
        eligible = set(targets) & set(self._state.voters) & self._progress.keys()
        active = [v for v in sorted(eligible) if self.is_active(v, now_ms)]
        if active:
            self.transferee = max(active, key=self.match_of)
            self._transfer_deadline_ms = now_ms + self._timings.election_max_ms

    def finish_transfer(self) -> bool:
        """Send TimeoutNow to the transferee once its log is complete.

        Return whether it was sent.
        """
        state = self._state
        last = state.log.last_index
        if not self.transferee or state.commit < last:
            return False
        if self.match_of(self.transferee) < last:
            return False
        state.send(TimeoutNow(state.head(self.transferee)))
        return True

    def _append(self, items: list[tuple[EntryKind, bytes]], now_ms: float) -> int:
        state = self._state
        first = state.log.last_index + 1
        entries = [
            Entry(first + number, state.term, kind, data)
            for number, (kind, data) in enumerate(items)
        ]
        state.append(entries)
        head = state.head(state.replica)
        last = state.log.last_index
        state.send_durable(AppendReply(head, now_ms, first - 1, True, last))
        for replica, progress in self._progress.items():
            self._replicate(replica, progress, now_ms)
        return first

    def _update_progress(self) -> None:
        """Track the progress of the current peers, and drop that of former ones."""
        self._lease_start_ms = _NEVER
        peers = self._state.peers
        next_index = self._state.log.last_index + 1
        self._progress = {
            r: self._progress.get(r) or Progress(next_index) for r in peers
        }

    def _replicate(self, replica: str, progress: Progress, now_ms: float) -> bool:
        """Send what flow control allows; return whether anything was sent."""
        log = self._state.log
        sent = False
        while progress.may_send() and progress.next <= log.last_index:
            if self._is_compacted(progress.next - 1):
                progress.start_snapshot(log.snapshot)
                break
            entries = log.entries_from(
                progress.next, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES
            )
            self._send_append(replica, progress.next - 1, entries, now_ms)
            progress.on_sent(entries[-1].log_index)
            sent = True
        if progress.is_chunk_due(now_ms):
            self._send_chunk(replica, progress, now_ms)
            sent = True
        return sent

    def _send_heartbeat(self, replica: str, progress: Progress, now_ms: float) -> None:
        prev = progress.next - 1
        if progress.flow is not Flow.SNAPSHOT and self._is_compacted(prev):
            # Earlier appends may have been lost, and the log no longer holds the
            # entry that a consistency check needs.
            progress.start_snapshot(self._state.log.snapshot)
        if progress.flow is Flow.SNAPSHOT:
            prev = 0
        self._send_append(replica, prev, [], now_ms)

    def _is_compacted(self, index: int) -> bool:
        return self._state.log.term_at(index) is None

    def _send_append(
        self, replica: str, prev: int, entries: list[Entry], now_ms: float
    ) -> None:
        state = self._state
        prev_term = state.log.term_at(prev) if prev else 0
        assert prev_term is not None
        head = state.head(replica)
        msg = AppendEntries(head, now_ms, prev, prev_term, state.commit, entries)
        state.send(msg)

    def _send_chunk(self, replica: str, progress: Progress, now_ms: float) -> None:
        snapshot = progress.snapshot
        assert snapshot is not None
        progress.chunk_sent_ms = now_ms
        end = progress.offset + SNAPSHOT_CHUNK_BYTES
        chunk = SnapshotChunk(
            self._state.head(replica),
            now_ms,
            snapshot.log_index,
            snapshot.term,
            snapshot.members,
            len(snapshot.data),
            progress.offset,
            snapshot.data[progress.offset : end],
        )
        self._state.send(chunk)

    def _quorum_acked_ms(self, now_ms: float) -> float:
        """Return the latest send time that a quorum has acknowledged."""
        return self._quorum_value(
            lambda v: now_ms if v == self._state.replica else self._acked_ms(v)
        )

    def _acked_ms(self, replica: str) -> float:
        progress = self._progress.get(replica)
        return progress.acked_ms if progress else _NEVER

    def _quorum_value(self, value_of: Callable[[str], float]) -> float:
        """Return the highest value that a quorum of voters has reached."""
        values = sorted((value_of(v) for v in self._state.voters), reverse=True)
        return values[len(values) // 2] if values else _NEVER

    def _advance_commit(self) -> None:
        state = self._state
        index = int(self._quorum_value(self.match_of))
        # Only entries of the current term are committed by counting replicas; those
        # of earlier terms are committed along with them.
        if index > state.commit and state.log.term_at(index) == state.term:
            state.commit = index
