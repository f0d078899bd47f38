import os
import tempfile
import unittest
from unittest import mock

import gevent

from bergamotdrift.clock import BootClock
from bergamotdrift.commands.arguments import CONTROL_VARIABLE, KEY_VARIABLE
from bergamotdrift.config.schema import ControlSettings, NodeSettings, ReplicaAddress
from bergamotdrift.control_node import ControlNode
from bergamotdrift.hashing import key_digest
from bergamotdrift.tests.fake_control import OPERATOR_KEY
from bergamotdrift.tests.test_cli import BASE, OVERLAY, Run
from scripts.local_cluster import free_address


class OperatorApiContractTests(unittest.TestCase):
    """Guards against a CLI and a fake replica that agree on a protocol of their own.

    Runs the CLI against a real control replica.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        address = free_address()
        cfg = ControlSettings(
            NodeSettings("test", "c1", "vm-1", "z1", (address,), "127.0.0.1:0"),
            address,
            "127.0.0.1:0",
            folder.name,
            (ReplicaAddress("c1", address),),
            (key_digest(OPERATOR_KEY),),
            1000,
        )
        control = ControlNode(cfg, BootClock())
        control.start()
        self.addCleanup(control.stop)
        with gevent.Timeout(10):
            while not control.replica.is_leader():
                gevent.sleep(0.02)
        variables = {
            CONTROL_VARIABLE: control.server.http.address,
            KEY_VARIABLE: OPERATOR_KEY,
        }
        patch = mock.patch.dict(os.environ, variables)
        patch.start()
        self.addCleanup(patch.stop)

    def run_cli(self, *argv):
        return Run(list(argv))

    def apply(self, *argv):
        return self.run_cli("apply", BASE, OVERLAY, "--author", "ann", *argv)

    def test_change_resend_conflict_and_audit(self):
        self.assertIn("revision 0: no settings yet", self.run_cli("show").out)
        first = self.apply("--request", "r1", "--json")
        self.assertEqual((first.code, first.json["revision"]), (0, 1))
        resend = self.apply("--request", "r1", "--base-revision", "0", "--json")
        self.assertEqual((resend.code, resend.json["revision"]), (0, 1))
        conflict = self.apply("--request", "r2", "--base-revision", "0", "--json")
        self.assertEqual(
            (conflict.code, conflict.json["kind"]), (1, "revision_conflict")
        )
        self.assertEqual(
            (conflict.json["revision"], conflict.json["author"]), (1, "ann")
        )
        rows = self.run_cli("audit", "--json").json["rows"]
        self.assertEqual([r["kind"] for r in rows], ["", "revision_conflict"])
        self.assertRegex(self.run_cli("audit").out, r"(?m)^1 .* ann +accepted ")

    def test_running_settings_equal_the_applied_files(self):
        self.apply()
        run = self.run_cli("check", "--diff", BASE, OVERLAY)
        self.assertEqual(run.out, "compared with revision 1:\nno difference\n")
        self.assertRegex(self.run_cli("show").out, r"(?m)^stock-and-slots +keyed +256")
        status = self.run_cli("status", "--json").json
        self.assertEqual(status["revision"], 1)

    def test_reads_need_no_key_and_changes_need_a_valid_key(self):
        with mock.patch.dict(os.environ, {KEY_VARIABLE: ""}):
            self.assertEqual(self.run_cli("status").code, 0)
        with mock.patch.dict(os.environ, {KEY_VARIABLE: "wrong"}):
            run = self.apply("--base-revision", "0", "--json")
        self.assertEqual((run.code, run.json["kind"]), (1, "unauthenticated"))
