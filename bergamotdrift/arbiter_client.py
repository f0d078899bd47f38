"""Calls of an entry to the arbiters of the shards that it uses."""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import gevent

from bergamotdrift.arbiter_messages import (
    KeptConnections,
    RecordRow,
    Resume,
    Revoke,
    RunningPermit,
    TokensSpent,
)
from bergamotdrift.constants import STREAM_HEARTBEAT_MS
from bergamotdrift.exceptions import StreamClosedError
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    FeedUpdate,
    Hello,
    Message,
    Role,
    ShardRow,
)
from bergamotdrift.streams import Connection, StreamClient
from bergamotdrift.tables import Tables

# A resume per shard may exceed the stream's queue; the writer runs in between.
_RESUMES_PER_TURN = 512
# Two missed heartbeats.
_SILENCE_S = 2 * STREAM_HEARTBEAT_MS / 1000.0


class Holdings(Protocol):
    """Tell what this entry still holds of a shard."""

    def running_permits(self, shard: str) -> list[RunningPermit]:
        """Return the permits in use."""
        ...

    def kept_connections(self, shard: str) -> list[KeptConnections]:
        """Return the idle connections."""
        ...

    def records(self, shard: str) -> list[RecordRow]:
        """Return the idempotency records of a workspace's shard."""
        ...

    def tokens_spent(self, shard: str) -> TokensSpent | None:
        """Return the use of rate tokens, or None if no window covers the burst."""
        ...


class ArbiterCall(NamedTuple):
    """Hold a reply and the shard assignment under which it was asked for."""

    reply: Message
    row: ShardRow


class ArbiterClient:
    """Keep a stream to each arbiter and report to it what this entry holds."""

    def __init__(
        self,
        hello: Hello,
        tables: Callable[[], Tables],
        holdings: Holdings,
        on_revoke: Callable[[Revoke], None],
    ):
        self._hello = hello
        self._tables = tables
        self._holdings = holdings
        self._on_revoke = on_revoke
        self._clients: dict[str, StreamClient] = {}

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Follow the membership and report to the arbiters of changed shards."""
        self._sync_clients()
        shards = self._tables().shards.values() if update.full else update.shards
        self._resume_all([self._current(row) for row in shards])

    def stop(self) -> None:
        """Close all streams."""
        for client in self._clients.values():
            client.stop()
        self._clients.clear()

    def assignment(self, shard: str) -> ShardRow | None:
        """Return the current assignment of a shard, or None."""
        return self._tables().shards.get(shard)

    def is_reachable(self, shard: str) -> bool:
        """Tell whether the shard's arbiter was heard from recently.

        The stream's own read deadline would notice a silent partition only after
        control may have expired this entry.
        """
        row = self.assignment(shard)
        client = self._clients.get(row.node) if row is not None else None
        return client is not None and _was_heard(client)

    def call(
        self, shard: str, make: Callable[[int], Message], timeout_ms: float
    ) -> ArbiterCall:
        """Return the reply to the message that `make` builds for a shard epoch.

        Raises StreamClosedError, CallError and gevent.Timeout.
        """
        row = self.assignment(shard)
        client = self._clients.get(row.node) if row is not None else None
        if row is None or client is None:
            raise StreamClosedError(f"no arbiter for {shard}")
        reply = client.ready_connection().call(make(row.epoch), timeout_ms)
        return ArbiterCall(reply, row)

    def call_node(self, node: str, msg: Message, timeout_ms: float) -> Message:
        """Return the reply of an arbiter named by its node."""
        client = self._clients.get(node)
        if client is None:
            raise StreamClosedError(f"no stream to {node}")
        return client.ready_connection().call(msg, timeout_ms)

    def send(self, shard: str, msg: Message, node: str = "") -> bool:
        """Send a one-way message to the shard's arbiter and tell whether it went.

        A message that is lost is made up for by the resume on the next stream.
        """
        row = self.assignment(shard)
        client = self._clients.get(node or (row.node if row is not None else ""))
        if client is None:
            return False
        try:
            client.ready_connection().send(msg)
        except StreamClosedError:
            return False
        return True

    def _sync_clients(self) -> None:
        addresses = {
            row.node: row.address for row in self._tables().nodes_of(Role.ARBITER)
        }
        for node, client in list(self._clients.items()):
            if addresses.get(node) != client.address:
                client.stop()
                del self._clients[node]
        for node, address in addresses.items():
            if node not in self._clients:
                self._connect(node, address)

    def _connect(self, node: str, address: str) -> None:
        client = StreamClient(address, self._hello, _StreamHandler(self, node))
        client.start()
        self._clients[node] = client

    def _current(self, row: ShardRow) -> ShardRow:
        return self.assignment(row.shard) or row

    def resume_node(self, node: str) -> None:
        """Report what is held of every shard of an arbiter on a new stream."""
        self._resume_all([
            row for row in self._tables().shards.values() if row.node == node
        ])

    def _resume_all(self, rows: list[ShardRow]) -> None:
        if len(rows) <= _RESUMES_PER_TURN:
            self._resume_some(rows)
            return
        gevent.spawn(self._resume_in_turns, rows)

    def _resume_in_turns(self, rows: list[ShardRow]) -> None:
        for start in range(0, len(rows), _RESUMES_PER_TURN):
            self._resume_some(rows[start : start + _RESUMES_PER_TURN])
            gevent.sleep(0.005)

    def _resume_some(self, rows: list[ShardRow]) -> None:
        for row in rows:
            current = self.assignment(row.shard)
            if current != row or not row.node:
                continue
            msg = Resume(
                row.shard,
                row.epoch,
                self._holdings.running_permits(row.shard),
                self._holdings.kept_connections(row.shard),
                self._holdings.records(row.shard),
                self._holdings.tokens_spent(row.shard),
            )
            self.send(row.shard, msg)

    def revoke(self, msg: Revoke) -> None:
        """Pass an order to cancel attempts on."""
        self._on_revoke(msg)


class _StreamHandler:
    """Handle the stream to one arbiter."""

    def __init__(self, client: ArbiterClient, node: str):
        self._client = client
        self._node = node

    def on_open(self, conn: Connection) -> None:
        """Report what is held before any other message."""
        log_event("arbiter_connected", arbiter=self._node)
        self._client.resume_node(self._node)

    def on_close(self, conn: Connection) -> None:
        """Log the loss; the stream client reconnects."""
        log_event("arbiter_lost", arbiter=self._node, reason=conn.close_reason)

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Carry out revocations."""
        if isinstance(msg, Revoke):
            self._client.revoke(msg)


def _was_heard(client: StreamClient) -> bool:
    try:
        conn = client.ready_connection()
    except StreamClosedError:
        return False
    return time.monotonic() - conn.received_at_s < _SILENCE_S
