import time
import unittest

import gevent

from bergamotdrift import control_commands as cmd
from bergamotdrift.clock import BootClock
from bergamotdrift.config.schema import Dispatch, RolloutBounds
from bergamotdrift.control_state import ControlState
from bergamotdrift.entry_node import EntryNode
from bergamotdrift.messages import Hello, Role, RolloutState, UpstreamRow, UpstreamState
from bergamotdrift.node_streams import NodeStreams
from bergamotdrift.platform.wire_dialect import PLATFORM_DIALECT
from bergamotdrift.streams import StreamServer
from bergamotdrift.tests.direct_entry import OK, SETTINGS
from bergamotdrift.tests.entry_fakes import Caller, FakeUpstream, entry_settings
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator

BOUNDS = RolloutBounds(0.1, 50.0, 5000.0)
ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
DURATION_MS = 5000
REQUESTS_PER_S = 40


class _Leader:
    """Control replica with a fake log that serves entries over loopback."""

    def __init__(self):
        self.state = ControlState()
        self.replicator = FakeReplicator(FakeLog(), "c1", self.state)
        self.nodes = NodeStreams(
            self.state, self.replicator, BootClock(), 30_000, rollout=BOUNDS
        )
        hello = Hello("test", "c1", Role.CONTROL, "i")
        self.streams = StreamServer("127.0.0.1:0", hello, self)
        self.streams.start()
        self.nodes.start()
        self.replicator.become_leader()

    def on_open(self, conn):
        pass

    def on_close(self, conn):
        self.nodes.on_close(conn)

    def on_message(self, conn, number, msg):
        self.nodes.on_message(conn, number, msg)

    def propose(self, command):
        outcome = self.nodes.leadership.propose(command)
        self.nodes.on_settings_changed()
        return outcome

    def stop(self):
        self.nodes.stop()
        self.streams.stop()


class RolloutFlowTests(unittest.TestCase):
    """Guards the whole way between a leader, an entry and upstreams on loopback."""

    def setUp(self):
        self.leader = _Leader()
        self.addCleanup(self.leader.stop)
        with gevent.Timeout(3):
            while self.leader.nodes.leadership.leader_state() is None:
                gevent.sleep(0.01)
        change = cmd.ApplySettings("r", "o", 0, 0, "f", SETTINGS, b"{}", 1)
        self.leader.propose(change)
        self.old, self.new = (FakeUpstream(lambda data: OK) for _ in range(2))
        for upstream in (self.old, self.new):
            self.addCleanup(upstream.server.stop, 0)
        cfg = entry_settings(self.leader.streams.address, dispatch=Dispatch.DIRECT)
        self.entry = EntryNode(cfg, BootClock(), PLATFORM_DIALECT)
        self.entry.start()
        self.addCleanup(self.entry.abort)
        self.put("old", self.old, "v1")
        self.assertTrue(self.entry.control.ready.wait(5))
        gevent.sleep(0.2)

    def put(self, name, upstream, version):
        ready, address = UpstreamState.READY, upstream.address
        row = UpstreamRow("pool", name, address, "a", "1", ready, 4, 1)
        self.leader.propose(cmd.PutUpstreams([row._replace(version=version)]))

    def order(self):
        at_ms = int(time.time() * 1000)
        self.leader.propose(cmd.StartRollout("pool", "v2", DURATION_MS, at_ms, 50))
        self.put("new", self.new, "v2")

    def row(self):
        return self.leader.state.rows.rollouts.get("pool")

    def ask_until_ended(self):
        """Send requests until the rollout has ended; return its time in ms."""
        started = time.monotonic()
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        headers = [("Attempt-Id", "a1"), ("Deadline-Ms", "900")]
        while self.row().state is RolloutState.RUNNING:
            if time.monotonic() - started > 2 * DURATION_MS / 1000.0:
                self.fail(f"the rollout has not ended: {self.row()}")
            answer = caller.ask("GET", "/open/1", headers, key=None)
            self.assertIn(answer.status, (200, 500))
            gevent.sleep(1.0 / REQUESTS_PER_S)
        return 1000.0 * (time.monotonic() - started)

    def test_good_version_is_completed_in_time(self):
        self.order()
        self.assertLessEqual(self.ask_until_ended(), DURATION_MS)
        self.assertIs(self.row().state, RolloutState.COMPLETED)
        self.assertLess(len(self.new.requests), len(self.old.requests))

    def test_bad_version_is_rolled_back(self):
        self.new.respond = lambda data: ERROR
        self.order()
        self.ask_until_ended()
        self.assertIs(self.row().state, RolloutState.ROLLED_BACK)
        sent = len(self.new.requests)
        self.assertLessEqual(sent, 12)
        gevent.sleep(0.2)
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        for _ in range(10):
            headers = [("Attempt-Id", "a2"), ("Deadline-Ms", "900")]
            answer = caller.ask("GET", "/open/1", headers, key=None)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.new.requests), sent)


if __name__ == "__main__":
    unittest.main()
