"""Flows of servers whose addresses belong to other servers.

Replays a day on which servers fell silent and their addresses went to servers
of another service two seconds later: attempts to connect reached the new
owners, so that flows of the old ones waited for their callers' deadlines.
"""

import testtools

from currantshore.codes import FlowRefusal
from tests.cover.steering_kit import (
    ADDRESS,
    OTHER_SERVICE,
    make_core,
    make_entry,
    make_segment,
    number_of,
)

_TICK_S = 0.015


class ReusedAddressTests(testtools.TestCase):
    """Guards against a flow that waits for a server whose address is reused."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1), make_entry(2)])
        self.now_s = 100.0
        self.run_for(0.1)
        self.ask()

    def run_for(self, seconds):
        """Tick; return what was asked for in all."""
        checks = []
        resets = []
        for _ in range(round(seconds / _TICK_S)):
            self.now_s += _TICK_S
            actions = self.core.tick(self.now_s)
            checks.extend(number_of(one) for one in actions.checks)
            resets.extend(actions.resets)
        return checks, resets

    def ask(self, key=b'flow', sequence=10):
        asked = make_segment(1, sequence=sequence, size=9)
        return self.core.on_segment(key, ADDRESS, asked, self.now_s)

    def answer(self, acknowledged):
        answered = make_segment(1, 10, acknowledged)
        self.core.on_segment(b'flow', ADDRESS, answered, self.now_s)

    def give_address_on(self, revision=7):
        endpoint = make_entry(1).endpoint
        owner = make_entry(9, revision, OTHER_SERVICE, endpoint=endpoint)
        self.core.change_backends([owner], revision, self.now_s)

    def test_a_silent_server_whose_address_was_given_on_has_gone(self):
        self.give_address_on()
        checks, resets = self.run_for(1.0)
        self.assertEqual([], checks)
        self.assertEqual([b'flow'], [reset.flow_key for reset in resets])

    def test_the_next_packet_to_it_is_told_at_once(self):
        self.give_address_on()
        self.run_for(1.0)
        self.assertIs(FlowRefusal.BACKEND_SERVER_GONE, self.ask(b'other'))
        self.run_for(5.0)
        self.assertIs(FlowRefusal.BACKEND_SERVER_GONE, self.ask(b'third'))

    def test_a_server_that_answers_keeps_its_flows(self):
        self.give_address_on()
        for count in range(1, 11):
            checks, resets = self.run_for(0.1)
            self.assertEqual(([], []), (checks, resets))
            self.answer(acknowledged=500 * count)
            self.ask(sequence=10 + 10 * count)

    def test_an_older_entry_at_the_address_shows_nothing(self):
        self.core.change_backends([make_entry(1, 20)], 20, self.now_s)
        self.give_address_on(revision=7)
        checks, resets = self.run_for(1.0)
        self.assertEqual([1], checks)
        self.assertEqual([], resets)

    def test_a_server_that_announces_itself_again_is_tried(self):
        self.give_address_on()
        self.run_for(1.0)
        self.core.change_backends([make_entry(1, 30)], 30, self.now_s)
        checks, _ = self.run_for(1.5)
        self.assertIn(1, checks)

    def test_its_entry_that_is_still_there_gets_no_new_flow(self):
        self.give_address_on()
        placed = {
            number_of(
                self.core.on_opening(b'%d' % key, ADDRESS, b'syn', self.now_s)
            )
            for key in range(20)
        }
        self.assertEqual({2}, placed)

    def test_a_server_that_moved_is_not_replaced_at_its_former_address(self):
        endpoint = make_entry(40).endpoint
        moved = make_entry(1, 5, endpoint=endpoint)
        self.core.change_backends([moved], 5, self.now_s)
        self.give_address_on()
        checks, resets = self.run_for(1.0)
        self.assertEqual(([1], []), (checks, resets))
