import unittest

from gevent.server import StreamServer

from bergamotdrift.operator_api import Change
from bergamotdrift.operator_client import (
    MAX_ANSWER_BYTES,
    CallFailureKind,
    OperatorClient,
)
from bergamotdrift.tests.endless_server import (
    ENDLESS_ANSWERS,
    SENT_MAX_BYTES,
    serve_endlessly,
)
from bergamotdrift.tests.fake_control import OPERATOR_KEY, FakeReplica, FakeSite
from bergamotdrift.tests.test_check import MAPPINGS


class FaultyReplicaTests(unittest.TestCase):
    """Guards against replicas that stop answering or truncate a response."""

    def setUp(self):
        self.site = FakeSite()
        self.healthy = FakeReplica(self.site)
        self.addCleanup(self.healthy.server.stop)

    def faulty_replica(self, response, stays_open=False):
        def handle(sock, _):
            sock.recv(65536)
            sock.sendall(response)
            if stays_open:
                sock.recv(1)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        return f"127.0.0.1:{server.server_port}"

    def apply(self, first_replica, timeout_s=10.0, with_healthy=True):
        replicas = [first_replica, *([self.healthy.address] if with_healthy else [])]
        client = OperatorClient(replicas, OPERATOR_KEY, timeout_s)
        change = Change("r1", 0, "ann", MAPPINGS["iroda"])
        return client.apply(change)

    def test_invalid_response_is_retried_at_another_replica(self):
        truncated = b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"revision": 7'
        for response in (b"", b"\x00\x01\r\n\r\n", truncated, b"HTTP/1.1 200 OK\r\n"):
            with self.subTest(response=response):
                outcome = self.apply(self.faulty_replica(response))
                self.assertEqual(outcome.unwrap().revision, 1)
        self.assertEqual(set(self.site.posts), {"r1"})

    # Guards against memory that grows until the timeout of an attempt.
    def test_endless_response_is_abandoned(self):
        for name in ENDLESS_ANSWERS:
            with self.subTest(name):
                answer, address = serve_endlessly(self, name)
                self.assertEqual(self.apply(address).unwrap().revision, 1)
                self.assertLess(answer.sent, SENT_MAX_BYTES + MAX_ANSWER_BYTES)

    def test_unresponsive_replica_is_abandoned_after_the_attempt_timeout(self):
        outcome = self.apply(self.faulty_replica(b"", stays_open=True), timeout_s=6.0)
        self.assertEqual(outcome.unwrap().revision, 1)

    def test_outcome_is_unknown_if_the_only_replica_is_unresponsive(self):
        unresponsive = self.faulty_replica(b"", stays_open=True)
        failure = self.apply(unresponsive, timeout_s=0.3, with_healthy=False).failure()
        self.assertEqual(failure.kind, CallFailureKind.OUTCOME_UNKNOWN)

    def test_change_is_not_sent_if_the_connection_is_refused(self):
        failure = self.apply("127.0.0.1:9", timeout_s=0.3, with_healthy=False).failure()
        self.assertEqual(failure.kind, CallFailureKind.UNREACHABLE)
