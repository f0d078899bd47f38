import re
import time
import unittest

import gevent

from bergamotdrift.entry_metrics import ADMISSIONS
from bergamotdrift.messages import NodeRow, Overloads, Ping, Role, UpstreamOverload
from bergamotdrift.overload import OVERLOAD_MIN_ENTRIES, OVERLOAD_TTL_MS
from bergamotdrift.tests.direct_entry import OK, SETTINGS, DirectEntryTestCase
from bergamotdrift.tests.entry_fakes import KEY, Caller
from bergamotdrift.tests.log_capture import capture_log

TARGET_MS = 200
DEADLINE_MS = 900


def stated(running, waiting, percent=100):
    load = f"Backend-Load: {running},{waiting},2,{percent}".encode()
    return OK.replace(b"Backend-Load: 1,0,2,100", load)


BUSY_ANSWER = stated(2, 30)


def open_settings(**changes):
    routes = [
        route._replace(open=True, target_ms=TARGET_MS, **changes)
        for route in SETTINGS.routes
    ]
    return SETTINGS._replace(workspaces=(), routes=tuple(routes))


class AdmissionTestCase(DirectEntryTestCase):
    """Run an entry of a site without workspaces; one upstream owns all keys."""

    settings = open_settings()

    def tables(self, **changes):
        return super().tables(**changes)._replace(settings=self.settings)

    def setUp(self):
        super().setUp()
        self.log = capture_log(self)
        self.owner = self.upstreams[0]

    def ask_key(self, key=7, left_ms=DEADLINE_MS, method="GET"):
        headers = [("Shard-Key", str(key)), ("Deadline-Ms", str(left_ms))]
        return self.ask("/keys/1", method, headers)

    def ask(self, target, method="GET", headers=(), body=b"", key=""):
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        named = [*headers, ("Attempt-Id", "a1"), ("Deadline-Ms", str(DEADLINE_MS))]
        return caller.ask(method, target, named, body, key)

    def learn(self, answer=OK, delay_s=0.03, count=3):
        """Let the entry see some answers, the last one with a stated load."""
        self.owner.response_delay_s = delay_s
        for _ in range(count - 1):
            self.assertEqual(self.ask_key().status, 200)
        self.set_response_script(lambda data: answer)
        self.assertEqual(self.ask_key().status, 200)


class EarlyRefusalTests(AdmissionTestCase):
    """Guards against refusals that come after the target, and without a true time.

    Load: the queue at an upstream grows beyond what can be answered on time.
    """

    def test_request_that_would_be_late_is_refused_at_once(self):
        self.learn(stated(2, 16))
        sent = len(self.owner.requests)
        started = time.monotonic()
        answer = self.ask_key()
        self.assertLess(time.monotonic() - started, 0.1)
        self.assertEqual((answer.status, answer.kind), (503, "queue_full"))
        self.assertIn(b'"not_run": true', answer.body)
        self.assertEqual(len(self.owner.requests), sent)
        retry_after_s = float(answer.headers["retry-after"])
        self.assertGreater(retry_after_s, 0.0)
        self.assertLessEqual(retry_after_s, DEADLINE_MS / 3000.0)
        (line,) = self.log.of_event("admission_refused")
        self.assertIn("reason=queue", line)
        self.assertIn("held_ms=0", line)

    def test_request_in_a_queue_that_is_too_long_for_its_target(self):
        self.learn(stated(2, 8), delay_s=0.06)
        self.assertEqual(self.ask_key().status, 503)
        self.assertIn("reason=late", self.log.of_event("admission_refused")[0])

    def test_request_is_sent_once_the_report_is_old(self):
        self.learn(BUSY_ANSWER)
        self.assertEqual(self.ask_key().status, 503)
        gevent.sleep(1.3)
        self.assertEqual(self.ask_key().status, 200)

    def test_request_that_would_miss_its_deadline_is_refused(self):
        self.learn(delay_s=0.1)
        answer = self.ask_key(left_ms=20)
        self.assertEqual((answer.status, answer.kind), (503, "deadline_unreachable"))

    # Guards against an upstream that idles because it is slow.
    def test_slow_upstream_without_a_queue_is_sent_requests(self):
        self.learn(stated(0, 0, percent=300), delay_s=0.3)
        for _ in range(3):
            self.assertEqual(self.ask_key().status, 200)

    def test_upstream_without_any_report_is_sent_requests(self):
        self.set_response_script(lambda data: OK.replace(b"Backend-Load", b"X-Load"))
        for _ in range(5):
            self.assertEqual(self.ask_key().status, 200)


class SettingsChangeTests(AdmissionTestCase):
    """Guards against a site whose admission does not follow its workspaces."""

    def test_first_workspace_ends_the_admission_by_deadline(self):
        self.learn(stated(2, 16))
        self.assertEqual(self.ask_key().status, 503)
        with_workspace = self.settings._replace(workspaces=SETTINGS.workspaces)
        self.push(settings=with_workspace, revision=2)
        gevent.sleep(0.1)
        self.assertEqual(self.ask_key().status, 200)


class MetricsTests(AdmissionTestCase):
    """Guards against decisions that operators can't see."""

    def counted(self, reason):
        return ADMISSIONS.labels("keys", reason)._value.get()

    def test_decisions_are_counted_by_reason(self):
        before = {name: self.counted(name) for name in ("idle", "unknown", "queue")}
        self.learn(stated(2, 16))
        self.ask_key()
        after = {name: self.counted(name) for name in before}
        added = {name: after[name] - before[name] for name in before}
        self.assertEqual(added, {"unknown": 1.0, "idle": 2.0, "queue": 1.0})


class LeaderOverloadTests(AdmissionTestCase):
    """Guards against an overload statement that callers get around by repeating.

    Load: the leader states that an upstream is offered more than it can serve.
    """

    def setUp(self):
        super().setUp()
        nodes = [
            NodeRow(f"e{n}", Role.ENTRY, "i", f"vm{n}", "a", "")
            for n in range(OVERLOAD_MIN_ENTRIES)
        ]
        self.push(nodes=nodes)
        gevent.sleep(0.1)

    def tell(self, permille, salt=1):
        items = [UpstreamOverload("keys", "k0", permille)]
        for conn in self.control.server.connections:
            conn.send(Overloads(items, salt))
        gevent.sleep(0.05)

    def test_same_keys_are_refused_again_until_the_salt_changes(self):
        # An upstream that states a free slot would be sent all requests.
        self.set_response_script(lambda data: stated(2, 0))
        self.tell(400)
        first = [self.ask_key(key).status for key in range(40)]
        again = [self.ask_key(key).status for key in range(40)]
        self.assertEqual(first, again)
        self.assertEqual(set(first), {200, 503})
        self.assertIn("reason=overload", self.log.of_event("admission_refused")[0])
        self.tell(400, salt=2)
        other = [self.ask_key(key).status for key in range(40)]
        self.assertNotEqual(first, other)

    def test_callers_refused_together_return_spread_out(self):
        self.tell(0)
        times = []
        for key in range(20):
            answer = self.ask_key(key)
            self.assertEqual(answer.status, 503)
            times.append(float(answer.headers["retry-after"]))
        self.assertGreater(max(times) - min(times), 0.05)
        self.assertLessEqual(max(times), DEADLINE_MS / 3000.0)

    def test_overload_that_is_not_stated_again_ends(self):
        self.tell(0)
        self.assertEqual(self.ask_key().status, 503)
        gevent.sleep(OVERLOAD_TTL_MS / 1000.0)
        self.assertEqual(self.ask_key().status, 200)


class HoldTests(AdmissionTestCase):
    """Guards against requests that are held for longer than their target allows."""

    def test_request_at_a_full_upstream_is_held_briefly(self):
        self.owner.response_delay_s = 0.6
        jobs = [gevent.spawn(self.ask_key, key) for key in range(8)]
        gevent.sleep(0.15)
        started = time.monotonic()
        answer = self.ask_key(9)
        held_s = time.monotonic() - started
        self.assertEqual(answer.status, 503)
        self.assertLess(held_s, 0.35 * TARGET_MS / 1000.0)
        gevent.joinall(jobs, timeout=3)
        line = self.log.of_event("admission_refused")[-1]
        self.assertIn("reason=held", line)
        (held_ms,) = re.findall(r"held_ms=(\d+)", line)
        self.assertLess(int(held_ms), 0.25 * TARGET_MS)


class SilentUpstreamTests(AdmissionTestCase):
    """Guards against callers that wait for an upstream that never answers.

    Load: an upstream ignores what it can't queue, and all that follows on the
    connection.
    """

    def set_silent(self, upstream):
        upstream.respond = lambda data: gevent.sleep(5)

    def test_pool_request_goes_to_another_upstream(self):
        for _ in range(8):
            self.assertEqual(self.ask("/look/1").status, 200)
        self.set_silent(self.upstreams[0])
        started = time.monotonic()
        answers = [self.ask("/look/1") for _ in range(4)]
        self.assertEqual([a.status for a in answers], [200] * 4)
        # Each of two silent attempts ends after 100 ms, not after 0.45 of 900 ms.
        self.assertLess(time.monotonic() - started, 0.6)

    def test_request_for_a_key_is_repeated_on_a_new_connection(self):
        self.learn(delay_s=0.01)
        answers = iter([None])

        def ignore_first(data):
            if next(answers, OK) is None:
                gevent.sleep(5)
            return OK

        self.owner.respond = ignore_first
        connections = len(self.owner.connections)
        self.assertEqual(self.ask_key().status, 200)
        self.assertGreater(len(self.owner.connections), connections)
        self.assertIn("outcome=timeout", self.log.of_event("attempt_failed")[0])

    # Guards against a request that is not idempotent and runs twice.
    def test_other_request_is_not_repeated(self):
        for _ in range(8):
            self.ask("/order/1", "POST", body=b"x")
        for upstream in self.upstreams:
            self.set_silent(upstream)
        sent = len(self.requests())
        answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(self.requests()), sent + 1)


class SiteWithWorkspacesTests(AdmissionTestCase):
    """Guards against changed behavior for sites that have workspaces."""

    settings = SETTINGS._replace(
        routes=tuple(r._replace(target_ms=TARGET_MS) for r in SETTINGS.routes)
    )

    def ask(self, target, method="GET", headers=(), body=b"", key=KEY):
        return super().ask(target, method, headers, body, key)

    def test_request_that_would_be_late_is_sent(self):
        self.learn(BUSY_ANSWER)
        self.assertEqual(self.ask_key().status, 200)
        self.assertEqual(self.log.of_event("admission_refused"), [])

    def test_request_waits_for_a_part_of_its_time(self):
        self.owner.response_delay_s = 0.6
        jobs = [gevent.spawn(self.ask_key, key) for key in range(8)]
        gevent.sleep(0.15)
        started = time.monotonic()
        answer = self.ask_key(9)
        held_s = time.monotonic() - started
        self.assertEqual(answer.status, 503)
        self.assertAlmostEqual(held_s, 0.36, delta=0.1)
        self.assertEqual(answer.headers["retry-after"], "0.100")
        gevent.joinall(jobs, timeout=3)

    def test_each_request_counts_once_in_reports(self):
        for _ in range(5):
            self.ask_key()
        gevent.sleep(1.0)
        pings = [msg for msg in self.control.received if isinstance(msg, Ping)]
        self.assertEqual(sum(load.requests for ping in pings for load in ping.loads), 5)


if __name__ == "__main__":
    unittest.main()
