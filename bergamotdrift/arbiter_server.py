"""Server of an arbiter: connects streams, announcements and the feed to its shards."""

import random
from collections.abc import Iterator
from typing import NamedTuple

import gevent

from bergamotdrift import arbiter_metrics
from bergamotdrift.admin_apps import admin_app
from bergamotdrift.announcements import AnnouncementRelay, announce_app
from bergamotdrift.arbiter_messages import RecordMirror
from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ArbiterSettings
from bergamotdrift.constants import DRIFT_MARGIN_MS, SESSION_TTL_MS
from bergamotdrift.control_client import ControlClient
from bergamotdrift.exceptions import CallError, ProtocolError, StreamClosedError
from bergamotdrift.http_server import HttpServer
from bergamotdrift.load_poller import LoadPoller, PollTarget
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    FeedUpdate,
    Hello,
    Message,
    NodeRow,
    PartitionsDrained,
    Role,
)
from bergamotdrift.observations import LoadHint
from bergamotdrift.outputs import Mirror, Output, Reply
from bergamotdrift.record_sender import RecordSender
from bergamotdrift.shard_set import ShardSet
from bergamotdrift.streams import Connection, StreamServer
from bergamotdrift.takeover import EntryId

_TICK_S = 0.01
# Most ticks find an empty queue; polling less often then saves CPU on an idle arbiter.
_IDLE_TICK_S = 0.04
# Resent until control's feed shows that the partition has changed.
_DRAINED_INTERVAL_S = 0.1
_LOAD_REPORT_INTERVAL_S = 2.0
_METRICS_INTERVAL_S = 1.0
_FLUSH_DELAY_S = 0.2
_MAX_WAITING_SHARDS_LOGGED = 3


class Ticket(NamedTuple):
    """Identify a request by its connection and message number."""

    conn: Connection
    number: int


class ArbiterServer:
    """Serve entries and upstreams, and apply control's feed."""

    def __init__(
        self,
        cfg: ArbiterSettings,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
    ):
        self._cfg = cfg
        self._clock = clock
        self._stopping = False
        self._streams: dict[str, Connection] = {}
        self._greenlets: list[gevent.Greenlet] = []
        node = cfg.node
        hello = Hello(node.cluster, node.node, Role.ARBITER, incarnation, node.zone)
        self._incarnation = incarnation
        self.server = StreamServer(cfg.listen, hello, self)
        self.control = ControlClient(node.control, hello, self._node_row, clock, self)
        self.shards = ShardSet(node.node, clock, rng, self.may_grant)
        self._relay = AnnouncementRelay(self.control)
        self._announce = HttpServer(cfg.announce_listen, announce_app(self._relay))
        self._admin = HttpServer(node.admin_listen, admin_app(self.is_ready))
        self._records = RecordSender(hello, node.vm, self.control.tables)
        self._poller = LoadPoller(self._poll_targets, self._on_load_report, clock)

    @property
    def announce_address(self) -> str:
        """Return the address of the announcement endpoint for upstreams."""
        return self._announce.address

    @property
    def admin_address(self) -> str:
        """Return the address of the metrics and health endpoints."""
        return self._admin.address

    def may_grant(self) -> bool:
        """Return whether this arbiter still owns its shards, by its own clock.

        A valid session is not enough: with a stale feed the shards may have moved.
        """
        if self._stopping or not self.control.session_is_valid():
            return False
        return self.control.settings_age_ms() < SESSION_TTL_MS - DRIFT_MARGIN_MS

    def is_ready(self) -> bool:
        """Return whether upstreams may announce themselves here."""
        return not self._stopping and self.control.session_is_valid()

    def start(self) -> None:
        """Start the listeners, the control client and the background loops."""
        self.server.start()
        self._announce.start()
        self._admin.start()
        self.control.start()
        self._relay.start()
        self._records.start()
        self._poller.start()
        loops = (
            self._run_ticks,
            self._report_drained,
            self._report_load,
            self._update_gauges,
        )
        self._greenlets = [gevent.spawn(loop) for loop in loops]
        log_event(
            "arbiter_started",
            address=self.server.address,
            announce=self.announce_address,
            admin=self.admin_address,
        )

    def stop(self) -> None:
        """Refuse queued requests, end the control session, flush and close."""
        self._stopping = True
        log_event("arbiter_stopping", queued=self._count_queued())
        self._announce.stop()
        self._wait_for_announcements()
        self._deliver(self.shards.close())
        self.control.stop()
        gevent.sleep(min(_FLUSH_DELAY_S, self._cfg.drain_s))
        self._poller.stop()
        self._relay.stop()
        self._records.stop()
        gevent.killall(self._greenlets, block=False)
        self.server.stop()
        self._admin.stop()
        log_event("arbiter_stopped")

    def _wait_for_announcements(self) -> None:
        """Wait up to the drain time for replies to the announcements in flight."""
        end_ms = self._clock.now_ms() + self._cfg.drain_s * 1000.0
        while self._announce.open_connections and self._clock.now_ms() < end_ms:
            gevent.sleep(_TICK_S)

    def on_open(self, conn: Connection) -> None:
        """Register a stream; it replaces an earlier one of the same node."""
        assert conn.peer is not None
        if conn.peer.role not in {Role.ENTRY, Role.ARBITER}:
            conn.close("only entries and arbiters may connect")
            return
        earlier = self._streams.get(conn.peer.node)
        self._streams[conn.peer.node] = conn
        if earlier is not None:
            self._disconnect_entry(earlier)
            earlier.close("replaced by a new stream")

    def on_close(self, conn: Connection) -> None:
        """Drop the requests that wait on a closed stream."""
        if conn.peer is None or self._streams.get(conn.peer.node) is not conn:
            return
        del self._streams[conn.peer.node]
        self._disconnect_entry(conn)

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Pass a message of an entry to its shard and deliver the outputs."""
        assert conn.peer is not None
        if self._streams.get(conn.peer.node) is not conn:
            return
        if conn.peer.role is not Role.ENTRY and not isinstance(msg, RecordMirror):
            raise ProtocolError("arbiters may send only RecordMirror messages")
        entry = _entry_of(conn)
        self._deliver(self.shards.handle(entry, msg, Ticket(conn, number)))

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Apply a feed update to the shards."""
        before = self.shards.epochs()
        self._deliver(self.shards.update(self.control.tables))
        self._record_shard_changes(before, self.shards.epochs())

    def _record_shard_changes(
        self, before: dict[str, int], after: dict[str, int]
    ) -> None:
        for shard, epoch in sorted(after.items() - before.items()):
            arbiter_metrics.count_takeover()
            log_event("shard_taken", shard=shard, epoch=epoch)
        for shard in sorted(before.keys() - after.keys()):
            log_event("shard_given_up", shard=shard, epoch=before[shard])

    def _node_row(self) -> NodeRow:
        node = self._cfg.node
        return NodeRow(
            node.node,
            Role.ARBITER,
            self._incarnation,
            node.vm,
            node.zone,
            self.server.address,
        )

    def _disconnect_entry(self, conn: Connection) -> None:
        self._deliver(self.shards.disconnect(_entry_of(conn)))

    def _deliver(self, outputs: list[Output]) -> None:
        arbiter_metrics.count_outputs(outputs)
        for output in outputs:
            try:
                self._send(output)
            except StreamClosedError as exc:
                # The entry sends a resume with all that it holds when it reconnects.
                log_event("reply_lost", reason=str(exc))

    def _send(self, output: Output) -> None:
        if isinstance(output, Mirror):
            self._records.send(output)
            return
        if isinstance(output, Reply):
            if output.ticket.number:
                output.ticket.conn.reply(output.ticket.number, output.message)
            return
        conn = self._streams.get(output.entry.node)
        if conn is not None and _entry_of(conn) == output.entry:
            conn.send(output.message)

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(_TICK_S if self.shards.is_waiting() else _IDLE_TICK_S)
            self._deliver(self.shards.tick())

    def _report_drained(self) -> None:
        while True:
            gevent.sleep(_DRAINED_INTERVAL_S)
            refs = self.shards.drained()
            if refs:
                self._call_control(PartitionsDrained(refs))

    def _report_load(self) -> None:
        while True:
            gevent.sleep(_LOAD_REPORT_INTERVAL_S)
            for report in self.shards.take_load_reports():
                self._call_control(report)

    def _call_control(self, msg: Message) -> None:
        try:
            self.control.call(msg)
        except (StreamClosedError, CallError, ProtocolError, gevent.Timeout) as exc:
            log_event("control_call_failed", call=type(msg).__name__, reason=str(exc))

    def _update_gauges(self) -> None:
        while True:
            gevent.sleep(_METRICS_INTERVAL_S)
            permits = self.shards.permits.values()
            arbiter_metrics.QUEUED_REQUESTS.set(self._count_queued())
            arbiter_metrics.RUNNING_PERMITS.set(
                sum(len(shard.permits) for shard in permits)
            )
            arbiter_metrics.SHARDS.set(self.shards.count())
            waiting = self.shards.awaiting_reports()
            arbiter_metrics.WAITING_SHARDS.set(len(waiting))
            for shard in waiting[:_MAX_WAITING_SHARDS_LOGGED]:
                log_event(
                    "shard_waits_for_entries",
                    shard=shard.shard,
                    entries=",".join(sorted(e.node for e in shard.missing_entries)),
                )

    def _count_queued(self) -> int:
        return sum(shard.queued for shard in self.shards.permits.values())

    def _poll_targets(self) -> Iterator[PollTarget]:
        for name, shard in self.shards.permits.items():
            for load in shard.upstreams:
                yield PollTarget(name, load.row.upstream, load.row.address)

    def _on_load_report(self, target: PollTarget, hint: LoadHint | None) -> None:
        shard = self.shards.permits.get(target.shard)
        if shard is not None:
            self._deliver(shard.on_load_report(target.upstream, hint))


def _entry_of(conn: Connection) -> EntryId:
    assert conn.peer is not None
    return EntryId(conn.peer.node, conn.peer.incarnation)
