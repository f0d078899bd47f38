"""Mirrors idempotency records to the arbiters that would take their shards over.

The target of a shard is always on another VM.
"""

from collections import deque

import gevent
from gevent.event import Event

from bergamotdrift.arbiter_messages import RecordMirror
from bergamotdrift.exceptions import CallError, StreamClosedError
from bergamotdrift.feed_tables import FeedTables
from bergamotdrift.hashing import rendezvous
from bergamotdrift.log import log_event
from bergamotdrift.messages import (
    Hello,
    Message,
    NodeRow,
    Role,
)
from bergamotdrift.outputs import Mirror
from bergamotdrift.streams import Connection, StreamClient

# The records of a lost entry are queued all at once, and a stream's queue holds 4096
# frames.
_BATCH_MAX = 256
_PENDING_MAX = 200_000
_TIMEOUT_MS = 1000


class RecordSender:
    """Mirror records in the background, on one stream per arbiter."""

    def __init__(self, hello: Hello, vm: str, tables: FeedTables):
        self._hello = hello
        self._vm = vm
        self._tables = tables
        self._pending: deque[Mirror] = deque(maxlen=_PENDING_MAX)
        self._wake = Event()
        self._clients: dict[str, StreamClient] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the background sender."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the background sender and close all streams."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        for client in self._clients.values():
            client.stop()

    def send(self, item: Mirror) -> None:
        """Queue a record for mirroring; a full queue drops its oldest item."""
        self._pending.append(item)
        self._wake.set()

    def on_open(self, conn: Connection) -> None:
        """Do nothing; records are sent when they are queued."""

    def on_close(self, conn: Connection) -> None:
        """Do nothing; the stream client reconnects."""

    def on_message(self, conn: Connection, number: int, msg: Message) -> None:
        """Ignore messages from other arbiters."""

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                count = min(_BATCH_MAX, len(self._pending))
                self._send_batch([self._pending.popleft() for _ in range(count)])
            self._stop_removed_clients()

    def _send_batch(self, batch: list[Mirror]) -> None:
        by_node: dict[str, list[Mirror]] = {}
        for item in batch:
            row = self._mirror_target(item.shard)
            if row is not None:
                by_node.setdefault(row.node, []).append(item)
        for node, items in by_node.items():
            try:
                self._send_to(self._tables.nodes[node], items)
            except (StreamClosedError, CallError, KeyError, gevent.Timeout) as exc:
                log_event(
                    "records_not_mirrored",
                    arbiter=node,
                    records=len(items),
                    reason=str(exc),
                )

    def _send_to(self, row: NodeRow, items: list[Mirror]) -> None:
        conn = self._client_for(row).ready_connection(_TIMEOUT_MS)
        futs = [conn.request(RecordMirror(item.row)) for item in items]
        with gevent.Timeout(_TIMEOUT_MS / 1000.0):
            for fut in futs:
                fut.get()

    def _mirror_target(self, shard: str) -> NodeRow | None:
        settings = self._tables.settings
        others = {
            row.node: row
            for row in self._tables.nodes_of(Role.ARBITER)
            if row.vm != self._vm
            and not (settings is not None and settings.zone_is_out(row.zone))
        }
        ordered = rendezvous(shard, others)
        return others[ordered[0]] if ordered else None

    def _client_for(self, row: NodeRow) -> StreamClient:
        client = self._clients.get(row.node)
        if client is None or client.address != row.address:
            if client is not None:
                client.stop()
            client = StreamClient(row.address, self._hello, self)
            client.start()
            self._clients[row.node] = client
        return client

    def _stop_removed_clients(self) -> None:
        for node in [node for node in self._clients if node not in self._tables.nodes]:
            self._clients.pop(node).stop()
