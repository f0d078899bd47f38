import json
import unittest
from typing import Any
from unittest import mock

from falcon import testing

from bergamotdrift.operator_messages import OperatorAnswer
from bergamotdrift.platform import control_api, names
from bergamotdrift.platform.control_api import LeaderCalls, control_app
from bergamotdrift.platform.leader_call_handler import INVALID, Action
from bergamotdrift.tests.platform_support import config, encoded, heartbeat


class FakeServer:
    """Takes the calls to the leader, and answers them all alike."""

    def __init__(self):
        self.calls = []

    def call_leader(self, call, leader):
        self.calls.append(call)
        return OperatorAnswer(200, b"{}")


def client_of(server: Any, leader: Any) -> testing.TestClient:
    return testing.TestClient(control_app(LeaderCalls(server, leader)))


class ControlApiTestCase(unittest.TestCase):
    def setUp(self):
        self.server = FakeServer()
        self.client = client_of(self.server, None)

    def post(self, path, body=b"", **headers):
        return self.client.simulate_post(path, body=body, headers=headers).status_code


class CallTests(ControlApiTestCase):
    """Guards the mapping of the platform's calls to the leader's actions."""

    def test_each_call_reaches_the_leader_with_its_subject(self):
        beat = encoded(heartbeat())
        whole = encoded(config())
        expected = [
            (names.CONFIG_REPLACE, whole, Action.REPLACE, ""),
            (names.CONFIG_UPDATE, whole, Action.UPDATE, ""),
            (names.HEARTBEAT, beat, Action.ANNOUNCE, "i-1"),
            (names.DEREGISTER, b"", Action.LEAVE, "i-1"),
            (names.EVACUATION_START, b"", Action.EVACUATE, "a"),
            (names.EVACUATION_STOP, b"", Action.TAKE_BACK, "a"),
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


class UnreadableTests(ControlApiTestCase):
    """Guards against bodies that can't be read, taken or refused without a line."""

    def assert_refused(self, path, body, **headers):
        with mock.patch.object(control_api, "log_event") as log_event:
            self.assertEqual(self.post(path, body, **headers), INVALID)
        (logged,) = log_event.call_args_list
        self.assertEqual(logged.args, ("platform_call_invalid",))
        self.assertEqual(logged.kwargs["action"], path)
        self.assertTrue(logged.kwargs["reason"])
        self.assertEqual(self.server.calls, [])

    def test_foreign_heartbeats_are_refused_with_a_reason(self):
        path = names.HEARTBEAT.replace("{upstream}", "i-1")
        missing = heartbeat()
        del missing["address"]
        bodies = [b"", b"\xff\xfe", b"[]", b'{"service":', json.dumps(missing).encode()]
        bodies.append(encoded(heartbeat(state="asleep")))
        for body in bodies:
            with self.subTest(body=body):
                self.assert_refused(path, body)

    def test_configuration_that_is_cut_short_is_refused_with_a_reason(self):
        body = encoded(config())
        length = {"Content-Length": str(len(body) + 10)}
        self.assert_refused(names.CONFIG_REPLACE, body, **length)


if __name__ == "__main__":
    unittest.main()
