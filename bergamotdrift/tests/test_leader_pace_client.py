import unittest

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import ColdBound
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.leader_pace_client import (
    SILENT_AFTER_MS,
    LeaderPaceClient,
    Response,
)
from bergamotdrift.messages import PaceLot
from bergamotdrift.tests.pace_simulation import BOUND, SERVICE

KEY = UpstreamId("s", "u")
NOW_MS = 10_000.0


class LeaderPaceClientTests(unittest.TestCase):
    """Guards the requests of one entry to a cold upstream."""

    bound = BOUND

    def setUp(self):
        self.clock = ManualClock(NOW_MS)
        self.client = LeaderPaceClient(self.clock, "e1", self.bound)
        self.client.update(frozenset({"e1"}), {KEY})
        self.pings = 0
        self.interval_ms = 0.0
        self.client.request_ping = self.count_ping

    def count_ping(self, interval_ms):
        self.pings += 1
        self.interval_ms = interval_ms

    def take_lot(self, tokens, wait_ms=0, asked_ms=None):
        asked_ms = self.clock.now_ms() if asked_ms is None else asked_ms
        self.client.take_paces([PaceLot(*KEY, tokens, 500, wait_ms)], asked_ms)

    def has_token(self):
        return self.client.has_token(KEY, SERVICE)

    def test_each_request_takes_a_token(self):
        self.take_lot(2)
        for _ in range(2):
            self.assertTrue(self.has_token())
            self.client.take(KEY)
        self.assertFalse(self.has_token())

    def test_token_is_not_used_after_its_lease(self):
        self.take_lot(1)
        self.clock.advance(399)
        self.assertTrue(self.has_token())
        self.clock.advance(1)
        self.assertFalse(self.has_token())

    def test_lease_that_comes_late_is_not_used(self):
        self.take_lot(1, asked_ms=NOW_MS - 450)
        self.assertFalse(self.has_token())

    def test_needs_of_all_waiting_requests_are_stated_together(self):
        for request in range(3):
            self.client.start_wait(request, KEY, NOW_MS + 50 + request, 3 - request)
        self.assertGreater(self.pings, 0)
        (need,) = self.client.pace_needs()
        self.assertEqual((need.wanted, need.wait_ms, need.rank), (3, 52, 1))

    def test_request_that_left_needs_no_token(self):
        self.client.start_wait("r", KEY, NOW_MS + 50, 0)
        self.client.end_wait("r")
        self.assertEqual(self.client.pace_needs(), [])

    # Each entry would otherwise ask for each request, although there is no token.
    def test_leader_is_not_asked_before_it_has_a_token(self):
        self.take_lot(0, wait_ms=40)
        self.assertEqual(self.client.start_wait("r", KEY, NOW_MS + 60, 0), NOW_MS + 40)
        self.assertEqual(self.pings, 0)
        self.clock.advance(40)
        self.assertIsNone(self.client.start_wait("r", KEY, NOW_MS + 60, 0))
        self.assertEqual(self.pings, 1)

    # The leader can answer about 13,000 pings a second.
    def test_pings_of_a_large_fleet_are_rarer(self):
        for entries, interval_ms in ((54, 25.0), (86, 25.0), (830, 124.5)):
            members = frozenset(f"e{number}" for number in range(entries))
            self.client.update(members, {KEY})
            self.client.start_wait("r", KEY, NOW_MS + 60, 0)
            self.assertEqual(self.interval_ms, interval_ms)

    def test_unused_tokens_are_returned_and_use_is_stated_once(self):
        self.take_lot(2)
        self.client.take(KEY)
        (need,) = self.client.pace_needs()
        self.assertEqual((need.wanted, need.returned), (0, 1))
        self.assertEqual(self.client.pace_needs(), [])
        self.take_lot(1)
        self.client.take(KEY)
        (need,) = self.client.pace_needs()
        self.assertEqual((need.wanted, need.returned), (0, 0))

    def test_pool_keeps_a_token_for_its_next_request(self):
        self.client.note_demand(KEY)
        self.assertEqual(self.pings, 0)
        (need,) = self.client.pace_needs()
        self.assertEqual(need.wanted, 1)
        self.clock.advance(500)
        self.assertEqual(self.client.pace_needs(), [])

    def test_responses_are_counted(self):
        answered = Response(AttemptOutcome.ANSWERED, slots=2)
        for response in (
            answered,
            answered._replace(waiting=5),
            answered._replace(latency_ratio=4.0),
            Response(AttemptOutcome.SERVER_ERROR),
            Response(AttemptOutcome.SHED),
            Response(AttemptOutcome.TIMEOUT),
            Response(AttemptOutcome.BROKEN),
            Response(AttemptOutcome.CANCELLED),
        ):
            self.client.record(KEY, response)
        (need,) = self.client.pace_needs()
        self.assertEqual((need.sound, need.late, need.shed, need.failed), (2, 1, 1, 2))
        self.assertEqual(need.latency_percent, 200)
        self.assertEqual(self.client.pace_needs(), [])

    def test_entry_without_a_leader_sends_nothing_if_the_bound_leaves_nothing(self):
        self.clock.advance(2 * SILENT_AFTER_MS)
        self.assertFalse(self.has_token())


class LargeSlackTests(LeaderPaceClientTests):
    """Guards the part of the bound that is left for entries without a leader."""

    bound = ColdBound(1.5, 15.0)

    def test_entry_without_a_leader_sends_nothing_if_the_bound_leaves_nothing(self):
        self.clock.advance(SILENT_AFTER_MS - 1)
        self.assertFalse(self.has_token())
        self.clock.advance(1)
        sent = 0
        while self.has_token():
            self.client.take(KEY)
            sent += 1
        self.assertEqual(sent, 6)
        self.client.take_paces([], self.clock.now_ms())
        self.clock.advance(600)
        self.assertFalse(self.has_token())

    # With many entries, most of them have no part of what is left.
    def test_entries_share_what_is_left(self):
        members = frozenset(f"e{number}" for number in range(54))
        allowed = 0
        for name in members:
            client = LeaderPaceClient(self.clock, name, self.bound)
            client.update(members, {KEY})
            self.clock.advance(SILENT_AFTER_MS)
            allowed += client.has_token(KEY, SERVICE)
        self.assertEqual(allowed, 6)


if __name__ == "__main__":
    unittest.main()
