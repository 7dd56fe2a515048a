"""How slow servers show, replayed from servers that turn slow or are cold."""

import testtools

from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.slowness import Slownesses, slowness
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
    """Notes answers of servers of given latencies."""

    def setUp(self):
        super().setUp()
        self.slownesses = Slownesses()
        self.now_s = 100.0
        self.backends = [
            Backend(make_entry(number), self.now_s) for number in range(1, 5)
        ]

    def play(self, latencies_s, rounds=20, route=None):
        """Let server by server answer; return how slow each one counts."""
        answered = route or make_route()
        for _ in range(rounds):
            for place, latency_s in enumerate(latencies_s):
                self.now_s += _STEP_S
                self.slownesses.note(
                    answered, self.backends[place], latency_s, self.now_s
                )
        return [slowness(one, self.now_s) for one in self.backends]


class SlownessTests(SlownessKit):
    """Guards against flows that go on to a server whose answers take long."""

    def test_a_server_of_several_times_the_usual_latency_counts_as_slow(self):
        *usual, slow = self.play(_LAST_SLOW)
        self.assertEqual([1, 1, 1], usual)
        self.assertGreater(slow, 3)

    def test_in_a_flood_that_makes_all_late_no_server_counts_as_slow(self):
        self.play(_ALL_USUAL)
        self.assertEqual(_NONE_SLOW, self.play(_ALL_SLOW, rounds=60))

    def test_a_way_to_another_zone_does_not_count(self):
        found = self.play([_USUAL_S, _USUAL_S, _USUAL_S, _USUAL_S * 1.4])
        self.assertEqual(_NONE_SLOW, found)

    def test_routes_of_longer_work_do_not_make_a_server_slow(self):
        self.play(_ALL_USUAL)
        longer = self.play(_ALL_SLOW, route=make_route(OTHER_ADDRESS))
        self.assertEqual(_NONE_SLOW, longer)

    def test_a_server_that_gets_no_requests_is_tried_again(self):
        slow = self.play(_LAST_SLOW)[-1]
        later = slowness(self.backends[-1], self.now_s + 2)
        self.assertAlmostEqual((slow - 1) / 2, later - 1)

    def test_a_server_that_is_fast_again_counts_as_the_others(self):
        self.play(_LAST_SLOW)
        self.assertEqual(_NONE_SLOW, self.play(_ALL_USUAL))

    def test_routes_that_have_gone_are_forgotten(self):
        self.play(_ALL_USUAL)
        self.slownesses.forget_gone({})
        # Nothing is usual of a route that is new: its first answer is.
        self.assertEqual(_NONE_SLOW, self.play(_ALL_SLOW, rounds=1))


class PlacementTests(testtools.TestCase):
    """Guards against a queue at a slow server that other hosts have built."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1), make_entry(2), make_entry(3)])
        self.now_s = 100.0

    def play(self, seconds, slow_number):
        """Serve one flow after the other; return those of the slow server."""
        slow = 0
        for step in range(round(seconds / _STEP_S)):
            self.now_s += _STEP_S
            self.core.tick(self.now_s)
            key = b'%d-%d' % (slow_number, step)
            placed = self.core.on_opening(key, ADDRESS, b'syn', self.now_s)
            number = number_of(placed)
            is_slow = number == slow_number
            slow += is_slow
            self.serve(key, number, _SLOW_S if is_slow else _USUAL_S)
        return slow

    def serve(self, key, number, latency_s):
        asked = make_segment(number, size=9)
        answered = make_segment(number, 10, 500, is_end=True)
        asked_s = self.now_s - latency_s
        self.core.on_segment(key, ADDRESS, make_segment(number), asked_s)
        self.core.on_segment(key, ADDRESS, asked, asked_s)
        self.core.on_segment(key, ADDRESS, answered, self.now_s)

    def test_a_slow_server_gets_few_flows_while_others_are_free(self):
        self.play(1, slow_number=9)
        self.assertLess(self.play(2, slow_number=2), 400 / 3 / 4)

    def test_a_server_that_starts_again_counts_as_new(self):
        self.play(2, slow_number=2)
        backend = self.core.directory.get('i-00000002')
        self.assertGreater(slowness(backend, self.now_s), 1)
        again = make_entry(2, revision=2, started_ms=2)
        self.core.change_backends([again], 2, self.now_s)
        self.assertEqual(1, slowness(backend, self.now_s))
