import time
import unittest
from unittest import mock

import gevent

from bergamotdrift import control_commands as cmd
from bergamotdrift.clock import BootClock
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.leadership import Leadership
from bergamotdrift.messages import Announcement, UpstreamRow, UpstreamState
from bergamotdrift.range_planner import RangePlanner
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator
from bergamotdrift.tests.test_range_planner import SETTINGS


class Observer:
    def __init__(self):
        self.times_lost = 0
        self.rounds = 0

    def on_round(self, changed):
        self.rounds += 1

    def on_leadership_lost(self):
        self.times_lost += 1


class FailedRoundTests(unittest.TestCase):
    """Guards against a leader that replies to nodes after its rounds have failed.

    It would renew sessions, but expire and assign nothing.
    """

    def setUp(self):
        state = ControlState()
        replicator = FakeReplicator(FakeLog(), "c1", state)
        replicator.become_leader()
        self.observer = Observer()
        self.leadership = Leadership(state, replicator, BootClock(), self.observer)
        self.addCleanup(self.leadership.stop)

    def wait_until(self, condition):
        with gevent.Timeout(3.0):
            while not condition():
                gevent.sleep(0.01)

    def test_term_is_opened_again_after_an_error(self):
        error = mock.patch.object(
            LeaderState, "commands", side_effect=ZeroDivisionError("test")
        )
        with error, mock.patch("bergamotdrift.leadership.log_event") as log:
            self.leadership.start()
            self.wait_until(lambda: self.observer.times_lost)
        logged = {call.args[0]: call.kwargs for call in log.call_args_list}
        self.assertIn("ZeroDivisionError", logged["leader_round_failed"]["error"])
        self.wait_until(self.leadership.leader_state)
        self.assertEqual(self.observer.times_lost, 1)


class LongRoundTests(unittest.TestCase):
    """Guards against upstreams and nodes that wait for a round with many commands.

    An upstream that leaves is confirmed only once its state is committed.
    """

    def test_leaving_upstream_is_committed_during_a_long_round(self):
        state = ControlState()
        state.settings.current = SETTINGS
        up = UpstreamRow(
            "cases", "u1", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2, 1
        )
        state.apply_command(1, cmd.PutUpstreams([up]))
        log = FakeLog()
        log.index = 1
        replicator = FakeReplicator(log, "c1", state)
        replicator.become_leader()
        observer = Observer()
        clock = BootClock()
        leadership = Leadership(state, replicator, clock, observer)
        self.addCleanup(leadership.stop)
        # Each batch takes a millisecond in the fake replicator.
        planned = [cmd.SetEvacuation("a", False)] * 64_000
        with mock.patch.object(RangePlanner, "commands", lambda *_: planned):
            leadership.start()
            with gevent.Timeout(3.0):
                while log.index < 100:
                    gevent.sleep(0.01)
            item = Announcement(
                "cases", "u1", "10.0.0.1:1", "a", "1", UpstreamState.LEAVING, []
            )
            leader_state = leadership.leader_state()
            assert leader_state is not None
            self.assertFalse(leader_state.announce(item, clock.now_ms()).error)
            rounds = observer.rounds
            gevent.sleep(0.5)
        (row,) = state.rows.upstreams.rows()
        self.assertIs(row.state, UpstreamState.LEAVING)
        self.assertGreater(observer.rounds, rounds)


class SlowPlanningTests(unittest.TestCase):
    """Guards against a delay of the leader that no line explains."""

    def test_slow_planning_is_logged_with_its_commands(self):
        state = ControlState()
        replicator = FakeReplicator(FakeLog(), "c1", state)
        replicator.become_leader()
        leadership = Leadership(state, replicator, BootClock(), Observer())
        self.addCleanup(leadership.stop)

        def plan(*_):
            time.sleep(0.1)
            return [cmd.SetEvacuation("a", False)] * 3

        with (
            mock.patch.object(LeaderState, "commands", plan),
            mock.patch("bergamotdrift.leadership.log_event") as log,
        ):
            leadership.start()
            with gevent.Timeout(3.0):
                while leadership.leader_state() is None:
                    gevent.sleep(0.01)
                gevent.sleep(0.3)
        logged = {call.args[0]: call.kwargs for call in log.call_args_list}
        self.assertEqual(logged["round_planning_slow"]["kinds"], "SetEvacuation:3")
        self.assertGreaterEqual(logged["round_planning_slow"]["took_ms"], 100)
