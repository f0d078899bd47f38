import json
import time
import unittest
from unittest import mock

import gevent

from bergamotdrift import constants
from bergamotdrift.arbiter_messages import (
    PermitCancel,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    RecordBegin,
    RecordEnd,
    RecordMirror,
    RecordReply,
    RecordState,
    SavedAnswer,
    TokenGrant,
    TokenRequest,
)
from bergamotdrift.exceptions import ERROR_ANSWERS, ErrorKind
from bergamotdrift.messages import (
    NodeRow,
    PartitionState,
    Role,
)
from bergamotdrift.tests.entry_fakes import (
    OK_ANSWER,
    OK_BODY,
    OTHER_KEY,
    EntryTestCase,
    FakeArbiter,
    FakeUpstream,
    site_settings,
)

SHED = b"HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"
FENCED = b"HTTP/1.1 409 No\r\nX-Not-Run: fenced\r\nContent-Length: 0\r\n\r\n"
SHORT = [("X-Deadline-Ms", "300")]


def replies(cls, reply):
    return lambda msg: reply if isinstance(msg, cls) else None


def grant_once(granted, refusal):
    """Grant the first permit request as usual and refuse all further ones."""

    def answer(msg):
        if not isinstance(msg, PermitRequest):
            return None
        granted.append(msg)
        return refusal if len(granted) > 1 else None

    return answer


class NotRunTests(EntryTestCase):
    """Checks each "not run" refusal against the requests that the upstream read."""

    def assert_not_run(self, answer, kind, requests=0):
        expected = ERROR_ANSWERS[ErrorKind(kind)]
        self.assertEqual((answer.kind, answer.status), (kind, expected.status))
        body = json.loads(answer.body)
        self.assertEqual((body["error"], body["not_run"]), (kind, True))
        self.assertTrue(body["request_id"])
        self.assertEqual(len(self.upstream.requests), requests)

    def test_refusals_without_a_call_to_another_process(self):
        for kind, args, kwargs in (
            ("malformed_request", ("GET", "/cases/%2e%2e"), {}),
            ("unauthenticated", ("GET", "/cases/1"), {"key": ""}),
            ("unauthenticated", ("GET", "/cases/1"), {"key": "withdrawn"}),
            ("forbidden", ("GET", "/cases/1"), {"key": OTHER_KEY}),
            ("no_route", ("GET", "/else"), {}),
            ("method_not_allowed", ("PUT", "/status/1"), {}),
        ):
            with self.subTest(kind=kind):
                self.assert_not_run(self.ask(*args, **kwargs), kind)
        self.assertEqual(self.arbiter.of_type(PermitRequest), [])

    def test_too_large_bodies(self):
        caller = self.caller()
        caller.send("PUT", "/files/a", [("Content-Length", str(1 << 30))])
        self.assert_not_run(caller.read(), "body_too_large")

    def test_refused_request_gets_no_100_continue(self):
        # A caller that expects 100 Continue must not be asked for an unused body.
        caller = self.caller()
        lines = [("Expect", "100-continue"), ("Content-Length", "5")]
        caller.send("POST", "/cases/1", lines, key="")
        answer = caller.read()
        self.assert_not_run(answer, "unauthenticated")
        self.assertEqual(answer.headers["connection"], "close")

    def test_incomplete_body_that_was_not_forwarded(self):
        caller = self.caller()
        caller.send("POST", "/cases/1", [("Content-Length", "10")])
        self.assert_not_run(caller.read(), "request_timeout")

    def test_refusals_of_the_arbiter(self):
        for kind in ("queue_full", "deadline_unreachable", "no_upstream"):
            with self.subTest(kind=kind):
                refusal = PermitRefusal(ErrorKind(kind), "", 7.0)
                self.arbiter.reply_for = replies(PermitRequest, refusal)
                answer = self.ask("POST", "/cases/1", SHORT)
                self.assert_not_run(answer, kind)
                self.assertEqual(answer.headers["retry-after"], "7")

    def test_exceeded_rate_states_when_to_retry(self):
        self.arbiter.reply_for = replies(TokenRequest, TokenGrant(0, 200, 2500))
        answer = self.ask("POST", "/cases/1")
        self.assert_not_run(answer, "rate_exceeded")
        self.assertEqual(answer.headers["retry-after"], "3")

    def test_silent_arbiter_is_cancelled_and_reported(self):
        self.arbiter.reply_for = replies(PermitRequest, "silence")
        self.assert_not_run(self.ask("POST", "/cases/1", SHORT), "arbiter_unreachable")
        self.wait_until(lambda: self.arbiter.of_type(PermitCancel))

    def test_vacant_partition_waits_for_the_feed_within_the_deadline(self):
        rows = self.control.update.partitions
        vacant = [row._replace(state=PartitionState.VACANT) for row in rows]
        self.control.push(partitions=vacant, full=True)
        gevent.sleep(0.05)
        self.assert_not_run(self.ask("POST", "/cases/1", SHORT), "no_upstream")
        job = gevent.spawn(self.ask, "POST", "/cases/1")
        gevent.sleep(0.1)
        self.control.push(partitions=rows)
        self.assertEqual(job.get(timeout=2).status, 200)

    def test_shed_and_fenced_requests_were_not_run(self):
        for answer in (SHED, FENCED):
            self.upstream.requests.clear()
            self.upstream.respond = lambda data, answer=answer: answer
            refused = self.ask("POST", "/cases/1", SHORT)
            self.assert_not_run(refused, "upstream_shed", len(self.upstream.requests))

    def test_refused_connection_was_not_run(self):
        self.upstream.server.stop()
        self.assert_not_run(self.ask("POST", "/cases/1", SHORT), "no_upstream")

    # Guards against serving by a revision that was replaced over 2 s ago, and against a
    # final 404 or 401 for a route or key that a newer revision has added.
    def test_stale_settings_allow_only_open_pool_routes_and_deny_nothing(self):
        self.assert_not_run(self.ask("GET", "/else"), "no_route")
        self.control.silent = True
        age_ms = self.entry.control.settings_age_ms
        self.wait_until(lambda: age_ms() > constants.SETTINGS_MAX_AGE_MS)
        self.assertLess(age_ms(), 2000)
        for path in ("/status/1", "/files/1", "/else"):
            self.assert_not_run(self.ask("GET", path), "settings_stale")
        answer = self.ask("GET", "/cases/1", key="withdrawn")
        self.assert_not_run(answer, "settings_stale")
        self.assertFalse(self.entry.is_ready())
        self.assertEqual(self.ask("GET", "/answers/1", key="").status, 200)


class UnknownOutcomeTests(EntryTestCase):
    def assert_unknown(self, answer, kind):
        self.assertEqual(answer.kind, kind)
        self.assertFalse(json.loads(answer.body)["not_run"])
        self.assertEqual(len(self.upstream.requests), 1)

    def test_refusal_after_an_attempt_of_unknown_outcome(self):
        for kind in ("no_upstream", "queue_full", "deadline_unreachable"):
            with self.subTest(kind=kind):
                self.upstream.requests.clear()
                self.upstream.respond = lambda data: None
                refusal = PermitRefusal(ErrorKind(kind))
                granted: list[PermitRequest] = []
                self.arbiter.reply_for = grant_once(granted, refusal)
                answer = self.ask("GET", "/status/1", SHORT)
                self.assert_unknown(answer, "outcome_unknown")

    def test_lost_connection_and_timeout(self):
        self.upstream.respond = lambda data: None
        self.assert_unknown(self.ask("POST", "/cases/1"), "outcome_unknown")
        self.upstream.requests.clear()
        self.upstream.response_delay_s = 0.5
        self.assert_unknown(self.ask("POST", "/cases/1", SHORT), "upstream_timeout")

    def test_interrupted_upload(self):
        caller = self.caller()
        caller.send("PUT", "/files/a", [("Content-Length", "200000")])
        caller.sock.sendall(b"a" * 100_000)
        self.assertEqual(caller.read().kind, "outcome_unknown")

    def test_internal_error_is_reported_and_releases_the_permit(self):
        forward = self.entry.app._pipeline._stages.forward
        with mock.patch.object(forward._heads, "build", side_effect=KeyError("fault")):
            answer = self.ask("POST", "/cases/1")
        self.assertEqual((answer.status, answer.kind), (500, "internal"))
        self.assertFalse(json.loads(answer.body)["not_run"])
        self.wait_until(lambda: self.arbiter.of_type(PermitRelease))
        self.assertEqual(self.entry.app.running, 0)

    def test_saved_states_of_an_idempotency_key(self):
        headers = [("Idempotency-Key", "k1"), *SHORT]
        for state, kind in (
            (RecordState.RUNNING, "conflict_in_progress"),
            (RecordState.UNKNOWN, "outcome_unknown"),
            (RecordState.MISMATCH, "malformed_request"),
        ):
            self.arbiter.reply_for = replies(RecordBegin, RecordReply(state))
            self.assertEqual(self.ask("POST", "/cases/1", headers).kind, kind)
        self.assertEqual(self.upstream.requests, [])


class RetryTests(EntryTestCase):
    def test_shed_request_is_retried_with_its_body(self):
        answers = [SHED, FENCED, OK_ANSWER]
        self.upstream.respond = lambda data: answers.pop(0)
        answer = self.ask("POST", "/cases/1", body=b"payload")
        self.assertEqual((answer.status, answer.body), (200, OK_BODY))
        for request in self.upstream.requests:
            self.assertTrue(request.endswith(b"payload"))
        numbers = [msg.attempt for msg in self.arbiter.of_type(PermitRequest)]
        self.assertEqual(numbers, [1, 2, 3])

    def test_fenced_requests_do_not_use_up_the_budget(self):
        # The owner of a new epoch learns its grant up to 500 ms after the entries.
        granted_at = time.monotonic() + 0.45
        self.upstream.respond = lambda data: (
            OK_ANSWER if time.monotonic() > granted_at else FENCED
        )
        jobs = [gevent.spawn(self.ask, "POST", "/cases/1")]
        self.wait_until(lambda: self.upstream.requests)
        gevent.sleep(0.02)
        jobs += [gevent.spawn(self.ask, "POST", "/cases/1") for _ in range(20)]
        gevent.joinall(jobs, timeout=5)
        self.assertEqual([job.value.status for job in jobs], [200] * 21)

    def test_retry_in_a_pool_excludes_the_failed_upstream(self):
        answers = [SHED, OK_ANSWER]
        self.upstream.respond = lambda data: answers.pop(0)
        self.assertEqual(self.ask("PUT", "/files/1", body=b"x").status, 200)
        excluded = [msg.excluded for msg in self.arbiter.of_type(PermitRequest)]
        self.assertEqual(excluded, [[], ["u1"]])

    def test_refused_connection_is_retried_at_another_upstream(self):
        gone = FakeUpstream()
        gone.server.stop()
        self.arbiter.addresses = [gone.address, self.upstream.address]
        self.assertEqual(self.ask("POST", "/cases/1").status, 200)

    def test_first_refused_connection_does_not_use_up_the_budget(self):
        gone = FakeUpstream()
        gone.server.stop()
        for _ in range(10):
            self.arbiter.addresses = [gone.address, self.upstream.address]
            self.assertEqual(self.ask("POST", "/cases/1").status, 200)

    def test_only_idempotent_requests_of_unknown_outcome_are_retried(self):
        for method, target, expected in (
            ("GET", "/status/1", 200),
            ("POST", "/cases/1", 502),
        ):
            answers = [None, OK_ANSWER]
            self.upstream.respond = lambda data, answers=answers: answers.pop(0)
            self.assertEqual(self.ask(method, target).status, expected)

    def test_large_upload_is_not_retried(self):
        self.upstream.respond = lambda data: SHED
        body = b"x" * (constants.RETRY_BODY_BYTES + 1)
        self.assertEqual(self.ask("PUT", "/files/1", body=body).kind, "upstream_shed")
        self.assertEqual(len(self.upstream.requests), 1)

    def test_retries_stay_within_the_budget(self):
        self.upstream.respond = lambda data: SHED
        for _ in range(10):
            self.ask("PUT", "/files/1", body=b"x")
        self.assertEqual(len(self.upstream.requests), 10 + 3)


class IdempotencyTests(EntryTestCase):
    HEADERS = [("Idempotency-Key", "k1")]

    def test_first_request_runs_and_its_response_is_saved(self):
        self.assertEqual(self.ask("POST", "/cases/1", self.HEADERS).status, 200)
        self.wait_until(lambda: self.arbiter.of_type(RecordEnd))
        end = self.arbiter.of_type(RecordEnd)[0]
        self.assertEqual((end.forget, end.answer.body), (False, OK_BODY))
        self.assertNotIn("k1", end.key_digest)

    def test_repeated_request_gets_the_saved_response(self):
        saved = SavedAnswer(201, [], b"saved")
        self.arbiter.reply_for = replies(
            RecordBegin, RecordReply(RecordState.DONE, saved)
        )
        answer = self.ask("POST", "/cases/1", self.HEADERS)
        self.assertEqual((answer.status, answer.body), (201, b"saved"))
        self.assertEqual(self.upstream.requests, [])

    def test_record_end_distinguishes_not_run_from_unknown(self):
        for answer, forget in ((SHED, True), (None, False)):
            self.arbiter.received.clear()
            self.upstream.respond = lambda data, answer=answer: answer
            self.ask("POST", "/cases/1", [*self.HEADERS, *SHORT])
            self.wait_until(lambda: self.arbiter.of_type(RecordEnd))
            end = self.arbiter.of_type(RecordEnd)[0]
            self.assertEqual((end.forget, end.answer), (forget, None))

    def test_record_is_mirrored_when_the_arbiter_shares_the_vm(self):
        other = FakeArbiter("arb2")
        self.addCleanup(other.server.stop)
        rows = [
            NodeRow(arb.node, Role.ARBITER, "i", vm, "a", arb.server.address)
            for arb, vm in ((self.arbiter, "vm1"), (other, "vm3"))
        ]
        self.control.push(nodes=rows, full=True)
        gevent.sleep(0.2)
        self.assertEqual(self.ask("POST", "/cases/1", self.HEADERS).status, 200)
        self.wait_until(lambda: len(other.of_type(RecordMirror)) == 2)
        states = [msg.row.state for msg in other.of_type(RecordMirror)]
        self.assertEqual(states, [RecordState.RUNNING, RecordState.DONE])
        other.reply_for = replies(RecordMirror, "silence")
        refused = self.ask("POST", "/cases/1", self.HEADERS)
        self.assertEqual(refused.kind, "arbiter_unreachable")
        self.assertEqual(len(self.upstream.requests), 1)


class OpenRouteTests(EntryTestCase):
    settings = site_settings()

    def test_open_route_needs_no_key_and_no_token(self):
        self.assertEqual(self.ask("GET", "/answers/1", key="").status, 200)
        self.assertEqual(self.arbiter.of_type(TokenRequest), [])
        self.assertNotIn(b"x-workspace", self.upstream.requests[0].lower())


if __name__ == "__main__":
    unittest.main()
