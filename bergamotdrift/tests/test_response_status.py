import unittest

from geventhttpclient.response import HTTPParseError

from bergamotdrift.clock import BootClock
from bergamotdrift.http_connection import ResponseParser
from bergamotdrift.load_poller import fetch_load
from bergamotdrift.messages import UpstreamRow, UpstreamState
from bergamotdrift.operator_client import OperatorClient
from bergamotdrift.platform.range_order_client import RangeOrderClient
from bergamotdrift.range_orders import GrantOrder, GrantResult, ReleaseOrder
from bergamotdrift.tests.entry_fakes import (
    OK_ANSWER,
    OK_BODY,
    EntryTestCase,
    FakeUpstream,
)

INVALID = ("000", "001", "099", "600", "999")
TOO_LONG = ("0200", "1000", "20")
LOAD = b'{"in_flight":1,"slots":4,"state":"ready"}'


def response(status, body=OK_BODY):
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def interim(status):
    return f"HTTP/1.1 {status} X\r\n\r\n".encode() + OK_ANSWER


class StatusParserTests(unittest.TestCase):
    """Guards against a status outside 100 to 599 that counts as interim or final."""

    def parse(self, method, data):
        parser = ResponseParser(method)
        parser.feed_bounded(data)
        return parser

    def test_invalid_status_is_an_error_for_each_method(self):
        for status in (*INVALID, *TOO_LONG):
            for method in ("GET", "HEAD", "POST"):
                for data in (response(status), response(status, b""), interim(status)):
                    with (
                        self.subTest(status=status, method=method, data=data),
                        self.assertRaises(HTTPParseError),
                    ):
                        self.parse(method, data)

    def test_invalid_status_after_an_interim_response_is_an_error(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + response("999")
        for method in ("GET", "HEAD"):
            with self.subTest(method), self.assertRaises(HTTPParseError):
                self.parse(method, data)

    def test_every_other_status_is_valid(self):
        for status in range(200, 600):
            parser = self.parse("GET", response(status, b""))
            self.assertTrue(parser.head_is_final)
            self.assertEqual(parser.status, status)
        for status in (100, 102, 103, 199):
            parser = self.parse("GET", interim(status))
            self.assertEqual((parser.status, parser.take_body()), (200, OK_BODY))

    def test_complete_response_is_not_broken_by_what_follows(self):
        for method in ("GET", "HEAD"):
            parser = self.parse(method, response(200, b"") + response("999"))
            self.assertTrue(parser.message_complete)
            self.assertEqual(parser.status, 200)


class StatusEntryTests(EntryTestCase):
    """Guards callers against responses with a status that HTTP does not have."""

    def test_response_is_broken(self):
        for status in INVALID:
            for method in ("POST", "HEAD"):
                for data in (response(status), interim(status)):
                    with self.subTest(status=status, method=method, data=data):
                        self.upstream.requests.clear()
                        self.upstream.respond = lambda _, data=data: data
                        answer = self.ask(method, "/cases/1")
                        self.assertEqual(answer.status, 502)
                        self.assertEqual(answer.kind, "outcome_unknown")
                        self.assertEqual(len(self.upstream.requests), 1)

    def test_status_does_not_say_that_a_request_was_not_run(self):
        data = b"HTTP/1.1 999 X\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"
        self.upstream.respond = lambda _: data
        answer = self.ask("POST", "/cases/1")
        self.assertEqual((answer.status, answer.kind), (502, "outcome_unknown"))
        self.assertEqual(len(self.upstream.requests), 1)


class StatusClientTests(unittest.TestCase):
    """Guards the clients of upstreams and control replicas against such responses."""

    def serve(self, data):
        server = FakeUpstream(lambda _: data)
        self.addCleanup(server.server.stop, 0)
        return server.address

    def test_load_report_is_not_read(self):
        self.assertIsNotNone(self.load(response(200, LOAD)))
        for status in INVALID:
            self.assertIsNone(self.load(interim(status)), status)

    def load(self, data):
        data = data.replace(OK_ANSWER, response(200, LOAD))
        return fetch_load(self.serve(data), BootClock())

    def test_order_is_not_answered(self):
        order = GrantOrder(4, 9, 12, 2000, "")
        for status in INVALID:
            address = self.serve(interim(status))
            row = UpstreamRow("s", "u1", address, "a", "1", UpstreamState.READY, 2, 1)
            client = RangeOrderClient(BootClock())
            result = client.grant(row, order, 300.0)
            self.assertEqual(result, GrantResult.NO_ANSWER)
            self.assertIsNone(client.release(row, ReleaseOrder(4, 9, 12), 300.0))

    def test_replica_is_not_believed(self):
        for status in INVALID:
            client = OperatorClient([self.serve(interim(status))], "key", 0.2)
            self.assertIn("is invalid", client.status().failure().message)


if __name__ == "__main__":
    unittest.main()
