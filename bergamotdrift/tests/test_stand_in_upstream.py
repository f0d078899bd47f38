import json
import time
import unittest

import gevent
from geventhttpclient import HTTPClient

from bergamotdrift.streams import parse_address
from scripts.stand_in_upstream import Grant, Options, start_upstream


class StandInTestCase(unittest.TestCase):
    """Guards against wrong execution records, which other tests rely on."""

    def start_stand_in(self, **changes):
        options = Options("cases", "u1", **changes)
        self.upstream, self.server = start_upstream(options)
        self.addCleanup(self.server.stop, timeout=0)
        self.client = HTTPClient.from_url(f"http://{options.listen}", concurrency=8)
        self.addCleanup(self.client.close)

    def send(self, path, headers=None, method="GET", body=b""):
        reply = self.client.request(method, path, body, headers)
        return reply.status_code, reply.get("X-Not-Run"), reply.read()

    def configure(self, **changes):
        body = json.dumps(changes).encode()
        headers = {"Content-Type": "application/json"}
        self.assertEqual(self.send("/control", headers, "POST", body)[0], 200)

    def executions(self):
        return json.loads(self.send("/executions")[2])["executions"]


class EarlyAnnouncementTests(StandInTestCase):
    """Guards against slow hand-overs due to announcements that are not sent early."""

    def test_release_without_running_requests_is_announced_early(self):
        self.start_stand_in()
        self.upstream.apply_reply(time.monotonic(), {"lease_ms": 1, "grants": []})
        self.assertFalse(self.upstream.announce_early.is_set())
        reply = {"lease_ms": 1, "grants": [], "release": [[1, 2]]}
        self.upstream.apply_reply(time.monotonic(), reply)
        self.assertTrue(self.upstream.announce_early.is_set())
        self.upstream.announce_early.clear()
        self.upstream.apply_reply(time.monotonic(), reply)
        self.assertFalse(self.upstream.announce_early.is_set())

    def test_fenced_request_is_announced_early(self):
        self.start_stand_in()
        self.send("/cases/1", {"X-Partition": "1", "X-Epoch": "1"})
        self.assertTrue(self.upstream.announce_early.is_set())


class ExecutionTests(StandInTestCase):
    def test_execution_record_contains_the_request_fields(self):
        self.start_stand_in()
        headers = {"X-Workspace": "w", "X-Request-Id": "r1", "Idempotency-Key": "k"}
        self.send("/cases/1", headers, "POST", b"abc")
        execution = self.executions()[0]
        names = ("key", "workspace", "request_id", "idempotency_key", "body_bytes")
        self.assertEqual(
            [execution[name] for name in names], ["/cases/1", "w", "r1", "k", 3]
        )
        self.assertGreaterEqual(execution["ended"], execution["started"])
        self.assertFalse(execution["leaked"])

    def test_leaked_keys_are_recorded(self):
        self.start_stand_in()
        self.configure(secrets=["hidden"])
        self.send("/cases/1", {"Authorization": "Bearer x"})
        self.send("/cases/1", {"X-Other": "a hidden b"})
        self.assertEqual(
            [execution["leaked"] for execution in self.executions()], [True, True]
        )

    def test_requests_above_capacity_are_shed_and_not_executed(self):
        self.start_stand_in(slots=2, service_ms=200)
        jobs = [gevent.spawn(self.send, "/cases/1") for _ in range(5)]
        gevent.joinall(jobs, timeout=3)
        results = sorted(job.value[:2] for job in jobs)
        self.assertEqual(results, [(200, None)] * 2 + [(503, "shed")] * 3)
        self.assertEqual(len(self.executions()), 2)

    def test_cold_start_reduces_capacity(self):
        self.start_stand_in(slots=4, cold_s=100.0)
        self.assertEqual((self.upstream.state(), self.upstream.capacity()), ("cold", 1))


class CancellationTests(StandInTestCase):
    """Guards against executing requests whose caller left during a freeze."""

    def test_request_is_not_executed_after_its_connection_was_closed(self):
        self.start_stand_in(fencing="none")
        self.configure(freeze=True)
        sock = gevent.socket.create_connection(
            parse_address(self.upstream.options.listen)
        )
        sock.sendall(b"GET /cases/1 HTTP/1.1\r\nHost: x\r\n\r\n")
        gevent.sleep(0.1)
        sock.close()
        self.configure(freeze=False)
        with gevent.Timeout(2.0):
            while not self.upstream.cancelled:
                gevent.sleep(0.01)
        self.assertEqual(self.executions(), [])


class FencingTests(StandInTestCase):
    def test_execution_needs_a_valid_grant_of_the_same_epoch(self):
        self.start_stand_in()
        headers = {"X-Partition": "1", "X-Epoch": "5"}
        self.assertEqual(self.send("/cases/1", headers)[:2], (409, "fenced"))
        now = time.monotonic()
        for grant, status in (
            (Grant(5, now + 10), 200),
            (Grant(6, now + 10), 409),
            (Grant(5, now - 1), 409),
        ):
            self.upstream.grants = {1: grant}
            self.assertEqual(self.send("/cases/1", headers)[0], status)

    def test_release_is_reported_after_running_requests_end(self):
        self.start_stand_in(service_ms=100)
        self.upstream.grants = {1: Grant(5, time.monotonic() + 10)}
        job = gevent.spawn(self.send, "/cases/1", {"X-Partition": "1", "X-Epoch": "5"})
        gevent.sleep(0.05)
        reply = {"lease_ms": 1000, "grants": [], "release": [[1, 5]]}
        self.upstream.apply_reply(time.monotonic(), reply)
        self.assertEqual(self.upstream.announcement()["released"], [])
        job.get(timeout=2)
        self.assertEqual(self.upstream.announcement()["released"], [[1, 5]])


if __name__ == "__main__":
    unittest.main()
