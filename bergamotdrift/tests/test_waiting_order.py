import random
import unittest

from bergamotdrift.retry_times import MAX_RETRY_PART, retry_after_ms
from bergamotdrift.waiting_order import URGENT_RUN, WaitingOrder, WaitingRequest


class WaitingOrderTests(unittest.TestCase):
    """Guards against callers that come back in vain, and against starved ranks.

    Load: requests of several ranks, among them callers that were refused before, wait
    for the same upstreams.
    """

    def setUp(self):
        self.order = WaitingOrder()
        self.waiting = {}

    def wait(self, name, rank=0, is_late=False, deadline_ms=1000.0):
        number = len(self.waiting)
        self.waiting[name] = WaitingRequest(rank, is_late, deadline_ms, number)

    def names(self):
        items = [(request, name) for name, request in self.waiting.items()]
        return self.order.sorted("s", items)

    def serve(self):
        """Send the next request and return its name."""
        name = self.names()[0]
        sent = self.waiting.pop(name)
        ranks = [request.rank for request in self.waiting.values()]
        self.order.record_sent("s", sent.rank, ranks)
        return name

    def test_caller_that_came_back_goes_first(self):
        self.wait("new", deadline_ms=2000.0)
        self.wait("returned", deadline_ms=800.0)
        self.assertEqual(self.names(), ["returned", "new"])

    def test_more_urgent_request_goes_before_one_with_less_time(self):
        self.wait("routine", rank=1, deadline_ms=100.0)
        self.wait("urgent", rank=0, deadline_ms=2000.0)
        self.assertEqual(self.names(), ["urgent", "routine"])

    def test_request_that_is_late_gives_way(self):
        self.wait("late", is_late=True, deadline_ms=300.0)
        self.wait("on time", deadline_ms=2000.0)
        self.assertEqual(self.names(), ["on time", "late"])

    def test_equal_requests_go_by_arrival(self):
        for name in "abc":
            self.wait(name)
        self.assertEqual(self.names(), ["a", "b", "c"])

    def test_less_urgent_rank_is_not_starved_nor_preferred(self):
        self.wait("routine", rank=1)
        served = []
        for number in range(URGENT_RUN + 1):
            self.wait(f"urgent {number}")
            served.append(self.serve())
        self.assertEqual(served.index("routine"), URGENT_RUN)

    def test_run_starts_anew_after_the_less_urgent_request(self):
        for number in range(8):
            self.wait(f"routine {number}", rank=1)
            self.wait(f"urgent {number}")
        served = [self.serve()[0] for _ in range(8)]
        self.assertEqual("".join(served), "uuuruuur")

    def test_each_lower_rank_has_its_turn(self):
        for number in range(20):
            self.wait(f"a{number}", rank=0)
            self.wait(f"b{number}", rank=1)
            self.wait(f"c{number}", rank=2)
        served = [self.serve()[0] for _ in range(16)]
        self.assertEqual("".join(served), "aaabaaac" * 2)


class RetryTimeTests(unittest.TestCase):
    """Guards against callers that are refused together and return together."""

    def setUp(self):
        self.rng = random.Random(1)

    def times(self, room_in_ms, left_ms):
        return [retry_after_ms(room_in_ms, left_ms, self.rng) for _ in range(300)]

    def test_callers_return_spread_out_from_when_there_is_room(self):
        times = self.times(200.0, 2000.0)
        self.assertGreaterEqual(min(times), 200.0)
        self.assertGreater(max(times) - min(times), 250.0)

    def test_no_caller_is_asked_to_wait_longer_than_it_would(self):
        for room_in_ms in (None, 0.0, 500.0, 5000.0):
            times = self.times(room_in_ms, 2000.0)
            self.assertLessEqual(max(times), MAX_RETRY_PART * 2000.0)
            self.assertGreater(max(times) - min(times), 200.0)

    def test_caller_without_time_is_not_asked_to_wait(self):
        self.assertEqual(retry_after_ms(100.0, -5.0, self.rng), 0.0)


if __name__ == "__main__":
    unittest.main()
