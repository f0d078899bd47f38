import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotdrift.retry_policy import FailedAttempt, RetryBudget, may_retry


class RetryRulesTests(unittest.TestCase):
    def test_non_idempotent_request_of_unknown_outcome_is_never_retried(self):
        self.assertFalse(may_retry(FailedAttempt(False, False, True, 1000)))

    def test_not_run_or_idempotent_is_retried_if_the_body_can_be_resent(self):
        for not_run, idempotent in ((True, False), (False, True)):
            self.assertTrue(may_retry(FailedAttempt(not_run, idempotent, True, 1)))
            self.assertFalse(may_retry(FailedAttempt(not_run, idempotent, False, 1)))
            self.assertFalse(may_retry(FailedAttempt(not_run, idempotent, True, 0)))


class RetryBudgetTests(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 200)), max_size=300))
    def test_retries_of_a_second_stay_within_the_budget(self, steps):
        budget = RetryBudget()
        now = 0.0
        requests: list[float] = []
        retries: list[float] = []
        for is_retry, gap in steps:
            now += gap
            if not is_retry:
                budget.count_request(now)
                requests.append(now)
                continue
            recent = sum(at > now - 1000 for at in requests)
            spent = sum(at > now - 1000 for at in retries)
            allowed = budget.take(now)
            self.assertEqual(allowed, spent + 1 <= max(3.0, 0.1 * recent))
            retries += [now] if allowed else []
