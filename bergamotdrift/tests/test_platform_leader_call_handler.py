import json
import unittest

import gevent
import msgspec

from bergamotdrift.clock import BootClock
from bergamotdrift.control_state import ControlState
from bergamotdrift.messages import UpstreamState
from bergamotdrift.node_streams import NodeStreams
from bergamotdrift.operator_messages import LeaderCall
from bergamotdrift.platform.heartbeats import decode_heartbeat
from bergamotdrift.platform.leader_call_handler import Action, LeaderDesk, pack
from bergamotdrift.platform.site_config import NO_TOLERANCE
from bergamotdrift.tables import UpstreamId
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator
from bergamotdrift.tests.platform_support import (
    ROUTE_COLUMNS,
    config,
    encoded,
    heartbeat,
    route,
)


class Replica:
    """One replica with a desk on a stand-in log."""

    def __init__(self, log, name):
        self.state = ControlState()
        self.replicator = FakeReplicator(log, name, self.state)
        self.nodes = NodeStreams(self.state, self.replicator, BootClock(), 30_000)
        self.nodes.start()
        self.desk = LeaderDesk(
            self.state,
            self.nodes.leadership,
            self.nodes.settings_changed,
            BootClock(),
            ("a", "b"),
            "10.0.0.1:80",
            NO_TOLERANCE,
        )

    def lead(self):
        self.replicator.lead()
        with gevent.Timeout(3):
            while self.nodes.leadership.duties() is None:
                gevent.sleep(0.01)

    def call(self, action, subject="", body=b""):
        return self.desk.answer(LeaderCall(action, subject, body))


class DeskTestCase(unittest.TestCase):
    def setUp(self):
        log = FakeLog()
        self.first, self.second = Replica(log, "c1"), Replica(log, "c2")
        for replica in (self.first, self.second):
            self.addCleanup(replica.nodes.stop)
        self.first.lead()

    def put(self, body, replica=None):
        return (replica or self.first).call(Action.REPLACE, body=encoded(body)).status

    def routes(self):
        settings = self.first.state.settings.current
        assert settings is not None
        return settings.routes

    def hand_over(self):
        self.first.replicator.leads = False
        self.second.lead()


class ChangeTests(DeskTestCase):
    """Guards versions chosen by operators who race and resend."""

    def test_resend_is_confirmed_on_any_replica(self):
        self.assertEqual(self.put(config()), 200)
        self.assertEqual(self.put(config()), 200)
        self.hand_over()
        self.assertEqual(self.put(config(), self.second), 200)
        self.assertEqual(self.second.state.settings.revision, 7)

    def test_resend_after_a_lost_answer_is_confirmed(self):
        self.first.replicator.lose_answers = 1
        self.assertEqual(self.put(config()), 503)
        self.assertEqual(self.put(config()), 200)

    def test_one_of_two_changes_on_the_same_version_wins(self):
        self.put(config())
        other = config(9, 7, routes=[route(timeout="900ms")])
        self.assertEqual(self.put(config(9, 7)), 200)
        self.assertEqual(self.put(other), 412)
        self.assertEqual(self.routes()[0].timeout_ms, 800)

    def test_change_that_lost_may_fit_later(self):
        self.put(config())
        early = config(12, 9)
        self.assertEqual(self.put(early), 412)
        self.assertEqual(self.put(config(9, 7)), 200)
        self.assertEqual(self.put(early), 200)

    def test_version_must_rise(self):
        self.put(config())
        self.assertEqual(self.put(config(7, 7, routes=[route(timeout="1s")])), 412)
        self.assertEqual(self.put(config(6, 7)), 412)

    def test_patch_on_another_version_is_refused(self):
        self.put(config())
        new = {"columns": ROUTE_COLUMNS, "rows": [route(name="r2", path_prefix="/y/")]}
        patch = {"version": 9, "base_version": 6, "upsert": {"routes": new}}
        self.assertEqual(
            self.first.call(Action.UPDATE, body=encoded(patch)).status, 412
        )
        good = encoded(patch | {"base_version": 7})
        self.assertEqual(self.first.call(Action.UPDATE, body=good).status, 200)
        self.assertEqual(self.first.call(Action.UPDATE, body=good).status, 200)
        self.assertEqual(len(self.routes()), 2)

    def test_read_shows_the_newest_or_nothing(self):
        self.assertEqual(self.first.call(Action.READ).status, 503)
        self.put(config())
        read = json.loads(self.first.call(Action.READ).body)
        self.assertEqual(read["version"], 7)
        self.hand_over()
        self.assertEqual(self.first.call(Action.READ).status, 503)

    def test_invalid_change_has_no_effect(self):
        self.put(config())
        self.assertEqual(self.put(config(9, 7, routes=[route(timeout="0s")])), 400)
        self.assertEqual(self.first.state.settings.revision, 7)


class UpstreamTests(DeskTestCase):
    """Guards against late words of earlier lifetimes, and unfounded confirmations."""

    def setUp(self):
        super().setUp()
        self.put(config())

    def announce(self, upstream="i1", replica=None, **changes):
        item = decode_heartbeat(upstream, encoded(heartbeat(**changes)))
        call = LeaderCall(Action.ANNOUNCE, upstream, pack(item))
        return (replica or self.first).desk.answer(call).status

    def row(self, upstream="i1"):
        return self.first.state.rows.upstreams.get(UpstreamId("s2", upstream))

    def test_confirmed_heartbeat_is_in_the_log(self):
        self.assertEqual(self.announce(), 200)
        self.assertEqual(self.row().slots, 2)

    def test_confirmed_drain_is_in_the_log(self):
        self.announce()
        self.assertEqual(self.announce(state="draining", seq=5), 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_late_heartbeat_does_not_undo_a_drain(self):
        self.announce()
        self.announce(state="draining", seq=9)
        self.assertEqual(self.announce(seq=6), 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_late_heartbeat_of_an_earlier_life_changes_nothing(self):
        self.announce(born=2000, seq=1)
        self.assertEqual(self.announce(born=1000, seq=50), 400)
        self.assertEqual(self.row().born_ms, 2000)

    def test_next_life_under_the_same_id_replaces_the_earlier_one(self):
        self.announce(born=1000, seq=50)
        self.assertEqual(self.announce(born=2000, seq=1), 200)
        self.assertEqual(self.row().born_ms, 2000)

    def test_address_belongs_to_the_latest_start(self):
        self.announce("i1", born=1000)
        self.assertEqual(self.announce("i2", born=2000), 200)
        self.assertIsNone(self.row("i1"))
        self.assertEqual(self.announce("i1", born=1000, seq=60), 400)

    def test_cold_start_ends_without_a_further_heartbeat(self):
        self.announce(warmup_left="100ms")
        self.assertEqual(self.row().state, UpstreamState.COLD)
        with gevent.Timeout(2):
            while self.row().state is not UpstreamState.READY:
                gevent.sleep(0.01)

    def test_departure_of_another_run_changes_nothing(self):
        self.announce(born=1000)
        self.assertEqual(self.first.call(Action.LEAVE, "i1", b"900").status, 200)
        self.assertEqual(self.row().state, UpstreamState.READY)
        self.assertEqual(self.first.call(Action.LEAVE, "i1").status, 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_replica_that_lost_the_lead_confirms_nothing(self):
        self.first.replicator.leads = False
        self.assertEqual(self.announce(), 503)

    def test_evacuation_is_confirmed_again(self):
        for _ in range(2):
            self.assertEqual(self.first.call(Action.EVACUATE, "a").status, 200)
        self.assertEqual(self.first.state.evacuated, {"a"})
        self.assertEqual(self.first.call(Action.EVACUATE, "nowhere").status, 400)

    def test_heartbeat_names_the_leader_for_the_next_one(self):
        item = decode_heartbeat("i1", encoded(heartbeat()))
        answer = self.first.call(Action.ANNOUNCE, "i1", pack(item))
        body = msgspec.json.decode(answer.body)
        self.assertEqual(body, {"heartbeat_address": "10.0.0.1:80"})


if __name__ == "__main__":
    unittest.main()
