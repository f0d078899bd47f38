import unittest

from bergamotdrift.request_flood import RequestFlood

SLOTS = 3
# 54 entries and 55 upstreams.
RATIO = 54 / 55


class RequestFloodTests(unittest.TestCase):
    """Guards against upstreams that all entries flood before any has heard of a load.

    Load: after a power loss all callers return within moments.
    """

    def setUp(self):
        self.flood = RequestFlood()

    def is_flooded(self, own, ratio=RATIO, now_ms=1000.0):
        return self.flood.is_flooded("s", own, ratio, SLOTS, now_ms)

    def test_far_more_requests_than_usual_are_a_flood(self):
        self.assertFalse(self.is_flooded(5))
        self.assertFalse(self.is_flooded(15))
        self.assertTrue(self.is_flooded(40))

    def test_stated_queues_confirm_the_flood(self):
        for _ in range(5):
            self.flood.record_answer("s", 14, 900.0)
        self.assertTrue(self.is_flooded(40))

    # Guards against an entry that has most of the callers and refuses them at idle
    # upstreams.
    def test_stated_low_load_disproves_the_flood(self):
        for _ in range(5):
            self.flood.record_answer("s", 2, 900.0)
        self.assertFalse(self.is_flooded(200))

    def test_old_statement_says_nothing(self):
        self.flood.record_answer("s", 2, 0.0)
        self.assertTrue(self.is_flooded(40))

    def test_statements_of_another_service_say_nothing(self):
        self.flood.record_answer("other", 2, 900.0)
        self.assertTrue(self.is_flooded(40))

    # Guards against refusals by chance where a few requests stand for many.
    def test_few_requests_are_no_flood(self):
        self.assertFalse(self.is_flooded(7, ratio=86 / 7))
        self.assertTrue(self.is_flooded(12, ratio=86 / 7))

    def test_small_fleet_is_never_flooded(self):
        self.assertFalse(self.is_flooded(1000, ratio=0.0))


if __name__ == "__main__":
    unittest.main()
