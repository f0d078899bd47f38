import json
import unittest

import gevent

from bergamotdrift.config.schema import RolloutBounds
from bergamotdrift.control_state import ControlState
from bergamotdrift.messages import (
    Hello,
    NodeRow,
    Ping,
    Role,
    RolloutState,
    VersionResult,
)
from bergamotdrift.operator_views import status_view
from bergamotdrift.platform.boot import control_settings, decode_boot
from bergamotdrift.platform.decoding import WireError
from bergamotdrift.platform.heartbeats import decode_heartbeat
from bergamotdrift.platform.leader_call_handler import (
    LeaderAction,
    encode_announcement,
)
from bergamotdrift.platform.rollouts import decode_order
from bergamotdrift.tests.platform_support import (
    config_body,
    encode_body,
    heartbeat_body,
)
from bergamotdrift.tests.test_platform_leader_call_handler import CallHandlerTestCase

BOUNDS = RolloutBounds(0.1, 50.0, 5000.0)
SERVICE = heartbeat_body()["service"]


class RolloutTestCase(CallHandlerTestCase):
    def setUp(self):
        super().setUp()
        for replica in (self.first, self.second):
            replica.handler._rollout = BOUNDS
        self.replace_config(config_body())

    def order(self, replica=None, **changes):
        order = {"service": SERVICE, "target": "v2", "duration": "12s"} | changes
        replica = replica or self.first
        body = encode_body(order)
        return replica.call(LeaderAction.START_ROLLOUT, body=body).status

    def read(self, service=SERVICE, replica=None):
        answer = (replica or self.first).call(LeaderAction.READ_ROLLOUT, service)
        return answer.status, json.loads(answer.body)

    def row(self):
        return self.first.state.rows.rollouts.get(SERVICE)


class RolloutCallTests(RolloutTestCase):
    """Guards the orders of operators, and what they read of a rollout."""

    def test_order_is_confirmed_and_read(self):
        self.assertEqual(self.read()[0], 404)
        self.assertEqual(self.order(), 200)
        self.assertEqual(self.read(), (200, {"state": "running", "target": "v2"}))

    def test_repeated_order_is_confirmed_by_any_leader(self):
        self.assertEqual(self.order(), 200)
        self.assertEqual(self.order(), 200)
        self.transfer_leadership()
        self.assertEqual(self.order(self.second), 200)
        self.assertEqual(self.read(replica=self.second)[1]["state"], "running")

    def test_repeated_order_after_a_lost_answer_is_confirmed(self):
        self.first.replicator.lost_replies = 1
        self.assertEqual(self.order(), 503)
        self.assertEqual(self.order(), 200)

    def test_another_rollout_of_the_service_is_a_conflict(self):
        self.order()
        self.assertEqual(self.order(target="v3"), 409)
        self.assertEqual(self.read()[1]["target"], "v2")

    def test_replica_that_does_not_lead_is_not_sure(self):
        self.order()
        self.assertEqual(self.read(replica=self.second)[0], 503)
        self.assertEqual(self.order(self.second), 503)

    def test_invalid_orders(self):
        self.assertEqual(self.order(service="unknown"), 404)
        for changes in (
            {"duration": "12"},
            {"duration": "0s"},
            {"duration": None},
            {"target": ""},
            {"target": 2},
            {"target": "v" * 200},
            {"service": ["s"]},
        ):
            with self.subTest(changes):
                self.assertEqual(self.order(**changes), 400)
        self.assertEqual(self.read()[0], 404)

    def test_no_rollouts_without_bounds(self):
        self.first.handler._rollout = None
        self.assertEqual(self.order(), 400)

    def test_version_of_a_heartbeat_reaches_the_row(self):
        body = json.dumps(heartbeat_body(version="v1")).encode()
        item = encode_announcement(decode_heartbeat("i-1", body))
        self.assertEqual(
            self.first.call(LeaderAction.ANNOUNCE, "i-1", item).status, 200
        )
        (row,) = self.first.state.rows.upstreams.rows()
        self.assertEqual(row.version, "v1")
        self.order()
        self.assertEqual(self.row().old_versions, ["v1"])

    def test_status_shows_the_rollout(self):
        self.order()
        status = self.first.replicator.status()
        (shown,) = status_view(self.first.state, status)["rollouts"]
        self.assertEqual((shown["state"], shown["target"]), ("running", "v2"))

    def test_rollout_survives_a_snapshot(self):
        self.order()
        copy = ControlState()
        copy.restore(self.first.state.snapshot())
        self.assertEqual(copy.rows.rollouts.get(SERVICE), self.row())
        self.assertIs(self.row().state, RolloutState.RUNNING)
        self.assertEqual(copy.update_since(0).rollouts, [self.row()])


class _Stream:
    """Stream of an entry that only takes replies."""

    closed = False

    def __init__(self, row):
        self.peer = Hello("test", row.node, row.role, row.incarnation)
        self.replies = []

    def reply(self, number, msg):
        self.replies.append(msg)

    def send(self, msg):
        pass

    def send_packed(self, *_):
        pass


class LeaderRoundTests(RolloutTestCase):
    """Guards the way from the pings of entries to the steps of the leader."""

    entry = NodeRow("e1", Role.ENTRY, "i", "vm1", "a", "")

    def ping(self, stream, results):
        index = self.first.state.feed_index
        msg = Ping(self.entry, index, version_results=results)
        self.first.nodes.on_message(stream, 1, msg)

    def test_failures_in_a_ping_roll_back(self):
        self.order()
        number = self.row().number
        old = VersionResult(SERVICE, number, "v1", "r", 0, 500, 0, 0, [500])
        new = VersionResult(SERVICE, number, "v2", "r", 0, 20, 10, 0, [10])
        self.ping(_Stream(self.entry), [old, new])
        with gevent.Timeout(3):
            while self.read()[1]["state"] == "running":
                gevent.sleep(0.01)
        self.assertEqual(self.read()[1], {"state": "rolled_back", "target": "v2"})

    def test_results_of_another_rollout_are_ignored(self):
        self.order()
        new = VersionResult(SERVICE, 1, "v2", "r", 0, 20, 10, 0, [10])
        self.ping(_Stream(self.entry), [new])
        gevent.sleep(0.4)
        self.assertEqual(self.read()[1]["state"], "running")


class DecodingTests(unittest.TestCase):
    """Guards against versions and bounds that are read wrongly."""

    def test_versions_of_heartbeats(self):
        fields = heartbeat_body()
        del fields["version"]
        for stated, expected in (({}, ""), ({"version": None}, "")):
            body = json.dumps(fields | stated).encode()
            self.assertEqual(decode_heartbeat("i", body).version, expected)
        for version in (1, ["v1"], "v\n1", "v" * 200):
            body = json.dumps(heartbeat_body(version=version)).encode()
            with self.assertRaises(WireError):
                decode_heartbeat("i", body)

    def test_order(self):
        order = decode_order(b'{"service":"s","target":"v2","duration":"1500ms"}')
        self.assertEqual(order, ("s", "v2", 1500))

    def test_bounds(self):
        fields = {
            "node": "n",
            "ip": "10.0.0.1",
            "zone": "a",
            "listen": {"control": "10.0.0.1:80"},
            "port_range": [7340, 7349],
            "data_dir": "/data",
        }
        bounds = {"exposure_share": 0.1, "exposure_slack": 50, "rollback": "5s"}
        for rollback in ("5s", "5000ms", 5000):
            boot = decode_boot(fields | {"bounds": bounds | {"rollback": rollback}})
            self.assertEqual(control_settings(boot).rollout, BOUNDS)
        for missing in bounds:
            kept = {k: v for k, v in bounds.items() if k != missing}
            boot = decode_boot(fields | {"bounds": kept})
            self.assertIsNone(control_settings(boot).rollout)
        for wrong in ({"exposure_share": 2}, {"exposure_slack": -1}, {"rollback": "x"}):
            with self.assertRaises(WireError):
                decode_boot(fields | {"bounds": bounds | wrong})


if __name__ == "__main__":
    unittest.main()
