import unittest
from unittest import mock

import gevent

from bergamotdrift import commands_log as cmd
from bergamotdrift.clock import BootClock
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_duties import LeaderDuties
from bergamotdrift.messages import (
    LAST_KEY,
    PartitionState,
    RangeRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.range_leases import RENEW_INTERVAL_MS, RangeLeases
from bergamotdrift.range_orders import GrantResult, RangeOrders
from bergamotdrift.tests.test_range_planner import SETTINGS


class FakeUpstreams:
    """Answers orders as told, and records them."""

    def __init__(self):
        self.result = GrantResult.ACCEPTED
        self.handover: str | None = "token"
        self.grants, self.releases = [], []
        self.during_grant = lambda: None

    def grant(self, upstream, order, timeout_ms):
        self.grants.append(order)
        self.during_grant()
        return self.result

    def release(self, upstream, order, timeout_ms):
        self.releases.append(order)
        return self.handover

    def forget(self, upstream):
        pass


class RangeOrderTests(unittest.TestCase):
    """Guards against orders that are lost, repeated without pause, or sent too late."""

    def setUp(self):
        self.clock = BootClock()
        self.state = ControlState()
        self.state.settings.current = SETTINGS
        up = UpstreamRow(
            "cases", "u1", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1
        )
        self.state.apply_command(1, cmd.PutUpstreams([up]))
        self.put(PartitionState.VACANT)
        self.leads = True
        self.term = LeaderDuties(self.state, self.clock.now_ms())
        self.upstreams = FakeUpstreams()
        self.orders = RangeOrders(self, self.state, self.clock, self.upstreams)
        self.addCleanup(self.orders.stop)

    def duties(self):
        return self.term if self.leads else None

    def wake(self):
        pass

    def put(self, state):
        self.replace([self.row(0, LAST_KEY, state)])

    def row(self, first, last, state):
        return RangeRow("cases", first, last, "u1", "1", 5, state)

    def replace(self, rows):
        before = [*self.state.rows.ranges_of("cases")]
        change = cmd.ReplaceRanges("cases", before, rows)
        self.state.apply_command(self.state.applied_index + 1, change)

    def test_grant_is_renewed_before_it_runs_out(self):
        self.orders.start()
        gevent.sleep(1.5)
        self.assertIn(len(self.upstreams.grants), (2, 3))
        (row,) = self.state.rows.ranges_of("cases")
        self.assertTrue(self.term.ranges.leases.is_accepted(row))

    def test_release_follows_at_once_and_only_once(self):
        self.orders.start()
        gevent.sleep(0.05)
        self.put(PartitionState.RELEASING)
        self.orders.wake()
        gevent.sleep(0.3)
        self.assertEqual(len(self.upstreams.releases), 1)
        (row,) = self.state.rows.ranges_of("cases")
        self.assertEqual(self.term.ranges.leases.handover_of(row), "token")

    def test_release_without_an_answer_is_repeated_with_pauses(self):
        # Refused connections once led to thousands of calls a second.
        self.upstreams.handover = None
        self.put(PartitionState.RELEASING)
        self.orders.start()
        gevent.sleep(0.55)
        self.assertIn(len(self.upstreams.releases), range(3, 8))

    def test_grant_that_meets_a_higher_epoch_is_not_repeated_at_once(self):
        self.upstreams.result = GrantResult.FENCED
        self.orders.start()
        gevent.sleep(0.5)
        self.assertEqual(len(self.upstreams.grants), 1)

    def test_range_that_is_released_during_another_grant_is_not_granted(self):
        first = self.row(0, 99, PartitionState.OWNED)
        second = self.row(100, LAST_KEY, PartitionState.OWNED)
        self.replace([first, second])
        released = [first, second._replace(state=PartitionState.RELEASING)]
        self.upstreams.during_grant = lambda: self.replace(released)
        self.orders.start()
        gevent.sleep(0.2)
        self.assertEqual([order.first for order in self.upstreams.grants], [0])

    def test_range_that_is_given_up_is_not_granted_and_not_asked_for_without_pause(
        self,
    ):
        (row,) = self.state.rows.ranges_of("cases")
        leases = self.term.ranges.leases
        leases.give_up(row)
        refused = mock.Mock(wraps=leases.begin_grant)
        with mock.patch.object(leases, "begin_grant", refused):
            self.orders.start()
            gevent.sleep(0.55)
        self.assertEqual(self.upstreams.grants, [])
        self.assertIn(refused.call_count, range(3, 8))

    def test_grant_that_was_answered_beside_a_release_counts_until_its_hold_ends(self):
        first = self.row(0, LAST_KEY, PartitionState.OWNED)
        self.replace([first])
        released = first._replace(state=PartitionState.RELEASING)
        self.upstreams.during_grant = lambda: self.replace([released])
        self.term.ranges.leases = RangeLeases(-10_000.0)
        self.orders.start()
        gevent.sleep(0.2)
        leases = self.term.ranges.leases
        self.assertEqual(leases.handover_of(released), "token")
        self.assertFalse(leases.has_ended(released, self.clock.now_ms()))

    def test_replica_that_lost_the_lead_sends_nothing(self):
        self.orders.start()
        gevent.sleep(0.05)
        self.leads = False
        gevent.sleep(0.2)
        sent = len(self.upstreams.grants)
        gevent.sleep(0.9)
        self.assertEqual(len(self.upstreams.grants), sent)

    def test_renewals_go_on_after_a_lapse_that_the_owner_did_not_see(self):
        """Upstreams lost their keys while the leader went on to lead."""
        self.orders.start()
        gevent.sleep(0.05)
        # The worker of the upstream looks during the lapse, the owner before and after.
        self.leads = False
        for worker in self.orders._workers.values():
            worker.wake.set()
        gevent.sleep(0.01)
        self.leads = True
        sent = len(self.upstreams.grants)
        gevent.sleep(RENEW_INTERVAL_MS / 1000.0 + 0.2)
        self.assertGreater(len(self.upstreams.grants), sent)
        run = next(iter(self.orders._workers))
        self.assertFalse(self.term.ranges.leases.is_failing(run, 0.0, 1e12))


if __name__ == "__main__":
    unittest.main()
