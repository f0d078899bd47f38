import unittest

from bergamotdrift.deadline_admission import (
    KIND_TTL_MS,
    LESS_URGENT_PART,
    Decision,
    Kind,
    LessUrgentShare,
    Reason,
    RecentKinds,
    RequestTerms,
    decide,
)
from bergamotdrift.finish_time import FinishTime

SLOTS = 3
LOOKUP = Kind(0, 289, 80.7)
CAB = Kind(1, 437, 101.0)
LEDGER = Kind(2, 1220, 200.0)
KINDS = (LOOKUP, CAB, LEDGER)


def terms(kind, left_ms=2500.0):
    return RequestTerms(kind.rank, kind.target_ms, left_ms)


def decided(kind, wait_ms, kinds=KINDS, **changes):
    finish = FinishTime(wait_ms, kind.work_ms)
    return decide(finish, terms(kind)._replace(**changes), kinds, SLOTS)


class TargetTests(unittest.TestCase):
    """Guards against a queue in which no answer is on time any more.

    Load: short targets beside long ones.
    """

    def test_request_in_a_short_queue_is_sent(self):
        for kind in KINDS:
            decision = decided(kind, 50.0)
            self.assertEqual(decision, Decision(True, Reason.ON_TIME))

    def test_request_that_would_be_late_is_refused_with_the_time_of_room(self):
        decision = decided(LOOKUP, 300.0, kinds=[LOOKUP])
        self.assertEqual((decision.admitted, decision.reason), (False, Reason.LATE))
        self.assertAlmostEqual(
            decision.room_in_ms, 300.0 + 80.7 / 3 - LOOKUP.longest_wait_ms
        )

    def test_late_request_that_delays_no_one_is_sent(self):
        # The caller's target has passed, but the queue is short.
        decision = decided(LOOKUP, 40.0, target_left_ms=-100.0)
        self.assertEqual(decision, Decision(True, Reason.LATE_HARMLESS))

    def test_late_request_is_sent_if_no_kind_can_be_on_time(self):
        slow = Kind(0, 289, 400.0)
        self.assertTrue(decided(slow, 200.0, kinds=[slow]).admitted)

    def test_request_that_would_miss_its_deadline_is_refused(self):
        for wait_ms in (0.0, 50.0):
            decision = decided(LOOKUP, wait_ms, left_ms=60.0)
            self.assertEqual(decision.reason, Reason.DEADLINE)
            self.assertFalse(decision.admitted)

    # Guards against an idle upstream that is refused work since it is slow.
    def test_idle_upstream_is_sent_what_it_answers_late(self):
        decision = decide(FinishTime(0.0, 900.0), terms(LOOKUP), KINDS, SLOTS)
        self.assertEqual(decision, Decision(True, Reason.IDLE))

    def test_request_without_a_target_waits_until_its_deadline(self):
        self.assertTrue(decided(LOOKUP, 900.0, kinds=[], target_left_ms=None).admitted)


class RankTests(unittest.TestCase):
    """Guards against less urgent requests that make more urgent ones late, or starve.

    Load: less urgent requests, with longer targets, beside more urgent ones.
    """

    def test_less_urgent_request_does_not_fill_the_queue(self):
        self.assertTrue(decided(CAB, 100.0).admitted)
        decision = decided(CAB, 190.0)
        self.assertEqual(decision.reason, Reason.LESS_URGENT)
        self.assertFalse(decision.admitted)

    def test_more_urgent_request_is_not_refused_for_a_less_urgent_one(self):
        short = Kind(2, 150, 50.0)
        self.assertTrue(decided(LOOKUP, 150.0, kinds=[LOOKUP, short]).admitted)

    def test_less_urgent_request_uses_the_queue_if_nothing_else_is_asked_for(self):
        self.assertTrue(decided(CAB, 300.0, kinds=[CAB]).admitted)

    def test_a_part_of_the_less_urgent_is_served(self):
        share, sent = LessUrgentShare(), 0
        refused = Decision(False, Reason.LESS_URGENT, 50.0)
        for _ in range(400):
            decision = share.apply("s", 1, refused)
            share.record("s", 1, decision.reason)
            sent += decision.admitted
        self.assertAlmostEqual(sent / 400, LESS_URGENT_PART, delta=0.01)

    def test_share_does_not_grow_with_what_was_sent_in_turn(self):
        share = LessUrgentShare()
        for _ in range(100):
            share.record("s", 1, Reason.ON_TIME)
        refused = Decision(False, Reason.LESS_URGENT, 50.0)
        self.assertFalse(share.apply("s", 1, refused).admitted)

    def test_share_admits_nothing_that_is_late(self):
        share = LessUrgentShare()
        for _ in range(10):
            share.record("s", 1, Reason.LESS_URGENT)
        late = Decision(False, Reason.LATE, 50.0)
        self.assertFalse(share.apply("s", 1, late).admitted)

    def test_kind_that_is_no_longer_asked_for_is_forgotten(self):
        kinds = RecentKinds()
        kinds.record("s", "lookup", LOOKUP, 0.0)
        kinds.record("s", "other", Kind(3, 0, 10.0), 0.0)
        self.assertEqual(kinds.of("s", 1.0), [LOOKUP])
        self.assertEqual(kinds.of("s", KIND_TTL_MS), [])


if __name__ == "__main__":
    unittest.main()
