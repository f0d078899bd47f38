"""Serves nodes, other replicas and operators around the control state."""

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
from bergamotdrift.operator_desk import OperatorDesk, SettingsCheck, refusal
from bergamotdrift.operator_messages import LeaderCall, OperatorAnswer, OperatorCall
from bergamotdrift.operator_resources import operator_app
from bergamotdrift.replication import Replicator
from bergamotdrift.streams import Connection, StreamClient

FORWARD_TIMEOUT_MS = 2000
_NO_LEADER = refusal(ErrorKind.NO_QUORUM, "the leader did not answer")


class PeerHandler(Protocol):
    """Handle the messages between replicas of the log."""

    def handle_message(self, conn: Connection, number: int, msg: Message) -> bool:
        """Handle a message between replicas, or return False if it is another."""
        ...


class CallDesk(Protocol):
    """Answer calls at the leader that any replica takes from outside."""

    def answer(self, call: LeaderCall) -> OperatorAnswer:
        """Return the answer; NOT_LEADER unless this replica leads."""
        ...


class LeaderCaller(Protocol):
    """Call the leader on a stream that is kept open."""

    def call_leader(self, msg: Message, timeout_ms: float) -> Message:
        """Return the leader's reply, or raise CallError."""
        ...


class _SilentHandler:
    """Ignore what arrives on a stream that is opened for one call."""

    def on_open(self, conn: Connection) -> None:
        """Ignore the opening."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Ignore a message."""

    def on_close(self, conn: Connection) -> None:
        """Ignore the end."""


class ControlServer:
    """Handle every stream of a replica, and serve the operators' HTTP API."""

    def __init__(
        self,
        cfg: ControlSettings,
        hello: Hello,
        state: ControlState,
        replicator: Replicator,
        clock: Clock,
        check: SettingsCheck,
        peers: PeerHandler | None = None,
    ):
        self._hello = hello
        self._replicator = replicator
        self._peers = peers
        # Set by a program that takes further calls from outside.
        self.calls: CallDesk | None = None
        self.nodes = NodeStreams(state, replicator, clock, cfg.upstream_ttl_ms)
        self._desk = OperatorDesk(
            state,
            self.nodes.leadership,
            replicator,
            check,
            self.nodes.settings_changed,
        )
        app = operator_app(self.answer, cfg.operator_key_digests)
        self.http = HttpServer(cfg.operator_listen, app)

    def start(self) -> None:
        """Start to serve."""
        self.nodes.start()
        self.http.start()

    def stop(self) -> None:
        """Stop to serve; nodes look for another leader."""
        self.http.stop()
        self.nodes.stop()

    def is_ready(self) -> bool:
        """Tell whether this replica knows a leader."""
        return self._replicator.is_leader() or bool(self._replicator.leader_address())

    def answer(self, call: OperatorCall) -> OperatorAnswer:
        """Return the leader's answer to an operator."""
        if self._replicator.is_leader():
            return self._desk.answer(call)
        address = self._replicator.leader_address()
        if not address:
            return refusal(ErrorKind.NO_QUORUM, "no leader is known")
        return self._forward(address, call)

    def call_leader(self, call: LeaderCall, leader: LeaderCaller) -> OperatorAnswer:
        """Return the answer of the leader's desk, here or on another replica."""
        if self._replicator.is_leader():
            return self._answer_here(call)
        try:
            answer = leader.call_leader(call, FORWARD_TIMEOUT_MS)
        except CallError as exc:
            # A change may have been logged before the stream was lost.
            return refusal(ErrorKind.NO_QUORUM, exc.refusal.detail)
        return answer if isinstance(answer, OperatorAnswer) else _NO_LEADER

    def on_open(self, conn: Connection) -> None:
        """Wait for the first message."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Pass a message to the part of the program that it is for."""
        if self._peers is not None and self._peers.handle_message(conn, number, msg):
            return
        if self.nodes.on_message(conn, number, msg):
            return
        if isinstance(msg, OperatorCall):
            gevent.spawn(self._answer_forwarded, conn, number, msg)
        elif isinstance(msg, LeaderCall):
            gevent.spawn(lambda: conn.reply(number, self._answer_here(msg)))
        elif number:
            conn.reply(number, Failure(ErrorKind.MALFORMED_REQUEST, "unexpected"))

    def on_close(self, conn: Connection) -> None:
        """Drop what is kept for a stream."""
        self.nodes.on_close(conn)

    def _answer_here(self, call: LeaderCall) -> OperatorAnswer:
        if self.calls is None:
            return refusal(ErrorKind.INTERNAL, "this program takes no such calls")
        return self.calls.answer(call)

    def _answer_forwarded(
        self, conn: Connection, number: int, call: OperatorCall
    ) -> None:
        # Answers only as leader, so that a call is not forwarded in a circle.
        conn.reply(number, self._desk.answer(call))

    def _forward(self, address: str, call: OperatorCall) -> OperatorAnswer:
        client = StreamClient(address, self._hello, _SilentHandler())
        client.start()
        try:
            answer = client.call(call, FORWARD_TIMEOUT_MS)
        except (StreamClosedError, CallError, ProtocolError, gevent.Timeout) as exc:
            # A change may have been logged before the stream was lost.
            return refusal(ErrorKind.NO_QUORUM, f"the leader did not answer: {exc}")
        finally:
            client.stop()
        if not isinstance(answer, OperatorAnswer):
            return refusal(ErrorKind.INTERNAL)
        return answer
