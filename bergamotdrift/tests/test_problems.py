import unittest

from hypothesis import given
from hypothesis import strategies as st

from bergamotdrift.config.problems import Problem, Severity, format_path, parent_path

PATH_COMPONENTS = st.one_of(
    st.integers(0, 20), st.text(alphabet='ab."\\[]\n-', max_size=6), st.text()
)


class PathTests(unittest.TestCase):
    """Guards against ambiguous formatted paths and paths with a line break."""

    @given(st.lists(PATH_COMPONENTS, min_size=1, max_size=4))
    def test_parent_of_a_formatted_path(self, components):
        text = format_path(tuple(components))
        self.assertEqual(parent_path(text), format_path(tuple(components[:-1])))
        self.assertNotIn("\n", text)

    @given(st.lists(PATH_COMPONENTS, max_size=3), st.lists(PATH_COMPONENTS, max_size=3))
    def test_different_paths_have_different_text(self, one, other):
        same = format_path(tuple(one)) == format_path(tuple(other))
        self.assertEqual(same, one == other)


class ProblemTests(unittest.TestCase):
    def test_text_names_file_line_severity_and_path(self):
        problem = Problem("a.jsonc", "site", 3, "is missing", Severity.WARNING)
        self.assertEqual(str(problem), "a.jsonc:3: warning: site: is missing")
        self.assertEqual(
            str(Problem("", "site", 0, "is missing")), "error: site: is missing"
        )
