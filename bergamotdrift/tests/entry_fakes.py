"""Fakes of an entry's peers: control, arbiter, upstream and caller."""

import itertools
import unittest
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer as RawServer
from geventhttpclient.response import HTTPResponse

from bergamotdrift.arbiter_messages import (
    PermitGrant,
    PermitRequest,
    RecordBegin,
    RecordMirror,
    RecordReply,
    RecordState,
    TokenGrant,
    TokenRequest,
)
from bergamotdrift.clock import BootClock
from bergamotdrift.config.schema import (
    ColdStartSettings,
    EntrySettings,
    Fencing,
    NodeSettings,
    RouteSettings,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    WorkspaceSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.entry_node import EntryNode
from bergamotdrift.hashing import key_digest
from bergamotdrift.messages import (
    Done,
    FeedUpdate,
    Hello,
    NodeRow,
    PartitionRow,
    PartitionState,
    Ping,
    Pong,
    Role,
    ShardRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.shards import pool_shard, upstream_shard, workspace_shard
from bergamotdrift.streams import StreamServer, parse_address

KEY = "key-of-w1"
OTHER_KEY = "key-of-w2"
PARTITIONS = 4
OK_BODY = b"done"
OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + OK_BODY


def service(name, kind, timeout_ms=2000):
    return ServiceSettings(
        name,
        kind,
        PARTITIONS,
        Fencing.EPOCH,
        4,
        10,
        ColdStartSettings(1, 1.0),
        timeout_ms,
        100,
    )


def site_settings(**changes):
    keyed, pool = ServiceKind.KEYED, ServiceKind.POOL
    everything = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "PATCH", "POST")

    def route(path, methods, name, key="", open_=False, idempotent=False):
        return RouteSettings(
            path, methods, name, key, open_, False, idempotent, 64 * 1024 * 1024
        )

    settings = SiteSettings(
        "test",
        (ZoneSettings("a", ZoneState.IN), ZoneSettings("b", ZoneState.IN)),
        (service("cases", keyed), service("archive", pool)),
        (
            route("/cases/{case}", everything, "cases", "case"),
            route("/status/{case}", ("GET",), "cases", "case", idempotent=True),
            route("/files/{name}", everything, "archive"),
            route("/answers/{doc}", ("GET", "HEAD"), "archive", "", True, True),
        ),
        (
            WorkspaceSettings(
                "w1", 1000, 100, (key_digest(KEY),), ("cases", "archive")
            ),
            WorkspaceSettings("w2", 1000, 100, (key_digest(OTHER_KEY),), ("archive",)),
        ),
    )
    return settings._replace(**changes)


def entry_settings(control, **changes):
    node = NodeSettings("test", "entry1", "vm1", "a", (control,), "127.0.0.1:0")
    cfg = EntrySettings(node, "127.0.0.1:0", 0.5, 0.5, 1.0, 2.0, 100)
    return cfg._replace(**changes)


class FakeControl:
    """Confirms sessions and pushes tables; `silent` stops all replies.

    `reply_delay_s` delays the replies to pings.
    """

    def __init__(self):
        self.server = StreamServer(
            "127.0.0.1:0", Hello("test", "c1", Role.CONTROL, "i"), self
        )
        self.server.start()
        self.update = FeedUpdate(0, 1, True, 1, None, [], [], [], [], [], [])
        self.silent = False
        self.reply_delay_s = 0.0
        self.received = []

    def push(self, **changes):
        index = self.update.to_index + 1
        self.update = self.update._replace(to_index=index, **changes)
        for conn in self.server.connections:
            conn.send(self.update)

    def on_open(self, conn):
        conn.send(self.update)

    def on_close(self, conn):
        pass

    def on_message(self, conn, number, msg):
        self.received.append(msg)
        if self.silent:
            return
        if isinstance(msg, Ping):
            gevent.sleep(self.reply_delay_s)
            conn.reply(number, Pong("c1", 1, self.update.to_index, 1500))
        elif number:
            conn.reply(number, Done())


class FakeArbiter:
    """Grants every request unless `reply_for` returns another reply to the message."""

    def __init__(self, node="arb1"):
        self.node = node
        self.server = StreamServer(
            "127.0.0.1:0", Hello("test", node, Role.ARBITER, "i"), self
        )
        self.server.start()
        self.received = []
        self.addresses = []
        self.may_keep = True
        self.reply_for: Callable[[Any], Any] = lambda msg: None
        self._permits = itertools.count(1)

    def of_type(self, cls):
        return [msg for msg in self.received if isinstance(msg, cls)]

    def on_open(self, conn):
        self.conn = conn

    def on_close(self, conn):
        pass

    def on_message(self, conn, number, msg):
        self.received.append(msg)
        if not number:
            return
        reply = self.reply_for(msg)
        if reply is None:
            reply = self._default(msg)
        if reply != "silence":
            conn.reply(number, reply)

    def _default(self, msg):
        if isinstance(msg, PermitRequest):
            number = next(self._permits)
            address = self.addresses[(number - 1) % len(self.addresses)]
            epoch = msg.partition_epoch
            return PermitGrant(f"p{number}", "u1", address, epoch, self.may_keep)
        if isinstance(msg, TokenRequest):
            return TokenGrant(msg.wanted, 200, 10)
        if isinstance(msg, RecordBegin):
            return RecordReply(RecordState.FIRST)
        if isinstance(msg, RecordMirror):
            return Done()
        raise AssertionError(msg)


class FakeUpstream:
    """Records complete requests and responds as scripted.

    `respond` maps a request's bytes to the bytes of the response. None closes the
    connection, and a list of bytes is sent part by part. `response_delay_s`
    delays responses.
    """

    def __init__(self, respond=lambda data: OK_ANSWER):
        self.respond = respond
        self.requests = []
        self.connections = []
        self.closed = 0
        self.response_delay_s = 0.0
        self.server = RawServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, _address):
        self.connections.append(sock)
        try:
            while data := read_message(sock):
                self.requests.append(data)
                gevent.sleep(self.response_delay_s)
                answer = self.respond(data)
                if answer is None:
                    return
                parts = answer if isinstance(answer, list) else [answer]
                for part in parts:
                    sock.sendall(part)
                    gevent.sleep(0)
                if b"X-Close" in parts[0]:
                    return
        except OSError:
            pass
        finally:
            self.closed += 1
            sock.close()


def read_message(sock):
    """Return a request with its Content-Length body, or b"" at the end of input."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        part = sock.recv(65536)
        if not part:
            return b""
        body += part
    return head + b"\r\n\r\n" + body


class CallerResponse:
    """A response as received by a caller; `complete` is False if it was truncated."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def kind(self):
        return self.headers.get("x-error-kind")


class Caller:
    """HTTP client with one connection to an entry."""

    def __init__(self, address):
        self.sock = socket.create_connection(parse_address(address), timeout=5)

    def send(self, method, target, headers=(), body=b"", key=KEY):
        lines = [f"{method} {target} HTTP/1.1", "Host: test"]
        lines += [f"Authorization: Bearer {key}"] if key else []
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read(self, method="GET"):
        parser = HTTPResponse(method=method)
        complete = True
        while not (parser.message_complete and parser.status_code >= 200):
            try:
                data = self.sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                complete = False
                break
            parser.feed(data)
        headers = {k.lower(): v for k, v in parser.items()}
        return CallerResponse(
            parser.status_code, headers, bytes(parser._body_buffer), complete
        )

    def ask(self, method, target, headers=(), body=b"", key=KEY):
        self.send(method, target, headers, body, key)
        return self.read(method)

    def raw(self, data):
        """Send bytes and return all data received until the connection ends."""
        self.sock.sendall(data)
        received = b""
        try:
            while part := self.sock.recv(65536):
                received += part
        except OSError:
            pass
        return received


class EntryTestCase(unittest.TestCase):
    """Runs an entry with a fake control replica, arbiter and upstream."""

    settings = site_settings()
    settings_overrides: dict = {}

    def setUp(self):
        self.control = FakeControl()
        self.arbiter = FakeArbiter()
        self.upstream = FakeUpstream()
        self.arbiter.addresses = [self.upstream.address]
        self.control.update = self.tables()
        address = self.control.server.address
        self.entry = EntryNode(
            entry_settings(address, **self.settings_overrides), BootClock()
        )
        self.entry.start()
        self.addCleanup(self.tear_down)
        self.assertTrue(self.entry.control.ready.wait(5))
        shard = pool_shard("archive")
        self.wait_until(lambda: self.entry.arbiters.is_reachable(shard))

    def tear_down(self):
        self.entry.abort()
        for server in (self.control.server, self.arbiter.server):
            server.stop()
        self.upstream.server.stop(timeout=0)

    def tables(self, settings=None):
        arb = self.arbiter
        shards = (
            pool_shard("archive"),
            upstream_shard("cases", "u1"),
            workspace_shard("w1"),
            workspace_shard("w2"),
        )
        return FeedUpdate(
            0,
            1,
            True,
            1,
            settings or self.settings,
            [NodeRow(arb.node, Role.ARBITER, "i", "vm2", "a", arb.server.address)],
            [
                UpstreamRow(name, "u1", address, "a", "i", UpstreamState.READY)
                for name in ("cases", "archive")
                for address in (self.upstream.address,)
            ],
            [
                PartitionRow("cases", n, "u1", 7, PartitionState.OWNED)
                for n in range(PARTITIONS)
            ],
            [ShardRow(shard, arb.node, 3) for shard in shards],
            [],
            [],
        )

    def caller(self):
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        return caller

    def ask(self, *args, **kwargs):
        return self.caller().ask(*args, **kwargs)

    def wait_until(self, condition, timeout_s=5.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.005)
