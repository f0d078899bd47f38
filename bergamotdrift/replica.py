"""One replica of the control group: the replicated log with sockets and files."""

import random
from collections import deque
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event

from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ControlSettings
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    ProtocolError,
    Refusal,
)
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Failure,
    Hello,
    Message,
    NotLeader,
    Propose,
    ProposeReply,
    Role,
)
from bergamotdrift.raft import Raft
from bergamotdrift.raft_log import RaftLog
from bergamotdrift.raft_membership import Membership
from bergamotdrift.raft_memory import MemoryLog
from bergamotdrift.raft_messages import (
    RAFT_MESSAGES,
    Entry,
    EntryKind,
    JoinReply,
    JoinRequest,
    Snapshot,
)
from bergamotdrift.replica_join import GroupJoiner
from bergamotdrift.replica_peers import ReplicaPeers
from bergamotdrift.replica_proposals import ProposalBook
from bergamotdrift.replica_sync import BatchWriter
from bergamotdrift.replication import MemberStatus, ReplicaStatus, StateMachine
from bergamotdrift.streams import Connection

_INBOX_MESSAGES = 4096
_FORWARD_TIMEOUT_MS = 2000.0
_POLL_S = 0.01
# A larger one would not fit into a frame between replicas.
MAX_COMMAND_BYTES = 4 * 1024 * 1024
# Bounds log and recovery time when few, but large commands are logged.
_SNAPSHOT_BYTES = 16 * 1024 * 1024


class Replica:
    """Run one replica around a state machine; implements `Replicator`.

    The owner of the stream server passes each message to `handle_message`.
    `failed` is set when the disk or the state machine failed; the process must
    end then. `address` is where the other replicas reach this one.
    """

    def __init__(
        self,
        cfg: ControlSettings,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        address: str,
    ):
        self._cfg = cfg
        self._machine = machine
        self._clock = clock
        self._rng = rng
        self._address = address
        self._storage = RaftLog(cfg.data_folder, cfg.node.node)
        self._inbox: deque[Message] = deque(maxlen=_INBOX_MESSAGES)
        self._proposals = ProposalBook()
        self._wake = Event()
        self._writer = BatchWriter(self._storage, self._wake.set)
        self._applied = 0
        self._applied_bytes = 0
        self._greenlets: list[gevent.Greenlet] = []
        self._running = False
        self._allowed_source: Callable[[], Iterable[str] | None] | None = None
        self.failed = Event()

    def start(self) -> None:
        """Read the data folder and take part in the group.

        Raises StorageError.
        """
        loaded = gevent.get_hub().threadpool.apply(self._storage.open)
        self.replica = self._storage.replica
        self._raft = Raft(
            self.replica,
            loaded.hard_state,
            MemoryLog(loaded.snapshot, loaded.entries),
            self._rng,
            self._clock.now_ms(),
        )
        if loaded.snapshot.log_index:
            self._restore(loaded.snapshot)
        names = [v.replica for v in self._cfg.voters]
        self._membership = Membership(
            self._raft, names, self._address, self._cfg.open_group
        )
        node = self._cfg.node
        hello = Hello(node.cluster, node.node, Role.CONTROL, self.replica)
        self._peers = ReplicaPeers(hello, self._address, self.handle_message)
        self._joiner = GroupJoiner(
            self._cfg, self._raft, self._peers, self._address, self._clock, self
        )
        self._running = True
        self._greenlets = [gevent.spawn(self._run), gevent.spawn(self._joiner.run)]

    def stop(self, timeout_ms: float = 1000.0, hand_over: bool = True) -> None:
        """Hand leadership over if there is a successor, then end."""
        self._running = False
        if hand_over and not self.failed.is_set():
            self._hand_over(timeout_ms)
        gevent.killall(self._greenlets)
        self._greenlets = []
        self._writer.wait()
        self._peers.stop()
        self._proposals.fail_all("the replica stops")
        self._storage.close()

    def set_allowed(self, names: Iterable[str]) -> None:
        """Set which replica names may be members."""
        self._membership.set_allowed(names)
        self._wake.set()

    def follow_allowed(self, source: Callable[[], Iterable[str] | None]) -> None:
        """Ask which names may be members before each change, or None if unknown.

        The state machine is current then. Names set a moment later than the
        command that changes them would let a new leader remove a listed replica.
        """
        self._allowed_source = source

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Look for the group at further addresses too."""
        self._joiner.add_candidates(addresses)

    def on_founded(self) -> None:
        """Sync the first entry of a new group."""
        self._wake.set()

    def is_leader(self) -> bool:
        """Tell whether this replica leads and a quorum confirmed it recently."""
        if not self._running or self.failed.is_set():
            return False
        if self._applied < self._raft.state.applied:
            return False
        return self._raft.is_confirmed_leader(self._clock.now_ms())

    def term(self) -> int:
        """Return the present term."""
        return self._raft.state.term

    def leader_address(self) -> str:
        """Return the leader's stream address, or an empty string."""
        state = self._raft.state
        found = (m.address for m in state.log.members if m.replica == state.leader)
        return next(found, "")

    def ask_for_leadership(self) -> None:
        """Ask the leader to hand over, since nodes can't reach it."""
        self._raft.ask_for_leadership()
        self._wake.set()

    def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Return the outcome of a committed command.

        Raises CallError with NOT_LEADER, QUEUE_FULL or BODY_TOO_LARGE (never takes
        effect), or with NO_QUORUM (unknown).
        """
        self._require_leader()
        if len(command) > MAX_COMMAND_BYTES:
            raise CallError(Refusal(ErrorKind.BODY_TOO_LARGE, "command too large"))
        proposal = self._proposals.add(command)
        self._wake.set()
        try:
            return proposal.outcome.get(timeout=timeout_ms / 1000.0)
        except gevent.Timeout:
            raise self._proposals.abandon(proposal) from None

    def forward(self, command: bytes, timeout_ms: float) -> bytes:
        """Return the outcome of a command, proposed here or at the leader.

        Raises CallError as `propose` does.
        """
        if self.is_leader():
            return self.propose(command, timeout_ms)
        answer = self._peers.request(
            self.leader_address(), Propose(command), timeout_ms
        )
        if not isinstance(answer, ProposeReply):
            raise CallError(Refusal(ErrorKind.NO_QUORUM, "unexpected answer"))
        return answer.outcome

    def call_leader(self, msg: Message, timeout_ms: float) -> Message:
        """Return the leader's reply to a message; raises CallError."""
        return self._peers.request(self.leader_address(), msg, timeout_ms)

    def add_learner(self, replica: str, address: str, timeout_ms: float) -> None:
        """Add a replica without a vote; it is promoted once it caught up.

        Raises CallError with FORBIDDEN, NOT_LEADER or NO_QUORUM.
        """
        name = replica.rpartition("-")[0]
        self._require_leader()
        now_ms = self._clock.now_ms()
        req = JoinRequest(replica, name, address)
        refusal = self._membership.request_join(req, now_ms)
        if refusal is not None:
            raise CallError(refusal)
        self._await_members(lambda ids: replica in ids, timeout_ms)

    def remove_member(self, replica: str, timeout_ms: float) -> None:
        """Remove a replica from the group; a listed one that lives joins again.

        Raises CallError with NOT_LEADER or NO_QUORUM.
        """
        self._require_leader()
        self._membership.request_removal(replica)
        self._await_members(lambda ids: replica not in ids, timeout_ms)

    def status(self) -> ReplicaStatus:
        """Return this replica's view of the group."""
        state = self._raft.state
        lead = self._raft.leadership
        members = tuple(
            MemberStatus(
                m.replica, m.address, m.voter, lead.match_of(m.replica) if lead else 0
            )
            for m in state.log.members
        )
        return ReplicaStatus(
            state.replica,
            state.leader,
            state.term,
            state.commit,
            self._applied,
            self.is_leader() if lead else state.leader != "",
            members,
        )

    def handle_message(self, conn: Connection, number: int, msg: Message) -> bool:
        """Handle a message between replicas, or return False if it is another.

        Messages that are not for this replica's identity have no effect.
        """
        if conn.peer is None or conn.peer.role is not Role.CONTROL:
            return False
        if not self._greenlets:
            return False
        if isinstance(msg, (*RAFT_MESSAGES, JoinRequest)):
            self._peers.note_inbound(conn.peer.incarnation, conn)
        if isinstance(msg, RAFT_MESSAGES):
            self._inbox.append(msg)
            self._wake.set()
        elif isinstance(msg, JoinRequest):
            conn.reply(number, self._answer_join(msg))
        elif isinstance(msg, Propose):
            gevent.spawn(self._answer_propose, conn, number, msg)
        else:
            return False
        return True

    def _run(self) -> None:
        try:
            while True:
                now_ms = self._clock.now_ms()
                due_ms = self._raft.next_wake_ms() - now_ms
                self._wake.wait(max(0.0, due_ms) / 1000.0)
                self._wake.clear()
                self._turn()
                # Lets the readers run even if there is always work left.
                gevent.sleep(0)
        except Exception as exc:
            # A disk or state machine in an unknown state must not be used on.
            log_event("replica_failed", replica=self.replica, error=repr(exc))
            self.failed.set()
            self._proposals.fail_all("the replica failed")
            self._peers.stop()

    def _turn(self) -> None:
        """Handle all input that has arrived, and do what is due."""
        now_ms = self._clock.now_ms()
        while self._inbox:
            self._step(self._inbox.popleft(), now_ms)
        synced = self._writer.take_finished()
        if synced is not None:
            self._raft.on_synced(synced, now_ms)
        self._raft.tick(now_ms)
        self._change_members(now_ms)
        self._log_proposals(now_ms)
        self._peers.set_members(self._raft.state.log.members, self._joiner.candidates)
        self._handle_ready()

    def _change_members(self, now_ms: float) -> None:
        source = self._allowed_source
        names = source() if source and self._raft.leadership else None
        if names is not None:
            self._membership.set_allowed(names)
        self._membership.step(now_ms)

    def _step(self, msg: Message, now_ms: float) -> None:
        try:
            self._raft.step(msg, now_ms)
        except ProtocolError as exc:
            log_event("raft_message_refused", sender=msg.head.sender, error=str(exc))

    def _log_proposals(self, now_ms: float) -> None:
        queued = self._proposals.take_queued()
        if not queued:
            return
        first = self._raft.propose([p.command for p in queued], now_ms)
        if first is not None:
            self._proposals.note_logged(queued, first, self._raft.state.term)
            return
        for proposal in queued:
            proposal.fail(ErrorKind.NOT_LEADER, self.leader_address())

    def _handle_ready(self) -> None:
        ready = self._raft.take_ready()
        for msg in ready.messages:
            self._peers.send(msg)
        if ready.batch is not None:
            self._writer.start(ready.batch)
        if ready.restore is not None:
            self._restore(ready.restore)
        for entry in ready.committed:
            self._apply(entry)
        if ready.committed:
            self._compact_if_due()
            self._wake.set()

    def _apply(self, entry: Entry) -> None:
        outcome = b""
        if entry.kind is EntryKind.COMMAND:
            outcome = self._machine.apply(entry.log_index, entry.data)
        self._applied = entry.log_index
        self._applied_bytes += len(entry.data)
        self._proposals.complete(entry.log_index, entry.term, outcome)

    def _restore(self, snapshot: Snapshot) -> None:
        self._machine.restore(snapshot.data)
        self._applied = snapshot.log_index
        self._applied_bytes = 0
        self._proposals.skip_to(snapshot.log_index)

    def _compact_if_due(self) -> None:
        since = self._applied - self._raft.state.log.snapshot.log_index
        if since < self._cfg.snapshot_entries and self._applied_bytes < _SNAPSHOT_BYTES:
            return
        data = self._machine.snapshot()
        self._raft.compact(self._applied, data, self._cfg.snapshot_entries // 2)
        self._applied_bytes = 0
        self._wake.set()

    def _answer_join(self, req: JoinRequest) -> Message:
        state = self._raft.state
        if not self._raft.is_initialised:
            return JoinReply(state.replica, self._cfg.node.node, "")
        if not self.is_leader():
            return NotLeader(self.leader_address())
        refusal = self._membership.request_join(req, self._clock.now_ms())
        if refusal is not None:
            return Failure(refusal.kind, refusal.detail)
        self._wake.set()
        return JoinReply(state.replica, self._cfg.node.node, state.group)

    def _answer_propose(self, conn: Connection, number: int, msg: Propose) -> None:
        try:
            outcome = self.propose(msg.command, _FORWARD_TIMEOUT_MS)
        except CallError as exc:
            conn.reply(number, Failure(exc.refusal.kind, exc.refusal.detail))
            return
        conn.reply(number, ProposeReply(outcome))

    def _require_leader(self) -> None:
        if not self.is_leader():
            raise CallError(Refusal(ErrorKind.NOT_LEADER, self.leader_address()))

    def _await_members(
        self, condition: Callable[[set[str]], bool], timeout_ms: float
    ) -> None:
        """Wait until a committed change of the members meets a condition."""
        self._wake.set()
        state = self._raft.state
        end_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < end_ms:
            settled = state.log.members_index <= state.commit
            if settled and condition({m.replica for m in state.log.members}):
                return
            gevent.sleep(_POLL_S)
        raise CallError(Refusal(ErrorKind.NO_QUORUM, "not confirmed in time"))

    def _hand_over(self, timeout_ms: float) -> None:
        """Wait for a successor, whose election may need this replica's vote."""
        if self._raft.leadership is None:
            return
        self._raft.transfer(self._raft.state.voters, self._clock.now_ms())
        self._wake.set()
        end_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < end_ms:
            lead = self._raft.leadership
            if (lead is not None and not lead.transferee) or self._has_successor():
                return
            gevent.sleep(_POLL_S)

    def _has_successor(self) -> bool:
        return self._raft.leadership is None and self._raft.state.leader != ""
