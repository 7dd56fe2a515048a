"""Tests of bucket tables and of the ranking of owners."""

import numpy as np
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore.errors import InvalidArgumentError
from currantshore.internal.flows.ownership import Owners
from currantshore.internal.flows.placement import NO_SLOT, PlacementTable

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_MEMBERS = tuple((f'dw-{number}', number) for number in range(7))


class PlacementTableTests(testtools.TestCase):
    """Guards against changes that move flows of servers that remain."""

    @given(st.permutations(_MEMBERS), st.integers(0, 6))
    def test_a_removed_server_moves_only_its_own_buckets(self, members, gone):
        before = PlacementTable.from_members(1024, members)
        rest = [member for member in members if member[1] != gone]
        after = PlacementTable.from_members(1024, rest)
        moved_mask = before.moved_buckets(after)
        self.assertEqual({gone}, set(before.slots[moved_mask].tolist()))
        self.assertNotIn(gone, after.slots.tolist())

    def test_the_buckets_are_spread_evenly(self):
        table = PlacementTable.from_members(16384, _MEMBERS)
        counts = np.bincount(table.slots, minlength=7)
        self.assertLess(counts.max() / counts.mean(), 1.05)

    @given(st.integers(0, 2**64 - 1))
    def test_the_slot_of_a_flow_has_its_highest_rank(self, key):
        table = PlacementTable.from_members(1024, _MEMBERS)
        ranked = table.ranked_slots(key)
        self.assertEqual(table.slot_of(key), ranked[0])
        self.assertEqual(7, len(set(ranked)))

    def test_without_servers_there_is_no_slot(self):
        table = PlacementTable.from_members(16, ())
        self.assertEqual(NO_SLOT, table.slot_of(5))
        self.assertEqual([], table.ranked_slots(5))

    def test_a_bucket_count_that_is_no_power_of_two_is_refused(self):
        for count in (0, -4, 100):
            with testtools.ExpectedException(InvalidArgumentError):
                PlacementTable.from_members(count, _MEMBERS)


class OwnersTests(testtools.TestCase):
    """Guards against balancers that disagree on the owners of a flow."""

    @given(st.permutations(('h0', 'h1', 'h2', 'h3')), st.integers(0, 2**64 - 1))
    def test_the_second_owner_follows_a_first_one_that_is_gone(
        self, names, key
    ):
        ranked = Owners(names).ranked(key)
        rest = Owners(name for name in names if name != ranked[0])
        self.assertEqual(ranked[1:], rest.ranked(key))

    def test_masks_agree_with_ranks(self):
        owners = Owners(('h0', 'h1', 'h2'))
        keys = np.arange(500, dtype=np.uint64)
        for host in owners.hosts:
            expected = [host in owners.ranked(int(key))[:2] for key in keys]
            self.assertEqual(expected, owners.is_owner(host, keys).tolist())
