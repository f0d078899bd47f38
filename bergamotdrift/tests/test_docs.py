import ast
import re
import unittest
from pathlib import Path
from typing import NamedTuple

from bergamotdrift.commands import apply, audit, check, show, status
from bergamotdrift.config import process
from bergamotdrift.config.containers import NamedSections, NamedValues, Section
from bergamotdrift.config.site import SITE_OPTIONS
from bergamotdrift.exceptions import ERROR_ANSWERS, ErrorKind

_DOCS = Path(__file__).resolve().parents[2] / "docs"
_PACKAGE = _DOCS.parent / "bergamotdrift"
_CONTROL_KINDS = {
    ErrorKind.REVISION_CONFLICT,
    ErrorKind.INVALID_SETTINGS,
    ErrorKind.NOT_LEADER,
    ErrorKind.NO_QUORUM,
}


def table_rows(page, heading):
    """Return the rows below the first table heading of a page, as lists of cells."""
    lines = (_DOCS / page).read_text().splitlines()
    start = lines.index(heading) + 2
    rows = []
    for line in lines[start:]:
        if not line.startswith("|"):
            break
        rows.append([cell.strip() for cell in line.strip("|").split("|")])
    return rows


class ReferenceRow(NamedTuple):
    path: str
    values: str
    default: str


def reference_rows(option, path=""):
    """Yield a row for each setting below an option, in order."""
    if isinstance(option, Section):
        for name, inner in option.options.items():
            yield from reference_rows(inner, f"{path}.{name}" if path else name)
    elif isinstance(option, NamedSections):
        yield from reference_rows(option.section, f"{path}.<name>")
    else:
        if isinstance(option, NamedValues):
            path, option = f"{path}.<name>", option.item
        yield ReferenceRow(f"`{path}`", option.describe(), default_text(option))


def default_text(option):
    if option.required:
        return "required"
    if isinstance(option.default, (bool, str)):
        return str(option.default).lower() or "empty"
    return f"{option.default:g}"


class ErrorTableTests(unittest.TestCase):
    """Guards against error tables in the docs that differ from the actual responses."""

    def assert_rows(self, rows, kinds):
        documented = {}
        for kind, code, not_run, retry, _ in rows:
            documented[ErrorKind(kind.strip("`"))] = (int(code), not_run, retry)
        expected = {}
        for kind in kinds:
            answer = ERROR_ANSWERS[kind]
            retry = f"{answer.retry_after_s} s" if answer.retry_after_s else "no"
            not_run = "yes" if answer.not_run else "no"
            expected[kind] = (answer.status, not_run, retry)
        self.assertEqual(documented, expected)

    def test_callers(self):
        heading = "| kind | status | not run | Retry-After | what to do |"
        kinds = set(ErrorKind) - _CONTROL_KINDS
        self.assert_rows(table_rows("callers.md", heading), kinds)

    def test_operators(self):
        heading = "| kind | status | not run | Retry-After | meaning |"
        self.assert_rows(table_rows("operators.md", heading), _CONTROL_KINDS)


class SettingsReferenceTests(unittest.TestCase):
    """Guards against a settings reference that differs from the defined options."""

    def assert_section(self, first_column, section):
        rows = table_rows(
            "operators.md", f"| {first_column} | values | default | meaning |"
        )
        self.assertTrue(all(len(row) == 4 and row[3] for row in rows))
        documented = [ReferenceRow(*row[:3]) for row in rows]
        self.assertEqual(documented, list(reference_rows(section)))

    def test_site(self):
        self.assert_section("site setting", SITE_OPTIONS)

    def test_processes(self):
        self.assert_section("entry setting", process.ENTRY_OPTIONS)
        self.assert_section("arbiter setting", process.ARBITER_OPTIONS)
        self.assert_section("control setting", process.CONTROL_OPTIONS)


class CommandTests(unittest.TestCase):
    """Guards against undocumented command-line options."""

    def test_each_option_is_named(self):
        text = (_DOCS / "operators.md").read_text()
        commands = (apply.Apply, audit.Audit, check.Check, show.Show, status.Status)
        for command in commands:
            for name in command.__dataclass_fields__.keys() - {"files", "output"}:
                option = f"--{name.replace('_', '-')}"
                with self.subTest(command=command.__name__, option=option):
                    self.assertIn(option, text)


class ExampleTests(unittest.TestCase):
    """Guards against examples in library.md that fail."""

    def test_examples_run(self):
        text = (_DOCS / "library.md").read_text()
        examples = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
        self.assertGreater(len(examples), 3)
        for example in examples:
            with self.subTest(example=example.splitlines()[0]):
                exec(compile(example, "library.md", "exec"), {"__name__": "example"})


def logged_events(source):
    """Yield the event names that calls of `log_event` pass as string literals."""
    for call in ast.walk(ast.parse(source)):
        if not isinstance(call, ast.Call) or not call.args:
            continue
        name = call.args[0]
        if getattr(call.func, "id", "") == "log_event" and isinstance(
            name, ast.Constant
        ):
            yield name.value


class LogEventTests(unittest.TestCase):
    """Guards against undocumented log events."""

    def test_each_event_is_explained(self):
        page = (_DOCS / "operators.md").read_text()
        names = set()
        for path in _PACKAGE.glob("**/*.py"):
            if "tests" not in path.parts:
                names |= set(logged_events(path.read_text()))
        self.assertGreater(len(names), 20)
        self.assertEqual(
            [name for name in sorted(names) if f"`{name}`" not in page], []
        )
