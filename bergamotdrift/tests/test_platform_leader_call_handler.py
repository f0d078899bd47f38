import itertools
import json
import unittest

import gevent
import msgspec

from bergamotdrift import control_commands as cmd
from bergamotdrift.clock import BootClock
from bergamotdrift.config.schema import RangeGrants
from bergamotdrift.control_state import ControlState
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.messages import LAST_KEY, UNSTATED_BORN_MS, UpstreamState
from bergamotdrift.node_streams import NodeStreams
from bergamotdrift.operator_messages import LeaderCall
from bergamotdrift.platform.heartbeats import decode_heartbeat
from bergamotdrift.platform.leader_call_handler import (
    LeaderAction,
    OrderNumber,
    PlatformCallHandler,
    encode_announcement,
)
from bergamotdrift.platform.site_config import NO_TOLERANCE
from bergamotdrift.range_replies import RangeReplies
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator
from bergamotdrift.tests.platform_support import (
    ROUTE_COLUMNS,
    config_body,
    encode_body,
    heartbeat_body,
    route_row,
)


class Replica:
    """A control replica with a call handler and a fake replicated log."""

    def __init__(self, log, name):
        self.state = ControlState()
        self.replicator = FakeReplicator(log, name, self.state)
        self.nodes = NodeStreams(
            self.state, self.replicator, BootClock(), 30_000, RangeGrants.ANNOUNCED
        )
        self.nodes.start()
        self.handler = PlatformCallHandler(
            self.state,
            self.nodes.leadership,
            self.nodes.on_settings_changed,
            BootClock(),
            ("a", "b"),
            "10.0.0.1:80",
            NO_TOLERANCE,
            RangeReplies(self.nodes.leadership, self.state, BootClock()),
        )

    def become_leader(self):
        self.replicator.become_leader()
        with gevent.Timeout(3):
            while self.nodes.leadership.leader_state() is None:
                gevent.sleep(0.01)

    def call(self, action, subject="", body=b""):
        return self.handler.handle(LeaderCall(action, subject, body))


class CallHandlerTestCase(unittest.TestCase):
    def setUp(self):
        log = FakeLog()
        self.first, self.second = Replica(log, "c1"), Replica(log, "c2")
        for replica in (self.first, self.second):
            self.addCleanup(replica.nodes.stop)
        self.first.become_leader()

    def replace_config(self, body, replica=None):
        return (
            (replica or self.first)
            .call(LeaderAction.REPLACE, body=encode_body(body))
            .status
        )

    def routes(self):
        settings = self.first.state.settings.current
        assert settings is not None
        return settings.routes

    def transfer_leadership(self):
        self.first.replicator.leads = False
        self.second.become_leader()


class ConfigChangeTests(CallHandlerTestCase):
    """Guards configuration versions when operators race or repeat a change."""

    def test_repeated_change_is_confirmed_by_any_replica(self):
        self.assertEqual(self.replace_config(config_body()), 200)
        self.assertEqual(self.replace_config(config_body()), 200)
        self.transfer_leadership()
        self.assertEqual(self.replace_config(config_body(), self.second), 200)
        self.assertEqual(self.second.state.settings.revision, 7)

    def test_repeated_change_after_a_lost_answer_is_confirmed(self):
        self.first.replicator.lost_replies = 1
        self.assertEqual(self.replace_config(config_body()), 503)
        self.assertEqual(self.replace_config(config_body()), 200)

    def test_one_of_two_changes_on_the_same_version_wins(self):
        self.replace_config(config_body())
        competing = config_body(9, 7, routes=[route_row(timeout="900ms")])
        self.assertEqual(self.replace_config(config_body(9, 7)), 200)
        self.assertEqual(self.replace_config(competing), 412)
        self.assertEqual(self.routes()[0].timeout_ms, 800)

    def test_refused_change_is_accepted_once_its_base_version_is_current(self):
        self.replace_config(config_body())
        premature = config_body(12, 9)
        self.assertEqual(self.replace_config(premature), 412)
        self.assertEqual(self.replace_config(config_body(9, 7)), 200)
        self.assertEqual(self.replace_config(premature), 200)

    def test_version_must_increase(self):
        self.replace_config(config_body())
        self.assertEqual(
            self.replace_config(config_body(7, 7, routes=[route_row(timeout="1s")])),
            412,
        )
        self.assertEqual(self.replace_config(config_body(6, 7)), 412)

    def test_patch_of_another_base_version_is_refused(self):
        self.replace_config(config_body())
        new = {
            "columns": ROUTE_COLUMNS,
            "rows": [route_row(name="r2", path_prefix="/y/")],
        }
        patch = {"version": 9, "base_version": 6, "upsert": {"routes": new}}
        self.assertEqual(
            self.first.call(LeaderAction.UPDATE, body=encode_body(patch)).status, 412
        )
        valid = encode_body(patch | {"base_version": 7})
        self.assertEqual(self.first.call(LeaderAction.UPDATE, body=valid).status, 200)
        self.assertEqual(self.first.call(LeaderAction.UPDATE, body=valid).status, 200)
        self.assertEqual(len(self.routes()), 2)

    def test_read_returns_the_newest_configuration_or_503(self):
        self.assertEqual(self.first.call(LeaderAction.READ).status, 503)
        self.replace_config(config_body())
        read = json.loads(self.first.call(LeaderAction.READ).body)
        self.assertEqual(read["version"], 7)
        self.transfer_leadership()
        self.assertEqual(self.first.call(LeaderAction.READ).status, 503)

    def test_invalid_change_has_no_effect(self):
        self.replace_config(config_body())
        self.assertEqual(
            self.replace_config(config_body(9, 7, routes=[route_row(timeout="0s")])),
            400,
        )
        self.assertEqual(self.first.state.settings.revision, 7)


class LateOrderTests(CallHandlerTestCase):
    """Guards against a late copy of an order that takes back a newer confirmed one.

    The copy waited in a replica that did not run while its caller repeated the order
    elsewhere and sent newer ones.
    """

    def last_order(self, action, subject):
        answer = self.first.call(LeaderAction.LAST_ORDER, subject, action.encode())
        return msgspec.json.decode(answer.body, type=OrderNumber).number

    def order(self, action, subject="a", previous=None, body=b""):
        if previous is None:
            previous = self.last_order(action, subject)
        return self.first.handler.handle(
            LeaderCall(action, subject, body, previous)
        ).status

    def test_late_end_does_not_undo_a_newer_evacuation(self):
        self.order(LeaderAction.EVACUATE)
        late = self.last_order(LeaderAction.END_EVACUATION, "a")
        self.assertEqual(self.order(LeaderAction.END_EVACUATION), 200)
        self.assertEqual(self.order(LeaderAction.EVACUATE), 200)
        self.assertEqual(self.order(LeaderAction.END_EVACUATION, previous=late), 503)
        self.assertEqual(self.first.state.evacuations.zones, {"a"})

    def test_late_start_does_not_undo_a_newer_end(self):
        late = self.last_order(LeaderAction.EVACUATE, "a")
        self.order(LeaderAction.EVACUATE)
        self.assertEqual(self.order(LeaderAction.END_EVACUATION), 200)
        self.assertEqual(self.order(LeaderAction.EVACUATE, previous=late), 503)
        self.assertEqual(self.first.state.evacuations.zones, set())

    def test_late_end_does_not_undo_a_confirmed_order_that_changed_nothing(self):
        self.order(LeaderAction.EVACUATE)
        late = self.last_order(LeaderAction.END_EVACUATION, "a")
        self.assertEqual(self.order(LeaderAction.EVACUATE), 200)
        self.assertEqual(self.order(LeaderAction.END_EVACUATION, previous=late), 503)
        self.assertEqual(self.first.state.evacuations.zones, {"a"})

    def test_repeated_order_is_confirmed_however_late_it_is(self):
        first = self.last_order(LeaderAction.EVACUATE, "a")
        for _ in range(2):
            self.assertEqual(self.order(LeaderAction.EVACUATE, previous=first), 200)

    def test_orders_on_other_zones_do_not_conflict(self):
        first = self.last_order(LeaderAction.EVACUATE, "b")
        self.order(LeaderAction.EVACUATE, "a")
        self.assertEqual(self.order(LeaderAction.EVACUATE, "b", first), 200)
        self.assertEqual(self.first.state.evacuations.zones, {"a", "b"})

    def test_late_order_is_recognised_after_a_restart_from_a_snapshot(self):
        self.order(LeaderAction.EVACUATE)
        late = self.last_order(LeaderAction.END_EVACUATION, "a")
        self.order(LeaderAction.EVACUATE)
        self.first.state.restore(self.first.state.snapshot())
        self.assertEqual(self.order(LeaderAction.END_EVACUATION, previous=late), 503)


class UpstreamLifecycleTests(CallHandlerTestCase):
    """Guards against late heartbeats of earlier incarnations, and false confirmations.

    A heartbeat or drain may be confirmed only once it is in the replicated log.
    """

    def setUp(self):
        super().setUp()
        self.replace_config(config_body())

    def announce(self, upstream="i1", replica=None, **changes):
        item = decode_heartbeat(upstream, encode_body(heartbeat_body(**changes)))
        call = LeaderCall(LeaderAction.ANNOUNCE, upstream, encode_announcement(item))
        return (replica or self.first).handler.handle(call).status

    def row(self, upstream="i1"):
        return self.first.state.rows.upstreams.get(UpstreamId("s2", upstream))

    def test_confirmed_heartbeat_is_committed(self):
        self.assertEqual(self.announce(), 200)
        self.assertEqual(self.row().slots, 2)

    def test_confirmed_drain_is_committed(self):
        self.announce()
        self.assertEqual(self.announce(state="draining", seq=5), 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_late_heartbeat_does_not_undo_a_drain(self):
        self.announce()
        self.announce(state="draining", seq=9)
        self.assertEqual(self.announce(seq=6), 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_late_heartbeat_of_an_earlier_incarnation_is_refused(self):
        self.announce(born=2000, seq=1)
        self.assertEqual(self.announce(born=1000, seq=50), 400)
        self.assertEqual(self.row().born_ms, 2000)

    def test_next_incarnation_replaces_the_earlier_one(self):
        self.announce(born=1000, seq=50)
        self.assertEqual(self.announce(born=2000, seq=1), 200)
        self.assertEqual(self.row().born_ms, 2000)

    # Guards against requests to an upstream whose drain was confirmed: it restarted out
    # of contact, and the row of its earlier incarnation stayed ready.
    def test_drain_of_the_next_incarnation_ends_requests_to_the_earlier_one(self):
        self.announce(born=1000, seq=50)
        self.assertEqual(self.announce(born=2000, seq=1, state="draining"), 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)
        self.assertEqual(self.row().born_ms, 2000)

    def test_unregistered_upstream_that_drains_is_confirmed_and_not_registered(self):
        self.assertEqual(self.announce(state="draining"), 200)
        self.assertIsNone(self.row())

    # Guards against the same when the next incarnation deregisters at once.
    def test_deregistration_of_the_next_incarnation_ends_requests_to_both(self):
        self.announce(born=1000)
        self.assertEqual(self.first.call(LeaderAction.LEAVE, "i1", b"2000").status, 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    # Guards against requests to an upstream whose deregistration was confirmed: a late
    # heartbeat registered it.
    def test_late_heartbeat_does_not_undo_a_deregistration(self):
        self.assertEqual(self.deregister(1000), 200)
        self.assertEqual(self.announce(born=1000, seq=1), 400)
        self.assertIsNone(self.row())
        self.assertEqual(self.announce(born=2000, seq=1), 200)
        self.assertEqual(self.row().state, UpstreamState.READY)

    def test_late_heartbeat_of_the_next_incarnation_does_not_undo_its_end(self):
        self.announce(born=1000, seq=50)
        self.deregister(2000)
        self.assertEqual(self.announce(born=2000, seq=1), 400)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_late_heartbeat_does_not_undo_a_drain_at_another_leader(self):
        self.assertEqual(self.announce(born=1000, seq=9, state="draining"), 200)
        self.transfer_leadership()
        self.assertEqual(self.announce(replica=self.second, born=1000, seq=6), 400)
        self.assertIsNone(self.row())

    def test_late_heartbeat_does_not_undo_an_end_whose_row_has_expired(self):
        self.announce(born=1000)
        self.deregister(1000)
        run = cmd.UpstreamIncarnation("s2", "i1", "1000")
        self.first.nodes.leadership.propose(cmd.ExpireUpstreams([run]))
        self.assertEqual(self.announce(born=1000, seq=60), 400)
        self.assertIsNone(self.row())

    def test_deregistration_ends_a_registration_that_is_not_logged_yet(self):
        beat = gevent.spawn(self.announce, born=1000)
        gevent.sleep(0)
        self.assertIsNone(self.row())
        self.assertEqual(self.deregister(1000), 200)
        beat.join()
        row = self.row()
        self.assertTrue(row is None or row.state is UpstreamState.LEAVING, row)

    def test_unstated_start_does_not_bar_the_next_process_of_the_same_id(self):
        for _ in range(2):
            self.assertEqual(self.announce(born=UNSTATED_BORN_MS), 200)
            self.assertEqual(self.row().state, UpstreamState.READY)
            self.assertEqual(self.first.call(LeaderAction.LEAVE, "i1").status, 200)
            self.assertEqual(self.row().state, UpstreamState.LEAVING)
            run = cmd.UpstreamIncarnation("s2", "i1", str(UNSTATED_BORN_MS))
            self.first.nodes.leadership.propose(cmd.ExpireUpstreams([run]))
            self.transfer_leadership()
            self.first, self.second = self.second, self.first

    def deregister(self, born_ms, replica=None):
        body = str(born_ms).encode()
        return (replica or self.first).call(LeaderAction.LEAVE, "i1", body).status

    def test_address_belongs_to_the_upstream_started_last(self):
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

    def test_deregistration_of_another_incarnation_is_ignored(self):
        self.announce(born=1000)
        self.assertEqual(self.first.call(LeaderAction.LEAVE, "i1", b"900").status, 200)
        self.assertEqual(self.row().state, UpstreamState.READY)
        self.assertEqual(self.first.call(LeaderAction.LEAVE, "i1").status, 200)
        self.assertEqual(self.row().state, UpstreamState.LEAVING)

    def test_former_leader_confirms_no_heartbeat(self):
        self.first.replicator.leads = False
        self.assertEqual(self.announce(), 503)

    def test_repeated_evacuation_is_confirmed(self):
        for _ in range(2):
            self.assertEqual(self.first.call(LeaderAction.EVACUATE, "a").status, 200)
        self.assertEqual(self.first.state.evacuations.zones, {"a"})
        self.assertEqual(self.first.call(LeaderAction.EVACUATE, "nowhere").status, 400)

    def test_heartbeat_answer_states_the_address_of_the_leader(self):
        item = decode_heartbeat("i1", encode_body(heartbeat_body()))
        answer = self.first.call(LeaderAction.ANNOUNCE, "i1", encode_announcement(item))
        body = msgspec.json.decode(answer.body)
        self.assertEqual(body["heartbeat_address"], "10.0.0.1:80")
        self.assertNotIn("holds", body)

    # Guards against an answer without `holds`, which renews nothing.
    def test_heartbeat_answer_states_what_the_upstream_is_to_hold(self):
        with gevent.Timeout(5):
            for sequence in itertools.count(1):
                body = self.announce_ranged(sequence)
                if body.get("holds"):
                    break
                gevent.sleep(0.1)
        ((first, last, fence, handover),) = body["holds"]
        self.assertEqual((first, last, handover), (0, LAST_KEY, ""))
        self.assertGreater(fence, 0)
        self.assertEqual(body["hold_time"], "3000ms")

    def announce_ranged(self, sequence):
        fields = heartbeat_body(service="s1", seq=sequence)
        item = decode_heartbeat("i1", encode_body(fields))
        answer = self.first.call(LeaderAction.ANNOUNCE, "i1", encode_announcement(item))
        self.assertEqual(answer.status, 200)
        return msgspec.json.decode(answer.body)


class LifecycleOrderTests(CallHandlerTestCase):
    """Guards against an ended upstream that gets requests, whatever arrives late.

    The calls of two processes with the same id arrive in any order, with a restart of
    control at any place.
    """

    CALLS = (
        ("ready", 1000, 1),
        ("draining", 1000, 2),
        ("deregister", 1000, 3),
        ("ready", 2000, 1),
    )
    RESTART = ("restart", 0, 0)

    def test_every_order_of_calls_with_a_restart_of_control(self):
        self.replace_config(config_body())
        names = (f"i{number}" for number in itertools.count())
        for order in itertools.permutations((*self.CALLS, self.RESTART)):
            with self.subTest(order=order):
                self.check(next(names), order)

    def check(self, upstream, order):
        has_ended = has_started = False
        for what, born_ms, sequence in order:
            status = self.send(upstream, what, born_ms, sequence)
            if born_ms == 1000 and what != "ready" and status == 200:
                has_ended = True
            has_started |= born_ms == 2000
            row = self.first.state.rows.upstreams.get(UpstreamId("s2", upstream))
            takes_work = row is not None and row.state is UpstreamState.READY
            if has_started:
                self.assertEqual((takes_work, row and row.born_ms), (True, 2000))
            elif has_ended:
                self.assertFalse(takes_work, row)

    def send(self, upstream, what, born_ms, sequence):
        if what == "restart":
            self.restart()
            return 0
        if what == "deregister":
            call = LeaderCall(LeaderAction.LEAVE, upstream, str(born_ms).encode())
        else:
            # Each upstream has an address of its own, as long as its last process runs.
            address = f"10.0.1.{upstream[1:]}:8080"
            fields = heartbeat_body(
                state=what, born=born_ms, seq=sequence, address=address
            )
            item = decode_heartbeat(upstream, encode_body(fields))
            body = encode_announcement(item)
            call = LeaderCall(LeaderAction.ANNOUNCE, upstream, body)
        return self.first.handler.handle(call).status

    def restart(self):
        """Let the other replica lead, from a snapshot."""
        self.second.state.restore(self.first.state.snapshot())
        self.transfer_leadership()
        self.first, self.second = self.second, self.first


if __name__ == "__main__":
    unittest.main()
