import random
import unittest

from bergamotdrift.messages import VersionResult
from bergamotdrift.version_results import (
    LATENCY_BUCKETS,
    Tally,
    difference,
    find_fault,
    latency_bucket,
    mean_latency_ms,
    poisson_tail,
    tally_of,
    total,
)


def tally(good=0, failures=0, lost=0, slow=0, ms=100.0, slow_ms=500.0):
    counts = [0] * LATENCY_BUCKETS
    counts[latency_bucket(ms)] += good
    counts[latency_bucket(slow_ms)] += slow
    return Tally(good + failures + lost + slow, failures, lost, tuple(counts))


class FaultTests(unittest.TestCase):
    """Guards against a bad version that is not noticed, and a good one that is."""

    def fault(self, new, old):
        found = find_fault({"r": new}, {"r": old})
        return found.kind if found is not None else None

    def test_failures(self):
        old = tally(1000, 2)
        self.assertEqual(self.fault(tally(20, 6), old), "failures")
        self.assertIsNone(self.fault(tally(20, 2), old))

    def test_failures_as_frequent_as_before(self):
        self.assertIsNone(self.fault(tally(90, 10), tally(900, 100)))

    def test_failures_on_one_route_only(self):
        new = {"r1": tally(200), "r2": tally(3, 5)}
        old = {"r1": tally(2000), "r2": tally(200)}
        found = find_fault(new, old)
        assert found is not None
        self.assertEqual((found.kind, found.route), ("failures", "r2"))

    def test_failures_spread_over_routes(self):
        new = {f"r{n}": tally(10, 1) for n in range(10)}
        old = {f"r{n}": tally(300) for n in range(10)}
        found = find_fault(new, old)
        assert found is not None
        self.assertEqual(found.route, "")

    def test_requests_of_one_lost_upstream(self):
        self.assertIsNone(self.fault(tally(100, lost=9), tally(1000)))
        self.assertEqual(self.fault(tally(100, lost=40), tally(1000)), "lost")

    def test_slow_responses(self):
        old = tally(900, slow=30)
        self.assertEqual(self.fault(tally(0, slow=10), old), "latency")
        self.assertEqual(self.fault(tally(10, slow=10), old), "latency")
        self.assertIsNone(self.fault(tally(10, slow=2), old))

    def test_latency_within_the_usual_differences(self):
        old = tally(100, slow=10, slow_ms=250.0)
        self.assertIsNone(self.fault(tally(0, slow=40, slow_ms=250.0), old))

    def test_latency_is_not_compared_with_too_few_responses(self):
        self.assertIsNone(self.fault(tally(0, slow=40), tally(10)))
        self.assertIsNone(self.fault(tally(0, slow=40), Tally()))

    def test_like_versions_seldom_differ(self):
        rng = random.Random(3)

        def sample(count):
            counts = [0] * LATENCY_BUCKETS
            failures = 0
            for _ in range(count):
                if rng.random() < 0.02:
                    failures += 1
                else:
                    counts[latency_bucket(rng.lognormvariate(4.6, 0.5))] += 1
            return Tally(count, failures, 0, tuple(counts))

        found = [self.fault(sample(80), sample(800)) for _ in range(300)]
        self.assertEqual([kind for kind in found if kind], [])


class TallyTests(unittest.TestCase):
    """Guards against sums that lose counts, or fail on a malformed report."""

    def test_difference_undoes_a_sum(self):
        one, two = tally(5, 1, 2), tally(7, 3, slow=4)
        self.assertEqual(difference(total([one, two]), two)[:3], one[:3])
        self.assertEqual(sum(difference(total([one, two]), two).latencies), 5)

    def test_report_with_too_many_buckets(self):
        result = VersionResult("s", 1, "v", "r", latencies=[1] * 500)
        self.assertEqual(len(tally_of(result).latencies), LATENCY_BUCKETS)
        self.assertEqual(total([tally_of(result)]).ended, LATENCY_BUCKETS)

    def test_mean_latency(self):
        self.assertAlmostEqual(mean_latency_ms(tally(10)), 100.0, delta=20.0)
        self.assertEqual(mean_latency_ms(Tally()), 0.0)

    def test_extreme_latencies_have_a_bucket(self):
        self.assertEqual(latency_bucket(-1.0), 0)
        self.assertEqual(latency_bucket(1e12), LATENCY_BUCKETS - 1)

    def test_poisson_tail(self):
        self.assertAlmostEqual(poisson_tail(3, 1.0), 0.0803, places=4)
        self.assertEqual(poisson_tail(0, 0.0), 1.0)
        self.assertEqual(poisson_tail(1, 0.0), 0.0)


if __name__ == "__main__":
    unittest.main()
