"""Pings on a stream to the control leader whose replies are outstanding."""

from collections import deque
from typing import NamedTuple

from gevent.event import AsyncResult, Event

from bergamotdrift.clock import Clock
from bergamotdrift.exceptions import LeaderLostError, StreamClosedError
from bergamotdrift.messages import Failure, Message, Ping
from bergamotdrift.streams import Connection

# With pings every 250 ms, replies may take a second before the pings become rarer.
MAX_PINGS_IN_FLIGHT = 4
# Streams carry heartbeats, so one that is silent for this long has failed.
SILENCE_MAX_MS = 1000
# A replica that sends heartbeats but no replies is left after this time.
REPLY_TIMEOUT_MS = 2000


class _SentPing(NamedTuple):
    """Describe a ping that was sent."""

    sent_at_ms: float
    has_payload: bool
    reply: AsyncResult


class AnsweredPing(NamedTuple):
    """Describe the reply to a ping that was sent at `sent_at_ms`."""

    sent_at_ms: float
    has_payload: bool
    reply: Message


class PingsInFlight:
    """Send pings without waiting for replies, and detect a stream that has failed.

    Over a slow link, confirmations are as late as the link is slow, but no rarer.
    """

    def __init__(self, conn: Connection, clock: Clock, replied: Event):
        self._conn = conn
        self._clock = clock
        self._replied = replied
        self._sent: deque[_SentPing] = deque()

    def has_room(self) -> bool:
        """Return whether another ping may be sent."""
        return len(self._sent) < MAX_PINGS_IN_FLIGHT

    def has_payload(self) -> bool:
        """Return whether the reply to a ping with a payload is outstanding."""
        return any(ping.has_payload for ping in self._sent)

    def send(self, ping: Ping, has_payload: bool) -> None:
        """Send a ping; `replied` is set on its reply. Raises LeaderLostError."""
        now_ms = self._clock.now_ms()
        try:
            reply = self._conn.request(ping)
        except StreamClosedError as exc:
            raise LeaderLostError(str(exc), is_unreachable=True) from exc
        reply.rawlink(lambda _: self._replied.set())
        self._sent.append(_SentPing(now_ms, has_payload, reply))

    def take_answered(self) -> list[AnsweredPing]:
        """Return the replies since the last call, in order; raises LeaderLostError."""
        answered = []
        while self._sent and self._sent[0].reply.ready():
            ping = self._sent.popleft()
            reply = self._reply_of(ping)
            answered.append(AnsweredPing(ping.sent_at_ms, ping.has_payload, reply))
        return answered

    def check(self) -> None:
        """Raise LeaderLostError if the stream is silent or replies don't come."""
        if not self._sent:
            return
        waited_ms = self._clock.now_ms() - self._sent[0].sent_at_ms
        silent_ms = min(waited_ms, self._conn.silent_ms())
        if silent_ms > SILENCE_MAX_MS or waited_ms > REPLY_TIMEOUT_MS:
            reason = f"no reply for {round(waited_ms)} ms"
            raise LeaderLostError(reason, is_unreachable=True, timed_out=True)

    def _reply_of(self, ping: _SentPing) -> Message:
        try:
            reply = ping.reply.get()
        except StreamClosedError as exc:
            raise LeaderLostError(str(exc), is_unreachable=True) from exc
        if isinstance(reply, Failure):
            raise LeaderLostError(reply.detail)
        return reply
