import re
import unittest
from unittest import mock

import gevent

from bergamotdrift import constants
from bergamotdrift.clock import BootClock
from bergamotdrift.control_client import ControlClient
from bergamotdrift.messages import Hello, NodeRow, NotLeader, Ping, Pong, RateNeed, Role
from bergamotdrift.pings import MAX_PINGS_IN_FLIGHT
from bergamotdrift.tests.control_simulation import site
from bergamotdrift.tests.entry_fakes import FakeControl
from bergamotdrift.tests.log_capture import capture_log


class _Observer:
    def on_tables_changed(self, update):
        pass


class _Payload:
    """Asks for one token with each ping."""

    def __init__(self):
        self.taken = []

    def rate_needs(self):
        return [RateNeed("w1", 1, 0, 0)]

    def key_loads(self):
        return []

    def speeds(self):
        return []

    def reports(self):
        return []

    def pace_needs(self):
        return []

    def version_results(self):
        return []

    def take_rates(self, lots, asked_at_ms):
        self.taken.append(asked_at_ms)

    def take_paces(self, lots, asked_at_ms):
        pass


def start_client(test, *addresses):
    """Return a started client that looks for the leader at the addresses."""
    hello = Hello("test", "n1", Role.ENTRY, "i")
    row = NodeRow("n1", Role.ENTRY, "i", "vm1", "a", "")
    client = ControlClient(addresses, hello, lambda: row, BootClock(), _Observer())
    client.start()
    test.addCleanup(client.stop)
    return client


def wait_until(condition, timeout_s=5.0):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


class SessionLinesTests(unittest.TestCase):
    """Guards against a lost leader or a slow reply that leaves no line in the log."""

    def setUp(self):
        self.log = capture_log(self)
        self.control = FakeControl()
        self.addCleanup(self.control.server.stop)

    def test_found_and_lost_leader(self):
        start_client(self, self.control.server.address)
        wait_until(lambda: self.log.of_event("control_found"))
        self.control.server.stop()
        wait_until(lambda: self.log.of_event("control_lost"))
        lost = self.log.of_event("control_lost")[0]
        self.assertIn(f"replica={self.control.server.address} ", lost)
        self.assertRegex(
            lost, r"reason=.+ after_ms=\d+ index=\d+ .*settings_age_ms=\d+"
        )

    def test_slow_reply(self):
        clock = BootClock()
        started_ms = clock.now_ms()
        start_client(self, self.control.server.address)
        wait_until(lambda: self.log.of_event("control_found"))
        self.control.reply_delay_s = 0.6
        wait_until(lambda: self.log.of_event("control_ping_slow"))
        line = self.log.of_event("control_ping_slow")[0]
        found = re.search(r"took_ms=(\d+) leader_index=1 ", line)
        assert found is not None, line
        self.assertIn(int(found[1]), range(600, int(clock.now_ms() - started_ms) + 1))


def start_leader(test):
    """Return a fake leader that has settings."""
    control = FakeControl()
    control.update = control.update._replace(settings=site([]))
    test.addCleanup(control.server.stop)
    return control


class SlowLinkTests(unittest.TestCase):
    """Guards against entries that leave a leader whose replies come late but steadily.

    Looking for the leader anew takes longer than the replies, and settings get stale.
    """

    def setUp(self):
        self.control = start_leader(self)
        self.client = start_client(self, self.control.server.address)
        wait_until(self.client.ready.is_set)

    def delay_replies(self, delay_s):
        """Delay each reply by a time, without delaying those after it."""

        def reply(conn, number, msg):
            self.control.received.append(msg)
            if isinstance(msg, Ping) and number:
                gevent.spawn_later(delay_s, conn.reply, number, pong)

        pong = Pong("c1", 1, self.control.update.to_index, 1500)
        self.control.on_message = reply

    def test_settings_stay_confirmed_while_replies_take_longer_than_a_second(self):
        self.delay_replies(1.2)
        stream = self.client._client
        oldest_ms = 0.0
        for _ in range(60):
            gevent.sleep(0.05)
            oldest_ms = max(oldest_ms, self.client.settings_age_ms())
        self.assertIs(self.client._client, stream)
        self.assertLess(oldest_ms, constants.SETTINGS_MAX_AGE_MS)

    # Guards against tokens that are asked for only while no other ping is in flight,
    # which is never the case if replies take longer than the interval of the pings.
    def test_payload_is_sent_again_after_its_reply(self):
        self.delay_replies(0.4)
        payload = _Payload()
        self.client._payload = payload
        gevent.sleep(2.5)
        self.assertIn(len(payload.taken), (4, 5, 6))

    def test_pings_in_flight_are_limited(self):
        self.delay_replies(1.9)
        self.control.received.clear()
        gevent.sleep(1.8)
        pings = [msg for msg in self.control.received if isinstance(msg, Ping)]
        self.assertLessEqual(len(pings), MAX_PINGS_IN_FLIGHT)

    # Guards against waiting for a replica that sends heartbeats but answers no ping.
    def test_replica_without_replies_is_left(self):
        stream = self.client._client
        self.control.silent = True
        wait_until(lambda: self.client._client is not stream, timeout_s=2.7)

    # Guards against waiting longer for a connection that has failed without a reset.
    def test_silent_stream_is_left_after_a_second(self):
        with mock.patch.object(constants, "STREAM_HEARTBEAT_MS", 60_000):
            control = start_leader(self)
            client = start_client(self, control.server.address)
            wait_until(client.ready.is_set)
            stream = client._client
            control.silent = True
            wait_until(lambda: client._client is not stream, timeout_s=1.9)


class RedirectTests(unittest.TestCase):
    """Guards against a leader that is not found although replicas name it."""

    def start_follower(self, leader):
        """Return a replica that redirects pings to the leader."""
        follower = FakeControl()
        self.addCleanup(follower.server.stop)

        def redirect(conn, number, msg):
            follower.received.append(msg)
            conn.reply(number, NotLeader(leader.server.address))

        follower.on_message = redirect  # type: ignore[method-assign]
        return follower

    def test_leader_is_followed_again_after_its_connection_was_lost(self):
        leader = start_leader(self)
        follower = self.start_follower(leader)
        client = start_client(self, follower.server.address)
        wait_until(client.ready.is_set)
        # The address of the leader is known from replies only.
        client._replicas = [follower.server.address]
        for conn in list(leader.server.connections):
            conn.close("test")
        gevent.sleep(0.2)
        wait_until(lambda: client.settings_age_ms() < 200, timeout_s=1.5)

    # Guards against waiting for a connection to the leader that has just failed: the
    # followers must hear of it to replace the leader, and then the new one be found.
    def test_leader_that_fell_silent_is_not_tried_again_at_once(self):
        leader = start_leader(self)
        address = leader.server.address
        followers = [self.start_follower(leader) for _ in range(2)]
        one, two = (follower.server.address for follower in followers)
        client = start_client(self, one, address, two)
        wait_until(client.ready.is_set)
        connect = mock.Mock(wraps=client._connect)
        with mock.patch.object(client, "_connect", connect):
            leader.silent = True
            wait_until(lambda: connect.call_count >= 4)
        asked = [call.args[0] for call in connect.call_args_list[:4]]
        self.assertEqual(asked, [two, one, two, one])
        for follower in followers:
            pings = [msg for msg in follower.received if isinstance(msg, Ping)]
            self.assertIn(address, {ping.unreachable for ping in pings})


if __name__ == "__main__":
    unittest.main()
