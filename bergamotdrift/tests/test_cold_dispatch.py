import unittest
from unittest import mock

import gevent

from bergamotdrift.constants import PING_INTERVAL_MS
from bergamotdrift.leader_pace_client import EARLY_PING_INTERVAL_MS, LeaderPaceClient
from bergamotdrift.messages import Ping, UpstreamState
from bergamotdrift.tests.direct_entry import BUSY, SETTINGS, DirectEntryTestCase


class ColdDispatchTests(DirectEntryTestCase):
    """Guards requests for the keys of an upstream that starts.

    An entry has no part of the rate of its own; it asks the leader for each token.
    """

    TARGET_MS = 300

    def setUp(self):
        super().setUp()
        self.control.pace_wait_ms = 0
        cold = [
            row._replace(state=UpstreamState.COLD) for row in self.tables().upstreams
        ]
        routes = tuple(r._replace(target_ms=self.TARGET_MS) for r in SETTINGS.routes)
        settings = self.settings(routes)
        self.push(upstreams=cold, settings=settings, revision=2)
        gevent.sleep(0.05)

    def settings(self, routes):
        return SETTINGS._replace(routes=routes)

    def ask_key(self, number=0):
        headers = [("Shard-Key", "7"), ("Attempt-Id", f"a{number}")]
        return self.ask("/keys/1", headers=headers)

    def needs(self):
        pings = [msg for msg in self.control.received if isinstance(msg, Ping)]
        return [need for msg in pings for need in msg.paces]

    def timed(self, action):
        started_ms = self.entry.control._clock.now_ms()
        result = action()
        return result, self.entry.control._clock.now_ms() - started_ms

    def test_request_waits_for_one_round_trip(self):
        took = []
        for number in range(5):
            gevent.sleep(EARLY_PING_INTERVAL_MS / 1000.0)
            answer, took_ms = self.timed(lambda n=number: self.ask_key(n))
            self.assertEqual(answer.status, 200)
            took.append(took_ms)
        self.assertLess(sorted(took)[2], PING_INTERVAL_MS / 4)
        self.assertEqual(sum(need.wanted for need in self.needs()), 5)

    def test_requests_that_wait_together_share_a_need(self):
        jobs = [gevent.spawn(self.ask_key, number) for number in range(2)]
        gevent.joinall(jobs, timeout=3)
        self.assertEqual([job.get().status for job in jobs], [200, 200])
        self.assertEqual(sum(need.wanted for need in self.needs()), 2)

    def test_request_is_refused_at_once_if_no_token_comes_in_time(self):
        # Callers are asked to come back within a third of their remaining 900 ms.
        self.control.pace_wait_ms = 180
        answer, took_ms = self.timed(self.ask_key)
        self.assertEqual(answer.status, 503)
        self.assertLess(took_ms, 0.2 * self.TARGET_MS + 50)
        self.assertGreater(float(answer.headers["retry-after"]), 0.12)

    def test_pool_asks_for_a_token_of_one_upstream(self):
        answer = self.ask("/look/1")
        self.assertEqual(answer.status, 200)
        (need,) = [need for need in self.needs() if need.wanted]
        self.assertEqual((need.service, need.wanted), ("pool", 1))

    # An entry that was frozen after it took the token would exceed the bound.
    def test_request_is_not_sent_after_its_token_has_expired(self):
        past_ms = self.entry.control._clock.now_ms() - 1.0
        with mock.patch.object(LeaderPaceClient, "take", return_value=past_ms):
            self.assertEqual(self.ask_key().status, 503)
        self.assertEqual(self.requests(), [])

    def test_responses_are_reported(self):
        self.ask_key()
        self.set_response_script(lambda data: BUSY)
        self.ask_key(1)
        gevent.sleep(2 * PING_INTERVAL_MS / 1000.0)
        self.assertEqual(sum(need.sound for need in self.needs()), 1)
        self.assertGreaterEqual(sum(need.shed for need in self.needs()), 1)

    # Each request would otherwise cost the leader a ping.
    def test_pings_are_no_more_frequent_than_their_interval(self):
        started_ms = self.entry.control._clock.now_ms()
        before = len(self.control.received)
        for number in range(30):
            self.ask_key(number)
        took_ms = self.entry.control._clock.now_ms() - started_ms
        pings = len(self.control.received) - before
        self.assertLessEqual(pings, took_ms / EARLY_PING_INTERVAL_MS + 2)


class SiteWithoutWorkspacesTests(ColdDispatchTests):
    """Guards the same requests where they are also admitted by their deadlines."""

    def settings(self, routes):
        open_routes = tuple(route._replace(open=True) for route in routes)
        return SETTINGS._replace(routes=open_routes, workspaces=())


if __name__ == "__main__":
    unittest.main()
