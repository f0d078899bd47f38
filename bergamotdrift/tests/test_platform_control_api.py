import json
import unittest
from typing import Any
from unittest import mock

from falcon import testing

from bergamotdrift.operator_messages import OperatorAnswer
from bergamotdrift.platform import control_api, names
from bergamotdrift.platform.control_api import LeaderCallForwarder, control_app
from bergamotdrift.platform.leader_call_handler import INVALID, LeaderAction
from bergamotdrift.tests.platform_support import (
    config_body,
    encode_body,
    heartbeat_body,
)


class FakeServer:
    """Records the calls to the leader and gives the same answer to each."""

    def __init__(self):
        self.calls = []

    def call_leader(self, call, leader):
        self.calls.append(call)
        return OperatorAnswer(200, b"{}")


def make_client(server: Any, leader: Any) -> testing.TestClient:
    return testing.TestClient(control_app(LeaderCallForwarder(server, leader)))


class ControlApiTestCase(unittest.TestCase):
    def setUp(self):
        self.server = FakeServer()
        self.client = make_client(self.server, None)

    def post(self, path, body=b"", **headers):
        return self.client.simulate_post(path, body=body, headers=headers).status_code


class RoutingTests(ControlApiTestCase):
    """Guards the mapping of the platform's routes to leader actions."""

    def test_each_call_reaches_the_leader_with_its_subject(self):
        heartbeat = encode_body(heartbeat_body())
        full_config = encode_body(config_body())
        expected = [
            (names.CONFIG_REPLACE, full_config, LeaderAction.REPLACE, ""),
            (names.CONFIG_UPDATE, full_config, LeaderAction.UPDATE, ""),
            (names.HEARTBEAT, heartbeat, LeaderAction.ANNOUNCE, "i-1"),
            (names.DEREGISTER, b"", LeaderAction.LEAVE, "i-1"),
            (names.EVACUATION_START, b"", LeaderAction.EVACUATE, "a"),
            (names.EVACUATION_STOP, b"", LeaderAction.END_EVACUATION, "a"),
            (names.ROLLOUT_START, full_config, LeaderAction.START_ROLLOUT, ""),
        ]
        for path, body, action, subject in expected:
            with self.subTest(path=path):
                filled = path.replace("{upstream}", "i-1").replace("{zone}", "a")
                self.assertEqual(self.post(filled, body), 200)
                call = self.server.calls.pop()
                self.assertEqual((call.action, call.subject), (action, subject))

    def test_read_reaches_the_leader(self):
        self.assertEqual(self.client.simulate_get(names.CONFIG_READ).status_code, 200)
        self.assertEqual(len(self.server.calls), 1)

    def test_read_of_a_rollout_reaches_the_leader(self):
        path = names.ROLLOUT_READ.replace("{service}", "s-1")
        self.assertEqual(self.client.simulate_get(path).status_code, 200)
        (call,) = self.server.calls
        self.assertEqual(
            (call.action, call.subject), (LeaderAction.READ_ROLLOUT, "s-1")
        )


class InvalidBodyTests(ControlApiTestCase):
    """Guards against malformed bodies that are accepted, or refused without a log."""

    def assert_refused(self, path, body, **headers):
        with mock.patch.object(control_api, "log_event") as log_event:
            self.assertEqual(self.post(path, body, **headers), INVALID)
        (logged,) = log_event.call_args_list
        self.assertEqual(logged.args, ("platform_call_invalid",))
        self.assertEqual(logged.kwargs["action"], path)
        self.assertTrue(logged.kwargs["reason"])
        self.assertEqual(self.server.calls, [])

    def test_malformed_heartbeats_are_refused_with_a_reason(self):
        path = names.HEARTBEAT.replace("{upstream}", "i-1")
        missing = heartbeat_body()
        del missing["address"]
        bodies = [b"", b"\xff\xfe", b"[]", b'{"service":', json.dumps(missing).encode()]
        bodies.append(encode_body(heartbeat_body(state="asleep")))
        for body in bodies:
            with self.subTest(body=body):
                self.assert_refused(path, body)

    def test_truncated_configuration_is_refused_with_a_reason(self):
        body = encode_body(config_body())
        length = {"Content-Length": str(len(body) + 10)}
        self.assert_refused(names.CONFIG_REPLACE, body, **length)


if __name__ == "__main__":
    unittest.main()
