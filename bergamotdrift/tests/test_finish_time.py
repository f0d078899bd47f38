import unittest

from bergamotdrift.dialect import AnswerLoad
from bergamotdrift.direct_load import DirectLoad
from bergamotdrift.finish_time import (
    QUEUE_PLACES,
    ROUTE_WORK_TTL_MS,
    RouteWork,
    Speed,
    UpstreamView,
    has_place,
    predict,
)
from bergamotdrift.messages import UpstreamRow, UpstreamState
from bergamotdrift.own_requests import OwnRequests

SLOTS = 3
WORK_MS = 80.0
ROW = UpstreamRow("s", "u", "10.0.0.1:1", "a", "1", UpstreamState.READY, SLOTS)


class PredictionTests(unittest.TestCase):
    """Guards against a queue that is noticed only once answers are late.

    Load: the queue at an upstream grows.
    """

    def wait_ms(self, others, **changes):
        view = UpstreamView(SLOTS, others=others)._replace(**changes)
        return predict(view, WORK_MS).wait_ms

    def test_wait_grows_with_the_queue(self):
        self.assertEqual(self.wait_ms(2.0), 0.0)
        self.assertAlmostEqual(self.wait_ms(3.0), WORK_MS / SLOTS)
        self.assertAlmostEqual(self.wait_ms(8.0), 2 * WORK_MS)
        self.assertAlmostEqual(self.wait_ms(3.0, own=5), 2 * WORK_MS)

    def test_slow_upstream_takes_longer(self):
        finish = predict(UpstreamView(SLOTS, others=3.0, speed=2.0), WORK_MS)
        self.assertEqual(finish.work_ms, 2 * WORK_MS)
        self.assertAlmostEqual(finish.wait_ms, 2 * WORK_MS / SLOTS)

    def test_queue_is_measured_in_the_work_of_what_waits(self):
        self.assertAlmostEqual(self.wait_ms(5.0, busy_ms=300.0), 300.0)

    def test_own_request_that_is_overdue_shows_a_queue_without_a_report(self):
        self.assertEqual(self.wait_ms(0.0, own=1, oldest_ms=2 * WORK_MS), 0.0)
        self.assertGreater(self.wait_ms(0.0, own=1, oldest_ms=5 * WORK_MS), WORK_MS)

    def test_queue_places_are_bounded(self):
        self.assertTrue(has_place(UpstreamView(SLOTS, 0, SLOTS + QUEUE_PLACES - 1)))
        self.assertFalse(has_place(UpstreamView(SLOTS, 0, SLOTS + QUEUE_PLACES)))
        self.assertFalse(has_place(UpstreamView(SLOTS, 1, SLOTS + QUEUE_PLACES - 1)))


class ReportAgeTests(unittest.TestCase):
    """Guards against refusals that follow from a missing or an old report."""

    def setUp(self):
        self.load = DirectLoad(ROW, SLOTS)

    def wait_ms(self, now_ms):
        return predict(self.load.view(now_ms), WORK_MS).wait_ms

    def test_upstream_without_a_report_counts_as_idle(self):
        self.assertEqual(self.wait_ms(0.0), 0.0)

    def test_report_counts_for_less_the_older_it_is(self):
        self.load.record_load(AnswerLoad(3, 9, SLOTS), 0.0)
        waits = [self.wait_ms(at) for at in (0.0, 200.0, 400.0, 800.0)]
        self.assertAlmostEqual(waits[0], 10 * WORK_MS / SLOTS)
        self.assertEqual(waits, sorted(waits, reverse=True))
        self.assertEqual(waits[-1], 0.0)

    def test_only_a_recent_report_shows_a_free_slot(self):
        self.assertFalse(self.load.has_free_slot(0.0))
        self.load.record_load(AnswerLoad(1, 0, SLOTS), 0.0)
        self.assertTrue(self.load.has_free_slot(100.0))
        self.load.in_flight = 2
        self.assertFalse(self.load.has_free_slot(100.0))
        self.load.in_flight = 0
        self.assertFalse(self.load.has_free_slot(500.0))


class SpeedTests(unittest.TestCase):
    """Guards against a slow upstream that is refused what it could do in time."""

    def test_stated_slowness_is_not_counted_twice(self):
        work, speed = RouteWork(), Speed()
        for at in range(50):
            work.record("r", 3 * WORK_MS / 3.0, float(at))
            speed.record(3 * WORK_MS, 3.0, work.mean_ms("r", float(at)))
        self.assertAlmostEqual(work.mean_ms("r", 50.0), WORK_MS)
        self.assertAlmostEqual(speed.estimate(3.0, 1.0), 3.0, delta=0.1)

    def test_slowness_that_is_not_stated_is_learned(self):
        speed = Speed()
        for _ in range(50):
            speed.record(2 * WORK_MS, 1.0, WORK_MS)
        self.assertAlmostEqual(speed.estimate(1.0, 1.0), 2.0, delta=0.1)

    def test_recovery_shows_in_the_next_report(self):
        speed = Speed()
        for _ in range(50):
            speed.record(3 * WORK_MS, 3.0, WORK_MS)
        self.assertAlmostEqual(speed.estimate(1.0, 1.0), 1.0, delta=0.1)

    # Guards against a route refused for ever, as no answer can correct its work.
    def test_work_without_recent_answers_is_unknown(self):
        work = RouteWork()
        work.record("r", 5000.0, 0.0)
        self.assertEqual(work.mean_ms("r", ROUTE_WORK_TTL_MS - 1), 5000.0)
        self.assertEqual(work.mean_ms("r", ROUTE_WORK_TTL_MS), 0.0)
        work.record("r", 50.0, ROUTE_WORK_TTL_MS)
        self.assertEqual(work.mean_ms("r", ROUTE_WORK_TTL_MS), 50.0)


class SilenceTests(unittest.TestCase):
    """Guards against waiting for answers that never come.

    Load: an upstream that never answers, as its queue was full.
    """

    def setUp(self):
        self.own = OwnRequests()
        self.silent_ms = predict(UpstreamView(SLOTS), WORK_MS).silent_after_ms(SLOTS)

    def test_limit_is_longer_than_a_full_queue(self):
        full_queue_ms = WORK_MS * (1 + QUEUE_PLACES / SLOTS)
        self.assertGreater(self.silent_ms, 1.4 * full_queue_ms)
        self.assertLess(self.silent_ms, 10 * WORK_MS)

    def test_ignored_request_counts_neither_as_load_nor_as_age(self):
        self.own.add("p1", self.silent_ms, 0.0)
        self.assertEqual(self.own.oldest_ms(300.0), 300.0)
        self.assertEqual(self.own.silent(self.silent_ms), 1)
        self.assertEqual(self.own.oldest_ms(self.silent_ms), 0.0)

    def test_upstream_is_suspect_until_it_answers(self):
        self.own.add("p1", self.silent_ms, 0.0)
        self.assertFalse(self.own.is_suspect(100.0))
        self.assertTrue(self.own.is_suspect(self.silent_ms))
        self.assertTrue(self.own.remove("p1", self.silent_ms))
        self.assertTrue(self.own.is_suspect(self.silent_ms + 1))
        self.own.record_answer(self.silent_ms + 50)
        self.assertFalse(self.own.is_suspect(self.silent_ms + 51))

    def test_suspect_upstream_is_sent_one_request_at_a_time(self):
        load = DirectLoad(ROW, SLOTS)
        load.own.add("p1", self.silent_ms, 0.0)
        load.in_flight = 1
        self.assertTrue(load.may_take(54, 100.0))
        self.assertTrue(load.may_take(54, self.silent_ms))
        load.own.add("p2", self.silent_ms, self.silent_ms)
        load.in_flight = 2
        self.assertFalse(load.may_take(54, self.silent_ms + 10))

    def test_request_that_is_answered_late_is_no_silence(self):
        self.own.add("p1", self.silent_ms, 0.0)
        self.assertFalse(self.own.remove("p1", 200.0))
        self.assertFalse(self.own.is_suspect(201.0))


if __name__ == "__main__":
    unittest.main()
