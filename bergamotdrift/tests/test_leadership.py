import unittest
from unittest import mock

import gevent

from bergamotdrift.clock import BootClock
from bergamotdrift.control_state import ControlState
from bergamotdrift.leader_state import LeaderState
from bergamotdrift.leadership import Leadership
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator


class Observer:
    def __init__(self):
        self.times_lost = 0

    def on_round(self, changed):
        pass

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
