"""The Raft state machine of one replica, free of sockets, files and timers."""

import random
from collections.abc import Iterable
from typing import assert_never

from bergamotdrift import constants
from bergamotdrift.exceptions import ProtocolError
from bergamotdrift.raft_election import Election
from bergamotdrift.raft_follower import Follower
from bergamotdrift.raft_leader import Leader
from bergamotdrift.raft_memory import MemoryLog
from bergamotdrift.raft_messages import (
    AppendEntries,
    AppendReply,
    Entry,
    EntryKind,
    HardState,
    Member,
    PreVoteReply,
    PreVoteRequest,
    RaftMessage,
    RaftTimings,
    Ready,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    SyncBatch,
    TimeoutNow,
    TransferRequest,
    VoteReply,
    VoteRequest,
    encode_members,
)
from bergamotdrift.raft_state import RaftRole, RaftState

DEFAULT_TIMINGS = RaftTimings(
    heartbeat_ms=constants.RAFT_HEARTBEAT_MS,
    election_min_ms=constants.ELECTION_TIMEOUT_MIN_MS,
    election_max_ms=constants.ELECTION_TIMEOUT_MAX_MS,
    drift_margin_ms=constants.DRIFT_MARGIN_MS,
)
_BOOTSTRAP_TERM = 1
# Keeps later terms within the 64 bits of msgpack integers.
_MAX_TERM = 1 << 62


class Raft:
    """Run the Raft protocol on messages, clock readings and synced batches.

    After each call the caller takes a `Ready`, sends its messages, syncs its batch,
    reports the completed sync through `on_synced`, and applies the committed entries.
    """

    def __init__(
        self,
        replica: str,
        hard_state: HardState,
        log: MemoryLog,
        rng: random.Random,
        now_ms: float,
        timings: RaftTimings = DEFAULT_TIMINGS,
    ):
        self._timings = timings
        self.state = RaftState(replica, hard_state, log)
        self._election = Election(self.state, timings, rng, now_ms)
        self._follower = Follower(self.state)
        self.leadership: Leader | None = None

    @property
    def is_initialised(self) -> bool:
        """Return whether the log has any entry, and so belongs to a group."""
        return self.state.log.last_index > 0

    def bootstrap(self, group: str, members: list[Member]) -> None:
        """Bootstrap a group on an empty log; only one replica may do so."""
        if self.is_initialised:
            raise ValueError("cannot bootstrap a group: the log is not empty")
        self.state.group = group
        self.state.set_term(max(_BOOTSTRAP_TERM, self.state.term), self.state.vote)
        data = encode_members(members)
        entry = Entry(1, self.state.term, EntryKind.MEMBERS, data)
        self.state.append([entry])

    def holds_leader_lease(self, now_ms: float) -> bool:
        """Return whether this replica leads, holds its lease and may serve reads.

        The first entry of its term must be applied, and with it all earlier ones.
        """
        lead = self.leadership
        if lead is None or lead.transferee:
            return False
        return lead.has_applied() and lead.has_lease(now_ms)

    def next_wake_ms(self) -> float:
        """Return the time by which `tick` must be called."""
        if self.leadership is not None:
            return self.leadership.next_wake_ms
        return self._election.deadline_ms

    def tick(self, now_ms: float) -> None:
        """Send due heartbeats, step down without a quorum, or start an election."""
        lead = self.leadership
        if lead is None:
            if now_ms >= self._election.deadline_ms:
                self._on_election_timeout(now_ms)
            return
        if lead.has_lost_quorum(now_ms) or self._is_removed():
            self._become_follower(self.state.term, "", now_ms)
            return
        lead.tick(now_ms)
        self._try_finish_transfer(now_ms)

    def propose(self, commands: list[bytes], now_ms: float) -> int | None:
        """Append commands as leader; return the first index, or None if refused."""
        if self.leadership is None or self.leadership.transferee:
            return None
        return self.leadership.propose(commands, now_ms)

    def propose_members(self, members: list[Member], now_ms: float) -> bool:
        """Propose a membership change as leader; return False if it is refused."""
        lead = self.leadership
        return lead is not None and lead.propose_members(members, now_ms)

    def transfer_leadership(self, targets: Iterable[str], now_ms: float) -> None:
        """Transfer leadership to the most up-to-date active voter among `targets`."""
        if self.leadership is not None:
            self.leadership.start_transfer(targets, now_ms)
            self._try_finish_transfer(now_ms)

    def request_leadership(self) -> None:
        """Ask the current leader to transfer leadership to this replica."""
        state = self.state
        if state.leader and state.leader != state.replica and state.is_voter:
            state.send(TransferRequest(state.head(state.leader)))

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """Compact the log into a snapshot at an applied index.

        The last `keep` entries before that index stay in memory.
        """
        log = self.state.log
        term = log.term_at(index)
        if term is None or not log.snapshot.log_index < index <= self.state.applied:
            raise ValueError(
                f"index {index} is not an applied index after the snapshot"
            )
        snapshot = Snapshot(index, term, log.members_at(index), data)
        self.state.compact(snapshot, keep)

    def take_ready(self) -> Ready:
        """Return the messages, writes and entries that the caller must process."""
        return self.state.take_ready()

    def on_synced(self, batch: SyncBatch, now_ms: float) -> None:
        """Release the messages that waited for a batch to be synced."""
        for msg in self.state.finish_batch(batch):
            self.step(msg, now_ms)

    def step(self, msg: RaftMessage, now_ms: float) -> None:
        """Handle a message; raise ProtocolError, with the log unchanged, if invalid."""
        state = self.state
        head = msg.head
        if head.to != state.replica or not 0 <= head.term <= _MAX_TERM:
            return
        if not self.is_initialised:
            state.group = head.group
        if head.group != state.group:
            return
        if head.term > state.term and not self._handle_higher_term(msg, now_ms):
            return
        if head.term < state.term:
            self._reject_stale(msg)
            return
        self._dispatch(msg, now_ms)

    def _dispatch(self, msg: RaftMessage, now_ms: float) -> None:
        match msg:
            case AppendEntries() | SnapshotChunk():
                self._on_leader_message(msg, now_ms)
            case AppendReply() | SnapshotReply():
                self._on_replication_reply(msg, now_ms)
            case TimeoutNow():
                if self.state.role is RaftRole.FOLLOWER and self.state.is_voter:
                    self._election.campaign(True, now_ms)
            case TransferRequest():
                self.transfer_leadership([msg.head.sender], now_ms)
            case _:
                self._on_election_message(msg, now_ms)

    def _on_election_message(
        self,
        msg: PreVoteRequest | PreVoteReply | VoteRequest | VoteReply,
        now_ms: float,
    ) -> None:
        match msg:
            case PreVoteRequest():
                self._on_pre_vote_request(msg, now_ms)
            case PreVoteReply():
                if self._election.on_pre_vote_reply(msg):
                    self._election.campaign(False, now_ms)
            case VoteRequest():
                self._election.on_vote_request(msg, now_ms)
            case VoteReply():
                if self._election.on_vote_reply(msg):
                    self._become_leader(now_ms)
            case _:
                assert_never(msg)

    def _on_replication_reply(
        self, msg: AppendReply | SnapshotReply, now_ms: float
    ) -> None:
        if self.leadership is None:
            return
        if isinstance(msg, AppendReply):
            self.leadership.on_append_reply(msg, now_ms)
            self._try_finish_transfer(now_ms)
        else:
            self.leadership.on_snapshot_reply(msg, now_ms)

    def _handle_higher_term(self, msg: RaftMessage, now_ms: float) -> bool:
        """Handle a message of a higher term; return False if it needs no dispatch."""
        match msg:
            case PreVoteRequest():
                self._on_pre_vote_request(msg, now_ms)
                return False
            case PreVoteReply() if msg.granted:
                if self._election.on_pre_vote_reply(msg):
                    self._election.campaign(False, now_ms)
                return False
            case VoteRequest() if not msg.transfer and self._is_in_lease(now_ms):
                # The leader's lease relies on votes being withheld during it.
                return False
            case AppendEntries() | SnapshotChunk():
                self._become_follower(msg.head.term, msg.head.sender, now_ms)
            case _:
                self._become_follower(msg.head.term, "", now_ms)
        return True

    def _reject_stale(self, msg: RaftMessage) -> None:
        """Reject a request of an earlier term, replying with the current term."""
        head = self.state.head(msg.head.sender)
        match msg:
            case AppendEntries() | SnapshotChunk():
                reply = AppendReply(head, msg.sent_ms, 0, False, 0)
                self.state.send_durable(reply)
            case VoteRequest():
                self.state.send_durable(VoteReply(head, False))
            case PreVoteRequest():
                self.state.send_durable(PreVoteReply(head, False))

    def _on_leader_message(
        self, msg: AppendEntries | SnapshotChunk, now_ms: float
    ) -> None:
        state = self.state
        if self.leadership is not None:
            raise ProtocolError("another replica claims to lead the current term")
        if state.role is not RaftRole.FOLLOWER or state.leader != msg.head.sender:
            self._become_follower(state.term, msg.head.sender, now_ms)
        self._election.on_leader_contact(now_ms)
        if isinstance(msg, AppendEntries):
            self._follower.on_append(msg)
        else:
            self._follower.on_chunk(msg)

    def _on_pre_vote_request(self, msg: PreVoteRequest, now_ms: float) -> None:
        lead = self.leadership
        if lead is not None and not lead.has_lost_quorum(now_ms):
            return
        self._election.on_pre_vote_request(msg, now_ms)

    def _is_in_lease(self, now_ms: float) -> bool:
        if self.leadership is not None:
            return not self.leadership.has_lost_quorum(now_ms)
        return self._election.is_in_lease(now_ms)

    def _on_election_timeout(self, now_ms: float) -> None:
        if not self.state.is_voter:
            # Only voters campaign. The leader of this one failed or removed it.
            self._become_follower(self.state.term, "", now_ms)
        elif self._election.start_pre_vote(now_ms):
            self._election.campaign(False, now_ms)

    def _become_leader(self, now_ms: float) -> None:
        self.state.role = RaftRole.LEADER
        self.state.leader = self.state.replica
        self.leadership = Leader(self.state, self._timings, now_ms)

    def _become_follower(self, term: int, leader: str, now_ms: float) -> None:
        state = self.state
        if term > state.term:
            state.set_term(term, "")
        state.role = RaftRole.FOLLOWER
        state.leader = leader
        self.leadership = None
        self._election.reset_timeout(now_ms)

    def _is_removed(self) -> bool:
        state = self.state
        return not state.is_voter and state.log.members_index <= state.commit

    def _try_finish_transfer(self, now_ms: float) -> None:
        lead = self.leadership
        if lead is not None and lead.finish_transfer():
            # The target campaigns without regard to this leader's lease, so the
            # lease must not be used again.
            self._become_follower(self.state.term, "", now_ms)
