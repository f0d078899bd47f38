import time
import unittest

import gevent
import gevent.socket

from bergamotdrift.caller_output import STALLED_CALLERS, CallerOutput, ReadProgress
from bergamotdrift.exceptions import CallerGoneError
from bergamotdrift.tests.direct_entry import OK, DirectEntryTestCase
from bergamotdrift.tests.entry_fakes import OK_BODY, Caller

SIZE = 24 * 1024 * 1024
# `body_timeout_s` of the entries in tests.
TIMEOUT_S = 0.5


class ReadProgressTests(unittest.TestCase):
    """Guards against callers that are held for too long or cut off too early."""

    def test_caller_that_takes_nothing_stalls_after_the_timeout(self):
        progress = ReadProgress(0, 0.0, 5.0)
        self.assertFalse(progress.has_stalled(0, 0.5))
        self.assertFalse(progress.has_stalled(0, 4.9))
        self.assertTrue(progress.has_stalled(0, 5.0))

    def test_caller_that_reads_does_not_stall(self):
        progress = ReadProgress(0, 0.0, 5.0)
        for second in range(60):
            self.assertFalse(progress.has_stalled(second // 4 * 2000, float(second)))

    def test_caller_that_reads_single_bytes_stalls(self):
        progress = ReadProgress(0, 0.0, 5.0)
        stalls = [progress.has_stalled(second, float(second)) for second in range(9)]
        self.assertTrue(any(stalls))


class SendTests(unittest.TestCase):
    """Guards slow callers that do read against being disconnected."""

    def setUp(self):
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)
        self.caller = gevent.socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        self.sock, _ = listener.accept()
        self.addCleanup(self.sock.close)

    def start(self):
        output = CallerOutput(self.sock)
        output.settimeout(TIMEOUT_S)
        return gevent.spawn(output.sendall, b"x" * SIZE)

    def test_caller_that_reads_slowly_gets_all_bytes(self):
        sender = self.start()
        end_s = time.monotonic() + 3 * TIMEOUT_S
        received = 0
        while time.monotonic() < end_s:
            received += len(self.caller.recv(200_000))
            gevent.sleep(0.1)
        self.assertFalse(sender.ready())
        while received < SIZE:
            received += len(self.caller.recv(1 << 20))
        self.assertIsNone(sender.get(timeout=2))

    def test_caller_that_stops_reading_is_given_up(self):
        before_s = self.sock.gettimeout()
        sender = self.start()
        self.caller.recv(200_000)
        with self.assertRaises(CallerGoneError):
            sender.get(timeout=3 * TIMEOUT_S)
        self.assertEqual(self.sock.gettimeout(), before_s)

    def test_lost_caller_is_an_error(self):
        sender = self.start()
        self.caller.recv(200_000)
        self.caller.close()
        with self.assertRaises(OSError):
            sender.get(timeout=TIMEOUT_S)


class SlowCallerTests(DirectEntryTestCase):
    """Guards against callers that hold memory and upstreams by not reading."""

    def setUp(self):
        super().setUp()
        self.set_response_script(self.respond)
        self.budget = self.entry.app._pipeline._budget

    def respond(self, data):
        if b"/look/large" not in data:
            return OK
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n".encode()
        part = b"x" * 65536
        return [head, *[part] * (SIZE // len(part))]

    def start_large(self):
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        caller.send("GET", "/look/large", [("Deadline-Ms", "9000")])
        return caller

    def wait_until(self, condition, timeout_s=5.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.01)

    def test_caller_that_does_not_read_is_disconnected(self):
        before = STALLED_CALLERS._value.get()
        caller = self.start_large()
        started_s = time.monotonic()
        self.wait_until(lambda: self.budget.held_bytes > 0)
        self.wait_until(lambda: any(up.closed for up in self.upstreams))
        self.assertGreater(time.monotonic() - started_s, TIMEOUT_S / 2)
        self.wait_until(lambda: self.budget.held_bytes == 0)
        self.assertEqual(STALLED_CALLERS._value.get() - before, 1)
        self.assertFalse(caller.read().complete)

    def test_slow_callers_hold_a_bounded_number_of_bytes(self):
        callers = [self.start_large() for _ in range(6)]
        gevent.sleep(TIMEOUT_S / 2)
        # One part of a response for each caller.
        self.assertLessEqual(self.budget.held_bytes, len(callers) * 65536)
        self.assertGreater(self.budget.held_bytes, 0)
        for caller in callers:
            caller.sock.close()
        self.wait_until(lambda: self.budget.held_bytes == 0)


class FullBudgetTests(DirectEntryTestCase):
    """Guards against growth, and against lost requests, while no room is left."""

    def setUp(self):
        super().setUp()
        self.budget = self.entry.app._pipeline._budget
        self.budget.total_bytes = 0

    def test_requests_are_served_in_small_parts(self):
        body = b"x" * 50_000
        answer = self.ask("/order/1", "POST", body=body)
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))
        self.assertTrue(self.requests()[0].endswith(body))
        self.assertLessEqual(self.budget.peak_bytes, 65536)

    def test_small_response_is_passed_on_unbuffered(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n"
        self.set_response_script(lambda data: [head, *[b"x" * 10_000] * 5])
        answer = self.ask("/look/1")
        self.assertEqual((answer.status, len(answer.body)), (200, 50_000))
        gevent.sleep(0.05)
        self.assertEqual(self.budget.held_bytes, 0)

    def test_response_of_unknown_length_is_refused(self):
        self.set_response_script(
            lambda data: b"HTTP/1.1 200 OK\r\nX-Close: 1\r\n\r\nall of it"
        )
        answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual((answer.status, answer.kind), (502, "outcome_unknown"))
        self.assertEqual(self.budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
