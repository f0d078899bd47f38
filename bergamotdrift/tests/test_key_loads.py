import math
import random
import unittest

from bergamotdrift.key_loads import SMOOTHING_MS, KeyLoads
from bergamotdrift.messages import KeyLoad


class AccessCountingDict(dict):
    """Counts how many keys are read or written."""

    touched = 0

    def get(self, key, default=None):
        type(self).touched += 1
        return super().get(key, default)

    def items(self):
        type(self).touched += len(self)
        return super().items()


class RateTests(unittest.TestCase):
    """Guards against rates that don't decay, or decay with each report."""

    def test_rates_decay_alike_however_often_reports_come(self):
        rng = random.Random(3)
        loads = KeyLoads()
        expected: dict[int, float] = {}
        now_ms = 0.0
        for _ in range(3000):
            passed_ms = rng.choice([0.0, 1.0, 7.0, 90.0])
            now_ms += passed_ms
            decay = math.exp(-passed_ms / SMOOTHING_MS)
            expected = {key: count * decay for key, count in expected.items()}
            key = rng.randrange(20)
            loads.add([KeyLoad("cases", key, 2)], now_ms)
            expected[key] = expected.get(key, 0.0) + 2
        found = {rate.key: rate.per_s for rate in loads.rates(now_ms)}
        self.assertEqual(sorted(found), sorted(expected))
        for key, count in expected.items():
            self.assertAlmostEqual(found[key], count * 1000.0 / SMOOTHING_MS, places=6)

    def test_keys_are_forgotten_after_a_long_pause(self):
        loads = KeyLoads()
        loads.add([KeyLoad("cases", 1, 1000)], 0.0)
        self.assertEqual(loads.rates(3_600_000.0), [])

    def test_clock_that_stands_still_or_starts_late_changes_nothing(self):
        loads = KeyLoads()
        loads.add([KeyLoad("cases", 1, 9)], 5_000_000.0)
        loads.add([KeyLoad("cases", 1, 9)], 5_000_000.0)
        (rate,) = loads.rates(5_000_000.0)
        self.assertAlmostEqual(rate.per_s, 18 * 1000.0 / SMOOTHING_MS)


class CostTests(unittest.TestCase):
    """Guards against a report that costs the leader time for all known keys."""

    def test_report_costs_time_for_its_own_keys_only(self):
        loads = KeyLoads()
        loads.add([KeyLoad("cases", key, 50) for key in range(20_000)], 1.0)
        loads._counts = AccessCountingDict(loads._counts)
        for number in range(100):
            loads.add([KeyLoad("cases", number, 1)], 2.0 + number)
        self.assertLessEqual(AccessCountingDict.touched, 200)
