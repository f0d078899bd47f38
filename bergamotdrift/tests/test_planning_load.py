import time
import unittest
from unittest import mock

import gevent

from bergamotdrift.clock import BootClock
from bergamotdrift.constants import (
    DRIFT_MARGIN_MS,
    ELECTION_TIMEOUT_MIN_MS,
    RAFT_HEARTBEAT_MS,
)
from bergamotdrift.exceptions import CallError, ErrorKind, Refusal
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.leadership import Leadership
from bergamotdrift.range_layout import MAX_RANGES_PER_UPSTREAM
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator
from bergamotdrift.tests.test_leadership import Observer
from scripts.measure_ranges import add_reports, build_state

UPSTREAMS = 93
# A fifth of the upstreams, the share of one of five availability zones.
LOST_UPSTREAMS = 20
ENTRIES = 83
LEASE_MS = ELECTION_TIMEOUT_MIN_MS - DRIFT_MARGIN_MS


class LoopBoundReplicator(FakeReplicator):
    """Holds its lease only while the event loop runs, as the real replica does.

    After an election timeout without heartbeats, the next term begins.
    """

    def __init__(self, log, machine):
        super().__init__(log, "c1", machine)
        self.commit_s = 0.0
        self._renewed_s = time.monotonic()
        self.renewals = gevent.spawn(self._renew)

    def is_leader(self):
        return super().is_leader() and self._silent_ms() < LEASE_MS

    def propose(self, command, timeout_ms):
        if not self.is_leader():
            raise CallError(Refusal(ErrorKind.NOT_LEADER))
        gevent.sleep(self.commit_s)
        return super().propose(command, timeout_ms)

    def _silent_ms(self):
        return (time.monotonic() - self._renewed_s) * 1000.0

    def _renew(self):
        while True:
            if self._silent_ms() >= ELECTION_TIMEOUT_MIN_MS:
                self.become_leader()
            self._renewed_s = time.monotonic()
            gevent.sleep(RAFT_HEARTBEAT_MS / 1000.0)


class PlanningLoadTests(unittest.TestCase):
    """Guards against a leader that plans for longer than its lease lasts.

    Its proposals are then refused, and each next leader begins the same plan.
    """

    def longest_block_ms(self, state, prepare):
        """Return the longest time that planning keeps the event loop busy."""
        blocks_s = []
        last_s = 0.0

        def measure():
            nonlocal last_s
            now_s = time.thread_time()
            blocks_s.append(now_s - last_s)
            last_s = now_s

        leader_state = LeaderState(state, 8_000.0, measure)
        add_reports(leader_state, UPSTREAMS, ENTRIES, 9_000.0)
        prepare(leader_state)
        last_s = time.thread_time()
        commands = leader_state.commands(11_000.0)
        measure()
        return max(blocks_s) * 1000.0, commands

    # Fails if planning keeps the event loop busy past the next heartbeat.
    def test_planning_leaves_the_loop_time_for_heartbeats(self):
        state = build_state(UPSTREAMS, LOST_UPSTREAMS)
        block_ms, commands = self.longest_block_ms(state, lambda _: None)
        self.assertGreaterEqual(len(commands), LOST_UPSTREAMS * MAX_RANGES_PER_UPSTREAM)
        self.assertLess(block_ms, RAFT_HEARTBEAT_MS)

    # Fails if the search for unanswered grants compares each range with all of them.
    def test_balancing_after_unanswered_grants_leaves_the_loop_time(self):
        state = build_state(UPSTREAMS, 0)

        def leave_grants_unanswered(leader_state):
            leases = leader_state.ranges.leases
            for row in state.rows.ranges.rows():
                for answered in (False, True):
                    leases.begin_grant(row)
                    leases.end_grant(row, answered, True, 9_000.0)

        name = "bergamotdrift.range_planner.choose_range_moves"
        with mock.patch(name, return_value=[]) as choose:
            block_ms, _ = self.longest_block_ms(state, leave_grants_unanswered)
        choose.assert_called_once()
        self.assertLess(block_ms, RAFT_HEARTBEAT_MS)

    def assign_free_ranges(self, commit_s, within_s):
        """Run a leader, and fail if a range has no owner after `within_s`."""
        state = build_state(UPSTREAMS, LOST_UPSTREAMS)
        log = FakeLog()
        log.index = 2
        replicator = LoopBoundReplicator(log, state)
        replicator.commit_s = commit_s
        self.addCleanup(replicator.renewals.kill)
        replicator.become_leader()
        leadership = Leadership(state, replicator, BootClock(), Observer(), 30_000.0)
        self.addCleanup(leadership.stop)
        leadership.start()
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            if all(row.upstream for row in state.rows.ranges.rows()):
                return
            gevent.sleep(0.01)
        free = sum(not row.upstream for row in state.rows.ranges.rows())
        self.fail(f"{free} ranges have no owner after {within_s} s")

    # Fails if a term ends its plan without a proposal, so that no range gets an owner.
    def test_all_free_ranges_get_owners_within_the_recovery_of_a_lost_key(self):
        self.assign_free_ranges(0.0, within_s=3.0)

    # Fails if each range waits for the commit of the one before. Of the 3 s until a
    # lost key is served again, the grants of its last owner take 2.6 s.
    def test_free_ranges_do_not_wait_for_each_other(self):
        self.assign_free_ranges(0.01, within_s=0.4)
