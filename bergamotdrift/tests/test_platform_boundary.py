import ast
import re
import unittest
from pathlib import Path

from bergamotdrift.platform import names

_PACKAGE = Path(__file__).resolve().parents[1]
_OTHER_NAMES = (
    "Response-Seal",
    "Warmup-Ms",
    "warmup_per_s",
    "traffic_split",
    "api_keys",
    "path_prefix",
    "BERGAMOTDRIFT_BOOT",
)


def modules():
    for path in _PACKAGE.glob("**/*.py"):
        parts = path.relative_to(_PACKAGE).parts
        if parts[0] not in {"platform", "tests"}:
            yield path


def imported(source):
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom):
            yield node.module or ""
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def texts(source):
    """Return all text constants of a module, as one text."""
    nodes = ast.walk(ast.parse(source))
    return "\n".join(
        node.value
        for node in nodes
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )


class BorderTests(unittest.TestCase):
    """Guards against names of the platform that spread through the product."""

    def test_no_module_imports_the_adapter(self):
        for path in modules():
            found = [m for m in imported(path.read_text()) if ".platform" in m]
            self.assertEqual(found, [], path.name)

    def test_no_module_holds_a_name_of_the_wire(self):
        words = [v for k, v in vars(names).items() if k.isupper()]
        self.assertGreater(len(words), 15)
        for path in modules():
            text = texts(path.read_text())
            found = [
                word
                for word in [*words, *_OTHER_NAMES]
                if re.search(rf"(?<![\w-]){re.escape(word)}", text)
            ]
            self.assertEqual(found, [], path.name)


if __name__ == "__main__":
    unittest.main()
