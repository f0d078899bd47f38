import itertools
import unittest

from scripts.soak_plan import FaultKind, plan_faults

NAMES = [f"{sort}-{n}" for sort in ("control", "arbiter", "entry") for n in (1, 2, 3)]
SECONDS = 60.0


class PlanTests(unittest.TestCase):
    """Guards the soak against plans that the site may not survive, or that are calm."""

    def plans(self):
        return [plan_faults(seed, SECONDS, NAMES) for seed in range(50)]

    def test_plan_repeats_by_seed(self):
        self.assertEqual(*(plan_faults(7, SECONDS, NAMES) for _ in range(2)))
        self.assertNotEqual(
            plan_faults(7, SECONDS, NAMES), plan_faults(8, SECONDS, NAMES)
        )

    def test_one_control_replica_is_lost_at_a_time(self):
        """A lost quorum would make every refusal right."""
        for plan in self.plans():
            lost = [f for f in plan if f.target.startswith("control-")]
            for one, two in itertools.pairwise(lost):
                self.assertLess(one.end_s, two.at_s)

    def test_process_has_one_fault_at_a_time(self):
        for plan in self.plans():
            for name in NAMES:
                own = [f for f in plan if f.target == name]
                for one, two in itertools.pairwise(own):
                    self.assertLess(one.end_s, two.at_s)

    def test_faults_of_every_kind_come_and_overlap(self):
        plans = self.plans()
        kinds = {fault.kind for plan in plans for fault in plan}
        self.assertEqual(kinds, set(FaultKind))
        for plan in plans:
            pairs = itertools.pairwise(plan)
            self.assertTrue(any(two.at_s < one.end_s for one, two in pairs))


if __name__ == "__main__":
    unittest.main()
