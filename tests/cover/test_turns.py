"""Tests of the selection of services that a tick visits."""

from collections import Counter

import testtools

from currantshore.internal.turns import TICKS_BETWEEN_IDLE_VISITS, Turns


class TurnsTests(testtools.TestCase):
    """Guards against ticks that visit every service of a pool."""

    def visits(self, count, busy):
        turns = Turns()
        seen = Counter()
        for _ in range(TICKS_BETWEEN_IDLE_VISITS):
            seen.update(turns.select(range(count), busy.__contains__))
        return seen

    def test_each_idle_member_is_visited_once_in_its_turn(self):
        for count in (1, 19, 20, 244):
            seen = self.visits(count, set())
            self.assertEqual({1}, set(seen.values()), count)
            self.assertEqual(count, len(seen))

    def test_a_busy_member_is_visited_in_every_tick(self):
        seen = self.visits(244, {7})
        self.assertEqual(TICKS_BETWEEN_IDLE_VISITS, seen[7])
        self.assertEqual(1, seen[8])
