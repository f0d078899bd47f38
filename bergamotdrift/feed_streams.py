"""Delivery of the feed and of overloads to the streams of nodes."""

import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import gevent

from bergamotdrift.clock import Clock
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import StreamClosedError
from bergamotdrift.messages import FeedUpdate, Overloads, Role, UpstreamOverload
from bergamotdrift.overload import salt_at
from bergamotdrift.streams import Connection, pack_one_way

# If a node's reported index stays behind for this long, its updates are sent again.
RESEND_AFTER_MS = 2000
# Pushing yields after this many streams: packing a full update of 1,000 rows takes up
# to 2 ms.
_PUSHES_PER_YIELD = 16
# Nodes get changes at most this often, so that one frame carries several and the cost
# of pushes grows with the number of nodes instead of its product with the changes.
_PUSH_INTERVAL_PER_NODE_MS = 0.6
_PUSH_INTERVAL_MAX_MS = 150.0


@dataclass
class FeedPosition:
    """Track the feed index up to which a stream was sent updates, and when."""

    sent_index: int
    sent_at_ms: float


class PackedUpdate(NamedTuple):
    """Describe a packed update and the feed index that it ends at."""

    to_index: int
    frame: bytes


class FeedStreams:
    """Push the changes of the feed to streams, to each from its own position on."""

    def __init__(self, state: ControlState, clock: Clock):
        self._state = state
        self._clock = clock
        self._positions: dict[Connection, FeedPosition] = {}
        self._packed_updates: dict[int, PackedUpdate] = {}
        self._packed_at_index = -1
        self._next_push_ms = 0.0
        self._overload_known = False

    def __len__(self) -> int:
        return len(self._positions)

    def clear(self) -> None:
        """Drop all streams."""
        self._positions.clear()

    def remove(self, conn: Connection) -> None:
        """Drop a stream."""
        self._positions.pop(conn, None)

    def sent_index(self, conn: Connection) -> int | None:
        """Return the feed index that a stream was sent, or None if it is unknown."""
        position = self._positions.get(conn)
        return None if position is None else position.sent_index

    def set_applied_index(self, conn: Connection, feed_index: int) -> None:
        """Record the index that a node reports, and send again what it has missed."""
        now_ms = self._clock.now_ms()
        position = self._positions.get(conn)
        if position is None:
            self._positions[conn] = FeedPosition(feed_index, now_ms)
        elif (
            feed_index < position.sent_index
            and now_ms - position.sent_at_ms > RESEND_AFTER_MS
        ):
            position.sent_index = feed_index

    def must_wait(self, conn: Connection) -> bool:
        """Return whether a stream lacks changes that the next push will bring."""
        lacks_changes = self._positions[conn].sent_index < self._state.feed_index
        return lacks_changes and self._clock.now_ms() < self._next_push_ms

    def push_to_all(self, may_push: Callable[[], bool]) -> None:
        """Push to all streams while allowed, and set the time of the next push."""
        interval_ms = _PUSH_INTERVAL_PER_NODE_MS * len(self._positions)
        interval_ms = min(_PUSH_INTERVAL_MAX_MS, interval_ms)
        self._next_push_ms = self._clock.now_ms() + interval_ms
        for count, conn in enumerate(list(self._positions), 1):
            if not may_push():
                return
            self.push(conn)
            if count % _PUSHES_PER_YIELD == 0:
                gevent.sleep(0)

    def sleep_until_next_push(self) -> None:
        """Wait until changes may be pushed again."""
        gevent.sleep(max(0.0, self._next_push_ms - self._clock.now_ms()) / 1000.0)

    def push(self, conn: Connection) -> bool:
        """Send a stream its missing updates; return whether it is still open."""
        position = self._positions.get(conn)
        if position is None or conn.closed:
            return False
        if position.sent_index >= self._state.feed_index:
            return True
        update = self._update_since(position.sent_index)
        try:
            conn.send_packed(update.frame, FeedUpdate)
        except StreamClosedError:
            return False
        position.sent_index = update.to_index
        position.sent_at_ms = self._clock.now_ms()
        return True

    def send_overloads(self, items: Sequence[UpstreamOverload] | None) -> None:
        """Tell all entries which upstreams are overloaded, and once that none is.

        Nothing is sent for None, as long as it was not planned anew.
        """
        if items is None or not (items or self._overload_known):
            return
        self._overload_known = bool(items)
        salt = salt_at(self._clock.now_ms())
        frame = pack_one_way(Overloads(list(items), salt))
        for conn in list(self._positions):
            if conn.peer is not None and conn.peer.role is Role.ENTRY:
                # A closed stream is dropped by its handler.
                with contextlib.suppress(StreamClosedError):
                    conn.send_packed(frame, Overloads)

    def _update_since(self, index: int) -> PackedUpdate:
        # Most streams lack the same rows, so a packed update is shared.
        if self._packed_at_index != self._state.feed_index:
            self._packed_at_index = self._state.feed_index
            self._packed_updates.clear()
        if index not in self._packed_updates:
            update = self._state.update_since(index)
            self._packed_updates[index] = PackedUpdate(
                update.to_index, pack_one_way(update)
            )
        return self._packed_updates[index]
