"""Handling of AppendEntries and snapshot chunks by a follower."""

from bergamotdrift.exceptions import ProtocolError
from bergamotdrift.raft_messages import (
    AppendEntries,
    AppendReply,
    Entry,
    EntryKind,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    decode_members,
)
from bergamotdrift.raft_state import RaftState

MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class Follower:
    """Replicate the leader's log into the local one."""

    def __init__(self, state: RaftState):
        self._state = state
        self._snapshot_source: tuple[str, int, int] | None = None
        self._snapshot_buffer = bytearray()

    def on_append(self, msg: AppendEntries) -> None:
        """Append entries if the log matches at `prev_index`, else reject them."""
        _check_entries(msg)
        hint = self._conflict_hint(msg.prev_index, msg.prev_term)
        if hint is not None:
            self._send_reply(msg, False, hint)
            return
        appended = self._append_missing(msg.entries)
        match = msg.prev_index + len(msg.entries)
        state = self._state
        state.commit = max(state.commit, min(msg.commit, match, state.log.last_index))
        if appended:
            self._send_reply(msg, True, match)
        else:
            self._state.send_heartbeat_reply(self._build_reply(msg, True, match))

    def on_chunk(self, msg: SnapshotChunk) -> None:
        """Buffer a chunk of a snapshot, and install the snapshot once complete."""
        state = self._state
        if msg.log_index <= state.commit:
            self._confirm_match(msg, state.commit)
            return
        self._buffer_chunk(msg)
        if len(self._snapshot_buffer) < msg.total:
            head = state.head(msg.head.sender)
            offset = len(self._snapshot_buffer)
            state.send_durable(SnapshotReply(head, msg.sent_ms, msg.log_index, offset))
            return
        data = bytes(self._snapshot_buffer)
        self._snapshot_source = None
        self._snapshot_buffer = bytearray()
        self._install(Snapshot(msg.log_index, msg.term, msg.members, data))
        self._confirm_match(msg, msg.log_index)

    def _conflict_hint(self, index: int, term: int) -> int | None:
        """Return None if the log matches at an index, else the last that may match."""
        state = self._state
        if index <= state.commit:
            # Committed entries are in the log of every later leader.
            return None
        local_term = state.log.term_at(index)
        if local_term == term:
            return None
        if local_term is None:
            return state.log.last_index
        return max(state.commit, state.log.first_of_term(index) - 1)

    def _append_missing(self, entries: list[Entry]) -> bool:
        """Append missing entries, replacing conflicts; return whether any was new."""
        state = self._state
        for number, entry in enumerate(entries):
            if entry.log_index <= state.commit:
                continue
            local_term = state.log.term_at(entry.log_index)
            if local_term == entry.term:
                continue
            if local_term is not None:
                state.truncate(entry.log_index)
            state.append(entries[number:])
            return True
        return False

    def _buffer_chunk(self, msg: SnapshotChunk) -> None:
        if msg.total > MAX_SNAPSHOT_BYTES or msg.total < 0:
            raise ProtocolError("snapshot size is negative or exceeds the limit")
        source = (msg.head.sender, msg.head.term, msg.log_index)
        if self._snapshot_source != source:
            self._snapshot_source = source
            self._snapshot_buffer = bytearray()
        if msg.offset == len(self._snapshot_buffer):
            self._snapshot_buffer += msg.data[: msg.total - msg.offset]

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        if state.log.term_at(snapshot.log_index) == snapshot.term:
            state.commit = snapshot.log_index
        else:
            state.install(snapshot)

    def _send_reply(self, msg: AppendEntries, success: bool, match: int) -> None:
        self._state.send_durable(self._build_reply(msg, success, match))

    def _build_reply(
        self, msg: AppendEntries, success: bool, match: int
    ) -> AppendReply:
        head = self._state.head(msg.head.sender)
        return AppendReply(head, msg.sent_ms, msg.prev_index, success, match)

    def _confirm_match(self, msg: SnapshotChunk, match: int) -> None:
        head = self._state.head(msg.head.sender)
        self._state.send_durable(AppendReply(head, msg.sent_ms, match, True, match))


def _check_entries(msg: AppendEntries) -> None:
    """Raise ProtocolError unless the entries continue the log after `prev_index`."""
    if msg.prev_index < 0 or msg.prev_term < 0:
        raise ProtocolError("previous log index or term is negative")
    term = msg.prev_term
    for number, entry in enumerate(msg.entries):
        if entry.log_index != msg.prev_index + 1 + number:
            raise ProtocolError("log entries are not consecutive")
        if not term <= entry.term <= msg.head.term:
            raise ProtocolError("entry term decreases or exceeds the leader's term")
        term = entry.term
        if entry.kind is EntryKind.MEMBERS:
            decode_members(entry.data)
