"""Tests of the baselines that replace mechanisms that are switched off."""

import math
import random

import testtools

from currantshore.codes import FlowRefusal
from currantshore.internal.mirror.core import MirrorConfig, MirrorCore
from currantshore.internal.steering.choosing import LoadCosts
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.lateopenings import LateOpenings
from currantshore.internal.steering.mechanisms import Mechanism
from currantshore.internal.steering.openinggate import build_gate
from currantshore.internal.steering.waiting import build_wait_estimator
from tests.cover.steering_kit import (
    ADDRESS,
    OTHER_ADDRESS,
    SERVICE,
    ZONE,
    make_entry,
    make_route,
    make_segment,
    make_table,
    number_of,
)

_NOW_S = 100.0


def make_core_without(*mechanisms, entries=()):
    core = SteeringCore.from_config(ZONE, 1, frozenset(mechanisms))
    core.configure(make_table())
    core.replace_backends(entries, 1, _NOW_S)
    core.set_current_until(math.inf)
    core.tick(_NOW_S)
    return core


def place(core, count):
    """Return how many of ``count`` flows each backend got, by its number."""
    flow_counts = {}
    for number in range(count):
        key = b'flow-%d' % number
        chosen = number_of(core.on_opening(key, ADDRESS, b'syn', _NOW_S))
        flow_counts[chosen] = flow_counts.get(chosen, 0) + 1
    return flow_counts


class PlacementTests(testtools.TestCase):
    """Guards against an ablation that measures a different mechanism."""

    def test_without_load_placement_slots_do_not_count(self):
        entries = [make_entry(1, slots=1), make_entry(2, slots=9)]
        core = make_core_without(Mechanism.LOAD_PLACEMENT, entries=entries)
        self.assertLess(abs(place(core, 400)[1] - 200), 50)

    def test_without_zone_costs_other_zones_get_as_many_flows(self):
        entries = [make_entry(1), make_entry(2, zone='eastside')]
        core = make_core_without(Mechanism.ZONE_COSTS, entries=entries)
        self.assertLess(abs(place(core, 100)[1] - 50), 10)

    def test_without_busy_shares_each_open_flow_counts(self):
        entries = [make_entry(1), make_entry(2)]
        core = make_core_without(Mechanism.BUSY_SHARES, entries=entries)
        for number in range(20):
            key = b'open-%d' % number
            core.on_segment(key, ADDRESS, make_segment(1), _NOW_S)
        self.assertEqual({2: 20}, place(core, 20))

    def test_costs_that_are_switched_off_are_zero(self):
        costs = LoadCosts.from_config(
            frozenset(
                (
                    Mechanism.SLOW_COSTS,
                    Mechanism.ZONE_COSTS,
                    Mechanism.SILENCE_COSTS,
                    Mechanism.LAPSE_GRACE,
                )
            )
        )
        self.assertEqual(LoadCosts(0, 0, 0, 0, 0), costs)


class RefusalTests(testtools.TestCase):
    """Guards against refusals by mechanisms that are switched off."""

    def test_without_the_gate_every_flow_may_open(self):
        off = frozenset((Mechanism.OPENING_GATE,))
        gate = build_gate(random.Random(1), off)
        for _ in range(50):
            gate.record_answer(SERVICE, 2.0, _NOW_S)
            self.assertTrue(gate.admits(make_route(), SERVICE, _NOW_S))

    def test_without_wait_shares_the_whole_latency_counts_as_waiting(self):
        waits = build_wait_estimator(frozenset((Mechanism.WAIT_SHARES,)))
        self.assertEqual(0.5, waits.record(make_route(), 0.125, _NOW_S))

    def test_without_unknown_tokens_no_token_counts_as_gone(self):
        core = make_core_without(Mechanism.UNKNOWN_TOKENS)
        for second in range(30):
            decision = core.on_segment(
                b'flow', ADDRESS, make_segment(7), _NOW_S + second
            )
            self.assertIs(FlowRefusal.TOKEN_UNKNOWN, decision)


class SilenceTests(testtools.TestCase):
    """Guards against actions on silent backends that are switched off."""

    def open_unanswered_flow(self, *mechanisms):
        """Open an unanswered flow; return the numbers of checks and copies."""
        entries = [make_entry(1), make_entry(2)]
        core = make_core_without(*mechanisms, entries=entries)
        core.on_opening(b'flow', ADDRESS, b'syn', _NOW_S)
        checks, copies = [], []
        for step in range(1, 20):
            actions = core.tick(_NOW_S + step * 0.015)
            checks += actions.checks
            copies += actions.copies
        return len(checks), len(copies)

    def test_silent_backends_are_checked_and_the_opening_copied_once(self):
        self.assertEqual((2, 1), self.open_unanswered_flow())

    def test_without_server_checks_there_are_none(self):
        actions = self.open_unanswered_flow(Mechanism.SERVER_CHECKS)
        self.assertEqual((0, 1), actions)

    def test_without_opening_copies_there_are_none(self):
        self.assertEqual(
            0, self.open_unanswered_flow(Mechanism.OPENING_COPIES)[1]
        )

    def test_a_budget_of_zero_is_not_refilled(self):
        off = frozenset((Mechanism.OPENING_COPIES,))
        late = LateOpenings.from_config(off)
        for _ in range(100):
            late.refill()
        self.assertFalse(late.may_copy())


class ReaderTests(testtools.TestCase):
    """Guards against a host that waits for readers that do not exist."""

    def test_without_zone_readers_each_host_keeps_reading(self):
        off = frozenset((Mechanism.ZONE_READERS,))
        steering = SteeringCore.from_config(ZONE, 1, off)
        config = MirrorConfig('10.1.0.1', ZONE, 100, 1, (), 1, off)
        mirror = MirrorCore.from_config(config, steering)
        for second in range(10):
            mirror.tick(_NOW_S + second, is_served=True, is_leaving=False)
        self.assertTrue(mirror.role.is_reader)
        self.assertEqual(_NOW_S + 9, mirror.role.served_s)


class OtherRouteTests(testtools.TestCase):
    """Guards against a switch that affects unrelated refusals."""

    def test_without_the_gate_an_address_without_a_route_is_refused(self):
        core = make_core_without(Mechanism.OPENING_GATE)
        decision = core.on_opening(b'flow', OTHER_ADDRESS, b'syn', _NOW_S)
        self.assertIs(FlowRefusal.NO_ROUTE, decision)
