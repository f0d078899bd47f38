"""Client of an entry for the arbiters of the shards that it uses."""

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
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    FeedUpdate,
    Hello,
    Message,
    Role,
    ShardRow,
)
from bergamotdrift.streams import Connection, StreamClient

# One resume per shard can overflow a stream's send queue; the writer runs between
# batches.
_RESUMES_PER_BATCH = 512
# Two missed heartbeats
_STALE_AFTER_S = 2 * STREAM_HEARTBEAT_MS / 1000.0


class HeldResources(Protocol):
    """Report the resources of a shard that this entry still holds."""

    def running_permits(self, shard: str) -> list[RunningPermit]:
        """Return the permits in use."""
        ...

    def kept_connections(self, shard: str) -> list[KeptConnections]:
        """Return the idle connections kept per upstream."""
        ...

    def records(self, shard: str) -> list[RecordRow]:
        """Return the idempotency records of a workspace's shard."""
        ...

    def tokens_spent(self, shard: str) -> TokensSpent | None:
        """Return the rate tokens spent, or None if no window covers the burst."""
        ...


class ArbiterCall(NamedTuple):
    """Hold a reply and the shard assignment under which its request was sent."""

    reply: Message
    row: ShardRow


class ArbiterClient:
    """Keep a stream to each arbiter and report to it what this entry holds."""

    def __init__(
        self,
        hello: Hello,
        tables: Callable[[], FeedTables],
        held: HeldResources,
        on_revoke: Callable[[Revoke], None],
    ):
        self._hello = hello
        self._tables = tables
        self._held = held
        self._on_revoke = on_revoke
        self._clients: dict[str, StreamClient] = {}

    def on_tables_changed(self, update: FeedUpdate) -> None:
        """Sync the streams with the membership and send resumes for changed shards."""
        self._sync_clients()
        shards = self._tables().shards.values() if update.full else update.shards
        self._send_resumes([self._current_row(row) for row in shards])

    def stop(self) -> None:
        """Close all streams."""
        for client in self._clients.values():
            client.stop()
        self._clients.clear()

    def assignment(self, shard: str) -> ShardRow | None:
        """Return the current assignment of a shard, or None."""
        return self._tables().shards.get(shard)

    def is_reachable(self, shard: str) -> bool:
        """Return whether data arrived from the shard's arbiter recently.

        The stream's read timeout detects a silent network partition only after control
        may have expired this entry.
        """
        row = self.assignment(shard)
        client = self._clients.get(row.node) if row is not None else None
        return client is not None and _received_recently(client)

    def call(
        self, shard: str, build_message: Callable[[int], Message], timeout_ms: float
    ) -> ArbiterCall:
        """Return the reply to the message that `build_message` makes for a shard epoch.

        Raises StreamClosedError, CallError and gevent.Timeout.
        """
        row = self.assignment(shard)
        client = self._clients.get(row.node) if row is not None else None
        if row is None or client is None:
            raise StreamClosedError(f"no stream to an arbiter of {shard}")
        reply = client.ready_connection().call(build_message(row.epoch), timeout_ms)
        return ArbiterCall(reply, row)

    def call_node(self, node: str, msg: Message, timeout_ms: float) -> Message:
        """Return the reply of the arbiter on a node to a message."""
        client = self._clients.get(node)
        if client is None:
            raise StreamClosedError(f"no stream to {node}")
        return client.ready_connection().call(msg, timeout_ms)

    def send(self, shard: str, msg: Message, node: str = "") -> bool:
        """Send a one-way message to the shard's arbiter; return False without a stream.

        The resume on the next stream makes up for a message that is lost.
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

    def _current_row(self, row: ShardRow) -> ShardRow:
        return self.assignment(row.shard) or row

    def resume_node(self, node: str) -> None:
        """Send a resume for every shard of an arbiter on its new stream."""
        self._send_resumes([
            row for row in self._tables().shards.values() if row.node == node
        ])

    def _send_resumes(self, rows: list[ShardRow]) -> None:
        if len(rows) <= _RESUMES_PER_BATCH:
            self._send_resume_batch(rows)
            return
        gevent.spawn(self._send_resumes_in_batches, rows)

    def _send_resumes_in_batches(self, rows: list[ShardRow]) -> None:
        for start in range(0, len(rows), _RESUMES_PER_BATCH):
            self._send_resume_batch(rows[start : start + _RESUMES_PER_BATCH])
            gevent.sleep(0.005)

    def _send_resume_batch(self, rows: list[ShardRow]) -> None:
        for row in rows:
            current = self.assignment(row.shard)
            if current != row or not row.node:
                continue
            msg = Resume(
                row.shard,
                row.epoch,
                self._held.running_permits(row.shard),
                self._held.kept_connections(row.shard),
                self._held.records(row.shard),
                self._held.tokens_spent(row.shard),
            )
            self.send(row.shard, msg)

    def revoke(self, msg: Revoke) -> None:
        """Forward an order to cancel attempts."""
        self._on_revoke(msg)


class _StreamHandler:
    """Handle the stream to one arbiter."""

    def __init__(self, client: ArbiterClient, node: str):
        self._client = client
        self._node = node

    def on_open(self, conn: Connection) -> None:
        """Send the resumes before any other message."""
        log_event("arbiter_connected", arbiter=self._node)
        self._client.resume_node(self._node)

    def on_close(self, conn: Connection) -> None:
        """Log the loss; the stream client reconnects."""
        log_event("arbiter_lost", arbiter=self._node, reason=conn.close_reason)

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Handle revocations; other one-way messages are ignored."""
        if isinstance(msg, Revoke):
            self._client.revoke(msg)


def _received_recently(client: StreamClient) -> bool:
    try:
        conn = client.ready_connection()
    except StreamClosedError:
        return False
    return time.monotonic() - conn.received_at_s < _STALE_AFTER_S
