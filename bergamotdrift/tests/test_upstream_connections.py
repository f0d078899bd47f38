import unittest

import gevent

from bergamotdrift.arbiter_messages import KeptConnections
from bergamotdrift.clock import ManualClock
from bergamotdrift.tests.entry_fakes import OK_ANSWER, EntryTestCase, FakeUpstream
from bergamotdrift.upstream_connections import MAX_IDLE_MS, UpstreamConnectionPool


class IdleConnectionTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.upstream = FakeUpstream()
        self.addCleanup(self.upstream.server.stop, timeout=0)
        self.dropped: list[tuple] = []
        self.pool = UpstreamConnectionPool(
            self.clock, lambda *args: self.dropped.append(args)
        )
        self.addCleanup(self.pool.close_all)

    def open(self):
        conn = self.pool.acquire("s", "u1", self.upstream.address)
        if not conn.reused:
            self.addCleanup(conn.close)
            conn.start_request(self.clock.now_ms() + 1000)
            conn.connect()
        return conn

    def test_kept_connection_is_reused_and_reported(self):
        conn = self.open()
        self.assertTrue(self.pool.put_idle(conn))
        self.assertEqual(self.pool.idle_counts("s"), [KeptConnections("u1", 1)])
        self.assertIs(self.open(), conn)
        self.assertEqual(self.pool.idle_counts("s"), [])

    # Guards against a retry on a connection where a late answer has its request id.
    def test_avoided_connection_is_not_used_and_stays_idle(self):
        first, second = self.open(), self.open()
        self.pool.put_idle(first)
        self.pool.put_idle(second)
        address = self.upstream.address
        self.assertIs(self.pool.acquire("s", "u1", address, [second]), first)
        found = self.pool.acquire("s", "u1", address, [second])
        self.assertFalse(found.reused)
        self.assertIs(self.open(), second)

    def test_expired_connections_are_closed_and_reported_as_dropped(self):
        first, second = self.open(), self.open()
        self.pool.put_idle(first)
        self.clock.advance(MAX_IDLE_MS / 2)
        self.pool.put_idle(second)
        self.clock.advance(MAX_IDLE_MS / 2)
        self.pool.close_stale()
        self.assertEqual((first.closed, second.closed), (True, False))
        self.clock.advance(MAX_IDLE_MS)
        self.assertIsNot(self.open(), second)
        self.assertEqual(self.dropped, [("s", "u1", 1)] * 2)

    def test_closed_connection_is_not_kept(self):
        conn = self.open()
        conn.close()
        self.assertFalse(self.pool.put_idle(conn))

    def test_connections_to_a_changed_address_are_closed(self):
        conn = self.open()
        self.pool.put_idle(conn)
        self.pool.close_unlisted({"127.0.0.1:1"})
        self.assertTrue(conn.closed)


class UnresponsiveConnectionTests(EntryTestCase):
    def test_unresponsive_connections_fail_at_most_one_request(self):
        # Established connections may stop responding while new ones work.
        self.upstream.response_delay_s = 0.1
        jobs = [gevent.spawn(self.ask, "GET", "/cases/1") for _ in range(4)]
        gevent.joinall(jobs, timeout=3)
        old = list(self.upstream.connections)
        self.assertEqual(len(old), 4)
        self.upstream.response_delay_s = 0.0
        silent = gevent.event.Event()

        def script(data):
            if len(self.upstream.connections) == len(old):
                silent.wait(5)
            return OK_ANSWER

        self.upstream.respond = script
        self.addCleanup(silent.set)
        short = [("X-Deadline-Ms", "200")]
        kinds = [self.ask("POST", "/cases/1", short).kind for _ in range(4)]
        self.assertEqual(kinds, ["upstream_timeout", None, None, None])


if __name__ == "__main__":
    unittest.main()
