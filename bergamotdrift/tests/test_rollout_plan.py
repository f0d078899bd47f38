import random
import unittest

from bergamotdrift import control_commands as cmd
from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.messages import RolloutState, UpstreamState
from bergamotdrift.rollout_orders import REPEAT_MARGIN_MS
from bergamotdrift.rollout_plan import RolloutPlanner
from bergamotdrift.tests.rollout_simulation import (
    BOUNDS,
    ORDERED_MS,
    UNIX_OFFSET_MS,
    Entry,
    RolloutSimulation,
    service,
    site,
)
from bergamotdrift.version_share import CONFIRMATION_MAX_AGE_MS

DURATION_MS = 12_000
END_MS = ORDERED_MS + DURATION_MS
ANSWERED = AttemptOutcome.ANSWERED, 1.0
DEPLOYMENT_1 = {"entries": 54, "per_s": 196.0}
DEPLOYMENT_2 = {"entries": 86, "per_s": 70.0, "old": 7, "new": 7, "work_ms": 73.0}
DEPLOYMENTS = (DEPLOYMENT_1, DEPLOYMENT_2)


def bad(part=1.0, factor=1.0, after_ms=0.0, route=None, running=0):
    """Return a fault: failures, or responses slower by a factor."""
    is_slow = factor > 1.0
    outcome = AttemptOutcome.ANSWERED if is_slow else AttemptOutcome.SERVER_ERROR

    def fault(sim, on_route, upstream):
        busy = sum(up.busy for up in sim.upstreams.values() if up.row.version == "v2")
        if sim.now < ORDERED_MS + after_ms or route not in (None, on_route):
            return ANSWERED
        if busy < running or sim.rng.random() >= part:
            return ANSWERED
        return outcome, factor

    return fault


class RolloutPlanTestCase(unittest.TestCase):
    def ordered(self, seed=1, **options):
        sim = RolloutSimulation(seed, **options)
        sim.run_until(ORDERED_MS)
        self.assertEqual(sim.order(DURATION_MS), cmd.OrderResult.STARTED)
        return sim

    def small(self, seed=1, **options):
        return self.ordered(seed, entries=12, **options)

    def check_completed(self, sim):
        sim.run_until(END_MS)
        self.assertIs(sim.rollout().state, RolloutState.COMPLETED, sim.steps)
        self.assertLessEqual(sim.ended_at_ms, END_MS)

    def check_rolled_back(self, sim):
        while sim.ended_at_ms is None and sim.now < END_MS:
            sim.run_until(sim.now + 50.0)
        self.assertIs(sim.rollout().state, RolloutState.ROLLED_BACK, sim.steps)
        self.assertLessEqual(sim.exposed(), sim.exposure_allowed())
        # Entries that are cut off stop by themselves.
        sim.run_until(sim.ended_at_ms + CONFIRMATION_MAX_AGE_MS)
        sent = sim.sent["v2"]
        sim.run_until(sim.now + 1000.0)
        self.assertEqual(sim.sent["v2"], sent)
        self.assertLessEqual(sim.exposed(), sim.exposure_allowed())
        self.assertEqual(sim.sent_too_late(), 0)


class BadVersionTests(RolloutPlanTestCase):
    """Guards against a bad version that gets more than its exposure, or completes."""

    def check(self, seeds=(1, 2), **fault):
        for deployment in DEPLOYMENTS:
            for seed in seeds:
                with self.subTest(seed=seed, **fault, entries=deployment["entries"]):
                    sim = self.ordered(seed, fault=bad(**fault), **deployment)
                    self.check_rolled_back(sim)

    def test_failures_from_the_start(self):
        self.check(part=0.3)

    def test_few_failures(self):
        self.check(part=0.1)

    def test_failures_that_begin_late(self):
        self.check(part=0.3, after_ms=6000.0)

    def test_failures_that_begin_once_everything_moved(self):
        self.check(part=0.3, after_ms=9600.0)

    def test_failures_on_one_route(self):
        self.check(part=0.3, route="r1")

    def test_failures_under_load(self):
        for seed in (1, 2):
            sim = self.ordered(seed, fault=bad(0.4, running=12), **DEPLOYMENT_1)
            self.check_rolled_back(sim)

    def test_slow_responses(self):
        self.check(factor=4.0)

    def test_half_of_the_responses_slow_on_one_route(self):
        self.check(part=0.5, factor=5.0, route="r2")

    def test_slow_responses_that_begin_late(self):
        self.check(factor=4.0, after_ms=6000.0)


class GoodVersionTests(RolloutPlanTestCase):
    """Guards against a good version that is rolled back, or is late."""

    def test_good_versions_complete_in_time(self):
        for deployment in DEPLOYMENTS:
            for seed in range(3):
                with self.subTest(seed=seed, entries=deployment["entries"]):
                    self.check_completed(self.ordered(seed, **deployment))

    def test_failures_that_the_old_version_has_as_well(self):
        for seed in range(3):
            sim = self.small(seed)
            sim.noise = 0.03
            self.check_completed(sim)

    def test_failures_of_both_versions_at_the_same_time(self):
        for seed in range(3):
            sim = self.small(seed)
            sim.run_until(ORDERED_MS + 7000)
            sim.noise = 0.9
            sim.run_until(ORDERED_MS + 8000)
            sim.noise = 0.0
            self.check_completed(sim)

    def test_upstreams_that_are_slow_while_cold(self):
        def fault(sim, route, upstream):
            cold = upstream.row.state is UpstreamState.COLD
            return AttemptOutcome.ANSWERED, 5.0 if cold else 1.0

        sim = self.small(fault=fault)
        sim.run_until(ORDERED_MS + 350)
        for number in range(31):
            sim.set_state(f"new{number}", UpstreamState.COLD)
        sim.run_until(ORDERED_MS + 3350)
        for number in range(31):
            sim.set_state(f"new{number}", UpstreamState.READY)
        self.assertGreater(len(sim.bad_at_ms), 5)
        self.check_completed(sim)

    def test_share_stays_small_for_most_of_the_time(self):
        sim = self.ordered(**DEPLOYMENT_1)
        sim.run_until(ORDERED_MS + 8000)
        total = sum(sim.sent.values())
        self.assertGreater(sim.sent["v2"], 20)
        self.assertLess(sim.sent["v2"], 0.8 * BOUNDS.exposure_share * total)

    def test_service_with_few_requests(self):
        self.check_completed(self.small(per_s=2.0, old=2, new=2))

    def test_upstreams_that_never_come_are_rolled_back(self):
        self.check_rolled_back(self.small(new=0))

    def test_upstreams_without_room_are_rolled_back(self):
        sim = self.small(new=2)
        self.check_rolled_back(sim)
        self.assertIn("slots", sim.steps[-1][1].reason)


class CompletionTests(RolloutPlanTestCase):
    """Guards against a stop of the old upstreams while they have requests."""

    def test_nothing_runs_at_the_old_version_when_completed(self):
        sim = self.small()
        while sim.ended_at_ms is None and sim.now < END_MS:
            sim.run_until(sim.now + 50.0)
        sent = sim.sent["v1"]
        self.assertEqual(sim.old_running(), 0)
        sim.run_until(END_MS + 1000)
        self.assertEqual(sim.sent["v1"], sent)

    def test_entry_that_is_cut_off_is_waited_for(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 9300)
        lost = sim.entries[0]
        lost.connected = False
        sim.run_until(ORDERED_MS + 11_000)
        self.assertIs(sim.rollout().state, RolloutState.RUNNING)
        item = cmd.NodeIncarnation(lost.row.node, lost.row.incarnation)
        expired_ms = sim.now
        sim.apply(cmd.ExpireNodes([item]))
        sim.entries.remove(lost)
        sim.run_until(expired_ms + 4500)
        self.assertIs(sim.rollout().state, RolloutState.RUNNING)
        sim.run_until(expired_ms + 5000)
        self.assertIs(sim.rollout().state, RolloutState.COMPLETED)

    def test_entry_that_was_replaced_on_its_machine_is_not_waited_for(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 9300)
        lost = sim.entries.pop(0)
        item = cmd.NodeIncarnation(lost.row.node, lost.row.incarnation)
        sim.apply(cmd.ExpireNodes([item]))
        entry = Entry(99, 99, sim.entries[0].clock)
        entry.row = entry.row._replace(vm=lost.row.vm)
        sim.entries.append(entry)
        sim.apply(cmd.RegisterNodes([entry.row]))
        self.check_completed(sim)

    def test_entries_that_are_lost_together_are_waited_for_once(self):
        # Guards against waits one after the other for the entries of a lost zone.
        sim = self.small()
        sim.run_until(ORDERED_MS + 3000)
        for _ in range(4):
            lost = sim.entries.pop(0)
            item = cmd.NodeIncarnation(lost.row.node, lost.row.incarnation)
            sim.apply(cmd.ExpireNodes([item]))
        self.check_completed(sim)

    def test_entry_that_stopped_is_not_waited_for(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 9300)
        left = sim.entries.pop(0)
        sim.planner.record_left(left.row.node)
        item = cmd.NodeIncarnation(left.row.node, left.row.incarnation)
        sim.apply(cmd.ExpireNodes([item]))
        self.check_completed(sim)


class FailureTests(RolloutPlanTestCase):
    """Guards the bounds when one part fails during a rollout."""

    def replace_leader(self, sim):
        sim.planner = RolloutPlanner(sim.state, BOUNDS, UNIX_OFFSET_MS)

    def test_new_leader_continues_from_the_row(self):
        for at_ms in (500, 4000, 8800, 9600):
            with self.subTest(at_ms=at_ms):
                sim = self.small()
                sim.run_until(ORDERED_MS + at_ms)
                self.replace_leader(sim)
                self.check_completed(sim)

    def test_new_leader_rolls_a_bad_version_back(self):
        sim = self.ordered(fault=bad(0.3, after_ms=5000.0), **DEPLOYMENT_1)
        sim.run_until(ORDERED_MS + 5200)
        self.replace_leader(sim)
        self.check_rolled_back(sim)

    def test_state_survives_the_loss_of_all_replicas(self):
        sim = self.small(fault=bad(0.3))
        sim.run_until(ORDERED_MS + 4000)
        row = sim.rollout()
        self.assertIs(row.state, RolloutState.ROLLED_BACK)
        sim.state.restore(sim.state.snapshot())
        self.assertEqual(sim.rollout(), row)

    def test_cut_off_entry_sends_the_new_version_nothing(self):
        sim = self.small(fault=bad(0.5, after_ms=3000.0))
        sim.run_until(ORDERED_MS + 2900)
        sim.entries[0].connected = False
        self.check_rolled_back(sim)

    def test_leader_that_is_gone_for_long(self):
        sim = self.small(fault=bad(0.5, after_ms=3000.0))
        sim.run_until(ORDERED_MS + 2900)
        for entry in sim.entries:
            entry.connected = False
        sim.run_until(ORDERED_MS + 6000)
        sent = sim.sent["v2"]
        sim.run_until(ORDERED_MS + 8000)
        self.assertEqual(sim.sent["v2"], sent)

    def test_upstream_of_the_new_version_is_replaced(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 5000)
        sim.upstreams["new3"].stopped = True
        sim.run_until(ORDERED_MS + 5300)
        sim.start_upstream("new3", "v2", 3, born=2)
        self.check_completed(sim)

    def test_upstream_of_the_old_version_is_replaced(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 9700)
        sim.start_upstream("old3", "v1", 3, born=2)
        self.check_completed(sim)
        sent = sim.sent["v1"]
        sim.run_until(END_MS + 1000)
        self.assertEqual(sim.sent["v1"], sent)

    def test_zone_is_evacuated(self):
        sim = self.small(old=31, new=31)
        sim.run_until(ORDERED_MS + 4000)
        sim.apply(cmd.SetEvacuation("b", True))
        self.check_completed(sim)

    def test_all_new_upstreams_leave_after_everything_moved(self):
        sim = self.small(new=4, per_s=20.0)
        sim.run_until(ORDERED_MS + 9550)
        rows = [
            up.row._replace(state=UpstreamState.LEAVING)
            for up in sim.upstreams.values()
            if up.row.version == "v2"
        ]
        sim.apply(cmd.PutUpstreams(rows))
        self.check_rolled_back(sim)


class StoppedVersionTests(RolloutPlanTestCase):
    """Guards against a service that is cut off as its old upstreams stop early."""

    def test_requests_move_once_all_old_upstreams_leave(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 4000)
        before = sim.sent["v2"]
        for number in range(31):
            sim.set_state(f"old{number}", UpstreamState.LEAVING)
        sim.run_until(ORDERED_MS + 6000)
        self.assertGreater(sim.sent["v2"] - before, 200)


class OrderTests(RolloutPlanTestCase):
    """Guards against orders that run twice or disturb each other."""

    def test_repeated_order_changes_nothing(self):
        sim = self.small()
        row = sim.rollout()
        sim.run_until(sim.now + 500)
        self.assertEqual(sim.order(), cmd.OrderResult.REPEATED)
        self.assertEqual(sim.rollout(), row)

    def test_repeated_order_does_not_start_a_bad_version_again(self):
        sim = self.small(fault=bad(0.5))
        sim.run_until(ORDERED_MS + 4000)
        self.assertIs(sim.rollout().state, RolloutState.ROLLED_BACK)
        self.assertEqual(sim.order(), cmd.OrderResult.REPEATED)
        self.assertIs(sim.rollout().state, RolloutState.ROLLED_BACK)

    def test_same_order_starts_another_rollout_later(self):
        sim = self.small(fault=bad(0.5))
        sim.run_until(ORDERED_MS + 4000)
        first = sim.rollout()
        sim.now = END_MS + REPEAT_MARGIN_MS
        self.assertEqual(sim.order(), cmd.OrderResult.STARTED)
        self.assertGreater(sim.rollout().number, first.number)

    def test_other_order_of_the_same_service_is_refused(self):
        sim = self.small()
        self.assertEqual(sim.order(target="v3"), cmd.OrderResult.CONFLICT)
        self.assertEqual(sim.order(5000), cmd.OrderResult.CONFLICT)

    # Guards against a late copy of an order: its caller repeated it elsewhere and
    # then ordered another version.
    def test_late_order_does_not_follow_a_newer_one(self):
        sim = RolloutSimulation(1, entries=12, old=0)
        previous = 0
        for target in ("v2", "v3"):
            result = sim.order(target=target, previous=previous)
            self.assertEqual(result, cmd.OrderResult.STARTED)
            previous = sim.rollout().number
            sim.apply(cmd.StepRollout("s", previous, RolloutState.COMPLETED, 1000, ""))
        self.assertEqual(sim.order(previous=0), cmd.OrderResult.SUPERSEDED)
        self.assertEqual(sim.rollout().target, "v3")

    def test_order_of_the_only_version_is_completed_at_once(self):
        # Guards against a service that is cut off while its only version is on trial.
        sim = RolloutSimulation(1, entries=12, old=0)
        sim.run_until(ORDERED_MS + 1000)
        self.assertEqual(sim.order(DURATION_MS), cmd.OrderResult.STARTED)
        self.assertIs(sim.rollout().state, RolloutState.COMPLETED)
        before = sim.sent["v2"]
        sim.run_until(ORDERED_MS + 3000)
        self.assertGreater(sim.sent["v2"] - before, 200)

    def test_order_of_an_unknown_service_is_refused(self):
        sim = self.small()
        self.assertEqual(sim.order(name="x"), cmd.OrderResult.UNKNOWN_SERVICE)

    def test_another_service_is_rolled_out_at_the_same_time(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 3000)
        self.assertEqual(sim.order(5000, name="t"), cmd.OrderResult.STARTED)
        self.check_completed(sim)
        # It has no upstreams of the version.
        self.assertIs(sim.rollout("t").state, RolloutState.ROLLED_BACK)

    def change_settings(self, sim, *services):
        settings = site(*services)
        sim.settings = settings
        sim.apply(
            cmd.ApplySettings("r2", "o", 0, 0, "f", settings, b"{}", 2),
        )

    def test_settings_change_keeps_the_rollout(self):
        sim = self.small()
        sim.run_until(ORDERED_MS + 4000)
        sim.state.settings.revision = 0
        self.change_settings(sim, service(), service("t"), service("u"))
        self.assertEqual(len(sim.state.settings.current.services), 3)
        self.check_completed(sim)

    def test_rollout_of_a_removed_service_ends(self):
        sim = self.small()
        sim.state.settings.revision = 0
        self.change_settings(sim, service("t"))
        self.assertIsNone(sim.rollout())
        self.assertEqual(sim.planner.commands(sim.now), [])

    def test_outdated_step_has_no_effect(self):
        sim = self.small()
        row = sim.rollout()
        late = cmd.StepRollout("s", row.number - 1, RolloutState.COMPLETED, 1000, "x")
        sim.apply(late)
        self.assertEqual(sim.rollout(), row)

    def test_step_after_the_end_has_no_effect(self):
        sim = self.small()
        number = sim.rollout().number
        back = cmd.StepRollout("s", number, RolloutState.ROLLED_BACK, 0, "x")
        sim.apply(back)
        sim.apply(back._replace(state=RolloutState.RUNNING, share_permille=1000))
        self.assertIs(sim.rollout().state, RolloutState.ROLLED_BACK)


class ScheduleTests(RolloutPlanTestCase):
    """Guards against long and short rollouts that end late."""

    def test_random_durations_complete_in_time(self):
        rng = random.Random(5)
        for seed in range(4):
            duration_ms = rng.choice((6000, 9000, 20_000, 30_000))
            with self.subTest(seed=seed, duration_ms=duration_ms):
                sim = RolloutSimulation(seed, entries=12)
                sim.run_until(ORDERED_MS)
                sim.order(duration_ms)
                sim.run_until(ORDERED_MS + duration_ms)
                self.assertIs(sim.rollout().state, RolloutState.COMPLETED, sim.steps)


if __name__ == "__main__":
    unittest.main()
