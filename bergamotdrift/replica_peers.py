"""Streams between a replica and the other replicas of its group."""

from collections.abc import Callable

import gevent

from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    Refusal,
    StreamClosedError,
)
from bergamotdrift.messages import (
    Hello,
    Message,
)
from bergamotdrift.raft_messages import Member, RaftMessage
from bergamotdrift.streams import Connection, StreamClient

_CALL_TIMEOUT_MS = 500


class ReplicaPeers:
    """Keep one stream to each peer address; drop messages that can't be sent."""

    def __init__(
        self,
        hello: Hello,
        own_address: str,
        handle_message: Callable[[Connection, int, Message], bool],
    ):
        self._hello = hello
        self._own_address = own_address
        self._handle_message = handle_message
        self._inbound: dict[str, Connection] = {}
        self._clients: dict[str, StreamClient] = {}
        self._addresses: dict[str, str] = {}
        self._members: list[Member] | None = None
        self._join_addresses: tuple[str, ...] = ()

    def set_members(
        self, members: list[Member], join_addresses: tuple[str, ...]
    ) -> None:
        """Connect to the members and to the addresses that take join requests."""
        if members is self._members and join_addresses == self._join_addresses:
            return
        self._members = members
        self._join_addresses = join_addresses
        self._addresses = {m.replica: m.address for m in members}
        wanted = {*self._addresses.values(), *join_addresses} - {self._own_address, ""}
        for address in self._clients.keys() - wanted:
            self._clients.pop(address).stop()
        for address in wanted - self._clients.keys():
            client = StreamClient(address, self._hello, self)
            client.start()
            self._clients[address] = client

    def address_of(self, replica: str) -> str:
        """Return a member's address, or an empty string."""
        return self._addresses.get(replica, "")

    def send(self, msg: RaftMessage) -> None:
        """Send a message to the replica in its head; Raft resends lost messages."""
        conn = self._connection_to(msg.head.to)
        if conn is None:
            return
        try:
            conn.send(msg)
        except StreamClosedError:
            return

    def register_inbound(self, replica: str, conn: Connection) -> None:
        """Register a stream that a replica opened to this one.

        It carries messages to that replica while no outbound stream is open: a
        replica that is in no group knows no addresses, reconnecting takes up to a
        second, and the known address may be outdated.
        """
        if self._inbound.get(replica) is not conn:
            self._inbound = {r: c for r, c in self._inbound.items() if not c.closed}
            self._inbound[replica] = conn

    def call(self, address: str, msg: Message) -> Message | None:
        """Send a request to an address; return the reply, or None on failure."""
        try:
            return self.request(address, msg, _CALL_TIMEOUT_MS)
        except CallError:
            return None

    def request(self, address: str, msg: Message, timeout_ms: float) -> Message:
        """Send a request to an address and return the reply.

        Raises CallError with the error kind of a failure reply, with NOT_LEADER if
        nothing was sent, or with NO_QUORUM if no reply arrived.
        """
        client = self._clients.get(address)
        try:
            if client is None:
                raise StreamClosedError("no leader is known")
            conn = client.ready_connection()
        except StreamClosedError as exc:
            raise CallError(Refusal(ErrorKind.NOT_LEADER, str(exc))) from None
        try:
            return conn.call(msg, timeout_ms)
        except (StreamClosedError, gevent.Timeout) as exc:
            raise CallError(Refusal(ErrorKind.NO_QUORUM, str(exc))) from None

    def stop(self) -> None:
        """Close all streams."""
        for client in self._clients.values():
            client.stop()
        self._clients.clear()
        self._inbound.clear()

    def on_open(self, conn: Connection) -> None:
        """Do nothing; the next heartbeat uses the new stream."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Handle a message from a peer that has no outbound stream of its own."""
        self._handle_message(conn, number, msg)

    def on_close(self, conn: Connection) -> None:
        """Do nothing; the client reconnects."""

    def _connection_to(self, replica: str) -> Connection | None:
        client = self._clients.get(self.address_of(replica))
        if client is not None and client.conn is not None:
            conn = client.conn
            if not conn.closed and conn.peer is not None:
                return conn
        inbound = self._inbound.get(replica)
        return None if inbound is None or inbound.closed else inbound
