"""Streams of entries and arbiters at the control leader: sessions and the feed."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import gevent
from gevent.event import Event

from bergamotdrift.clock import Clock
from bergamotdrift.constants import SESSION_TTL_MS
from bergamotdrift.control_log_events import REFUSED_ANNOUNCEMENTS, update_gauges
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import ErrorKind, StreamClosedError
from bergamotdrift.leader_complaints import LeaderComplaints
from bergamotdrift.leader_duties import LeaderDuties
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
from bergamotdrift.node_sessions import PingVerdict
from bergamotdrift.replication import Replicator
from bergamotdrift.streams import Connection, pack_one_way

# A node that has still not applied an update after this time is sent it again.
RESEND_AFTER_MS = 2000
ANNOUNCEMENTS_PER_BATCH = 2000
# A full update of 1,000 rows takes up to 2 ms to pack.
_PUSHES_PER_PAUSE = 16
_ANNOUNCEMENTS_PER_PAUSE = 64


@dataclass
class FeedPosition:
    """Hold up to which feed index a stream was sent updates, and when."""

    sent_index: int
    sent_at_ms: float


class PackedUpdate(NamedTuple):
    """Hold an update as a frame, and the feed index that it leads to."""

    to_index: int
    frame: bytes


@dataclass
class WaitingPing:
    """Hold a ping whose registration is being logged."""

    conn: Connection
    number: int
    ping: Ping


@dataclass
class HeldBatch:
    """Hold announcements whose grants a round is about to change."""

    conn: Connection
    number: int
    msg: RelayAnnouncements


class NodeStreams:
    """Answer nodes as long as this replica leads, and push them the feed."""

    def __init__(
        self,
        state: ControlState,
        replicator: Replicator,
        clock: Clock,
        upstream_ttl_ms: float | None = None,
    ):
        self._state = state
        self._replicator = replicator
        self._clock = clock
        self.leadership = Leadership(state, replicator, clock, self, upstream_ttl_ms)
        self._positions: dict[Connection, FeedPosition] = {}
        self._complaints = LeaderComplaints()
        self._waiting: list[WaitingPing] = []
        self._held: list[HeldBatch] = []
        self._updates: dict[int, PackedUpdate] = {}
        self._updates_index = -1
        self._changed = Event()
        self._pusher: gevent.Greenlet | None = None
        # Called after a round that changed the state.
        self.on_changed: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the leader's rounds and the feed."""
        self.leadership.start()
        self._pusher = gevent.spawn(self._push_loop)

    def stop(self) -> None:
        """Stop the leader's rounds and the feed."""
        self.leadership.stop()
        if self._pusher is not None:
            self._pusher.kill()

    def on_message(self, conn: Connection, number: int, msg: Message) -> bool:
        """Handle a node's message and tell whether it is one."""
        handler = _HANDLERS.get(type(msg))
        if handler is None:
            return False
        duties = self.leadership.duties()
        if duties is None:
            if isinstance(msg, Ping) and msg.unreachable:
                self._note_complaint(msg)
            conn.reply(number, self._not_leader())
        else:
            handler(self, duties, conn, number, msg)
        return True

    def _note_complaint(self, msg: Ping) -> None:
        if msg.unreachable != self._replicator.leader_address():
            return
        nodes = {row.node for row in self._state.rows.nodes.rows()}
        if self._complaints.add(msg.row.node, nodes, self._clock.now_ms()):
            log_event("leadership_asked_for", unreachable=msg.unreachable)
            self._replicator.ask_for_leadership()

    def on_close(self, conn: Connection) -> None:
        """Drop what is kept for a stream."""
        self._positions.pop(conn, None)

    def on_round(self, changed: bool) -> None:
        """Push what a round changed and answer the pings that waited for it."""
        duties = self.leadership.duties()
        update_gauges(self._state, duties is not None)
        # Upstreams learn of their grants before the feed sends requests to them.
        self._answer_held(duties)
        if changed:
            self._changed.set()
            self.on_changed()
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            if duties is None:
                item.conn.reply(item.number, self._not_leader())
            else:
                self._on_ping(duties, item.conn, item.number, item.ping)

    def on_leadership_lost(self) -> None:
        """Send the nodes away; they look for the new leader."""
        update_gauges(self._state, False)
        self._positions.clear()
        self._answer_held(None)
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            item.conn.reply(item.number, self._not_leader())

    def settings_changed(self) -> None:
        """Push a change that was not made by a round."""
        self._changed.set()
        self.leadership.wake()

    def _not_leader(self) -> NotLeader:
        # A leader that has not opened its term yet must not redirect to itself.
        leads = self._replicator.is_leader()
        return NotLeader("" if leads else self._replicator.leader_address())

    # Messages

    def _on_ping(
        self, duties: LeaderDuties, conn: Connection, number: int, msg: Ping
    ) -> None:
        """Answer a ping; one without a number only tells the node's feed index."""
        if not _is_sender(conn, msg.row):
            conn.reply(
                number, Failure(ErrorKind.FORBIDDEN, "not the node of the hello")
            )
            return
        if msg.loads:
            duties.ranges.add_loads(msg.loads, self._clock.now_ms())
        if msg.speeds:
            duties.ranges.add_speeds(msg.row.node, msg.speeds)
        if msg.feed_index > self._state.feed_index:
            # Can only follow the loss of the cluster's data; the node must not go on.
            detail = "the node applied a later feed than this cluster has"
            conn.reply(number, Failure(ErrorKind.SETTINGS_STALE, detail))
            return
        verdict = duties.ping(msg.row, msg.feed_index, self._clock.now_ms())
        if verdict is PingVerdict.CONFIRMED:
            self._confirm(duties, conn, number, msg)
        elif not number:
            return
        elif verdict is PingVerdict.PENDING:
            self._waiting.append(WaitingPing(conn, number, msg))
            self.leadership.wake()
        else:
            detail = "an earlier run of this node has not expired yet"
            conn.reply(number, Failure(ErrorKind.FORBIDDEN, detail))

    def _confirm(
        self, duties: LeaderDuties, conn: Connection, number: int, msg: Ping
    ) -> None:
        if conn.closed:
            return
        self._note_position(conn, msg.feed_index)
        # The stream keeps the order, so a node that got the pong got the update.
        if not self._push(conn) or not number:
            return
        now_ms = self._clock.now_ms()
        rates = duties.lease_rates(msg.row.node, msg.rates, now_ms)
        conn.reply(
            number,
            Pong(
                self.leadership.replica(),
                self.leadership.term(),
                self._positions[conn].sent_index,
                SESSION_TTL_MS,
                rates,
            ),
        )

    def _note_position(self, conn: Connection, feed_index: int) -> None:
        now_ms = self._clock.now_ms()
        position = self._positions.get(conn)
        if position is None:
            self._positions[conn] = FeedPosition(feed_index, now_ms)
        elif (
            feed_index < position.sent_index
            and now_ms - position.sent_at_ms > RESEND_AFTER_MS
        ):
            position.sent_index = feed_index

    def _on_farewell(
        self, duties: LeaderDuties, conn: Connection, number: int, msg: Farewell
    ) -> None:
        if conn.peer is not None and (conn.peer.node, conn.peer.incarnation) == (
            msg.node,
            msg.incarnation,
        ):
            duties.nodes.leave(msg.node, msg.incarnation)
            self.leadership.wake()
        conn.reply(number, Done())

    def _on_announcements(
        self,
        duties: LeaderDuties,
        conn: Connection,
        number: int,
        msg: RelayAnnouncements,
    ) -> None:
        if not self._is_live_arbiter(duties, conn):
            conn.reply(number, Failure(ErrorKind.FORBIDDEN, "no arbiter session"))
            return
        if len(msg.items) > ANNOUNCEMENTS_PER_BATCH:
            conn.reply(number, Failure(ErrorKind.MALFORMED_REQUEST, "batch too large"))
            return
        replies = []
        for count, item in enumerate(msg.items, 1):
            replies.append(self._announce(duties, item))
            if count % _ANNOUNCEMENTS_PER_PAUSE == 0:
                gevent.sleep(0)
        # The leadership may have ended in a pause; the grants are void then.
        if self.leadership.duties() is not duties:
            conn.reply(number, self._not_leader())
            return
        holds = [duties.holds_reply(item) for item in msg.items]
        if any(holds):
            self._held.append(HeldBatch(conn, number, msg))
        else:
            conn.reply(number, AnnouncementReplies(replies))
        if any(holds) or duties.upstreams.has_changes():
            self.leadership.wake()

    def _answer_held(self, duties: LeaderDuties | None) -> None:
        """Answer the batches that waited for a round, with the grants it made."""
        held, self._held = self._held, []
        for batch in held:
            if duties is None:
                batch.conn.reply(batch.number, self._not_leader())
                continue
            now_ms = self._clock.now_ms()
            replies = [duties.announce(item, now_ms) for item in batch.msg.items]
            batch.conn.reply(batch.number, AnnouncementReplies(replies))

    def _announce(self, duties: LeaderDuties, item: Announcement) -> AnnouncementReply:
        reply = duties.announce(item, self._clock.now_ms())
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
        duties: LeaderDuties,
        conn: Connection,
        number: int,
        msg: PartitionsDrained,
    ) -> None:
        if conn.peer is not None:
            for ref in msg.items:
                duties.drained(ref, conn.peer.node)
        conn.reply(number, Done())
        self.leadership.wake()

    def _on_loads(
        self, duties: LeaderDuties, conn: Connection, number: int, msg: LoadReport
    ) -> None:
        if self._is_live_arbiter(duties, conn):
            duties.add_loads(msg, self._clock.now_ms())
        conn.reply(number, Done())

    def _is_live_arbiter(self, duties: LeaderDuties, conn: Connection) -> bool:
        peer = conn.peer
        if peer is None or peer.role is not Role.ARBITER:
            return False
        row = self._state.rows.nodes.get(peer.node)
        if row is None or row.incarnation != peer.incarnation:
            return False
        return duties.nodes.is_live(peer.node)

    # Feed

    def _push_loop(self) -> None:
        while True:
            self._changed.wait()
            self._changed.clear()
            for count, conn in enumerate(list(self._positions), 1):
                if self.leadership.duties() is None:
                    break
                self._push(conn)
                if count % _PUSHES_PER_PAUSE == 0:
                    gevent.sleep(0)

    def _push(self, conn: Connection) -> bool:
        """Send a stream what it lacks and tell whether it is still open."""
        position = self._positions.get(conn)
        if position is None or conn.closed:
            return False
        if position.sent_index >= self._state.feed_index:
            return True
        update = self._update_since(position.sent_index)
        try:
            conn.send_packed(update.frame)
        except StreamClosedError:
            return False
        position.sent_index = update.to_index
        position.sent_at_ms = self._clock.now_ms()
        return True

    def _update_since(self, index: int) -> PackedUpdate:
        # Most streams lack the same rows.
        if self._updates_index != self._state.feed_index:
            self._updates_index = self._state.feed_index
            self._updates.clear()
        if index not in self._updates:
            update = self._state.update_since(index)
            self._updates[index] = PackedUpdate(update.to_index, pack_one_way(update))
        return self._updates[index]


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
    type, Callable[[NodeStreams, LeaderDuties, Connection, int, Any], None]
] = {
    Ping: NodeStreams._on_ping,
    Farewell: NodeStreams._on_farewell,
    RelayAnnouncements: NodeStreams._on_announcements,
    PartitionsDrained: NodeStreams._on_drained,
    LoadReport: NodeStreams._on_loads,
}
