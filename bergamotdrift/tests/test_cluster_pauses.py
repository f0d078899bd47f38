"""End-to-end tests of processes that are suspended and resumed."""

import time

from bergamotdrift.tests.cluster_case import (
    RECOVERY_S,
    SETTLE_S,
    ClusterTestCase,
)

_PAUSE_S = 4.0  # longer than every lease


class PauseTests(ClusterTestCase):
    """Guards against a process that acts on expired leases after a pause."""

    def check_recovery_after_pause(self, name: str) -> None:
        generator = self.start_load()
        if name in generator.entries:
            generator.entries.remove(name)
        paused_at = time.time()
        self.cluster.pause(name)
        time.sleep(_PAUSE_S)
        self.cluster.resume(name)
        resumed_at = time.time()
        if name.startswith("entry"):
            generator.entries.append(name)
        time.sleep(RECOVERY_S + 2.0)
        records = self.stop_load(generator)
        while_paused = [
            r for r in records if paused_at + RECOVERY_S <= r.started < resumed_at
        ]
        self.assertGreater(len(while_paused), 10)
        self.assertEqual({r.status for r in while_paused}, {200})
        self.assert_all_served_after(records, resumed_at + RECOVERY_S)

    def test_upstream_freezes_and_returns(self):
        self.check_recovery_after_pause(f"{self.keyed_service}-1")

    def test_arbiter_freezes_and_returns(self):
        self.check_recovery_after_pause("arbiter-2")

    def test_control_leader_freezes_and_returns(self):
        self.check_recovery_after_pause(self.control_leader())

    def test_entry_freezes_and_returns(self):
        self.check_recovery_after_pause("entry-1")


class LostQuorumTests(ClusterTestCase):
    """Guards against keyed requests and settings changes accepted without a quorum."""

    def test_entries_refuse_keyed_work_and_recover(self):
        followers = [
            n for n in self.cluster.control_addresses if n != self.control_leader()
        ]
        for name in followers:
            self.cluster.pause(name)
        time.sleep(SETTLE_S)
        refused = self.cluster.request("entry-1", "GET", "/cases/7", "caseworkers")
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.json()["error"], "settings_stale")
        self.assertTrue(refused.json()["not_run"])
        change = self.cluster.apply(self.revision_before, "without-quorum")
        self.assertNotEqual(change.status, 200)
        for name in followers:
            self.cluster.resume(name)
        self.cluster.wait_ready(SETTLE_S)
        served = self.cluster.request("entry-1", "GET", "/cases/7", "caseworkers")
        self.assertEqual(served.status, 200)

    def setUp(self):
        self.revision_before = self.revision()
