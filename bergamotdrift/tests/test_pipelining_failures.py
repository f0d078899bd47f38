import unittest

import gevent

from bergamotdrift.http_input import HttpLimits
from bergamotdrift.http_server import HttpServer
from bergamotdrift.read_ahead_metrics import HELD_BYTES
from bergamotdrift.tests.pipelining_support import (
    AUTHORIZED,
    CHANGE,
    MAX_AHEAD,
    READ,
    PipeliningTestCase,
    answer,
    name_of,
    reads,
    request,
)
from bergamotdrift.tests.test_http_server import LIMITS, HttpServerTestCase

# Most that an answer passes on at once: what it receives at once, and framing.
PART_BYTES = 64 * 1024 + 500
BUSY = b"HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"


class CallerGoneTests(PipeliningTestCase):
    """Guards against work that goes on for a caller that has left."""

    def leave(self, *requests):
        self.held |= {"a", "b", "c"}
        caller = self.pipeline(*requests)
        self.wait_for("a", "b", "c")
        caller.sock.close()
        with gevent.Timeout(1):
            self.assert_all_ended()
        self.wait_until(lambda: not self.entry.server.open_connections)

    def test_all_requests_in_progress_end(self):
        self.leave(*reads("a", "b", "c"))

    def test_requests_end_though_unread_data_hides_the_end_of_the_stream(self):
        # The request behind `c` is not read ahead and stays in the socket.
        change = request(CHANGE + "d", AUTHORIZED)
        self.leave(*reads("a", "b", "c"), change, change)
        self.assert_never_run("d")

    def test_unread_data_that_arrives_later_does_not_hide_it_either(self):
        self.held |= {"a", "d"}
        caller = self.pipeline(request(CHANGE + "a", AUTHORIZED))
        self.wait_for("a")
        caller.send(*reads("d"))
        gevent.sleep(0.05)
        caller.sock.close()
        with gevent.Timeout(1):
            self.assert_all_ended()
        self.assert_never_run("d")

    def test_caller_that_leaves_before_its_turn_to_read_ends_the_connection(self):
        self.held.add("a")
        caller = self.pipeline(*reads("a", "b"))
        self.wait_for("a", "b")
        self.wait_until(lambda: self.entry.app.running == 1)
        caller.sock.close()
        self.wait_until(lambda: not self.entry.server.open_connections)
        self.assert_all_ended()


class FailureTests(PipeliningTestCase):
    """Guards against a failure of one request that affects others."""

    def test_deadline_of_one_request_does_not_affect_the_others(self):
        self.held.add("a")
        self.scripts["b"] = lambda: gevent.sleep(2)
        hurried = request(READ + "b", "X-Deadline-Ms: 100")
        caller = self.pipeline(*reads("a"), hurried, *reads("c"))
        self.wait_for("a", "b", "c")
        gevent.sleep(0.2)
        self.release.set()
        self.assertEqual([f.status for f in caller.read_all(3)], [200, 504, 200])

    def test_deadline_of_the_first_request_does_not_affect_the_others(self):
        self.scripts["a"] = lambda: gevent.sleep(2)
        hurried = request(READ + "a", "X-Deadline-Ms: 100")
        caller = self.pipeline(hurried, *reads("b"))
        answers = caller.read_all(2)
        self.assertEqual([found.status for found in answers], [504, 200])

    def test_refusal_in_the_middle_is_an_ordinary_answer(self):
        self.held.add("a")
        self.scripts["b"] = lambda: BUSY
        caller = self.pipeline(*reads("a", "b", "c"))
        self.wait_until(lambda: {"a", "b", "c"} <= set(self.seen()))
        self.release.set()
        answers = caller.read_all(3)
        self.assertEqual([found.status for found in answers], [200, 503, 200])
        self.assertEqual(answers[2].body, b"c")

    def test_lost_upstream_in_the_middle_is_an_ordinary_answer(self):
        self.held.add("a")
        self.scripts["b"] = lambda: None
        caller = self.pipeline(*reads("a", "b", "c"))
        self.wait_until(lambda: {"a", "b", "c"} <= set(self.seen()))
        self.release.set()
        answers = caller.read_all(3)
        self.assertEqual([found.status for found in answers], [200, 502, 200])

    def truncated(self, size):
        head = b"HTTP/1.1 200 OK\r\nX-Close: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        return [head + b"%x\r\n%s\r\n" % (size, bytes(size))]

    def test_truncated_answer_in_the_middle_resets_the_connection(self):
        self.held.add("a")
        big = bytes(60_000)
        self.scripts["a"] = lambda: answer(big)
        self.scripts["b"] = lambda: self.truncated(10)
        caller = self.pipeline(*reads("a", "b", "c"))
        self.wait_for("a", "b", "c")
        self.wait_until(lambda: self.entry.app.running == 1)
        self.release.set()
        self.assertEqual(caller.read().body, big)
        with self.assertRaises(ConnectionResetError):
            caller.read_to_end()
        self.assertNotIn(b"\r\n\r\nc", caller.data)
        self.assert_all_ended()

    def test_reset_does_not_take_away_the_answer_before_it(self):
        # Most of the first answer is still in the send buffer at the second's turn.
        self.held.add("a")
        big = bytes(60_000)
        self.scripts["a"] = lambda: answer(big)
        self.scripts["b"] = lambda: self.truncated(10)
        caller = self.pipeline(*reads("a", "b"), receive_bytes=4096)
        self.wait_for("a", "b")
        self.wait_until(lambda: self.entry.app.running == 1)
        self.release.set()
        self.wait_until(lambda: not self.entry.app.running)
        gevent.sleep(0.1)
        self.assertEqual(caller.read().body, big)

    def test_answer_truncated_in_its_turn_resets_the_connection(self):
        self.scripts["a"] = lambda: self.truncated(100_000)
        caller = self.pipeline(*reads("a", "b"))
        with self.assertRaises(ConnectionResetError):
            caller.read_to_end()
        self.assertNotIn(b"\r\n\r\nb", caller.data)
        self.assert_all_ended()


class CrashTests(HttpServerTestCase):
    """Guards against a crash of the application that reaches other answers."""

    def setUp(self):
        self.server = HttpServer("127.0.0.1:0", self.app, LIMITS, lambda head: True)
        self.server.start()
        self.addCleanup(self.server.stop)

    @staticmethod
    def app(environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/a":
            gevent.sleep(0.1)
        if path == "/b":
            raise ValueError("test")
        if path == "/killed":
            raise gevent.GreenletExit
        start_response("200 OK", [("Content-Length", "2")])
        return [path.encode()]

    def test_crash_in_the_middle_is_answered_and_ends_the_connection(self):
        data = self.exchange(b"".join(request(path) for path in ("/a", "/b", "/c")))
        first, _, rest = data.partition(b"\r\n\r\n/a")
        self.assertTrue(first.startswith(b"HTTP/1.1 200"), data)
        self.assertTrue(rest.startswith(b"HTTP/1.1 500"), data)
        self.assertIn(b"Connection: close", rest)
        self.assertNotIn(b"/c", rest)

    def test_request_that_ends_without_an_answer_ends_the_connection(self):
        # Otherwise the next answer would be taken for its own.
        with self.assertRaises(ConnectionResetError):
            self.exchange(b"".join(request(path) for path in ("/a", "/killed", "/c")))


class StopTests(PipeliningTestCase):
    """Guards against a stop that cuts off requests that were read ahead."""

    def test_requests_in_progress_are_answered(self):
        self.held |= {"a", "b", "c"}
        caller = self.pipeline(*reads("a", "b", "c"))
        self.wait_for("a", "b", "c")
        job = gevent.spawn(self.entry.stop)
        gevent.sleep(0.1)
        self.release.set()
        answers = caller.read_all(3)
        self.assertEqual([found.body for found in answers], [b"a", b"b", b"c"])
        self.assertEqual([found.closes for found in answers], [False, False, True])
        self.assertEqual(caller.read_to_end(), b"")
        job.get(timeout=5)


class DrainTimeoutTests(PipeliningTestCase):
    """Guards against requests that were read ahead and get no answer at a stop."""

    settings_overrides = {"drain_s": 0.5}

    def test_requests_left_at_the_end_of_the_drain_are_refused_in_order(self):
        self.held |= {"a", "b"}
        caller = self.pipeline(*reads("a", "b"))
        self.wait_for("a", "b")
        job = gevent.spawn(self.entry.stop)
        answers = caller.read_all(2)
        self.assertEqual([found.status for found in answers], [502, 502])
        job.get(timeout=5)


class LargeAnswersTestCase(PipeliningTestCase):
    """Answer with bodies that fill the buffers soon, and note the bytes held."""

    BODY = bytes(400_000)
    NAMES = tuple(f"n{n}" for n in range(60))

    def setUp(self):
        super().setUp()
        self.peak = 0
        self.upstream.respond = self.respond_large
        self.slow_caller = self.pipeline()
        self.sender = gevent.spawn(self.slow_caller.send, *reads(*self.NAMES))
        self.addCleanup(self.sender.kill)

    def respond_large(self, data):
        self.note_held()
        return answer(name_of(data).encode() + self.BODY)

    def note_held(self):
        self.peak = max(self.peak, HELD_BYTES._value.get())


class SlowReaderTests(LargeAnswersTestCase):
    """Guards against memory that grows with what a caller sends ahead."""

    settings_overrides = {"body_timeout_s": 5.0}

    def test_memory_is_bounded_while_a_caller_reads_slowly(self):
        gevent.sleep(0.4)
        # What the socket buffers of both sides take was answered; the rest waits.
        answered = len(self.upstream.requests)
        self.assertLess(answered, len(self.NAMES))
        gevent.sleep(0.2)
        self.assertEqual(len(self.upstream.requests), answered)
        for name in self.NAMES:
            body = self.slow_caller.read().body
            self.assertEqual(body[: -len(self.BODY)], name.encode())
            self.note_held()
        self.sender.get(timeout=5)
        bound = HttpLimits().max_ahead_bytes + MAX_AHEAD * PART_BYTES
        self.assertGreater(self.peak, 0)
        self.assertLess(self.peak, bound)
        self.assert_all_ended()


class LostReaderTests(LargeAnswersTestCase):
    """Guards against answers that are held for a caller that never reads."""

    settings_overrides = {"body_timeout_s": 0.4}

    def test_connection_of_a_caller_that_does_not_read_ends(self):
        self.wait_until(lambda: self.upstream.requests)
        self.wait_until(lambda: not self.entry.server.open_connections)
        self.assert_all_ended()


if __name__ == "__main__":
    unittest.main()
