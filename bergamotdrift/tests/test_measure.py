import unittest

from scripts.measure import Outcome, Run, simulate
from scripts.measure_report import MUST_BE_ZERO
from scripts.measure_sites import SITES

SECONDS = 12.0
SEED = 1


class MeasureTests(unittest.TestCase):
    """Guards against wrong routing decisions that a simulation shows.

    Failures are a rate or cold-start limit that the product exceeds, figures that
    differ between runs of one seed, and measures worse than the naive version's.
    """

    product: dict[str, Outcome]
    naive: dict[str, Outcome]

    @classmethod
    def setUpClass(cls):
        cls.product = {site: cls.run_version(site, "ours") for site in SITES}
        cls.naive = {site: cls.run_version(site, "naive") for site in SITES}

    @staticmethod
    def run_version(site, version):
        return simulate(Run(site, SEED, SECONDS, version))

    def test_no_limit_is_exceeded(self):
        for site, outcome in self.product.items():
            for name in MUST_BE_ZERO:
                with self.subTest(site=site, measure=name):
                    self.assertEqual(outcome.figures[name], 0)

    def test_same_seed_gives_the_same_figures(self):
        again = self.run_version("hollins-marr", "ours")
        self.assertEqual(again, self.product["hollins-marr"])

    def test_product_serves_at_least_as_well_as_the_naive_version(self):
        names = (
            "served",
            "served while a zone leaves and returns",
            "worst-served workspace",
            "answered within 300 ms",
        )
        for site, outcome in self.product.items():
            for name in names:
                with self.subTest(site=site, measure=name):
                    naive = self.naive[site].figures[name]
                    self.assertGreaterEqual(outcome.figures[name], naive)

    def test_product_refuses_no_more_than_the_naive_version(self):
        names = (
            "wrongful refusals",
            "not served in time with stragglers",
            "p99 with unserved at their deadline, calm",
            "p99 with unserved at their deadline, stragglers",
        )
        for site, outcome in self.product.items():
            for name in names:
                with self.subTest(site=site, measure=name):
                    naive = self.naive[site].figures[name]
                    self.assertLessEqual(outcome.figures[name], naive)


if __name__ == "__main__":
    unittest.main()
