import itertools
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift import control_commands as cmd
from bergamotdrift.config.schema import (
    ColdStartSettings,
    Fencing,
    ServiceKind,
    ServiceSettings,
    SiteSettings,
    ZoneSettings,
    ZoneState,
)
from bergamotdrift.control_state import ControlState
from bergamotdrift.key_loads import KeyRate
from bergamotdrift.messages import (
    LAST_KEY,
    KeyLoad,
    PartitionState,
    RangeRow,
    UpstreamRow,
    UpstreamSpeed,
    UpstreamState,
)
from bergamotdrift.range_balance import RowLoad, choose_range_moves
from bergamotdrift.range_layout import MAX_RANGES_PER_UPSTREAM
from bergamotdrift.range_leases import (
    CALL_TIMEOUT_MS,
    CLOCK_DRIFT,
    HOLD_MS,
    RangeLeases,
    owner_process,
)
from bergamotdrift.range_planner import RangePlanner
from bergamotdrift.upstream_speeds import UpstreamSpeeds

SERVICE = ServiceSettings(
    "cases",
    ServiceKind.RANGED,
    0,
    Fencing.EPOCH,
    2,
    40,
    ColdStartSettings(1, 3.0, 10.0),
    2000,
    100,
)
SETTINGS = SiteSettings("s", (ZoneSettings("a", ZoneState.IN),), (SERVICE,), (), ())


def row(first=0, last=LAST_KEY, upstream="u1", epoch=5, state=PartitionState.OWNED):
    return RangeRow("cases", first, last, upstream, "1", epoch, state)


class FakeUpstream:
    """Upstream that keeps its grants by a clock that may be slow."""

    def __init__(self, name, born, clock_drift):
        self.name, self.born, self.clock_drift = name, born, clock_drift
        self.alive = self.reachable = True
        self.grants = []  # first, last, epoch, end

    def grant(self, first, last, epoch, now):
        end = now + HOLD_MS * (1 + self.clock_drift)
        for held in self.grants:
            if held[2] > epoch and held[0] <= last and first <= held[1]:
                return False
        self.grants = [h for h in self.grants if h[:3] != (first, last, epoch)]
        self.grants.append((first, last, epoch, end))
        return True

    def release(self, first, last, now):
        kept = []
        for low, high, epoch, end in self.grants:
            if low < first:
                kept.append((low, min(high, first - 1), epoch, end))
            if last < high:
                kept.append((max(low, last + 1), high, epoch, end))
        self.grants = [h for h in kept if h[0] <= h[1]]

    def keys(self, now):
        return [(h[0], h[1]) for h in self.grants if h[3] > now and self.alive]


class PlannerSimulation:
    """Runs a planner against fake upstreams, with failed and delayed calls.

    The commands of a round are applied after `commit_ms`, then the next round starts.
    """

    def __init__(self, seed, count=4, commit_ms=0.0, zones="a"):
        self.commit_ms = commit_ms
        self.zones = zones
        self.proposed = []
        self.committed_at = 0.0
        self.rng = random.Random(seed)
        self.state = ControlState()
        self.state.settings.current = SETTINGS
        self.index, self.now = 1, 0.0
        self.last_seen = {}
        self.upstreams = {}
        self.planner = RangePlanner(self.state, self, 0.0)
        self.delayed_calls = []  # time, call
        self.order_due_ms = {}
        for number in range(count):
            self.start_upstream(f"u{number}")

    def last_seen_ms(self, up):
        return self.last_seen.get(up.upstream, 0.0)

    def apply(self, command):
        self.index += 1
        return self.state.apply_command(self.index, command)

    def start_upstream(self, name, state=UpstreamState.READY):
        self.restart_unannounced(name)
        self.announce(name, state)

    def restart_unannounced(self, name):
        born = int(self.now) + 1
        self.upstreams[name] = FakeUpstream(
            name, born, self.rng.choice((0.0, CLOCK_DRIFT))
        )

    def announce(self, name, state):
        born = self.upstreams[name].born
        zone = self.zones[int(name[1:]) % len(self.zones)]
        up = UpstreamRow(
            "cases", name, f"10.0.0.1:{name[1:]}", zone, str(born), state, 2, born
        )
        self.apply(cmd.PutUpstreams([up]))

    def new_leader(self):
        self.planner = RangePlanner(self.state, self, self.now)
        self.order_due_ms = {}
        self.proposed = []

    def run(self, ms, fault=0.0):
        end = self.now + ms
        while self.now < end:
            self.now += 50.0
            for name, upstream in self.upstreams.items():
                if upstream.alive and upstream.reachable:
                    self.last_seen[name] = self.now
            for at, call in [c for c in self.delayed_calls if c[0] <= self.now]:
                self.delayed_calls.remove((at, call))
                call()
            self.round()
            for held in self.state.rows.ranges_of("cases"):
                self.send_order(held, fault)
            self.check_sole_ownership()

    def round(self):
        if self.proposed and self.now < self.committed_at:
            return
        for command in self.proposed:
            self.apply(command)
        self.proposed = self.planner.commands(self.now)
        self.committed_at = self.now + self.commit_ms
        if not self.commit_ms:
            for command in self.proposed:
                self.apply(command)
            self.proposed = []

    def send_order(self, held, fault):
        process = owner_process(held)
        if self.planner.upstream_row(process) is None or self.planner.is_lost(
            process, self.now
        ):
            return
        key = (held.first, held.last, held.epoch, held.state)
        if self.order_due_ms.get(key, 0.0) > self.now:
            return
        self.order_due_ms[key] = self.now + 900
        upstream = self.upstreams[held.upstream]
        answers = upstream.alive and upstream.reachable and self.rng.random() >= fault
        if held.state is PartitionState.RELEASING:
            if answers:
                upstream.release(held.first, held.last, self.now)
                self.planner.leases.record_released(held, "token")
            return
        leases = self.planner.leases
        if not leases.begin_grant(held):
            return
        if upstream.alive and upstream.reachable:
            arrived = self.now
            late_ms = 0.0 if answers else self.rng.choice((0.0, 1200.0, 2500.0))
            grant = (held.first, held.last, held.epoch, arrived)
            if late_ms:
                self.delayed_calls.append((
                    arrived + late_ms,
                    lambda: upstream.grant(*grant),
                ))
            else:
                upstream.grant(*grant)
        leases.end_grant(held, answers, True, self.now)
        if answers and held.state is PartitionState.VACANT:
            leases.record_accepted(held)

    def check_sole_ownership(self):
        spans = sorted(
            (low, high, name)
            for name, upstream in self.upstreams.items()
            for low, high in upstream.keys(self.now)
        )
        for (_, high, one), (low, _, two) in itertools.pairwise(spans):
            if one != two:
                assert low > high, (self.now, one, two, low, high)

    def owned_keys(self):
        rows = self.state.rows.ranges_of("cases")
        return sum(
            r.last - r.first + 1 for r in rows if r.state is PartitionState.OWNED
        )


class OwnershipTests(unittest.TestCase):
    """Guards against two owners of a key after lost upstreams, replies or leaders."""

    def test_keys_of_a_lost_upstream_are_served_again(self):
        sim = PlannerSimulation(1)
        sim.run(3000)
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)
        sim.upstreams["u1"].alive = False
        sim.run(HOLD_MS + 2500)
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)
        owners = {r.upstream for r in sim.state.rows.ranges_of("cases")}
        self.assertNotIn("u1", owners)

    def test_unreachable_upstream_keeps_its_keys_until_its_grants_expire(self):
        sim = PlannerSimulation(2)
        sim.run(3000)
        sim.upstreams["u1"].reachable = False
        held = sim.state.rows.ranges_of("cases")
        sim.run(1500)
        self.assertEqual(sim.state.rows.ranges_of("cases"), held)

    def test_leaving_upstream_hands_over_its_keys_with_their_state(self):
        sim = PlannerSimulation(3)
        sim.run(3000)
        sim.announce("u1", UpstreamState.LEAVING)
        sim.run(600)
        rows = sim.state.rows.ranges_of("cases")
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)
        self.assertNotIn("u1", {r.upstream for r in rows})
        self.assertIn("token", {r.handover for r in rows})

    def test_evacuated_zone_holds_no_keys(self):
        sim = PlannerSimulation(4)
        other = UpstreamRow(
            "cases", "u9", "10.0.0.9:1", "b", "1", UpstreamState.READY, 2, 1
        )
        sim.upstreams["u9"] = FakeUpstream("u9", 1, 0.0)
        sim.apply(cmd.PutUpstreams([other]))
        sim.run(3000)
        sim.apply(cmd.SetEvacuation("a", True))
        sim.run(1500)
        rows = sim.state.rows.ranges_of("cases")
        self.assertEqual({r.upstream for r in rows}, {"u9"})

    def test_restarted_upstream_gets_a_higher_epoch(self):
        sim = PlannerSimulation(5)
        sim.run(3000)
        before = {r.first: r.epoch for r in sim.state.rows.ranges_of("cases")}
        sim.start_upstream("u1")
        sim.run(1500)
        for held in sim.state.rows.ranges_of("cases"):
            if held.upstream == "u1":
                self.assertGreater(held.epoch, max(before.values()))

    # Guards against assigning the keys of a restarted upstream elsewhere while its new
    # process holds them by a renewal that was meant for the earlier process.
    def test_keys_wait_for_grants_that_reached_a_restarted_upstream(self):
        sim = PlannerSimulation(6)
        sim.run(3000)
        sim.restart_unannounced("u1")
        sim.run(1500)
        self.assertTrue(sim.upstreams["u1"].keys(sim.now))
        sim.announce("u1", UpstreamState.COLD)
        sim.run(HOLD_MS + 1500)
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)
        owners = {r.upstream for r in sim.state.rows.ranges_of("cases")}
        self.assertNotIn("u1", owners)

    @given(st.integers(0, 10_000))
    def test_no_key_has_two_owners_under_random_faults(self, seed):
        self.run_random_faults(PlannerSimulation(seed))

    @given(st.integers(0, 10_000))
    def test_no_key_has_two_owners_while_commands_are_being_committed(self, seed):
        self.run_random_faults(PlannerSimulation(seed, commit_ms=150.0))

    def test_upstream_that_returns_during_reassignment_of_its_keys_gets_no_grant(self):
        sim = PlannerSimulation(8, commit_ms=200.0)
        sim.run(3000)
        lost = sim.upstreams["u1"]
        lost.reachable = False
        while not self.is_reassigning(sim, "u1"):
            sim.run(50)
            self.assertLess(sim.now, 12_000)
        # The upstream responds again before the command is applied.
        lost.reachable = True
        sim.run(100)
        self.assertEqual(lost.keys(sim.now), [])
        sim.run(1500)
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)

    def is_reassigning(self, sim, name):
        return any(row.upstream == name for c in sim.proposed for row in c.expected)

    @given(st.integers(0, 10_000))
    @settings(max_examples=10)
    def test_no_key_of_a_large_service_has_two_owners_under_random_faults(self, seed):
        self.run_random_faults(PlannerSimulation(seed, count=34))

    def run_random_faults(self, sim):
        sim.run(2500)
        for _ in range(4):
            name = sim.rng.choice(list(sim.upstreams))
            fault = sim.rng.choice((
                "kill",
                "restart",
                "announce",
                "cut",
                "heal",
                "leave",
                "leader",
                "load",
            ))
            if fault == "kill":
                sim.upstreams[name].alive = False
            elif fault == "restart":
                sim.restart_unannounced(name)
            elif fault == "announce" and sim.upstreams[name].alive:
                sim.announce(name, UpstreamState.READY)
            elif fault == "cut":
                sim.upstreams[name].reachable = False
            elif fault == "heal":
                sim.upstreams[name].reachable = True
            elif fault == "leave" and sim.upstreams[name].alive:
                sim.announce(name, UpstreamState.LEAVING)
            elif fault == "leader":
                sim.new_leader()
            else:
                start = sim.rng.randrange(60_000)
                loads = [KeyLoad("cases", start + n, 20) for n in range(0, 40, 4)]
                sim.planner.add_loads(loads, sim.now)
            sim.run(sim.rng.choice((300, 1500, 4000)), sim.rng.choice((0, 0.4)))


class RangeCountTests(unittest.TestCase):
    """Guards against ranges whose number grows with each planned change."""

    UPSTREAMS = 9

    def run_with_load(self, sim, ms):
        end = sim.now + ms
        while sim.now < end:
            keys = sorted({sim.rng.randrange(LAST_KEY + 1) for _ in range(60)})
            sim.planner.add_loads([KeyLoad("cases", key, 1) for key in keys], sim.now)
            sim.run(250)

    def loaded_simulation(self, seed):
        sim = PlannerSimulation(seed, count=self.UPSTREAMS, zones="abc")
        self.run_with_load(sim, 4000)
        return sim

    def evacuate_in_turn(self, sim, times):
        for number in range(times):
            zone = sim.zones[number % len(sim.zones)]
            sim.apply(cmd.SetEvacuation(zone, True))
            self.run_with_load(sim, 3500)
            sim.apply(cmd.SetEvacuation(zone, False))
            self.run_with_load(sim, 1300)

    def count_ranges(self, sim):
        return len(sim.state.rows.ranges_of("cases"))

    # Guards against a leader that has to renew thousands of ranges, since each zone
    # that is evacuated and taken back doubles their number.
    def test_zones_evacuated_in_turn_leave_few_ranges(self):
        sim = self.loaded_simulation(11)
        self.evacuate_in_turn(sim, 9)
        self.assertLessEqual(
            self.count_ranges(sim), MAX_RANGES_PER_UPSTREAM * self.UPSTREAMS
        )
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)

    # Guards against the same growth by upstreams that are replaced one by one.
    def test_upstreams_replaced_in_turn_leave_few_ranges(self):
        sim = self.loaded_simulation(12)
        for number in range(18):
            name = f"u{number % self.UPSTREAMS}"
            sim.announce(name, UpstreamState.LEAVING)
            self.run_with_load(sim, 2500)
            sim.start_upstream(name)
            self.run_with_load(sim, 1000)
        self.assertLessEqual(
            self.count_ranges(sim), MAX_RANGES_PER_UPSTREAM * self.UPSTREAMS
        )

    # Guards against many narrow ranges that stay in the log after their cause has
    # ended, and with them no room to move a hot key.
    def test_too_many_ranges_become_fewer_again(self):
        sim = self.loaded_simulation(13)
        for held in sim.state.rows.ranges_of("cases"):
            step = (held.last - held.first + 1) // 40
            starts = [held.first + n * step for n in range(40)]
            ends = [start - 1 for start in starts[1:]] + [held.last]
            names = sorted(sim.upstreams)
            parts = [
                held._replace(
                    first=first,
                    last=last,
                    epoch=0,
                    state=PartitionState.VACANT,
                    upstream=(up := names[n % len(names)]),
                    incarnation=str(sim.upstreams[up].born),
                )
                for n, (first, last) in enumerate(zip(starts, ends, strict=True))
            ]
            sim.apply(cmd.ReplaceRanges("cases", [held], parts))
        for upstream in sim.upstreams.values():
            upstream.grants = []
        self.run_with_load(sim, 60_000)
        self.assertLessEqual(
            self.count_ranges(sim), MAX_RANGES_PER_UPSTREAM * self.UPSTREAMS
        )
        self.assertEqual(sim.owned_keys(), LAST_KEY + 1)


class LargeServiceTests(unittest.TestCase):
    """Guards against one slow upstream that blocks the balancing of all others."""

    COUNT = 64

    def overload(self, sim, upstreams):
        """Reports three times the usual load for the keys of some upstreams."""
        width = (LAST_KEY + 1) // self.COUNT
        for number in range(self.COUNT):
            keys = range(number * width, (number + 1) * width, width // 16)
            requests = 6 if number < upstreams else 2
            loads = [KeyLoad("cases", key, requests) for key in keys]
            sim.planner.add_loads(loads, sim.now)

    def moved(self, sim):
        rows = sim.state.rows.ranges_of("cases")
        return len(rows) - self.COUNT

    def test_balancing_continues_while_an_owner_does_not_answer(self):
        sim = PlannerSimulation(6, self.COUNT)
        sim.run(3000)
        self.overload(sim, 12)
        # The release of its own keys, at the first balancing, is never answered.
        sim.upstreams["u0"].release = lambda *_: None
        leases = sim.planner.leases
        original = leases.record_released

        def record_released(held, token):
            if held.upstream != "u0":
                original(held, token)

        with mock.patch.object(leases, "record_released", record_released):
            sim.run(600)
            first = self.moved(sim)
            self.overload(sim, 12)
            sim.run(1000)
            self.assertGreater(self.moved(sim), first)

    # Guards against overloaded upstreams that wait while others finish long requests.
    def test_balancing_continues_while_several_releases_take_long(self):
        sim = PlannerSimulation(8, self.COUNT)
        sim.run(3000)
        self.overload(sim, 8)
        for number in range(8):
            sim.upstreams[f"u{number}"].release = lambda *_: None
        with mock.patch.object(sim.planner.leases, "record_released"):
            sim.run(600)
            first = self.moved(sim)
            self.overload(sim, 20)
            sim.run(1000)
            self.assertGreater(self.moved(sim), first)

    # Guards against moves, each of which stops requests for its keys, without a cause.
    def test_random_differences_of_few_requests_cause_few_moves(self):
        sim = PlannerSimulation(9, self.COUNT)
        sim.run(3000)
        for name in sim.upstreams:
            sim.planner.speeds.add("e1", [UpstreamSpeed("cases", name, 250)])
        changed = 0
        for _ in range(40):
            # Four requests per second and upstream, half of its capacity.
            keys = [sim.rng.randrange(LAST_KEY + 1) for _ in range(2 * self.COUNT)]
            sim.planner.add_loads([KeyLoad("cases", k, 1) for k in keys], sim.now)
            before = {r.epoch for r in sim.state.rows.ranges_of("cases")}
            sim.run(500)
            after = {r.epoch for r in sim.state.rows.ranges_of("cases")}
            changed += len(after - before)
        # One new owner a second.
        self.assertLess(changed, 20)

    def test_number_of_concurrent_moves_grows_with_the_service(self):
        sim = PlannerSimulation(7, self.COUNT)
        sim.run(3000)
        self.overload(sim, 20)
        releasing = 0
        for _ in range(12):
            self.overload(sim, 20)
            for command in sim.planner.commands(sim.now):
                sim.apply(command)
            sim.now += 50.0
            rows = sim.state.rows.ranges_of("cases")
            states = [held.state for held in rows]
            releasing = max(releasing, states.count(PartitionState.RELEASING))
        self.assertEqual(releasing, self.COUNT // 8)


class RangeLeaseTests(unittest.TestCase):
    """Guards against reuse of keys while a grant of unknown arrival time is valid."""

    def test_unanswered_grant_counts_from_the_end_of_its_call(self):
        leases = RangeLeases(0.0)
        held = row()
        leases.begin_grant(held)
        self.assertFalse(leases.ownership_ended(held, 1e9))
        leases.end_grant(held, False, True, 10_000.0)
        self.assertFalse(leases.ownership_ended(held, 10_000.0 + HOLD_MS * 1.02))
        self.assertTrue(leases.ownership_ended(held, 10_000.0 + HOLD_MS * 1.02 + 151))

    def test_new_leader_waits_for_grants_of_earlier_leaders(self):
        leases = RangeLeases(5000.0)
        # A call by the previous leader may have begun just before the term.
        last_ms = 5000.0 + CALL_TIMEOUT_MS + HOLD_MS * 1.02
        self.assertFalse(leases.ownership_ended(row(), last_ms))
        self.assertTrue(leases.ownership_ended(row(), last_ms + 151))

    def test_released_keys_wait_for_an_unanswered_grant_of_a_wider_range(self):
        leases = RangeLeases(0.0)
        leases.begin_grant(row())
        leases.end_grant(row(), False, True, 10_000.0)
        leases.begin_grant(row())
        leases.end_grant(row(), True, True, 10_200.0)
        part = row(40, 60, state=PartitionState.RELEASING)
        leases.record_released(part, "token")
        self.assertFalse(leases.ownership_ended(part, 10_000.0 + HOLD_MS))
        self.assertTrue(leases.ownership_ended(part, 10_000.0 + HOLD_MS * 1.02 + 151))

    def test_released_keys_wait_for_a_grant_that_was_answered_during_the_release(self):
        leases = RangeLeases(0.0)
        part = row(40, 60, state=PartitionState.RELEASING)
        leases.begin_grant(row())
        leases.record_released(part, "token")
        self.assertFalse(leases.ownership_ended(part, 10_000.0))
        leases.end_grant(row(), True, False, 10_000.0)
        self.assertFalse(leases.ownership_ended(part, 10_000.0 + HOLD_MS))

    def test_renewals_of_the_remaining_keys_do_not_delay_released_ones(self):
        leases = RangeLeases(0.0)
        part = row(40, 60, state=PartitionState.RELEASING)
        leases.record_released(part, "token")
        leases.begin_grant(row(0, 39))
        leases.end_grant(row(0, 39), False, True, 10_000.0)
        self.assertTrue(leases.ownership_ended(part, 10_000.0))

    def test_released_keys_wait_for_unanswered_grants_of_earlier_leaders(self):
        leases = RangeLeases(5000.0)
        leases.record_released(row(), "token")
        last_ms = 5000.0 + CALL_TIMEOUT_MS + HOLD_MS * 1.02
        self.assertFalse(leases.ownership_ended(row(), last_ms))
        self.assertTrue(leases.ownership_ended(row(), last_ms + 151))

    # Guards against taking keys from a restarted upstream that was granted them as its
    # earlier process and has not been sent its own grant.
    def test_keys_wait_for_a_grant_to_the_earlier_process_of_their_owner(self):
        leases = RangeLeases(0.0)
        leases.begin_grant(row())
        leases.end_grant(row(), True, True, 10_000.0)
        restarted = row(epoch=9)._replace(incarnation="2")
        leases.retain({restarted}, {owner_process(restarted)})
        self.assertFalse(leases.ownership_ended(restarted, 10_000.0 + HOLD_MS))
        end_ms = 10_000.0 + HOLD_MS * 1.02 + 151
        self.assertTrue(leases.ownership_ended(restarted, end_ms))

    def test_announcement_after_a_failed_grant_shows_that_the_upstream_is_live(self):
        leases = RangeLeases(0.0)
        leases.begin_grant(row())
        leases.end_grant(row(), False, True, 1000.0)
        process = owner_process(row())
        self.assertTrue(leases.is_failing(process, 900.0, 2000.0))
        self.assertFalse(leases.is_failing(process, 1500.0, 2000.0))


def even(owned):
    return dict.fromkeys(owned, 1.0)


class BalanceTests(unittest.TestCase):
    """Guards against adjacent hot keys that are not split, and needless moves."""

    def test_adjacent_hot_keys_are_split_into_a_narrow_range(self):
        hot = [KeyRate(1000 + n, 5.0) for n in range(20)]
        idle = row(40_000, LAST_KEY, "u2")
        owned = {
            "u1": [RowLoad(row(0, 39_999), hot)],
            "u2": [RowLoad(idle, [])],
        }
        (move,) = choose_range_moves(owned, even(owned), 3, frozenset())
        self.assertEqual(move.target, "u2")
        self.assertLessEqual(move.last - move.first, 12)

    def test_reply_lost_at_one_entry_does_not_make_an_upstream_look_slow(self):
        speeds = UpstreamSpeeds()
        up = UpstreamRow("cases", "u1", "", "a", "1", UpstreamState.READY, 2, 1)
        for number in range(5):
            speeds.add(f"e{number}", [UpstreamSpeed("cases", "u1", 60)])
        usual = speeds.load_per_rps([up])["u1"]
        speeds.add("e0", [UpstreamSpeed("cases", "u1", 800)])
        self.assertEqual(speeds.load_per_rps([up])["u1"], usual)
        for number in range(3):
            speeds.add(f"e{number}", [UpstreamSpeed("cases", "u1", 300)])
        self.assertGreater(speeds.load_per_rps([up])["u1"], 4 * usual)

    def test_uneven_loads_without_queues_are_not_moved(self):
        owned = {
            "u1": [RowLoad(row(0, 99), [KeyRate(n, 1.0) for n in range(12)])],
            "u2": [RowLoad(row(100, LAST_KEY, "u2"), [])],
        }
        shares = dict.fromkeys(owned, 0.03)
        self.assertEqual(choose_range_moves(owned, shares, 3, frozenset()), [])

    def test_even_loads_are_not_moved(self):
        owned = {
            name: [RowLoad(row(n * 100, n * 100 + 99, name), [KeyRate(n * 100, 10.0)])]
            for n, name in enumerate(("u1", "u2", "u3"))
        }
        self.assertEqual(choose_range_moves(owned, even(owned), 3, frozenset()), [])

    def test_single_hot_key_is_not_moved_between_equal_upstreams(self):
        owned = {
            "u1": [RowLoad(row(0, 99), [KeyRate(7, 50.0)])],
            "u2": [RowLoad(row(100, LAST_KEY, "u2"), [])],
        }
        self.assertEqual(choose_range_moves(owned, even(owned), 3, frozenset()), [])

    def test_slow_upstream_releases_keys_to_a_fast_one(self):
        rates = [KeyRate(n, 2.0) for n in range(10)]
        owned = {
            "u1": [RowLoad(row(0, 99), rates)],
            "u2": [
                RowLoad(row(100, 199, "u2"), [KeyRate(100 + n, 2.0) for n in range(10)])
            ],
        }
        self.assertEqual(choose_range_moves(owned, even(owned), 3, frozenset()), [])
        (move,) = choose_range_moves(owned, {"u1": 2.0, "u2": 0.5}, 3, frozenset())
        self.assertEqual((move.row.upstream, move.target), ("u1", "u2"))

    def test_single_hot_key_moves_to_the_fastest_upstream(self):
        owned = {
            "u1": [RowLoad(row(0, 99), [KeyRate(7, 40.0)])],
            "u2": [RowLoad(row(100, 199, "u2"), [KeyRate(150, 3.0)])],
            "u3": [RowLoad(row(200, LAST_KEY, "u3"), [])],
        }
        utilization = {"u1": 1.4, "u2": 0.7, "u3": 1.4}
        moves = choose_range_moves(owned, utilization, 3, frozenset())
        hot = [move for move in moves if move.first <= 7 <= move.last]
        self.assertEqual([(c.first, c.last, c.target) for c in hot], [(7, 7, "u2")])
        # The fastest upstream releases its other keys in turn.
        others = [move.row.upstream for move in moves if move not in hot]
        self.assertEqual(others, ["u2"])


class ReplaceRangesTests(unittest.TestCase):
    """Guards against changes that were planned on outdated rows."""

    def setUp(self):
        self.state = ControlState()
        self.state.settings.current = SETTINGS
        first = row(epoch=0, state=PartitionState.VACANT)
        self.state.apply_command(7, cmd.ReplaceRanges("cases", [], [first]))
        (self.row,) = self.state.rows.ranges_of("cases")

    def test_new_owner_gets_the_log_index_as_epoch(self):
        self.assertEqual(self.row.epoch, 7)

    def test_change_of_an_outdated_row_has_no_effect(self):
        old = self.row._replace(epoch=3)
        new = self.row._replace(upstream="u2", epoch=0)
        outcome = self.state.apply_command(8, cmd.ReplaceRanges("cases", [old], [new]))
        self.assertEqual(outcome.changed, 0)

    def test_keys_are_never_lost_or_covered_twice(self):
        for parts in ([row(0, 99)], [row(0, 99), row(50, LAST_KEY)], []):
            change = cmd.ReplaceRanges("cases", [self.row], parts)
            self.assertEqual(self.state.apply_command(8, change).changed, 0)

    def test_snapshot_keeps_ranges_and_evacuations(self):
        self.state.apply_command(9, cmd.SetEvacuation("a", True))
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(other.rows.ranges_of("cases"), [self.row])
        self.assertEqual(other.update_since(0).evacuated, ["a"])


if __name__ == "__main__":
    unittest.main()
