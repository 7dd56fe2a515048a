"""Tests of the opening gate in floods and in false alarms."""

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
_IDLE_SHARE = 0.2
_FULL_SHARE = 0.9

# At this wait share, less urgent openings are refused and urgent ones are not.
_LATE_SHARE = 0.29


class GateKit(testtools.TestCase):
    """Simulates openings and answers at constant rates."""

    def setUp(self):
        super().setUp()
        self.gate = OpeningGate(random.Random(1))
        self.now_s = 100.0

    def simulate(
        self, seconds, per_s, wait_share, route=None, answers_per_s=70
    ):
        """Return the share of the openings that was admitted."""
        opened_route = route or make_route()
        admitted = 0
        for step in range(seconds * answers_per_s):
            self.now_s += 1 / answers_per_s
            self.gate.record_answer(SERVICE, wait_share, self.now_s)
            if (
                step * per_s // answers_per_s
                < (step + 1) * per_s // answers_per_s
            ):
                admitted += self.gate.admits(opened_route, SERVICE, self.now_s)
        return admitted / (seconds * per_s)


class FloodTests(GateKit):
    """Guards against queues that stay full and make every answer late."""

    def test_openings_above_the_usual_rate_are_refused_while_queues_are_full(
        self,
    ):
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE)
        admitted = self.simulate(4, 8 * _USUAL_PER_S, _FULL_SHARE, None, 80)
        self.assertLess(admitted, 0.25)
        self.assertGreaterEqual(admitted, 1 / 8)

    def test_a_flood_is_refused_before_its_answers_are_late(self):
        # Requests on open flows fill the same queues but are never refused.
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE)
        admitted = self.simulate(4, 8 * _USUAL_PER_S, 0.35, None, 80)
        self.assertLess(admitted, 0.25)

    def test_the_same_flood_is_admitted_while_answers_are_in_time(self):
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE)
        admitted = self.simulate(4, 8 * _USUAL_PER_S, _IDLE_SHARE, None, 80)
        self.assertEqual(1, admitted)

    def test_another_route_keeps_its_usual_rate_in_a_flood(self):
        other = make_route(OTHER_ADDRESS)
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE, other)
        for _ in range(4):
            self.simulate(1, 8 * _USUAL_PER_S, _FULL_SHARE, None, 80)
            kept = self.simulate(1, _USUAL_PER_S, _FULL_SHARE, other)
            self.assertGreater(kept, 0.9)

    def test_a_new_route_opens_two_flows_a_second_in_a_flood(self):
        self.simulate(20, _USUAL_PER_S, _FULL_SHARE)
        admitted = self.simulate(10, 2, _FULL_SHARE, make_route(OTHER_ADDRESS))
        self.assertEqual(1, admitted)

    def test_a_flood_does_not_become_usual_while_it_lasts(self):
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE)
        self.simulate(30, 8 * _USUAL_PER_S, _FULL_SHARE, None, 80)
        admitted = self.simulate(4, 8 * _USUAL_PER_S, _FULL_SHARE, None, 80)
        self.assertLess(admitted, 0.25)

    def test_a_host_that_has_just_started_soon_estimates_the_usual_rate(self):
        self.simulate(3, 4 * _USUAL_PER_S, _IDLE_SHARE, None, 80)
        admitted = self.simulate(2, 4 * _USUAL_PER_S, _FULL_SHARE, None, 80)
        self.assertGreater(admitted, 0.8)

    def test_all_is_admitted_again_once_answers_are_in_time(self):
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE)
        self.simulate(4, 8 * _USUAL_PER_S, _FULL_SHARE, None, 80)
        self.simulate(1, 1, _IDLE_SHARE)
        self.assertEqual(1, self.simulate(4, 4 * _USUAL_PER_S, _IDLE_SHARE))


class UrgencyTests(GateKit):
    """Guards against refusals of urgent openings in a flood on all routes."""

    def setUp(self):
        super().setUp()
        self.feed = make_route()
        self.checkout = dataclasses.replace(
            make_route(OTHER_ADDRESS), priority=self.feed.priority - 1
        )
        for _ in range(20):
            self.simulate(1, _USUAL_PER_S, _IDLE_SHARE, self.feed)
            self.simulate(1, _USUAL_PER_S, _IDLE_SHARE, self.checkout)

    def flood(self, wait_share):
        """Return the admitted share of each route's flood."""
        admitted = []
        for route in (self.feed, self.checkout):
            self.simulate(1, 8 * _USUAL_PER_S, wait_share, route, 80)
            admitted.append(
                self.simulate(3, 8 * _USUAL_PER_S, wait_share, route, 80)
            )
        return admitted

    def test_the_less_urgent_are_refused_before_the_urgent(self):
        feed, checkout = self.flood(_LATE_SHARE)
        self.assertLess(feed, 0.3)
        self.assertEqual(1, checkout)

    def test_a_flood_that_fills_the_queues_is_refused_whatever_its_urgency(
        self,
    ):
        for admitted in self.flood(_FULL_SHARE):
            self.assertLess(admitted, 0.25)

    def test_one_priority_alone_is_refused_as_the_least_urgent(self):
        gate = OpeningGate(random.Random(1))
        self.gate = gate
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE, self.checkout)
        self.simulate(1, 8 * _USUAL_PER_S, _LATE_SHARE, self.checkout, 80)
        admitted = self.simulate(
            3, 8 * _USUAL_PER_S, _LATE_SHARE, self.checkout, 80
        )
        self.assertLess(admitted, 0.3)


class ForgettingTests(GateKit):
    """Guards against memory that grows with every route that ever existed."""

    def test_routes_and_services_that_have_gone_are_forgotten(self):
        self.simulate(2, _USUAL_PER_S, _IDLE_SHARE)
        self.simulate(2, _USUAL_PER_S, _IDLE_SHARE, make_route(OTHER_ADDRESS))
        self.gate.forget_gone({ADDRESS}, self.now_s)
        self.assertEqual((1, 1), self.gate.sizes())
        self.gate.forget_gone({}, self.now_s + 2)
        self.assertEqual((0, 0), self.gate.sizes())


class FalseAlarmTests(GateKit):
    """Guards against refusals while backends have free slots."""

    def test_a_few_slow_backends_cause_no_refusals(self):
        self.simulate(20, _USUAL_PER_S, _IDLE_SHARE)
        admitted = 0
        for step in range(400):
            self.now_s += 0.01
            wait_share = 3.0 if step % 3 == 0 else _IDLE_SHARE
            self.gate.record_answer(SERVICE, wait_share, self.now_s)
            admitted += self.gate.admits(make_route(), SERVICE, self.now_s)
        self.assertEqual(400, admitted)

    def test_few_answers_cause_no_refusals(self):
        admitted = self.simulate(5, 5, _FULL_SHARE, None, 6)
        self.assertEqual(1, admitted)

    def test_old_answers_cause_no_refusals(self):
        self.simulate(5, _USUAL_PER_S, _FULL_SHARE)
        self.now_s += 1.5
        admits = [
            self.gate.admits(make_route(), SERVICE, self.now_s)
            for _ in range(50)
        ]
        self.assertTrue(all(admits))


class CoreTests(testtools.TestCase):
    """Guards against refusals because of latencies without a queue."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1)])
        self.now_s = 100.0

    def simulate_requests(self, latency_s, segments=1):
        """Simulate overlapping requests of ``latency_s`` at backend 1."""
        begin_s = self.now_s
        request = make_segment(1, size=9)
        answered = make_segment(1, 10, 500)
        packets = []
        for number in range(16):
            requested_s = begin_s + number * 0.01
            packets += itertools.repeat(
                (requested_s, number, request), segments
            )
            packets.append((requested_s + latency_s, number, answered))
        for at_s, number, segment in sorted(packets):
            self.now_s = at_s
            self.core.tick(at_s)
            key = b'flow-%d' % number
            self.core.on_segment(key, ADDRESS, segment, at_s)

    def open(self):
        decisions = set()
        for number in range(50):
            key = b'new-%d' % number
            decision = self.core.on_opening(key, ADDRESS, b'syn', self.now_s)
            is_refused = isinstance(decision, FlowRefusal)
            decisions.add(decision if is_refused else number_of(decision))
        return decisions

    def test_after_late_answers_new_flows_are_refused_as_service_full(self):
        self.simulate_requests(0.24)
        self.assertIn(FlowRefusal.SERVICE_FULL, self.open())
        self.assertTrue(FlowRefusal.SERVICE_FULL.is_told)

    def test_a_copy_of_an_opening_through_another_host_is_not_refused(self):
        # The flow may be open by now, and the refusal would end it.
        self.simulate_requests(0.24)
        for number in range(50):
            key = b'new-%d' % number
            decision = self.core.on_opening(
                key, ADDRESS, b'syn', self.now_s, is_repeated=True
            )
            self.assertEqual(1, number_of(decision))

    def test_an_open_flow_is_never_refused(self):
        self.simulate_requests(0.24)
        request = make_segment(1, 10, 500, size=9)
        decision = self.core.on_segment(b'flow-0', ADDRESS, request, self.now_s)
        self.assertEqual(1, number_of(decision))

    def test_the_latency_of_a_retransmitted_request_shows_no_queue(self):
        # After a network partition ends, many late answers arrive at once.
        self.simulate_requests(0.24, segments=2)
        self.assertEqual({1}, self.open())

    def test_the_latency_of_an_upload_shows_no_queue(self):
        upload = dataclasses.replace(make_route(), kind=RequestKind.UPLOAD)
        self.core.configure(make_table(2, [upload]))
        self.simulate_requests(0.24)
        self.assertEqual({1}, self.open())

    def test_answers_after_a_stall_of_this_host_show_no_queue(self):
        for number in range(16):
            key = b'flow-%d' % number
            request = make_segment(1, size=9)
            self.core.on_segment(key, ADDRESS, request, self.now_s)
        self.now_s += 0.3
        for number in range(16):
            key = b'flow-%d' % number
            answered = make_segment(1, 10, 500)
            self.core.on_segment(key, ADDRESS, answered, self.now_s)
        self.assertEqual({1}, self.open())
