import random
import unittest
from collections import Counter

from bergamotdrift.config.schema import WorkspaceSettings
from bergamotdrift.key_loads import KeyRate
from bergamotdrift.messages import (
    Overloads,
    PartitionState,
    RangeRow,
    UpstreamOverload,
    unpack_body,
)
from bergamotdrift.overload import (
    OPEN_SITE_LIMITS,
    OVERLOAD_TTL_MS,
    RANK_FLOOR,
    SALT_PERIOD_MS,
    Draw,
    OverloadGate,
    admitted_by_rank,
    overloads_of,
    salt_at,
)
from bergamotdrift.range_balance import hot_keys, load_by_range
from bergamotdrift.rank_mix import RankMix
from bergamotdrift.tests.admission_fakes import (
    CAB,
    LOOKUP,
    OWNER,
    QueueModel,
    on_time,
    routed_of,
    served,
)
from bergamotdrift.tests.test_range_planner import PlannerSimulation

ONE_RANK = {0: 1.0}


def draw_of(number, key=None, rank=0):
    return Draw(f"10.0.{number // 250}.{number % 250}", "keys", key or number, rank)


class GateTestCase(unittest.TestCase):
    def setUp(self):
        self.gates = [OverloadGate(random.Random(n)) for n in range(3)]

    def tell(self, permille, salt=1, **changes):
        item = UpstreamOverload(*OWNER, permille)._replace(**changes)
        for gate in self.gates:
            gate.update([item], 0.0, salt)

    def decide(self, draw, gate=0, mix=None, now_ms=10.0):
        return self.gates[gate].decide(OWNER, draw, mix or ONE_RANK, now_ms)

    def admitted(self, count=2000, **changes):
        return sum(self.decide(draw_of(n), **changes).admitted for n in range(count))


class RepetitionTests(GateTestCase):
    """Guards against callers that get through an overload by repeating.

    Load: callers that repeat at once, each time at another entry.
    """

    def test_repeated_request_is_refused_everywhere(self):
        self.tell(300)
        refused = [n for n in range(500) if not self.decide(draw_of(n)).admitted]
        self.assertGreater(len(refused), 250)
        for number in refused:
            for gate in range(3):
                self.assertFalse(self.decide(draw_of(number), gate=gate).admitted)

    def test_admitted_part_is_as_stated(self):
        self.tell(300)
        self.assertAlmostEqual(self.admitted() / 2000, 0.3, delta=0.04)

    # Guards against a caller that is refused for as long as the overload lasts.
    def test_other_callers_are_refused_once_the_salt_changes(self):
        self.tell(300, salt=1)
        before = [self.decide(draw_of(n)).admitted for n in range(500)]
        self.tell(300, salt=2)
        after = [self.decide(draw_of(n)).admitted for n in range(500)]
        admitted_anew = sum(b and not a for a, b in zip(before, after, strict=True))
        self.assertGreater(admitted_anew, 50)

    def test_salt_changes_from_time_to_time(self):
        self.assertEqual(salt_at(10.0), salt_at(SALT_PERIOD_MS - 1))
        self.assertNotEqual(salt_at(10.0), salt_at(SALT_PERIOD_MS + 10))

    # Guards against repetitions that appear as load, so that ever more is refused.
    def test_refused_repetitions_do_not_count_as_load(self):
        self.tell(250)
        counted = 0.0
        for number in range(2000):
            for _ in range(1 if number % 2 else 10):
                decision = self.decide(draw_of(number))
                counted += decision.weight
                if decision.admitted:
                    break
        self.assertAlmostEqual(counted, 2000, delta=250)

    def test_overload_that_is_no_longer_stated_ends(self):
        self.tell(0)
        self.assertEqual(self.admitted(), 0)
        self.assertEqual(self.admitted(now_ms=OVERLOAD_TTL_MS), 2000)
        for gate in self.gates:
            gate.update([], 20.0, 2)
        self.assertEqual(self.admitted(now_ms=30.0), 2000)


class HotKeyGateTests(GateTestCase):
    """Guards against a hot key that is served at one time and not at all at another.

    Load: most requests for an upstream are for one key, from callers behind one
    address.
    """

    def test_hot_key_is_admitted_in_part(self):
        self.tell(300, hot_key=7)
        draw = Draw("10.0.0.1", "keys", 7, 0)
        sent = sum(self.decide(draw).admitted for _ in range(1000))
        self.assertAlmostEqual(sent, 300, delta=60)

    def test_leader_names_the_key_with_a_large_part_of_the_load(self):
        rows = [
            RangeRow("keys", 0, 99, "u1", "1", 4, PartitionState.OWNED),
            RangeRow("keys", 100, 199, "u2", "1", 4, PartitionState.OWNED),
        ]
        even = [KeyRate(key, 1.0) for key in range(100, 120)]
        loads = load_by_range(rows, [KeyRate(3, 9.0), KeyRate(4, 2.0), *even])
        self.assertEqual(hot_keys(loads), {"u1": 3})


class RankTests(GateTestCase):
    """Guards against ranks that are starved or preferred in an overload.

    Load: less urgent requests beside more urgent ones, more than an upstream can serve.
    """

    def test_more_urgent_requests_are_admitted_first(self):
        parts = admitted_by_rank(0.5, {0: 0.75, 1: 0.25})
        self.assertGreater(parts[0], parts[1])
        self.assertAlmostEqual(0.75 * parts[0] + 0.25 * parts[1], 0.5)

    def test_each_rank_is_served(self):
        parts = admitted_by_rank(0.4, {0: 0.9, 1: 0.05, 2: 0.05})
        self.assertGreaterEqual(min(parts.values()), RANK_FLOOR * 0.4)

    def test_rest_goes_to_the_next_rank(self):
        parts = admitted_by_rank(0.8, {0: 0.2, 1: 0.8})
        self.assertAlmostEqual(parts[0], 1.0)
        self.assertAlmostEqual(parts[1], 0.75)

    def test_most_urgent_requests_are_refused_too(self):
        self.tell(300)
        mix = {0: 0.75, 1: 0.25}
        parts: Counter[int] = Counter()
        for number in range(2000):
            for rank in mix:
                draw = draw_of(number, rank=rank)
                parts[rank] += self.decide(draw, mix=mix).admitted
        self.assertAlmostEqual(parts[0] / 2000, 0.375, delta=0.04)
        self.assertAlmostEqual(parts[1] / 2000, 0.075, delta=0.03)

    def test_mix_follows_the_requests_that_admitted_ones_stand_for(self):
        mix = RankMix()
        for _ in range(100):
            mix.add("keys", 0, 1.0, 0.0)
            mix.add("keys", 1, 3.0, 0.0)
        self.assertAlmostEqual(mix.parts("keys")[1], 0.75)
        self.assertEqual(mix.parts("other"), {})


class LeaderTests(unittest.TestCase):
    """Guards against messages that entries of sites with workspaces read otherwise."""

    def test_limits_depend_on_the_site(self):
        usual = overloads_of("s", {"u1": 1.1})
        self.assertEqual(usual, [])
        (found,) = overloads_of("s", {"u1": 1.1}, OPEN_SITE_LIMITS, {"u1": 5})
        self.assertEqual(found, UpstreamOverload("s", "u1", 800, 5))

    def test_message_without_the_new_fields_is_read(self):
        found = unpack_body(["Overloads", [[["s", "u", 5]]]])
        self.assertEqual(found, Overloads([UpstreamOverload("s", "u", 5, -1)], 0))

    def test_planner_uses_the_limits_of_the_site(self):
        sim = PlannerSimulation(1)
        settings = sim.state.settings.current
        assert settings is not None
        open_site = settings._replace(workspaces=())
        sim.state.settings.current = open_site
        self.assertTrue(sim.planner.admits_by_deadline)
        workspace = WorkspaceSettings("w", 1, 1, (), ())
        sim.state.settings.current = settings._replace(workspaces=(workspace,))
        self.assertFalse(sim.planner.admits_by_deadline)


class IdleUpstreamTests(unittest.TestCase):
    """Guards against refusals for an upstream that was just seen idle."""

    def test_recent_report_of_a_free_slot_overrules_the_leader(self):
        model = QueueModel(1)
        entry = model.entries[0]
        overload = UpstreamOverload(*OWNER, 0)
        entry.selector.overloads.update([overload], 0.0, 1)
        routed = routed_of(LOOKUP, "10.0.0.1", 5, 100.0, 2000.0)
        blocked, counted = entry.admission.gate(routed, model.tables, 100.0)
        self.assertIsNotNone(blocked)
        (upstream,) = model.upstreams
        entry.load_of(upstream).record_load(model.stated(upstream), 90.0)
        blocked, counted = entry.admission.gate(routed, model.tables, 100.0)
        self.assertIsNone(blocked)
        # The request passed outside the admitted part, so it stands for no other.
        self.assertEqual(counted, 0)


class OverloadTestCase(unittest.TestCase):
    """Overload one upstream from 4 s to 12 s; callers come back as asked."""

    def model(self, seed, factor, repeats=0):
        model = QueueModel(seed)
        for kind in (LOOKUP, CAB):
            model.offer(kind, 0, 4000)
            model.offer(kind, 4000, 12_000, factor, repeats)
            model.offer(kind, 12_000, 22_000)
        return model


class QueueGrowthTests(OverloadTestCase):
    """Guards against an overload that does not end, or refuses without need.

    Load: an upstream is offered one and a half times what it can serve, by 54 entries.
    """

    def test_usual_load_is_served_without_refusals(self):
        for seed in range(5):
            model = self.model(seed, 1.0)
            model.run(22_000)
            self.assertEqual(sum(model.refused.values()), 0)
            self.assertEqual(on_time(model.calls), 1.0)

    def test_overload_ends_soon_after_its_cause(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                model = self.model(seed, 3.5)
                model.run(22_000)
                during = model.of_time(5000, 12_000)
                after = model.of_time(15_000, 20_000)
                self.assertGreater(served(during), 0.5)
                self.assertGreater(on_time(after), 0.95)
                self.assertLess(model.ignored, 0.05 * len(model.calls))

    def test_each_rank_is_served_and_the_more_urgent_one_first(self):
        lookups, cabs = [], []
        for seed in range(5):
            model = self.model(seed, 3.5)
            model.run(22_000)
            lookups += model.of_time(5000, 12_000, LOOKUP)
            cabs += model.of_time(5000, 12_000, CAB)
        self.assertGreater(served(cabs), 0.25)
        self.assertGreater(served(lookups), served(cabs))


class RepeatingCallerTests(OverloadTestCase):
    """Guards against repetitions that leave less room to all.

    Load: all callers repeat at once and often while the upstream is overloaded.
    """

    def test_repetitions_do_not_lower_what_is_served(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                model = self.model(seed, 3.5, repeats=8)
                model.run(22_000)
                self.assertGreater(served(model.of_time(5000, 12_000)), 0.5)
                self.assertGreater(on_time(model.of_time(5000, 12_000)), 0.3)
                self.assertGreater(on_time(model.of_time(15_000, 20_000)), 0.95)


class PowerLossTests(unittest.TestCase):
    """Guards against an overload that outlasts the return of all callers.

    Load: after a power loss all callers return within 50 ms, ten times as many as an
    upstream serves in half a second, beside the usual load.
    """

    def test_way_into_the_overload_and_out_of_it(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                model = QueueModel(seed)
                for kind in (LOOKUP, CAB):
                    model.offer(kind, 0, 4000)
                    model.offer(kind, 5000, 20_000)
                for _ in range(150):
                    model.offer_one(LOOKUP, 5000 + 50 * model.rng.random())
                model.run(20_000)
                # The queue is full at once, and some of the callers are refused.
                self.assertGreater(sum(model.refused.values()), 20)
                self.assertLess(on_time(model.of_time(5000, 5050)), 0.3)
                self.assertGreater(on_time(model.of_time(8000, 10_000)), 0.85)
                self.assertGreater(on_time(model.of_time(10_000, 18_000)), 0.95)

    # Guards against callers that wait in vain for upstreams that ignore them.
    def test_most_callers_are_refused_instead_of_ignored(self):
        model = QueueModel(1, upstreams=55)
        for kind in (LOOKUP, CAB):
            model.offer(kind, 0, 2000)
        for _ in range(60 * 55):
            model.offer_one(LOOKUP, 3000 + 300 * model.rng.random())
        model.run(6000)
        self.assertEqual(on_time(model.of_time(0, 2000)), 1.0)
        returned = model.of_time(3000, 3300)
        # Without the recognition of floods, 1,599 are ignored and 0.49 are served.
        self.assertLess(model.ignored, 1100)
        self.assertGreater(served(returned), 0.55)


class LostLeaderTests(OverloadTestCase):
    """Guards against an overload that lasts if the leader is lost.

    Load: as before, while entries know of reported loads alone.
    """

    def test_overload_ends_without_a_leader(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                model = self.model(seed, 3.5)
                model.tells = False
                model.run(22_000)
                self.assertGreater(sum(model.refused.values()), 0)
                self.assertGreater(on_time(model.of_time(15_000, 20_000)), 0.95)


if __name__ == "__main__":
    unittest.main()
