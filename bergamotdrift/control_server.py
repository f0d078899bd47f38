"""Server of a control replica for nodes, other replicas and operators."""

from typing import Protocol

import gevent

from bergamotdrift.clock import Clock
from bergamotdrift.config.schema import ControlSettings
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    ProtocolError,
    StreamClosedError,
)
from bergamotdrift.http_server import HttpServer
from bergamotdrift.messages import (
    Failure,
    Hello,
    Message,
)
from bergamotdrift.node_streams import NodeStreams
from bergamotdrift.operator_call_handler import (
    OperatorCallHandler,
    SettingsCheck,
    refusal,
)
from bergamotdrift.operator_messages import LeaderCall, OperatorAnswer, OperatorCall
from bergamotdrift.operator_resources import operator_app
from bergamotdrift.replication import Replicator
from bergamotdrift.streams import Connection, StreamClient

FORWARD_TIMEOUT_MS = 2000
_NO_LEADER = refusal(ErrorKind.NO_QUORUM, "the leader did not answer")


class ReplicaMessageHandler(Protocol):
    """Handle the messages between replicas of the log."""

    def handle_message(self, conn: Connection, number: int, msg: Message) -> bool:
        """Handle a message between replicas; return False for any other message."""
        ...


class LeaderCallHandler(Protocol):
    """Handle, on the leader, external calls that any replica accepts."""

    def handle(self, call: LeaderCall) -> OperatorAnswer:
        """Return the answer, or NOT_LEADER if this replica does not lead."""
        ...


class LeaderClient(Protocol):
    """Send requests to the leader on a persistent stream."""

    def call_leader(self, msg: Message, timeout_ms: float) -> Message:
        """Return the leader's reply, or raise CallError."""
        ...


class _IgnoringHandler:
    """Ignore the events of a stream that is opened for one request."""

    def on_open(self, conn: Connection) -> None:
        """Ignore the opening."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Ignore a message."""

    def on_close(self, conn: Connection) -> None:
        """Ignore the closing."""


class ControlServer:
    """Handle all streams of a replica and serve the operator HTTP API."""

    def __init__(
        self,
        cfg: ControlSettings,
        hello: Hello,
        state: ControlState,
        replicator: Replicator,
        clock: Clock,
        check: SettingsCheck,
        replica_messages: ReplicaMessageHandler | None = None,
    ):
        self._hello = hello
        self._replicator = replicator
        self._replica_messages = replica_messages
        # Set by programs that accept further external calls.
        self.leader_call_handler: LeaderCallHandler | None = None
        self.node_streams = NodeStreams(
            state,
            replicator,
            clock,
            cfg.upstream_ttl_ms,
            cfg.range_grants,
            cfg.cold_bound,
            cfg.rollout,
        )
        self._operator_api = OperatorCallHandler(
            state,
            self.node_streams.leadership,
            replicator,
            check,
            self.node_streams.on_settings_changed,
        )
        app = operator_app(self.answer, cfg.operator_key_digests)
        self.http = HttpServer(cfg.operator_listen, app)

    def start(self) -> None:
        """Start serving nodes and the operator API."""
        self.node_streams.start()
        self.http.start()

    def stop(self) -> None:
        """Stop serving; nodes look for another leader."""
        self.http.shut_down()
        self.node_streams.stop()

    def is_ready(self) -> bool:
        """Return whether this replica knows a leader."""
        return self._replicator.is_leader() or bool(self._replicator.leader_address())

    def answer(self, call: OperatorCall) -> OperatorAnswer:
        """Return the leader's answer to an operator, forwarding the call if needed."""
        if self._replicator.is_leader():
            return self._operator_api.handle(call)
        address = self._replicator.leader_address()
        if not address:
            return refusal(ErrorKind.NO_QUORUM, "no leader is known")
        return self._forward(address, call)

    def call_leader(self, call: LeaderCall, leader: LeaderClient) -> OperatorAnswer:
        """Return the leader's answer to an external call; forwards it by `leader`."""
        if self._replicator.is_leader():
            return self._answer_locally(call)
        try:
            reply = leader.call_leader(call, FORWARD_TIMEOUT_MS)
        except CallError as exc:
            # A change may have been logged before the stream was lost.
            return refusal(ErrorKind.NO_QUORUM, exc.refusal.detail)
        return reply if isinstance(reply, OperatorAnswer) else _NO_LEADER

    def on_open(self, conn: Connection) -> None:
        """Do nothing until the first message."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Dispatch a message to the component that handles it."""
        if self._replica_messages is not None and self._replica_messages.handle_message(
            conn, number, msg
        ):
            return
        if self.node_streams.on_message(conn, number, msg):
            return
        if isinstance(msg, OperatorCall):
            gevent.spawn(self._answer_forwarded, conn, number, msg)
        elif isinstance(msg, LeaderCall):
            gevent.spawn(lambda: conn.reply(number, self._answer_locally(msg)))
        elif number:
            conn.reply(number, Failure(ErrorKind.MALFORMED_REQUEST, "unexpected"))

    def on_close(self, conn: Connection) -> None:
        """Discard the feed position of a stream."""
        self.node_streams.on_close(conn)

    def _answer_locally(self, call: LeaderCall) -> OperatorAnswer:
        if self.leader_call_handler is None:
            return refusal(
                ErrorKind.INTERNAL, "this program does not handle external calls"
            )
        return self.leader_call_handler.handle(call)

    def _answer_forwarded(
        self, conn: Connection, number: int, call: OperatorCall
    ) -> None:
        # Replies only as leader; forwarding the call again could create a loop.
        conn.reply(number, self._operator_api.handle(call))

    def _forward(self, address: str, call: OperatorCall) -> OperatorAnswer:
        client = StreamClient(address, self._hello, _IgnoringHandler())
        client.start()
        try:
            reply = client.call(call, FORWARD_TIMEOUT_MS)
        except (StreamClosedError, CallError, ProtocolError, gevent.Timeout) as exc:
            # A change may have been logged before the stream was lost.
            return refusal(ErrorKind.NO_QUORUM, f"the leader did not answer: {exc}")
        finally:
            client.stop()
        if not isinstance(reply, OperatorAnswer):
            return refusal(ErrorKind.INTERNAL)
        return reply
