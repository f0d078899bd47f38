import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import WorkspaceSettings
from bergamotdrift.messages import RateLot, RateNeed
from bergamotdrift.rate_allowance import RateAllowance
from bergamotdrift.rate_desk import RATE_LEASE_MS, RateBucket

LIMITS = WorkspaceSettings("w", 20.0, 20, (), ())
STEP = st.tuples(
    st.integers(0, 600),  # time that passes, in ms
    st.integers(0, 3),  # entry
    st.integers(0, 40),  # tokens wanted
    st.floats(0, 1),  # part of the held tokens that is used first
    st.booleans(),  # whether the rest is returned
)


class RateBucketTests(unittest.TestCase):
    """Guards the rate of a workspace, whatever entries hold, use, return or lose."""

    def lease(self, bucket, node, wanted, now_ms, returned=0, held=0):
        return bucket.lease(node, RateNeed("w", wanted, returned, held), now_ms).tokens

    def test_full_rate_is_had_while_tokens_are_held(self):
        # Tokens that were used must not count as held until their lease ends.
        bucket = RateBucket(LIMITS, 0.0)
        got = sum(self.lease(bucket, "e1", 5, t) for t in range(0, 10_000, 250))
        self.assertGreaterEqual(got, 0.95 * 20 * 10)

    def test_tokens_of_a_lost_entry_come_back_after_their_lease(self):
        bucket = RateBucket(LIMITS, 0.0)
        self.assertEqual(self.lease(bucket, "e1", 100, 1000.0), 20)
        self.assertLessEqual(self.lease(bucket, "e2", 100, 1900.0), 1)
        later = 1000.0 + RATE_LEASE_MS + 1500
        self.assertGreater(self.lease(bucket, "e2", 100, later), 10)

    def test_empty_bucket_states_when_to_ask_again(self):
        bucket = RateBucket(LIMITS, 0.0)
        lot = bucket.lease("e1", RateNeed("w", 5), 0.0)
        self.assertEqual((lot.tokens, lot.wait_ms), (0, 50))

    @given(st.lists(STEP, max_size=60))
    def test_no_window_sees_more_than_rate_and_burst(self, steps):
        bucket = RateBucket(LIMITS, 0.0)
        now, held, ends, used = 0.0, [0] * 4, [0.0] * 4, []
        for wait, node, wanted, part, returns in steps:
            now += wait
            if now >= ends[node]:
                held[node] = 0
            spent = int(held[node] * part)
            used += [now] * spent
            held[node] -= spent
            back = held[node] if returns else 0
            held[node] -= back
            got = self.lease(bucket, str(node), wanted, now, back, held[node])
            held[node] += got
            ends[node] = now + RATE_LEASE_MS
        for end in used:
            inside = sum(end - 5000 <= t <= end for t in used)
            # An entry may hold one token although the burst is out.
            self.assertLessEqual(inside, 20 * 5 + 20 + 1 + 5)


class RateAllowanceTests(unittest.TestCase):
    """Guards against requests over the limit that wait, and against hoarded tokens."""

    def setUp(self):
        self.clock = ManualClock(1000.0)
        self.allowance = RateAllowance(self.clock, lambda name: 20.0)

    def test_request_is_refused_at_once_when_the_leader_has_no_token(self):
        def ask():
            self.allowance.take_rates([RateLot("w", 0, 1500, 250)], 1000.0)

        waited = []
        self.allowance.ask_now = lambda: waited.append(1)

        job = gevent.spawn(self.allowance.acquire, "w", 9000.0)
        gevent.sleep(0)
        ask()
        refusal = job.get(timeout=1).failure()
        self.assertEqual(refusal.kind, "rate_exceeded")
        self.assertEqual(refusal.retry_after_s, 0.25)

    def test_unlimited_workspace_needs_no_token(self):
        free = RateAllowance(self.clock, lambda name: 0.0)
        self.assertIsNone(free.acquire("w", 2000.0).unwrap())
        self.assertEqual(free.rate_needs(), [])

    def test_idle_entry_returns_its_tokens(self):
        self.allowance.take_rates([RateLot("w", 8, 1500, 0)], 1000.0)
        self.assertEqual(self.allowance.rate_needs(), [RateNeed("w", 0, 8, 0)])
        self.assertEqual(self.allowance.rate_needs(), [])

    def test_token_is_not_used_after_its_lease(self):
        self.allowance.take_rates([RateLot("w", 8, 1500, 0)], 1000.0)
        self.clock.advance(1450)
        account = self.allowance._accounts["w"]
        self.assertFalse(account.take(self.clock.now_ms()))


if __name__ == "__main__":
    unittest.main()
