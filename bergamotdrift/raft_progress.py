"""Replication progress and flow control of one follower, as seen by the leader."""

from collections import deque
from enum import Enum

from bergamotdrift.raft_messages import Snapshot

MAX_APPENDS_IN_FLIGHT = 16
MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
SNAPSHOT_RESEND_MS = 500.0


class Flow(Enum):
    """Enumerate the replication states: probing, pipelining, sending a snapshot."""

    PROBE = "probe"
    STREAM = "stream"
    SNAPSHOT = "snapshot"


class Progress:
    """Track the match and next index of a follower, and its appends in flight."""

    def __init__(self, next_index: int):
        self.match = 0
        self.next = next_index
        self.flow = Flow.PROBE
        # Send time, by the leader's clock, of the latest message that was answered.
        self.acked_ms = float("-inf")
        self.snapshot: Snapshot | None = None
        self.offset = 0
        self.chunk_sent_ms = float("-inf")
        self._probe_sent = False
        self._in_flight: deque[int] = deque()

    def may_send(self) -> bool:
        """Return whether an append with entries may be sent now."""
        if self.flow is Flow.PROBE:
            return not self._probe_sent
        if self.flow is Flow.STREAM:
            return len(self._in_flight) < MAX_APPENDS_IN_FLIGHT
        return False

    def is_chunk_due(self, now_ms: float) -> bool:
        """Return whether a snapshot chunk should be sent or resent."""
        if self.flow is not Flow.SNAPSHOT:
            return False
        return now_ms >= self.chunk_sent_ms + SNAPSHOT_RESEND_MS

    def on_sent(self, last_index: int) -> None:
        """Record an append that was sent and ends at `last_index`."""
        if self.flow is Flow.PROBE:
            self._probe_sent = True
            return
        self.next = last_index + 1
        self._in_flight.append(last_index)

    def on_heartbeat(self) -> None:
        """Allow another probe, since the last one may have been lost."""
        self._probe_sent = False

    def on_reply(self, sent_ms: float, now_ms: float) -> None:
        """Record a reply to a message that was sent at `sent_ms`."""
        if sent_ms <= now_ms:
            self.acked_ms = max(self.acked_ms, sent_ms)

    def on_match(self, match: int) -> None:
        """Record that the follower has synced the log up to `match`."""
        if self.flow is Flow.SNAPSHOT:
            if self.snapshot is not None and match < self.snapshot.log_index:
                return
            self.snapshot = None
            self.flow = Flow.PROBE
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        if self.flow is Flow.PROBE:
            self._start_stream()
        while self._in_flight and self._in_flight[0] <= match:
            self._in_flight.popleft()

    def on_reject(self, prev_index: int, hint: int) -> None:
        """Move the next index back after a rejected append; ignore stale replies."""
        if self.flow is Flow.SNAPSHOT or prev_index <= self.match:
            return
        if self.flow is Flow.PROBE and prev_index != self.next - 1:
            return
        self.flow = Flow.PROBE
        self._probe_sent = False
        self._in_flight.clear()
        self.next = max(self.match + 1, min(prev_index, hint + 1))

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Switch to sending a snapshot, starting at offset 0."""
        self.flow = Flow.SNAPSHOT
        self.snapshot = snapshot
        self.offset = 0
        self.chunk_sent_ms = float("-inf")
        self._in_flight.clear()

    def _start_stream(self) -> None:
        self.flow = Flow.STREAM
        self.next = self.match + 1
        self._probe_sent = False
        self._in_flight.clear()
