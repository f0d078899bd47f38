import unittest

from bergamotdrift.first_placement import MAX_DELAY_MS, MIN_DELAY_MS, FirstPlacement

STEP_MS = 100


class FirstPlacementTests(unittest.TestCase):
    """Guards against keys for a part of the upstreams that start together."""

    def due_at(self, joined_ms):
        """Return when the keys are assigned, and to how many upstreams."""
        placement = FirstPlacement(0.0)
        for now_ms in range(0, 2 * int(MAX_DELAY_MS), STEP_MS):
            known = [f"u{n}" for n, ms in enumerate(joined_ms) if ms <= now_ms]
            if known and placement.is_due(known, now_ms):
                return now_ms, len(known)
        raise AssertionError("the keys were never assigned")

    def test_upstreams_that_start_at_once_wait_for_the_shortest_time(self):
        self.assertEqual(self.due_at([0, 0, 0]), (MIN_DELAY_MS, 3))

    def test_all_upstreams_that_start_within_two_seconds_get_keys(self):
        # Announcements come about once per second; 4 of 13 upstreams had registered
        # between 1.5 and 1.8 s after the first one and got no keys.
        self.assertEqual(self.due_at([0, 300, 900, 1500, 1800])[1], 5)

    def test_steady_joins_do_not_delay_the_keys_for_longer_than_the_limit(self):
        due_ms, _ = self.due_at(range(0, 20_000, 200))
        self.assertEqual(due_ms, MAX_DELAY_MS)

    def test_upstream_that_left_and_returned_does_not_extend_the_wait(self):
        placement = FirstPlacement(0.0)
        for now_ms, known in ((0, ["u1", "u2"]), (700, ["u1"]), (1400, ["u1", "u2"])):
            self.assertFalse(placement.is_due(known, now_ms))
        self.assertTrue(placement.is_due(["u1", "u2"], MIN_DELAY_MS))


if __name__ == "__main__":
    unittest.main()
