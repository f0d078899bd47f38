"""Simulated control and arbiters of a site that run the product's decision code."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import SiteSettings, ZoneState
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.feed_tables import FeedTables, PartitionId
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReply,
    Failure,
    FeedUpdate,
    Message,
    NodeRow,
    PartitionState,
    Role,
)
from bergamotdrift.outputs import Notice, Output, Reply
from bergamotdrift.shard_set import ShardSet
from bergamotdrift.takeover import EntryId
from scripts.measure_loop import EventLoop
from scripts.measure_report import RunStats
from scripts.measure_sites import ENTRIES, Site
from scripts.measure_upstreams import Fleet, Upstream, with_zone_state

_TICK_MS = 10.0
_LEADER_ROUND_MS = 50.0
# A commit is synced to disk on two replicas before the feed is sent.
_COMMIT_MS = 8.0
_POWER_OFF_DELAY_MS = 4000.0
_POWER_ON_LEAD_MS = 1000.0
_ARBITER_DOWNTIME_MS = 5000.0

ReplyCallback = Callable[[Message], None]


class EntryListener(Protocol):
    """Receive the cluster's messages to an entry."""

    def on_feed(self, update: FeedUpdate) -> None:
        """Handle an update of the tables."""
        ...

    def on_notice(self, msg: Message) -> None:
        """Handle a one-way message from an arbiter."""
        ...


class _Ticket:
    """Deliver the reply of a pending call to an entry, at most once."""

    __slots__ = ("is_resolved", "on_reply")

    def __init__(self, on_reply: ReplyCallback):
        self.on_reply = on_reply
        self.is_resolved = False

    def resolve(self, msg: Message) -> None:
        if not self.is_resolved:
            self.is_resolved = True
            self.on_reply(msg)


class Node:
    """Model an entry or arbiter process."""

    def __init__(self, role: Role, number: int, zone: str):
        self.role, self.number, self.zone = role, number, zone
        self.name = f"{role.value}-{number}"
        self.incarnation = 1
        self.is_up = True
        self.shards: ShardSet | None = None
        self.pending_calls: dict[_Ticket, None] = {}

    @property
    def row(self) -> NodeRow:
        """Return the node's row."""
        incarnation = f"i{self.incarnation}"
        vm = f"vm-{self.number}"
        return NodeRow(
            self.name, self.role, incarnation, vm, self.zone, f"{self.name}:1"
        )

    @property
    def entry_id(self) -> EntryId:
        """Return the identity of the entry's current incarnation."""
        return EntryId(self.name, f"i{self.incarnation}")


class _PendingAnnouncement(NamedTuple):
    """Hold an announcement that is waiting for its reply."""

    up: Upstream
    announcement: Announcement
    sent_ms: float
    incarnation: int


class Cluster:
    """Simulate control's leader, the arbiters and the latency of their messages."""

    def __init__(
        self, loop: EventLoop, site: Site, fleet: Fleet, stats: RunStats, seed: int
    ):
        self.loop, self.site, self._stats = loop, site, stats
        self._rng = random.Random(f"cluster-{seed}")
        self._state = ControlState()
        self._log_index = 0
        self._revision = 0
        self.tables = FeedTables()
        self._owners: dict[PartitionId, str] = {}
        self._pending_announcements: list[_PendingAnnouncement] = []
        self.entry_listeners: dict[str, EntryListener] = {}
        self._apply(self._settings_change(site.settings))
        self._leader_state = LeaderState(self._state, 0.0)
        self._nodes = {
            node.name: node
            for number in range(ENTRIES)
            for node in self._vm_nodes(number, site.zone_of(number))
        }
        self._fleet = fleet
        self._schedule_events()

    @staticmethod
    def _vm_nodes(number: int, zone: str) -> list[Node]:
        return [Node(role, number, zone) for role in (Role.ENTRY, Role.ARBITER)]

    def entry(self, number: int) -> Node:
        """Return the node of an entry."""
        return self._nodes[f"entry-{number}"]

    def call(
        self, entry: Node, shard: str, msg: Message, on_reply: ReplyCallback
    ) -> None:
        """Call a shard's arbiter; `on_reply` gets the reply or a Failure."""
        ticket = _Ticket(on_reply)
        node = self._arbiter(shard)
        hop_ms = self.site.model.hop_ms
        if node is None:
            self.loop.call_later(0.0, ticket.resolve, _unreachable_failure())
            return
        node.pending_calls[ticket] = None
        self.loop.call_later(
            hop_ms, self._handle_message, node, node.incarnation, entry, msg, ticket
        )

    def send(self, entry: Node, shard: str, msg: Message) -> None:
        """Send a one-way message to a shard's arbiter."""
        node = self._arbiter(shard)
        if node is not None:
            hop_ms = self.site.model.hop_ms
            self.loop.call_later(
                hop_ms, self._handle_message, node, node.incarnation, entry, msg, None
            )

    def _arbiter(self, shard: str) -> Node | None:
        row = self.tables.shards.get(shard)
        node = self._nodes.get(row.node) if row is not None else None
        return node if node is not None and node.is_up else None

    def _handle_message(
        self,
        node: Node,
        incarnation: int,
        entry: Node,
        msg: Message,
        ticket: _Ticket | None,
    ) -> None:
        if node.is_up and node.incarnation == incarnation and node.shards is not None:
            self._deliver_outputs(node, node.shards.handle(entry.entry_id, msg, ticket))

    def _deliver_outputs(self, node: Node, outputs: list[Output]) -> None:
        hop_ms = self.site.model.hop_ms
        for output in outputs:
            if isinstance(output, Reply) and output.ticket is not None:
                node.pending_calls.pop(output.ticket, None)
                self.loop.call_later(hop_ms, output.ticket.resolve, output.message)
            elif isinstance(output, Notice):
                listener = self.entry_listeners.get(output.entry.node)
                if listener is not None:
                    self.loop.call_later(hop_ms, listener.on_notice, output.message)

    # Timers

    def _schedule_events(self) -> None:
        loop, plan = self.loop, self.site.plan
        for number, node in enumerate(self._nodes.values()):
            self._start_node(node)
            loop.call_every(250.0, self._make_ping(node), number * 7.0)
        loop.call_every(_LEADER_ROUND_MS, self._run_leader_round, 1.0)
        loop.call_every(_TICK_MS, self._tick, 3.0)
        loop.call_every(100.0, self._report_drained, 5.0)
        loop.call_every(2000.0, self._report_loads, 9.0)
        loop.call_every(1000.0, self._poll_loads, 11.0)
        self._fleet.start_announcing(self._announce)
        zone_out = plan.zone_out_window
        loop.call_at(zone_out.start_ms, self._set_zone, ZoneState.OUT)
        loop.call_at(zone_out.end_ms, self._set_zone, ZoneState.IN)
        for node in self._nodes.values():
            if node.zone == self.site.outage_zone:
                loop.call_at(zone_out.start_ms + _POWER_OFF_DELAY_MS, self._crash, node)
                loop.call_at(zone_out.end_ms - _POWER_ON_LEAD_MS, self._restart, node)
        loop.call_at(plan.arbiter_crash_ms, self._crash_busiest_arbiter)

    def _start_node(self, node: Node) -> None:
        if node.role is Role.ARBITER:
            rng = random.Random(self._rng.random())
            may_grant = self._make_may_act(node, node.incarnation)
            node.shards = ShardSet(node.name, self.loop.clock, rng, may_grant)
            if self.tables.index:
                self._deliver_outputs(node, node.shards.update(self.tables))

    @staticmethod
    def _make_may_act(node: Node, incarnation: int) -> Callable[[], bool]:
        return lambda: node.is_up and node.incarnation == incarnation

    def _crash_busiest_arbiter(self) -> None:
        arbiters = [n for n in self._nodes.values() if n.shards is not None and n.is_up]
        busiest = max(arbiters, key=lambda n: (n.shards.count(), n.name))  # type: ignore[union-attr]
        self._crash(busiest)
        self.loop.call_later(_ARBITER_DOWNTIME_MS, self._restart, busiest)

    def _crash(self, node: Node) -> None:
        node.is_up = False
        node.shards = None
        for ticket in list(node.pending_calls):
            self.loop.call_later(
                self.site.model.hop_ms, ticket.resolve, _unreachable_failure()
            )
        node.pending_calls.clear()

    def _restart(self, node: Node) -> None:
        node.is_up = True
        node.incarnation += 1
        self._start_node(node)

    def _make_ping(self, node: Node) -> Callable[[], None]:
        def ping() -> None:
            if node.is_up:
                self._leader_state.ping(node.row, self.tables.index, self.loop.now_ms)

        return ping

    def _tick(self) -> None:
        for node in self._nodes.values():
            if node.shards is not None:
                self._deliver_outputs(node, node.shards.tick())

    def _report_drained(self) -> None:
        for node in self._nodes.values():
            if node.shards is None:
                continue
            for partition in node.shards.drained():
                self._leader_state.record_drain_report(partition, node.name)

    def _report_loads(self) -> None:
        for node in self._nodes.values():
            if node.shards is None:
                continue
            for report in node.shards.take_load_reports():
                self._leader_state.add_loads(report, self.loop.now_ms)

    def _poll_loads(self) -> None:
        hints = {key: up.load_report() for key, up in self._fleet.upstreams.items()}
        for node in self._nodes.values():
            if node.shards is None:
                continue
            for shard in list(node.shards.permits.values()):
                for load in list(shard.upstreams):
                    hint = hints.get((load.row.service, load.row.upstream))
                    self._deliver_outputs(
                        node, shard.on_load_report(load.row.upstream, hint)
                    )

    # Control

    def _announce(self, up: Upstream, announcement: Announcement) -> None:
        pending = _PendingAnnouncement(
            up, announcement, self.loop.now_ms, up.incarnation
        )
        reply = self._leader_state.announce(announcement, pending.sent_ms)
        is_held = self._leader_state.defers_reply(announcement)
        if is_held or self._leader_state.upstreams.has_changes():
            self.loop.call_later(1.0, self._run_leader_round)
        if is_held:
            self._pending_announcements.append(pending)
        else:
            self._reply_to_announcement(pending, reply)

    def _reply_to_announcement(
        self, pending: _PendingAnnouncement, reply: AnnouncementReply
    ) -> None:
        # The relay collects announcements for 10 ms before it sends a batch.
        delay_ms = 10.0 + 4 * self.site.model.hop_ms
        self.loop.call_later(
            delay_ms, pending.up.on_reply, reply, pending.sent_ms, pending.incarnation
        )

    def _run_leader_round(self) -> None:
        previous_index = self._state.feed_index
        for command in self._leader_state.commands(self.loop.now_ms):
            self._apply(command)
        pending_announcements, self._pending_announcements = (
            self._pending_announcements,
            [],
        )
        for pending in pending_announcements:
            reply = self._leader_state.announce(pending.announcement, self.loop.now_ms)
            self._reply_to_announcement(pending, reply)
        if self._state.feed_index != previous_index:
            self.loop.call_later(_COMMIT_MS + self.site.model.hop_ms, self._push_feed)

    def _apply(self, command: Message) -> Any:
        self._log_index += 1
        return self._state.apply_command(self._log_index, command)

    def _push_feed(self) -> None:
        update = self._state.update_since(self.tables.index)
        self.tables.apply(update)
        for partition in update.partitions:
            self._record_owner(
                partition.service,
                partition.partition,
                partition.upstream,
                partition.state,
            )
        for node in self._nodes.values():
            if node.shards is not None:
                self._deliver_outputs(node, node.shards.update(self.tables))
        for listener in self.entry_listeners.values():
            listener.on_feed(update)
        if update.partitions or update.isolated:
            for node in self._nodes.values():
                self.loop.call_later(self.site.model.hop_ms, self._make_ping(node))

    def _record_owner(
        self, service: str, number: int, upstream: str, state: PartitionState
    ) -> None:
        if state is not PartitionState.OWNED:
            return
        key = PartitionId(service, number)
        previous = self._owners.get(key)
        self._owners[key] = upstream
        if previous is not None and previous != upstream:
            self._stats.count_move(self.loop.now_ms)

    def _set_zone(self, state: ZoneState) -> None:
        self._apply(self._settings_change(with_zone_state(self.site, state).settings))
        self.loop.call_later(_COMMIT_MS, self._push_feed)
        self.loop.call_later(_COMMIT_MS, self._run_leader_round)

    def _settings_change(self, settings: SiteSettings) -> cmd.ApplySettings:
        base, self._revision = self._revision, self._revision + 1
        return cmd.ApplySettings(
            f"r{base}", "operator", base, 0, f"f{base}", settings, b"{}"
        )

    def count_unowned(self) -> int:
        """Return the number of partitions without an owner."""
        rows = self.tables.partitions.values()
        return sum(row.state is not PartitionState.OWNED for row in rows)


def _unreachable_failure() -> Failure:
    return Failure(ErrorKind.ARBITER_UNREACHABLE)
