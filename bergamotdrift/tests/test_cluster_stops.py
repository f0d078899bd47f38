"""Upstreams leave a running site, and programs are stopped as planned."""

import time

from bergamotdrift.tests.cluster_case import FEW_SECONDS, ClusterTestCase


class UpstreamStopTests(ClusterTestCase):
    """Let an upstream leave while callers are served."""

    def test_leaving_upstream_gets_no_new_work(self):
        leaving = f"{self.keyed}-1"
        run = self.start_load()
        self.cluster.switch_upstream(leaving, leave=True)
        left_at = time.time()
        self.addCleanup(self.cluster.switch_upstream, leaving, leave=False)
        time.sleep(FEW_SECONDS + 2.0)
        records = self.finish(run)
        late = [
            r
            for r in self.runs()
            if r.upstream == leaving and r.started > left_at + FEW_SECONDS
        ]
        self.assertEqual(late, [])
        self.assert_served_after(records, left_at + FEW_SECONDS)


class PlannedStopTests(ClusterTestCase):
    """Stop programs by SIGTERM while callers are served."""

    def stop_under_load(self, name: str) -> None:
        run = self.start_load()
        stopped_at = time.time()
        if name in run.entries:
            run.entries.remove(name)
            time.sleep(0.05)
        self.assertEqual(self.cluster.terminate(name), 0, self.cluster.log_of(name))
        time.sleep(3.0)
        records = self.finish(run)
        cut = [r for r in records if r.status in (0, 500, 502, 504)]
        self.assertEqual(cut, [])
        self.assert_served_after(records, stopped_at + 3.0)

    def test_entry_stops(self):
        self.stop_under_load("entry-1")

    def test_arbiter_stops(self):
        self.stop_under_load("arbiter-1")

    def test_control_leader_stops(self):
        self.stop_under_load(self.leader())
