import contextlib
import unittest

import gevent

from bergamotdrift.constants import SETTINGS_MAX_AGE_MS
from bergamotdrift.messages import PartitionState, RangeRow, UpstreamState
from bergamotdrift.tests.direct_entry import BUSY, OK, DirectEntryTestCase
from bergamotdrift.tests.entry_fakes import KEY, Caller
from bergamotdrift.tests.log_capture import capture_log

OWNED_RANGE = RangeRow("keys", 0, 999, "k0", "1", 4, PartitionState.OWNED)


class FailureLinesTests(DirectEntryTestCase):
    """Guards against failed requests whose log lines do not state the cause.

    Each test causes one failure and reads only the lines with the request's id.
    """

    def setUp(self):
        self.log = capture_log(self)
        super().setUp()

    def assert_logged(self, *parts, request="a1"):
        """Check that one line with the request's id contains all parts."""
        matching = [line for line in self.log.captured if f"request={request} " in line]
        found = [line for line in matching if all(part in line for part in parts)]
        self.assertTrue(found, f"{parts} not in one of {matching}")

    def ask_key(self, key=7):
        return self.ask("/keys/1", headers=[("Shard-Key", str(key))])

    def states(self, state):
        return [row._replace(state=state) for row in self.tables().upstreams]

    def test_unknown_workspace_key(self):
        self.assertEqual(self.ask("/look/1", key="no").status, 401)
        self.assert_logged("event=request_refused", "kind=unauthenticated")

    def test_path_without_a_route(self):
        self.assertEqual(self.ask("/none/1").status, 404)
        self.assert_logged("event=request_refused", "kind=no_route", "settings_age_ms=")

    def test_settings_that_can_not_be_confirmed(self):
        self.control.silent = True
        gevent.sleep(SETTINGS_MAX_AGE_MS / 1000.0 + 0.3)
        self.assertEqual(self.ask("/look/1").status, 503)
        self.assert_logged("kind=settings_stale", "stage=admit", "settings_age_ms=2")

    def test_rate_that_is_used_up(self):
        self.control.withholds_rates = True
        self.assertEqual(self.ask("/look/1").status, 429)
        self.assert_logged("kind=rate_exceeded", "no tokens left for w1 at 1000/s")

    def test_key_without_a_holder(self):
        self.assertEqual(self.ask_key(5000).status, 503)
        self.assert_logged("kind=no_upstream", "no upstream holds the key")

    def test_key_that_changes_its_upstream(self):
        self.push(ranges=[OWNED_RANGE._replace(state=PartitionState.RELEASING)])
        gevent.sleep(0.05)
        self.assertEqual(self.ask_key().status, 503)
        self.assert_logged("the key is changing its upstream", "service=keys")

    def test_upstreams_that_all_leave(self):
        self.push(upstreams=self.states(UpstreamState.LEAVING))
        gevent.sleep(0.05)
        self.assertEqual(self.ask("/look/1").status, 503)
        self.assert_logged("kind=no_upstream", "leaving")

    def test_zone_that_is_evacuated(self):
        self.push(evacuated=["a"])
        gevent.sleep(0.05)
        self.assertEqual(self.ask_key().status, 503)
        self.assert_logged("kind=no_upstream", "evacuated at k0")

    def test_upstream_in_its_cold_start(self):
        self.push(upstreams=self.states(UpstreamState.COLD))
        gevent.sleep(0.05)
        for number in range(10):
            headers = [("Shard-Key", "7"), ("Attempt-Id", f"b{number}")]
            self.ask("/keys/1", headers=headers)
        self.ask_key()
        self.assert_logged("cold at k0")

    def test_upstream_that_is_full(self):
        self.upstreams[0].response_delay_s = 0.8
        headers = [("Shard-Key", "7")]
        jobs = [
            gevent.spawn(
                self.ask, "/keys/1", headers=[*headers, ("Attempt-Id", f"c{n}")]
            )
            for n in range(12)
        ]
        gevent.sleep(0.1)
        self.assertEqual(self.ask_key().status, 503)
        self.assert_logged("kind=queue_full", "full at k0", "of this entry")
        gevent.joinall(jobs, timeout=3)

    def test_upstream_that_sheds(self):
        self.set_response_script(lambda data: BUSY)
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 503)
        self.assert_logged("event=attempt_failed", "outcome=shed", "not_run=true")
        self.assert_logged("event=request_refused", "kind=upstream_shed")

    def test_upstream_without_an_answer(self):
        for upstream in self.upstreams:
            upstream.response_delay_s = 3.0
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 504)
        self.assert_logged("event=attempt_failed", "outcome=timeout", "upstream=i")
        self.assert_logged("event=outcome_not_known", "kind=upstream_timeout")

    def test_connection_that_breaks(self):
        self.set_response_script(lambda data: None)
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 502)
        self.assert_logged("outcome=broken", "not_run=false", "sent=1")

    def test_answer_to_another_request(self):
        misdirected = OK.replace(b"Backend-Load", b"Attempt-Id: old\r\nBackend-Load")
        self.set_response_script(lambda data: misdirected)
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 502)
        self.assert_logged("outcome=broken", "another request")

    def test_upstream_that_refuses_connections(self):
        for upstream in self.upstreams:
            upstream.server.stop(timeout=0)
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 503)
        self.assert_logged("outcome=connect_failed", "not_run=true")

    def test_caller_that_leaves(self):
        self.upstreams[0].response_delay_s = self.upstreams[1].response_delay_s = 1.0
        caller = Caller(self.entry.server.address)
        headers = [("Attempt-Id", "a1"), ("Deadline-Ms", "900")]
        caller.send("POST", "/order/1", headers, b"x", KEY)
        gevent.sleep(0.2)
        caller.sock.close()
        with contextlib.suppress(gevent.Timeout), gevent.Timeout(1.0):
            while not any("caller_gone" in line for line in self.log.captured):
                gevent.sleep(0.01)
        self.assert_logged("event=attempt_cancelled", "upstream=i", "after_ms=")
        self.assert_logged("event=caller_gone")

    def test_process_that_stops(self):
        stopping = gevent.spawn(self.entry.stop)
        gevent.sleep(0.1)
        self.assertEqual(self.ask("/look/1").status, 503)
        self.assert_logged("kind=shutting_down")
        stopping.join(timeout=5)


if __name__ == "__main__":
    unittest.main()
