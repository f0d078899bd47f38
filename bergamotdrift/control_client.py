"""Session of a node with the control leader: pings, the feed and requests."""

import contextlib
import math
from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from gevent.event import Event

from bergamotdrift import constants
from bergamotdrift.clock import Clock
from bergamotdrift.control_client_metrics import PING_TIME, report_settings_age
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    LeaderLostError,
    Refusal,
    StreamClosedError,
)
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.lease import HeldLease
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Farewell,
    FeedUpdate,
    Hello,
    KeyLoad,
    Message,
    NodeRow,
    NotLeader,
    Overloads,
    PaceLot,
    PaceLots,
    PaceNeed,
    Ping,
    Pong,
    RateLot,
    RateNeed,
    UpstreamOverload,
    UpstreamReport,
    UpstreamSpeed,
    VersionResult,
)
from bergamotdrift.pings import AnsweredPing, PingsInFlight
from bergamotdrift.streams import Connection, StreamClient

_CALL_TIMEOUT_MS = 1000
_CONNECT_TIMEOUT_MS = constants.STREAM_CONNECT_TIMEOUT_MS
_RETRY_DELAY_S = 0.05
# After the leader could not be reached, replicas that name it are not followed for this
# time, and after a timeout it is not asked.
_UNREACHABLE_LEADER_PAUSE_MS = 500
_FAREWELL_TIMEOUT_MS = 300
# Two ping intervals: a slower reply delays the next ping.
_SLOW_PING_MS = 2 * constants.PING_INTERVAL_MS
_LOGGED_AGE_MAX_MS = 1e9


class SessionObserver(Protocol):
    """Receive notifications from a session."""

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Handle a feed update that was applied to the tables."""
        ...


class PingPayload(Protocol):
    """Provide the rate requests and load reports of pings and take leased tokens."""

    def rate_needs(self) -> list[RateNeed]:
        """Return the rate tokens to request and to give back."""
        ...

    def pace_needs(self) -> list[PaceNeed]:
        """Return the tokens for cold upstreams to request and to give back."""
        ...

    def key_loads(self) -> list[KeyLoad]:
        """Return the request counts by key since the last call."""
        ...

    def speeds(self) -> list[UpstreamSpeed]:
        """Return the slot times per request of upstreams, where they changed."""
        ...

    def reports(self) -> list[UpstreamReport]:
        """Return what upstreams have stated since the last report."""
        ...

    def version_results(self) -> list[VersionResult]:
        """Return the counts of requests by version of all running rollouts."""
        ...

    def take_rates(self, lots: list[RateLot], asked_at_ms: float) -> None:
        """Add leased rate tokens, whose lease starts at `asked_at_ms`."""
        ...

    def take_paces(self, lots: list[PaceLot], asked_at_ms: float) -> None:
        """Add leased tokens for cold upstreams."""
        ...

    def take_overloads(self, items: list[UpstreamOverload], salt: int) -> None:
        """Replace what is known of overloaded upstreams."""
        ...


class ControlClient:
    """Keep a node's session with the control leader.

    `tables` are updated from the feed. `session` is the lease on the node's
    registration. `ready` is set once the tables have settings and are up to date.
    """

    def __init__(
        self,
        replicas: tuple[str, ...],
        hello: Hello,
        node_row: Callable[[], NodeRow],
        clock: Clock,
        observer: SessionObserver,
        payload: PingPayload | None = None,
    ):
        self._replicas = list(replicas)
        self._hello = hello
        self._node_row = node_row
        self._clock = clock
        self._observer = observer
        self._payload = payload
        # Time of the next ping ahead of its interval, if it was requested.
        self._early_ping_at_ms = math.inf
        self._pinged_at_ms = -math.inf
        self._wake = Event()
        self._client: StreamClient | None = None
        self._replica_cursor = 0
        self._confirmed_at_ms = float("-inf")
        self._term = 0
        self._leader_address = ""
        self._unreachable_leader = ""
        self._unreachable_at_ms = float("-inf")
        self._leader_timed_out = False
        self._is_connected = False
        self._greenlet: gevent.Greenlet | None = None
        self.tables = FeedTables()
        self.session = HeldLease(float("-inf"), 0.0)
        self.ready = Event()

    def start(self) -> None:
        """Start pinging the leader in the background."""
        report_settings_age(self.settings_age_ms)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the session at the control leader and close the stream."""
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._client is None:
            return
        farewell = Farewell(self._hello.node, self._hello.incarnation)
        # If this fails, the leader expires the session after its time-to-live.
        with contextlib.suppress(StreamClosedError, CallError, gevent.Timeout):
            self._client.call(farewell, _FAREWELL_TIMEOUT_MS)
        self._client.stop()

    def add_replicas(self, addresses: Iterable[str]) -> None:
        """Add addresses at which to look for the leader."""
        self._replicas += [a for a in addresses if a not in self._replicas]

    def ping_now(self) -> None:
        """Send the next ping without waiting for the interval."""
        self.ping_after(0.0)

    def ping_after(self, interval_ms: float) -> None:
        """Send the next ping this long after the last one, if that is early."""
        due_ms = self._pinged_at_ms + interval_ms
        self._early_ping_at_ms = min(self._early_ping_at_ms, due_ms)
        self._wake.set()

    def call(self, msg: Message, timeout_ms: float = _CALL_TIMEOUT_MS) -> Message:
        """Send a request to the leader and return its reply.

        Raises StreamClosedError, CallError (NOT_LEADER) and gevent.Timeout.
        """
        client = self._client
        if client is None:
            raise StreamClosedError("no control leader is known")
        reply = client.call(msg, timeout_ms)
        if isinstance(reply, NotLeader):
            self._follow_redirect(reply.hint)
            raise CallError(Refusal(ErrorKind.NOT_LEADER, reply.hint))
        return reply

    def session_is_valid(self) -> bool:
        """Return whether the session lease is valid, by this node's clock."""
        return self.session.is_valid(self._clock.now_ms())

    def settings_age_ms(self) -> float:
        """Return the milliseconds since the leader last confirmed the settings."""
        return self._clock.now_ms() - self._confirmed_at_ms

    def on_open(self, conn: Connection) -> None:
        """Do nothing; the ping loop uses the new stream."""

    def on_close(self, conn: Connection) -> None:
        """Do nothing; the ping loop reconnects."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Apply a feed update and acknowledge it, or pass on what is not a reply."""
        if isinstance(msg, FeedUpdate) and self._apply(msg):
            self._acknowledge(conn, msg)
        elif isinstance(msg, Overloads) and self._payload is not None:
            self._payload.take_overloads(msg.items, msg.salt)
        elif isinstance(msg, PaceLots) and self._payload is not None:
            self._payload.take_paces(msg.items, float(msg.asked_ms))

    def _run(self) -> None:
        while True:
            client = self._client or self._connect(self._next_address())
            started_ms = self._clock.now_ms()
            try:
                self._ping_while_leading(client)
            except LeaderLostError as exc:
                if client is not self._client:
                    continue
                self._log_lost(client, exc, started_ms)
                if not self._leave(client, exc):
                    gevent.sleep(_RETRY_DELAY_S)

    def _ping_while_leading(self, client: StreamClient) -> None:
        """Ping a replica until another one is chosen; raises LeaderLostError."""
        try:
            conn = client.ready_connection(_CONNECT_TIMEOUT_MS)
        except StreamClosedError as exc:
            raise LeaderLostError(
                str(exc), is_unreachable=True, timed_out=True
            ) from exc
        pings = PingsInFlight(conn, self._clock, self._wake)
        while client is self._client:
            self._early_ping_at_ms = math.inf
            self._pinged_at_ms = self._clock.now_ms()
            if pings.has_room():
                has_payload = not pings.has_payload()
                pings.send(self._build_ping(has_payload), has_payload)
            self._handle_replies(client, pings)
            pings.check()

    def _handle_replies(self, client: StreamClient, pings: PingsInFlight) -> None:
        """Handle replies until the next ping is due; raises LeaderLostError."""
        interval_ends_ms = self._clock.now_ms() + constants.PING_INTERVAL_MS
        while client is self._client:
            self._wake.clear()
            for answer in pings.take_answered():
                self._on_reply(client, answer)
            due_ms = interval_ends_ms
            if not pings.has_payload():
                due_ms = min(due_ms, self._early_ping_at_ms)
            left_ms = due_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._wake.wait(left_ms / 1000.0)

    def _on_reply(self, client: StreamClient, answer: AnsweredPing) -> None:
        """Renew the session; raises LeaderLostError if this is not the leader."""
        reply = answer.reply
        if isinstance(reply, NotLeader):
            reason = f"not the leader, hint {reply.hint or 'none'}"
            raise LeaderLostError(reason, reply.hint)
        if not isinstance(reply, Pong) or reply.term < self._term:
            raise LeaderLostError("the reply is of an old term")
        self._log_pong(client, reply, answer.sent_at_ms)
        self._renew_session(reply, answer.sent_at_ms)
        if self._payload is not None and answer.has_payload:
            self._payload.take_rates(reply.rates, answer.sent_at_ms)
            self._payload.take_paces(reply.paces, answer.sent_at_ms)

    def _leave(self, client: StreamClient, exc: LeaderLostError) -> bool:
        """Close the stream; return whether one to the hinted leader replaces it."""
        if exc.is_unreachable and client.address == self._leader_address:
            self._unreachable_leader = client.address
            self._unreachable_at_ms = self._clock.now_ms()
            self._leader_timed_out = exc.timed_out
        if self._follow_redirect(exc.hint):
            return True
        self._close_client()
        return False

    def _log_lost(
        self, client: StreamClient, exc: LeaderLostError, started_ms: float
    ) -> None:
        """Log why a replica was left; the first time means that the leader is lost."""
        log_event(
            "control_lost" if self._is_connected else "control_ping_failed",
            replica=client.address,
            reason=str(exc),
            after_ms=round(self._clock.now_ms() - started_ms),
            **self._settings_state(),
        )
        self._is_connected = False

    def _log_pong(self, client: StreamClient, pong: Pong, sent_at_ms: float) -> None:
        """Log the first reply of a leader, and slow replies."""
        took_ms = self._clock.now_ms() - sent_at_ms
        PING_TIME.observe(took_ms / 1000.0)
        if self._is_connected and took_ms <= _SLOW_PING_MS:
            return
        log_event(
            "control_ping_slow" if self._is_connected else "control_found",
            replica=client.address,
            term=pong.term,
            took_ms=round(took_ms),
            leader_index=pong.feed_index,
            **self._settings_state(),
        )
        self._is_connected = True

    def _settings_state(self) -> dict[str, int]:
        """Return log fields for the applied settings and their age."""
        return {
            "index": self.tables.index,
            "revision": self.tables.revision,
            "settings_age_ms": round(min(self.settings_age_ms(), _LOGGED_AGE_MAX_MS)),
        }

    def _build_ping(self, with_payload: bool) -> Ping:
        ping = Ping(self._node_row(), self.tables.index, self._unreachable_leader)
        if self._payload is None or not with_payload:
            return ping
        return ping._replace(
            rates=self._payload.rate_needs(),
            loads=self._payload.key_loads(),
            speeds=self._payload.speeds(),
            reports=self._payload.reports(),
            paces=self._payload.pace_needs(),
            version_results=self._payload.version_results(),
        )

    def _renew_session(self, pong: Pong, sent_at_ms: float) -> None:
        self._term = pong.term
        self._leader_address = self._client.address if self._client else ""
        self._unreachable_leader = ""
        self.session = HeldLease(sent_at_ms, pong.ttl_ms)
        if self.tables.settings is not None and self.tables.index >= pong.feed_index:
            self._confirmed_at_ms = max(self._confirmed_at_ms, sent_at_ms)
            self.ready.set()

    def _apply(self, update: FeedUpdate) -> bool:
        if not self.tables.apply(update):
            log_event("feed_update_ignored", to_index=update.to_index)
            return False
        self._observer.on_tables_changed(update)
        return True

    def _acknowledge(self, conn: Connection, update: FeedUpdate) -> None:
        """Send the feed index now, as a partition's next owner may wait for it."""
        if update.partitions or update.isolated:
            with contextlib.suppress(StreamClosedError):
                conn.send(Ping(self._node_row(), self.tables.index))

    def _follow_redirect(self, hint: str) -> bool:
        if not hint or self._is_unreachable(hint):
            return False
        if self._client is not None and hint == self._client.address:
            return False
        self._close_client()
        self._connect(hint)
        # All configured replicas may have been replaced by the time one is needed.
        if hint not in self._replicas:
            self._replicas.append(hint)
        return True

    def _is_unreachable(self, address: str) -> bool:
        """Return whether the leader could not be reached at an address just now."""
        if address != self._unreachable_leader:
            return False
        since_ms = self._clock.now_ms() - self._unreachable_at_ms
        return since_ms < _UNREACHABLE_LEADER_PAUSE_MS

    def _next_address(self) -> str:
        """Return the replica to ask next.

        A connection to a leader that is cut off fails only after its timeout. Meanwhile
        the followers must hear of it, and one of them may already lead.
        """
        address = self._advance_cursor()
        if self._leader_timed_out and self._is_unreachable(address):
            return self._advance_cursor()
        return address

    def _advance_cursor(self) -> str:
        address = self._replicas[self._replica_cursor % len(self._replicas)]
        self._replica_cursor += 1
        return address

    def _connect(self, address: str) -> StreamClient:
        client = StreamClient(address, self._hello, self)
        client.start()
        self._client = client
        return client

    def _close_client(self) -> None:
        if self._client is not None:
            self._client.stop()
        self._client = None
