"""End-to-end tests of leaving upstreams and planned shutdowns."""

import time

from bergamotdrift.tests.cluster_case import SETTLE_S, ClusterTestCase


class UpstreamStopTests(ClusterTestCase):
    """Guards against new requests to a leaving upstream."""

    def test_leaving_upstream_gets_no_new_work(self):
        leaving = f"{self.keyed_service}-1"
        generator = self.start_load()
        self.cluster.configure_upstream(leaving, leave=True)
        left_at = time.time()
        self.addCleanup(self.cluster.configure_upstream, leaving, leave=False)
        time.sleep(SETTLE_S + 2.0)
        records = self.stop_load(generator)
        late = [
            r
            for r in self.recorded_executions()
            if r.upstream == leaving and r.started > left_at + SETTLE_S
        ]
        self.assertEqual(late, [])
        self.assert_all_served_after(records, left_at + SETTLE_S)


class PlannedStopTests(ClusterTestCase):
    """Guards against requests that are aborted by a shutdown with SIGTERM."""

    def check_stop_under_load(self, name: str) -> None:
        generator = self.start_load()
        stopped_at = time.time()
        if name in generator.entries:
            generator.entries.remove(name)
            time.sleep(0.05)
        self.assertEqual(self.cluster.terminate(name), 0, self.cluster.read_log(name))
        time.sleep(3.0)
        records = self.stop_load(generator)
        aborted = [r for r in records if r.status in (0, 500, 502, 504)]
        self.assertEqual(aborted, [])
        self.assert_all_served_after(records, stopped_at + 3.0)

    def test_entry_stops(self):
        self.check_stop_under_load("entry-1")

    def test_arbiter_stops(self):
        self.check_stop_under_load("arbiter-1")

    def test_control_leader_stops(self):
        self.check_stop_under_load(self.control_leader())
