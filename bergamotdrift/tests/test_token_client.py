import time
import unittest

import gevent

from bergamotdrift.arbiter_messages import (
    TokenGrant,
    TokenRequest,
    TokenReturn,
)
from bergamotdrift.constants import TOKEN_LEASE_MS
from bergamotdrift.exceptions import ErrorKind
from bergamotdrift.messages import Failure
from bergamotdrift.tests.entry_fakes import EntryTestCase


class TokenClientTests(EntryTestCase):
    def answer_with(self, *grants):
        """Reply to token requests with the given grants, repeating the last one."""
        remaining = list(grants)

        def answer(msg):
            if not isinstance(msg, TokenRequest):
                return None
            return remaining.pop(0) if len(remaining) > 1 else remaining[0]

        self.arbiter.reply_for = answer

    def test_waiting_requests_share_one_call(self):
        jobs = [gevent.spawn(self.ask, "GET", "/status/1") for _ in range(10)]
        gevent.joinall(jobs, timeout=3)
        self.assertEqual([job.value.status for job in jobs], [200] * 10)
        wanted = [msg.wanted for msg in self.arbiter.of_type(TokenRequest)]
        self.assertLess(len(wanted), 10)

    def test_unused_tokens_return_when_their_lease_ends(self):
        self.answer_with(TokenGrant(5, 100, 0))
        self.ask("GET", "/status/1")
        self.wait_until(lambda: self.arbiter.of_type(TokenReturn), 0.3)
        self.assertEqual(self.arbiter.of_type(TokenReturn), [TokenReturn("w1", 3, 4)])

    def test_token_that_is_due_soon_is_waited_for(self):
        self.answer_with(TokenGrant(0, 100, 30), TokenGrant(1, 100, 0))
        self.assertEqual(self.ask("GET", "/status/1").status, 200)

    def test_wait_for_a_token_counts_from_when_the_arbiter_answers(self):
        started = time.monotonic()

        def answer(msg):
            if not isinstance(msg, TokenRequest):
                return None
            if time.monotonic() - started < 0.4:
                return Failure(ErrorKind.ARBITER_UNREACHABLE)
            is_due = time.monotonic() - started > 0.45
            return TokenGrant(1, 100, 0) if is_due else TokenGrant(0, 100, 20)

        self.arbiter.reply_for = answer
        self.assertEqual(self.ask("GET", "/status/1").status, 200)

    def test_wait_for_a_slow_reply_is_not_refused_by_rate(self):
        """Guards against refusals of requests whose grant arrives late in a stall."""

        def answer(msg):
            if not isinstance(msg, TokenRequest):
                return None
            if len(self.arbiter.of_type(TokenRequest)) == 1:
                # Longer than the lease and than the wait for a due token.
                gevent.sleep((TOKEN_LEASE_MS + 50) / 1000)
            return TokenGrant(msg.wanted, TOKEN_LEASE_MS, 0)

        self.arbiter.reply_for = answer
        reply = self.ask("GET", "/status/1")
        self.assertEqual((reply.status, reply.kind), (200, None))

    def test_wait_after_a_slow_reply_that_grants_too_few_counts_from_the_reply(self):
        """Guards against refusals after a stall although a token is due soon."""

        def answer(msg):
            if not isinstance(msg, TokenRequest):
                return None
            if len(self.arbiter.of_type(TokenRequest)) == 1:
                gevent.sleep((TOKEN_LEASE_MS + 50) / 1000)
                return TokenGrant(0, TOKEN_LEASE_MS, 5)
            return TokenGrant(msg.wanted, TOKEN_LEASE_MS, 0)

        self.arbiter.reply_for = answer
        self.assertEqual(self.ask("GET", "/status/1").status, 200)

    def test_requests_beyond_the_granted_tokens_are_refused(self):
        self.answer_with(TokenGrant(3, 200, 500), TokenGrant(0, 200, 500))
        jobs = [gevent.spawn(self.ask, "GET", "/status/1") for _ in range(8)]
        gevent.joinall(jobs, timeout=3)
        statuses = sorted(job.value.status for job in jobs)
        self.assertEqual(statuses, [200] * 3 + [429] * 5)
        self.assertEqual(len(self.upstream.requests), 3)


if __name__ == "__main__":
    unittest.main()
