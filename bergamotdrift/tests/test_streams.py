import random
import unittest
from unittest import mock

import gevent
import msgpack
from gevent import socket

from bergamotdrift import constants, streams
from bergamotdrift.arbiter_messages import TokenRequest
from bergamotdrift.exceptions import (
    CallError,
    ErrorKind,
    ProtocolError,
    StreamClosedError,
)
from bergamotdrift.messages import (
    Done,
    Failure,
    Hello,
    NotLeader,
    Role,
    pack_body,
)
from bergamotdrift.streams import StreamClient, StreamServer, parse_address


class EchoHandler:
    """Answers token requests with Done, or with Failure for negative amounts."""

    def __init__(self):
        self.opened = []
        self.closed = []
        self.received = []

    def on_open(self, conn):
        self.opened.append(conn)

    def on_close(self, conn):
        self.closed.append(conn)

    def on_message(self, conn, number, msg):
        self.received.append(msg)
        if isinstance(msg, TokenRequest) and number:
            failed = msg.wanted < 0
            conn.reply(number, Failure(ErrorKind.INTERNAL) if failed else Done())


def hello(cluster="test", node="n1"):
    return Hello(cluster, node, Role.ENTRY, "i1")


class FrameTests(unittest.TestCase):
    """Guards against settings that saturate links, and oversized frames."""

    def parse(self, data):
        return streams._parse_frame(msgpack.unpackb(data))

    def test_large_frame_is_compressed_and_read_back(self):
        msg = NotLeader("10.0.0.1:80 " * 2000)
        data = streams._pack_frame([7, 0, *pack_body(msg)])
        self.assertLess(len(data), 1000)
        self.assertEqual(self.parse(data), (7, 0, msg))

    def test_compressed_frame_above_the_limit_is_refused(self):
        with mock.patch.object(constants, "STREAM_MAX_FRAME_BYTES", 10_000):
            data = streams._pack_frame([7, 0, *pack_body(NotLeader("x" * 20_000))])
            with self.assertRaises(ProtocolError):
                self.parse(data)

    def test_damaged_compressed_frame_is_refused(self):
        data = streams._pack_frame([7, 0, *pack_body(NotLeader("x" * 20_000))])
        whole = msgpack.unpackb(data)
        for part in (whole[:-3], b"", b"no frame", whole[:10] + b"\0\0" + whole[12:]):
            with self.assertRaises(ProtocolError):
                streams._parse_frame(part)


class StreamTestCase(unittest.TestCase):
    def setUp(self):
        self.handler = EchoHandler()
        self.server = StreamServer("127.0.0.1:0", hello(node="server"), self.handler)
        self.server.start()
        self.addCleanup(self.server.stop)

    def connect(self, **kwargs):
        client = StreamClient(self.server.address, hello(**kwargs), EchoHandler())
        client.start()
        self.addCleanup(client.stop)
        return client

    def raw_connection(self):
        sock = socket.create_connection(parse_address(self.server.address))
        self.addCleanup(sock.close)
        return sock

    def wait_until(self, condition, timeout_s=5.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.01)


class CallTests(StreamTestCase):
    def test_call_returns_the_reply_of_its_own_request(self):
        client = self.connect()
        conn = client.ready_connection(2000)
        good = conn.request(TokenRequest("w", 1, 1))
        bad = conn.request(TokenRequest("w", 1, -1))
        self.assertEqual(good.get(timeout=2), Done())
        self.assertEqual(bad.get(timeout=2), Failure(ErrorKind.INTERNAL))

    def test_failure_reply_raises_its_error_kind(self):
        with self.assertRaises(CallError) as caught:
            self.connect().call(TokenRequest("w", 1, -1), 2000)
        self.assertEqual(caught.exception.refusal.kind, ErrorKind.INTERNAL)

    def test_pending_calls_fail_when_the_connection_closes(self):
        conn = self.connect().ready_connection(2000)
        fut = conn.request(NotLeader("never answered"))
        conn.close("test")
        with self.assertRaises(StreamClosedError):
            fut.get(timeout=2)


class SendTests(StreamTestCase):
    """Guards against frames that wait for a greenlet switch, are lost or reordered."""

    def test_single_frame_is_sent_before_the_caller_continues(self):
        conn = self.connect().ready_connection(2000)
        gevent.sleep(0.05)
        with mock.patch.object(conn, "_queue_for_writer") as queued:
            conn.send(TokenRequest("w", 1, 1))
        queued.assert_not_called()
        self.wait_until(lambda: self.handler.received)
        self.assertEqual(self.handler.received, [TokenRequest("w", 1, 1)])

    def test_frames_beyond_the_socket_buffer_arrive_whole_and_in_order(self):
        conn = self.connect().ready_connection(2000)
        text = random.Random(1).randbytes(100_000).hex()
        sent = [NotLeader(f"{n} {text}") for n in range(60)]
        for msg in sent:
            conn.send(msg)
        self.assertFalse(conn._outgoing.empty())
        self.wait_until(lambda: len(self.handler.received) == len(sent))
        self.assertEqual(self.handler.received, sent)

    def test_pending_calls_fail_when_the_socket_write_fails(self):
        conn = self.connect().ready_connection(2000)
        gevent.sleep(0.05)
        with mock.patch.object(
            streams.os, "write", side_effect=BrokenPipeError("gone")
        ):
            fut = conn.request(TokenRequest("w", 1, 1))
        with self.assertRaises(StreamClosedError):
            fut.get(timeout=2)
        self.assertEqual(conn.close_reason, "gone")


class ConnectTests(StreamTestCase):
    """Guards against a first connection that waits for the imports of the resolver."""

    def test_ip_addresses_are_connected_without_the_resolver(self):
        hub = gevent.get_hub()
        resolver = mock.Mock()
        resolver.getaddrinfo.side_effect = AssertionError("the resolver was used")
        with mock.patch.object(type(hub), "resolver", resolver):
            client = self.connect()
            self.assertEqual(client.call(TokenRequest("w", 1, 1), 2000), Done())

    def test_port_without_a_listener_is_an_error(self):
        self.server.stop()
        with self.assertRaises(OSError):
            streams.connect_to(self.server.address, 500)


class ConnectionLossTests(StreamTestCase):
    def test_client_reconnects_on_a_new_connection(self):
        client = self.connect()
        first = client.ready_connection(2000)
        first.close("test")
        self.wait_until(lambda: client.conn not in (None, first))
        self.assertEqual(client.call(TokenRequest("w", 1, 1), 2000), Done())

    def test_silent_peer_is_closed_within_the_read_deadline(self):
        sock = self.raw_connection()
        sock.sendall(streams.msgpack.packb([0, 0, "Hello", list(hello())]))
        self.wait_until(lambda: self.handler.opened)
        self.wait_until(lambda: self.handler.closed, timeout_s=3.0)

    def test_peer_that_never_sends_a_hello_is_closed(self):
        sock = self.raw_connection()
        self.wait_until(lambda: self.server.connections, timeout_s=1.0)
        self.wait_until(lambda: not self.server.connections, timeout_s=3.0)
        self.assertEqual(self.handler.opened, [])
        sock.close()


class InvalidInputTests(StreamTestCase):
    def assert_refused(self, data):
        sock = self.raw_connection()
        sock.sendall(data)
        with gevent.Timeout(2.0):
            while sock.recv(4096):
                pass
        self.assertEqual(self.handler.received, [])

    def test_peer_of_another_cluster_is_refused(self):
        self.assert_refused(
            streams.msgpack.packb([0, 0, "Hello", list(hello(cluster="other"))])
        )

    def test_http_bytes_are_refused(self):
        self.assert_refused(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    def test_message_before_hello_is_refused(self):
        self.assert_refused(streams.msgpack.packb([1, 1, "TokenRequest", ["w", 1, 1]]))

    def test_server_still_serves_after_bad_input(self):
        self.raw_connection().sendall(b"\xc1\xc1\xc1")
        self.assertEqual(self.connect().call(TokenRequest("w", 1, 1), 2000), Done())
