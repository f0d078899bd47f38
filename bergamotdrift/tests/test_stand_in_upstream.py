import json
import time
import unittest

import gevent
from geventhttpclient import HTTPClient

from bergamotdrift.streams import parse_address
from scripts.stand_in_upstream import Grant, Options, start_upstream


class StandInTestCase(unittest.TestCase):
    """Guards the record that other tests hold the system's promises against."""

    def start(self, **changes):
        options = Options("cases", "u1", **changes)
        self.upstream, self.server = start_upstream(options)
        self.addCleanup(self.server.stop, timeout=0)
        self.client = HTTPClient.from_url(f"http://{options.listen}", concurrency=8)
        self.addCleanup(self.client.close)

    def ask(self, path, headers=None, method="GET", body=b""):
        reply = self.client.request(method, path, body, headers)
        return reply.status_code, reply.get("X-Not-Run"), reply.read()

    def control(self, **switches):
        body = json.dumps(switches).encode()
        headers = {"Content-Type": "application/json"}
        self.assertEqual(self.ask("/control", headers, "POST", body)[0], 200)

    def executions(self):
        return json.loads(self.ask("/executions")[2])["executions"]


class NewsTests(StandInTestCase):
    """Guards the short hand-over, which needs announcements without delay."""

    def test_release_without_running_work_is_news(self):
        self.start()
        self.upstream.take_reply(time.monotonic(), {"lease_ms": 1, "grants": []})
        self.assertFalse(self.upstream.has_news.is_set())
        reply = {"lease_ms": 1, "grants": [], "release": [[1, 2]]}
        self.upstream.take_reply(time.monotonic(), reply)
        self.assertTrue(self.upstream.has_news.is_set())
        self.upstream.has_news.clear()
        self.upstream.take_reply(time.monotonic(), reply)
        self.assertFalse(self.upstream.has_news.is_set())

    def test_fenced_request_is_news(self):
        self.start()
        self.ask("/cases/1", {"X-Partition": "1", "X-Epoch": "1"})
        self.assertTrue(self.upstream.has_news.is_set())


class ExecutionTests(StandInTestCase):
    def test_every_run_is_recorded_with_what_came(self):
        self.start()
        headers = {"X-Workspace": "w", "X-Request-Id": "r1", "Idempotency-Key": "k"}
        self.ask("/cases/1", headers, "POST", b"abc")
        run = self.executions()[0]
        names = ("key", "workspace", "request_id", "idempotency_key", "body_bytes")
        self.assertEqual([run[name] for name in names], ["/cases/1", "w", "r1", "k", 3])
        self.assertGreaterEqual(run["ended"], run["started"])
        self.assertFalse(run["leaked"])

    def test_leaked_keys_are_noticed(self):
        self.start()
        self.control(secrets=["hidden"])
        self.ask("/cases/1", {"Authorization": "Bearer x"})
        self.ask("/cases/1", {"X-Other": "a hidden b"})
        self.assertEqual([run["leaked"] for run in self.executions()], [True, True])

    def test_requests_above_what_it_bears_are_shed_and_not_run(self):
        self.start(slots=2, service_ms=200)
        jobs = [gevent.spawn(self.ask, "/cases/1") for _ in range(5)]
        gevent.joinall(jobs, timeout=3)
        results = sorted(job.value[:2] for job in jobs)
        self.assertEqual(results, [(200, None)] * 2 + [(503, "shed")] * 3)
        self.assertEqual(len(self.executions()), 2)

    def test_cold_start_bears_less(self):
        self.start(slots=4, cold_s=100.0)
        self.assertEqual((self.upstream.state(), self.upstream.bearable()), ("cold", 1))


class CancellationTests(StandInTestCase):
    """Guards against runs for callers that left while the process was frozen."""

    def test_request_is_not_run_after_its_connection_was_closed(self):
        self.start(fencing="none")
        self.control(freeze=True)
        sock = gevent.socket.create_connection(
            parse_address(self.upstream.options.listen)
        )
        sock.sendall(b"GET /cases/1 HTTP/1.1\r\nHost: x\r\n\r\n")
        gevent.sleep(0.1)
        sock.close()
        self.control(freeze=False)
        with gevent.Timeout(2.0):
            while not self.upstream.cancelled:
                gevent.sleep(0.01)
        self.assertEqual(self.executions(), [])


class FencingTests(StandInTestCase):
    def test_only_a_valid_grant_of_the_same_epoch_runs(self):
        self.start()
        headers = {"X-Partition": "1", "X-Epoch": "5"}
        self.assertEqual(self.ask("/cases/1", headers)[:2], (409, "fenced"))
        now = time.monotonic()
        for grant, status in (
            (Grant(5, now + 10), 200),
            (Grant(6, now + 10), 409),
            (Grant(5, now - 1), 409),
        ):
            self.upstream.grants = {1: grant}
            self.assertEqual(self.ask("/cases/1", headers)[0], status)

    def test_released_partition_is_reported_once_its_work_has_ended(self):
        self.start(service_ms=100)
        self.upstream.grants = {1: Grant(5, time.monotonic() + 10)}
        job = gevent.spawn(self.ask, "/cases/1", {"X-Partition": "1", "X-Epoch": "5"})
        gevent.sleep(0.05)
        reply = {"lease_ms": 1000, "grants": [], "release": [[1, 5]]}
        self.upstream.take_reply(time.monotonic(), reply)
        self.assertEqual(self.upstream.announcement()["released"], [])
        job.get(timeout=2)
        self.assertEqual(self.upstream.announcement()["released"], [[1, 5]])


if __name__ == "__main__":
    unittest.main()
