import copy
import unittest

from bergamotdrift.config.diff import diff_sites
from bergamotdrift.tests.test_check import MAPPINGS


class DiffTests(unittest.TestCase):
    """Guards against missing or false differences."""

    def setUp(self):
        self.old = MAPPINGS["iroda"]
        self.new = copy.deepcopy(self.old)

    def lines(self):
        return [str(change) for change in diff_sites(self.old, self.new)]

    def test_order_of_entries_is_no_difference(self):
        self.new["workspaces"] = dict(reversed(self.new["workspaces"].items()))
        self.new["workspaces"]["watchdogs"]["services"].reverse()
        self.assertEqual(self.lines(), [])

    def test_explicit_defaults_are_no_difference(self):
        self.new["routes"]["submissions"]["urgent"] = False
        self.assertEqual(self.lines(), [])

    def test_changed_added_and_removed_values(self):
        self.new["zones"]["iroda-a"] = "out"
        del self.new["routes"]["bundles"]
        self.new["routes"]["case-status"]["open"] = True
        self.new["replicas"]["control-4"] = "127.0.0.1:7304"
        self.new["workspaces"]["watchdogs"]["services"] = ["archive"]
        lines = self.lines()
        for line in (
            "~ zones.iroda-a.state: in -> out",
            '- routes."/submissions/{submission}/bundles POST".idempotent: False',
            '~ routes."/cases/{case}/status GET,HEAD".open: False -> True',
            "+ replicas.control-4.address: 127.0.0.1:7304",
            "- workspaces.watchdogs.services: case-tracking",
        ):
            self.assertIn(line, lines)
        routes = {line.split('"')[1] for line in lines if "routes" in line}
        self.assertEqual(len(routes), 2)

    def test_missing_and_invalid_old_settings_are_compared(self):
        self.assertTrue(all(c.old is None for c in diff_sites(None, self.new)))
        changes = diff_sites({"zones": ["a"], "site": {"x": 1}}, self.new)
        self.assertIn("site.x", {change.path for change in changes})
