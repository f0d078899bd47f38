import unittest

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import ColdBound
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.leader_pace_client import Response
from bergamotdrift.pace_buckets import PACE_LEASE_MS
from bergamotdrift.tests.pace_simulation import PER_S, WAIT_MS, PaceSimulation

KEY = UpstreamId("s", "u")
SEEDS = range(8)
# 8.3 x 1.5 + 8, in whole requests.
MOST = 20


class HoardingSimulation(PaceSimulation):
    """Let entries keep tokens for later requests, as for those of a pool.

    Requests come in bursts, after times in which all tokens are ready or leased.
    """

    def __init__(self, entries, seed, **options):
        super().__init__(entries, seed, **options)
        self.after(0.0, self.hoard)
        self.after(900.0, self.start_bursts)

    def hoard(self):
        for entry in self.entries:
            if entry.frozen_until_ms <= self.now and self.rng.random() < 0.8:
                entry.client.note_demand(KEY)
                entry.ping_early()
        self.after(self.rng.uniform(50.0, 300.0), self.hoard)

    def burst(self):
        self.demand(120.0, self.rng.uniform(0.1, 1.3))

    def start_bursts(self):
        self.burst()
        self.after(self.rng.uniform(800.0, 3000.0), self.start_bursts)


class BoundTests(unittest.TestCase):
    """Guards against flooding a cold upstream while a part of the system fails.

    Entries hold as many tokens as they can and have more requests than these suffice
    for, and a failure makes them use tokens later than usual.
    """

    def check(self, fail, most=MOST, **options):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                sim = HoardingSimulation(12, seed, **options)
                sim.after(0.0, lambda sim=sim: fail(sim))
                sim.run(15_000)
                self.assertLessEqual(sim.most_in_a_second(), most)
                self.assertGreater(sim.count_sent(), 0)

    def test_no_failure(self):
        self.check(lambda sim: None)

    def test_entries_freeze_while_they_hold_tokens(self):
        def freeze(sim):
            for entry in sim.rng.sample(sim.entries, 6):
                entry.frozen_until_ms = sim.now + sim.rng.uniform(50, 1500)
            sim.after(sim.rng.uniform(200, 1000), sim.burst)
            sim.after(sim.rng.uniform(600, 2500), lambda: freeze(sim))

        self.check(freeze)

    def test_leader_is_lost(self):
        def lose(sim):
            sim.lose_leader(sim.rng.uniform(0, 700))
            sim.after(sim.rng.uniform(300, 2500), lambda: lose(sim))

        self.check(lose)

    def test_links_are_cut(self):
        def cut(sim):
            for entry in sim.entries:
                entry.is_cut = sim.rng.random() < 0.5
                if entry.is_cut:
                    entry.reconnect()
            sim.after(sim.rng.uniform(200, 1000), sim.burst)
            sim.after(sim.rng.uniform(800, 2500), lambda: cut(sim))

        self.check(cut)

    # A ping that an entry sent before it reconnected knows fewer tokens than it holds.
    def test_entries_reconnect_while_pings_are_under_way(self):
        def reconnect(sim):
            for entry in sim.entries:
                entry.delay_ms = (1.0, sim.rng.choice((3.0, 350.0)))
                if sim.rng.random() < 0.3:
                    entry.reconnect()
            sim.after(sim.rng.uniform(20, 300), lambda: reconnect(sim))

        self.check(reconnect)

    def test_leases_come_late(self):
        def slow(sim):
            for entry in sim.entries:
                entry.delay_ms = (100.0, 400.0)

        self.check(slow)

    def test_upstream_restarts(self):
        def restart(sim):
            sim.incarnation += "1"
            sim.after(sim.rng.uniform(200, 2000), lambda: restart(sim))

        self.check(restart)

    def test_responses_change(self):
        def respond_at_random(key, now_ms):
            outcome = (AttemptOutcome.ANSWERED, AttemptOutcome.SHED)
            return Response(outcome[int(now_ms // 700) % 2])

        self.check(lambda sim: None, respond=respond_at_random)

    def test_bound_without_overage(self):
        self.check(lambda sim: None, most=8, bound=ColdBound())

    # Entries without a leader send what the bound has left for them.
    def test_leader_is_lost_with_a_large_slack(self):
        def lose(sim):
            sim.lose_leader(sim.rng.uniform(0, 2500))
            sim.after(sim.rng.uniform(300, 2500), lambda: lose(sim))

        self.check(lose, most=27, bound=ColdBound(1.5, 15.0))


class OutageTests(unittest.TestCase):
    """Guards against requests that an entry sends on old or on no permission."""

    def test_entry_that_is_cut_off_sends_nothing_after_its_tokens(self):
        sim = HoardingSimulation(4, 1)
        sim.demand(40.0, 6)
        sim.run(2000)
        for entry in sim.entries:
            entry.is_cut = True
            entry.reconnect()
        cut_at_ms = sim.now
        sim.run(4000)
        # Requests that were sent at the end of a lease are still under way.
        last_ms = cut_at_ms + PACE_LEASE_MS + 20.0
        self.assertEqual(sim.count_sent(last_ms), 0)

    def test_new_leader_waits_for_the_leases_of_the_previous_one(self):
        sim = PaceSimulation(20, 2)
        sim.demand(40.0, 6)
        sim.run(1500)
        sim.lose_leader(0.0)
        sim.run(10.0)
        elected_ms = sim.now
        sim.run(4000)
        self.assertEqual(
            sim.count_sent(elected_ms + 30.0, elected_ms + PACE_LEASE_MS), 0
        )
        self.assertGreater(sim.count_sent(elected_ms + PACE_LEASE_MS), 2 * PER_S)

    def test_frozen_entry_finds_its_tokens_expired(self):
        sim = HoardingSimulation(1, 3)
        sim.run(1000)
        (entry,) = sim.entries
        entry.client.note_demand(KEY)
        entry.ping()
        sim.run(20)
        entry.frozen_until_ms = sim.now + 2 * PACE_LEASE_MS
        sim.after(100.0, lambda: entry.request(KEY), entry)
        sim.run(2 * PACE_LEASE_MS - 100)
        before = sim.count_sent()
        sim.leader = None
        sim.run(1000)
        self.assertEqual(sim.count_sent(), before)

    def test_refused_requests_do_not_wait_longer_than_they_may(self):
        sim = PaceSimulation(10, 4)
        sim.leader = None
        sim.demand(20.0, 2)
        sim.run(2000 + WAIT_MS)
        self.assertEqual(len(sim.refused), sim.asked)


if __name__ == "__main__":
    unittest.main()
