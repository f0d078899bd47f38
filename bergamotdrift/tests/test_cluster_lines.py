"""Failed requests of a running site are explained by the lines of its processes."""

import math
import re
import time

from bergamotdrift.tests.cluster_case import SERVED_AGAIN_S, ClusterTestCase
from scripts.load import RequestPlan
from scripts.local_cluster import small_plan, wait_until

_RUNNING_S = 10.0
_UPSTREAM = re.compile(r"\bupstream=([\w-]+)")


class JoinedLinesTests(ClusterTestCase):
    """Guards against failures whose cause no process has written down."""

    # Requests run long enough to be found running when their upstream is paused.
    plan = small_plan("iroda", vms=3, per_service=3)._replace(service_ms=150.0)
    notes = RequestPlan("POST", "/cases/{key}/notes", "press-desk")

    def lines(self) -> list[str]:
        names = self.cluster.processes
        return [
            line for name in names for line in self.cluster.log_of(name).split("\n")
        ]

    def is_running_at(self, upstream: str) -> bool:
        runs = self.runs()
        return any(r.upstream == upstream and r.ended == math.inf for r in runs)

    def test_lines_lead_from_a_request_to_the_loss_of_its_upstream(self):
        run = self.start_load(callers=24, plans=(self.notes,))
        lost = f"{self.keyed}-1"
        # A request that can't be repeated fails if its upstream freezes while it runs.
        wait_until(lambda: self.is_running_at(lost), _RUNNING_S, "a request runs", 0.0)
        self.cluster.pause(lost)
        time.sleep(SERVED_AGAIN_S + 1.0)
        self.cluster.resume(lost)
        records = self.finish(run)
        lines = self.lines()
        failed = [r for r in records if r.status != 200 and r.request_id]
        self.assertTrue(failed, "no request failed beside a frozen upstream")
        named = set()
        for record in failed:
            own = [ln for ln in lines if f"request={record.request_id} " in ln]
            ends = [ln for ln in own if f" kind={record.kind} " in ln]
            self.assertEqual(len(ends), 1, f"{record}: {own}")
            named |= {name for ln in own for name in _UPSTREAM.findall(ln)}
        # The upstream that an attempt names leads to what control did about it.
        self.assertIn(lost, named)
        expired = [ln for ln in lines if "event=upstream_expired" in ln and lost in ln]
        self.assertTrue(expired, "control did not log the loss")
        self.assertIn("process=control-", expired[0])
