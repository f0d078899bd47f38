import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamotdrift.byte_budget import (
    CHUNK_BYTES,
    MIN_CHUNK_BYTES,
    ByteBudget,
    Pressure,
)

BUFFERED = Pressure.REQUEST_NOT_BUFFERED
ACTIONS = st.sampled_from(("open", "take", "next", "end", "close"))


class ByteBudgetTests(unittest.TestCase):
    """Guards against memory that grows with the number or size of requests."""

    def setUp(self):
        self.pressures: list[Pressure] = []
        self.budget = ByteBudget(300_000, 200_000, self.pressures.append)

    def test_bytes_of_a_request_are_bounded(self):
        held = self.budget.open()
        self.assertTrue(held.take(200_000, BUFFERED))
        self.assertFalse(held.take(1, BUFFERED))
        self.assertEqual(self.pressures, [BUFFERED])

    def test_bytes_of_all_requests_are_bounded(self):
        first, second = self.budget.open(), self.budget.open()
        self.assertTrue(first.take(200_000, BUFFERED))
        self.assertFalse(second.take(100_001, BUFFERED))
        self.assertTrue(second.take(100_000, BUFFERED))
        first.close()
        self.assertEqual(self.budget.held_bytes, 100_000)
        self.assertEqual(self.budget.peak_bytes, 300_000)

    def test_request_reads_small_parts_without_room(self):
        self.budget.open().take(200_000, BUFFERED)
        held = self.budget.open()
        self.assertEqual(held.next_chunk(), CHUNK_BYTES)
        held.take(100_000 - CHUNK_BYTES, BUFFERED)
        self.assertEqual(held.next_chunk(), CHUNK_BYTES)
        self.assertEqual(self.budget.open().next_chunk(), MIN_CHUNK_BYTES)
        self.assertEqual(self.pressures, [Pressure.SMALL_CHUNK])

    def test_part_is_counted_by_its_size(self):
        held = self.budget.open()
        self.assertEqual(held.chunk_size(), CHUNK_BYTES)
        self.assertEqual(self.budget.held_bytes, 0)
        held.set_chunk(10)
        held.set_chunk(20)
        self.assertEqual(self.budget.held_bytes, 20)

    def test_failed_attempt_leaves_room_for_the_next_one(self):
        held = self.budget.open()
        held.take(50_000, BUFFERED)
        before = held.buffered
        for _ in range(3):
            self.assertTrue(held.take(150_000, Pressure.RESPONSE_TOO_LARGE))
            held.return_to(before)
        self.assertEqual(self.budget.held_bytes, 50_000)

    def test_closed_account_holds_nothing(self):
        held = self.budget.open()
        held.take(10, BUFFERED)
        held.next_chunk()
        held.close()
        held.close()
        held.set_chunk(10)
        self.assertFalse(held.take(10, BUFFERED))
        self.assertEqual(held.next_chunk(), MIN_CHUNK_BYTES)
        self.assertEqual(self.budget.held_bytes, 0)

    @given(st.lists(st.tuples(ACTIONS, st.integers(0, 7), st.integers(0, 150_000))))
    def test_total_is_exceeded_by_the_smallest_parts_only(self, steps):
        budget = ByteBudget(300_000, 200_000)
        accounts = [budget.open()]
        for action, index, size in steps:
            held = accounts[index % len(accounts)]
            if action == "open":
                accounts.append(budget.open())
            elif action == "take":
                held.take(size, BUFFERED)
            elif action == "next":
                held.next_chunk()
            elif action == "end":
                held.end_chunk()
            else:
                held.close()
            self.assertGreaterEqual(budget.held_bytes, 0)
            extra = len(accounts) * MIN_CHUNK_BYTES
            self.assertLessEqual(budget.held_bytes, budget.total_bytes + extra)
        for held in accounts:
            held.close()
        self.assertEqual(budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
