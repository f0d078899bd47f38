import itertools
import unittest

from scripts.soak_plan import FaultKind, plan_faults

PROCESS_NAMES = [
    f"{role}-{n}" for role in ("control", "arbiter", "entry") for n in (1, 2, 3)
]
DURATION_S = 60.0


class FaultScheduleTests(unittest.TestCase):
    """Guards against schedules that lose the quorum or omit faults or overlaps."""

    def schedules(self):
        return [plan_faults(seed, DURATION_S, PROCESS_NAMES) for seed in range(50)]

    def test_schedule_is_reproducible_by_seed(self):
        self.assertEqual(*(plan_faults(7, DURATION_S, PROCESS_NAMES) for _ in range(2)))
        self.assertNotEqual(
            plan_faults(7, DURATION_S, PROCESS_NAMES),
            plan_faults(8, DURATION_S, PROCESS_NAMES),
        )

    def test_one_control_replica_is_lost_at_a_time(self):
        """Without a quorum every refusal is correct, so the soak checks nothing."""
        for schedule in self.schedules():
            lost = [f for f in schedule if f.target.startswith("control-")]
            for first, second in itertools.pairwise(lost):
                self.assertLess(first.end_s, second.at_s)

    def test_process_has_one_fault_at_a_time(self):
        for schedule in self.schedules():
            for name in PROCESS_NAMES:
                own = [f for f in schedule if f.target == name]
                for first, second in itertools.pairwise(own):
                    self.assertLess(first.end_s, second.at_s)

    def test_all_fault_kinds_occur_and_overlap(self):
        schedules = self.schedules()
        kinds = {fault.kind for schedule in schedules for fault in schedule}
        self.assertEqual(kinds, set(FaultKind))
        for schedule in schedules:
            pairs = itertools.pairwise(schedule)
            self.assertTrue(any(second.at_s < first.end_s for first, second in pairs))


if __name__ == "__main__":
    unittest.main()
