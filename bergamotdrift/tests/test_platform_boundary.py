import ast
import re
import unittest
from pathlib import Path

from bergamotdrift.platform import names

_PACKAGE = Path(__file__).resolve().parents[1]
_FURTHER_WIRE_NAMES = (
    "Response-Seal",
    "Warmup-Ms",
    "warmup_per_s",
    "traffic_split",
    "api_keys",
    "path_prefix",
    "BERGAMOTDRIFT_BOOT",
)


def core_modules():
    for path in _PACKAGE.glob("**/*.py"):
        parts = path.relative_to(_PACKAGE).parts
        if parts[0] not in {"platform", "tests"}:
            yield path


def imported_modules(source):
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom):
            yield node.module or ""
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def string_literals(source):
    """Return all string literals of a module, joined by line breaks."""
    nodes = ast.walk(ast.parse(source))
    return "\n".join(
        node.value
        for node in nodes
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )


class BoundaryTests(unittest.TestCase):
    """Guards against wire names of the platform outside of the adapter."""

    def test_no_core_module_imports_the_adapter(self):
        for path in core_modules():
            found = [m for m in imported_modules(path.read_text()) if ".platform" in m]
            self.assertEqual(found, [], path.name)

    def test_no_core_module_contains_a_wire_name(self):
        wire_names = [v for k, v in vars(names).items() if k.isupper()]
        self.assertGreater(len(wire_names), 15)
        for path in core_modules():
            text = string_literals(path.read_text())
            found = [
                wire_name
                for wire_name in [*wire_names, *_FURTHER_WIRE_NAMES]
                if re.search(rf"(?<![\w-]){re.escape(wire_name)}", text)
            ]
            self.assertEqual(found, [], path.name)


if __name__ == "__main__":
    unittest.main()
