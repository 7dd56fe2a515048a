"""Which openings a full service gets, replayed from floods and false alarms."""

import dataclasses
import itertools
import random

import testtools

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.openinggate import OpeningGate
from currantshore.internal.steering.catalog import RequestKind
from tests.cover.steering_kit import (
    ADDRESS,
    OTHER_ADDRESS,
    SERVICE,
    make_core,
    make_entry,
    make_route,
    make_segment,
    make_table,
    number_of,
)

_USUAL_PER_S = 10
_IDLE_RATIO = 0.2
_FULL_RATIO = 0.9

# Refuses the less urgent and not yet the urgent.
_LATE_RATIO = 0.29


class GateKit(testtools.TestCase):
    """Plays openings and answers at steady rates."""

    def setUp(self):
        super().setUp()
        self.gate = OpeningGate(random.Random(1))
        self.now_s = 100.0

    def play(self, seconds, per_s, ratio, route=None, answers_per_s=70):
        """Return the part of the openings that was admitted."""
        opens = route or make_route()
        admitted = 0
        for step in range(seconds * answers_per_s):
            self.now_s += 1 / answers_per_s
            self.gate.note_answer(SERVICE, ratio, self.now_s)
            if (
                step * per_s // answers_per_s
                < (step + 1) * per_s // answers_per_s
            ):
                admitted += self.gate.admits(opens, SERVICE, self.now_s)
        return admitted / (seconds * per_s)


class FloodTests(GateKit):
    """Guards against queues that stand full and make every answer late."""

    def test_what_is_above_the_usual_rate_is_refused_while_queues_stand(self):
        self.play(20, _USUAL_PER_S, _IDLE_RATIO)
        admitted = self.play(4, 8 * _USUAL_PER_S, _FULL_RATIO, None, 80)
        self.assertLess(admitted, 0.25)
        self.assertGreaterEqual(admitted, 1 / 8)

    def test_a_flood_is_refused_before_its_answers_are_late(self):
        # Requests on open flows fill the same queues and are never refused.
        self.play(20, _USUAL_PER_S, _IDLE_RATIO)
        admitted = self.play(4, 8 * _USUAL_PER_S, 0.35, None, 80)
        self.assertLess(admitted, 0.25)

    def test_the_same_flood_is_admitted_while_answers_are_in_time(self):
        self.play(20, _USUAL_PER_S, _IDLE_RATIO)
        admitted = self.play(4, 8 * _USUAL_PER_S, _IDLE_RATIO, None, 80)
        self.assertEqual(1, admitted)

    def test_another_kind_keeps_its_usual_rate_in_a_flood(self):
        other = make_route(OTHER_ADDRESS)
        self.play(20, _USUAL_PER_S, _IDLE_RATIO, other)
        for _ in range(4):
            self.play(1, 8 * _USUAL_PER_S, _FULL_RATIO, None, 80)
            kept = self.play(1, _USUAL_PER_S, _FULL_RATIO, other)
            self.assertGreater(kept, 0.9)

    def test_a_new_route_opens_two_flows_a_second_in_a_flood(self):
        self.play(20, _USUAL_PER_S, _FULL_RATIO)
        admitted = self.play(10, 2, _FULL_RATIO, make_route(OTHER_ADDRESS))
        self.assertEqual(1, admitted)

    def test_a_flood_does_not_become_usual_while_it_lasts(self):
        self.play(20, _USUAL_PER_S, _IDLE_RATIO)
        self.play(30, 8 * _USUAL_PER_S, _FULL_RATIO, None, 80)
        admitted = self.play(4, 8 * _USUAL_PER_S, _FULL_RATIO, None, 80)
        self.assertLess(admitted, 0.25)

    def test_a_host_that_has_just_started_knows_the_usual_rate_soon(self):
        self.play(3, 4 * _USUAL_PER_S, _IDLE_RATIO, None, 80)
        admitted = self.play(2, 4 * _USUAL_PER_S, _FULL_RATIO, None, 80)
        self.assertGreater(admitted, 0.8)

    def test_all_is_admitted_again_once_answers_are_in_time(self):
        self.play(20, _USUAL_PER_S, _IDLE_RATIO)
        self.play(4, 8 * _USUAL_PER_S, _FULL_RATIO, None, 80)
        self.play(1, 1, _IDLE_RATIO)
        self.assertEqual(1, self.play(4, 4 * _USUAL_PER_S, _IDLE_RATIO))


class UrgencyTests(GateKit):
    """Guards against urgent work that pays for a flood of all kinds."""

    def setUp(self):
        super().setUp()
        self.feed = make_route()
        self.checkout = dataclasses.replace(
            make_route(OTHER_ADDRESS), priority=self.feed.priority - 1
        )
        for _ in range(20):
            self.play(1, _USUAL_PER_S, _IDLE_RATIO, self.feed)
            self.play(1, _USUAL_PER_S, _IDLE_RATIO, self.checkout)

    def flood(self, ratio):
        """Return which part of each route's flood is admitted."""
        admitted = []
        for route in (self.feed, self.checkout):
            self.play(1, 8 * _USUAL_PER_S, ratio, route, 80)
            admitted.append(self.play(3, 8 * _USUAL_PER_S, ratio, route, 80))
        return admitted

    def test_the_less_urgent_are_refused_before_the_urgent(self):
        feed, checkout = self.flood(_LATE_RATIO)
        self.assertLess(feed, 0.3)
        self.assertEqual(1, checkout)

    def test_a_flood_that_fills_the_queues_is_refused_whatever_its_urgency(
        self,
    ):
        for admitted in self.flood(_FULL_RATIO):
            self.assertLess(admitted, 0.25)

    def test_one_priority_alone_is_refused_as_the_least_urgent(self):
        gate = OpeningGate(random.Random(1))
        self.gate = gate
        self.play(20, _USUAL_PER_S, _IDLE_RATIO, self.checkout)
        self.play(1, 8 * _USUAL_PER_S, _LATE_RATIO, self.checkout, 80)
        admitted = self.play(
            3, 8 * _USUAL_PER_S, _LATE_RATIO, self.checkout, 80
        )
        self.assertLess(admitted, 0.3)


class ForgettingTests(GateKit):
    """Guards against a host that grows with every route that ever was."""

    def test_routes_and_services_that_have_gone_are_forgotten(self):
        self.play(2, _USUAL_PER_S, _IDLE_RATIO)
        self.play(2, _USUAL_PER_S, _IDLE_RATIO, make_route(OTHER_ADDRESS))
        self.gate.forget_gone({ADDRESS}, self.now_s)
        self.assertEqual((1, 1), self.gate.sizes())
        self.gate.forget_gone({}, self.now_s + 2)
        self.assertEqual((0, 0), self.gate.sizes())


class FalseAlarmTests(GateKit):
    """Guards against refusals while servers have free slots."""

    def test_a_few_slow_servers_refuse_nobody(self):
        self.play(20, _USUAL_PER_S, _IDLE_RATIO)
        admitted = 0
        for step in range(400):
            self.now_s += 0.01
            ratio = 3.0 if step % 3 == 0 else _IDLE_RATIO
            self.gate.note_answer(SERVICE, ratio, self.now_s)
            admitted += self.gate.admits(make_route(), SERVICE, self.now_s)
        self.assertEqual(400, admitted)

    def test_few_answers_refuse_nobody(self):
        admitted = self.play(5, 5, _FULL_RATIO, None, 6)
        self.assertEqual(1, admitted)

    def test_old_answers_refuse_nobody(self):
        self.play(5, _USUAL_PER_S, _FULL_RATIO)
        self.now_s += 1.5
        admits = [
            self.gate.admits(make_route(), SERVICE, self.now_s)
            for _ in range(50)
        ]
        self.assertTrue(all(admits))


class CoreTests(testtools.TestCase):
    """Guards against openings that are judged by what shows no queue."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1)])
        self.now_s = 100.0

    def answer(self, latency_s, segments=1):
        """Play overlapping requests on server 1 that take ``latency_s``."""
        begin_s = self.now_s
        asked = make_segment(1, size=9)
        answered = make_segment(1, 10, 500)
        moments = []
        for number in range(16):
            asked_s = begin_s + number * 0.01
            moments += itertools.repeat((asked_s, number, asked), segments)
            moments.append((asked_s + latency_s, number, answered))
        for at_s, number, segment in sorted(moments):
            self.now_s = at_s
            self.core.tick(at_s)
            key = b'flow-%d' % number
            self.core.on_segment(key, ADDRESS, segment, at_s)

    def open(self):
        placed = set()
        for number in range(50):
            key = b'new-%d' % number
            found = self.core.on_opening(key, ADDRESS, b'syn', self.now_s)
            is_refused = isinstance(found, FlowRefusal)
            placed.add(found if is_refused else number_of(found))
        return placed

    def test_late_answers_refuse_new_flows_truthfully(self):
        self.answer(0.24)
        self.assertIn(FlowRefusal.SERVICE_FULL, self.open())
        self.assertTrue(FlowRefusal.SERVICE_FULL.is_told)

    def test_a_copy_that_came_through_another_host_first_is_not_refused(self):
        # Its flow may be open by now, and a reset would end it.
        self.answer(0.24)
        for number in range(50):
            key = b'new-%d' % number
            found = self.core.on_opening(
                key, ADDRESS, b'syn', self.now_s, is_copy=True
            )
            self.assertEqual(1, number_of(found))

    def test_an_open_flow_is_never_refused(self):
        self.answer(0.24)
        asked = make_segment(1, 10, 500, size=9)
        found = self.core.on_segment(b'flow-0', ADDRESS, asked, self.now_s)
        self.assertEqual(1, number_of(found))

    def test_a_request_that_was_sent_again_shows_no_queue(self):
        # After a cut has healed, many late answers come at once.
        self.answer(0.24, segments=2)
        self.assertEqual({1}, self.open())

    def test_what_an_upload_takes_shows_no_queue(self):
        upload = dataclasses.replace(make_route(), kind=RequestKind.UPLOAD)
        self.core.configure(make_table(2, [upload]))
        self.answer(0.24)
        self.assertEqual({1}, self.open())

    def test_answers_after_a_stall_of_this_host_show_no_queue(self):
        for number in range(16):
            key = b'flow-%d' % number
            asked = make_segment(1, size=9)
            self.core.on_segment(key, ADDRESS, asked, self.now_s)
        self.now_s += 0.3
        for number in range(16):
            key = b'flow-%d' % number
            answered = make_segment(1, 10, 500)
            self.core.on_segment(key, ADDRESS, answered, self.now_s)
        self.assertEqual({1}, self.open())
