"""One replica of the control group: Raft with its network, storage and timers."""

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
from bergamotdrift.replica_proposals import ProposalTracker
from bergamotdrift.replica_sync import BatchWriter
from bergamotdrift.replication import MemberStatus, ReplicaStatus, StateMachine
from bergamotdrift.streams import Connection

_INBOX_CAPACITY = 4096
_FORWARD_TIMEOUT_MS = 2000.0
_POLL_INTERVAL_S = 0.01
# A larger command does not fit into one frame between replicas.
MAX_COMMAND_BYTES = 4 * 1024 * 1024
# Bounds the log size and the recovery time when commands are few but large.
_MAX_BYTES_SINCE_SNAPSHOT = 16 * 1024 * 1024


class Replica:
    """Replicate a state machine with Raft; implements `Replicator`.

    The owner of the stream server passes each message to `handle_message`.
    `failed` is set when the disk or the state machine failed; the process must
    then exit. `address` is where the other replicas reach this one.
    """

    def __init__(
        self,
        cfg: ControlSettings,
        state_machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        address: str,
    ):
        self._cfg = cfg
        self._state_machine = state_machine
        self._clock = clock
        self._rng = rng
        self._address = address
        self._storage = RaftLog(cfg.data_folder, cfg.node.node)
        self._inbox: deque[Message] = deque(maxlen=_INBOX_CAPACITY)
        self._proposals = ProposalTracker()
        self._wake = Event()
        self._writer = BatchWriter(self._storage, self._wake.set)
        self._applied_index = 0
        self._bytes_since_snapshot = 0
        self._greenlets: list[gevent.Greenlet] = []
        self._running = False
        self._allowed_names_source: Callable[[], Iterable[str] | None] | None = None
        self.failed = Event()

    def start(self) -> None:
        """Load the data folder and start the Raft loop.

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
        hello = Hello(node.cluster, node.node, Role.CONTROL, self.replica, node.zone)
        self._peers = ReplicaPeers(hello, self._address, self.handle_message)
        self._joiner = GroupJoiner(
            self._cfg, self._raft, self._peers, self._address, self._clock, self
        )
        self._running = True
        self._greenlets = [gevent.spawn(self._run), gevent.spawn(self._joiner.run)]

    def stop(
        self, timeout_ms: float = 1000.0, transfer_leadership: bool = True
    ) -> None:
        """Transfer leadership if this replica leads, then stop."""
        self._running = False
        if transfer_leadership and not self.failed.is_set():
            self._transfer_leadership(timeout_ms)
        gevent.killall(self._greenlets)
        self._greenlets = []
        self._writer.wait()
        self._peers.stop()
        self._proposals.fail_all("the replica is stopping")
        self._storage.close()

    def set_allowed_names(self, names: Iterable[str]) -> None:
        """Set which replica names may be members."""
        self._membership.set_allowed(names)
        self._wake.set()

    def set_allowed_names_source(
        self, source: Callable[[], Iterable[str] | None]
    ) -> None:
        """Set the callable that returns the allowed member names, or None if unknown.

        The leader calls it before each membership change, when its state machine is
        up to date. Names that were set after the command that changes them would let
        a new leader remove a replica that is listed.
        """
        self._allowed_names_source = source

    def add_join_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses to which join requests are sent."""
        self._joiner.add_join_addresses(addresses)

    def on_group_bootstrapped(self) -> None:
        """Wake the Raft loop to sync the first entry of a new group."""
        self._wake.set()

    def is_leader(self) -> bool:
        """Return whether this replica leads with a valid quorum lease."""
        if not self._running or self.failed.is_set():
            return False
        if self._applied_index < self._raft.state.applied:
            return False
        return self._raft.holds_leader_lease(self._clock.now_ms())

    def leads_term(self) -> bool:
        """Return whether this replica leads its term, even if its lease lapsed."""
        if not self._running or self.failed.is_set():
            return False
        return self._raft.leadership is not None

    def term(self) -> int:
        """Return the current term."""
        return self._raft.state.term

    def leader_address(self) -> str:
        """Return the leader's stream address, or an empty string."""
        state = self._raft.state
        found = (m.address for m in state.log.members if m.replica == state.leader)
        return next(found, "")

    def request_leadership(self) -> None:
        """Ask the leader to transfer leadership here, since nodes can't reach it."""
        self._raft.request_leadership()
        self._wake.set()

    def propose(self, command: bytes, timeout_ms: float) -> bytes:
        """Propose a command and return its outcome once it is committed and applied.

        Raises CallError with NOT_LEADER, QUEUE_FULL or BODY_TOO_LARGE (the command
        never takes effect), or with NO_QUORUM (the outcome is unknown).
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
        """Propose a command here or at the leader, and return its outcome.

        Raises CallError as `propose` does.
        """
        if self.is_leader():
            return self.propose(command, timeout_ms)
        answer = self._peers.request(
            self.leader_address(), Propose(command), timeout_ms
        )
        if not isinstance(answer, ProposeReply):
            raise CallError(Refusal(ErrorKind.NO_QUORUM, "unexpected reply type"))
        return answer.outcome

    def call_leader(self, msg: Message, timeout_ms: float) -> Message:
        """Send a message to the leader and return its reply; raises CallError."""
        return self._peers.request(self.leader_address(), msg, timeout_ms)

    def add_learner(self, replica: str, address: str, timeout_ms: float) -> None:
        """Add a learner; it is promoted to a voter once its log has caught up.

        Raises CallError with FORBIDDEN, NOT_LEADER or NO_QUORUM.
        """
        name = replica.rpartition("-")[0]
        self._require_leader()
        now_ms = self._clock.now_ms()
        req = JoinRequest(replica, name, address)
        refusal = self._membership.request_join(req, now_ms)
        if refusal is not None:
            raise CallError(refusal)
        self._wait_for_members(lambda ids: replica in ids, timeout_ms)

    def remove_member(self, replica: str, timeout_ms: float) -> None:
        """Remove a replica from the group; a running one with an allowed name rejoins.

        Raises CallError with NOT_LEADER or NO_QUORUM.
        """
        self._require_leader()
        self._membership.request_removal(replica)
        self._wait_for_members(lambda ids: replica not in ids, timeout_ms)

    def status(self) -> ReplicaStatus:
        """Return this replica's view of the group."""
        state = self._raft.state
        leadership = self._raft.leadership
        members = tuple(
            MemberStatus(
                m.replica,
                m.address,
                m.voter,
                leadership.match_of(m.replica) if leadership else 0,
            )
            for m in state.log.members
        )
        return ReplicaStatus(
            state.replica,
            state.leader,
            state.term,
            state.commit,
            self._applied_index,
            self.is_leader() if leadership else state.leader != "",
            members,
        )

    def handle_message(self, conn: Connection, number: int, msg: Message) -> bool:
        """Handle a message between replicas; return False for any other message.

        Raft messages addressed to another replica identity have no effect.
        """
        if conn.peer is None or conn.peer.role is not Role.CONTROL:
            return False
        if not self._greenlets:
            return False
        if isinstance(msg, (*RAFT_MESSAGES, JoinRequest)):
            self._peers.register_inbound(conn.peer.incarnation, conn)
        if isinstance(msg, RAFT_MESSAGES):
            self._inbox.append(msg)
            self._wake.set()
        elif isinstance(msg, JoinRequest):
            conn.reply(number, self._handle_join(msg))
        elif isinstance(msg, Propose):
            gevent.spawn(self._handle_propose, conn, number, msg)
        else:
            return False
        return True

    def _run(self) -> None:
        try:
            while True:
                now_ms = self._clock.now_ms()
                timeout_ms = self._raft.next_wake_ms() - now_ms
                self._wake.wait(max(0.0, timeout_ms) / 1000.0)
                self._wake.clear()
                self._process_events()
                # Lets the stream readers run even if the loop always has work.
                gevent.sleep(0)
        except Exception as exc:
            # Don't go on with a disk or state machine that is in an unknown state.
            log_event("replica_failed", replica=self.replica, error=repr(exc))
            self.failed.set()
            self._proposals.fail_all("the replica failed")
            self._peers.stop()

    def _process_events(self) -> None:
        """Process received messages, finished writes, timers and proposals."""
        now_ms = self._clock.now_ms()
        while self._inbox:
            self._step(self._inbox.popleft(), now_ms)
        synced = self._writer.take_synced()
        if synced is not None:
            self._raft.on_synced(synced, now_ms)
        self._raft.tick(now_ms)
        self._update_membership(now_ms)
        self._append_proposals(now_ms)
        self._peers.set_members(
            self._raft.state.log.members, self._joiner.join_addresses
        )
        self._handle_ready()

    def _update_membership(self, now_ms: float) -> None:
        names_source = self._allowed_names_source
        names = names_source() if names_source and self._raft.leadership else None
        if names is not None:
            self._membership.set_allowed(names)
        self._membership.step(now_ms)

    def _step(self, msg: Message, now_ms: float) -> None:
        try:
            self._raft.step(msg, now_ms)
        except ProtocolError as exc:
            log_event("raft_message_refused", sender=msg.head.sender, error=str(exc))

    def _append_proposals(self, now_ms: float) -> None:
        queued = self._proposals.take_queued()
        if not queued:
            return
        first = self._raft.propose([p.command for p in queued], now_ms)
        if first is not None:
            self._proposals.mark_appended(queued, first, self._raft.state.term)
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
            outcome = self._state_machine.apply(entry.log_index, entry.data)
        self._applied_index = entry.log_index
        self._bytes_since_snapshot += len(entry.data)
        self._proposals.complete(entry.log_index, entry.term, outcome)

    def _restore(self, snapshot: Snapshot) -> None:
        self._state_machine.restore(snapshot.data)
        self._applied_index = snapshot.log_index
        self._bytes_since_snapshot = 0
        self._proposals.fail_through(snapshot.log_index)

    def _compact_if_due(self) -> None:
        entries_since_snapshot = (
            self._applied_index - self._raft.state.log.snapshot.log_index
        )
        if (
            entries_since_snapshot < self._cfg.snapshot_entries
            and self._bytes_since_snapshot < _MAX_BYTES_SINCE_SNAPSHOT
        ):
            return
        data = self._state_machine.snapshot()
        self._raft.compact(self._applied_index, data, self._cfg.snapshot_entries // 2)
        self._bytes_since_snapshot = 0
        self._wake.set()

    def _handle_join(self, req: JoinRequest) -> Message:
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

    def _handle_propose(self, conn: Connection, number: int, msg: Propose) -> None:
        try:
            outcome = self.propose(msg.command, _FORWARD_TIMEOUT_MS)
        except CallError as exc:
            conn.reply(number, Failure(exc.refusal.kind, exc.refusal.detail))
            return
        conn.reply(number, ProposeReply(outcome))

    def _require_leader(self) -> None:
        if not self.is_leader():
            raise CallError(Refusal(ErrorKind.NOT_LEADER, self.leader_address()))

    def _wait_for_members(
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
            gevent.sleep(_POLL_INTERVAL_S)
        raise CallError(Refusal(ErrorKind.NO_QUORUM, "not confirmed in time"))

    def _transfer_leadership(self, timeout_ms: float) -> None:
        """Transfer leadership; wait, as the election may need this replica's vote."""
        if self._raft.leadership is None:
            return
        self._raft.transfer_leadership(self._raft.state.voters, self._clock.now_ms())
        self._wake.set()
        end_ms = self._clock.now_ms() + timeout_ms
        while self._clock.now_ms() < end_ms:
            leadership = self._raft.leadership
            if (
                leadership is not None and not leadership.transferee
            ) or self._has_successor():
                return
            gevent.sleep(_POLL_INTERVAL_S)

    def _has_successor(self) -> bool:
        return self._raft.leadership is None and self._raft.state.leader != ""
