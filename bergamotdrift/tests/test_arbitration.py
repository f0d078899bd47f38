import unittest
from unittest import mock

from bergamotdrift.arbitration import Arbitration
from bergamotdrift.pace import Pace
from bergamotdrift.takeover import TakeoverGate
from bergamotdrift.tests.arbiter_schedule import Schedule

SEEDS = 120
STEPS = 600


class ScheduleTests(unittest.TestCase):
    """Guards against excess in-flight requests, double grants and early drains."""

    def run_seeds(self, **options):
        granted = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                schedule = Schedule(seed, **options)
                schedule.run(STEPS)
                granted += sum(schedule.granted.values())
        self.assertGreater(granted, 5 * SEEDS)

    def test_in_flight_stays_within_slots_across_takeovers(self):
        self.run_seeds()

    def test_in_flight_stays_within_the_ramp_across_takeovers(self):
        self.run_seeds(ramp_s=2.0, upstreams=1, slots=4)

    def test_drained_partitions_have_no_running_request(self):
        drained = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                schedule = Schedule(seed, upstreams=1, partitions=3)
                schedule.run(STEPS)
                drained += len(schedule.drained)
        self.assertGreater(drained, SEEDS // 4)

    def test_settled_schedule_leaves_no_permit_behind(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                schedule = Schedule(seed)
                schedule.run(STEPS)
                schedule.settle()
                arbiter = schedule.arbiter
                self.assertEqual((len(arbiter.permits), arbiter.queued), (0, 0))
                for load in arbiter.upstreams:
                    name = load.row.upstream
                    kept = sum(m.kept[name] for m in schedule.entries.values())
                    self.assertEqual(load.in_flight, 0)
                    self.assertGreaterEqual(load.connections.kept, kept)

    def test_schedules_find_a_takeover_that_waits_for_no_report(self):
        with mock.patch.object(TakeoverGate, "is_open", True):
            self.assertGreater(self.count_violations(), 0)

    def test_schedules_find_an_upstream_that_starts_without_ramp(self):
        with mock.patch.object(Pace, "allowed", lambda ramp, now_ms: 4):
            found = self.count_violations(ramp_s=2.0, upstreams=1, slots=4)
            self.assertGreater(found, 0)

    def test_schedules_find_permits_forgotten_with_their_stream(self):
        def forget(arbiter, entry):
            return arbiter._reports.remove_entry(entry) or []

        with mock.patch.object(Arbitration, "disconnect", forget):
            self.assertGreater(self.count_violations(), 0)

    def test_schedules_find_a_drain_report_before_the_last_release(self):
        def all_releasing(arbiter):
            return arbiter._partitions.releasing_partitions()

        with mock.patch.object(Arbitration, "drained", all_releasing):
            self.assertGreater(self.count_violations(upstreams=1, partitions=3), 0)

    def count_violations(self, **options):
        violations = 0
        for seed in range(40):
            try:
                Schedule(seed, **options).run(STEPS)
            except AssertionError:
                violations += 1
        return violations
