"""Tests of known flows, exceptions and their packed form."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore.internal.flows.exceptions import (
    ExceptionTable,
    as_arrays,
    misplaced,
    pack,
    unpack,
)
from currantshore.internal.flows.flowtable import FlowTable, entry_of, slot_of
from currantshore.internal.flows.placement import PlacementTable

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_fingerprints = st.integers(0, 2**40 - 1)


class FlowTableTests(testtools.TestCase):
    """Guards against flows that expire early and counts that drift."""

    def setUp(self):
        super().setUp()
        self.known = FlowTable(300.0, 0.0)

    def test_a_flow_outlives_the_idle_timeout_and_then_ends(self):
        self.known.put(7, entry_of(3, is_framed=False))
        self.known.rotate_if_due(300.0)
        self.assertEqual(3, slot_of(self.known.find(7)))
        self.known.rotate_if_due(600.0)
        self.known.rotate_if_due(900.0)
        self.assertIsNone(self.known.find(7))
        self.assertEqual(0, self.known.counts[3])

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('put', 'find', 'forget', 'rotate')),
                st.integers(0, 5),
                st.integers(0, 3),
            ),
        ),
    )
    def test_counts_match_the_entries(self, steps):
        known = FlowTable(1.0, 0.0)
        for now_s, (step, key, slot) in enumerate(steps, start=1):
            match step:
                case 'put':
                    known.put(key, entry_of(slot, is_framed=False))
                case 'find':
                    known.find(key)
                case 'forget':
                    known.forget(key)
                case _:
                    known.rotate_if_due(now_s)
        slots = [slot_of(entry) for _, entry in known.entries()]
        for slot in range(4):
            self.assertEqual(slots.count(slot), known.counts[slot])


class ExceptionTests(testtools.TestCase):
    """Guards against exceptions that are lost or sent twice."""

    @given(st.lists(_fingerprints))
    def test_packing_keeps_fingerprints_at_five_bytes(self, fingerprints):
        keys, _ = as_arrays(dict.fromkeys(fingerprints, 0))
        packed = pack(keys)
        self.assertEqual(5 * len(keys), len(packed))
        self.assertEqual(keys.tolist(), unpack(packed))

    @given(st.binary(max_size=40))
    def test_damaged_bytes_do_not_raise(self, noise):
        self.assertEqual(len(noise) // 5, len(unpack(noise)))

    def test_an_exception_outlasts_two_idle_timeouts(self):
        exceptions = ExceptionTable(300.0, 0.0)
        exceptions.add(5, 1, is_unsent=True)
        for now_s in (300.0, 600.0, 900.0):
            exceptions.rotate_if_due(now_s)
        self.assertEqual(1, exceptions.find(5))
        exceptions.rotate_if_due(1200.0)
        self.assertIsNone(exceptions.find(5))
        self.assertEqual({}, exceptions.unsent)

    def test_only_opaque_flows_elsewhere_are_misplaced(self):
        table = PlacementTable.from_members(16, [('x', 0)])
        known = FlowTable(300.0, 0.0)
        known.put(1, entry_of(0, is_framed=False))
        known.put(2, entry_of(1, is_framed=False))
        known.put(3, entry_of(1, is_framed=True))
        self.assertEqual({2: 1}, misplaced(known, table))
