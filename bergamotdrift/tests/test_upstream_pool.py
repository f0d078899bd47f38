import random
import unittest
from collections import Counter
from typing import Any

from bergamotdrift.arbiter_messages import (
    AttemptOutcome,
    PermitGrant,
    PermitRelease,
    Revoke,
)
from bergamotdrift.arbitration import Arbitration
from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import ServiceKind
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import (
    PartitionRow,
    PartitionState,
    UpstreamState,
)
from bergamotdrift.observations import LoadHint
from bergamotdrift.outputs import Notice
from bergamotdrift.tests import arbiter_support as support

ANSWERED = AttemptOutcome.ANSWERED


def message_of(outputs) -> Any:
    """Return the message of the single output."""
    (output,) = outputs
    return output.message


class ArbitrationTestCase(unittest.TestCase):
    upstream_count = 6

    def setUp(self):
        self.clock = ManualClock(10_000.0)
        self.entry = support.entry(0)
        self.number = 0
        self.start()

    def start(self, **changes):
        self.view = support.pool_view(self.upstream_count, **changes)
        self.arbiter = Arbitration(
            support.POOL, self.view, self.clock, random.Random(1)
        )
        self.arbiter.resume(self.entry, support.resume())

    def ask(self, **changes):
        self.number += 1
        req = support.permit_request(self.number, **changes)
        outputs = self.arbiter.request(self.entry, req, self.number)
        return message_of(outputs) if outputs else None

    def release(self, grant, latency_ms=10.0, outcome=ANSWERED):
        msg = PermitRelease(support.POOL, grant.permit, outcome, latency_ms, False)
        return self.arbiter.release(self.entry, msg)

    def update(self, **changes):
        self.view = self.view._replace(**changes)
        return self.arbiter.update(self.view)

    def run_requests(self, count, latency_of, outcome_of=lambda name: ANSWERED):
        """Run requests one at a time and return how many each upstream received."""
        used: Counter = Counter()
        for _ in range(count):
            grant = self.ask()
            self.clock.advance(latency_of(grant.upstream))
            self.release(grant, latency_of(grant.upstream), outcome_of(grant.upstream))
            used[grant.upstream] += 1
        return used


class SelectionTests(ArbitrationTestCase):
    def test_equal_upstreams_share_the_load(self):
        used = self.run_requests(600, lambda name: 10.0)
        self.assertEqual(len(used), 6)
        self.assertLess(max(used.values()), 2 * min(used.values()))

    def test_outlier_is_ejected_and_probed_until_it_recovers(self):
        slow = {"u1"}

        def latency_of(name):
            return 100.0 if name in slow else 10.0

        self.run_requests(100, latency_of)
        used = self.run_requests(1000, latency_of)
        self.assertLess(used["u1"], 15)
        slow.clear()
        self.run_requests(500, latency_of)
        self.assertGreater(self.run_requests(600, latency_of)["u1"], 30)

    def test_upstream_that_stalls_is_avoided_before_its_request_ends(self):
        self.run_requests(60, lambda name: 10.0)
        stalled = self.ask().upstream
        self.clock.advance(60.0)
        for _ in range(20):
            grants = [self.ask() for _ in range(9)]
            self.assertNotIn(stalled, {grant.upstream for grant in grants})
            self.clock.advance(10.0)
            for grant in grants:
                self.release(grant)

    def test_at_most_a_third_is_ejected(self):
        self.upstream_count = 9
        self.start()
        most = 0
        for _ in range(20):
            grants = [self.ask(deadline_ms=150) for _ in range(18)]
            self.clock.advance(200.0)
            self.arbiter.tick()
            for grant in grants:
                if not isinstance(grant, PermitGrant):
                    continue
                slow = grant.upstream in {"u1", "u2", "u3", "u4"}
                self.release(grant, 200.0 if slow else 10.0)
                most = max(most, self.arbiter.upstreams._outliers.ejected_count())
        self.assertEqual(most, 3)

    def test_excluded_upstream_is_avoided_unless_it_is_the_only_one(self):
        grant = self.ask(excluded=["u0", "u1", "u2", "u3", "u4"])
        self.assertEqual(grant.upstream, "u5")
        self.update(upstreams=(support.upstream("u0"),))
        self.assertEqual(self.ask(excluded=["u0"]).upstream, "u0")

    def test_closed_upstreams_receive_no_requests(self):
        self.update(closed=frozenset({"u0", "u1", "u2", "u3", "u4"}))
        grants = [self.ask() for _ in range(3)]
        self.assertEqual([g and g.upstream for g in grants], ["u5", "u5", None])
        self.update(closed=frozenset(row.upstream for row in self.view.upstreams))
        self.assertEqual(self.ask().kind, ErrorKind.NO_UPSTREAM)

    def test_unreachable_upstream_receives_single_probes(self):
        used = self.run_requests(
            300,
            lambda name: 10.0,
            lambda name: AttemptOutcome.CONNECT_FAILED if name == "u1" else ANSWERED,
        )
        self.assertLess(used["u1"], 10)

    def test_load_reports_count_only_without_fresh_observations(self):
        hint = LoadHint(2, 2, UpstreamState.READY, self.clock.now_ms())
        self.arbiter.on_load_report("u1", hint)
        self.assertEqual(
            {self.ask().upstream for _ in range(5)}, {"u0", "u2", "u3", "u4", "u5"}
        )
        self.start()
        self.run_requests(60, lambda name: 10.0)
        self.arbiter.on_load_report("u1", hint)
        self.assertIn("u1", {self.ask().upstream for _ in range(6)})


class ColdStartTests(ArbitrationTestCase):
    upstream_count = 1

    def setUp(self):
        super().setUp()
        service = support.service(slots=5, ramp_s=4.0)
        self.start(service=service, warm_since_ms={"u0": 0.0})

    def count_free_slots(self):
        free_slots = 0
        grants = []
        while (grant := self.ask(deadline_ms=1)) is not None:
            if not isinstance(grant, PermitGrant):
                break
            grants.append(grant)
            free_slots += 1
        self.clock.advance(5.0)
        self.arbiter.tick()
        for grant in grants:
            self.release(grant)
        return free_slots

    def replace(self, **changes):
        return self.update(upstreams=(support.upstream("u0", **changes),))

    def test_known_upstream_has_all_slots(self):
        self.assertEqual(self.count_free_slots(), 5)

    def test_new_incarnation_starts_a_ramp_and_revokes(self):
        self.ask()
        outputs = self.replace(incarnation="i2")
        self.assertEqual(outputs, [Notice(self.entry, Revoke(support.POOL, "u0"))])
        self.arbiter.close()
        self.start(service=self.view.service)
        self.assertEqual(self.count_free_slots(), 1)
        self.clock.advance(2000.0)
        self.assertEqual(self.count_free_slots(), 3)
        self.clock.advance(2000.0)
        self.assertEqual(self.count_free_slots(), 5)

    def test_cold_state_starts_a_ramp(self):
        self.replace(state=UpstreamState.COLD)
        self.assertEqual(self.count_free_slots(), 1)

    def test_upstream_that_refused_connections_starts_a_ramp(self):
        """A restart that is not announced yet must not get requests on all slots."""
        self.assertEqual(self.count_free_slots(), 5)
        self.release(self.ask(), outcome=AttemptOutcome.CONNECT_FAILED)
        self.clock.advance(200.0)
        self.release(self.ask())
        self.assertEqual(self.count_free_slots(), 1)

    def test_shedding_halves_the_limit_once_and_it_recovers_slowly(self):
        for grant in [self.ask(), self.ask(), self.ask()]:
            self.release(grant, outcome=AttemptOutcome.SHED)
        self.assertEqual(self.count_free_slots(), 2)
        self.clock.advance(2000.0)
        self.assertEqual(self.count_free_slots(), 3)

    def test_latency_jump_with_refusals_starts_a_ramp(self):
        self.run_requests(100, lambda name: 10.0)
        self.clock.advance(5000.0)
        outcomes = [ANSWERED, ANSWERED, ANSWERED, AttemptOutcome.SHED] * 3
        for outcome in outcomes[:-1]:
            self.release(self.ask(), 400.0, outcome)
            self.clock.advance(30.0)
        grants = [self.ask(), self.ask()]
        for grant in grants:
            if grant is not None:
                self.release(grant, 400.0, AttemptOutcome.SHED)
        self.assertEqual(self.count_free_slots(), 1)


class RefusalTests(ArbitrationTestCase):
    upstream_count = 1

    def test_unreachable_deadline_is_refused_at_once(self):
        self.run_requests(20, lambda name: 100.0)
        for _ in range(2 + 3):
            self.ask()
        refusal = self.ask(deadline_ms=150)
        self.assertEqual(refusal.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.assertIsNone(self.ask(deadline_ms=800))

    def test_waiting_ends_at_the_deadline_or_the_maximum_wait(self):
        for deadline_ms in (60_000, 60_000, 60_000, 300):
            self.ask(deadline_ms=deadline_ms)
        self.clock.advance(300.0)
        expired = message_of(self.arbiter.tick())
        self.assertEqual(expired.kind, ErrorKind.DEADLINE_UNREACHABLE)
        self.clock.advance(2200.0)
        expired = message_of(self.arbiter.tick())
        self.assertEqual(expired.kind, ErrorKind.QUEUE_FULL)

    def test_stale_shard_epoch_is_refused(self):
        self.assertEqual(self.ask(epoch=0).kind, ErrorKind.ARBITER_UNREACHABLE)

    def test_partition_epochs_are_checked(self):
        row = PartitionRow("archive", 3, "u0", 7, PartitionState.OWNED)
        service = support.service(kind=ServiceKind.KEYED)
        self.update(partitions=(row,), service=service)
        stale = self.ask(partition=3, partition_epoch=6)
        self.assertEqual(stale.kind, ErrorKind.NO_UPSTREAM)
        self.assertIsInstance(self.ask(partition=3, partition_epoch=7), PermitGrant)
        self.assertIsNone(self.ask(partition=3, partition_epoch=8))
        granted = message_of(self.update(partitions=(row._replace(epoch=8),)))
        self.assertIsInstance(granted, PermitGrant)
        self.assertIsNone(self.ask(partition=4, partition_epoch=1))
        self.clock.advance(1000.0)
        refused = message_of(self.arbiter.tick())
        self.assertEqual(refused.kind, ErrorKind.NO_UPSTREAM)

    def test_fenced_partition_waits_for_a_single_probe_and_blocks_no_other(self):
        rows = tuple(
            PartitionRow("archive", number, "u0", 1, PartitionState.OWNED)
            for number in (1, 2)
        )
        self.update(partitions=rows, service=support.service(slots=1))
        new = {"partition": 1, "partition_epoch": 1}
        grant = self.ask(**new)
        self.assertIsNone(self.ask(**new))
        self.assertEqual(self.release(grant, outcome=AttemptOutcome.FENCED), [])
        self.assertIsNone(self.ask(**new))
        other = self.ask(partition=2, partition_epoch=1)
        self.assertIsInstance(other, PermitGrant)
        self.release(other)
        self.clock.advance(50.0)
        probe = message_of(self.arbiter.tick())
        self.assertIsInstance(message_of(self.release(probe)), PermitGrant)

    def test_expired_entry_frees_its_permits(self):
        other = support.entry(1)
        self.update(entries=frozenset({self.entry, other}))
        self.ask(), self.ask()
        req = support.permit_request(99)
        self.assertEqual(self.arbiter.request(other, req, 99), [])
        granted = message_of(self.update(entries=frozenset({other})))
        self.assertIsInstance(granted, PermitGrant)
