import unittest

from bergamotdrift.messages import LoadReport, PartitionLoad
from bergamotdrift.partition_loads import PartitionLoads


class WeightTests(unittest.TestCase):
    """Guards against a division by zero that ended the leader's planning rounds."""

    def test_no_partitions_have_no_weights(self):
        self.assertEqual(PartitionLoads().weights([], 0.0), {})

    def test_unknown_partitions_weigh_the_same(self):
        self.assertEqual(PartitionLoads().weights([1, 2], 0.0), {1: 1.0, 2: 1.0})

    def test_weights_have_a_mean_of_one_and_keep_idle_partitions(self):
        loads = PartitionLoads()
        parts = [PartitionLoad(1, 90), PartitionLoad(2, 10), PartitionLoad(3, 0)]
        loads.add(LoadReport("cases", 1000, parts, []), 0.0)
        weights = loads.weights([1, 2, 3], 0.0)
        self.assertAlmostEqual(sum(weights.values()), 3.0)
        self.assertGreater(weights[1], weights[2])
        self.assertGreater(weights[3], 0.0)
