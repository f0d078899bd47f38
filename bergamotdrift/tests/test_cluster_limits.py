"""End-to-end tests of limits that apply across all VMs."""

import bisect
import threading
import time

from bergamotdrift.tests.cluster_case import ClusterTestCase
from scripts.http_calls import call_http
from scripts.load import RecordedExecution, RequestTemplate
from scripts.local_cluster import small_plan, wait_until

_LIMITED_WORKSPACE = "watchdogs"  # 40 requests per second, burst 80
_OVERLOAD_S = 6.0


class RateTests(ClusterTestCase):
    """Guards against exceeding a workspace rate when load arrives at all entries."""

    plan = small_plan("iroda", vms=3, upstreams_per_service=3)._replace(service_ms=1.0)

    def send_until_stopped(self, stop: threading.Event, entry: str) -> None:
        while not stop.is_set():
            self.cluster.request(entry, "GET", "/cases/1/status", _LIMITED_WORKSPACE)

    def send_overload(self, disturb) -> list[RecordedExecution]:
        """Overload the workspace rate; return its executions, ordered by start.

        `disturb` is called halfway through.
        """
        began = time.time()
        stop = threading.Event()
        threads = [
            threading.Thread(target=self.send_until_stopped, args=(stop, entry))
            for entry in self.cluster.entries
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        time.sleep(_OVERLOAD_S / 2)
        disturb()
        time.sleep(_OVERLOAD_S / 2)
        stop.set()
        for thread in threads:
            thread.join(10)
        executions = [
            r for r in self.recorded_executions() if r.workspace == _LIMITED_WORKSPACE
        ]
        return sorted(
            (r for r in executions if r.started >= began), key=lambda r: r.started
        )

    def assert_within_limit(self, executions: list[RecordedExecution]) -> None:
        settings = self.cluster.site().workspace(_LIMITED_WORKSPACE)
        assert settings is not None
        starts = [e.started for e in executions]
        self.assertGreater(len(starts), settings.rate_per_s * _OVERLOAD_S / 2)
        for first, start in enumerate(starts):
            for window_s in (0.1, 0.5, 1.0, 2.0, _OVERLOAD_S):
                end = bisect.bisect_right(starts, start + window_s)
                allowed = settings.burst + settings.rate_per_s * window_s
                self.assertLessEqual(end - first, allowed, f"in {window_s} s")

    def test_rate_holds_over_all_entries(self):
        self.assert_within_limit(self.send_overload(lambda: None))

    def test_rate_holds_while_its_arbiter_is_lost(self):
        status = self.cluster.operator_call("GET", "/v1/status").json()
        shard = f"workspace:{_LIMITED_WORKSPACE}"
        owner = next(s["node"] for s in status["shards"] if s["shard"] == shard)
        self.assert_within_limit(self.send_overload(lambda: self.cluster.kill(owner)))


class ColdStartTests(ClusterTestCase):
    """Guards against sending a cold upstream more requests than its capacity."""

    plan = small_plan("iroda", vms=3, upstreams_per_service=3)._replace(
        service_ms=25.0, cold_s=5.0
    )

    def test_restarted_upstream_never_has_to_shed(self):
        name = "archive-1"
        templates = (RequestTemplate("GET", "/answers/{key}", ""),)
        generator = self.start_load(caller_count=10, templates=templates)
        self.cluster.kill(name)
        time.sleep(0.5)
        self.cluster.restart(name)
        address = self.cluster.upstream_addresses[name]
        wait_until(
            lambda: call_http(address, "GET", "/executions").status == 200, 10, name
        )
        time.sleep(8.0)
        records = self.stop_load(generator)
        seen = call_http(address, "GET", "/executions").json()
        self.assertGreater(len(seen["executions"]), 50)
        self.assertEqual(seen["shed"], 0)
        self.assertEqual([r.kind for r in records if r.status != 200], [])
