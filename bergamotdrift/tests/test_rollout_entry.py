import unittest

import gevent

from bergamotdrift.messages import Ping, RolloutRow, RolloutState, UpstreamState
from bergamotdrift.tests.direct_entry import DirectEntryTestCase
from bergamotdrift.version_share import CONFIRMATION_MAX_AGE_MS

ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
ROW = RolloutRow("pool", 5, "v2", RolloutState.RUNNING, ["v1"], 0, 12_000, 0)


class RolloutEntryTests(DirectEntryTestCase):
    """Guards a running entry: which version it sends to, and what it reports."""

    def setUp(self):
        super().setUp()
        self.old, self.new = self.upstreams

    def roll_out(self, **changes):
        rows = [
            row._replace(version="v2" if row.upstream == "i1" else "v1")
            for row in self.tables().upstreams
        ]
        row = ROW._replace(**changes)
        self.push(upstreams=rows, rollouts=[row])
        known = self.entry.control.tables.rollouts
        self.wait_until(lambda: known.get(row.service) == row)

    def wait_until(self, condition):
        with gevent.Timeout(5):
            while not condition():
                gevent.sleep(0.02)

    def ask_often(self, count=20):
        return [self.ask("/look/1").status for _ in range(count)]

    def counts(self):
        """Return sent requests and failures by version, as last reported."""
        pings = [m for m in self.control.received if isinstance(m, Ping)]
        found = [p.version_results for p in pings if p.version_results]
        return {r.version: (r.sent, r.failures) for r in found[-1] if r.route}

    def test_new_version_gets_nothing_without_a_share(self):
        self.roll_out()
        self.assertEqual(set(self.ask_often()), {200})
        self.assertEqual((len(self.old.requests), len(self.new.requests)), (20, 0))

    def test_new_version_gets_its_share(self):
        self.roll_out(share_permille=250)
        self.ask_often(40)
        self.assertIn(len(self.new.requests), range(9, 12))

    def test_full_share_and_rollback_move_everything(self):
        self.roll_out(share_permille=1000)
        self.ask_often()
        self.assertEqual((len(self.old.requests), len(self.new.requests)), (0, 20))
        self.roll_out(state=RolloutState.ROLLED_BACK)
        self.ask_often()
        self.assertEqual((len(self.old.requests), len(self.new.requests)), (20, 20))

    def test_full_old_version_does_not_enlarge_the_share(self):
        self.roll_out(share_permille=1)
        rows = [
            row._replace(state=UpstreamState.LEAVING)
            for row in self.entry.control.tables.upstreams.values()
            if row.upstream == "i0"
        ]
        self.push(upstreams=rows, full=False, from_index=2, rollouts=[])
        gevent.sleep(0.2)
        self.assertEqual(set(self.ask_often(3)), {503})
        self.assertLessEqual(len(self.new.requests), 1)

    def test_results_are_reported_in_pings(self):
        self.new.respond = lambda data: ERROR
        self.roll_out(share_permille=1000)
        self.assertEqual(set(self.ask_often(5)), {500})
        self.wait_until(lambda: self.counts() == {"v2": (5, 5)})
        self.roll_out(state=RolloutState.ROLLED_BACK)
        gevent.sleep(0.6)
        self.control.received.clear()
        gevent.sleep(0.6)
        pings = [m for m in self.control.received if isinstance(m, Ping)]
        self.assertTrue(pings)
        self.assertFalse(any(ping.version_results for ping in pings))

    def test_entry_that_is_cut_off_sends_the_new_version_nothing(self):
        self.roll_out(share_permille=900)
        self.control.silent = True
        gevent.sleep((CONFIRMATION_MAX_AGE_MS + 100.0) / 1000.0)
        sent = len(self.new.requests)
        # An open route needs no rate tokens of the leader.
        found = [self.ask("/open/1", key=None).status for _ in range(5)]
        self.assertEqual(found, [200] * 5)
        self.assertEqual(len(self.new.requests), sent)

    def test_key_of_a_version_that_was_rolled_back_is_refused(self):
        rows = [row._replace(version="v2") for row in self.tables().upstreams]
        self.push(upstreams=rows, rollouts=[ROW._replace(service="keys")])
        self.wait_until(lambda: "keys" in self.entry.control.tables.rollouts)
        back = ROW._replace(service="keys", state=RolloutState.ROLLED_BACK)
        self.push(upstreams=rows, rollouts=[back])
        self.wait_until(lambda: self.entry.control.tables.rollouts["keys"] == back)
        self.assertEqual(self.ask("/keys/5", headers=[("Shard-Key", "5")]).status, 503)
        self.assertEqual(self.requests(), [])


if __name__ == "__main__":
    unittest.main()
