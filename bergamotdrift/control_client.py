"""Session of a node with the control leader: pings, feed and calls."""

import contextlib
from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from gevent.event import Event

from bergamotdrift import constants
from bergamotdrift.clock import Clock
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    ProtocolError,
    Refusal,
    StreamClosedError,
)
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
    Ping,
    Pong,
    RateLot,
    RateNeed,
    UpstreamSpeed,
)
from bergamotdrift.streams import Connection, StreamClient
from bergamotdrift.tables import Tables

_CALL_TIMEOUT_MS = 1000
_CONNECT_WAIT_MS = 300
_FAREWELL_TIMEOUT_MS = 300


class SessionObserver(Protocol):
    """Learn of changes that a session brings about."""

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """React to an update that was applied to the tables."""
        ...


class PingLoad(Protocol):
    """Exchange rate tokens and load reports with the leader's pings."""

    def rate_needs(self) -> list[RateNeed]:
        """Return the rate tokens that are needed or returned."""
        ...

    def key_loads(self) -> list[KeyLoad]:
        """Return the requests by key since the last call."""
        ...

    def speeds(self) -> list[UpstreamSpeed]:
        """Return how long upstreams take, where that has changed."""
        ...

    def take_rates(self, lots: list[RateLot], asked_at_ms: float) -> None:
        """Take leased rate tokens, counted from before they were asked for."""
        ...


class ControlClient:
    """Keep a node's session with whichever control replica leads.

    `tables` follow the feed. `session` is the lease of the node's membership.
    """

    def __init__(
        self,
        replicas: tuple[str, ...],
        hello: Hello,
        describe: Callable[[], NodeRow],
        clock: Clock,
        observer: SessionObserver,
        load: PingLoad | None = None,
    ):
        self._replicas = list(replicas)
        self._hello = hello
        self._describe = describe
        self._clock = clock
        self._observer = observer
        self._load = load
        self._nudged = Event()
        self._client: StreamClient | None = None
        self._next_replica = 0
        self._confirmed_at_ms = float("-inf")
        self._term = 0
        self._leader_address = ""
        self._unreachable = ""
        self._greenlet: gevent.Greenlet | None = None
        self.tables = Tables()
        self.session = HeldLease(float("-inf"), 0.0)
        self.ready = Event()

    def start(self) -> None:
        """Start to ping the leader in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the session at control and close the stream."""
        if self._greenlet is not None:
            self._greenlet.kill()
        if self._client is None:
            return
        farewell = Farewell(self._hello.node, self._hello.incarnation)
        # Control expires the session by its time-to-live if this fails.
        with contextlib.suppress(StreamClosedError, CallError, gevent.Timeout):
            self._client.call(farewell, _FAREWELL_TIMEOUT_MS)
        self._client.stop()

    def add_replicas(self, addresses: Iterable[str]) -> None:
        """Look for the leader at further addresses too."""
        self._replicas += [a for a in addresses if a not in self._replicas]

    def ping_now(self) -> None:
        """Send the next ping without waiting for the interval."""
        self._nudged.set()

    def call(self, msg: Message, timeout_ms: float = _CALL_TIMEOUT_MS) -> Message:
        """Return the leader's reply.

        Raises StreamClosedError, CallError (NOT_LEADER) and gevent.Timeout.
        """
        client = self._client
        if client is None:
            raise StreamClosedError("no control leader is known")
        answer = client.call(msg, timeout_ms)
        if isinstance(answer, NotLeader):
            self._follow(answer.hint)
            raise CallError(Refusal(ErrorKind.NOT_LEADER, answer.hint))
        return answer

    def session_is_valid(self) -> bool:
        """Tell whether control still counts this node as a member."""
        return self.session.is_valid(self._clock.now_ms())

    def settings_age_ms(self) -> float:
        """Return how long ago the settings were confirmed, in milliseconds."""
        return self._clock.now_ms() - self._confirmed_at_ms

    def on_open(self, conn: Connection) -> None:
        """Ping at once, so that a new stream does not wait for the interval."""

    def on_close(self, conn: Connection) -> None:
        """Leave the reconnection to the ping loop."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Apply feed updates."""
        if isinstance(msg, FeedUpdate) and self._apply(msg):
            self._acknowledge(conn, msg)

    def _run(self) -> None:
        while True:
            self._nudged.clear()
            started_ms = self._clock.now_ms()
            if not self._ping():
                self._drop_client()
                gevent.sleep(0.05)
                continue
            spent_ms = self._clock.now_ms() - started_ms
            pause_ms = max(10.0, constants.PING_INTERVAL_MS - spent_ms)
            self._nudged.wait(pause_ms / 1000.0)

    def _ping(self) -> bool:
        client = self._client or self._connect(self._pick_replica())
        asked_at_ms = self._clock.now_ms()
        try:
            client.ready_connection(_CONNECT_WAIT_MS)
            answer = client.call(self._next_ping(), _CALL_TIMEOUT_MS)
        except (StreamClosedError, CallError, ProtocolError, gevent.Timeout):
            if client.address == self._leader_address:
                self._unreachable = client.address
            return False
        if isinstance(answer, NotLeader):
            return self._follow(answer.hint)
        if not isinstance(answer, Pong) or answer.term < self._term:
            return False
        self._confirm(answer, asked_at_ms)
        if self._load is not None:
            self._load.take_rates(answer.rates, asked_at_ms)
        return True

    def _next_ping(self) -> Ping:
        ping = Ping(self._describe(), self.tables.index, self._unreachable)
        if self._load is None:
            return ping
        return ping._replace(
            rates=self._load.rate_needs(),
            loads=self._load.key_loads(),
            speeds=self._load.speeds(),
        )

    def _confirm(self, pong: Pong, asked_at_ms: float) -> None:
        self._term = pong.term
        self._leader_address = self._client.address if self._client else ""
        self._unreachable = ""
        self.session = HeldLease(asked_at_ms, pong.ttl_ms)
        if self.tables.settings is not None and self.tables.index >= pong.feed_index:
            self._confirmed_at_ms = asked_at_ms
            self.ready.set()

    def _apply(self, update: FeedUpdate) -> bool:
        if not self.tables.apply(update):
            log_event("feed_update_ignored", to_index=update.to_index)
            return False
        self._observer.on_tables_changed(update)
        return True

    def _acknowledge(self, conn: Connection, update: FeedUpdate) -> None:
        """Tell control at once, since the next owner of a partition may wait for it."""
        if update.partitions or update.isolated:
            with contextlib.suppress(StreamClosedError):
                conn.send(Ping(self._describe(), self.tables.index))

    def _follow(self, hint: str) -> bool:
        if not hint or hint == self._unreachable:
            return False
        if self._client is not None and hint == self._client.address:
            return False
        self._drop_client()
        self._connect(hint)
        # The listed replicas may all have been replaced by the time they are needed.
        if hint not in self._replicas:
            self._replicas.append(hint)
        return True

    def _pick_replica(self) -> str:
        address = self._replicas[self._next_replica % len(self._replicas)]
        self._next_replica += 1
        return address

    def _connect(self, address: str) -> StreamClient:
        client = StreamClient(address, self._hello, self)
        client.start()
        self._client = client
        return client

    def _drop_client(self) -> None:
        if self._client is not None:
            self._client.stop()
        self._client = None
