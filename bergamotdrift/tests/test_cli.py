import contextlib
import io
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from bergamotdrift import cli
from bergamotdrift.commands.arguments import CONTROL_VARIABLE, KEY_VARIABLE
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.operator_client import OperatorClient
from bergamotdrift.tests.fake_control import (
    OPERATOR_KEY,
    FakeReplica,
    FakeSite,
    refusal,
)

SITES = Path(__file__).resolve().parents[2] / "sites"
BASE = str(SITES / "base.jsonc")
OVERLAY = str(SITES / "hollins-marr.jsonc")
# No process listens on the discard port of the loopback address.
CLOSED_ADDRESS = "127.0.0.1:9"


class Run:
    """Run the command line and capture its exit code and output."""

    def __init__(self, argv):
        self.code: object = None
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                self.code = cli.main(argv)
            except SystemExit as exc:
                self.code = exc.code
        self.out = out.getvalue()
        self.err = err.getvalue()

    @property
    def json(self):
        return json.loads(self.out)


class CliTestCase(unittest.TestCase):
    def setUp(self):
        self.site = FakeSite()
        self.replicas = [self.start_replica(), self.start_replica()]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        control = ",".join(replica.address for replica in self.replicas)
        variables = {CONTROL_VARIABLE: control, KEY_VARIABLE: OPERATOR_KEY}
        patch = mock.patch.dict(os.environ, variables)
        patch.start()
        self.addCleanup(patch.stop)

    def start_replica(self):
        replica = FakeReplica(self.site)
        self.addCleanup(replica.server.stop)
        return replica

    def run_cli(self, *argv):
        return Run(list(argv))

    def apply(self, *argv, overlay=OVERLAY):
        return self.run_cli("apply", BASE, overlay, "--author", "ann", *argv)

    def changed_overlay(self, old, new):
        text = Path(OVERLAY).read_text()
        self.assertIn(old, text)
        path = self.folder / "overlay.jsonc"
        path.write_text(text.replace(old, new))
        return str(path)


class CheckTests(CliTestCase):
    """Guards against changes of the exit codes and output that scripts depend on."""

    def test_valid_settings_exit_0(self):
        run = self.run_cli("check", BASE, OVERLAY)
        self.assertEqual((run.code, run.out), (0, "the settings are valid\n"))

    def test_problems_exit_1_with_file_and_line(self):
        overlay = self.changed_overlay('"hm-a": "in"', '"hm-a": "on"')
        run = self.run_cli("check", BASE, overlay)
        self.assertEqual(run.code, 1)
        self.assertIn("overlay.jsonc:5: error: zones.hm-a: must be one of", run.out)

    def test_problems_as_json(self):
        run = self.run_cli("check", BASE, "--json")
        self.assertEqual(run.code, 1)
        self.assertFalse(run.json["ok"])
        self.assertIn("site", {p["path"] for p in run.json["problems"]})

    def test_usage_errors_exit_2(self):
        for argv in ([], ["chek"], ["check"], ["show", "--control", "localhost"]):
            with self.subTest(argv=argv):
                self.assertEqual(self.run_cli(*argv).code, 2)
        with mock.patch.dict(os.environ, {KEY_VARIABLE: ""}):
            self.assertEqual(self.apply().code, 2)

    def test_diff_against_the_running_revision(self):
        self.apply()
        run = self.run_cli("check", "--diff", BASE, OVERLAY)
        self.assertEqual(run.out, "compared with revision 1:\nno difference\n")
        overlay = self.changed_overlay('"hm-a": "in"', '"hm-a": "out"')
        run = self.run_cli("check", "--diff", BASE, overlay)
        self.assertEqual(run.code, 0)
        self.assertIn("~ zones.hm-a.state: in -> out", run.out)


class ApplyTests(CliTestCase):
    """Guards against changes that are applied twice, lost or misreported."""

    def test_applies_over_the_running_revision(self):
        run = self.apply()
        self.assertEqual(run.code, 0)
        self.assertIn("revision 1 is accepted", run.out)
        self.assertEqual(self.apply("--json").json["revision"], 2)

    def test_lost_answer_is_resent_with_the_same_request(self):
        self.replicas[0].faults = [None, "lose answer"]
        run = self.apply("--request", "r1", "--json")
        self.assertEqual(run.code, 0)
        self.assertEqual(self.site.posts, ["r1", "r1"])
        self.assertEqual(run.json["revision"], 1)

    def test_repeated_request_id_gets_the_first_answer(self):
        self.apply("--request", "r1")
        run = self.apply("--request", "r1", "--base-revision", "0", "--json")
        self.assertEqual((run.code, run.json["revision"]), (0, 1))
        self.assertEqual(self.site.revision, 1)

    def test_conflict_names_the_running_revision_and_its_author(self):
        self.apply()
        run = self.apply("--base-revision", "0")
        self.assertEqual(run.code, 1)
        self.assertIn("refused: revision 1 by ann", run.out)
        data = self.apply("--base-revision", "0", "--json").json
        self.assertEqual((data["revision"], data["author"]), (1, "ann"))

    def test_refused_settings_exit_1_with_their_problems(self):
        problems = [{"path": "site", "message": "is missing"}]
        answer = refusal(ErrorKind.INVALID_SETTINGS, problems=problems)
        self.replicas[0].faults = [None, answer]
        run = self.apply()
        self.assertEqual(run.code, 1)
        self.assertIn("site: is missing", run.out)

    def test_request_id_that_control_would_refuse_is_a_usage_error(self):
        self.assertEqual(self.apply("--request", "r" * 129).code, 2)

    def test_invalid_files_are_never_sent(self):
        overlay = self.changed_overlay('"burst": 400', '"burst": 0')
        self.assertEqual(self.apply(overlay=overlay).code, 1)
        self.assertEqual(self.site.posts, [])

    def test_dry_run_shows_the_change_without_making_it(self):
        self.apply()
        overlay = self.changed_overlay('"hm-b": "in"', '"hm-b": "out"')
        run = self.apply("--dry-run", overlay=overlay)
        self.assertEqual(run.code, 0)
        self.assertIn("~ zones.hm-b.state: in -> out", run.out)
        self.assertEqual(self.site.revision, 1)
        conflict = self.apply("--dry-run", "--base-revision", "0")
        self.assertEqual(conflict.code, 1)
        self.assertIn("would be refused: revision 1 by ann", conflict.out)

    def test_permanently_lost_answer_exits_3_and_names_the_request(self):
        for replica in self.replicas:
            replica.faults = ["lose answer"] * 100
        argv = ("--request", "r9", "--base-revision", "0", "--timeout", "0.6")
        run = self.apply(*argv)
        self.assertEqual(run.code, 3)
        self.assertIn("outcome_unknown", run.out)
        self.assertIn("--request r9 --base-revision 0 --author ann", run.err)

    def test_interrupted_call_exits_3_and_names_the_request(self):
        with mock.patch.object(OperatorClient, "apply", side_effect=KeyboardInterrupt):
            run = self.apply("--request", "r7")
        self.assertEqual(run.code, 3)
        self.assertIn("request r7 replaces revision 0\ninterrupted", run.err)

    def test_no_quorum_is_an_unknown_outcome(self):
        for replica in self.replicas:
            replica.faults = [refusal(ErrorKind.NO_QUORUM)] * 100
        run = self.apply("--base-revision", "0", "--timeout", "0.6", "--json")
        self.assertEqual((run.code, run.json["error"]), (3, "outcome_unknown"))

    def test_refusal_after_a_lost_answer_is_an_unknown_outcome(self):
        self.replicas[0].faults = ["lose answer"]
        self.replicas[1].faults = [refusal(ErrorKind.FORBIDDEN)]
        run = self.apply("--base-revision", "0", "--json")
        self.assertEqual((run.code, run.json["error"]), (3, "outcome_unknown"))
        self.assertEqual(self.site.revision, 1)


class ReadTests(CliTestCase):
    """Guards against reads that try only one replica or omit data from the output."""

    def test_next_replica_is_tried_when_one_is_down(self):
        run = self.run_cli("show", "-c", CLOSED_ADDRESS, "-c", self.replicas[1].address)
        self.assertEqual((run.code, run.out), (0, "revision 0: no settings yet\n"))

    def test_leader_hint_of_a_follower_is_followed(self):
        leader = self.replicas[1].address
        self.replicas[0].faults = [refusal(ErrorKind.NOT_LEADER, leader=leader)] * 99
        run = self.run_cli("status", "-c", self.replicas[0].address)
        self.assertEqual(run.code, 0)
        self.assertEqual(len(self.replicas[0].faults), 98)

    def test_unreachable_replicas_exit_3(self):
        run = self.run_cli("show", "-c", CLOSED_ADDRESS, "--timeout", "0.3", "--json")
        self.assertEqual((run.code, run.json["error"]), (3, "unreachable"))

    def test_wrong_operator_key_exits_1(self):
        key = self.folder / "key"
        key.write_text("wrong\n")
        run = self.run_cli("show", "--key-file", str(key))
        self.assertEqual(run.code, 1)
        self.assertIn("refused: unauthenticated", run.out)

    def test_show_lists_the_running_settings(self):
        self.apply()
        run = self.run_cli("show")
        self.assertRegex(run.out, r"revision 1 by ann\n(.*\n)*site +hollins-marr\n")
        self.assertRegex(run.out, r"(?m)^stock-and-slots +keyed +256 +none")
        self.assertEqual(self.run_cli("show", "--json").json["revision"], 1)

    def test_status_shows_lists_as_tables_without_control_characters(self):
        run = self.run_cli("status")
        self.assertRegex(run.out, r"(?m)^entry-1 +hm-a")
        self.assertRegex(run.out, r"(?m)^control.leader +control-1$")
        self.assertNotIn("\x1b", run.out)
        self.assertIn("\\x1b[2J", run.out)

    def test_audit_passes_after_and_limit(self):
        run = self.run_cli("audit", "--after", "3", "--limit", "2", "--json")
        self.assertEqual([e["number"] for e in run.json["rows"]], [4, 5])
        text = self.run_cli("audit").out
        self.assertRegex(text, r"(?m)^1 +1970-01-01 00:00:00Z +ann +accepted .* x$")
        self.assertEqual(self.run_cli("audit", "--limit", "0").code, 2)
