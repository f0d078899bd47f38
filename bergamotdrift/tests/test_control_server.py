import unittest
from unittest import mock

import gevent
import msgspec
from geventhttpclient import HTTPClient
from returns.result import Failure, Success

from bergamotdrift import feed_streams, messages
from bergamotdrift.clock import BootClock
from bergamotdrift.config.schema import ControlSettings, NodeSettings
from bergamotdrift.control_client import ControlClient
from bergamotdrift.control_server import ControlServer
from bergamotdrift.control_state import ControlState
from bergamotdrift.exceptions import CallError, ErrorKind
from bergamotdrift.hashing import key_digest
from bergamotdrift.messages import (
    Announcement,
    Hello,
    NodeRow,
    RelayAnnouncements,
    Role,
    UpstreamState,
)
from bergamotdrift.streams import StreamServer, parse_address
from bergamotdrift.tests.control_simulation import change, service, site
from bergamotdrift.tests.fake_replicator import FakeLog, FakeReplicator

KEY = "operator"


def check(mapping):
    """Check settings in place of the site check: `partitions` must be positive."""
    count = mapping.get("partitions", 4)
    if count < 1:
        return Failure(["partitions must be positive", "no zones"])
    return Success(site([service(partitions=count)]))


class Observer:
    def on_tables_changed(self, update):
        pass


class Replica:
    """A control server on a fake log."""

    def __init__(self, log, name):
        cfg = ControlSettings(
            NodeSettings("test", name, name, "a", (), ""),
            "127.0.0.1:0",
            "127.0.0.1:0",
            "",
            (),
            (key_digest(KEY),),
            100,
        )
        self.state = ControlState()
        self.replicator = FakeReplicator(log, name, self.state)
        hello = Hello("test", name, Role.CONTROL, "i1")
        self.server = ControlServer(
            cfg, hello, self.state, self.replicator, BootClock(), check
        )
        self.streams = StreamServer("127.0.0.1:0", hello, self.server)
        self.streams.start()
        self.server.start()

    def stop(self):
        self.server.stop()
        self.streams.stop()


class ServerTestCase(unittest.TestCase):
    def setUp(self):
        log = FakeLog()
        self.replicas = [Replica(log, f"c{n}") for n in range(2)]
        for replica in self.replicas:
            self.addCleanup(replica.stop)
        self.lead(0)

    def lead(self, number):
        for replica in self.replicas:
            replica.replicator.leads = False
            replica.replicator.address = self.replicas[number].streams.address
        self.leader = self.replicas[number]
        self.leader.replicator.become_leader()
        self.wait_until(
            lambda: self.leader.server.node_streams.leadership.leader_state()
        )

    def wait_until(self, condition, timeout_s=5.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.01)

    def client(self, name="x1", role=Role.ARBITER, incarnation="i1", start=True):
        hello = Hello("test", name, role, incarnation)
        row = NodeRow(name, role, incarnation, name, "a", "")
        addresses = tuple(r.streams.address for r in self.replicas)
        client = ControlClient(addresses, hello, lambda: row, BootClock(), Observer())
        if start:
            client.start()
            self.addCleanup(client.stop)
        return client

    def http(self, method, path, body=None, key=KEY, replica=None):
        server = (replica or self.leader).server.http
        client = HTTPClient(*parse_address(server.address))
        self.addCleanup(client.close)
        data = msgspec.json.encode(body) if body is not None else b""
        headers = {"Authorization": f"Bearer {key}"}
        resp = client.request(method, path, body=data, headers=headers)
        return resp.status_code, msgspec.json.decode(resp.read())

    def apply(self, base, request, replica=None, partitions=4, **kwargs):
        body = {
            "request": request,
            "base_revision": base,
            "author": "ann",
            "settings": {"partitions": partitions},
        }
        return self.http("POST", "/v1/settings", body, replica=replica, **kwargs)


class FeedTests(ServerTestCase):
    """Guards against a leader that encodes each feed update once per node."""

    def test_change_is_packed_once_and_reaches_all_nodes(self):
        clients = [self.client(f"x{n}") for n in range(12)]
        nodes = self.leader.state.rows.nodes
        self.wait_until(lambda: len(nodes) == len(clients))
        self.wait_until(lambda: all(c.session_is_valid() for c in clients))
        with mock.patch.object(
            feed_streams, "pack_one_way", wraps=feed_streams.pack_one_way
        ) as packed:
            self.assertEqual(self.apply(0, "r1")[0], 200)
            self.wait_until(lambda: all(c.tables.settings for c in clients))
        self.assertLess(packed.call_count, len(clients))


class SessionTests(ServerTestCase):
    """Guards sessions and the feed, in particular under a leader without quorum."""

    def test_node_registers_and_follows_the_feed(self):
        client = self.client()
        self.wait_until(lambda: "x1" in client.tables.nodes)
        self.assertEqual(self.apply(0, "r1")[0], 200)
        self.wait_until(lambda: client.tables.revision == 1, timeout_s=1.0)
        self.wait_until(client.ready.is_set, timeout_s=1.0)
        self.wait_until(lambda: client.tables.shards, timeout_s=1.0)
        self.assertTrue(client.session_is_valid())

    def test_node_follows_the_leader_and_settings_never_revert(self):
        client = self.client()
        self.apply(0, "r1")
        self.wait_until(lambda: client.tables.revision == 1)
        self.lead(1)
        self.apply(1, "r2")
        self.wait_until(lambda: client.tables.revision == 2)
        self.assertEqual(len(self.replicas[0].server.node_streams._feed), 0)

    def test_leader_without_quorum_confirms_and_pushes_nothing(self):
        client = self.client()
        self.apply(0, "r1")
        self.wait_until(client.ready.is_set)
        self.leader.replicator.leads = False
        index = client.tables.index
        self.leader.replicator.log.commit(
            messages.encode(change(site([]), 1, request="r2"))
        )
        gevent.sleep(1.6)
        self.assertEqual(client.tables.index, index)
        self.assertFalse(client.session_is_valid())
        self.assertGreater(client.settings_age_ms(), 1000)

    # Guards against entries that all reconnect, and grants that all start again, since
    # the quorum lease of their leader lapsed for less than an election takes.
    def test_short_lapse_of_the_lease_keeps_streams_and_leader_state(self):
        client = self.client()
        self.apply(0, "r1")
        self.wait_until(client.ready.is_set)
        leadership = self.leader.server.node_streams.leadership
        stream, state = client._client, leadership.leader_state()
        self.leader.replicator.has_lease = False
        gevent.sleep(0.35)
        self.assertIsNone(leadership.leader_state())
        self.leader.replicator.has_lease = True
        self.wait_until(lambda: client.settings_age_ms() < 200, timeout_s=0.5)
        self.assertIs(client._client, stream)
        self.assertIs(leadership.leader_state(), state)

    # Guards against confirming pings, and against keeping them, while a replica that
    # had the lead can't reach a quorum.
    def test_ping_in_a_lapse_is_redirected_once_the_leadership_is_lost(self):
        client = self.client()
        self.wait_until(lambda: client.session_is_valid())
        self.leader.replicator.has_lease = False
        gevent.sleep(0.3)
        self.assertEqual(len(self.leader.server.node_streams._pending_pings), 1)
        self.lead(1)
        self.replicas[0].replicator.leads = False
        self.wait_until(lambda: client.settings_age_ms() > 0, timeout_s=1.0)
        self.wait_until(
            lambda: (
                client._leader_address == self.leader.streams.address
                and client.session_is_valid()
            ),
            timeout_s=1.0,
        )
        self.assertEqual(self.replicas[0].server.node_streams._pending_pings, [])

    def test_new_incarnation_of_a_node_waits_for_the_old_session_to_expire(self):
        first = self.client()
        self.wait_until(lambda: first.session_is_valid())
        second = self.client(incarnation="i2")
        gevent.sleep(0.5)
        self.assertFalse(second.session_is_valid())
        self.assertTrue(first.session_is_valid())

    def test_planned_stop_ends_the_session_at_once(self):
        client = self.client(start=False)
        client.start()
        self.wait_until(lambda: client.session_is_valid())
        client.stop()
        self.wait_until(lambda: not len(self.leader.state.rows.nodes), timeout_s=0.5)

    def test_failed_proposals_are_retried(self):
        self.leader.replicator.dropped_proposals = 3
        client = self.client()
        self.wait_until(lambda: client.session_is_valid())

    def test_stalled_leader_restarts_all_times_to_live(self):
        client = self.client()
        self.wait_until(lambda: client.session_is_valid())
        leadership = self.leader.server.node_streams.leadership
        before = leadership.leader_state()
        leadership._last_progress_ms -= 10_000
        self.wait_until(lambda: leadership.leader_state() not in (None, before))

    def test_ping_with_the_row_of_another_node_is_refused(self):
        client = self.client(start=False)
        conn = client._connect(self.leader.streams.address).ready_connection(1000)
        row = NodeRow("other", Role.ARBITER, "i1", "vm", "a", "")
        with self.assertRaises(CallError) as caught:
            conn.call(messages.Ping(row, 0), 1000)
        self.assertEqual(caught.exception.refusal.kind, ErrorKind.FORBIDDEN)
        client._close_client()


class AnnouncementTests(ServerTestCase):
    """Guards against grants to announcements from senders without a session."""

    def batch(self, of="s"):
        item = Announcement(of, "u1", "127.0.0.1:1", "a", "i1", UpstreamState.READY, [])
        return RelayAnnouncements([item])

    def test_announced_upstream_gets_its_partitions(self):
        client = self.client()
        self.apply(0, "r1")
        self.wait_until(client.ready.is_set)

        def grants():
            gevent.sleep(0.1)
            return client.call(self.batch()).items[0].grants

        self.wait_until(lambda: len(grants()) == 4)
        self.assertEqual(client.call(self.batch("other")).items[0].grants, [])

    def test_entry_may_not_relay(self):
        client = self.client(role=Role.ENTRY)
        self.wait_until(lambda: client.session_is_valid())
        with self.assertRaises(CallError):
            client.call(self.batch())


class OperatorTests(ServerTestCase):
    """Guards the operator API: conflicts, retries, errors and forwarding."""

    def test_apply_show_and_audit_through_a_follower(self):
        follower = self.replicas[1]
        status, body = self.apply(0, "r1", replica=follower)
        self.assertEqual((status, body), (200, {"revision": 1, "outcome": "accepted"}))
        _, shown = self.http("GET", "/v1/settings", replica=follower)
        self.assertEqual(
            shown, {"revision": 1, "author": "ann", "settings": {"partitions": 4}}
        )
        _, audit = self.http("GET", "/v1/audit?after=0&limit=5", replica=follower)
        self.assertEqual([row["author"] for row in audit["rows"]], ["ann"])
        _, shown = self.http("GET", "/v1/status", replica=follower)
        self.assertEqual(shown["services"][0]["partitions"]["vacant"], 4)

    def test_concurrent_changes_of_operators(self):
        jobs = [
            gevent.spawn(self.apply, 0, f"r{n}", self.replicas[n % 2], n + 1)
            for n in range(6)
        ]
        gevent.joinall(jobs, raise_error=True)
        answers = [job.value for job in jobs]
        self.assertEqual(sorted(status for status, _ in answers), [200] + [409] * 5)
        lost = next(body for status, body in answers if status == 409)
        self.assertEqual((lost["error"], lost["revision"]), ("revision_conflict", 1))
        self.assertEqual(lost["author"], "ann")

    def test_retry_after_a_lost_reply(self):
        self.leader.replicator.lost_replies = 1
        self.assertEqual(self.apply(0, "r1")[0], 503)
        self.lead(1)
        self.assertEqual(self.apply(0, "r1")[1]["revision"], 1)
        self.assertEqual(self.apply(0, "r1", partitions=5)[0], 400)
        self.assertEqual(self.leader.state.settings.revision, 1)

    def test_invalid_settings_name_all_problems_and_are_audited(self):
        status, body = self.apply(0, "r1", partitions=0)
        self.assertEqual((status, body["error"]), (422, "invalid_settings"))
        self.assertIn("partitions must be positive; no zones", body["message"])
        row = self.leader.state.settings.audit.page(0, 1)[0]
        self.assertEqual(row.kind, ErrorKind.INVALID_SETTINGS)

    def test_wrong_key_changes_nothing(self):
        self.assertEqual(self.apply(0, "r1", key="wrong")[0], 401)
        self.assertEqual(self.leader.state.settings.revision, 0)

    def test_malformed_bodies(self):
        bodies: tuple = ([], {}, {"request": 1}, {"request": "r", "base_revision": "x"})
        for body in bodies:
            status, answer = self.http("POST", "/v1/settings", body)
            self.assertEqual((status, answer["error"]), (400, "malformed_request"))

    def test_no_leader(self):
        for replica in self.replicas:
            replica.replicator.leads = False
            replica.replicator.address = ""
        self.assertEqual(self.apply(0, "r1")[1]["error"], "no_quorum")

    def test_commands_are_logged_for_operators(self):
        with mock.patch("bergamotdrift.control_log_events.log_event") as log:
            self.apply(0, "r1")
        self.assertEqual(log.call_args_list[0].args, ("settings_change",))
        self.assertEqual(self.leader.state.settings.author, "ann")


if __name__ == "__main__":
    unittest.main()
