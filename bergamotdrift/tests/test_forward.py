import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.arbiter_messages import PermitRelease
from bergamotdrift.http_input import HeaderLine, connection_tokens
from bergamotdrift.stages.request_head import end_to_end
from bergamotdrift.tests.endless_server import (
    ENDLESS_ANSWERS,
    SENT_MAX_BYTES,
    EndlessAnswer,
)
from bergamotdrift.tests.entry_fakes import OK_ANSWER, OK_BODY, EntryTestCase

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "PATCH", "POST")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def head(length):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


class AtMostOnceTests(EntryTestCase):
    """Guards against HTTP libraries or connections that resend a request."""

    def test_no_method_is_resent_when_the_upstream_closes_without_a_response(self):
        self.upstream.respond = lambda data: None
        for method in METHODS:
            with self.subTest(method=method):
                self.upstream.requests.clear()
                answer = self.ask(method, "/cases/1")
                self.assertEqual((answer.status, answer.kind), (502, "outcome_unknown"))
                self.assertEqual(len(self.upstream.requests), 1)

    def test_no_method_is_resent_on_a_reused_connection(self):
        for method in METHODS:
            with self.subTest(method=method):
                self.upstream.respond = lambda data: OK_ANSWER
                self.ask("POST", "/cases/1")
                self.upstream.requests.clear()
                opened = len(self.upstream.connections)
                self.upstream.respond = lambda data: None
                self.assertEqual(self.ask(method, "/cases/1").kind, "outcome_unknown")
                self.assertEqual(len(self.upstream.requests), 1)
                self.assertEqual(len(self.upstream.connections), opened)

    def test_idle_connection_closed_by_the_upstream_is_not_used(self):
        self.ask("POST", "/cases/1")
        self.upstream.connections[0].shutdown(2)
        gevent.sleep(0.02)
        self.assertEqual(self.ask("POST", "/cases/1").status, 200)
        self.assertEqual(len(self.upstream.requests), 2)


class RequestTargetTests(EntryTestCase):
    """Guards against a target that reaches the upstream changed."""

    def target_at_upstream(self, target):
        self.upstream.requests.clear()
        self.assertEqual(self.ask("GET", target).status, 200)
        (data,) = self.upstream.requests
        return bytes(data).split(b" ")[1].decode()

    def test_url_within_a_target_is_kept(self):
        for target in (
            "/cases/1?source=http://desk.example/x&page=2",
            "/cases/1?next=HTTPS://desk.example",
            "/cases/1?a=http://x/y&b=http://z/",
        ):
            with self.subTest(target=target):
                self.assertEqual(self.target_at_upstream(target), target)

    def test_absolute_form_loses_only_its_own_scheme_and_host(self):
        for target in ("/cases/1", "/cases/1?from=http://other.example/y"):
            with self.subTest(target=target):
                full = "http://desk.example" + target
                self.assertEqual(self.target_at_upstream(full), target)


class TruncatedResponseTests(EntryTestCase):
    def assert_not_complete(self, answer):
        self.assertFalse(answer.complete and answer.status == 200)

    def test_truncated_responses_are_never_complete(self):
        for truncated in (
            head(10) + b"abc",
            head(200_000) + b"a" * 100_000,
            CHUNKED + b"5\r\nab",
            CHUNKED + b"3\r\nabc\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nread until close",
            b"HTTP/1.1 200 OK\r\nContent-",
            b"not http at all\r\n\r\n",
        ):
            with self.subTest(truncated=truncated[:60]):
                self.upstream.respond = lambda data, truncated=truncated: [
                    truncated,
                    b"",
                ]
                self.upstream.server.set_handle(self.serve_once)
                self.assert_not_complete(self.ask("POST", "/cases/1"))
        self.wait_until(lambda: not self.entry.registry.shards())

    def serve_once(self, sock, _address):
        sock.recv(65536)
        for part in self.upstream.respond(b""):
            sock.sendall(part)
        sock.close()

    def test_truncated_small_response_to_an_idempotent_request_is_retried(self):
        truncated = b"HTTP/1.1 200 OK\r\nX-Close: 1\r\nContent-Length: 10\r\n\r\nabc"
        answers = [truncated, OK_ANSWER]
        self.upstream.respond = lambda data: answers.pop(0)
        answer = self.ask("GET", "/status/1")
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))


class ResponseWithoutBodyTests(EntryTestCase):
    """Guards against a caller's connection that ends without any answer.

    The upstream has sent its headers, so nothing of them has reached the caller yet.
    """

    def serve(self, hold_s):
        def serve_once(sock, _address):
            sock.recv(65536)
            sock.sendall(self.first)
            gevent.sleep(hold_s)
            sock.close()

        self.upstream.server.set_handle(serve_once)

    def test_refusal_takes_the_place_of_a_body_that_never_begins(self):
        deadline = [("X-Deadline-Ms", "300")]
        for self.first in (CHUNKED, head(200_000)):
            for hold_s in (0.0, 0.8):
                with self.subTest(first=self.first, hold_s=hold_s):
                    self.serve(hold_s)
                    answer = self.ask("POST", "/cases/1", deadline)
                    self.assertTrue(answer.complete)
                    self.assertEqual(answer.kind, "outcome_unknown")
        self.wait_until(lambda: not self.entry.registry.shards())

    def test_idempotent_request_is_retried(self):
        connections = []

        def serve_once(sock, _address):
            connections.append(sock)
            sock.recv(65536)
            sock.sendall(CHUNKED if len(connections) == 1 else OK_ANSWER)
            sock.close()

        self.upstream.server.set_handle(serve_once)
        answer = self.ask("GET", "/status/1")
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))


class EndlessResponseTests(EntryTestCase):
    """Guards against memory that grows until the deadline of a request."""

    def start_answer(self, name):
        answer = EndlessAnswer(*ENDLESS_ANSWERS[name])
        self.upstream.server.set_handle(answer.serve)
        return answer

    def test_response_that_can_not_be_forwarded_is_abandoned(self):
        for name in ("bytes", "head", "header", "interim", "unframed body"):
            with self.subTest(name):
                answer = self.start_answer(name)
                refused = self.ask("POST", "/cases/1")
                self.assertEqual(refused.kind, "outcome_unknown")
                self.assertLess(answer.sent, SENT_MAX_BYTES)
        self.wait_until(lambda: not self.entry.registry.shards())

    def test_endless_trailers_end_the_response(self):
        answer = self.start_answer("trailers")
        reply = self.ask("POST", "/cases/1")
        self.assertFalse(reply.complete and reply.status == 200)
        self.assertLess(answer.sent, SENT_MAX_BYTES)

    def test_body_is_read_no_faster_than_the_caller_reads(self):
        for name in ("sized body", "chunked body"):
            with self.subTest(name):
                answer = self.start_answer(name)
                caller = self.caller()
                caller.send("POST", "/cases/1", [])
                gevent.sleep(0.5)
                self.assertLess(answer.sent, SENT_MAX_BYTES)
                caller.sock.close()


class MisdirectedResponseTests(EntryTestCase):
    def test_late_response_never_reaches_another_caller(self):
        def script(data):
            if b"late" in data:
                gevent.sleep(0.3)
                return head(4) + b"LATE"
            return OK_ANSWER

        self.upstream.respond = script
        late = self.ask("GET", "/status/late", [("X-Deadline-Ms", "100")])
        self.assertEqual(late.kind, "upstream_timeout")
        for _ in range(20):
            self.assertEqual(self.ask("GET", "/status/1").body, OK_BODY)
            gevent.sleep(0.02)

    def test_connection_with_data_after_the_response_is_not_reused(self):
        self.upstream.respond = lambda data: OK_ANSWER + head(5) + b"EXTRA"
        for _ in range(3):
            self.assertEqual(self.ask("GET", "/status/1").body, OK_BODY)
        self.assertEqual(len(self.upstream.connections), 3)

    def test_data_sent_on_an_idle_connection_closes_it(self):
        self.ask("GET", "/status/1")
        self.upstream.connections[0].sendall(head(5) + b"STRAY")
        gevent.sleep(0.02)
        self.assertEqual(self.ask("GET", "/status/1").body, OK_BODY)
        self.assertEqual(len(self.upstream.connections), 2)

    def test_concurrent_callers_get_their_own_responses(self):
        def script(data):
            name = data.split(b" ")[1].rpartition(b"/")[2]
            gevent.sleep(0.002 * (hash(name) % 5))
            return head(len(name)) + name

        self.upstream.respond = script
        names = [f"n{number}" for number in range(15)]
        jobs = [gevent.spawn(self.ask, "GET", f"/status/{n}") for n in names]
        gevent.joinall(jobs, timeout=5)
        self.assertEqual([job.value.body.decode() for job in jobs], names)


class ConnectionReuseTests(EntryTestCase):
    def test_connection_is_closed_unless_the_grant_allows_reuse(self):
        self.arbiter.may_keep = False
        self.ask("GET", "/status/1")
        self.wait_until(lambda: self.upstream.closed == 1)
        self.assertFalse(self.arbiter.of_type(PermitRelease)[0].kept)

    def test_connection_of_a_request_that_timed_out_is_closed(self):
        self.upstream.response_delay_s = 0.3
        self.ask("GET", "/status/1", [("X-Deadline-Ms", "100")])
        self.wait_until(lambda: self.upstream.closed == 1)
        self.assertEqual(self.arbiter.of_type(PermitRelease)[0].outcome, "timeout")


class FramingTests(EntryTestCase):
    def test_responses_without_a_body_keep_the_connection(self):
        caller = self.caller()
        for method, answer, status in (
            ("HEAD", head(12345), 200),
            ("HEAD", CHUNKED, 200),
            ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204),
            ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304),
            ("GET", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + OK_ANSWER, 200),
            ("GET", CHUNKED + b"3\r\nabc\r\n0\r\n\r\n", 200),
        ):
            with self.subTest(answer=answer[:40]):
                self.upstream.respond = lambda data, answer=answer: answer
                self.assertEqual(caller.ask(method, "/cases/1").status, status)

    def test_hop_by_hop_headers_are_removed_in_both_directions(self):
        self.upstream.respond = lambda data: (
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: x-gone\r\n"
            b"X-Gone: 1\r\nKeep-Alive: 1\r\nX-Stays: 1\r\n\r\ndone"
        )
        sent = [
            # Without close, the entry states its own idle timeout in Keep-Alive.
            ("Connection", "close, X-Mine"),
            ("X-Mine", "1"),
            ("TE", "x"),
            ("X-Epoch", "9"),
        ]
        answer = self.ask("GET", "/status/1", sent)
        self.assertEqual(answer.headers.get("x-stays"), "1")
        self.assertNotIn("x-gone", answer.headers)
        self.assertNotIn("keep-alive", answer.headers)
        seen = self.upstream.requests[0].lower()
        for name in (b"x-mine", b"\nte:", b"x-epoch: 9"):
            self.assertNotIn(name, seen)

    def test_chunked_upload_is_forwarded_completely(self):
        self.upstream.respond = lambda data: OK_ANSWER
        lines = (
            "PUT /files/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-of-w1\r\n"
        )
        data = (
            lines.encode() + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        )
        received = self.caller().raw(data + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertIn(b"200 OK", received)
        self.assertTrue(self.upstream.requests[0].endswith(b"\r\n\r\nabcde"))

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([
                    "Authorization",
                    "AUTHORIZATION",
                    "Connection",
                    "X-A",
                    "Te",
                    "X-Workspace",
                ]),
                st.text("xa-, ", max_size=8),
            )
        )
    )
    def test_reserved_and_hop_by_hop_headers_are_not_forwarded(self, lines):
        connection_options = connection_tokens({
            "connection": [v for n, v in lines if n[0] == "C"]
        })
        for line in end_to_end(
            [HeaderLine(*line) for line in lines], connection_options
        ):
            self.assertTrue(line.startswith("X-A: "))
            self.assertNotIn("x-a", connection_options)


if __name__ == "__main__":
    unittest.main()
