import errno
import socket
import unittest

import gevent
import gevent.socket

from bergamotdrift.clock import BootClock
from bergamotdrift.messages import UpstreamRow, UpstreamState
from bergamotdrift.platform.range_order_client import RangeOrderClient
from bergamotdrift.range_orders import GrantOrder, GrantResult, ReleaseOrder
from bergamotdrift.tests.endless_server import (
    ENDLESS_ANSWERS,
    SENT_MAX_BYTES,
    serve_endlessly,
)

ORDER = GrantOrder(4, 9, 12, 2000, "")


class RangeOrderClientTests(unittest.TestCase):
    """Guards against orders that take effect after their sender abandoned them."""

    def setUp(self):
        self.listener = gevent.socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.upstream = UpstreamRow(
            "cases", "u1", f"127.0.0.1:{port}", "a", "1", UpstreamState.READY, 2, 1
        )
        self.client = RangeOrderClient(BootClock())

    def accept(self):
        with gevent.Timeout(5):
            peer, _ = self.listener.accept()
            request = peer.recv(65536)
        self.addCleanup(peer.close)
        return peer, request

    def assert_reset(self, peer):
        with gevent.Timeout(5), self.assertRaises(OSError) as caught:
            while peer.recv(65536):
                pass
            self.fail("the connection was closed without a reset")
        self.assertEqual(caught.exception.errno, errno.ECONNRESET)

    def test_call_of_a_killed_worker_is_reset(self):
        worker = gevent.spawn(self.client.grant, self.upstream, ORDER, 5000.0)
        peer, _ = self.accept()
        worker.kill()
        self.assert_reset(peer)

    def test_call_without_an_answer_is_reset(self):
        worker = gevent.spawn(self.client.grant, self.upstream, ORDER, 100.0)
        peer, _ = self.accept()
        self.assertIs(worker.get(timeout=5), GrantResult.NO_ANSWER)
        self.assert_reset(peer)

    def test_status_determines_the_grant_result(self):
        cases = (
            (b"200 OK", GrantResult.ACCEPTED),
            (b"409 Conflict", GrantResult.FENCED),
            (b"400 Bad", GrantResult.REFUSED),
        )
        for status, result in cases:
            worker = gevent.spawn(self.client.grant, self.upstream, ORDER, 5000.0)
            peer, request = self.accept()
            self.assertIn(b'"fence": 12', request)
            peer.sendall(
                b"HTTP/1.1 " + status + b"\r\nConnection: close\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            self.assertIs(worker.get(timeout=5), result)

    def test_release_returns_the_state_token(self):
        order = ReleaseOrder(4, 9, 12)
        worker = gevent.spawn(self.client.release, self.upstream, order, 5000.0)
        peer, _ = self.accept()
        peer.sendall(b"HTTP/1.1 200 OK\r\nHandover: abc\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(worker.get(timeout=5), "abc")

    # Guards against keys that are granted on while their last owner is at work: a late
    # second answer to a grant passes for the answer to a release.
    def test_late_copy_of_the_answer_to_a_grant_does_not_answer_a_release(self):
        accepted = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        worker = gevent.spawn(self.client.grant, self.upstream, ORDER, 5000.0)
        first, _ = self.accept()
        first.sendall(accepted)
        self.assertIs(worker.get(timeout=5), GrantResult.ACCEPTED)
        order = ReleaseOrder(4, 9, 12)
        release = gevent.spawn(self.client.release, self.upstream, order, 5000.0)
        peer, request = self.accept()
        self.assertIn(b"/-/release", request)
        first.sendall(accepted)
        gevent.sleep(0.05)
        self.assertFalse(release.ready())
        peer.sendall(b"HTTP/1.1 200 OK\r\nHandover: abc\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(release.get(timeout=5), "abc")

    # Guards against a connection for each renewal.
    def test_grants_share_a_connection(self):
        worker = gevent.spawn(self.client.grant, self.upstream, ORDER, 5000.0)
        peer, _ = self.accept()
        for _ in range(2):
            peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self.assertIs(worker.get(timeout=5), GrantResult.ACCEPTED)
            worker = gevent.spawn(self.client.grant, self.upstream, ORDER, 5000.0)
            with gevent.Timeout(5):
                self.assertIn(b"/-/grant", peer.recv(65536))
        worker.kill()

    # Guards against memory that grows until the timeout while an upstream sends without
    # end.
    def test_endless_answers_are_abandoned(self):
        for name in ENDLESS_ANSWERS:
            with self.subTest(name):
                answer, address = serve_endlessly(self, name)
                upstream = self.upstream._replace(address=address)
                result = self.client.grant(upstream, ORDER, 2000.0)
                self.assertIs(result, GrantResult.NO_ANSWER)
                self.assertLess(answer.sent, SENT_MAX_BYTES)

    def test_refused_connection_counts_as_no_answer(self):
        with socket.create_server(("127.0.0.1", 0)) as unused:
            port = unused.getsockname()[1]
        gone = self.upstream._replace(address=f"127.0.0.1:{port}")
        self.assertIs(self.client.grant(gone, ORDER, 1000.0), GrantResult.NO_ANSWER)


if __name__ == "__main__":
    unittest.main()
