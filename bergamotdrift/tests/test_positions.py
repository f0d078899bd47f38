import json
import unittest

import json5
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.config.positions import find_positions
from bergamotdrift.tests.test_check import VALUES, paths_of


class PositionTests(unittest.TestCase):
    """Guards against problems reported with a wrong line."""

    def test_lines_of_values_between_comments(self):
        text = "// {a: 1\n{ a /* b:\n */ : 1,\n 'b': [ 2, // x\n  {\"c\\n\": 3} ] , }"
        self.assertEqual(
            find_positions(text).lines,
            {(): 2, ("a",): 2, ("b",): 4, ("b", 0): 4, ("b", 1): 5, ("b", 1, "c\n"): 5},
        )

    def test_brackets_and_quotes_within_text_are_not_structure(self):
        text = '{"a": "}]//\\"",\n b: \'{"\',\n c: 1}'
        self.assertEqual(find_positions(text).lines["c",], 3)

    @settings(max_examples=200, deadline=None)
    @given(VALUES, st.sampled_from([None, 0, 2]))
    def test_every_value_has_a_line(self, value, indent):
        # json5 does not combine escaped surrogate pairs, so the text is not escaped.
        text = json.dumps(value, indent=indent, ensure_ascii=False)
        lines = find_positions(text).lines
        # A top-level scalar has no path.
        expected = set(paths_of(value)) if isinstance(value, (dict, list)) else set()
        self.assertEqual(set(lines), expected)
        if indent is not None and isinstance(value, (dict, list)):
            # With indentation, each value starts on its own line.
            self.assertEqual(len(set(lines.values())), len(lines))

    @settings(max_examples=200, deadline=None)
    @given(st.text(alphabet="{}[]:,'\"ab/*\\ \n1", max_size=30))
    def test_any_text_that_json5_accepts(self, text):
        try:
            value = json5.loads(text)
        except ValueError:
            return
        if isinstance(value, (dict, list)):
            self.assertEqual(set(find_positions(text).lines), set(paths_of(value)))
