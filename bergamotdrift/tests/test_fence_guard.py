import unittest

from bergamotdrift.feed_tables import PartitionId
from bergamotdrift.fence_guard import PROBE_INTERVAL_MS, FenceGuard

PID = PartitionId("cases", 1)


class FenceGuardTests(unittest.TestCase):
    def test_one_request_per_interval_probes_a_fenced_epoch(self):
        guard = FenceGuard()
        self.assertTrue(guard.may_send(PID, 5, 0.0))
        guard.record_fenced(PID, 5, 0.0)
        self.assertFalse(guard.may_send(PID, 5, PROBE_INTERVAL_MS - 1))
        probes = [guard.may_send(PID, 5, PROBE_INTERVAL_MS) for _ in range(5)]
        self.assertEqual(probes, [True, False, False, False, False])

    def test_other_epochs_and_partitions_are_not_held_back(self):
        guard = FenceGuard()
        guard.record_fenced(PID, 5, 0.0)
        self.assertTrue(guard.may_send(PID, 6, 1.0))
        self.assertTrue(guard.may_send(PartitionId("cases", 2), 5, 1.0))

    def test_accepted_request_ends_the_limit(self):
        guard = FenceGuard()
        guard.record_fenced(PID, 5, 0.0)
        self.assertTrue(guard.record_accepted(PID, 5))
        self.assertFalse(guard.record_accepted(PID, 5))
        self.assertTrue(guard.may_send(PID, 5, 1.0))
