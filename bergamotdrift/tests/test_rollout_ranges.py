import unittest

from bergamotdrift import control_commands as cmd
from bergamotdrift.messages import (
    LAST_KEY,
    KeyLoad,
    NodeRow,
    PartitionState,
    Role,
    RolloutState,
    UpstreamRow,
    UpstreamState,
    VersionResult,
)
from bergamotdrift.rollout_plan import RolloutPlanner
from bergamotdrift.tests.test_range_planner import FakeUpstream, PlannerSimulation
from bergamotdrift.version_results import latency_bucket

OLD, NEW = 8, 8
SHARE_PERMILLE = 50
REQUESTS_PER_S = 800


class RangeRolloutSimulation(PlannerSimulation):
    """Run a keyed service with uniform load and upstreams of two versions."""

    versions: dict[str, str]

    def __init__(self, seed, new_before_order=0):
        self.versions = {}
        self.reported_ms = 0.0
        super().__init__(seed, 0)
        for number in range(OLD):
            self.start(f"u{number}", "v1")
        for number in range(new_before_order):
            self.start(f"u{OLD + number}", "v2")

    def start(self, name, version):
        self.versions[name] = version
        born = int(self.now) + 1
        self.upstreams[name] = FakeUpstream(name, born, 0.0)
        address = f"10.0.0.1:{int(name[1:]) + 1}"
        ready = UpstreamState.READY
        row = UpstreamRow("cases", name, address, "a", str(born), ready, 2, born)
        self.apply(cmd.PutUpstreams([row._replace(version=version)]))

    def run(self, ms, fault=0.0):
        end_ms = self.now + ms
        while self.now < end_ms:
            if self.now - self.reported_ms >= 250.0:
                self.reported_ms = self.now
                count = REQUESTS_PER_S // 4
                step = (LAST_KEY + 1) / count
                loads = [KeyLoad("cases", int(i * step), 1) for i in range(count)]
                self.planner.add_loads(loads, self.now)
            super().run(50.0, fault)

    def order(self):
        order = cmd.StartRollout("cases", "v2", 12_000, 0, SHARE_PERMILLE)
        assert self.apply(order).result is cmd.OrderResult.STARTED

    def step(self, state, permille):
        row = self.state.rows.rollouts.get("cases")
        assert row is not None
        self.apply(cmd.StepRollout("cases", row.number, state, permille, "test"))

    def part_of(self, version):
        """Return the part of the keys that a version owns, in any state."""
        rows = self.state.rows.ranges_of("cases")
        keys = sum(
            row.last - row.first + 1
            for row in rows
            if self.versions.get(row.upstream) == version
        )
        return keys / (LAST_KEY + 1)

    def all_owned(self):
        rows = self.state.rows.ranges_of("cases")
        return all(row.state is PartitionState.OWNED for row in rows)


class RangeRolloutTests(unittest.TestCase):
    """Guards against keys that go to a new version above its share, or stay there.

    The simulation checks that no key ever has two owners.
    """

    def ordered(self, seed=1, **options):
        sim = RangeRolloutSimulation(seed, **options)
        sim.run(6000)
        sim.order()
        for number in range(NEW):
            if f"u{OLD + number}" not in sim.versions:
                sim.start(f"u{OLD + number}", "v2")
        return sim

    def test_new_version_gets_a_share_of_the_keys(self):
        for seed in range(3):
            sim = self.ordered(seed)
            largest = 0.0
            for _ in range(12):
                sim.run(500)
                largest = max(largest, sim.part_of("v2"))
            self.assertGreater(largest, 0.01)
            self.assertLess(largest, 0.08)

    def test_everything_moves_at_the_end(self):
        for fault in (0.0, 0.1):
            with self.subTest(fault=fault):
                sim = self.ordered()
                sim.run(5000, fault)
                sim.step(RolloutState.RUNNING, 1000)
                sim.run(4000 if not fault else 8000, fault)
                self.assertEqual(sim.part_of("v2"), 1.0)
                sim.step(RolloutState.COMPLETED, 1000)
                sim.run(3000)
                self.assertEqual(sim.part_of("v2"), 1.0)
                self.assertTrue(sim.all_owned())

    def test_keys_move_back_on_a_rollback(self):
        for permille in (SHARE_PERMILLE, 1000):
            with self.subTest(permille=permille):
                sim = self.ordered()
                sim.run(5000)
                sim.step(RolloutState.RUNNING, permille)
                sim.run(700)
                sim.step(RolloutState.ROLLED_BACK, 0)
                sim.run(4000)
                self.assertEqual(sim.part_of("v1"), 1.0)
                self.assertTrue(sim.all_owned())

    def test_upstreams_that_came_before_the_order_give_keys_back(self):
        sim = self.ordered(new_before_order=NEW)
        self.assertGreater(sim.part_of("v2"), 0.3)
        sim.run(5000)
        self.assertLess(sim.part_of("v2"), 0.1)

    def test_new_leader_keeps_the_share(self):
        sim = self.ordered()
        sim.run(3000)
        sim.new_leader()
        sim.run(5000)
        self.assertLess(sim.part_of("v2"), 0.08)
        sim.step(RolloutState.RUNNING, 1000)
        sim.new_leader()
        sim.run(9000)
        self.assertEqual(sim.part_of("v2"), 1.0)

    def test_lost_upstream_of_the_new_version_is_replaced_by_old_ones(self):
        sim = self.ordered()
        sim.run(5000)
        owners = {row.upstream for row in sim.state.rows.ranges_of("cases")}
        lost = next(name for name in sorted(owners) if sim.versions[name] == "v2")
        sim.upstreams[lost].alive = False
        sim.run(6000)
        owners = {row.upstream for row in sim.state.rows.ranges_of("cases")}
        self.assertNotIn(lost, owners)
        self.assertLess(sim.part_of("v2"), 0.08)

    def test_evacuation_during_a_rollout(self):
        sim = self.ordered()
        sim.run(5000)
        sim.apply(cmd.SetEvacuation("a", True))
        sim.run(500)
        sim.apply(cmd.SetEvacuation("a", False))
        sim.run(3000)
        self.assertLess(sim.part_of("v2"), 0.08)
        sim.step(RolloutState.RUNNING, 1000)
        sim.run(4000)
        self.assertEqual(sim.part_of("v2"), 1.0)


class RangeCompletionTests(unittest.TestCase):
    """Guards against a completion while the old version has keys or requests."""

    def setUp(self):
        self.sim = RangeRolloutSimulation(1)
        self.sim.run(6000)
        rows = [NodeRow(f"e{n}", Role.ENTRY, "i", f"vm{n}", "a", "") for n in (1, 2)]
        self.sim.apply(cmd.RegisterNodes(rows))
        self.sim.order()
        self.ordered_ms = self.sim.now
        for number in range(NEW):
            self.sim.start(f"u{OLD + number}", "v2")
        self.rollouts = RolloutPlanner(self.sim.state, None, -self.ordered_ms)
        self.failures = self.old_running = 0
        self.sent = {"v1": 0.0, "v2": 0.0}

    def run_for(self, ms):
        """Report each 250 ms what entries would count by the owners of the keys."""
        end_ms = self.sim.now + ms
        while self.sim.now < end_ms:
            self.sim.run(250)
            for version in self.sent:
                part = self.sim.part_of(version)
                self.sent[version] += REQUESTS_PER_S / 4 * part
            self.report("e1", self.results())
            self.report("e2", [self.result("v2", "")])
            for step in self.rollouts.commands(self.sim.now):
                self.sim.apply(step)

    def report(self, node, results):
        self.rollouts.add_results(node, self.sim.state.feed_index, results)

    def results(self):
        counts = [0] * latency_bucket(50.0)
        old, new = (round(self.sent[v]) for v in ("v1", "v2"))
        failed = min(new, self.failures)
        return [
            self.result("v2", ""),
            self.result("v1", "")._replace(running=self.old_running),
            self.result("v1", "r")._replace(sent=old, latencies=[*counts, old]),
            self.result("v2", "r")._replace(
                sent=new, failures=failed, latencies=[*counts, new - failed]
            ),
        ]

    def result(self, version, route):
        return VersionResult("cases", self.row().number, version, route)

    def row(self):
        return self.sim.state.rows.rollouts.get("cases")

    def elapsed_ms(self):
        return self.sim.now - self.ordered_ms

    def test_good_version_completes_with_all_keys(self):
        while self.row().state is RolloutState.RUNNING and self.elapsed_ms() < 12_000:
            self.run_for(250)
        self.assertIs(self.row().state, RolloutState.COMPLETED)
        self.assertEqual(self.sim.part_of("v2"), 1.0)
        self.assertTrue(self.sim.all_owned())

    def test_completion_waits_for_running_requests(self):
        self.old_running = 1
        self.run_for(13_000)
        self.assertIs(self.row().state, RolloutState.RUNNING)
        self.assertEqual(self.sim.part_of("v2"), 1.0)
        self.old_running = 0
        self.run_for(500)
        self.assertIs(self.row().state, RolloutState.COMPLETED)

    def test_bad_version_loses_its_keys(self):
        self.run_for(4000)
        self.assertGreater(self.sim.part_of("v2"), 0.01)
        self.failures = 20
        self.run_for(500)
        self.assertIs(self.row().state, RolloutState.ROLLED_BACK)
        self.run_for(3000)
        self.assertEqual(self.sim.part_of("v2"), 0.0)


if __name__ == "__main__":
    unittest.main()
