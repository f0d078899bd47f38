import unittest

from bergamotdrift.leader_reachability import REPORT_TTL_MS, LeaderReachability

NODES = ("n1", "n2", "n3", "n4")


class LeaderReachabilityTests(unittest.TestCase):
    """Guards against a leader that nodes can't reach, and needless transfers."""

    def test_majority_of_the_nodes_must_report(self):
        reachability = LeaderReachability()
        requested = [reachability.add(node, NODES, 0.0) for node in ("n1", "n2", "n2")]
        self.assertEqual(requested, [False, False, False])
        self.assertTrue(reachability.add("n3", NODES, 10.0))

    def test_old_reports_and_unknown_nodes_do_not_count(self):
        reachability = LeaderReachability()
        reachability.add("n1", NODES, 0.0)
        reachability.add("foreign", NODES, REPORT_TTL_MS)
        reachability.add("n2", NODES, REPORT_TTL_MS)
        self.assertFalse(reachability.add("n3", NODES, REPORT_TTL_MS))

    def test_leader_has_time_to_transfer_leadership(self):
        reachability = LeaderReachability()
        requested = [reachability.add(node, NODES, 0.0) for node in NODES]
        self.assertEqual(requested, [False, False, True, False])
