import random
import unittest
from types import SimpleNamespace

from bergamotdrift.arbiter_messages import AttemptOutcome
from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.messages import RolloutRow, RolloutState, UpstreamRow, UpstreamState
from bergamotdrift.version_results import bucket_ms
from bergamotdrift.version_share import CONFIRMATION_MAX_AGE_MS, VersionShare

ROW = RolloutRow("s", 7, "v2", RolloutState.RUNNING, ["v1"], 0, 12_000, 50)
ANSWERED = AttemptOutcome.ANSWERED


def upstream(version, state=UpstreamState.READY):
    return UpstreamRow("s", "u", "10.0.0.1:1", "a", "1", state, version=version)


def loads(*versions):
    return [SimpleNamespace(row=SimpleNamespace(version=v)) for v in versions]


def versions_of(groups):
    return [[load.row.version for load in group] for group in groups]


class VersionShareTestCase(unittest.TestCase):
    def setUp(self):
        self.share = VersionShare("e1")
        self.known = loads("v1", "v2")

    def apply(self, row=ROW, **changes):
        self.share.update({row.service: row._replace(**changes)})

    def groups(self):
        return versions_of(self.share.groups("s", self.known))


class ExposureTests(unittest.TestCase):
    """Guards against entries that together send the new version more than its share."""

    def send(self, entries, requests, permille, seed=1):
        """Return how many of the requests to all entries may go to the new version."""
        rng = random.Random(seed)
        shares = [VersionShare(f"entry-{n}") for n in range(entries)]
        known, sent = loads("v1", "v2"), 0
        for share in shares:
            share.update({"s": ROW._replace(share_permille=permille)})
        for number in range(requests):
            share = rng.choice(shares)
            first = share.groups("s", known)[0][0].row.version
            share.record_sent(f"a{number}", "r", upstream(first))
            sent += first == "v2"
        return sent

    def test_sum_over_entries_is_the_share(self):
        for entries, requests in ((1, 2000), (9, 2000), (86, 840), (86, 200)):
            for permille in (20, 50, 250):
                with self.subTest(entries=entries, permille=permille):
                    expected = requests * permille / 1000.0
                    sent = self.send(entries, requests, permille)
                    # The first fractions of the entries are drawn at random.
                    spread = 3.0 * (entries / 6.0) ** 0.5 + 1.0
                    self.assertAlmostEqual(sent, expected, delta=spread)

    def test_share_that_could_not_be_used_is_not_made_up_for(self):
        share, known = VersionShare("e1"), loads("v1", "v2")
        share.update({"s": ROW._replace(share_permille=100)})
        for number in range(500):
            share.record_sent(f"a{number}", "r", upstream("v1"))
        sent = 0
        for number in range(10):
            first = share.groups("s", known)[0][0].row.version
            share.record_sent(f"b{number}", "r", upstream(first))
            sent += first == "v2"
        self.assertLessEqual(sent, 2)


class GroupTests(VersionShareTestCase):
    """Guards against requests to a version that must not get them."""

    def test_versions_make_no_difference_without_an_order(self):
        self.assertEqual(self.groups(), [["v1", "v2"]])
        self.share.update({"t": ROW._replace(service="t", share_permille=0)})
        self.assertEqual(self.groups(), [["v1", "v2"]])

    def test_full_share_leaves_the_old_version_nothing(self):
        self.apply(share_permille=1000)
        self.assertEqual(self.groups(), [["v2"]])

    def test_version_that_is_neither_old_nor_new_counts_as_old(self):
        self.known = loads("v0", "v1", "v2", "")
        self.apply(share_permille=0)
        self.assertEqual(self.groups(), [["v0", "v1", ""]])

    def test_old_version_is_the_fallback_of_the_new_one(self):
        self.apply(share_permille=999)
        self.assertEqual(self.groups(), [["v2"], ["v1"]])

    def test_version_that_was_rolled_back_gets_nothing(self):
        self.apply(state=RolloutState.ROLLED_BACK, share_permille=0)
        self.assertEqual(self.groups(), [["v1"]])
        self.known = loads("v2")
        self.assertEqual(self.groups(), [[]])

    def test_old_version_gets_nothing_after_completion(self):
        self.apply(state=RolloutState.COMPLETED, share_permille=1000)
        self.assertEqual(self.groups(), [["v2"]])
        # A later version without an order is used like any other.
        self.known = loads("v1", "v2", "v3")
        self.assertEqual(self.groups(), [["v2", "v3"]])
        self.known = loads("v1")
        self.assertEqual(self.groups(), [["v1"]])

    def test_entry_without_control_sends_the_new_version_nothing(self):
        self.share.control_age_ms = lambda: CONFIRMATION_MAX_AGE_MS + 1.0
        self.apply(share_permille=999)
        self.assertEqual(self.groups(), [["v1"]])
        self.assertTrue(self.share.bars_owner("s", "v2"))
        # The old upstreams may have been stopped since.
        self.apply(share_permille=1000)
        self.assertEqual(self.groups(), [[]])

    def test_end_holds_without_control(self):
        self.share.control_age_ms = lambda: CONFIRMATION_MAX_AGE_MS + 1.0
        self.apply(state=RolloutState.COMPLETED, share_permille=1000)
        self.assertEqual(self.groups(), [["v2"]])

    def test_owners_of_keys(self):
        self.apply()
        self.assertFalse(self.share.bars_owner("s", "v2"))
        # Ranges move away from the old version one by one.
        self.apply(share_permille=1000)
        self.assertFalse(self.share.bars_owner("s", "v1"))
        self.apply(state=RolloutState.ROLLED_BACK, share_permille=0)
        self.assertTrue(self.share.bars_owner("s", "v2"))
        self.assertFalse(self.share.bars_owner("s", "v1"))


class ResultTests(VersionShareTestCase):
    """Guards against a completion while requests run, and against lost evidence."""

    def running(self):
        return {r.version: r.running for r in self.share.results() if not r.route}

    def counts(self, version, route):
        return next(
            r for r in self.share.results() if (r.version, r.route) == (version, route)
        )

    def test_nothing_is_reported_without_a_running_rollout(self):
        self.share.record_sent("a", "r", upstream("v1"))
        self.assertEqual(self.share.results(), [])
        self.apply(state=RolloutState.COMPLETED)
        self.assertEqual(self.share.results(), [])

    def test_requests_sent_before_the_order_are_running(self):
        self.share.record_sent("a", "r", upstream("v1"))
        self.apply()
        self.assertEqual(self.running(), {"v1": 1, "v2": 0})
        self.share.record_end("a", ANSWERED, 10.0, None)
        self.assertEqual(self.running(), {"v2": 0})

    def test_outcomes_are_counted_by_version_and_route(self):
        self.apply()
        outcomes = (
            ANSWERED,
            AttemptOutcome.SERVER_ERROR,
            AttemptOutcome.BROKEN,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.SHED,
            AttemptOutcome.CONNECT_FAILED,
        )
        for number, outcome in enumerate(outcomes):
            self.share.record_sent(f"a{number}", "r1", upstream("v2"))
            self.share.record_end(f"a{number}", outcome, 10.0, None)
        found = self.counts("v2", "r1")
        self.assertEqual((found.sent, found.failures, found.lost), (6, 1, 1))
        self.assertEqual(sum(found.latencies), 2)

    def test_counts_outlast_a_change_of_the_share_but_not_another_rollout(self):
        self.apply()
        self.share.record_sent("a", "r", upstream("v2"))
        self.apply(share_permille=1000)
        self.assertEqual(self.counts("v2", "r").sent, 1)
        self.apply(number=9)
        self.assertEqual([r.route for r in self.share.results()], [""])

    def test_time_in_the_queue_is_not_counted(self):
        self.apply()
        self.share.record_sent("a", "r", upstream("v2"))
        self.share.record_end("a", ANSWERED, 400.0, AnswerLoad(2, 6, 2, 1.0))
        latencies = self.counts("v2", "r").latencies
        self.assertAlmostEqual(bucket_ms(len(latencies) - 1), 100.0, delta=25.0)

    # Any version is slow at first, and a flooded upstream answers nothing.
    def test_only_failures_count_during_an_announced_cold_start(self):
        self.apply()
        cold = upstream("v2", UpstreamState.COLD)
        outcomes = (
            ANSWERED,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.BROKEN,
            AttemptOutcome.SERVER_ERROR,
        )
        for number, outcome in enumerate(outcomes):
            self.share.record_sent(f"a{number}", "r", cold)
            self.share.record_end(f"a{number}", outcome, 4000.0, None)
        found = self.counts("v2", "r")
        self.assertEqual((found.sent, found.failures, found.lost), (4, 1, 0))
        self.assertEqual(found.latencies, [])
        self.assertEqual(self.running(), {"v2": 0})

    def test_unknown_attempts_are_ignored(self):
        self.apply()
        self.share.record_end("x", ANSWERED, 1.0, None)
        self.assertEqual(self.running(), {"v2": 0})


if __name__ == "__main__":
    unittest.main()
