import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from bergamotdrift.config.loader import load_site
from bergamotdrift.config.source import read_merged

SITES = Path(__file__).resolve().parents[2] / "sites"


class FileTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)


class MergeTests(FileTestCase):
    """Guards against an overlay that changes other values than those it contains."""

    def merge(self, base, overlay):
        return read_merged(
            self.write("base.jsonc", base), self.write("overlay.jsonc", overlay)
        )

    def test_objects_merge_lists_replace_and_null_removes(self):
        merged = self.merge(
            "{a: {x: 1, y: [1, 2], z: 3}, b: 1}",
            "{a: {x: 5, y: [9], z: null}, c: {d: 1}}",
        )
        expected = {"a": {"x": 5, "y": [9]}, "b": 1, "c": {"d": 1}}
        self.assertEqual(merged.unwrap().mapping, expected)

    def test_null_that_removes_nothing_is_a_problem_with_its_line(self):
        problems = self.merge("{a: {x: 1}}", "{\n a: {\n  y: null}}").failure()
        self.assertEqual([(p.path, p.line) for p in problems], [("a.y", 3)])


class UnreadableFileTests(FileTestCase):
    """Guards against unreadable files that raise an exception or pass silently."""

    def failure(self, text):
        result = read_merged(self.write("base.jsonc", text), None)
        self.assertFalse(is_successful(result))
        return result.failure()

    def test_syntax_error_names_its_line(self):
        [problem] = self.failure('{\n  "a": 1,\n  "b" 2\n}')
        self.assertEqual(problem.line, 3)

    def test_all_duplicate_names_are_reported_with_both_lines(self):
        problems = self.failure('{\n"a": 1,\n"b": {"c": 1,\n"c": 2},\n"a": 3}')
        found = [(p.path, p.line) for p in problems]
        self.assertEqual(found, [("b.c", 4), ("a", 5)])
        self.assertIn("first on line 2", problems[1].message)

    def test_other_unreadable_input_is_a_problem(self):
        for text in ("", "// nothing", "[1]", "[" * 5000, '{"a": "'):
            with self.subTest(text=text[:10]):
                self.assertEqual(len(self.failure(text)), 1)

    def test_missing_file_and_binary_file_are_problems(self):
        [problem] = read_merged(str(self.folder / "none"), None).failure()
        self.assertIn("can't be read", problem.message)
        path = self.folder / "binary"
        path.write_bytes(b"{\n\xff}")
        [problem] = read_merged(str(path), None).failure()
        self.assertEqual(problem.line, 2)


class OverlayLocationTests(FileTestCase):
    """Guards against problems reported with the wrong file of base and overlay."""

    BASE = """{
      "site": "s", "zones": {"a": "in"},
      "services": {"p": {"kind": "pool", "slots": 0, "connections": 1,
        "cold_start": {"initial_slots": 1, "ramp_s": 1},
        "request_timeout_ms": 1, "queue_limit": 1}},
      "routes": {"r": {"path": "/", "methods": ["GET"], "service": "p"}},
      "workspaces": {"w": {"rate_per_s": 1, "burst": 1, "key_digests": [],
        "services": [
          "p", "q"
        ]}}
    }"""
    OVERLAY = """{
      "routes": {
        "r": {"methods": ["GET",
          "GOT"], "urgnet": 1}},
      "services": {"p": {"queue_limit": 0}}}"""

    def test_problems_name_the_file_and_line_of_the_value(self):
        base = self.write("base.jsonc", self.BASE)
        overlay = self.write("overlay.jsonc", self.OVERLAY)
        problems = load_site(base, overlay).failure()
        found = {(Path(p.file).name, p.line, p.path) for p in problems}
        expected = {
            ("base.jsonc", 3, "services.p.slots"),
            ("base.jsonc", 9, "workspaces.w.services[1]"),
            ("base.jsonc", 7, "workspaces.w.key_digests"),
            ("overlay.jsonc", 4, "routes.r.methods[1]"),
            ("overlay.jsonc", 4, "routes.r.urgnet"),
            ("overlay.jsonc", 5, "services.p.queue_limit"),
        }
        self.assertEqual(found, expected)

    def test_missing_value_names_the_line_of_its_parent(self):
        base = self.write("base.jsonc", self.BASE.replace('"slots": 0, ', ""))
        problems = load_site(base, None).failure()
        self.assertIn(("services.p.slots", 3), [(p.path, p.line) for p in problems])


SHIPPED_OVERLAY = (SITES / "iroda.jsonc").read_text()


class MutatedTextTests(FileTestCase):
    """Guards against exceptions for malformed files."""

    @settings(max_examples=40, deadline=None)
    @given(
        st.integers(0, len(SHIPPED_OVERLAY)),
        st.integers(0, 40),
        st.text(alphabet="{}[]:,'\"ab/*\\ \n1", max_size=4),
    )
    def test_damaged_overlay_is_refused_or_valid(self, start, length, inserted):
        text = SHIPPED_OVERLAY[:start] + inserted + SHIPPED_OVERLAY[start + length :]
        overlay = self.write("overlay.jsonc", text)
        result = load_site(str(SITES / "base.jsonc"), overlay)
        if not is_successful(result):
            for problem in result.failure():
                self.assertTrue(problem.file and problem.message)

    @settings(max_examples=100, deadline=None)
    @given(st.binary(max_size=40))
    def test_any_bytes_are_refused(self, data):
        path = self.folder / "bytes"
        path.write_bytes(data)
        self.assertFalse(is_successful(load_site(str(path), None)))
