import json
import time
import unittest
from typing import Any
from unittest import mock

import gevent.socket
import msgspec
from falcon import testing
from gevent.event import Event

from bergamotdrift.http_server import HttpServer
from bergamotdrift.operator_messages import OperatorAnswer
from bergamotdrift.platform import control_api, names
from bergamotdrift.platform.control_api import LeaderCallForwarder, control_app
from bergamotdrift.platform.leader_call_handler import (
    INVALID,
    LeaderAction,
    OrderNumber,
)
from bergamotdrift.streams import parse_address
from bergamotdrift.tests.platform_support import (
    config_body,
    encode_body,
    heartbeat_body,
)

ROLLOUT = encode_body({"service": "s1", "target": "v2", "duration": "10s"})


class FakeServer:
    """Records the calls to the leader and accepts each.

    `on_query` is called when the number of the last order is asked for.
    """

    def __init__(self):
        self.calls = []
        self.on_query = lambda: None

    def call_leader(self, call, leader):
        self.calls.append(call)
        if call.action != LeaderAction.LAST_ORDER:
            return OperatorAnswer(200, b"{}")
        self.on_query()
        return OperatorAnswer(200, msgspec.json.encode(OrderNumber(17)))


def make_client(server: Any, leader: Any) -> testing.TestClient:
    return testing.TestClient(control_app(LeaderCallForwarder(server, leader)))


def waiting_caller():
    """Return the fields of a caller that has just sent its call and waits."""
    return {
        "bergamotdrift.caller_watch": mock.Mock(caller_has_left=lambda: False),
        "bergamotdrift.caller_waits_since_s": time.monotonic(),
    }


class ControlApiTestCase(unittest.TestCase):
    def setUp(self):
        self.server = FakeServer()
        self.client = make_client(self.server, None)

    def post(self, path, body=b"", **headers):
        answer = self.client.simulate_post(
            path, body=body, headers=headers, extras=waiting_caller()
        )
        return answer.status_code


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
            (names.ROLLOUT_START, ROLLOUT, LeaderAction.START_ROLLOUT, "s1"),
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


class GivenUpOrderTests(unittest.TestCase):
    """Guards against an order that is forwarded after its caller gave it up.

    It may undo a newer order, which the caller sent to another replica.
    """

    ORDERS = (
        (names.EVACUATION_START.replace("{zone}", "a"), b""),
        (names.EVACUATION_STOP.replace("{zone}", "a"), b""),
        (names.ROLLOUT_START, ROLLOUT),
    )

    def setUp(self):
        self.server = FakeServer()
        server: Any = self.server
        leader: Any = None
        app = control_app(LeaderCallForwarder(server, leader))
        self.http = HttpServer("127.0.0.1:0", app)
        self.http.start()
        self.addCleanup(self.http.stop)

    def connect(self):
        address = parse_address(self.http.address)
        sock = gevent.socket.create_connection(address, timeout=5)
        self.addCleanup(sock.close)
        return sock

    def send(self, sock, path, body):
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
        sock.sendall(head.encode() + b"\r\n\r\n" + body)

    def status(self, sock):
        return int(sock.recv(4096).split()[1])

    def forwarded(self):
        return [c for c in self.server.calls if c.action != LeaderAction.LAST_ORDER]

    def test_order_of_a_waiting_caller_is_tied_to_the_last_one(self):
        for path, body in self.ORDERS:
            with self.subTest(path=path):
                sock = self.connect()
                for _ in range(2):
                    self.send(sock, path, body)
                    self.assertEqual(self.status(sock), 200)
                    self.assertEqual(self.forwarded()[-1].previous_order, 17)

    def test_order_of_a_caller_that_left_is_not_forwarded(self):
        for path, body in self.ORDERS:
            with self.subTest(path=path):
                self.server.calls.clear()
                # As after a freeze: when the order is read, the caller has left.
                asked = Event()
                self.server.on_query = asked.set
                sock = self.connect()
                self.send(sock, path, body)
                sock.close()
                self.assertTrue(asked.wait(3))
                gevent.sleep(0.1)
                self.assertEqual(self.forwarded(), [])

    def test_order_is_not_forwarded_once_its_caller_must_have_left(self):
        self.server.on_query = lambda: gevent.sleep(control_api.CALLER_TIMEOUT_S)
        sock = self.connect()
        self.send(sock, *self.ORDERS[0])
        self.assertEqual(self.status(sock), 503)
        self.assertEqual(self.forwarded(), [])

    def test_order_that_was_held_up_on_its_way_is_not_forwarded(self):
        sock = self.connect()
        gevent.sleep(control_api.CALLER_TIMEOUT_S)
        self.send(sock, *self.ORDERS[0])
        self.assertEqual(self.status(sock), 503)
        self.assertEqual(self.forwarded(), [])


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
