import unittest
from unittest import mock

import gevent
from hypothesis import given
from hypothesis import strategies as st

from bergamotdrift.clock import ManualClock
from bergamotdrift.config.schema import SiteSettings, WorkspaceSettings
from bergamotdrift.entry_leases import EntryLease
from bergamotdrift.leader_token_client import LeaderTokenClient, WorkspaceTokens
from bergamotdrift.messages import (
    RateLot,
    RateNeed,
)
from bergamotdrift.rate_buckets import (
    RATE_LEASE_MS,
    RateBucket,
    RateBuckets,
)

LIMITS = WorkspaceSettings("w", 20.0, 20, (), ())
STEP = st.tuples(
    st.integers(0, 600),  # time that passes, in ms
    st.integers(0, 3),  # entry
    st.integers(0, 40),  # tokens wanted
    st.floats(0, 1),  # part of the held tokens that is used first
    st.booleans(),  # whether the rest is returned
)


class RateBucketTests(unittest.TestCase):
    """Guards a workspace's rate while entries hold, use, return or lose tokens."""

    def lease(self, bucket, node, wanted, now_ms, returned=0, held=0):
        return bucket.lease(node, RateNeed("w", wanted, returned, held), now_ms).tokens

    def test_full_rate_is_granted_while_tokens_are_held(self):
        # Used tokens must not count as held until their lease ends.
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
        grant = bucket.lease("e1", RateNeed("w", 5), 0.0)
        self.assertEqual((grant.tokens, grant.wait_ms), (0, 50))

    @given(st.lists(STEP, max_size=60))
    def test_no_window_sees_more_than_rate_and_burst(self, steps):
        bucket = RateBucket(LIMITS, 0.0)
        now, held, ends, used = 0.0, [0] * 4, [0.0] * 4, []
        for wait, node, wanted, used_share, returns in steps:
            now += wait
            if now >= ends[node]:
                held[node] = 0
            spent = int(held[node] * used_share)
            used += [now] * spent
            held[node] -= spent
            returned = held[node] if returns else 0
            held[node] -= returned
            granted = self.lease(bucket, str(node), wanted, now, returned, held[node])
            held[node] += granted
            ends[node] = now + RATE_LEASE_MS
        for end in used:
            inside = sum(end - 5000 <= t <= end for t in used)
            # An entry may hold one token although the whole burst is leased.
            self.assertLessEqual(inside, 20 * 5 + 20 + 1 + 5)


class CostTests(unittest.TestCase):
    """Guards against a leader whose processor time goes to leasing rate tokens.

    Its heartbeats are then late and its lease lapses.
    """

    def test_lease_looks_at_few_other_entries(self):
        bucket = RateBucket(LIMITS, 0.0)
        entries, rounds = 200, 8
        steps = 0

        def count(lease, since_ms, now_ms):
            nonlocal steps
            steps += 1
            return 0.0

        with mock.patch.object(EntryLease, "standby_tokens", count):
            for number in range(entries * rounds):
                now_ms = number * 250.0 / entries
                node = str(number % entries)
                bucket.lease(node, RateNeed("w", 1, 0, 1), now_ms)
        self.assertLess(steps, entries * rounds)

    def test_expired_and_lost_entries_hold_nothing(self):
        bucket = RateBucket(LIMITS, -5000.0)
        for node in range(20):
            bucket.lease(str(node), RateNeed("w", 1), node * 30.0)
        self.assertEqual(bucket._leases.held_tokens, 20)
        bucket.lease("other", RateNeed("w", 0), 10_000.0)
        self.assertEqual(bucket._leases.held_tokens, 0)
        self.assertEqual(list(bucket._leases._by_node), ["other"])


class NewWorkspaceTests(unittest.TestCase):
    """Guards against refusing the first requests of workspaces new in the settings."""

    def test_bucket_fills_from_the_first_settings(self):
        settings = SiteSettings("s", (), (), (), (LIMITS,))
        buckets = RateBuckets()
        buckets.add_buckets(None, 0.0)
        self.assertEqual(buckets.lease("e1", [], settings, 1000.0), [])
        (grant,) = buckets.lease("e1", [RateNeed("w", 9)], settings, 5000.0)
        self.assertEqual(grant.tokens, 9)

    def test_unknown_workspace_gets_none(self):
        settings = SiteSettings("s", (), (), (), ())
        self.assertEqual(
            RateBuckets().lease("e1", [RateNeed("x", 1)], settings, 0.0), []
        )


class StandbyTests(unittest.TestCase):
    """Guards requests and rate limits during a short time without a leader."""

    def lose_leader(self, ms):
        """Use tokens steadily, then lose the leader for `ms`.

        Returns the bucket, the time at the end and the tokens used without a leader.
        """
        clock = ManualClock(0.0)
        allowance = LeaderTokenClient(clock, lambda name: 20.0, lambda name: 2.0)
        bucket = RateBucket(LIMITS, -5000.0)
        tokens = WorkspaceTokens()
        for _ in range(40):
            clock.advance(250)
            now = clock.now_ms()
            grants = [bucket.lease("e1", need, now) for need in allowance.rate_needs()]
            allowance.take_rates(grants, now)
            tokens = allowance._workspaces.setdefault("w", WorkspaceTokens())
            for _ in range(3):
                tokens.demand_at_ms.append(now)
                tokens.take(now)
        used = 0
        for _ in range(ms // 50):
            clock.advance(50)
            used += tokens.take(clock.now_ms())
        return bucket, clock.now_ms(), used

    def test_entry_goes_on_at_its_rate_through_an_election(self):
        _, _, used = self.lose_leader(2400)
        self.assertGreaterEqual(used, 0.8 * 2.4 * 12)

    # Guards against pings that name each workspace an entry ever had a request of, each
    # at a cost to the leader.
    def test_rate_below_one_token_is_no_standby_rate(self):
        bucket = RateBucket(LIMITS, -5000.0)
        # One token every 3 s.
        lots = [
            bucket.lease("e1", RateNeed("w", int(step % 12 == 0)), step * 250.0)
            for step in range(48)
        ]
        later = {lot.standby_per_s for n, lot in enumerate(lots) if n % 12 > 3}
        self.assertEqual(later, {0.0})
        self.assertEqual(bucket._leases.standby_tokens(12_000.0, 15_000.0), 0.0)

    def test_entry_stops_when_no_leader_comes(self):
        _, _, short = self.lose_leader(2600)
        _, _, long = self.lose_leader(9000)
        self.assertEqual(short, long)

    def test_leader_gives_others_no_more_than_a_silent_entry_leaves(self):
        bucket, now, used = self.lose_leader(2400)
        start = now - 2400
        got = 0
        for step in range(0, 2400, 100):
            got += bucket.lease("e2", RateNeed("w", 50, 0, 0), start + step).tokens
        self.assertLessEqual(got + used, 20 * 2.4 + 20 + 8)


class LeaderTokenClientTests(unittest.TestCase):
    """Guards against waits of requests over the rate, and against idle tokens kept."""

    def setUp(self):
        self.clock = ManualClock(1000.0)
        self.burst_share = 2.0
        self.allowance = LeaderTokenClient(
            self.clock, lambda name: 20.0, lambda name: self.burst_share
        )

    def test_request_is_refused_at_once_when_the_leader_has_no_token(self):
        def ask():
            self.allowance.take_rates([RateLot("w", 0, 1500, 250)], 1000.0)

        waited = []
        self.allowance.request_ping = lambda: waited.append(1)

        job = gevent.spawn(self.allowance.acquire, "w", 9000.0)
        gevent.sleep(0)
        ask()
        refusal = job.get(timeout=1).failure()
        self.assertEqual(refusal.kind, "rate_exceeded")
        self.assertEqual(refusal.retry_after_s, 0.25)

    def test_unlimited_workspace_needs_no_token(self):
        free = LeaderTokenClient(self.clock, lambda name: 0.0, lambda name: 2.0)
        self.assertIsNone(free.acquire("w", 2000.0).unwrap())
        self.assertEqual(free.rate_needs(), [])

    def test_idle_entry_returns_its_tokens(self):
        self.allowance.take_rates([RateLot("w", 8, 1500, 0)], 1000.0)
        self.assertEqual(self.allowance.rate_needs(), [RateNeed("w", 0, 8, 0)])
        self.assertEqual(self.allowance.rate_needs(), [])

    # Guards against refusals within the rate in a large fleet: if each entry that saw
    # one request holds a token for the next, they hold the whole burst.
    def test_entry_prefetches_no_first_token_of_a_small_burst(self):
        for share, wanted in ((2.0, 1), (0.2, 0)):
            self.burst_share = share
            tokens = self.allowance._workspaces["w"] = WorkspaceTokens()
            tokens.demand_at_ms.append(self.clock.now_ms())
            needs = self.allowance.rate_needs()
            self.assertEqual(sum(need.wanted for need in needs), wanted)

    def test_busy_entry_prefetches_tokens_of_a_small_burst(self):
        self.burst_share = 0.2
        tokens = self.allowance._workspaces["w"] = WorkspaceTokens()
        tokens.demand_at_ms.extend([self.clock.now_ms()] * 6)
        (need,) = self.allowance.rate_needs()
        self.assertEqual(need.wanted, 6)

    def test_token_is_not_used_after_its_lease(self):
        self.allowance.take_rates([RateLot("w", 8, 1500, 0)], 1000.0)
        self.clock.advance(1450)
        tokens = self.allowance._workspaces["w"]
        self.assertFalse(tokens.take(self.clock.now_ms()))


if __name__ == "__main__":
    unittest.main()
