"""A quantile that is followed in constant memory."""

import random

import testtools

from currantshore.internal.steering.quantiles import RunningQuantile


class RunningQuantileTests(testtools.TestCase):
    """Guards against an estimate that a few outliers or a prior rule."""

    def follow(self, count, mean, seed=1, prior=1.0):
        rng = random.Random(seed)
        quantile = RunningQuantile(0.95, prior)
        for _ in range(count):
            quantile.note(rng.expovariate(1 / mean))
        return quantile.estimate

    def test_it_lies_near_the_quantile(self):
        for seed in range(5):
            found = self.follow(4000, mean=1.0, seed=seed)
            # The 95th percentile of this distribution is 3.0 means.
            self.assertGreater(found, 1.8)
            self.assertLess(found, 4.5)

    def test_a_prior_far_below_gives_way_soon(self):
        self.assertGreater(self.follow(300, mean=1.0, prior=0.01), 1.5)
