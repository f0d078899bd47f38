import socket
import struct
import time
import unittest
from typing import Any, ClassVar

import gevent

from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.messages import PartitionState, RangeRow, UpstreamState
from bergamotdrift.platform.wire_dialect import parse_load
from bergamotdrift.tests.direct_entry import (
    BUSY,
    OK,
    SETTINGS,
    WRONG,
    DirectEntryTestCase,
)
from bergamotdrift.tests.endless_server import (
    ENDLESS_ANSWERS,
    SENT_MAX_BYTES,
    EndlessAnswer,
)
from bergamotdrift.tests.entry_fakes import (
    KEY,
    OK_BODY,
    Caller,
    entry_settings,
    read_message,
)


class UpstreamRequestTests(DirectEntryTestCase):
    """Guards against wrong or missing headers in requests to upstreams."""

    def test_request_states_upstream_workspace_and_remaining_time(self):
        self.assertEqual(self.ask("/look/1?q=%20").body, OK_BODY)
        (data,) = self.requests()
        head = data.decode().split("\r\n")
        self.assertEqual(head[0], "GET /look/1?q=%20 HTTP/1.1")
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        self.assertIn(fields["Expect-Instance"], ("i0", "i1"))
        self.assertEqual(fields["Tenant-Id"], "w1")
        self.assertEqual(fields["Attempt-Id"], "a1")
        self.assertTrue(0 < int(fields["Deadline-Ms"]) <= 900)
        self.assertNotIn(KEY, data.decode())

    def test_workspace_header_of_a_caller_is_not_forwarded(self):
        self.ask("/look/1", headers=[("Tenant-Id", "other")])
        self.assertNotIn(b"other", self.requests()[0])

    def test_unknown_key_and_unknown_route(self):
        self.assertEqual(self.ask("/look/1", key="no").status, 401)
        self.assertEqual(self.ask("/none/1").status, 404)
        self.assertEqual(self.ask("/open/1", key=None).status, 200)

    def test_longest_prefix_selects_the_route(self):
        self.ask("/look/deep/1", headers=[("Shard-Key", "7")])
        self.assertIn(b"Expect-Instance: k0", self.requests()[0])

    def test_request_without_a_valid_routing_key_is_malformed(self):
        for value in ("", "x", "65536", "-1"):
            answer = self.ask("/keys/1", headers=[("Shard-Key", value)])
            self.assertEqual(answer.status, 400)
        self.assertEqual(self.requests(), [])


class TargetTests(DirectEntryTestCase):
    """Guards against a changed target, at the upstream or in the choice of routes."""

    def test_url_within_a_target_is_kept(self):
        for target in (
            "/look/x?source=http://desk.example/order/1&page=2",
            "/look/http://desk.example/order/1",
            "/look/deep/https://desk.example?b=http://c",
        ):
            with self.subTest(target=target):
                sent = len(self.requests())
                named = [("Shard-Key", "1")]
                self.assertEqual(self.ask(target, headers=named).status, 200)
                self.assertEqual(len(self.requests()), sent + 1)
                found = [bytes(data).split(b" ")[1] for data in self.requests()]
                self.assertIn(target.encode(), found)


class RetryTests(DirectEntryTestCase):
    """Guards against requests that run twice, and against false refusals."""

    def test_unsafe_request_is_retried_only_if_it_was_not_run(self):
        self.set_response_script(lambda data: BUSY)
        answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual((answer.status, len(self.requests())), (503, 2))
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_unsafe_request_without_an_answer_is_not_retried(self):
        self.set_response_script(lambda data: None)
        answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual((answer.status, len(self.requests())), (502, 1))

    def test_safe_request_is_sent_to_no_more_upstreams_than_its_route_allows(self):
        self.set_response_script(lambda data: None)
        self.assertEqual(self.ask("/look/1").status, 502)
        self.assertEqual(len(self.requests()), 2)

    def test_refusal_after_an_unknown_outcome_is_answered_502(self):
        answers = [None, BUSY]
        self.set_response_script(lambda data: answers.pop(0))
        self.assertEqual(self.ask("/look/1").status, 502)

    def test_retries_of_misdirected_requests_count_against_the_budget(self):
        """Each retry reaches an upstream, which counts it as a repeated request."""
        self.set_response_script(lambda data: WRONG)
        started_s = time.monotonic()
        sent = 40
        for _ in range(sent):
            self.ask("/order/1", "POST", body=b"x")
        took_s = time.monotonic() - started_s
        cfg = entry_settings("")
        allowed = 1 + cfg.retry_ratio * sent + cfg.retry_fleet_per_s * took_s
        self.assertLessEqual(len(self.requests()) - sent, allowed)

    def test_misdirected_request_goes_to_another_upstream(self):
        answers = [WRONG, OK]
        self.set_response_script(lambda data: answers.pop(0))
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 200)

    def delay_answers(self, response_delay_s):
        for upstream in self.upstreams:
            upstream.response_delay_s = response_delay_s

    def test_slow_attempt_is_retried_on_another_upstream(self):
        self.delay_answers(0.6)
        self.ask("/look/1")
        self.assertEqual(len(self.requests()), 2)

    def test_slow_attempt_continues_while_the_entry_stops(self):
        """Otherwise a planned stop aborts a request that its upstream is processing."""
        self.delay_answers(0.6)
        self.entry._admission.stopping = True
        self.assertEqual(self.ask("/look/1").status, 200)
        self.assertEqual(len(self.requests()), 1)

    def test_request_is_answered_at_its_deadline(self):
        for upstream in self.upstreams:
            upstream.response_delay_s = 3.0
        with gevent.Timeout(1.5):
            answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual(answer.status, 504)


class ExhaustedRetryBudgetTests(DirectEntryTestCase):
    """Guards requests that may be retried while the retry budget is empty."""

    entry_changes: ClassVar[dict[str, Any]] = {"retry_fleet_per_s": 0.0}

    def exhaust_the_retry_budget(self):
        self.set_response_script(lambda data: BUSY)
        repeats = 1
        while repeats:
            before = len(self.requests())
            self.ask("/order/1", "POST", body=b"x")
            repeats = len(self.requests()) - before - 1

    def test_slow_attempt_continues_without_a_retry_in_the_budget(self):
        """Otherwise the request fails while its upstream is still processing it."""
        self.exhaust_the_retry_budget()
        before = len(self.requests())
        self.set_response_script(lambda data: OK)
        for upstream in self.upstreams:
            upstream.response_delay_s = 0.6
        self.assertEqual(self.ask("/look/1").status, 200)
        self.assertEqual(len(self.requests()) - before, 1)


class UnusualAnswerTests(DirectEntryTestCase):
    """Guards callers against data that is not the answer to their request."""

    def test_unframed_answer_is_complete_after_an_orderly_close(self):
        self.set_response_script(
            lambda data: b"HTTP/1.1 200 OK\r\nX-Close: 1\r\n\r\nall of it"
        )
        answer = self.ask("/look/1")
        self.assertEqual((answer.status, answer.body), (200, b"all of it"))

    def test_unframed_answer_is_incomplete_after_a_reset(self):
        def serve(sock, _address):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            gevent.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()

        for upstream in self.upstreams:
            upstream.server.set_handle(serve)
        answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual(answer.status, 502)

    # Guards against memory that grows until the deadline of a request.
    def test_endless_unframed_answer_is_abandoned(self):
        answer = EndlessAnswer(*ENDLESS_ANSWERS["unframed body"])
        for upstream in self.upstreams:
            upstream.server.set_handle(answer.serve)
        self.assertEqual(self.ask("/order/1", "POST", body=b"x").status, 502)
        self.assertLess(answer.sent, SENT_MAX_BYTES)

    def test_answer_to_an_earlier_request_is_not_forwarded(self):
        late = OK.replace(b"Backend-Load", b"Attempt-Id: old\r\nBackend-Load")
        self.set_response_script(lambda data: late)
        answer = self.ask("/order/1", "POST", body=b"x")
        self.assertEqual((answer.status, answer.body == OK_BODY), (502, False))

    def test_extra_answer_is_not_used_for_the_next_request(self):
        self.set_response_script(lambda data: OK + OK.replace(b"done", b"evil"))
        for _ in range(4):
            self.assertEqual(self.ask("/look/1").body, OK_BODY)

    # Guards against "not run" for a request that runs: the late second copy of a
    # rejection has the id of the request that is sent once more.
    def test_late_copy_of_a_rejection_does_not_answer_the_next_attempt(self):
        rejection = BUSY.replace(b"Not-Executed", b"Attempt-Id: a1\r\nNot-Executed")
        sends = []

        def serve(sock, _address):
            while read_message(sock):
                sends.append(sock)
                if len(sends) == 1:
                    sock.sendall(rejection)
                    continue
                gevent.sleep(0.1)
                sends[0].sendall(rejection)
                gevent.sleep(0.1)
                sock.sendall(OK.replace(b"Backend-Load", b"Attempt-Id: a1\r\nX-Load"))

        self.upstreams[0].server.set_handle(serve)
        answer = self.ask("/keys/1", "POST", [("Shard-Key", "7")], b"x")
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))
        self.assertEqual(len(sends), 2)

    def test_valid_load_is_parsed_and_malformed_load_is_ignored(self):
        self.assertEqual(parse_load("3,1,2,250"), AnswerLoad(3, 1, 2, 2.5))
        self.assertEqual(parse_load("3,1,2"), AnswerLoad(3, 1, 2, 1.0))
        for value in ("", "x", "1,2", "1,2,-3", "nan,0,1", "inf,0,1", "1,1,0"):
            self.assertIsNone(parse_load(value), value)
        for value in ("1,1,1,1e400", "1,1,1,0", "1,1,1,nan", "1,1,1e9"):
            self.assertIsNone(parse_load(value), value)

    # Fails if a header that can't be read fails the request and keeps its permit.
    def test_unreadable_load_does_not_fail_the_request(self):
        self.set_response_script(lambda data: OK.replace(b"1,0,2,100", b"inf,0,1"))
        for _ in range(3):
            self.assertEqual(self.ask("/look/1").body, OK_BODY)
        assert self.entry._direct is not None
        loads = self.entry._direct._selector.loads.values()
        self.assertEqual([load.in_flight for load in loads], [0] * len(loads))


class LargeAnswerTests(DirectEntryTestCase):
    """Guards small requests, and the upstreams, against large answers."""

    SIZE = 24 * 1024 * 1024

    def setUp(self):
        super().setUp()
        self.set_response_script(self.respond)

    def respond(self, data):
        if b"/look/large" not in data:
            return OK
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {self.SIZE}\r\n\r\n"
        part = b"x" * 65536
        return [head.encode(), *[part] * (self.SIZE // len(part))]

    def start_large(self):
        caller = Caller(self.entry.server.address)
        self.addCleanup(caller.sock.close)
        caller.send("GET", "/look/large", [("Deadline-Ms", "5000")])
        return caller

    # Guards against small requests that wait behind callers that read slowly.
    def test_small_requests_are_answered_beside_slow_readers_of_large_answers(self):
        callers = [self.start_large() for _ in range(2)]
        gevent.sleep(0.3)
        for _ in range(20):
            started = time.monotonic()
            self.assertEqual(self.ask("/look/small").body, OK_BODY)
            self.assertLess(time.monotonic() - started, 0.5)
        for caller in callers:
            caller.sock.close()

    # Guards against upstreams that work on for a caller that has left.
    def test_upstream_is_disconnected_when_the_caller_leaves_midway(self):
        caller = self.start_large()
        caller.sock.recv(65536)
        caller.sock.close()
        with gevent.Timeout(3):
            while not any(upstream.closed for upstream in self.upstreams):
                gevent.sleep(0.02)

    # Guards against answers that are broken off for a retry, although a part of them
    # was passed on already.
    def test_answer_that_is_passed_on_is_not_abandoned_for_a_retry(self):
        part = b"x" * 100_000

        def serve(sock, _address):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + part)
            # Longer than an attempt may take before it is repeated elsewhere.
            gevent.sleep(0.6)
            sock.sendall(part)

        for upstream in self.upstreams:
            upstream.server.set_handle(serve)
        answer = self.ask("/look/large")
        self.assertEqual((answer.complete, len(answer.body)), (True, 200_000))

    # Guards against an answer that is put together from two upstreams.
    def test_answer_that_breaks_off_midway_is_not_continued_by_another(self):
        def respond(data):
            head = f"HTTP/1.1 200 OK\r\nX-Close: 1\r\nContent-Length: {self.SIZE}"
            return [head.encode() + b"\r\n\r\n" + b"x" * 200_000]

        self.set_response_script(respond)
        answer = self.start_large().read()
        self.assertFalse(answer.complete)
        self.assertEqual(len(self.requests()), 1)
        self.assertLessEqual(len(answer.body), 200_000)


class StaleSettingsTests(DirectEntryTestCase):
    """Guards against acting on a state that a change replaced over 2 s ago."""

    entry_changes: ClassVar[dict[str, Any]] = {"settings_max_age_ms": 1800}

    def setUp(self):
        super().setUp()
        # The leader still leases tokens, but its updates do not arrive.
        applied = self.control.update
        self.control.update = applied._replace(to_index=applied.to_index + 9)

    def send_late(self, steps, row):
        """Send a part of the updates that are missing."""
        update = self.tables(ranges=[row])._replace(to_index=1 + steps)
        for conn in self.control.server.connections:
            conn.send(update)

    # Guards against a change that an entry without confirmation keeps out of force.
    def test_request_is_not_served_once_a_change_may_be_in_force(self):
        gevent.sleep(2.0)
        for target in ("/look/1", "/order/1", "/open/1"):
            self.assertEqual(self.ask(target).status, 503)
        keyed = self.ask("/keys/1", headers=[("Shard-Key", "7")])
        self.assertEqual(keyed.status, 503)
        self.assertEqual(self.requests(), [])

    # Guards against requests to an upstream whose leaving was confirmed over 2 s ago.
    def test_waiting_request_is_not_sent_once_the_settings_are_stale(self):
        owned = RangeRow("keys", 0, 999, "k0", "1", 4, PartitionState.OWNED)
        gevent.sleep(1.7)
        self.send_late(1, owned._replace(state=PartitionState.RELEASING))
        gevent.sleep(0.05)
        request = gevent.spawn(self.ask, "/keys/1", headers=[("Shard-Key", "7")])
        gevent.sleep(0.2)
        self.send_late(2, owned._replace(epoch=5))
        self.assertEqual(request.get(timeout=1).status, 503)
        self.assertEqual(self.requests(), [])


class AnonymousSiteTests(DirectEntryTestCase):
    """Guards against 401 where no key can exist, in each order of the changes."""

    OPEN = SETTINGS._replace(
        routes=tuple(r._replace(open=True) for r in SETTINGS.routes), workspaces=()
    )
    OWNED = RangeRow("keys", 0, 999, "k0", "1", 4, PartitionState.OWNED)

    def ask_key(self, key):
        return self.ask("/keys/1", headers=[("Shard-Key", "7")], key=key)

    def change_while_waiting(self, before, after, key):
        """Return the answer to a request that waits while the settings change."""
        releasing = self.OWNED._replace(state=PartitionState.RELEASING)
        self.push(settings=before, ranges=[releasing])
        gevent.sleep(0.05)
        request = gevent.spawn(self.ask_key, key)
        gevent.sleep(0.1)
        self.push(settings=after, ranges=[self.OWNED._replace(epoch=5)], revision=2)
        return request.get(timeout=2)

    def test_requests_run_without_a_key_and_without_a_workspace(self):
        self.push(settings=self.OPEN, revision=2)
        gevent.sleep(0.05)
        for target in ("/look/1", "/order/1"):
            self.assertEqual(self.ask(target, key="").status, 200)
        for data in self.requests():
            self.assertNotIn(b"tenant-id", data.lower())

    def test_key_of_a_caller_is_not_forwarded(self):
        self.push(settings=self.OPEN, revision=2)
        gevent.sleep(0.05)
        self.assertEqual(self.ask("/look/1", key=KEY).status, 200)
        self.assertNotIn(KEY.encode(), self.requests()[0])

    def test_stale_settings_refuse_requests(self):
        # Guards against an owner or a route that a change replaced.
        self.push(settings=self.OPEN, revision=2)
        gevent.sleep(0.05)
        self.control.silent = True
        gevent.sleep(2.0)
        answer = self.ask("/look/1", key="")
        self.assertEqual((answer.status, answer.kind), (503, "settings_stale"))

    def test_waiting_request_is_refused_once_there_is_a_workspace(self):
        answer = self.change_while_waiting(self.OPEN, SETTINGS, key="")
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.requests(), [])

    def test_waiting_request_may_come_back_once_there_is_no_workspace(self):
        answer = self.change_while_waiting(SETTINGS, self.OPEN, key=KEY)
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.requests(), [])
        self.assertEqual(self.ask_key("").status, 200)


class KeyOwnershipTests(DirectEntryTestCase):
    """Guards requests for keys whose owner changes, leaves or refuses them."""

    def ask_key(self, key=7):
        return self.ask("/keys/1", headers=[("Shard-Key", str(key))])

    def test_request_waits_for_the_next_owner(self):
        owned = RangeRow("keys", 0, 999, "k0", "1", 4, PartitionState.RELEASING)
        self.push(ranges=[owned])
        request = gevent.spawn(self.ask_key)
        gevent.sleep(0.15)
        self.assertEqual(self.requests(), [])
        self.push(ranges=[owned._replace(state=PartitionState.OWNED, epoch=5)])
        self.assertEqual(request.get(timeout=1).status, 200)

    def test_key_without_an_owner_is_refused_early_enough_for_a_retry(self):
        started = gevent.get_hub().loop.now()
        answer = self.ask_key(5000)
        self.assertEqual(answer.status, 503)
        self.assertLess(gevent.get_hub().loop.now() - started, 0.6)

    def test_key_is_not_sent_to_a_later_incarnation_of_its_owner(self):
        later = [
            row._replace(incarnation="2") if row.service == "keys" else row
            for row in self.tables().upstreams
        ]
        self.push(upstreams=later)
        gevent.sleep(0.05)
        self.assertEqual(self.ask_key().status, 503)
        self.assertEqual(self.requests(), [])

    def test_leaving_and_evacuated_upstreams_get_nothing(self):
        leaving = [
            row._replace(state=UpstreamState.LEAVING) for row in self.tables().upstreams
        ]
        for changes in ({"upstreams": leaving}, {"evacuated": ["a"]}):
            self.push(**changes)
            gevent.sleep(0.05)
            self.assertEqual(self.ask("/look/1").status, 503)
            self.assertEqual(self.ask_key().status, 503)
        self.assertEqual(self.requests(), [])

    def test_request_counts_by_key_are_reported(self):
        self.ask_key(7)
        gevent.sleep(0.4)
        loads = [item for ping in self.control.received for item in ping.loads]
        self.assertIn(("keys", 7, 1), [tuple(item) for item in loads])


if __name__ == "__main__":
    unittest.main()
