import unittest

from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.messages import UpstreamRow, UpstreamState

USUAL_MS = 60.0


class SpeedTests(unittest.TestCase):
    """Guards against slow upstreams that never look slow."""

    def setUp(self):
        row = UpstreamRow("s", "u", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1)
        self.load = DirectLoad(row, 2)
        self.load.note_busy(USUAL_MS)

    def state_load(self, waiting):
        self.load.note_load(AnswerLoad(2, waiting, 2, 1.0), 0.0)

    def test_time_in_the_queue_is_not_counted_as_slowness(self):
        self.state_load(waiting=4)
        for _ in range(10):
            self.load.note_busy(3 * USUAL_MS)
        self.assertAlmostEqual(self.load.busy_ms, USUAL_MS)

    def test_slow_upstream_with_a_queue_looks_slow(self):
        self.state_load(waiting=2)
        for _ in range(10):
            self.load.note_busy(800.0)
        self.assertGreater(self.load.busy_ms, 300.0)

    def test_upstream_whose_callers_leave_looks_slow(self):
        self.state_load(waiting=2)
        for _ in range(6):
            self.load.note_unanswered(800.0)
        self.assertGreater(self.load.busy_ms, 300.0)

    def test_attempt_that_ended_early_tells_nothing(self):
        self.load.note_unanswered(5.0)
        self.assertEqual(self.load.busy_ms, USUAL_MS)


if __name__ == "__main__":
    unittest.main()
