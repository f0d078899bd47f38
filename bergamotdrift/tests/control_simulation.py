"""Simulation of nodes and upstreams around the control code, on a simulated clock.

Upstreams measure their leases with clocks that drift. Entries and arbiters act on
tables that lag behind the feed. Messages may be delayed or lost. The leader may change,
and the outcome of a command may stay unknown.
"""

import heapq
import itertools
import random
from typing import Any

from bergamotdrift import control_commands as cmd
from bergamotdrift import messages
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    WorkspaceSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.constants import SESSION_TTL_MS
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import FeedTables, PartitionId
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.lease import HeldLease
from bergamotdrift.messages import (
    Announcement,
    NodeRow,
    PartitionEpoch,
    PartitionRef,
    PartitionState,
    Role,
    UpstreamState,
)
from bergamotdrift.node_sessions import PingResult
from bergamotdrift.shards import upstream_shard

STEP_MS = 10
ZONES = ("a", "b", "c")
REQUEST_TIMEOUT_MS = 500


def service(name="s", fencing=Fencing.EPOCH, partitions=8, kind=ServiceKind.KEYED):
    cold = ColdStartSettings(1, 1.0)
    return ServiceSettings(
        name, kind, partitions, fencing, 4, 10, cold, REQUEST_TIMEOUT_MS, 10
    )


def site(services, out=()):
    zones = tuple(
        ZoneSettings(z, ZoneState.OUT if z in out else ZoneState.IN) for z in ZONES
    )
    workspace = WorkspaceSettings("w", 10, 10, (), ())
    return SiteSettings("site", zones, tuple(services), (), (workspace,))


def change(settings, base, request="r1", author="ann", fingerprint="f"):
    return cmd.ApplySettings(request, author, base, 0, fingerprint, settings, b"{}")


class ModelUpstream:
    """Upstream that serves granted partitions while its lease is valid on its clock."""

    def __init__(self, model, name, zone, incarnation="i1"):
        self.model = model
        self.name, self.zone, self.incarnation = name, zone, incarnation
        self.state = UpstreamState.READY
        self.crashed = False
        self.paused_until = 0.0
        self.next_announcement = model.rng.uniform(0, 500)
        self.rate = model.rng.uniform(0.98, 1.02)
        self.lease = (0.0, 0.0)
        self.grants = set()
        self.draining = set()
        self.released = []
        self.sent_announcements = 0
        self.last_answered = 0

    def local_now(self):
        return self.model.now * self.rate

    def step(self):
        if self.crashed or self.model.now < self.paused_until:
            return
        self.expire_lease()
        for grant in list(self.draining):
            if self.model.now >= self.model.last_request_end(self.name, grant):
                self.draining.discard(grant)
                self.released.append(grant)
        if self.model.now >= self.next_announcement:
            self.next_announcement = self.model.now + 500
            self.sent_announcements += 1
            item = Announcement(
                "s",
                self.name,
                "127.0.0.1:1",
                self.zone,
                self.incarnation,
                self.state,
                list(self.released),
            )
            announcement_id = (self.sent_announcements, self.local_now())
            self.model.send(
                lambda: self.model.on_announcement(self, item, announcement_id)
            )

    def on_reply(self, reply, announcement_id):
        if self.crashed:
            return
        if self.model.now < self.paused_until:
            delay = self.paused_until - self.model.now
            self.model.schedule(delay, lambda: self.on_reply(reply, announcement_id))
            return
        number, sent_at = announcement_id
        if reply.error or number <= self.last_answered:
            return
        self.last_answered = number
        self.expire_lease()
        self.lease = (sent_at, sent_at + reply.lease_ms)
        revoked = set(reply.release) & self.grants
        self.grants = set(reply.grants)
        self.draining |= revoked
        for grant in set(reply.release) - self.draining:
            if grant not in self.released:
                self.released.append(grant)

    def expire_lease(self):
        """Abort all work of an expired lease, since others may own the keys."""
        if self.local_now() >= self.lease[1]:
            self.grants = set()
            self.draining = set()
            self.model.abort_requests(self.name)

    def accepts(self, grant):
        return grant in self.grants and grant in self.served_grants()

    def served_grants(self):
        if self.crashed or not self.lease[0] <= self.local_now() < self.lease[1]:
            return set()
        return self.grants | self.draining


class ModelNode:
    """Node that follows the feed and keeps a session; arbiters also report drains."""

    def __init__(self, model, name, role):
        self.model, self.role = model, role
        self.row = NodeRow(name, role, "i1", name, "a", "")
        self.tables = FeedTables()
        self.session = HeldLease(float("-inf"), 0.0)
        self.next_ping = model.rng.uniform(0, 250)
        self.disconnected_until = 0.0
        self.last_permit = {}

    def is_valid(self):
        return self.session.is_valid(self.model.now)

    def step(self):
        if self.model.now < self.disconnected_until:
            return
        if self.model.now >= self.next_ping:
            self.next_ping = self.model.now + 250
            sent_at, index = self.model.now, self.tables.index
            self.model.send(lambda: self.model.on_ping(self, index, sent_at))
        if self.role is Role.ARBITER and self.is_valid():
            self.report_drains()

    def on_update(self, update):
        if self.model.now >= self.disconnected_until and self.tables.apply(update):
            index = self.tables.index
            self.model.send(lambda: self.model.on_feed_acknowledged(self, index))

    def on_pong(self, update, sent_at):
        if self.model.now >= self.disconnected_until:
            self.tables.apply(update)
            self.session = HeldLease(
                max(sent_at, self.session.asked_at_ms), SESSION_TTL_MS
            )

    def is_takeover_complete(self, shard_epoch):
        """Return whether every entry has reported its requests to this arbiter."""
        known = {row.node for row in self.tables.nodes_of(Role.ENTRY)}
        entries = [n for n in self.model.nodes if n.row.node in known]
        return all(n.tables.index >= shard_epoch for n in entries)

    def report_drains(self):
        drained = []
        for row in self.tables.partitions.values():
            shard = self.tables.shards.get(upstream_shard(row.service, row.upstream))
            if row.state is not PartitionState.RELEASING or shard is None:
                continue
            if shard.node != self.row.node or not self.is_takeover_complete(
                shard.epoch
            ):
                continue
            grant = PartitionEpoch(row.partition, row.epoch)
            if self.model.now >= self.model.last_request_end(row.upstream, grant):
                drained.append(PartitionRef(row.service, row.partition, row.epoch))
        if drained:
            self.model.send(lambda: self.model.on_drained(self, drained))


class ControlSimulation:
    """Simulated site; checks that no key is served by two upstreams at once."""

    def __init__(self, seed, fencing=Fencing.EPOCH, upstreams=4, partitions=8):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.event_counter = itertools.count()
        self.loss_probability = 0.02
        self.delay_probability = 0.02
        self.unknown_outcome_probability = 0.02
        self.service = service(fencing=fencing, partitions=partitions)
        self.log_index = 0
        self.replicas = [ControlState() for _ in range(3)]
        self.undecided_commands = []
        self.leader_state: Any = None
        self.no_leader_until = 0.0
        self.violations = []
        self.epochs = {}
        self.assignment_count = 0
        self.fenced_requests = 0
        self.running = {}
        self.served_at = {}
        self.isolated_hashes = []
        self.key_hashes = [(2 * n + 1) * 2**63 // partitions for n in range(partitions)]
        self.revision = 0
        self.commit(change(site([self.service]), 0))
        self.revision = 1
        self.upstreams = [
            ModelUpstream(self, f"u{n}", ZONES[n % 3]) for n in range(upstreams)
        ]
        self.nodes = [
            ModelNode(self, name, role)
            for name, role in (
                ("e1", Role.ENTRY),
                ("e2", Role.ENTRY),
                ("x1", Role.ARBITER),
                ("x2", Role.ARBITER),
            )
        ]
        self.elect_leader()

    # Network and replicated log

    def schedule(self, delay, action):
        heapq.heappush(
            self.events, (self.now + delay, next(self.event_counter), action)
        )

    def send(self, action):
        if self.rng.random() < self.loss_probability:
            return
        slow = self.rng.random() < self.delay_probability
        self.schedule(
            self.rng.uniform(0, 1400) if slow else self.rng.uniform(0, 20), action
        )

    @property
    def state(self):
        return self.replicas[0]

    def commit(self, command):
        self.log_index += 1
        data = messages.encode(command)
        outcomes = {r.apply(self.log_index, data) for r in self.replicas}
        assert len(outcomes) == 1
        self.check_epochs()
        if isinstance(command, cmd.AssignPartitions):
            self.assignment_count += sum(bool(item.upstream) for item in command.items)

    def check_epochs(self):
        for row in self.state.rows.partitions.rows():
            key = PartitionId(row.service, row.partition)
            if row.epoch < self.epochs.get(key, 0):
                self.violations.append(f"{self.now}: the epoch of {key} decreased")
            self.epochs[key] = row.epoch

    def elect_leader(self):
        """Make another replica the leader, starting from the committed log."""
        for command in self.undecided_commands:
            if self.rng.random() < 0.5:
                self.commit(command)
        self.undecided_commands = []
        self.replicas.append(self.replicas.pop(0))
        restored = ControlState()
        restored.restore(self.state.snapshot())
        assert restored.update_since(0) == self.state.update_since(0)
        self.replicas[0] = restored
        self.commit(cmd.OpenTerm("c", 1))
        self.leader_state = LeaderState(self.state, self.now)

    def lose_leader(self):
        self.leader_state = None
        self.no_leader_until = self.now + self.rng.uniform(400, 800)

    def run_leader(self):
        if self.leader_state is None:
            if self.now >= self.no_leader_until:
                self.elect_leader()
            return
        for command in [
            *self.undecided_commands,
            *self.leader_state.commands(self.now),
        ]:
            if command in self.undecided_commands:
                self.undecided_commands.remove(command)
                if self.rng.random() < 0.5:
                    continue
            elif self.rng.random() < self.unknown_outcome_probability:
                self.undecided_commands.append(command)
                break
            self.commit(command)
        for node in self.nodes:
            update = self.state.update_since(node.tables.index)
            if update.to_index > node.tables.index:
                self.send(lambda node=node, update=update: node.on_update(update))

    def apply_settings(self, settings):
        self.commit(change(settings, self.revision, request=f"q{self.revision}"))
        self.revision += 1

    # Messages to the leader

    def on_announcement(self, upstream, item, announcement_id):
        if self.leader_state is not None:
            reply = self.leader_state.announce(item, self.now)
            if self.leader_state.defers_reply(item):
                self.run_leader()
                reply = self.leader_state.announce(item, self.now)
            self.send(lambda: upstream.on_reply(reply, announcement_id))

    def on_ping(self, node, index, sent_at):
        if self.leader_state is None or self.now < node.disconnected_until:
            return
        verdict = self.leader_state.ping(node.row, index, self.now)
        if verdict is PingResult.CONFIRMED:
            update = self.state.update_since(index)
            self.send(lambda: node.on_pong(update, sent_at))

    def on_feed_acknowledged(self, node, index):
        if self.leader_state is not None:
            self.leader_state.ping(node.row, index, self.now)

    def on_drained(self, node, drained):
        if self.leader_state is not None:
            for ref in drained:
                self.leader_state.record_drain_report(ref, node.row.node)

    # Requests

    def last_request_end(self, upstream, grant):
        """Return the end of the last request for a partition at an upstream."""
        end_times = [
            e for (u, h, _), e in self.running.items() if (u, h) == (upstream, grant)
        ]
        return max(end_times, default=0.0)

    def abort_requests(self, upstream):
        """End the requests at a fencing upstream whose lease has expired."""
        if self.service.fencing is Fencing.EPOCH:
            self.running = {k: e for k, e in self.running.items() if k[0] != upstream}

    def routing_row(self, entry, key_hash):
        """Return the partition row by which an entry would now route a key, or None."""
        if not entry.is_valid():
            return None
        tables = entry.tables
        isolated = tables.isolated.get(("s", key_hash))
        number = key_hash * self.service.partitions >> 64
        if isolated is not None:
            number = isolated.partition
        row = tables.partitions.get(PartitionId("s", number))
        if row is None or row.state is not PartitionState.OWNED:
            return None
        shard = tables.shards.get(upstream_shard("s", row.upstream))
        arbiter = next(
            (n for n in self.nodes if shard and n.row.node == shard.node), None
        )
        if arbiter is None or not arbiter.is_valid():
            return None
        if arbiter.tables.shards.get(shard.shard) != shard:
            return None
        if arbiter.tables.partitions.get(PartitionId("s", number)) != row:
            return None
        return row if arbiter.is_takeover_complete(shard.epoch) else None

    def serve_requests(self):
        holders: dict[int, set[str]] = {}
        for up in self.upstreams:
            for grant in up.served_grants():
                holders.setdefault(grant.partition, set()).add(up.name + up.incarnation)
        if self.service.fencing is Fencing.EPOCH:
            for partition, names in holders.items():
                if len(names) > 1:
                    self.violations.append(f"{self.now}: {partition} at {names}")
        for key_hash in self.key_hashes:
            self.serve_request(key_hash)

    def serve_request(self, key_hash):
        for entry in (n for n in self.nodes if n.role is Role.ENTRY):
            row = self.routing_row(entry, key_hash)
            if row is None:
                continue
            up = self.upstream(row.upstream)
            grant = PartitionEpoch(row.partition, row.epoch)
            if self.service.fencing is Fencing.EPOCH and not up.accepts(grant):
                self.fenced_requests += 1
                continue
            if not up.crashed and self.now >= up.paused_until:
                self.served_at[key_hash] = self.now
            # An upstream without fencing may run a request up to its deadline.
            runs_to_deadline = (
                self.service.fencing is Fencing.NONE or self.rng.random() < 0.1
            )
            end = self.now + (REQUEST_TIMEOUT_MS if runs_to_deadline else 20)
            run = (up.name, grant, key_hash)
            self.running[run] = max(end, self.running.get(run, 0.0))
        runs = [k for k, end in self.running.items() if k[2] == key_hash]
        upstream_names = {k[0] for k in runs if self.is_running(k)}
        if len(upstream_names) > 1:
            self.violations.append(
                f"{self.now}: key {key_hash} runs at {upstream_names}"
            )

    def is_running(self, run):
        if self.running[run] <= self.now:
            del self.running[run]
            return False
        if self.service.fencing is Fencing.NONE:
            return True
        return bool(self.upstream(run[0]).served_grants())

    def upstream_of(self, partition):
        return self.state.rows.partitions.get(PartitionId("s", partition)).upstream

    def upstream(self, name):
        return next(u for u in reversed(self.upstreams) if u.name == name)

    # Simulation steps

    def step(self):
        self.now += STEP_MS
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()
        for upstream in list(self.upstreams):
            upstream.step()
        for node in self.nodes:
            node.step()
        if self.now % 50 == 0:
            self.run_leader()
        self.serve_requests()

    def run(self, duration_ms):
        end = self.now + duration_ms
        while self.now < end:
            self.step()

    def run_until(self, condition, limit_ms):
        end = self.now + limit_ms
        while not condition():
            if self.now >= end:
                raise AssertionError(f"not within {limit_ms} ms")
            self.step()

    def all_served(self, within_ms=100):
        return all(
            self.now - self.served_at.get(k, -1e9) <= within_ms for k in self.key_hashes
        )

    def live_upstreams(self):
        return [u for u in self.upstreams if not u.crashed]

    def restart(self, upstream):
        """Replace a crashed upstream with a new incarnation of the same name."""
        number = int(upstream.incarnation[1:]) + 1
        self.upstreams.remove(upstream)
        self.abort_requests(upstream.name)
        successor = ModelUpstream(self, upstream.name, upstream.zone, f"i{number}")
        successor.next_announcement = self.now + self.rng.uniform(0, 500)
        self.upstreams.append(successor)
        return successor
