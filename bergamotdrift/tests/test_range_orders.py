import unittest
from unittest import mock

import gevent

from bergamotdrift import control_commands as cmd
from bergamotdrift.clock import BootClock
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.messages import (
    LAST_KEY,
    PartitionState,
    RangeRow,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.range_leases import RENEW_INTERVAL_MS, RangeLeases
from bergamotdrift.range_orders import GrantResult, RangeOrderSender
from bergamotdrift.tests.test_range_planner import SETTINGS


class FakeOrderTransport:
    """Records orders and returns configured results."""

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

    def disconnect(self, upstream):
        pass


class RangeOrderTests(unittest.TestCase):
    """Guards against orders that are lost, sent late, or retried without a delay."""

    def setUp(self):
        self.clock = BootClock()
        self.state = ControlState()
        self.state.settings.current = SETTINGS
        up = UpstreamRow(
            "cases", "u1", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1
        )
        self.state.apply_command(1, cmd.PutUpstreams([up]))
        self.replace_with_state(PartitionState.VACANT)
        self.is_leading = self.has_lease = True
        self.term_state = LeaderState(self.state, self.clock.now_ms())
        self.upstreams = FakeOrderTransport()
        self.orders = RangeOrderSender(self, self.state, self.clock, self.upstreams)
        self.addCleanup(self.orders.stop)

    def leader_state(self):
        return self.open_state() if self.has_lease else None

    def open_state(self):
        return self.term_state if self.is_leading else None

    def wake(self):
        pass

    def replace_with_state(self, state):
        self.replace([self.row(0, LAST_KEY, state)])

    def row(self, first, last, state):
        return RangeRow("cases", first, last, "u1", "1", 5, state)

    def replace(self, rows):
        before = [*self.state.rows.ranges_of("cases")]
        change = cmd.ReplaceRanges("cases", before, rows)
        self.state.apply_command(self.state.applied_index + 1, change)

    def test_grant_is_renewed_before_it_expires(self):
        self.orders.start()
        gevent.sleep(1.5)
        self.assertIn(len(self.upstreams.grants), (2, 3))
        (row,) = self.state.rows.ranges_of("cases")
        self.assertTrue(self.term_state.ranges.leases.is_accepted(row))

    # Guards against a renewal too many, for each range, if the first one comes early.
    def test_earliest_first_renewal_adds_no_call(self):
        with mock.patch("random.uniform", lambda low, high: low):
            self.orders.start()
            gevent.sleep(1.5)
        self.assertIn(len(self.upstreams.grants), (2, 3))

    def test_release_is_sent_immediately_and_only_once(self):
        self.orders.start()
        gevent.sleep(0.05)
        self.replace_with_state(PartitionState.RELEASING)
        self.orders.wake()
        gevent.sleep(0.3)
        self.assertEqual(len(self.upstreams.releases), 1)
        (row,) = self.state.rows.ranges_of("cases")
        self.assertEqual(self.term_state.ranges.leases.handover_of(row), "token")

    def test_unanswered_release_is_retried_after_a_delay(self):
        # Without a delay, refused connections caused thousands of calls per second.
        self.upstreams.handover = None
        self.replace_with_state(PartitionState.RELEASING)
        self.orders.start()
        gevent.sleep(0.55)
        self.assertIn(len(self.upstreams.releases), range(3, 8))

    def test_fenced_grant_is_not_retried_immediately(self):
        self.upstreams.result = GrantResult.FENCED
        self.orders.start()
        gevent.sleep(0.5)
        self.assertEqual(len(self.upstreams.grants), 1)

    def test_range_that_is_released_during_another_grant_is_not_granted(self):
        first = self.row(0, 99, PartitionState.OWNED)
        second = self.row(100, LAST_KEY, PartitionState.OWNED)
        self.replace([first, second])
        releasing = [first, second._replace(state=PartitionState.RELEASING)]
        self.upstreams.during_grant = lambda: self.replace(releasing)
        self.orders.start()
        gevent.sleep(0.2)
        self.assertEqual([order.first for order in self.upstreams.grants], [0])

    def test_range_under_reassignment_is_not_granted_and_retried_after_a_delay(self):
        (row,) = self.state.rows.ranges_of("cases")
        leases = self.term_state.ranges.leases
        leases.mark_reassigning(row)
        refused = mock.Mock(wraps=leases.begin_grant)
        with mock.patch.object(leases, "begin_grant", refused):
            self.orders.start()
            gevent.sleep(0.55)
        self.assertEqual(self.upstreams.grants, [])
        self.assertIn(refused.call_count, range(3, 8))

    def test_grant_that_was_answered_during_a_release_counts_until_its_hold_ends(self):
        first = self.row(0, LAST_KEY, PartitionState.OWNED)
        self.replace([first])
        releasing = first._replace(state=PartitionState.RELEASING)
        self.upstreams.during_grant = lambda: self.replace([releasing])
        self.term_state.ranges.leases = RangeLeases(-10_000.0)
        self.orders.start()
        gevent.sleep(0.2)
        leases = self.term_state.ranges.leases
        self.assertEqual(leases.handover_of(releasing), "token")
        self.assertFalse(leases.ownership_ended(releasing, self.clock.now_ms()))

    def test_replica_that_lost_leadership_sends_nothing(self):
        self.orders.start()
        gevent.sleep(0.05)
        self.is_leading = False
        gevent.sleep(0.2)
        sent = len(self.upstreams.grants)
        gevent.sleep(0.9)
        self.assertEqual(len(self.upstreams.grants), sent)

    # Guards against upstreams that lose their keys, or are all granted theirs anew at
    # the same moment, since the lease of an active leader lapsed.
    def test_renewals_continue_after_a_lapse_of_the_lease(self):
        self.orders.start()
        gevent.sleep(0.05)
        workers = dict(self.orders._workers)
        self.has_lease = False
        self.orders.wake()
        for worker in workers.values():
            worker.wake.set()
        gevent.sleep(0.25)
        self.assertEqual(len(self.upstreams.grants), 1)
        self.has_lease = True
        self.assertEqual(self.orders._workers, workers)
        sent = len(self.upstreams.grants)
        gevent.sleep(RENEW_INTERVAL_MS / 1000.0 + 0.2)
        self.assertGreater(len(self.upstreams.grants), sent)
        process = next(iter(self.orders._workers))
        self.assertFalse(self.term_state.ranges.leases.is_failing(process, 0.0, 1e12))

    # Guards against renewals that come in bursts, which delay the leader's heartbeats,
    # since the grants of many upstreams began at the same moment.
    def test_renewals_of_grants_that_began_together_are_spread(self):
        count = 32
        self.own_by_many(count)
        times = []
        self.upstreams.during_grant = lambda: times.append(self.clock.now_ms())
        self.orders.start()
        gevent.sleep(RENEW_INTERVAL_MS * 2.5 / 1000.0)
        renewals = times[count:]
        self.assertGreaterEqual(len(renewals), count)
        together = max(
            sum(start <= other < start + RENEW_INTERVAL_MS / 10 for other in renewals)
            for start in renewals
        )
        self.assertLess(together, count / 2)

    def own_by_many(self, count):
        """Split the keys evenly among `count` upstreams."""
        names = [f"v{number:02}" for number in range(count)]
        ups = [
            UpstreamRow(
                "cases", name, "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1
            )
            for name in names
        ]
        put = cmd.PutUpstreams(ups)
        self.state.apply_command(self.state.applied_index + 1, put)
        size = (LAST_KEY + 1) // count
        self.replace([
            self.row(n * size, (n + 1) * size - 1, PartitionState.VACANT)._replace(
                upstream=name
            )
            for n, name in enumerate(names)
        ])


if __name__ == "__main__":
    unittest.main()
