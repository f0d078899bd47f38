"""Control leader's streams to entries and arbiters, for sessions and the feed."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.event import Event

from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import (
    STATED_RATE,
    ColdBound,
    RangeGrants,
    RolloutBounds,
)
from bergamotdrift.constants import SESSION_TTL_MS
from bergamotdrift.control_log_events import REFUSED_ANNOUNCEMENTS, update_gauges
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.feed_streams import FeedStreams
from bergamotdrift.leader_reachability import LeaderReachability
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.leadership import Leadership
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Announcement,
    AnnouncementReplies,
    AnnouncementReply,
    Done,
    Failure,
    Farewell,
    LoadReport,
    Message,
    NodeRow,
    NotLeader,
    PartitionsDrained,
    Ping,
    Pong,
    RelayAnnouncements,
    Role,
)
from bergamotdrift.node_sessions import PingResult
from bergamotdrift.pace_replies import lease_paces, send_paces_early
from bergamotdrift.replication import Replicator
from bergamotdrift.streams import Connection

MAX_ANNOUNCEMENTS_PER_BATCH = 2000
_ANNOUNCEMENTS_PER_YIELD = 64


@dataclass
class PendingPing:
    """Describe a ping that waits for the registration of its node, or for the lease."""

    conn: Connection
    number: int
    ping: Ping


@dataclass
class DeferredBatch:
    """Describe a batch of announcements whose grants the next round may change."""

    conn: Connection
    number: int
    msg: RelayAnnouncements


class NodeStreams:
    """Handle node messages and push the feed while this replica leads."""

    def __init__(
        self,
        state: ControlState,
        replicator: Replicator,
        clock: Clock,
        upstream_ttl_ms: float | None = None,
        range_grants: RangeGrants = RangeGrants.CALLED,
        cold_bound: ColdBound = STATED_RATE,
        rollout: RolloutBounds | None = None,
    ):
        self._state = state
        self._replicator = replicator
        self._clock = clock
        self.leadership = Leadership(
            state,
            replicator,
            clock,
            self,
            upstream_ttl_ms,
            range_grants,
            cold_bound,
            rollout,
        )
        self._feed = FeedStreams(state, clock)
        self._leader_reachability = LeaderReachability()
        self._pending_pings: list[PendingPing] = []
        # Pings that the next push confirms, without their payload of reports.
        self._awaiting_push: list[PendingPing] = []
        self._deferred: list[DeferredBatch] = []
        self._changed = Event()
        self._pusher: gevent.Greenlet | None = None
        # Called after each round that changed the state.
        self.on_changed: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the leader's rounds and the feed push loop."""
        self.leadership.start()
        self._pusher = gevent.spawn(self._push_loop)

    def stop(self) -> None:
        """Stop the leader's rounds and the feed push loop."""
        self.leadership.stop()
        if self._pusher is not None:
            self._pusher.kill()

    def on_message(self, conn: Connection, number: int, msg: Message) -> bool:
        """Handle a message from a node; return False for other messages."""
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            return False
        leader_state = self.leadership.leader_state()
        if leader_state is not None:
            handler(self, leader_state, conn, number, msg)
        elif isinstance(msg, Ping):
            self._on_ping_without_lease(conn, number, msg)
        else:
            conn.reply(number, self._not_leader())
        return True

    def _on_ping_without_lease(self, conn: Connection, number: int, msg: Ping) -> None:
        """Redirect a ping, or keep it until the lapsed lease is renewed or lost."""
        if msg.unreachable:
            self._record_unreachable(msg)
        if self.leadership.open_state() is None:
            conn.reply(number, self._not_leader())
        elif number:
            self._pending_pings.append(PendingPing(conn, number, msg))

    def _record_unreachable(self, msg: Ping) -> None:
        if msg.unreachable != self._replicator.leader_address():
            return
        nodes = {row.node for row in self._state.rows.nodes.rows()}
        if self._leader_reachability.add(msg.row.node, nodes, self._clock.now_ms()):
            log_event("leadership_asked_for", unreachable=msg.unreachable)
            self._replicator.request_leadership()

    def on_close(self, conn: Connection) -> None:
        """Drop the feed position of a closed stream."""
        self._feed.remove(conn)

    def on_round(self, changed: bool) -> None:
        """Push the changes of a round and answer the pings that waited for it."""
        leader_state = self.leadership.leader_state()
        update_gauges(self._state, leader_state is not None)
        if leader_state is not None:
            self._feed.send_overloads(leader_state.ranges.take_overloads())
        if changed:
            self._changed.set()
            self.on_changed()
        if leader_state is None and self.leadership.open_state() is not None:
            # The lease has lapsed; requests wait until it is renewed or lost.
            return
        # Upstreams must receive their grants before the feed causes requests to them;
        # the push loop runs after this method.
        self._answer_deferred(leader_state)
        pending, self._pending_pings = self._pending_pings, []
        for item in pending:
            if leader_state is None:
                item.conn.reply(item.number, self._not_leader())
            else:
                self._on_ping(leader_state, item.conn, item.number, item.ping)

    def on_leadership_lost(self) -> None:
        """Redirect the pending requests, so that nodes look for the new leader."""
        update_gauges(self._state, False)
        self._feed.clear()
        self._answer_deferred(None)
        pending = [*self._pending_pings, *self._awaiting_push]
        self._pending_pings, self._awaiting_push = [], []
        for item in pending:
            item.conn.reply(item.number, self._not_leader())

    def on_settings_changed(self) -> None:
        """Push a settings change, which is made outside of rounds."""
        self._changed.set()
        self.leadership.wake()

    def _not_leader(self) -> NotLeader:
        # A leader whose term is not open yet must not redirect to itself.
        leads = self._replicator.leads_term()
        return NotLeader("" if leads else self._replicator.leader_address())

    # Messages

    def _on_ping(
        self, leader_state: LeaderState, conn: Connection, number: int, msg: Ping
    ) -> None:
        """Handle a ping; one without a number only reports the node's feed index."""
        if not _is_sender(conn, msg.row):
            conn.reply(
                number,
                Failure(
                    ErrorKind.FORBIDDEN,
                    "the ping is for a node other than that of the hello",
                ),
            )
            return
        if msg.loads:
            leader_state.ranges.add_loads(msg.loads, self._clock.now_ms())
        if msg.speeds:
            leader_state.ranges.speeds.add(msg.row.node, msg.speeds)
        if msg.reports:
            leader_state.upstreams.record_reports(msg.reports, self._clock.now_ms())
        if msg.version_results:
            leader_state.rollouts.add_results(
                msg.row.node, msg.feed_index, msg.version_results
            )
        if msg.feed_index > self._state.feed_index:
            # Possible only after the cluster lost data, so the node must not continue.
            detail = "the node has applied a later feed index than this cluster has"
            conn.reply(number, Failure(ErrorKind.SETTINGS_STALE, detail))
            return
        result = leader_state.ping(msg.row, msg.feed_index, self._clock.now_ms())
        if result is PingResult.CONFIRMED:
            self._confirm(leader_state, conn, number, msg)
        elif not number:
            return
        elif result is PingResult.PENDING:
            self._pending_pings.append(PendingPing(conn, number, msg))
            self.leadership.wake()
        else:
            detail = (
                "the session of an earlier process of this node has not expired yet"
            )
            conn.reply(number, Failure(ErrorKind.FORBIDDEN, detail))

    def _confirm(
        self, leader_state: LeaderState, conn: Connection, number: int, msg: Ping
    ) -> None:
        if conn.closed:
            return
        self._feed.set_applied_index(conn, msg.feed_index)
        if self._feed.must_wait(conn):
            if number:
                send_paces_early(leader_state, conn, msg, self._clock.now_ms())
            waiting = msg._replace(
                loads=[], speeds=[], reports=[], paces=[], version_results=[]
            )
            self._awaiting_push.append(PendingPing(conn, number, waiting))
            self._changed.set()
            return
        # Streams preserve order, so a node that received the pong received the update.
        if self._feed.push(conn) and number:
            self._send_pong(leader_state, conn, number, msg)

    def _send_pong(
        self, leader_state: LeaderState, conn: Connection, number: int, msg: Ping
    ) -> None:
        """Confirm the state that was sent last, which is as new as the ping."""
        sent_index = self._feed.sent_index(conn)
        if sent_index is None:
            return
        now_ms = self._clock.now_ms()
        rates = leader_state.lease_rate_tokens(msg.row.node, msg.rates, now_ms)
        paces = lease_paces(leader_state, msg, now_ms)
        conn.reply(
            number,
            Pong(
                self.leadership.replica(),
                self.leadership.term(),
                sent_index,
                SESSION_TTL_MS,
                rates,
                paces,
            ),
        )

    def _on_farewell(
        self, leader_state: LeaderState, conn: Connection, number: int, msg: Farewell
    ) -> None:
        if conn.peer is not None and (conn.peer.node, conn.peer.incarnation) == (
            msg.node,
            msg.incarnation,
        ):
            leader_state.nodes.end_session(msg.node, msg.incarnation)
            leader_state.rollouts.record_left(msg.node)
            self.leadership.wake()
        conn.reply(number, Done())

    def _on_announcements(
        self,
        leader_state: LeaderState,
        conn: Connection,
        number: int,
        msg: RelayAnnouncements,
    ) -> None:
        if not self._is_live_arbiter(leader_state, conn):
            conn.reply(
                number,
                Failure(ErrorKind.FORBIDDEN, "the sender has no arbiter session"),
            )
            return
        if len(msg.items) > MAX_ANNOUNCEMENTS_PER_BATCH:
            conn.reply(
                number,
                Failure(
                    ErrorKind.MALFORMED_REQUEST, "the batch has too many announcements"
                ),
            )
            return
        replies = []
        for count, item in enumerate(msg.items, 1):
            replies.append(self._announce(leader_state, item))
            if count % _ANNOUNCEMENTS_PER_YIELD == 0:
                gevent.sleep(0)
        # The leadership may have ended during a yield, which invalidates the grants.
        if self.leadership.leader_state() is not leader_state:
            conn.reply(number, self._not_leader())
            return
        must_defer = [leader_state.defers_reply(item) for item in msg.items]
        if any(must_defer):
            self._deferred.append(DeferredBatch(conn, number, msg))
        else:
            conn.reply(number, AnnouncementReplies(replies))
        if any(must_defer) or leader_state.upstreams.has_changes():
            self.leadership.wake()

    def _answer_deferred(self, leader_state: LeaderState | None) -> None:
        """Answer the batches that waited for a round with the resulting grants."""
        deferred, self._deferred = self._deferred, []
        for batch in deferred:
            if leader_state is None:
                batch.conn.reply(batch.number, self._not_leader())
                continue
            now_ms = self._clock.now_ms()
            replies = [leader_state.announce(item, now_ms) for item in batch.msg.items]
            batch.conn.reply(batch.number, AnnouncementReplies(replies))

    def _announce(
        self, leader_state: LeaderState, item: Announcement
    ) -> AnnouncementReply:
        reply = leader_state.announce(item, self._clock.now_ms())
        if reply.error:
            REFUSED_ANNOUNCEMENTS.inc()
            log_event(
                "announcement_refused",
                service=reply.service,
                upstream=reply.upstream,
                reason=reply.error,
            )
        return reply

    def _on_drained(
        self,
        leader_state: LeaderState,
        conn: Connection,
        number: int,
        msg: PartitionsDrained,
    ) -> None:
        if conn.peer is not None:
            for ref in msg.items:
                leader_state.record_drain_report(ref, conn.peer.node)
        conn.reply(number, Done())
        self.leadership.wake()

    def _on_loads(
        self, leader_state: LeaderState, conn: Connection, number: int, msg: LoadReport
    ) -> None:
        if self._is_live_arbiter(leader_state, conn):
            leader_state.add_loads(msg, self._clock.now_ms())
        conn.reply(number, Done())

    def _is_live_arbiter(self, leader_state: LeaderState, conn: Connection) -> bool:
        peer = conn.peer
        if peer is None or peer.role is not Role.ARBITER:
            return False
        row = self._state.rows.nodes.get(peer.node)
        if row is None or row.incarnation != peer.incarnation:
            return False
        return leader_state.nodes.is_live(peer.node)

    # Feed

    def _push_loop(self) -> None:
        while True:
            self._changed.wait()
            self._changed.clear()
            waiting, self._awaiting_push = self._awaiting_push, []
            self._feed.push_to_all(self._leads)
            self._answer_pushed(waiting)
            self._feed.sleep_until_next_push()

    def _leads(self) -> bool:
        return self.leadership.leader_state() is not None

    def _answer_pushed(self, pings: list[PendingPing]) -> None:
        """Answer the pings that waited for a push."""
        leader_state = self.leadership.leader_state()
        for item in pings:
            if leader_state is None:
                # The lease has lapsed, or the lead was lost: the next round tells.
                self._pending_pings.append(item)
            elif item.number:
                self._send_pong(leader_state, item.conn, item.number, item.ping)


def _is_sender(conn: Connection, row: NodeRow) -> bool:
    peer = conn.peer
    if peer is None or peer.role is Role.CONTROL:
        return False
    return (peer.node, peer.role, peer.incarnation) == (
        row.node,
        row.role,
        row.incarnation,
    )


_HANDLERS: dict[
    type, Callable[[NodeStreams, LeaderState, Connection, int, Any], None]
] = {
    Ping: NodeStreams._on_ping,
    Farewell: NodeStreams._on_farewell,
    RelayAnnouncements: NodeStreams._on_announcements,
    PartitionsDrained: NodeStreams._on_drained,
    LoadReport: NodeStreams._on_loads,
}
