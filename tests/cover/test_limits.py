"""Tests of adaptive limits and the retry budget."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore.internal.requests.limits import AdaptiveLimit
from currantshore.internal.requests.retrybudget import RetryBudget

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


class AdaptiveLimitTests(testtools.TestCase):
    """Guards against limits that never fall or never recover."""

    def test_sheds_lower_and_successes_raise_it(self):
        limit = AdaptiveLimit(8)
        for step in range(4):
            limit.on_shed(step, 0)
        self.assertEqual(1, limit.allowed(1.0))
        for _ in range(60):
            limit.on_success()
        self.assertEqual(8, limit.allowed(1.0))

    def test_sheds_of_one_moment_count_once(self):
        limit = AdaptiveLimit(8)
        for _ in range(9):
            limit.on_shed(1.0, 0)
        self.assertEqual(5, limit.allowed(1.0))

    def test_the_pause_is_as_requested_up_to_a_limit(self):
        limit = AdaptiveLimit(8)
        limit.on_shed(0, 3600)
        self.assertTrue(limit.is_paused(0.9))
        self.assertFalse(limit.is_paused(1.1))

    @given(
        st.lists(st.sampled_from(['shed', 'timeout', 'success'])),
        st.floats(0, 1),
    )
    def test_it_stays_between_one_and_the_ceiling(self, signals, ratio):
        limit = AdaptiveLimit(5)
        for step, signal in enumerate(signals):
            match signal:
                case 'shed':
                    limit.on_shed(step, 0)
                case 'timeout':
                    limit.on_timeout(step)
                case _:
                    limit.on_success()
            self.assertIn(limit.allowed(ratio), range(1, 6))

    def test_a_lower_ceiling_applies_at_once(self):
        limit = AdaptiveLimit(8)
        limit.cap(2)
        self.assertEqual(2, limit.allowed(1.0))


class RetryBudgetTests(testtools.TestCase):
    """Guards against retries that amplify an overload."""

    def spend(self, budget, now_s):
        spent = 0
        while budget.spend(now_s):
            spent += 1
        return spent

    def test_a_tenth_of_the_requests_and_a_small_floor(self):
        budget = RetryBudget()
        for _ in range(100):
            budget.on_request(0)
        self.assertIn(self.spend(budget, 0), (10, 11))

    def test_the_floor_comes_back_each_second(self):
        budget = RetryBudget()
        self.spend(budget, 0)
        self.assertEqual(3, self.spend(budget, 3))

    def test_retries_of_quiet_hours_are_bounded(self):
        budget = RetryBudget()
        self.spend(budget, 0)
        self.assertEqual(20, self.spend(budget, 3600))
