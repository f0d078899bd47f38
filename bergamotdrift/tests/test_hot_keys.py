import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.arbiter_messages import NO_PARTITION
from bergamotdrift.hot_keys import LoadCounter, TopKeys
from bergamotdrift.messages import (
    KeyCount,
    PartitionLoad,
)


class TopKeysTests(unittest.TestCase):
    @settings(max_examples=50, deadline=None)
    @given(st.integers(0, 2**32))
    def test_hot_keys_are_found_among_many_and_never_counted_too_high(self, seed):
        rng = random.Random(seed)
        top = TopKeys(40)
        true: Counter = Counter()
        for _ in range(4000):
            hot = rng.random() < 0.5
            key = rng.randrange(5) if hot else rng.randrange(10, 5000)
            top.add(key)
            true[key] += 1
        self.assertLessEqual(len(top), 40)
        found = top.top(5)
        self.assertEqual({item.key_hash for item in found}, set(range(5)))
        for item in found:
            self.assertLessEqual(item.requests, true[item.key_hash])
            self.assertGreater(item.requests, 0.7 * true[item.key_hash])


class LoadCounterTests(unittest.TestCase):
    def test_report_covers_the_window_and_resets_the_counts(self):
        counter = LoadCounter("tracking", 1000.0)
        for key in (7, 7, 8):
            counter.add(3, key)
        counter.add(NO_PARTITION, 9)
        report = counter.take_report(3000.0)
        assert report is not None
        self.assertEqual(report.window_ms, 2000)
        self.assertEqual(report.partitions, [PartitionLoad(3, 3)])
        self.assertEqual(report.hot_keys, [KeyCount(7, 2), KeyCount(8, 1)])
        self.assertIsNone(counter.take_report(4000.0))
