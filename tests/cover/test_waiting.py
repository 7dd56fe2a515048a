"""Waiting told apart from work, on sites of any work and target latency."""

import dataclasses
import random

import testtools

from currantshore.internal.steering.waiting import WaitShares
from tests.cover.steering_kit import ADDRESS, OTHER_ADDRESS, make_route

_TARGET_S = 0.375
_PER_S = 40


class WaitShareTests(testtools.TestCase):
    """Guards against refusals on a site whose work takes most of its target."""

    def setUp(self):
        super().setUp()
        self.waits = WaitShares()
        self.rng = random.Random(1)
        self.now_s = 100.0
        self.route = dataclasses.replace(
            make_route(), target_latency_s=_TARGET_S, timeout_s=2.0
        )

    def play(self, seconds, work_s, wait_s=0):
        """Return the middle share of the answers of ``seconds``."""
        shares = []
        for _ in range(round(seconds * _PER_S)):
            self.now_s += 1 / _PER_S
            latency_s = wait_s + work_s * self.rng.uniform(0.7, 1.3)
            shares.append(self.waits.note(self.route, latency_s, self.now_s))
        return sorted(shares)[len(shares) // 2]

    def test_work_of_most_of_the_target_is_no_queue(self):
        self.play(15, 0.25)
        self.assertLess(self.play(20, 0.25), 0.45)

    def test_a_queue_shows_whatever_the_work(self):
        for work_s in (0.01, 0.09, 0.25):
            self.waits = WaitShares()
            self.play(20, work_s)
            wait_s = 0.9 * (_TARGET_S - work_s)
            self.assertGreater(self.play(2, work_s, wait_s), 0.55, work_s)

    def test_a_flood_of_a_minute_does_not_become_the_work(self):
        self.play(20, 0.05)
        self.play(60, 0.05, wait_s=0.3)
        self.assertGreater(self.play(2, 0.05, wait_s=0.3), 0.55)

    def test_before_anything_is_known_work_is_a_fifth_of_the_target(self):
        self.assertGreater(self.play(2, 0.36), 0.55)
        self.assertLess(self.play(2, 0.08), 0.1)

    def test_work_beyond_the_target_is_judged_by_the_timeout(self):
        self.play(15, 0.5)
        self.assertLess(self.play(5, 0.5), 0.45)
        self.assertGreater(self.play(5, 0.5, wait_s=1.4), 0.55)

    def test_a_route_without_times_is_not_judged(self):
        self.route = dataclasses.replace(
            self.route, target_latency_s=0, timeout_s=0
        )
        self.assertEqual(0, self.play(15, 0.5))

    def test_routes_that_have_gone_are_forgotten(self):
        self.play(1, 0.1)
        self.waits.forget_gone({OTHER_ADDRESS})
        self.waits.forget_gone({ADDRESS})
        self.assertGreater(self.play(2, 0.36), 0.55)
