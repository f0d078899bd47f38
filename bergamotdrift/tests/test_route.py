import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.http_input import HeaderLine
from bergamotdrift.request import ANONYMOUS, IncomingRequest
from bergamotdrift.stages.authenticate import KeyIndex, authenticate
from bergamotdrift.stages.route import RouteTable, route, split_path
from bergamotdrift.tests.entry_fakes import KEY, site_settings

SETTINGS = site_settings()
TABLE = RouteTable(SETTINGS)
KEYS = KeyIndex(SETTINGS)


class EmptyBody:
    length: int | None = 0

    def read(self, size):
        return b""


def request(method, target, headers=()):
    lines = [HeaderLine(*line) for line in headers]
    fields: dict[str, list[str]] = {}
    for name, value in lines:
        fields.setdefault(name.lower(), []).append(value)
    return IncomingRequest(
        "r1", method, target, lines, fields, "127.0.0.1", 100.0, EmptyBody()
    )


def routed(method, target, workspace="w1", headers=()):
    identity = Success(workspace) if workspace else Success(ANONYMOUS)
    return route(request(method, target, headers), identity, TABLE)


class RouteTests(unittest.TestCase):
    def assert_kind(self, result, kind):
        self.assertIsInstance(result, Failure)
        self.assertEqual(result.failure().kind, kind)

    def test_routing_key_is_the_decoded_path_variable(self):
        for target in ("/cases/a%20b", "/cases/%61%20b?x=1", "http://h/cases/a%20b"):
            self.assertEqual(routed("GET", target).unwrap().routing_key, "a b")

    # Guards against a route that is selected by a changed path.
    def test_url_within_a_path_belongs_to_it(self):
        self.assertEqual(
            split_path("/files/http://h/cases/1"),
            ["files", "http:", "", "h", "cases", "1"],
        )
        self.assertEqual(split_path("http://h?x=/a"), [""])

    def test_kinds_of_refusals(self):
        self.assert_kind(routed("GET", "/none"), ErrorKind.NO_ROUTE)
        self.assert_kind(routed("GET", "/cases/1/2"), ErrorKind.NO_ROUTE)
        self.assert_kind(routed("PUT", "/status/1"), ErrorKind.METHOD_NOT_ALLOWED)
        self.assert_kind(routed("GET", "/cases/1", ""), ErrorKind.UNAUTHENTICATED)
        self.assert_kind(routed("GET", "/cases/1", "w2"), ErrorKind.FORBIDDEN)
        self.assert_kind(routed("GET", "/cases/"), ErrorKind.MALFORMED_REQUEST)

    def test_open_route_needs_no_workspace(self):
        self.assertEqual(routed("GET", "/answers/1", "").unwrap().workspace, "")

    def test_unsafe_paths_are_refused(self):
        for target in (
            "/files/../cases/1",
            "/files/%2e%2e/cases/1",
            "/files/%2E./x",
            "/files/a%2fb",
            "/files/a%5cb",
            "/files/..;x/y",
            "/files/%00",
            "/files/%zz",
            "/files/%ff",
            "//[",
            "*",
        ):
            with self.subTest(target=target):
                result = routed("GET", target)
                self.assertIsInstance(result, Failure)
                self.assertIn(
                    result.failure().kind,
                    {ErrorKind.MALFORMED_REQUEST, ErrorKind.NO_ROUTE},
                )

    def test_deadline_is_the_earlier_of_caller_and_service(self):
        for stated, expected in (("500", 600.0), ("999999", 2100.0)):
            result = routed("GET", "/cases/1", headers=[("X-Deadline-Ms", stated)])
            self.assertEqual(result.unwrap().deadline_ms, expected)
        for stated in ("-1", "1.5", "", "soon"):
            result = routed("GET", "/cases/1", headers=[("X-Deadline-Ms", stated)])
            self.assert_kind(result, ErrorKind.MALFORMED_REQUEST)

    @settings(max_examples=500, deadline=None)
    @given(st.text(alphabet="/.%2eEfF5cC;\\a{}*?#:\x00é", max_size=30))
    def test_no_path_with_a_parent_segment_passes(self, text):
        segments = split_path("/files/" + text)
        if segments is None:
            return
        self.assertNotIn("..", segments)
        self.assertFalse(any("/" in s or "\\" in s for s in segments))

    @settings(max_examples=300, deadline=None)
    @given(st.text(max_size=40))
    def test_any_target_is_routed_or_refused(self, text):
        result = routed("GET", text)
        if isinstance(result, Success) and result.unwrap().is_keyed:
            self.assertTrue(result.unwrap().routing_key)


class AuthenticateTests(unittest.TestCase):
    def authenticate(self, *values):
        headers = [("Authorization", value) for value in values]
        return authenticate(request("GET", "/", headers), KEYS)

    def test_key_identifies_its_workspace(self):
        self.assertEqual(self.authenticate(f"Bearer {KEY}").unwrap(), "w1")
        self.assertEqual(self.authenticate().unwrap(), ANONYMOUS)

    def test_unknown_malformed_or_repeated_keys_are_refused(self):
        good = f"Bearer {KEY}"
        for values in (("Bearer x",), ("Basic x",), (KEY,), ("Bearer",), (good, good)):
            with self.subTest(values=values):
                self.assertIsInstance(self.authenticate(*values), Failure)

    @settings(max_examples=300, deadline=None)
    @given(st.text(max_size=60))
    def test_no_other_text_is_accepted(self, text):
        result = self.authenticate("Bearer " + text)
        self.assertEqual(isinstance(result, Success), text.strip() == KEY)
