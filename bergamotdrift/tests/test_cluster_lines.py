"""End-to-end tests of log lines that explain failed requests."""

import math
import re
import time

from bergamotdrift.tests.cluster_case import RECOVERY_S, ClusterTestCase
from scripts.load import RequestTemplate
from scripts.local_cluster import small_plan, wait_until

_START_TIMEOUT_S = 10.0
_UPSTREAM = re.compile(r"\bupstream=([\w-]+)")


class JoinedLinesTests(ClusterTestCase):
    """Guards against failed requests whose cause is in no process log."""

    # The service time is long enough to pause the upstream during a request.
    plan = small_plan("iroda", vms=3, upstreams_per_service=3)._replace(
        service_ms=150.0
    )
    note_requests = RequestTemplate("POST", "/cases/{key}/notes", "press-desk")

    def log_lines(self) -> list[str]:
        names = self.cluster.processes
        return [
            line for name in names for line in self.cluster.read_log(name).split("\n")
        ]

    def is_running_at(self, upstream: str) -> bool:
        executions = self.recorded_executions()
        return any(e.upstream == upstream and e.ended == math.inf for e in executions)

    def test_log_lines_link_a_failed_request_to_the_loss_of_its_upstream(self):
        generator = self.start_load(caller_count=24, templates=(self.note_requests,))
        paused_upstream = f"{self.keyed_service}-1"
        # A request that must not be retried fails if its upstream is paused during it.
        wait_until(
            lambda: self.is_running_at(paused_upstream),
            _START_TIMEOUT_S,
            "a request is running",
            0.0,
        )
        self.cluster.pause(paused_upstream)
        time.sleep(RECOVERY_S + 1.0)
        self.cluster.resume(paused_upstream)
        records = self.stop_load(generator)
        lines = self.log_lines()
        failed = [r for r in records if r.status != 200 and r.request_id]
        self.assertTrue(failed, "no request failed while its upstream was paused")
        named_upstreams = set()
        for record in failed:
            request_lines = [
                line for line in lines if f"request={record.request_id} " in line
            ]
            outcome_lines = [
                line for line in request_lines if f" kind={record.kind} " in line
            ]
            self.assertEqual(len(outcome_lines), 1, f"{record}: {request_lines}")
            named_upstreams |= {
                name for line in request_lines for name in _UPSTREAM.findall(line)
            }
        # The upstream in the lines of an attempt also finds the line in which a control
        # replica reports its loss.
        self.assertIn(paused_upstream, named_upstreams)
        expired = [
            line
            for line in lines
            if "event=upstream_expired" in line and paused_upstream in line
        ]
        self.assertTrue(expired, "control did not log the loss")
        self.assertIn("process=control-", expired[0])
