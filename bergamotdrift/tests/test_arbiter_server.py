import random
import unittest

import gevent
from geventhttpclient import HTTPClient

from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    RecordBegin,
    RecordEnd,
    RecordReply,
    RecordState,
    Revoke,
    RunningPermit,
    SavedAnswer,
    TokenRequest,
)
from bergamotdrift.arbiter_server import ArbiterServer
from bergamotdrift.clock import BootClock
from bergamotdrift.config.schema import ArbiterSettings, NodeSettings
from bergamotdrift.exceptions import CallError, ErrorKind
from bergamotdrift.messages import (
    Farewell,
    Hello,
    RelayAnnouncements,
    Role,
)
from bergamotdrift.streams import StreamClient, parse_address
from bergamotdrift.tests import arbiter_support as support


class Recorder:
    """Records the one-way messages that an entry received."""

    def __init__(self):
        self.received = []

    def on_open(self, conn):
        pass

    def on_close(self, conn):
        pass

    def on_message(self, conn, number, msg):
        self.received.append(msg)


class ServerTestCase(unittest.TestCase):
    def setUp(self):
        feed = support.full_feed(upstreams=[support.upstream("u1")])
        self.control = support.FakeControl(feed)
        self.addCleanup(self.control.server.stop)
        self.arbiter = self.start_arbiter("a1")
        self.running = True
        self.addCleanup(self.stop_arbiter)
        self.wait_until(self.arbiter.may_grant)

    def start_arbiter(self, name):
        control = (self.control.server.address,)
        node = NodeSettings("test", name, f"vm-{name}", "z1", control, "127.0.0.1:0")
        cfg = ArbiterSettings(node, "127.0.0.1:0", "127.0.0.1:0", 1.0)
        arbiter = ArbiterServer(cfg, "i1", BootClock(), random.Random(1))
        arbiter.start()
        return arbiter

    def stop_arbiter(self):
        if self.running:
            self.running = False
            self.arbiter.stop()

    def wait_until(self, condition, timeout_s=5.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.01)

    def connect(self, role=Role.ENTRY, incarnation="i1"):
        recorder = Recorder()
        hello = Hello("test", "e0", role, incarnation)
        self.client = StreamClient(self.arbiter.server.address, hello, recorder)
        self.client.start()
        self.addCleanup(self.client.stop)
        return self.client.ready_connection(2000), recorder

    def report(self, conn, **changes):
        conn.send(support.resume(**changes))
        conn.send(support.resume(shard="workspace:w"))


class PermitTests(ServerTestCase):
    def test_permit_waits_for_the_entry_report(self):
        conn, _ = self.connect()
        fut = conn.request(support.permit_request(1))
        gevent.sleep(0.1)
        self.assertFalse(fut.ready())
        self.report(conn)
        self.assertIsInstance(fut.get(timeout=2), PermitGrant)

    def test_released_permit_goes_to_the_next_request(self):
        conn, _ = self.connect()
        self.report(conn)
        grants = [conn.call(support.permit_request(n), 2000) for n in range(2)]
        waiting = conn.request(support.permit_request(3))
        gevent.sleep(0.05)
        self.assertFalse(waiting.ready())
        conn.send(
            PermitRelease(
                support.POOL, grants[0].permit, AttemptOutcome.ANSWERED, 5.0, True
            )
        )
        self.assertIsInstance(waiting.get(timeout=2), PermitGrant)

    def test_grant_lost_with_its_stream_does_not_hold_the_slot(self):
        conn, _ = self.connect()
        self.report(conn)
        kept = conn.call(support.permit_request(1), 2000)
        conn.call(support.permit_request(2), 2000)
        self.client.stop()
        conn, _ = self.connect()
        running = RunningPermit(kept.permit, "u1", -1, 0, "w")
        self.report(conn, permits=[running])
        self.assertIsInstance(conn.call(support.permit_request(3), 2000), PermitGrant)
        waiting = conn.request(support.permit_request(4))
        gevent.sleep(0.05)
        self.assertFalse(waiting.ready())

    def test_arbiter_without_session_stops_granting(self):
        conn, _ = self.connect()
        self.report(conn)
        self.control.silent = True
        self.wait_until(lambda: not self.arbiter.may_grant())
        refusal = conn.call(support.permit_request(1, deadline_ms=300), 2000)
        self.assertEqual(refusal.kind, ErrorKind.ARBITER_UNREACHABLE)

    def test_vanished_upstream_is_revoked(self):
        conn, recorder = self.connect()
        self.report(conn)
        conn.call(support.permit_request(1), 2000)
        self.control.push(support.full_feed(index=2))
        self.wait_until(lambda: recorder.received)
        self.assertEqual(recorder.received, [Revoke(support.POOL, "u1")])

    def test_stop_refuses_what_waits_and_says_farewell(self):
        conn, _ = self.connect()
        waiting = conn.request(support.permit_request(1))
        gevent.sleep(0.05)
        self.stop_arbiter()
        refusal = waiting.get(timeout=2)
        self.assertIsInstance(refusal, PermitRefusal)
        self.assertEqual(refusal.kind, ErrorKind.ARBITER_UNREACHABLE)
        self.assertIn(Farewell("a1", "i1"), self.control.received)


class WorkspaceTests(ServerTestCase):
    def test_tokens_are_leased_after_the_entry_report(self):
        conn, _ = self.connect()
        with self.assertRaises(CallError) as caught:
            conn.call(TokenRequest("w", 1, 5), 2000)
        kind = caught.exception.refusal.kind
        self.assertEqual(kind, ErrorKind.ARBITER_UNREACHABLE)
        self.report(conn)
        gevent.sleep(0.5)
        self.assertEqual(conn.call(TokenRequest("w", 1, 5), 2000).tokens, 5)

    def test_resend_waits_for_the_first_request_and_gets_its_answer(self):
        conn, _ = self.connect()
        self.report(conn)
        begin = RecordBegin("w", 1, "k", "f", "r1", 2000)
        self.assertEqual(conn.call(begin, 2000).state, RecordState.FIRST)
        resend = conn.request(begin._replace(request="r2"))
        answer = SavedAnswer(201, [], b"done")
        conn.send(RecordEnd("w", "k", "r1", False, answer))
        self.assertEqual(resend.get(timeout=2), RecordReply(RecordState.DONE, answer))


class MirrorTests(ServerTestCase):
    def feed(self, index, **changes):
        arbiters = {"a1": self.arbiter, "a2": self.second}
        nodes = [
            support.arbiter_row(name, arbiter.server.address)
            for name, arbiter in arbiters.items()
        ]
        self.control.push(support.full_feed(index=index, nodes=nodes, **changes))

    def test_record_of_a_lost_entry_survives_the_next_arbiter_loss(self):
        self.second = self.start_arbiter("a2")
        self.addCleanup(self.second.stop)
        self.wait_until(self.second.may_grant)
        conn, _ = self.connect()
        self.feed(2)
        self.report(conn)
        begin = RecordBegin("w", 1, "k", "f", "r1", 0)
        self.assertEqual(conn.call(begin, 2000).state, RecordState.FIRST)
        conn.send(RecordEnd("w", "k", "r1", False, SavedAnswer(201, [], b"done")))
        gevent.sleep(0.05)
        self.feed(3, entries=0)
        self.wait_until(lambda: len(self.second.shards._mirrors) == 1)
        self.stop_arbiter()
        self.feed(4, entries=0, arbiter="a2", epoch=2)
        self.wait_until(lambda: "workspace:w" in self.second.shards.workspaces)
        records = self.second.shards.workspaces["workspace:w"].records
        (reply,) = records.begin(support.entry(5), begin._replace(request="r2"), 1)
        self.assertEqual(reply.message.state, RecordState.DONE)


class HttpTests(ServerTestCase):
    def post(self, body):
        host, port = parse_address(self.arbiter.announce_address)
        client = HTTPClient(host, port, connection_timeout=2, network_timeout=3)
        answer = client.post("/v1/announce", body)
        return answer.status_code, bytes(answer.read())

    def test_announcement_is_relayed_and_answered(self):
        body = (
            b'{"service":"archive","upstream":"u1","address":"127.0.0.1:9",'
            b'"zone":"z1","incarnation":"i1","state":"ready","released":[[1,1]]}'
        )
        status, answer = self.post(body)
        self.assertEqual(
            (status, answer),
            (200, b'{"lease_ms": 1500, "grants": [[1, 2]], "release": []}'),
        )
        relayed = [
            msg for msg in self.control.received if isinstance(msg, RelayAnnouncements)
        ]
        self.assertEqual(relayed[0].items[0].released, [(1, 1)])

    def test_malformed_announcements_are_refused(self):
        for body in (b"", b"[]", b"{", b'{"service":1}', b"\xff" * 10, b"[" * 50_000):
            with self.subTest(body=body[:20]):
                self.assertEqual(self.post(body)[0], 400)
