"""Deterministic simulation of a Raft group under faults, with checked invariants.

All randomness comes from one `random.Random`, so that a seed reproduces a run exactly.
"""

import heapq
import itertools
import random

from bergamotdrift import messages
from bergamotdrift.raft import Raft
from bergamotdrift.raft_membership import JoinMonitor, Membership
from bergamotdrift.raft_memory import MemoryLog
from bergamotdrift.raft_messages import (
    EMPTY_HARD_STATE,
    EMPTY_SNAPSHOT,
    EntryKind,
    JoinRequest,
    Member,
    decode_members,
    voters_of,
)

STEP_MS = 5.0
COMPACT_ENTRIES = 40


class InvariantViolation(AssertionError):
    """Raised when an invariant is violated."""


class Disk:
    """Simulated disk that keeps synced state across a crash."""

    def __init__(self, replica):
        self.replica = replica
        self.synced_hard_state = EMPTY_HARD_STATE
        self.snapshot = EMPTY_SNAPSHOT
        self.entries = []

    def write(self, batch):
        self.synced_hard_state = batch.hard_state
        if batch.snapshot is not None:
            self.snapshot = batch.snapshot
            self.entries = list(batch.entries)
        elif batch.entries:
            kept = batch.entries[0].log_index - self.snapshot.log_index - 1
            if not 0 <= kept <= len(self.entries):
                raise InvariantViolation("batch does not continue the log on disk")
            del self.entries[kept:]
            self.entries.extend(batch.entries)


class Checker:
    """Checks the invariants that must hold across all replicas at all times."""

    def __init__(self):
        self.leaders = {}
        self.entries = {}
        self.committed = {}
        self.acknowledged = {}

    def check_entries(self, node, entries):
        """Check log matching: equal index and term imply equal logs up to there."""
        log = node.raft.state.log
        for entry in entries:
            previous = log.term_at(entry.log_index - 1)
            if previous is None:
                continue
            key = (entry.log_index, entry.term)
            known = self.entries.setdefault(key, (entry, previous))
            if known != (entry, previous):
                raise InvariantViolation(f"log matching violated at {key}")

    def check_leader(self, node):
        """Check that each term has one leader, which has all committed entries."""
        state = node.raft.state
        known = self.leaders.setdefault(state.term, node.disk.replica)
        if known != node.disk.replica:
            raise InvariantViolation(f"two leaders in term {state.term}")
        if self.committed and state.log.last_index < max(self.committed):
            raise InvariantViolation(
                f"the leader of term {state.term} lacks committed entries"
            )

    def check_applied(self, node, entry):
        """Check that replicas apply the same entries, and each command only once."""
        known = self.committed.setdefault(entry.log_index, entry)
        if known != entry:
            raise InvariantViolation(f"different entries applied at {entry.log_index}")
        if entry.kind is EntryKind.COMMAND and entry.data in node.applied_command_set:
            raise InvariantViolation(f"{entry.data!r} was applied twice")

    def record_acknowledged(self, command, index):
        self.acknowledged[command] = index

    def check_reads(self, nodes, now_ms):
        """Check that at most one replica serves, with all acknowledged commands."""
        serving = [n for n in nodes if n.serves()]
        if len(serving) > 1:
            raise InvariantViolation(f"{len(serving)} replicas serve at {now_ms} ms")
        newest = max(self.acknowledged.values(), default=0)
        if serving and serving[0].applied < newest:
            raise InvariantViolation(f"stale state is served at {now_ms} ms")


class SimNode:
    """Simulated VM with a disk and, while it runs, a replica."""

    raft_class = Raft
    disk_class = Disk

    def __init__(self, sim, name):
        self.sim = sim
        self.name = name
        # Stays within the clock drift that the lease's drift margin must cover.
        self.clock_rate = sim.rng.uniform(0.95, 1.05)
        self.clock_offset = sim.rng.uniform(0, 1e6)
        self.incarnations = itertools.count(1)
        self.running = False
        self.paused_until = 0.0
        self.inbox = []
        self.wipe()

    def now_ms(self):
        return self.clock_offset + self.sim.now_ms * self.clock_rate

    def wipe(self):
        self.disk = self.disk_class(f"{self.name}-{next(self.incarnations)}")
        self.sim.nodes_by_identity[self.disk.replica] = self

    def start(self):
        disk = self.disk
        self.raft = self.raft_class(
            disk.replica,
            disk.synced_hard_state,
            MemoryLog(disk.snapshot, list(disk.entries)),
            self.sim.rng,
            self.now_ms(),
        )
        self.membership = Membership(self.raft, self.sim.allowed, self.name)
        self.join_monitor = JoinMonitor(self.raft, self.name, self.now_ms())
        self.applied_commands = []
        self.applied_command_set = set()
        self.applied = 0
        self.pending_proposals = {}
        self.restore(disk.snapshot)
        self.batch = None
        self.synced_ms = 0.0
        self.inbox = []
        self.was_leader = False
        self.running = True

    def crash(self):
        self.running = False
        self.batch = None
        self.pending_proposals = {}

    def log(self):
        """Return the replica's log, or the synced log if it is not running."""
        if self.running:
            return self.raft.state.log
        return MemoryLog(self.disk.snapshot, list(self.disk.entries))

    def serves(self):
        """Return whether the replica may serve; a paused one replies to nothing."""
        return self.is_awake() and self.raft.holds_leader_lease(self.now_ms())

    def is_awake(self):
        return self.running and self.sim.now_ms >= self.paused_until

    def campaign_at(self, at_ms):
        """Set the election timeout to a time of the simulation's clock."""
        delay_ms = (at_ms - self.sim.now_ms) * self.clock_rate
        self.raft._election.deadline_ms = self.now_ms() + delay_ms

    def propose(self, commands):
        first = self.raft.propose(commands, self.now_ms())
        if first is None:
            return
        for number, command in enumerate(commands):
            self.pending_proposals[first + number] = (self.raft.state.term, command)

    def run_iteration(self):
        """Run one iteration of the event loop in `Replica`."""
        now = self.now_ms()
        inbox, self.inbox = self.inbox, []
        for msg in inbox:
            self.receive(msg, now)
        if self.batch is not None and self.sim.now_ms >= self.synced_ms:
            batch, self.batch = self.batch, None
            self.disk.write(batch)
            self.raft.on_synced(batch, now)
        self.raft.tick(now)
        self.membership.set_allowed(self.sim.allowed)
        self.membership.step(now)
        self.process_ready()
        is_leader = self.raft.leadership is not None
        if is_leader and not self.was_leader:
            self.sim.checker.check_leader(self)
        self.was_leader = is_leader

    def receive(self, msg, now):
        if isinstance(msg, JoinRequest):
            self.membership.request_join(msg, now)
        else:
            self.raft.step(msg, now)

    def process_ready(self):
        ready = self.raft.take_ready()
        for msg in ready.messages:
            self.sim.send(self.name, msg)
        if ready.batch is not None:
            self.sim.checker.check_entries(self, ready.batch.entries)
            self.start_sync(ready.batch)
        if ready.restore is not None:
            self.restore(ready.restore)
        for entry in ready.committed:
            self.apply(entry)
        if self.applied - self.raft.state.log.snapshot.log_index >= COMPACT_ENTRIES:
            data = messages.msgpack.packb(self.applied_commands)
            self.raft.compact(self.applied, data, self.sim.rng.choice((0, 10)))

    def start_sync(self, batch):
        self.batch = batch
        slow = self.sim.rng.random() < 0.01
        duration_ms = (
            self.sim.rng.uniform(50, 400) if slow else self.sim.rng.uniform(0, 15)
        )
        self.synced_ms = self.sim.now_ms + (duration_ms if batch.must_sync else 0.0)

    def restore(self, snapshot):
        self.applied_commands = (
            messages.msgpack.unpackb(snapshot.data) if snapshot.data else []
        )
        self.applied_command_set = set(self.applied_commands)
        self.applied = snapshot.log_index
        self.pending_proposals = {
            i: w for i, w in self.pending_proposals.items() if i > self.applied
        }

    def apply(self, entry):
        if entry.log_index != self.applied + 1:
            raise InvariantViolation(
                f"{entry.log_index} was applied after {self.applied}"
            )
        self.sim.checker.check_applied(self, entry)
        self.applied = entry.log_index
        if entry.kind is EntryKind.COMMAND:
            self.applied_commands.append(entry.data)
            self.applied_command_set.add(entry.data)
        term, command = self.pending_proposals.pop(entry.log_index, (0, b""))
        if term == entry.term:
            self.sim.checker.record_acknowledged(command, entry.log_index)


class Simulation:
    """Simulated group under faults; `now_ms` is the reference time without drift."""

    def __init__(
        self,
        seed,
        voters=3,
        node_class=SimNode,
        changes_members=False,
    ):
        self.max_delay_ms = 8.0
        self.changes_members = changes_members
        self.rng = random.Random(seed)
        self.node_class = node_class
        self.now_ms = 0.0
        self.checker = Checker()
        self.nodes_by_identity = {}
        self.nodes = {}
        self.allowed = [f"c{n}" for n in range(1, voters + 1)]
        for name in self.allowed:
            self.nodes[name] = node_class(self, name)
        self.blocked_links = set()
        self.faulty = True
        self._scheduled_faults = []
        self._network = []
        self._sequence = itertools.count()
        self._commands = itertools.count()
        self._bootstrap()

    def _bootstrap(self):
        for node in self.nodes.values():
            node.start()
        members = [Member(n.disk.replica, n.name, n.name, True) for n in self.running()]
        self.nodes["c1"].raft.bootstrap("g1", members)

    def running(self):
        return [n for n in self.nodes.values() if n.running]

    def send(self, name, msg):
        target = self.nodes_by_identity.get(msg.head.to)
        if target is None or (name, target.name) in self.blocked_links:
            return
        lossy = self.faulty and self.rng.random() < 0.03
        copies = 0 if lossy else 1
        if self.faulty and self.rng.random() < 0.02:
            copies += 1
        for _ in range(copies):
            delay = self.rng.uniform(0, self.max_delay_ms)
            if self.faulty and self.rng.random() < 0.02:
                delay = self.rng.uniform(50, 1500)
            item = (self.now_ms + delay, next(self._sequence), name, target, msg)
            heapq.heappush(self._network, item)

    def step(self):
        """Advance the time by one step and check all invariants."""
        self.now_ms += STEP_MS
        self._deliver()
        for node in self.running():
            if node.is_awake():
                node.run_iteration()
        self._deliver_join_requests()
        self.checker.check_reads(self.nodes.values(), self.now_ms)

    def run(self, duration_ms):
        end = self.now_ms + duration_ms
        while self.now_ms < end:
            self.step()

    def _deliver(self):
        while self._network and self._network[0][0] <= self.now_ms:
            _, _, name, target, msg = heapq.heappop(self._network)
            if not target.running or (name, target.name) in self.blocked_links:
                continue
            if msg.head.to == target.disk.replica:
                # Encoding and decoding prevents replicas from sharing objects.
                target.inbox.append(messages.decode(messages.encode(msg)))

    def _deliver_join_requests(self):
        for node in self.running():
            state = node.raft.state
            if not node.is_awake() or not node.join_monitor.should_request_join(
                node.now_ms()
            ):
                continue
            req = JoinRequest(state.replica, node.name, node.name)
            for other in self.running():
                if (node.name, other.name) not in self.blocked_links and other.serves():
                    other.inbox.append(req)

    def committed_members(self):
        """Return the last committed members, and the index of that change."""
        changes = (
            e for e in self.checker.committed.values() if e.kind is EntryKind.MEMBERS
        )
        last = max(changes, key=lambda e: e.log_index, default=None)
        return (decode_members(last.data), last.log_index) if last else ([], 0)

    def possible_memberships(self):
        """Return the last committed members, and all that may still be committed."""
        members, index = self.committed_members()
        memberships = [members]
        for node in self.nodes.values():
            log = node.log()
            if log.members_index > index:
                memberships.append(log.members)
        return memberships

    def can_lose_disk(self, name):
        """Return whether the group must tolerate the loss of this disk now."""
        if len(self.allowed) < 3:
            return False
        live = {n.disk.replica for n in self.nodes.values() if n.name != name}
        for members in self.possible_memberships():
            voters = voters_of(members)
            lost = [v for v in voters if v not in live]
            size = min(len(voters), len(self.allowed))
            if not voters or len(lost) > (size - 1) // 2:
                return False
        return True

    def random_fault(self):
        node = self.rng.choice(list(self.nodes.values()))
        faults = (
            (3, self.crash),
            (3, self.start_all),
            (3, self.restart_some),
            (2, self.block_one_way),
            (2, self.block_random_pair),
            (2, self.isolate),
            (4, self.unblock_links),
            (2, self.pause),
            (2, self.lose_disk),
            (2, self.change_allowed),
            (3, self.force_election),
        )
        weights = [weight for weight, _ in faults]
        ((_, fault),) = self.rng.choices(faults, weights)
        fault(node)

    def crash(self, node):
        if node.running:
            node.crash()

    def start_all(self, _node):
        for node in self.nodes.values():
            if not node.running:
                node.start()

    def restart_some(self, _node):
        """Crash and restart several replicas at once; only synced state survives."""
        for node in self.running():
            if self.rng.random() < 0.6:
                self.restart_node(node)

    def block_one_way(self, node):
        self.blocked_links.add((node.name, self.rng.choice(list(self.nodes))))

    def block_random_pair(self, node):
        self.block_both_ways(node, self.rng.choice(list(self.nodes.values())))

    def block_both_ways(self, node, other):
        self.blocked_links |= {(node.name, other.name), (other.name, node.name)}

    def isolate(self, node):
        for other in self.nodes:
            self.blocked_links |= {(node.name, other), (other, node.name)}

    def unblock_links(self, _node):
        self.blocked_links.clear()

    def pause(self, node):
        node.paused_until = self.now_ms + self.rng.uniform(50, 3000)

    def restart_node(self, node):
        node.crash()
        node.start()

    def force_election(self, node):
        """Make a replica campaign, then isolate the leader as the others restart."""
        leader = self.serving()
        if leader is None or leader is node:
            return
        self.block_both_ways(node, leader)

        def isolate_leader():
            self.isolate(leader)
            for other in self.running():
                if other not in (node, leader):
                    self.restart_node(other)

        delay_ms = self.rng.uniform(300, 1500)
        self._scheduled_faults.append((self.now_ms + delay_ms, isolate_leader))

    def lose_disk(self, node):
        if self.can_lose_disk(node.name):
            node.crash()
            node.wipe()
            node.start()

    def change_allowed(self, _node):
        """Add or remove one allowed name, as operators do."""
        if not self.changes_members:
            return
        number = self.rng.randint(1, 6)
        name = f"c{number}"
        if name in self.allowed:
            if len(self.allowed) > 3:
                self.allowed = [n for n in self.allowed if n != name]
            return
        if len(self.allowed) < 5:
            self.allowed = [*self.allowed, name]
        if name not in self.nodes:
            self.nodes[name] = self.node_class(self, name)
            self.nodes[name].start()

    def propose_randomly(self):
        for node in self.running():
            if node.is_awake() and node.raft.leadership and self.rng.random() < 0.3:
                count = self.rng.randint(1, 5)
                node.propose([
                    f"x{next(self._commands)}".encode() for _ in range(count)
                ])
        if self.rng.random() < 0.002:
            leader = self.rng.choice(list(self.nodes.values()))
            if leader.is_awake():
                leader.raft.transfer_leadership(
                    leader.raft.state.voters, leader.now_ms()
                )

    def run_faults(self, duration_ms, interval_ms=250.0):
        """Run with random commands, and random faults at random intervals."""
        end = self.now_ms + duration_ms
        next_fault = self.now_ms + interval_ms
        while self.now_ms < end:
            self.propose_randomly()
            if self.now_ms >= next_fault:
                self.random_fault()
                next_fault = self.now_ms + self.rng.uniform(0.2, 1.8) * interval_ms
            self._run_delayed_faults()
            self.step()

    def _run_delayed_faults(self):
        due = [fault for at_ms, fault in self._scheduled_faults if at_ms <= self.now_ms]
        self._scheduled_faults = [
            item for item in self._scheduled_faults if item[0] > self.now_ms
        ]
        for fault in due:
            fault()

    def heal(self):
        """Stop all faults, unblock all links and start all nodes."""
        self.faulty = False
        self.blocked_links.clear()
        for node in self.nodes.values():
            node.paused_until = 0.0
            if not node.running:
                node.start()

    def serving(self):
        return next((n for n in self.running() if n.serves()), None)

    def run_until(self, condition, limit_ms, what):
        end = self.now_ms + limit_ms
        while not condition():
            if self.now_ms >= end:
                raise InvariantViolation(
                    f"{what} did not complete within {limit_ms} ms"
                )
            self.step()

    def check_recovery(self):
        """Check that the group serves and all replicas agree once faults stop."""
        self.heal()
        self.run_until(lambda: self.serving() is not None, 10_000, "recovery")
        command = f"last{next(self._commands)}".encode()
        self.serving().propose([command])
        self.run_until(
            lambda: all(command in n.applied_command_set for n in self.allowed_nodes()),
            20_000,
            "replication of the last command",
        )
        for node in self.allowed_nodes():
            if node.applied_commands.count(command) != 1:
                raise InvariantViolation(f"{node.name} applied the last command twice")
            for acked in self.checker.acknowledged:
                if acked not in node.applied_command_set:
                    raise InvariantViolation(f"{node.name} lost {acked!r}")
            if len(node.applied_commands) != len(node.applied_command_set):
                raise InvariantViolation(f"{node.name} applied a command twice")

    def allowed_nodes(self):
        return [n for n in self.nodes.values() if n.name in self.allowed]
