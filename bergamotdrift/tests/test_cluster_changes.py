"""End-to-end tests of settings changes: zones, keys, races and restarts."""

import http.client
import json
import time

from bergamotdrift.hashing import key_digest
from bergamotdrift.tests.cluster_case import SETTLE_S, ClusterTestCase
from scripts.local_cluster import wait_until


class SettingsTests(ClusterTestCase):
    """Guards against settings changes that don't take effect on a site under load."""

    def apply_change(self, edit, request: str) -> None:
        previous_overlay = self.cluster.overlay.read_text()
        self.addCleanup(self.restore_overlay, previous_overlay, request + "-undone")
        self.cluster.edit_overlay(edit)
        reply = self.cluster.apply(self.revision(), request)
        self.assertEqual(reply.status, 200, reply.body)

    def restore_overlay(self, overlay: str, request: str) -> None:
        self.cluster.overlay.write_text(overlay)
        reply = self.cluster.apply(self.revision(), request)
        self.assertEqual(reply.status, 200, reply.body)

    def test_zone_out_gets_no_new_work_and_returns(self):
        zone = self.cluster.zones()[0]
        generator = self.start_load()
        # not ready, so the load balancer removes it
        generator.entries.remove("entry-1")
        self.apply_change(
            lambda overlay: overlay["zones"].update({zone: "out"}), "zone-out"
        )
        out_at = time.time()
        time.sleep(SETTLE_S + 2.0)
        records = self.stop_load(generator)
        in_zone = {f"{service}-1" for service in self.plan.upstreams}
        late = [
            r
            for r in self.recorded_executions()
            if r.upstream in in_zone and r.started > out_at + SETTLE_S
        ]
        self.assertEqual(late, [])
        self.assertFalse(self.cluster.is_ready("entry-1"))
        self.assert_all_served_after(records, out_at + SETTLE_S)

    def test_withdrawn_key_stops_on_an_open_connection(self):
        host, _, port = self.cluster.entries["entry-2"].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=5)
        self.addCleanup(conn.close)

        def status() -> int:
            headers = {"Authorization": "Bearer demo-watchdogs"}
            conn.request("GET", "/cases/9", headers=headers)
            reply = conn.getresponse()
            reply.read()
            return reply.status

        self.assertEqual(status(), 200)
        digests = [key_digest("another key")]
        self.apply_change(
            lambda overlay: overlay["workspaces"]["watchdogs"].update({
                "key_digests": digests
            }),
            "withdraw",
        )
        wait_until(lambda: status() == 401, SETTLE_S, "the withdrawn key is refused")

    def test_operators_race_and_resend(self):
        base = self.revision()
        replies = [self.cluster.apply(base, f"race-{n}") for n in range(2)]
        self.assertEqual(sorted(r.status for r in replies), [200, 409])
        winner = next(n for n in range(2) if replies[n].status == 200)
        resent = self.cluster.apply(base, f"race-{winner}")
        self.assertEqual(resent.status, 200)
        self.assertEqual(resent.json()["revision"], replies[winner].json()["revision"])
        self.assertEqual(self.revision(), base + 1)


class RestartTests(ClusterTestCase):
    """Guards against state lost when all replicas restart after hundreds of changes."""

    def test_state_survives_the_restart_of_every_control_replica(self):
        first = self.revision()
        for number in range(200):
            reply = self.cluster.apply(first + number, f"change-{number}")
            self.assertEqual(reply.status, 200, reply.body)
        names = list(self.cluster.control_addresses)
        for name in names:
            self.cluster.kill(name)
        for name in names:
            self.cluster.restart(name)
        self.cluster.wait_ready(20)
        self.assertEqual(self.revision(), first + 200)
        resent = self.cluster.apply(first, "change-0")
        self.assertEqual(resent.status, 200)
        self.assertEqual(resent.json()["revision"], first + 1)
        audit = self.cluster.operator_call("GET", "/v1/audit?after=0&limit=500")
        requests = {row.get("request") for row in json.loads(audit.body)["rows"]}
        self.assertIn("change-199", requests)
        self.assertIn("change-0", requests)
