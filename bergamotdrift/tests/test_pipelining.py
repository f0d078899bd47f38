import random
import unittest

import gevent
from gevent.event import Event

from bergamotdrift.arbiter_messages import PermitRequest
from bergamotdrift.read_ahead_metrics import DROPPED, STARTED
from bergamotdrift.tests.direct_entry import DirectEntryTestCase
from bergamotdrift.tests.log_capture import capture_log
from bergamotdrift.tests.pipelining_support import (
    AUTHORIZED,
    CHANGE,
    MAX_AHEAD,
    READ,
    PipeliningCaller,
    PipeliningTestCase,
    answer,
    count_of,
    name_of,
    reads,
    request,
)


def chunked():
    """Return an answer that is too large to be buffered and framed by the entry."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (200_000, bytes(200_000))


class OrderTests(PipeliningTestCase):
    """Guards against answers that cross, and against requests that run one by one."""

    def test_requests_run_concurrently_and_are_answered_in_order(self):
        self.held.add("a")
        caller = self.pipeline(*reads("a", "b", "c"))
        self.wait_for("a", "b", "c")
        self.release.set()
        bodies = [found.body for found in caller.read_all(3)]
        self.assertEqual(bodies, [b"a", b"b", b"c"])
        self.assert_all_ended()

    def test_requests_that_arrive_during_another_are_read_ahead(self):
        self.held.add("a")
        caller = self.pipeline(*reads("a"))
        self.wait_for("a")
        half = reads("b")[0]
        caller.send(half[:20])
        gevent.sleep(0.05)
        caller.send(half[20:])
        self.wait_for("a", "b")
        caller.send(*reads("c"))
        self.wait_for("a", "b", "c")
        self.release.set()
        bodies = [found.body for found in caller.read_all(3)]
        self.assertEqual(bodies, [b"a", b"b", b"c"])

    def test_answers_never_cross_with_upstreams_of_any_speed(self):
        rng = random.Random(5)
        names = [f"n{n}" for n in range(60)]

        def script(name):
            gevent.sleep(rng.choice((0.0, 0.001, 0.02)))
            size = rng.choice((1, 100, 70_000, 200_000))
            return answer(name.encode() + b"." * size)

        for name in names:
            self.scripts[name] = lambda name=name: script(name)
        callers = [self.pipeline(*reads(*names)) for _ in range(2)]
        for caller in callers:
            bodies = [found.body.rstrip(b".") for found in caller.read_all(60)]
            self.assertEqual(bodies, [name.encode() for name in names])
        self.assert_all_ended()

    def test_answer_without_a_body_is_followed_by_the_next(self):
        self.held.add("a")
        head = request(READ + "b", method="HEAD")
        self.scripts["b"] = lambda: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        caller = self.pipeline(*reads("a"), head, *reads("c"))
        self.wait_for("a", "b", "c")
        self.release.set()
        self.assertEqual(caller.read().body, b"a")
        self.assertEqual(caller.read("HEAD").headers["content-length"], "9")
        self.assertEqual(caller.read().body, b"c")

    def test_single_requests_take_no_greenlet_of_their_own(self):
        started = count_of(STARTED)
        caller = self.pipeline()
        for name in ("a", "b"):
            caller.send(*reads(name))
            self.assertEqual(caller.read().body, name.encode())
        self.assertEqual(count_of(STARTED), started)


class ReadAheadTests(PipeliningTestCase):
    """Guards against requests that run beside others though they must not."""

    def assert_runs_alone(self, middle):
        """Check that neither `middle` nor the request behind it is read ahead."""
        self.held |= {"a", "b"}
        caller = self.pipeline(*reads("a"), middle, *reads("c"))
        self.wait_for("a")
        self.assert_never_run("b", "c")
        self.held.discard("a")
        self.release.set()
        self.release.clear()
        self.assertEqual(caller.read().body, b"a")
        self.wait_for("a", "b")
        self.assert_never_run("c")
        self.release.set()
        bodies = [found.body for found in caller.read_all(2)]
        self.assertEqual(bodies, [b"b", b"c"])

    def test_get_on_a_route_that_is_not_idempotent_runs_alone(self):
        self.assert_runs_alone(request(CHANGE + "b", AUTHORIZED))

    def test_request_with_a_body_runs_alone(self):
        self.assert_runs_alone(request(READ + "b", body=b"body"))

    def test_number_of_requests_is_bounded(self):
        names = [f"n{n}" for n in range(20)]
        self.held |= set(names)
        log = capture_log(self)
        caller = self.pipeline(*reads(*names))
        self.wait_until(lambda: len(self.seen()) == 1 + MAX_AHEAD)
        gevent.sleep(0.2)
        self.assertEqual(sorted(self.seen()), sorted(names[: 1 + MAX_AHEAD]))
        self.release.set()
        bodies = [found.body for found in caller.read_all(20)]
        self.assertEqual(bodies, [name.encode() for name in names])
        # One line for the connection, not one for each request that waited.
        (line,) = log.of_event("read_ahead_stopped")
        self.assertIn("reason=too_many_requests", line)

    def test_reading_goes_on_when_an_answer_makes_room(self):
        names = ["a", "b", "c", "d", "e"]
        self.assertEqual(len(names), 1 + MAX_AHEAD)
        last = Event()
        self.scripts["b"] = lambda: last.wait() and answer(b"b")
        self.held.add("a")
        caller = self.pipeline(*reads(*names))
        self.wait_for(*names)
        caller.send(*reads("f"))
        self.assert_never_run("f")
        self.release.set()
        self.wait_for(*names, "f")
        last.set()
        bodies = [found.body for found in caller.read_all(6)]
        self.assertEqual(bodies, [b"a", b"b", b"c", b"d", b"e", b"f"])

    def test_malformed_request_is_refused_after_the_answers_before_it(self):
        self.held.add("a")
        caller = self.pipeline(*reads("a"), b"G@T / HTTP/1.1\r\n\r\n", *reads("c"))
        self.wait_for("a")
        self.assert_never_run("c")
        self.release.set()
        self.assertEqual([found.status for found in caller.read_all(2)], [200, 400])
        self.assertEqual(caller.read_to_end(), b"")
        self.assert_never_run("c")


class ClosingAnswerTests(PipeliningTestCase):
    """Guards against requests that run behind the answer that ends the connection."""

    def test_nothing_runs_behind_a_request_that_closes_the_connection(self):
        self.held.add("a")
        last = request(READ + "a", "Connection: close")
        caller = self.pipeline(last, *reads("b"))
        self.assert_never_run("b")
        self.release.set()
        self.assertTrue(caller.read().closes)
        self.assertEqual(caller.read_to_end(), b"")
        self.assert_never_run("b")

    def close_with_unframed_answer(self, caller):
        """Let the answer to `a` end with its connection, which only its head shows."""
        data = caller.read_to_end()
        self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
        self.assertNotIn(b"Content-Length", data)

    def test_request_that_was_not_sent_is_dropped_and_never_run(self):
        old = request(READ + "a", "Connection: keep-alive", version="1.0")
        self.held.add("a")
        self.scripts["a"] = chunked
        waiting = []

        def hold_others(msg):
            if not isinstance(msg, PermitRequest):
                return None
            waiting.append(msg)
            return None if len(waiting) == 1 else "silence"

        self.arbiter.reply_for = hold_others
        caller = self.pipeline(old, *reads("b"))
        self.wait_until(lambda: len(waiting) == 2)
        dropped = count_of(DROPPED)
        log = capture_log(self)
        self.release.set()
        self.close_with_unframed_answer(caller)
        self.wait_until(lambda: not self.entry.app.running)
        self.assertEqual(count_of(DROPPED), dropped + 1)
        (line,) = log.of_event("requests_dropped")
        self.assertIn("reason=answer_closes requests=1", line)
        self.assertEqual(len(log.of_event("request_dropped")), 1)
        self.arbiter.reply_for = lambda msg: None
        self.assert_never_run("b")
        self.assert_all_ended()

    def test_request_that_was_sent_is_cancelled(self):
        old = request(READ + "a", "Connection: keep-alive", version="1.0")
        self.held.add("a")
        self.scripts["a"] = chunked
        self.scripts["b"] = lambda: gevent.sleep(2)
        caller = self.pipeline(old, *reads("b"))
        self.wait_for("a", "b")
        self.release.set()
        self.close_with_unframed_answer(caller)
        with gevent.Timeout(1):
            self.assert_all_ended()

    def test_requests_end_when_the_head_of_the_answer_tells_of_the_close(self):
        # The answer to `a` goes on for as long as its deadline allows.
        old = request(READ + "a", "Connection: keep-alive", version="1.0")
        self.held.add("a")
        self.scripts["a"] = lambda: chunked()[:-100]
        self.scripts["b"] = lambda: gevent.sleep(5)
        self.pipeline(old, *reads("b"))
        self.wait_for("a", "b")
        self.release.set()
        self.wait_until(lambda: self.entry.app.running == 1, 1.0)
        self.wait_until(lambda: not self.entry.app.running)

    def test_nothing_runs_behind_the_last_answer_of_a_drain(self):
        # The answer to `c` is ready and states the close before `d` arrives.
        self.held.add("a")
        caller = self.pipeline(*reads("a", "b"))
        self.wait_for("a", "b")
        self.entry.server.drain()
        caller.send(*reads("c"))
        self.wait_for("a", "b", "c")
        self.wait_until(lambda: self.entry.app.running == 1)
        caller.send(*reads("d"))
        self.assert_never_run("d")
        self.release.set()
        answers = caller.read_all(3)
        self.assertEqual([found.body for found in answers], [b"a", b"b", b"c"])
        self.assertEqual([found.closes for found in answers], [False, False, True])
        self.assertEqual(caller.read_to_end(), b"")
        self.assert_never_run("d")


class DirectDispatchTests(DirectEntryTestCase):
    """Guards against answers that cross between upstreams chosen by the entry."""

    def test_requests_run_concurrently_and_are_answered_in_order(self):
        names = [f"n{n}" for n in range(12)]

        def respond(data):
            name = name_of(data)
            gevent.sleep(0.1 if name == "n0" else 0.002 * (int(name[1:]) % 3))
            return answer(name.encode())

        self.set_response_script(respond)
        caller = PipeliningCaller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        lines = (AUTHORIZED, "Attempt-Id: a1", "Deadline-Ms: 900")
        caller.send(*[request("/look/" + name, *lines) for name in names])
        gevent.sleep(0.05)
        self.assertGreater(len(self.requests()), 1)
        bodies = [found.body for found in caller.read_all(len(names))]
        self.assertEqual(bodies, [name.encode() for name in names])


if __name__ == "__main__":
    unittest.main()
