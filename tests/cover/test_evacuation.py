"""Tests of the placement of flows while availability zones are evacuated."""

import testtools

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.catalog import EvacuatedZones
from tests.cover.steering_kit import (
    ADDRESS,
    ZONE,
    make_core,
    make_entry,
    make_segment,
    number_of,
)

_FAR_ZONE = 'eastside'
_NOW_S = 100.0

# Callers repeat an opening after 200 ms.
_REPEATED_S = _NOW_S + 0.2


def make_zone_core():
    """Return a core with the servers 1 and 2 near, 3 and 4 far."""
    near = [make_entry(1), make_entry(2)]
    far = [make_entry(3, zone=_FAR_ZONE), make_entry(4, zone=_FAR_ZONE)]
    return make_core([*near, *far])


def evacuate(core, revision, *zones):
    evacuated = EvacuatedZones(revision, frozenset(zones))
    return core.evacuate(evacuated, _NOW_S)


def open_flows(core, count, now_s=_NOW_S):
    return {
        number_of(core.on_opening(b'flow-%d' % flow, ADDRESS, b'syn', now_s))
        for flow in range(count)
    }


class EvacuationTests(testtools.TestCase):
    """Guards against new flows at servers that operators take out of use."""

    def setUp(self):
        super().setUp()
        self.core = make_zone_core()

    def test_backends_of_an_evacuated_zone_get_no_new_flow(self):
        self.assertTrue(evacuate(self.core, 5, ZONE))
        self.assertEqual({3, 4}, open_flows(self.core, 40))

    def test_another_evacuated_zone_is_no_refuge_in_a_burst(self):
        evacuate(self.core, 5, _FAR_ZONE)
        self.assertEqual({1, 2}, open_flows(self.core, 200))

    def test_backends_get_flows_again_after_the_evacuation(self):
        evacuate(self.core, 5, ZONE)
        self.assertTrue(evacuate(self.core, 6))
        self.assertEqual({1, 2}, open_flows(self.core, 4))

    def test_an_evacuation_that_returns_within_a_second_is_in_force(self):
        for revision, zones in ((5, [ZONE]), (6, []), (7, [ZONE])):
            evacuate(self.core, revision, *zones)
        self.assertEqual({3, 4}, open_flows(self.core, 20))

    def test_older_evacuations_change_nothing(self):
        evacuate(self.core, 6, ZONE)
        self.assertFalse(evacuate(self.core, 5))
        self.assertFalse(evacuate(self.core, 6, _FAR_ZONE))
        self.assertEqual({3, 4}, open_flows(self.core, 20))

    def test_a_zone_that_does_not_exist_changes_no_placement(self):
        evacuate(self.core, 5, 'no-such-zone')
        self.assertEqual({1, 2}, open_flows(self.core, 4))

    def test_a_backend_that_starts_in_an_evacuated_zone_gets_no_flow(self):
        evacuate(self.core, 5, _FAR_ZONE)
        started = make_entry(9, 6, zone=_FAR_ZONE)
        self.core.apply_backend_changes([started], 6, _NOW_S)
        self.assertEqual({1, 2}, open_flows(self.core, 200))

    def test_open_flows_of_an_evacuated_zone_stay(self):
        self.core.on_segment(b'flow', ADDRESS, make_segment(1), _NOW_S)
        evacuate(self.core, 5, ZONE)
        decision = self.core.on_segment(
            b'flow', ADDRESS, make_segment(1, 2, 2, size=5), _NOW_S
        )
        self.assertEqual(1, number_of(decision))

    def test_a_repeated_opening_leaves_the_evacuated_zone(self):
        before = self.core.on_opening(b'flow', ADDRESS, b'syn', _NOW_S)
        self.assertIn(number_of(before), {1, 2})
        evacuate(self.core, 5, ZONE)
        repeated = self.core.on_opening(
            b'flow', ADDRESS, b'syn', _REPEATED_S, is_repeated=True
        )
        self.assertIn(number_of(repeated), {3, 4})

    def test_a_copy_of_a_late_opening_avoids_the_evacuated_zone(self):
        self.core.on_opening(b'flow', ADDRESS, b'syn', _NOW_S)
        evacuate(self.core, 5, ZONE)
        now_s = _NOW_S
        copies = []
        while now_s < _REPEATED_S:
            now_s += 0.015
            copies += self.core.tick(now_s).copies
        self.assertEqual(1, len(copies))
        self.assertIn(copies[0].backend.entry.instance, {3, 4})


class AllEvacuatedTests(testtools.TestCase):
    """Guards against callers that wait while no server may be used."""

    def setUp(self):
        super().setUp()
        self.core = make_zone_core()
        evacuate(self.core, 5, ZONE, _FAR_ZONE)

    def open(self, now_s=_NOW_S):
        return self.core.on_opening(b'flow', ADDRESS, b'syn', now_s)

    def test_openings_are_refused_at_once(self):
        decision = self.open()
        self.assertIs(FlowRefusal.ZONE_EVACUATED, decision)
        self.assertTrue(decision.is_told)

    def test_an_opening_from_before_is_refused_when_it_is_repeated(self):
        core = make_zone_core()
        core.on_opening(b'flow', ADDRESS, b'syn', _NOW_S)
        evacuate(core, 5, ZONE, _FAR_ZONE)
        repeated = core.on_opening(
            b'flow', ADDRESS, b'syn', _REPEATED_S, is_repeated=True
        )
        self.assertIs(FlowRefusal.ZONE_EVACUATED, repeated)

    def test_a_host_that_may_be_behind_refuses_nothing(self):
        self.core.set_current_until(0)
        self.assertFalse(self.open().is_told)

    def test_one_returned_zone_serves_again(self):
        evacuate(self.core, 6, ZONE)
        self.assertIn(number_of(self.open()), {3, 4})

    def test_without_evacuation_a_missing_backend_has_its_own_reason(self):
        core = make_core([])
        evacuate(core, 5, ZONE)
        decision = core.on_opening(b'flow', ADDRESS, b'syn', _NOW_S)
        self.assertIs(FlowRefusal.NO_BACKEND_SERVER, decision)
