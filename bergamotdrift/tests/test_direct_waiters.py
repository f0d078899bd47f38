import unittest

from bergamotdrift.direct_admission import HOLD_PART, hold_end_ms, may_repeat
from bergamotdrift.direct_waiters import Waiters
from bergamotdrift.tests.admission_fakes import CAB, LOOKUP, routed_of

NO_TARGET = LOOKUP._replace(target_ms=0)


def request(kind, deadline_ms):
    return routed_of(kind, "10.0.0.1", 1, 0.0, deadline_ms)


def never_late(routed):
    return False


class WaitersTests(unittest.TestCase):
    """Guards against a caller that comes back and waits behind all others again.

    Load: requests wait for an upstream that is full for a moment.
    """

    def setUp(self):
        self.waiters = Waiters()
        self.cab = self.waiters.add(request(CAB, 500.0), [])
        self.new = self.waiters.add(request(LOOKUP, 2000.0), [])
        self.returned = self.waiters.add(request(LOOKUP, 700.0), [])

    def test_caller_that_came_back_goes_first_within_its_rank(self):
        found = self.waiters.by_deadline(never_late)
        self.assertEqual(found, [self.returned, self.new, self.cab])

    def test_request_that_can_be_on_time_goes_before_one_that_cannot(self):
        found = self.waiters.by_deadline(lambda routed: routed.deadline_ms < 1000.0)
        self.assertEqual(found, [self.new, self.returned, self.cab])

    # Guards against another order for sites with workspaces.
    def test_order_without_admission_control_is_that_of_arrival(self):
        found = self.waiters.by_arrival()
        self.assertEqual(found, [self.new, self.returned, self.cab])

    def test_less_urgent_request_is_sent_after_a_run_of_more_urgent_ones(self):
        served = []
        for _ in range(4):
            first = self.waiters.by_deadline(never_late)[0]
            self.waiters.remove(first)
            self.waiters.record_sent(first)
            served.append(first.rank)
            self.waiters.add(request(LOOKUP, 2000.0), [])
        self.assertEqual(served, [0, 0, 0, 1])

    def test_only_more_urgent_requests_of_the_service_go_ahead(self):
        self.assertTrue(self.waiters.has_more_urgent(request(CAB, 100.0)))
        self.assertFalse(self.waiters.has_more_urgent(request(LOOKUP, 100.0)))


class LimitTests(unittest.TestCase):
    """Guards against requests that are held too long, or repeated without time."""

    def test_request_is_held_for_a_part_of_its_target(self):
        end_ms = hold_end_ms(request(LOOKUP, 2000.0), 100.0)
        self.assertAlmostEqual(end_ms, 100.0 + HOLD_PART * LOOKUP.target_ms)

    def test_request_without_a_target_is_held_for_a_part_of_its_time(self):
        end_ms = hold_end_ms(request(NO_TARGET, 1100.0), 100.0)
        self.assertAlmostEqual(end_ms, 100.0 + HOLD_PART * 1000.0)

    def test_request_with_little_time_is_held_for_a_part_of_that(self):
        end_ms = hold_end_ms(request(LOOKUP, 200.0), 100.0)
        self.assertAlmostEqual(end_ms, 100.0 + HOLD_PART * 100.0)

    def test_attempt_for_a_key_is_repeated_only_with_time_for_another(self):
        routed = request(LOOKUP, 2000.0)
        self.assertTrue(may_repeat(routed, 400.0, 1000.0, False))
        self.assertFalse(may_repeat(routed, 600.0, 1000.0, False))
        self.assertFalse(may_repeat(routed, float("inf"), 1000.0, False))


if __name__ == "__main__":
    unittest.main()
