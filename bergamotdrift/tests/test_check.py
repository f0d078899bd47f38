import copy
import unittest
from pathlib import Path

import msgpack
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.config.check import check_site, inspect_site
from bergamotdrift.config.loader import load_site_mapping
from bergamotdrift.config.problems import Severity
from bergamotdrift.config.schema import SiteSettings

SITES = Path(__file__).resolve().parents[2] / "sites"


def site_mapping(name="hollins-marr"):
    base, overlay = SITES / "base.jsonc", SITES / f"{name}.jsonc"
    return load_site_mapping(str(base), str(overlay)).unwrap()


MAPPINGS = {name: site_mapping(name) for name in ("iroda", "hollins-marr")}
REMOVED = object()


def changed_mapping(path, value, name="hollins-marr"):
    """Return a copy of the shipped settings with one value changed or removed."""
    mapping = copy.deepcopy(MAPPINGS[name])
    *parents, last = path
    target = mapping
    for component in parents:
        target = target[component]
    if value is REMOVED:
        del target[last]
    else:
        target[last] = value
    return mapping


class RuleTests(unittest.TestCase):
    """Guards against accepting settings that conflict with each other."""

    def assert_problem(self, path, value, problem_path, text):
        problems = check_site(changed_mapping(path, value)).failure()
        self.assertEqual([p.path for p in problems], [problem_path])
        self.assertIn(text, problems[0].message)

    def test_unknown_service_of_route_is_refused_with_a_suggestion(self):
        self.assert_problem(
            ("routes", "booking", "service"),
            "stock-and-slot",
            "routes.booking.service",
            "did you mean 'stock-and-slots'?",
        )

    def test_unknown_service_of_workspace_is_refused_with_its_index(self):
        self.assert_problem(
            ("workspaces", "depots", "services"),
            ["hire-contracts", "nothing"],
            "workspaces.depots.services[1]",
            "unknown name 'nothing'",
        )

    def test_unknown_setting_is_refused_with_a_suggestion(self):
        self.assert_problem(
            ("routes", "booking", "urgnet"),
            True,
            "routes.booking.urgnet",
            "did you mean 'urgent'?",
        )

    def test_keyed_route_needs_a_key_variable_of_its_path(self):
        key = ("routes", "booking", "key")
        self.assert_problem(key, REMOVED, "routes.booking.key", "is missing")
        self.assert_problem(key, "case", "routes.booking.key", "no variable 'case'")

    def test_pool_route_must_not_have_a_key(self):
        key = ("routes", "document", "key")
        self.assert_problem(key, "document", "routes.document.key", "is a pool")

    def test_same_path_and_method_is_refused_despite_other_variable_names(self):
        route = dict(MAPPINGS["hollins-marr"]["routes"]["booking"])
        route.update(path="/hires/{other}/booking", key="other", methods=["DELETE"])
        self.assert_problem(
            ("routes", "second"), route, "routes.second.path", "route 'booking'"
        )

    def test_one_key_for_two_workspaces_is_refused(self):
        digests = MAPPINGS["hollins-marr"]["workspaces"]["humber-glass"]["key_digests"]
        self.assert_problem(
            ("workspaces", "depots", "key_digests"),
            digests,
            "workspaces.depots.key_digests[0]",
            "belongs to workspace 'humber-glass'",
        )

    def test_plain_key_is_refused_and_not_printed(self):
        mapping = changed_mapping(
            ("workspaces", "depots", "key_digests"), ["s3cret-key"]
        )
        [problem] = check_site(mapping).failure()
        self.assertIn("settings must contain the digest of a key", problem.message)
        self.assertNotIn("s3cret", str(problem))

    def test_burst_below_one_is_refused(self):
        burst = ("workspaces", "depots", "burst")
        self.assert_problem(burst, 0, "workspaces.depots.burst", "from 1 to")

    def test_initial_slots_above_slots_is_refused(self):
        self.assert_problem(
            ("services", "hire-contracts", "cold_start", "initial_slots"),
            3,
            "services.hire-contracts.cold_start.initial_slots",
            "must not be above slots (2)",
        )

    def test_unfenced_keyed_service_with_a_long_timeout_is_refused(self):
        path = ("services", "stock-and-slots", "request_timeout_ms")
        self.assert_problem(path, 1001, ".".join(path), "at most 1000")
        mapping = changed_mapping(path, 1001)
        mapping["services"]["stock-and-slots"]["fencing"] = "epoch"
        self.assertIsInstance(check_site(mapping).unwrap(), SiteSettings)

    def test_every_zone_out_is_refused(self):
        zones = dict.fromkeys(MAPPINGS["hollins-marr"]["zones"], "out")
        self.assert_problem(("zones",), zones, "zones", "every availability zone")

    def test_replicas_with_one_address_are_refused(self):
        self.assert_problem(
            ("replicas", "control-2"),
            "127.0.0.1:7301",
            "replicas.control-2",
            "address of replica 'control-1'",
        )


class ValueTests(unittest.TestCase):
    """Guards against accepting values of a wrong unit, type or range."""

    def message(self, path, value):
        [problem] = check_site(changed_mapping(path, value)).failure()
        return problem.message

    def test_time_as_text_with_a_unit_names_the_expected_unit(self):
        path = ("services", "site-documents", "request_timeout_ms")
        self.assertIn("of milliseconds", self.message(path, "30s"))

    def test_setting_in_another_unit_suggests_only_the_expected_one(self):
        mapping = changed_mapping(
            ("services", "site-documents", "request_timeout_s"), 30
        )
        del mapping["services"]["site-documents"]["request_timeout_ms"]
        [problem] = check_site(mapping).failure()
        self.assertIn("did you mean 'request_timeout_ms'?", problem.message)

    def test_booleans_and_numbers_are_not_interchangeable(self):
        self.assertIn(
            "a whole number", self.message(("workspaces", "depots", "burst"), True)
        )
        self.assertIn("true or false", self.message(("routes", "booking", "open"), 1))

    def test_numbers_that_are_not_finite_or_too_large_are_refused(self):
        rate = ("workspaces", "depots", "rate_per_s")
        for value in (float("nan"), float("inf"), -1, 0, 10**5000):
            with self.subTest(value=str(value)[:9] if value != 10**5000 else "big"):
                self.assertIn(
                    "a number of requests per second", self.message(rate, value)
                )

    def test_duplicate_value_in_a_list_is_refused(self):
        path = ("routes", "booking", "methods")
        self.assertIn("duplicate value", self.message(path, ["POST", "POST"]))

    def test_all_problems_are_reported_at_once(self):
        mapping = changed_mapping(("workspaces", "depots", "burst"), 0)
        mapping["routes"]["booking"]["service"] = "none"
        mapping["services"]["hire-contracts"]["slots"] = "two"
        mapping["zones"]["hm-a"] = "gone"
        del mapping["site"]
        paths = {p.path for p in check_site(mapping).failure()}
        expected = {
            "workspaces.depots.burst",
            "routes.booking.service",
            "services.hire-contracts.slots",
            "zones.hm-a",
            "site",
        }
        self.assertEqual(paths, expected)


class WarningTests(unittest.TestCase):
    """Guards against warnings that make settings invalid, or errors that do not."""

    def warning(self, path, value):
        inspection = inspect_site(changed_mapping(path, value))
        self.assertIsNotNone(inspection.settings)
        [problem] = inspection.problems
        self.assertIs(problem.severity, Severity.WARNING)
        return problem.message

    def test_even_number_of_replicas(self):
        path = ("replicas", "control-3")
        self.assertIn("2 replicas tolerate no more", self.warning(path, REMOVED))

    def test_workspace_without_keys(self):
        path = ("workspaces", "depots", "key_digests")
        self.assertIn("no key", self.warning(path, []))


def paths_of(value, path=()):
    yield path
    children = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        children = enumerate(value)
    for component, child in children:
        yield from paths_of(child, (*path, component))


ALL_PATHS = [
    (name, path)
    for name, mapping in MAPPINGS.items()
    for path in paths_of(mapping)
    if path
]
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 1002),
    st.integers(),
    st.floats(),
    st.text(max_size=12),
    st.sampled_from(["out", "none", "pool", "/a/{b}/{b}", "GET", "127.0.0.1:1", "key"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8) | st.sampled_from(["a", "key"]), inner)
    ),
    max_leaves=6,
)


class MutationTests(unittest.TestCase):
    """Guards against exceptions, and settings that violate their schema."""

    def assert_valid_or_problems(self, mapping):
        inspection = inspect_site(mapping)
        if inspection.settings is None:
            self.assertTrue(inspection.problems)
            return
        body = msgpack.unpackb(msgpack.packb(inspection.settings))
        self.assertEqual(msgspec.convert(body, SiteSettings), inspection.settings)

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(ALL_PATHS), VALUES), max_size=3))
    def test_changed_values(self, changes):
        for (name, path), value in changes:
            self.assert_valid_or_problems(changed_mapping(path, value, name))

    @settings(max_examples=200, deadline=None)
    @given(st.sampled_from(ALL_PATHS), st.text(max_size=12), VALUES)
    def test_added_names_and_removed_values(self, location, added, value):
        name, path = location
        self.assert_valid_or_problems(changed_mapping(path, REMOVED, name))
        self.assert_valid_or_problems(changed_mapping((path[0],), {added: value}, name))

    @settings(max_examples=200, deadline=None)
    @given(VALUES)
    def test_any_other_input(self, value):
        self.assert_valid_or_problems(value)
