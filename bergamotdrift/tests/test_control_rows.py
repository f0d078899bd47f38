import random
import unittest
from unittest import mock

from bergamotdrift import control_rows
from bergamotdrift.control_rows import ControlRows
from bergamotdrift.feed_tables import RangeId
from bergamotdrift.messages import PartitionState, RangeRow, UpstreamRow, UpstreamState


def range_row(service, first, upstream, incarnation="1"):
    last = first + 9
    state = PartitionState.OWNED
    return RangeRow(service, first, last, upstream, incarnation, 5, state)


def upstream_row(service, upstream, incarnation="1"):
    state = UpstreamState.READY
    return UpstreamRow(service, upstream, "a:1", "zone", incarnation, state)


class RangeOrderTests(unittest.TestCase):
    """Guards against grant orders based on a stale cache of the sorted ranges."""

    def setUp(self):
        self.rows = ControlRows()
        self.random = random.Random(7)
        self.index = 0

    def check_order(self):
        ranges = list(self.rows.ranges.rows())
        for service in ("cases", "files"):
            of_service = sorted(r for r in ranges if r.service == service)
            self.assertEqual(list(self.rows.ranges_of(service)), of_service)
            for upstream in ("u1", "u2", "u3"):
                held = [r for r in of_service if r.upstream == upstream]
                found = self.rows.ranges_owned(service, upstream, "1")
                self.assertEqual(list(found), held)

    def apply_random_change(self):
        self.index += 1
        service = self.random.choice(["cases", "files"])
        first = self.random.randrange(20) * 10
        upstream = self.random.choice(["u1", "u2", "u3"])
        key = RangeId(service, first)
        action = self.random.randrange(4)
        if action == 0:
            self.rows.ranges.remove(key, self.index)
        elif action == 1:
            self.rows.free_ranges(self.index, upstream_row(service, upstream))
        else:
            self.rows.ranges.put(key, range_row(service, first, upstream), self.index)

    def test_order_follows_every_change(self):
        for _ in range(500):
            self.apply_random_change()
            self.check_order()

    def test_order_follows_a_snapshot(self):
        for _ in range(50):
            self.apply_random_change()
        data = self.rows.dump()
        for _ in range(50):
            self.apply_random_change()
        self.check_order()
        self.rows.load(data)
        self.check_order()

    def test_ranges_are_sorted_once_for_each_change(self):
        self.rows.ranges.put(RangeId("cases", 0), range_row("cases", 0, "u1"), 1)
        sort_ranges = control_rows._sort_ranges
        with mock.patch.object(
            control_rows, "_sort_ranges", side_effect=sort_ranges
        ) as mock_sort:
            for _ in range(100):
                self.rows.ranges_owned("cases", "u1", "1")
        self.assertEqual(mock_sort.call_count, 1)
