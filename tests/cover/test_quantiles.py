"""Tests of the quantile estimate in constant memory."""

import random

import testtools

from currantshore.internal.steering.quantiles import RunningQuantile


class RunningQuantileTests(testtools.TestCase):
    """Guards against an estimate dominated by outliers or by the prior."""

    def estimate_quantile(self, count, mean, seed=1, prior=1.0):
        rng = random.Random(seed)
        quantile = RunningQuantile(0.95, prior)
        for _ in range(count):
            quantile.record(rng.expovariate(1 / mean))
        return quantile.estimate

    def test_the_estimate_is_near_the_quantile(self):
        for seed in range(5):
            estimate = self.estimate_quantile(4000, mean=1.0, seed=seed)
            # The 95th percentile of this distribution is 3.0 times the mean.
            self.assertGreater(estimate, 1.8)
            self.assertLess(estimate, 4.5)

    def test_a_prior_far_below_soon_no_longer_matters(self):
        self.assertGreater(
            self.estimate_quantile(300, mean=1.0, prior=0.01), 1.5
        )
