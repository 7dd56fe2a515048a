"""What a tick costs, and which server is the control of a trial."""

import testtools

from currantshore.internal.steering.silence import Health
from tests.cover.steering_kit import (
    ADDRESS,
    OTHER_SERVICE,
    SERVICE,
    make_core,
    make_entry,
    make_segment,
    number_of,
)

_SERVERS = 3000


class TickCostTests(testtools.TestCase):
    """Guards against a tick that costs by all servers that are known."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(one + 1) for one in range(_SERVERS)])

    def busy(self):
        return {number_of(backend) for backend in self.core.records.busy}

    def test_servers_that_have_answered_are_looked_at_no_more(self):
        for number in range(1, _SERVERS + 1):
            key = b'flow-%d' % number
            asked = make_segment(number, size=9)
            self.core.on_segment(key, ADDRESS, asked, 100.0)
            if number == 7:
                continue
            answered = make_segment(number, 10, 500)
            self.core.on_segment(key, ADDRESS, answered, 100.01)
        # A host that has just started judges nobody for 45 ms.
        for step in range(1, 5):
            self.core.tick(100.0 + step * 0.015)
        self.assertEqual({7}, self.busy())

    def test_a_suspected_server_is_looked_at_until_it_answers(self):
        backend = self.core.on_opening(b'flow', ADDRESS, b'syn', 100.0)
        checks = []
        for step in range(1, 8):
            checks.extend(self.core.tick(100.0 + step * 0.015).checks)
        self.assertIn(backend, checks)
        self.core.records.drop(b'flow')
        health = self.core.watches.health
        self.assertIs(Health.SUSPECT, health(backend))
        self.core.tick(100.12)
        self.assertIs(Health.ANSWERING, health(backend))
        self.core.tick(100.14)
        self.assertNotIn(number_of(backend), self.busy())


class ControlTests(testtools.TestCase):
    """Guards against a trial whose control is a server nobody has heard."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(one) for one in (1, 2, 3)])
        self.backends = {
            number_of(one): one for one in self.core.directory.all_backends()
        }

    def answer(self, number, now_s):
        key = b'flow-%d-%d' % (number, now_s * 1000)
        self.core.on_segment(key, ADDRESS, make_segment(number), now_s)
        answered = make_segment(number, 1, 500)
        self.core.on_segment(key, ADDRESS, answered, now_s)

    def control_of(self, number):
        found = self.core.watches.control_of(self.backends[number])
        return found and number_of(found)

    def test_the_server_that_answered_last_is_the_control(self):
        self.answer(1, 100.1)
        self.answer(2, 100.2)
        self.assertEqual(2, self.control_of(3))
        self.assertEqual(1, self.control_of(2))

    def test_a_server_that_has_gone_is_no_control(self):
        self.answer(1, 100.1)
        self.answer(2, 100.2)
        self.core.list_backends([make_entry(1), make_entry(3)], 5, 100.3)
        self.assertEqual(1, self.control_of(3))

    def test_without_any_answer_some_other_server_is_the_control(self):
        self.assertIn(self.control_of(3), {1, 2})

    def test_a_lone_server_has_no_control(self):
        core = make_core([make_entry(1)])
        (backend,) = core.directory.all_backends()
        self.assertIsNone(core.watches.control_of(backend))


class IndexTests(testtools.TestCase):
    """Guards against a server that stays listed where it is no longer."""

    def test_a_server_of_another_service_or_zone_moves(self):
        core = make_core([make_entry(1), make_entry(2)])
        moved = make_entry(1, 2, OTHER_SERVICE, 'eastside')
        core.change_backends([moved], 2, 100.0)
        near = [number_of(one) for one in core.directory.near(SERVICE)]
        far = [number_of(one) for one in core.directory.far(OTHER_SERVICE)]
        self.assertEqual(([2], [1]), (near, far))

    def test_a_server_is_listed_once_however_often_it_changes(self):
        core = make_core([make_entry(1)])
        for revision in range(2, 6):
            core.change_backends([make_entry(1, revision)], revision, 100.0)
        self.assertEqual(1, len(core.directory.near(SERVICE)))


class LateOpeningTests(testtools.TestCase):
    """Guards against a site whose callers are further away than usual."""

    def open_flows(self, core, count, latency_s):
        now_s = 100.0
        for number in range(count):
            key = b'flow-%d' % number
            backend = core.on_opening(key, ADDRESS, b'syn', now_s)
            opened = make_segment(number_of(backend))
            core.on_segment(key, ADDRESS, opened, now_s + latency_s)
            now_s += latency_s
        return now_s

    def copies_within(self, core, now_s, seconds):
        core.tick(now_s)
        core.on_opening(b'new', ADDRESS, b'syn', now_s)
        copies = []
        for step in range(1, round(seconds / 0.015) + 1):
            copies.extend(core.tick(now_s + step * 0.015).copies)
        return copies

    def test_an_opening_is_late_by_what_openings_take_here(self):
        core = make_core([make_entry(1), make_entry(2)])
        now_s = self.open_flows(core, 200, 0.05)
        self.assertEqual([], self.copies_within(core, now_s, 0.12))
        core = make_core([make_entry(1), make_entry(2)])
        now_s = self.open_flows(core, 200, 0.05)
        self.assertEqual(1, len(self.copies_within(core, now_s, 0.21)))

    def test_near_callers_get_a_copy_after_three_ticks(self):
        core = make_core([make_entry(1), make_entry(2)])
        now_s = self.open_flows(core, 200, 0.005)
        self.assertEqual(1, len(self.copies_within(core, now_s, 0.12)))


class LongWorkTests(testtools.TestCase):
    """Guards against servers of long work that count as silent all the time."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1), make_entry(2)])
        self.now_s = 100.0

    def ask(self, key, work_s):
        """Play one request at server 1; return whether it was tried."""
        asked = make_segment(1, size=9)
        self.core.on_segment(key, ADDRESS, asked, self.now_s)
        checks = []
        for _ in range(round(work_s / 0.015)):
            self.now_s += 0.015
            checks.extend(self.core.tick(self.now_s).checks)
        answered = make_segment(1, 10, 500)
        self.core.on_segment(key, ADDRESS, answered, self.now_s)
        for backend in checks:
            self.core.on_checked(
                backend,
                is_reachable=True,
                is_control_reachable=True,
                now_s=self.now_s,
            )
        return bool(checks)

    def test_work_of_a_second_is_not_late_once_it_is_known(self):
        for number in range(12):
            self.ask(b'known-%d' % number, 1.0)
        self.assertFalse(self.ask(b'next', 1.2))

    def test_a_request_of_twice_the_usual_is_late(self):
        for number in range(12):
            self.ask(b'known-%d' % number, 1.0)
        self.assertTrue(self.ask(b'next', 2.5))
