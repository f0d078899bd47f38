import unittest

from bergamotdrift.http_input import HttpLimits, parse_head
from bergamotdrift.read_ahead import (
    AheadLoad,
    RequestTraits,
    StopReason,
    has_body,
    stop_before,
    stop_behind,
)

LIMITS = HttpLimits(
    max_ahead_requests=2, max_ahead_bytes=100, max_ahead_total_bytes=1000
)
PLAIN = RequestTraits(is_idempotent=True, has_body=False)
NOTHING = AheadLoad(0, 0, 0)


class StopBehindTests(unittest.TestCase):
    """Guards against a request that overtakes one which must be answered first."""

    def assert_stop(self, last, load, reason):
        self.assertIs(stop_behind(last, load, LIMITS), reason)

    def test_requests_behind_a_plain_idempotent_one_are_read(self):
        self.assert_stop(PLAIN, NOTHING, None)
        self.assert_stop(PLAIN, AheadLoad(1, 99, 999), None)

    def test_nothing_is_read_behind_a_request_that_runs_alone(self):
        change = RequestTraits(is_idempotent=False, has_body=False)
        self.assert_stop(change, NOTHING, StopReason.BEHIND_NOT_IDEMPOTENT)
        upload = RequestTraits(is_idempotent=True, has_body=True)
        self.assert_stop(upload, NOTHING, StopReason.BEHIND_BODY)

    def test_nothing_is_read_behind_the_last_answer(self):
        last = PLAIN._replace(closes=True)
        self.assert_stop(last, NOTHING, StopReason.BEHIND_CLOSE)

    def test_requests_and_bytes_are_bounded(self):
        many = StopReason.TOO_MANY_REQUESTS
        self.assert_stop(PLAIN, AheadLoad(2, 0, 0), many)
        held = StopReason.TOO_MANY_BYTES
        self.assert_stop(PLAIN, AheadLoad(1, 100, 100), held)
        total = StopReason.TOO_MANY_BYTES_IN_TOTAL
        self.assert_stop(PLAIN, AheadLoad(0, 0, 1000), total)


class StopBeforeTests(unittest.TestCase):
    """Guards against work that runs beside others though it can't be repeated."""

    def test_only_plain_idempotent_requests_start(self):
        self.assertIsNone(stop_before(PLAIN))
        change = PLAIN._replace(is_idempotent=False)
        self.assertIs(stop_before(change), StopReason.NOT_IDEMPOTENT)
        upload = PLAIN._replace(has_body=True)
        self.assertIs(stop_before(upload), StopReason.HAS_BODY)

    def test_request_that_closes_the_connection_starts(self):
        self.assertIsNone(stop_before(PLAIN._replace(closes=True)))

    def test_bodies_are_recognized(self):
        start = b"GET / HTTP/1.1\r\nHost: x"
        chunked = b"\r\nTransfer-Encoding: chunked"
        for lines, expected in (
            (b"", False),
            (b"\r\nContent-Length: 0", False),
            (b"\r\nContent-Length: 1", True),
            (chunked, True),
        ):
            with self.subTest(lines=lines):
                head = parse_head(start + lines, LIMITS)
                self.assertIs(has_body(head), expected)


if __name__ == "__main__":
    unittest.main()
