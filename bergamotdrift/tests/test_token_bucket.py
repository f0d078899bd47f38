import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.arbiter_messages import TokensSpent
from bergamotdrift.tests import arbiter_support as support
from bergamotdrift.token_bucket import TokenBucket


class ReferenceBucket:
    """Exact token bucket of one process, used as the reference."""

    def __init__(self, rate_per_s, burst):
        self.rate_per_ms = rate_per_s / 1000.0
        self.burst = burst
        self.level = float(burst)
        self.at_ms = 0.0

    def use(self, now_ms):
        refilled = self.level + (now_ms - self.at_ms) * self.rate_per_ms
        self.level = min(self.burst, refilled) - 1.0
        self.at_ms = now_ms
        return self.level > -1e-6


def report(uses, window_ms, now_ms):
    """Return an entry's report at a takeover.

    Future `uses` count as held, and past ones within the window as used.
    """
    used = sum(now_ms - window_ms <= at_ms <= now_ms for at_ms in uses)
    held = sum(at_ms > now_ms for at_ms in uses)
    return TokensSpent(int(window_ms), used, held)


def use_times(rate, burst, seed, reported=False, steps=300):
    """Return the times at which entries used tokens.

    The entries use, return and lose leases at random, across takeovers.
    """
    rng = random.Random(seed)
    now_ms = 0.0
    bucket = TokenBucket(rate, burst)
    bucket.open(now_ms)
    uses: list[float] = []
    for _ in range(steps):
        now_ms += rng.choice([0.0, 1.0, 7.0, 40.0, 300.0])
        entry = support.entry(rng.randrange(3))
        if rng.random() < 0.08:
            # A takeover; entries keep using the leases of the previous arbiter.
            bucket = TokenBucket(rate, burst)
            if not reported:
                bucket.open(now_ms)
            else:
                window_ms = bucket.fill_ms + 100.0
                bucket.open_with_reports([report(uses, window_ms, now_ms)], now_ms)
        grant = bucket.take(entry, rng.choice([1, 3, 500]), now_ms)
        used = rng.randint(0, grant.tokens)
        late_ms = rng.choice([0.0, grant.lease_ms * 0.5, grant.lease_ms * 0.999])
        uses += [now_ms + late_ms] * used
        if rng.random() < 0.5:
            bucket.return_tokens(entry, grant.tokens - used, now_ms)
    return sorted(uses)


def overruns(rate, burst, seed, reported=False):
    reference = ReferenceBucket(rate, burst)
    times = use_times(rate, burst, seed, reported)
    return sum(not reference.use(at_ms) for at_ms in times)


class BoundTests(unittest.TestCase):
    """Guards against use of more than burst + rate x window, also across takeovers."""

    @settings(max_examples=150, deadline=None)
    @given(
        st.floats(0.5, 5000.0),
        st.integers(1, 500),
        st.integers(0, 2**32),
        st.booleans(),
    )
    def test_uses_fit_one_exact_reference_bucket(self, rate, burst, seed, reported):
        self.assertEqual(overruns(rate, burst, seed, reported), 0)

    def test_reference_finds_leases_that_do_not_count_against_the_burst(self):
        def lease(bucket, entry, tokens, now_ms):
            bucket._level -= tokens

        with mock.patch.object(TokenBucket, "_lease", lease):
            self.assertGreater(sum(overruns(50.0, 20, seed) for seed in range(20)), 0)

    def test_reference_finds_a_takeover_that_refills_at_once(self):
        def open_at_once(bucket, now_ms, limits_since_ms=0.0):
            bucket._opens_at_ms = bucket._refilled_at_ms = now_ms

        with mock.patch.object(TokenBucket, "open", open_at_once):
            self.assertGreater(sum(overruns(500.0, 99, seed) for seed in range(40)), 0)

    def test_reference_finds_reports_without_the_tokens_held(self):
        original_report = report

        def report_without_held(*args):
            return original_report(*args)._replace(held=0)

        name = f"{__name__}.report"
        with mock.patch(name, report_without_held):
            found = [overruns(500.0, 99, seed, reported=True) for seed in range(40)]
            self.assertGreater(sum(found), 0)


class TakeTests(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.bucket = TokenBucket(100.0, 20)
        self.bucket.open(0.0)

    def take(self, number, wanted):
        return self.bucket.take(support.entry(number), wanted, self.now_ms).tokens

    def test_new_bucket_is_empty_and_fills_to_the_burst(self):
        self.assertEqual(self.take(0, 5), 0)
        self.now_ms = 10_000.0
        self.assertEqual(self.take(0, 50), 20)

    def test_bucket_that_was_not_opened_stays_empty(self):
        bucket = TokenBucket(100.0, 20)
        self.assertEqual(bucket.take(support.entry(0), 1, 60_000.0).tokens, 0)

    def test_steady_use_gets_the_full_rate(self):
        for rate, burst in [(100.0, 20), (50.0, 5), (1000.0, 40), (10.0, 100)]:
            with self.subTest(rate=rate, burst=burst):
                self.bucket = TokenBucket(rate, burst)
                self.bucket.open(0.0)
                used = 0
                for now_ms in range(2000, 12_000, 5):
                    self.now_ms = float(now_ms)
                    used += self.take(now_ms // 5 % 3, 10)
                self.assertGreater(used, 0.98 * rate * 10)

    def test_entries_that_ask_together_get_equal_shares(self):
        got = [0, 0, 0]
        for now_ms in range(2000, 12_000, 5):
            self.now_ms = float(now_ms)
            for number in range(3):
                got[number] += self.take(number, 10)
        self.assertLess(max(got), 1.2 * min(got))

    def test_returned_tokens_can_be_taken_again(self):
        self.now_ms = 10_000.0
        self.assertEqual(self.take(0, 20), 20)
        self.bucket.return_tokens(support.entry(0), 20, self.now_ms)
        self.assertEqual(self.take(1, 20), 20)

    def test_tokens_of_another_entry_can_not_be_returned(self):
        self.now_ms = 10_000.0
        self.take(0, 20)
        self.bucket.return_tokens(support.entry(1), 20, self.now_ms)
        self.assertEqual(self.take(1, 20), 0)

    def test_lower_burst_applies_at_once(self):
        self.now_ms = 10_000.0
        self.bucket.configure(100.0, 5, self.now_ms)
        self.assertEqual(self.take(0, 50), 5)

    def test_retry_time_is_when_a_token_is_there(self):
        self.now_ms = 10_000.0
        self.take(0, 20)
        entry = support.entry(0)
        grant = self.bucket.take(entry, 1, self.now_ms)
        self.assertEqual(grant.tokens, 0)
        self.now_ms += grant.retry_after_ms + self.bucket.hold_ms
        self.assertEqual(self.bucket.take(entry, 1, self.now_ms).tokens, 1)
