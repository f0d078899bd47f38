import math
import unittest

from bergamotdrift.config.schema import ColdBound, ColdStartSettings
from bergamotdrift.pace import FALL_WINDOW_MS, LATE_FALL, Pace, PaceRange
from bergamotdrift.pace_limits import pace_limits
from bergamotdrift.tests.arbiter_support import service
from bergamotdrift.upstream_load import in_flight_range

RANGE = PaceRange(1.0, 8.0, 12.0, 0.002)
SOUND_FOR_MS = 500.0


class PaceTests(unittest.TestCase):
    """Guards against flooding an upstream that starts, and against leaving it idle."""

    def setUp(self):
        self.pace = Pace(RANGE, 0.0, SOUND_FOR_MS)

    def respond_soundly(self, from_ms, until_ms):
        for now_ms in range(from_ms, until_ms, 100):
            self.pace.on_sound(now_ms)

    def test_it_rises_to_the_ceiling_while_responses_are_sound(self):
        self.respond_soundly(0, 1000)
        self.assertAlmostEqual(self.pace.level(1000.0), 10.0)
        self.respond_soundly(1000, 2500)
        self.assertEqual(self.pace.level(2500.0), 12.0)
        self.assertTrue(self.pace.has_ended(2500.0))

    def test_it_does_not_rise_without_responses(self):
        self.assertEqual(self.pace.level(60_000.0), 8.0)

    def test_it_goes_on_where_it_was_after_a_gap(self):
        self.respond_soundly(0, 1000)
        after_gap = self.pace.level(9000.0)
        self.assertAlmostEqual(after_gap, 8.0 + 0.002 * (900 + SOUND_FOR_MS))
        self.pace.on_sound(9000.0)
        self.assertGreater(self.pace.level(9300.0), after_gap)

    def test_it_falls_at_once_and_once_for_one_cause(self):
        self.assertTrue(self.pace.on_unsound(100.0))
        self.assertFalse(self.pace.on_unsound(100.0 + FALL_WINDOW_MS / 2))
        self.assertEqual(self.pace.level(400.0), 4.0)
        self.assertTrue(self.pace.on_unsound(100.0 + FALL_WINDOW_MS))
        self.assertEqual(self.pace.level(400.0), 2.0)

    def test_it_falls_less_for_late_responses(self):
        self.pace.on_unsound(0.0, LATE_FALL)
        self.assertEqual(self.pace.level(0.0), 8.0 * LATE_FALL)

    def test_it_never_falls_below_the_floor(self):
        for number in range(20):
            self.pace.on_unsound(number * FALL_WINDOW_MS)
        self.assertEqual(self.pace.level(9000.0), 1.0)

    def test_it_recovers_more_slowly_than_it_started(self):
        self.pace.on_unsound(0.0)
        self.pace.on_sound(0.0)
        self.assertAlmostEqual(self.pace.level(500.0), 4.0 + 0.5 * 0.002 * 500)

    def test_a_changed_range_keeps_the_level(self):
        self.respond_soundly(0, 500)
        level = self.pace.level(500.0)
        self.pace.configure(RANGE._replace(ceiling=20.0), 500.0)
        self.assertEqual(self.pace.level(500.0), level)
        self.pace.configure(RANGE._replace(ceiling=5.0), 500.0)
        self.assertEqual(self.pace.level(500.0), 5.0)


class InFlightTests(unittest.TestCase):
    """Guards the slow start of an arbiter's upstream, which rises with the time."""

    def pace(self, ramp_s):
        found = service("s", ramp_s=ramp_s)
        return Pace(in_flight_range(found), 0.0), found.slots

    def test_requests_rise_to_the_slots_over_the_ramp(self):
        pace, slots = self.pace(4.0)
        self.assertEqual(pace.allowed(0.0), 1)
        self.assertLess(pace.allowed(2000.0), slots)
        self.assertEqual(pace.allowed(4000.0), slots)

    def test_without_a_ramp_all_slots_are_used_at_once(self):
        pace, slots = self.pace(0.0)
        pace.on_unsound(0.0)
        self.assertEqual(pace.allowed(0.0), slots)

    def test_a_restart_begins_again(self):
        pace, _ = self.pace(4.0)
        pace.raise_to(2.0, 10.0)
        self.assertEqual(pace.allowed(10.0), 2)
        pace.restart(10.0)
        self.assertEqual(pace.allowed(10.0), 1)


class LimitsTests(unittest.TestCase):
    """Guards against a rate and a burst that together exceed the bound in a second."""

    CASES = (
        (8.3, ColdBound(1.5, 8.0)),
        (10.0, ColdBound(1.5, 5.0)),
        (8.3, ColdBound()),
        (1.0, ColdBound()),
        (2.0, ColdBound(1.0, 40.0)),
        (300.0, ColdBound(1.1, 0.0)),
    )

    def test_rate_burst_and_unleased_requests_stay_below_the_bound(self):
        for per_s, bound in self.CASES:
            with self.subTest(per_s=per_s, bound=bound):
                limits = pace_limits(ColdStartSettings(1, 3.0, per_s), bound)
                most = math.floor(per_s * bound.overage + bound.slack)
                # Requests that are sent within 1.15 s may arrive within one.
                used = limits.burst + 1.15 * limits.rates.ceiling + limits.unleased
                self.assertLess(used, most + 1)
                # A request needs a whole token.
                self.assertGreaterEqual(limits.burst, 1.0)
                self.assertLessEqual(limits.rates.start, per_s)
                self.assertGreater(limits.rates.start, 0.5 * min(per_s, most))

    def test_a_ramp_of_no_time_starts_at_the_ceiling(self):
        limits = pace_limits(ColdStartSettings(1, 0.0, 8.3), ColdBound(1.5, 8.0))
        pace = Pace(limits.rates, 0.0, SOUND_FOR_MS)
        self.assertAlmostEqual(pace.level(0.0), 12.45)


if __name__ == "__main__":
    unittest.main()
