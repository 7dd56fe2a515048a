"""Tests of the detection of backends that are slow or have just started."""

import testtools

from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.slowness import SlownessTracker, slowness
from tests.cover.steering_kit import (
    ADDRESS,
    OTHER_ADDRESS,
    make_core,
    make_entry,
    make_route,
    make_segment,
    number_of,
)

_USUAL_S = 0.02
_SLOW_S = 0.1
_STEP_S = 0.005
_ALL_USUAL = (_USUAL_S, _USUAL_S, _USUAL_S, _USUAL_S)
_ALL_SLOW = (_SLOW_S, _SLOW_S, _SLOW_S, _SLOW_S)
_LAST_SLOW = (_USUAL_S, _USUAL_S, _USUAL_S, _SLOW_S)
_NONE_SLOW = [1, 1, 1, 1]


class SlownessKit(testtools.TestCase):
    """Records answers of backends with given latencies."""

    def setUp(self):
        super().setUp()
        self.tracker = SlownessTracker()
        self.now_s = 100.0
        self.backends = [
            Backend(make_entry(number), self.now_s) for number in range(1, 5)
        ]

    def simulate(self, latencies_s, rounds=20, route=None):
        """Record answers of all backends in turn; return their slowness."""
        answered = route or make_route()
        for _ in range(rounds):
            for index, latency_s in enumerate(latencies_s):
                self.now_s += _STEP_S
                self.tracker.record(
                    answered, self.backends[index], latency_s, self.now_s
                )
        return [slowness(backend, self.now_s) for backend in self.backends]


class SlownessTests(SlownessKit):
    """Guards against new flows at a backend whose answers take long."""

    def test_a_backend_with_several_times_the_usual_latency_is_slow(self):
        *usual, slow = self.simulate(_LAST_SLOW)
        self.assertEqual([1, 1, 1], usual)
        self.assertGreater(slow, 3)

    def test_no_backend_is_slow_in_a_flood_that_makes_all_late(self):
        self.simulate(_ALL_USUAL)
        self.assertEqual(_NONE_SLOW, self.simulate(_ALL_SLOW, rounds=60))

    def test_the_delay_to_another_zone_does_not_count(self):
        slowness_ratios = self.simulate(
            [_USUAL_S, _USUAL_S, _USUAL_S, _USUAL_S * 1.4]
        )
        self.assertEqual(_NONE_SLOW, slowness_ratios)

    def test_routes_with_longer_requests_do_not_make_a_backend_slow(self):
        self.simulate(_ALL_USUAL)
        longer = self.simulate(_ALL_SLOW, route=make_route(OTHER_ADDRESS))
        self.assertEqual(_NONE_SLOW, longer)

    def test_the_slowness_of_a_backend_without_requests_halves(self):
        slow = self.simulate(_LAST_SLOW)[-1]
        later = slowness(self.backends[-1], self.now_s + 2)
        self.assertAlmostEqual((slow - 1) / 2, later - 1)

    def test_a_backend_that_is_fast_again_is_not_slow(self):
        self.simulate(_LAST_SLOW)
        self.assertEqual(_NONE_SLOW, self.simulate(_ALL_USUAL))

    def test_a_first_latency_of_zero_does_not_end_the_measurement(self):
        # A paused host reads a request and the packet that acknowledges its
        # answer in one batch, at the same time.
        self.simulate((0.0,), rounds=1)
        *usual, slow = self.simulate(_LAST_SLOW, rounds=60)
        self.assertEqual([1, 1, 1], usual)
        self.assertGreater(slow, 1)

    def test_routes_that_have_gone_are_forgotten(self):
        self.simulate(_ALL_USUAL)
        self.tracker.forget_gone({})
        # The first answer of a new route is its first estimate of usual.
        self.assertEqual(_NONE_SLOW, self.simulate(_ALL_SLOW, rounds=1))


class PlacementTests(testtools.TestCase):
    """Guards against new flows at a slow backend with a queue.

    The queue consists of requests from other hosts.
    """

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1), make_entry(2), make_entry(3)])
        self.now_s = 100.0

    def simulate(self, seconds, slow_number):
        """Serve flows one by one; return how many the slow backend got."""
        slow = 0
        for step in range(round(seconds / _STEP_S)):
            self.now_s += _STEP_S
            self.core.tick(self.now_s)
            key = b'%d-%d' % (slow_number, step)
            backend = self.core.on_opening(key, ADDRESS, b'syn', self.now_s)
            number = number_of(backend)
            is_slow = number == slow_number
            slow += is_slow
            self.serve(key, number, _SLOW_S if is_slow else _USUAL_S)
        return slow

    def serve(self, key, number, latency_s):
        request = make_segment(number, size=9)
        answered = make_segment(number, 10, 500, is_end=True)
        requested_s = self.now_s - latency_s
        self.core.on_segment(key, ADDRESS, make_segment(number), requested_s)
        self.core.on_segment(key, ADDRESS, request, requested_s)
        self.core.on_segment(key, ADDRESS, answered, self.now_s)

    def test_a_slow_backend_gets_few_flows_while_others_are_free(self):
        self.simulate(1, slow_number=9)
        self.assertLess(self.simulate(2, slow_number=2), 400 / 3 / 4)

    def test_a_backend_that_restarts_counts_as_new(self):
        self.simulate(2, slow_number=2)
        backend = self.core.directory.get('i-00000002')
        self.assertGreater(slowness(backend, self.now_s), 1)
        again = make_entry(2, revision=2, started_ms=2)
        self.core.apply_backend_changes([again], 2, self.now_s)
        self.assertEqual(1, slowness(backend, self.now_s))
