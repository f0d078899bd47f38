import unittest

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.messages import UpstreamRow, UpstreamState

USUAL_MS = 60.0


class SpeedTests(unittest.TestCase):
    """Guards against slow upstreams that are not measured as slow."""

    def setUp(self):
        row = UpstreamRow("s", "u", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1)
        self.load = DirectLoad(row, 2)
        self.load.record_busy_time(USUAL_MS)

    def state_load(self, waiting):
        self.load.record_load(AnswerLoad(2, waiting, 2, 1.0), 0.0)

    def test_queueing_time_is_not_counted_as_slowness(self):
        self.state_load(waiting=4)
        for _ in range(10):
            self.load.record_busy_time(3 * USUAL_MS)
        self.assertAlmostEqual(self.load.busy_ms, USUAL_MS)

    def test_slow_upstream_with_a_queue_is_measured_as_slow(self):
        self.state_load(waiting=2)
        for _ in range(10):
            self.load.record_busy_time(800.0)
        self.assertGreater(self.load.busy_ms, 300.0)

    def test_upstream_whose_callers_leave_is_measured_as_slow(self):
        self.state_load(waiting=2)
        for _ in range(6):
            self.load.record_no_response(800.0)
        self.assertGreater(self.load.busy_ms, 300.0)

    def test_attempt_that_ended_early_is_ignored(self):
        self.load.record_no_response(5.0)
        self.assertEqual(self.load.busy_ms, USUAL_MS)


class SilenceTests(unittest.TestCase):
    """Guards against an upstream that counts as silent after it has answered."""

    def setUp(self):
        row = UpstreamRow("s", "u", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1)
        self.load = DirectLoad(row, 2)
        self.load.own.add("p1", 0.0, 100.0)
        self.load.own.remove("p1", 200.0)
        self.assertTrue(self.load.own.is_suspect(200.0))

    def test_upstream_that_sheds_a_request_is_not_silent(self):
        self.load.record_outcome(AttemptOutcome.SHED, 0.0, 250.0)
        self.assertFalse(self.load.own.is_suspect(300.0))

    def test_restarted_upstream_is_not_silent(self):
        changed = self.load.row._replace(incarnation="2")
        self.load.replace_row(changed, 0.0, 250.0)
        self.assertFalse(self.load.own.is_suspect(300.0))


if __name__ == "__main__":
    unittest.main()
