import unittest

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.config.schema import ColdStartSettings
from bergamotdrift.feed_tables import UpstreamId
from bergamotdrift.leader_pace_client import Response
from bergamotdrift.messages import PaceNeed
from bergamotdrift.pace_buckets import PACE_LEASE_MS, PaceBuckets, PaceChange
from bergamotdrift.tests.pace_simulation import (
    BOUND,
    PER_S,
    SERVICE,
    SETTINGS,
    PaceSimulation,
)

KEY = UpstreamId("s", "u")
NOW_MS = 100_000.0


class PaceBucketTests(unittest.TestCase):
    """Guards the leases of tokens for one upstream."""

    def setUp(self):
        self.buckets = PaceBuckets(BOUND, 0.0)
        self.incarnation = "1"
        self.changes: list[PaceChange] = []
        self.buckets.on_change = self.changes.append

    def lease(self, node, wanted, now_ms, **fields):
        need = PaceNeed(*KEY, wanted, **fields)
        (lot,) = self.buckets.lease(
            node, [need], SETTINGS, lambda key: self.incarnation, now_ms
        )
        return lot

    def per_s(self, now_ms):
        return self.buckets.per_s(KEY, now_ms)

    def test_unknown_upstream_gets_the_stated_pace(self):
        self.assertGreaterEqual(self.lease("e1", 1, NOW_MS).tokens, 1)
        self.assertEqual(self.per_s(NOW_MS), PER_S)

    def test_service_without_a_rate_needs_no_tokens(self):
        free = SERVICE._replace(cold_start=ColdStartSettings(1, 3.0, 0.0))
        settings = SETTINGS._replace(services=(free,))
        needs = [PaceNeed(*KEY, 1), PaceNeed("unknown", "u", 1)]
        lots = self.buckets.lease("e1", needs, settings, lambda key: "", NOW_MS)
        self.assertEqual(lots, [])

    def test_leased_tokens_count_until_the_entry_asks_again(self):
        burst = self.lease("e1", 100, NOW_MS).tokens
        self.assertEqual(burst, 6)
        later_ms = NOW_MS + PACE_LEASE_MS - 10
        self.assertEqual(self.lease("e2", 100, later_ms).tokens, 0)
        # The entry has used its tokens, and more have accrued since.
        self.lease("e1", 0, later_ms, asked_ms=1)
        self.assertGreater(self.lease("e2", 100, later_ms + 250).tokens, 1)

    # The tokens of a frozen entry may be used at the end of their lease.
    def test_nothing_accrues_above_the_burst_while_tokens_are_leased(self):
        self.assertEqual(self.lease("e1", 100, NOW_MS).tokens, 6)
        end_ms = NOW_MS + PACE_LEASE_MS
        self.assertEqual(self.lease("e2", 100, end_ms).tokens, 0)
        self.assertLessEqual(self.lease("e2", 100, end_ms + 300).tokens, 3)

    def test_returned_tokens_are_leased_to_others(self):
        burst = self.lease("e1", 100, NOW_MS).tokens
        self.lease("e1", 0, NOW_MS + 10, returned=burst)
        self.assertEqual(self.lease("e2", 100, NOW_MS + 10).tokens, burst)

    def test_tokens_returned_after_their_lease_are_not_credited(self):
        burst = self.lease("e1", 100, NOW_MS).tokens
        end_ms = NOW_MS + PACE_LEASE_MS
        self.lease("e9", 0, end_ms)
        self.assertGreater(self.lease("e2", 100, end_ms + 200).tokens, 0)
        self.lease("e1", 0, end_ms + 210, returned=burst)
        self.assertEqual(self.lease("e3", 100, end_ms + 210).tokens, 0)

    # An entry that reconnects may state its tokens before a ping of its former stream
    # arrives, which knows fewer of them.
    def test_outdated_need_changes_nothing(self):
        burst = self.lease("e1", 100, NOW_MS, asked_ms=2000).tokens
        late = self.lease("e1", 100, NOW_MS + 10, asked_ms=1000)
        self.assertEqual(late.tokens, 0)
        later_ms = NOW_MS + PACE_LEASE_MS - 10
        self.assertEqual(self.lease("e2", burst, later_ms).tokens, 0)

    def test_entries_that_wait_are_served_in_their_order(self):
        self.lease("e0", 100, NOW_MS)
        end_ms = NOW_MS + PACE_LEASE_MS
        self.lease("e9", 0, end_ms)
        waits = [
            self.lease(node, 1, end_ms + 1, wait_ms=1000).wait_ms
            for node in ("e1", "e2", "e3")
        ]
        self.assertEqual(waits, sorted(set(waits)))
        due_ms = end_ms + 1 + waits[0]
        self.assertEqual(self.lease("e3", 1, due_ms, wait_ms=1000).tokens, 0)
        self.assertEqual(self.lease("e1", 1, due_ms, wait_ms=1000).tokens, 1)

    # A less urgent kind may wait for longer, and would take the tokens of a more urgent
    # one that is refused meanwhile.
    def test_more_urgent_requests_are_served_first(self):
        self.lease("e0", 100, NOW_MS)
        end_ms = NOW_MS + PACE_LEASE_MS
        self.lease("e9", 0, end_ms)
        late = self.lease("e1", 1, end_ms + 1, wait_ms=1000, rank=1)
        first = self.lease("e2", 1, end_ms + 2, wait_ms=1000, rank=0)
        self.assertLessEqual(first.wait_ms, late.wait_ms)
        due_ms = end_ms + 1 + late.wait_ms
        self.assertEqual(self.lease("e1", 1, due_ms, wait_ms=900, rank=1).tokens, 0)
        self.assertEqual(self.lease("e2", 1, due_ms, wait_ms=900, rank=0).tokens, 1)
        # The less urgent request keeps its place.
        due_ms += 1000 / PER_S
        self.assertEqual(self.lease("e3", 1, due_ms, wait_ms=900, rank=1).tokens, 0)
        self.assertEqual(self.lease("e1", 1, due_ms, wait_ms=900, rank=1).tokens, 1)

    def test_entry_that_can_not_wait_keeps_no_place(self):
        self.lease("e0", 100, NOW_MS)
        end_ms = NOW_MS + PACE_LEASE_MS
        self.lease("e9", 0, end_ms)
        wait_ms = self.lease("e1", 1, end_ms + 1, wait_ms=10).wait_ms
        self.assertGreater(wait_ms, 10)
        due_ms = end_ms + 1 + wait_ms
        self.assertEqual(self.lease("e2", 1, due_ms, wait_ms=10).tokens, 1)

    def test_responses_lower_the_pace_with_their_reason(self):
        fields = ({"shed": 1}, {"failed": 2, "sound": 3}, {"late": 1})
        for number, counts in enumerate(fields):
            self.lease("e1", 0, NOW_MS + 1000 * number, **counts)
        reasons = [change.reason for change in self.changes]
        self.assertEqual(reasons, ["started", "shed", "failed", "late"])
        for fall in self.changes[1:]:
            self.assertLess(fall.per_s, fall.before_per_s)

    def test_rising_latency_lowers_the_pace(self):
        for number in range(10):
            self.lease("e1", 0, NOW_MS + 300 * number, sound=1, latency_percent=250)
        self.assertEqual(len(self.changes), 1)
        for number in range(10, 20):
            self.lease("e1", 0, NOW_MS + 300 * number, sound=1, latency_percent=1500)
        self.assertEqual({change.reason for change in self.changes[1:]}, {"late"})

    def test_fall_withholds_ready_tokens(self):
        self.lease("e1", 0, NOW_MS, shed=1)
        self.assertEqual(self.lease("e1", 100, NOW_MS).tokens, 3)

    def test_pace_of_the_same_process_is_kept_for_a_short_gap(self):
        self.lease("e1", 0, NOW_MS, shed=1)
        self.lease("e1", 0, NOW_MS + 5000)
        self.assertEqual(self.per_s(NOW_MS + 5000), PER_S / 2)
        self.lease("e1", 0, NOW_MS + 30_000)
        self.assertEqual(self.per_s(NOW_MS + 30_000), PER_S)

    def test_new_process_starts_at_the_stated_pace(self):
        self.lease("e1", 0, NOW_MS, shed=1)
        self.incarnation = "2"
        self.lease("e1", 0, NOW_MS + 100)
        self.assertEqual(self.per_s(NOW_MS + 100), PER_S)
        self.assertEqual(self.changes[-1].reason, "new_process")


class DemandTests(unittest.TestCase):
    """Guards against refusals while a cold upstream could take the request."""

    def run_demand(self, entries, per_s, seconds=5, **options):
        sim = PaceSimulation(entries, 3, **options.pop("sim", {}))
        sim.demand(per_s, seconds, **options)
        sim.run(1000.0 * seconds + 500)
        return sim

    # Each of 86 entries has a request for the upstream once in 10 s.
    def test_entries_with_little_demand_each(self):
        sim = self.run_demand(86, 8.0)
        self.assertLess(len(sim.refused), 0.05 * sim.asked)

    def test_one_entry_with_nearly_all_demand(self):
        weights = [100.0] + [0.1] * 53
        sim = self.run_demand(54, 8.0, weights=weights)
        self.assertLess(len(sim.refused), 0.05 * sim.asked)

    def test_demand_above_the_pace_uses_it(self):
        for entries in (2, 54):
            sim = self.run_demand(entries, 40.0)
            self.assertGreater(sim.count_sent(), 5 * 0.9 * PER_S * BOUND.overage)

    def test_all_upstreams_start_at_once(self):
        upstreams = tuple(f"u{number}" for number in range(55))
        sim = self.run_demand(54, 8.0, 2, upstreams=upstreams)
        self.assertLess(len(sim.refused), 0.1 * sim.asked)
        for name in upstreams:
            self.assertLessEqual(sim.most_in_a_second(name), 20)
        pings = sum(entry.pings for entry in sim.entries) / len(sim.entries) / 2.5
        # One need for each request would be 2,200 messages in all.
        self.assertLess(pings, 25)

    def test_upstream_that_sheds_gets_less(self):
        def shed(key, now_ms):
            return Response(AttemptOutcome.SHED)

        sim = self.run_demand(54, 40.0, sim={"respond": shed})
        last_s = sim.count_sent(sim.now - 1500.0, sim.now - 500.0)
        self.assertLessEqual(last_s, 3)
        self.assertGreater(last_s, 0)


if __name__ == "__main__":
    unittest.main()
