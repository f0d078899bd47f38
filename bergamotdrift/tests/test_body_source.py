import io
import unittest
from functools import partial

from bergamotdrift.body_source import open_body
from bergamotdrift.byte_budget import ByteBudget, Pressure
from bergamotdrift.constants import RETRY_BODY_BYTES

MAX_BYTES = 1 << 24


class Body:
    """Body that arrives in parts of a limited size."""

    def __init__(self, data, length, part_bytes=MAX_BYTES):
        self.length = length
        self._part_bytes = part_bytes
        self._stream = io.BytesIO(data)

    def read(self, size):
        return self._stream.read(min(size, self._part_bytes))


class ChunkedBodyTests(unittest.TestCase):
    """Guards against bytes that are held but not counted."""

    def test_no_more_is_buffered_than_is_counted(self):
        budget = ByteBudget(1 << 20, 1 << 20)
        data = b"x" * (2 * RETRY_BODY_BYTES)
        body = Body(data, None, part_bytes=50_000)
        found = open_body(body, MAX_BYTES, budget.open())
        self.assertLessEqual(len(found.buffered), budget.held_bytes)
        assert found.read is not None
        rest = b"".join(iter(partial(found.read, 1000), b""))
        self.assertEqual(found.buffered + rest, data)


class WholeBodyTests(unittest.TestCase):
    """Guards against a repeated request that seems to be another one without room."""

    def open(self, needs_whole):
        self.pressures: list[Pressure] = []
        self.budget = ByteBudget(10, 10, self.pressures.append)
        body = Body(b"abcdefghijkl", 12)
        return open_body(body, MAX_BYTES, self.budget.open(), needs_whole)

    def test_body_that_is_compared_is_buffered_without_room(self):
        found = self.open(needs_whole=True)
        self.assertEqual(found.buffered, b"abcdefghijkl")
        self.assertTrue(found.can_be_resent)
        self.assertEqual(self.budget.held_bytes, 12)
        self.assertEqual(self.pressures, [Pressure.REQUEST_NOT_BUFFERED])

    def test_other_body_is_passed_on_unbuffered_without_room(self):
        self.assertFalse(self.open(needs_whole=False).can_be_resent)
        self.assertEqual(self.budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
