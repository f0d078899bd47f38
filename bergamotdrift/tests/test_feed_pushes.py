import unittest
from unittest import mock

import gevent

from bergamotdrift import control_commands as cmd
from bergamotdrift.clock import BootClock
from bergamotdrift.control_state import ControlState
from bergamotdrift.messages import (
    FeedUpdate,
    Hello,
    KeyLoad,
    NodeRow,
    NotLeader,
    Overloads,
    PaceNeed,
    Ping,
    Pong,
    Role,
    UpstreamOverload,
    UpstreamRow,
    UpstreamState,
)
from bergamotdrift.node_streams import NodeStreams
from bergamotdrift.pace_buckets import PACE_LEASE_MS
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator
from bergamotdrift.tests.test_range_planner import SETTINGS

ENTRIES = 185
CHANGES = 60


class NodeConnection:
    """Stream to an entry that records what is sent, in order."""

    def __init__(self, number):
        self.row = NodeRow(f"e{number}", Role.ENTRY, "i", f"vm{number}", "a", "")
        self.peer = Hello("test", self.row.node, Role.ENTRY, "i")
        self.closed = False
        self.sent = []

    def send_packed(self, frame, kind):
        self.sent.append(kind)

    def send(self, msg):
        self.sent.append(msg)

    def reply(self, number, msg):
        self.sent.append(msg)

    def count(self, kind):
        return sum(item is kind for item in self.sent)

    def pongs(self):
        return [item for item in self.sent if isinstance(item, Pong)]


class LargeFleetTestCase(unittest.TestCase):
    """A leader with the streams of 185 entries."""

    def setUp(self):
        self.state = ControlState()
        self.state.settings.current = SETTINGS
        self.replicator = FakeReplicator(FakeLog(), "c1", self.state)
        self.nodes = NodeStreams(self.state, self.replicator, BootClock())
        self.nodes.start()
        self.addCleanup(self.nodes.stop)
        self.replicator.become_leader()
        self.wait_until(lambda: self.nodes.leadership.leader_state() is not None)
        self.conns = [NodeConnection(n) for n in range(ENTRIES)]
        for conn in self.conns:
            self.ping(conn)
        self.wait_until(lambda: all(conn.pongs() for conn in self.conns))
        gevent.sleep(0.3)

    def wait_until(self, condition):
        with gevent.Timeout(5):
            while not condition():
                gevent.sleep(0.01)

    def ping(self, conn, **fields):
        ping = Ping(conn.row, self.state.feed_index, **fields)
        self.nodes.on_message(conn, 1, ping)

    def change_upstreams(self, count):
        for number in range(count):
            row = UpstreamRow(
                "cases", f"u{number}", "10.0.0.1:1", "a", "1", UpstreamState.READY, 2
            )
            self.nodes.leadership.propose(cmd.PutUpstreams([row]))
            self.nodes.on_settings_changed()
            gevent.sleep(0.01)


class PushTests(LargeFleetTestCase):
    """Guards a leader against one frame for each change and entry."""

    def test_changes_of_a_busy_time_share_frames(self):
        before = sum(conn.count(FeedUpdate) for conn in self.conns)
        self.change_upstreams(CHANGES)
        gevent.sleep(0.3)
        frames = sum(conn.count(FeedUpdate) for conn in self.conns) - before
        self.assertGreaterEqual(frames, ENTRIES)
        self.assertLess(frames, ENTRIES * CHANGES / 4)

    # Guards against a confirmation of settings that a node was not sent.
    def test_ping_during_changes_is_confirmed_after_the_next_push(self):
        conn = self.conns[0]
        self.change_upstreams(3)
        index = self.state.feed_index
        conn.sent.clear()
        self.ping(conn)
        self.wait_until(conn.pongs)
        last = conn.sent.index(conn.pongs()[0])
        self.assertEqual(conn.pongs()[0].feed_index, index)
        self.assertEqual(conn.sent[:last], [FeedUpdate])

    # Guards against refusals while many upstreams start: a push takes longer than a
    # request may wait for a token.
    def test_tokens_for_cold_upstreams_do_not_wait_for_the_next_push(self):
        conn = self.conns[0]
        self.change_upstreams(3)
        conn.sent.clear()
        need = PaceNeed("cases", "u0", 1, wait_ms=60, asked_ms=123)
        self.ping(conn, paces=[need])
        (lots,) = conn.sent
        self.assertEqual(lots.asked_ms, 123)
        self.assertEqual([lot.upstream for lot in lots.items], ["u0"])
        self.wait_until(conn.pongs)
        self.assertEqual(conn.pongs()[0].paces, [])

    def test_tokens_for_cold_upstreams_come_with_the_pong(self):
        conn = self.conns[0]
        gevent.sleep(PACE_LEASE_MS / 1000.0)
        conn.sent.clear()
        self.ping(conn, paces=[PaceNeed("cases", "u0", 1, wait_ms=60)])
        (pong,) = conn.sent
        self.assertEqual([lot.tokens for lot in pong.paces], [1])

    def test_waiting_ping_is_redirected_when_the_lead_is_lost(self):
        conn = self.conns[0]
        self.change_upstreams(3)
        conn.sent.clear()
        self.ping(conn)
        self.replicator.leads = False
        self.wait_until(lambda: any(isinstance(item, NotLeader) for item in conn.sent))

    # Guards against reports that count twice when a ping has to wait.
    def test_loads_of_a_waiting_ping_count_once(self):
        conn = self.conns[0]
        self.change_upstreams(3)
        leader_state = self.nodes.leadership.leader_state()
        assert leader_state is not None
        with mock.patch.object(leader_state.ranges, "add_loads") as add_loads:
            self.ping(conn, loads=[KeyLoad("cases", 5, 1)])
            gevent.sleep(0.5)
        add_loads.assert_called_once()


class OverloadTests(LargeFleetTestCase):
    """Guards against overloads that entries don't hear of, or never hear the end of."""

    def test_entries_hear_of_an_overload_and_of_its_end(self):
        leader_state = self.nodes.leadership.leader_state()
        assert leader_state is not None
        planned = [[UpstreamOverload("cases", "u1", 300)], [], []]
        with mock.patch.object(
            leader_state.ranges,
            "take_overloads",
            lambda: planned.pop(0) if planned else None,
        ):
            self.wait_until(lambda: not planned)
        self.assertEqual({conn.count(Overloads) for conn in self.conns}, {2})


if __name__ == "__main__":
    unittest.main()
