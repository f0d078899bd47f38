import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.arbiter_messages import TokensSpent
from bergamotdrift.token_cache import PREFETCH_WINDOW_MS, TokenCache, TokenLease

LEASE_MS = 200
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(0, 8)),
        st.tuples(st.just("take"), st.integers(1, 8)),
        st.tuples(st.just("wait"), st.integers(0, 300)),
        st.tuples(st.just("expire"), st.just(0)),
    ),
    max_size=60,
)


class TokenCacheTests(unittest.TestCase):
    def test_report_covers_its_window_and_what_is_held(self):
        """A token missing from a report would be granted again after a takeover."""
        cache = TokenCache()
        cache.add(TokenLease(10, 10_000.0, 1))
        for now_ms in (0.0, 1000.0, 1050.0, 2000.0):
            cache.take(now_ms)
        self.assertEqual(cache.spent(1000, 2010.0), TokensSpent(1000, 3, 6))
        self.assertEqual(cache.spent(500, 2010.0), TokensSpent(500, 1, 6))

    @settings(max_examples=300, deadline=None)
    @given(STEPS)
    def test_tokens_are_used_once_and_within_their_lease(self, steps):
        cache = TokenCache()
        now, granted, used, returned = 0.0, 0, 0, 0
        live_until_ms: list[float] = []
        for action, number in steps:
            live_until_ms = [end for end in live_until_ms if end > now]
            if action == "add":
                cache.add(TokenLease(number, now + LEASE_MS, 1))
                granted += number
                live_until_ms += [now + LEASE_MS] * number
            elif action == "take":
                taken = sum(cache.take(now) for _ in range(number))
                self.assertEqual(taken, min(number, len(live_until_ms)))
                live_until_ms = sorted(live_until_ms)[taken:]
                used += taken
            elif action == "wait":
                now += number
            else:
                returned += sum(lease.tokens for lease in cache.pop_expired(now))
        returned += sum(lease.tokens for lease in cache.pop_all())
        self.assertEqual(granted, used + returned)

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, 80), max_size=40), st.integers(0, 50))
    def test_wanted_is_what_waits_and_recent_use(self, gaps, waiting):
        cache = TokenCache()
        now, uses = 0.0, []
        for gap in gaps:
            now += gap
            cache.add(TokenLease(1, now + LEASE_MS, 1))
            cache.take(now)
            uses.append(now)
        recent = sum(at >= now - PREFETCH_WINDOW_MS for at in uses)
        expected = waiting + recent if waiting else 0
        self.assertEqual(cache.wanted(now, waiting), expected)

    def test_nothing_is_wanted_without_waiting_requests(self):
        self.assertEqual(TokenCache().wanted(0.0, 0), 0)

    def test_tokens_of_an_old_shard_epoch_return_under_that_epoch(self):
        # If the new arbiter credited tokens of the previous one, the rate could be
        # exceeded.
        cache = TokenCache()
        cache.add(TokenLease(2, 100, 1))
        cache.add(TokenLease(3, 100, 2))
        self.assertEqual(
            [(x.tokens, x.shard_epoch) for x in cache.pop_expired(100)],
            [(2, 1), (3, 2)],
        )
