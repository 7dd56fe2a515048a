"""Tests of the cost of a tick and of the control of connection attempts."""

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
    """Guards against a tick whose cost depends on all known backends."""

    def setUp(self):
        super().setUp()
        self.core = make_core(
            [make_entry(index + 1) for index in range(_SERVERS)]
        )

    def busy_numbers(self):
        return {
            number_of(backend) for backend in self.core.records.busy_backends
        }

    def test_backends_that_have_answered_are_no_longer_evaluated(self):
        for number in range(1, _SERVERS + 1):
            key = b'flow-%d' % number
            request = make_segment(number, size=9)
            self.core.on_segment(key, ADDRESS, request, 100.0)
            if number == 7:
                continue
            answered = make_segment(number, 10, 500)
            self.core.on_segment(key, ADDRESS, answered, 100.01)
        # A host does not evaluate backends for 45 ms after its start.
        for step in range(1, 5):
            self.core.tick(100.0 + step * 0.015)
        self.assertEqual({7}, self.busy_numbers())

    def test_a_suspected_backend_is_evaluated_until_it_is_cleared(self):
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
        self.assertNotIn(number_of(backend), self.busy_numbers())


class ControlTests(testtools.TestCase):
    """Guards against a control that has not answered any flow."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(number) for number in (1, 2, 3)])
        self.backends = {
            number_of(backend): backend
            for backend in self.core.directory.all_backends()
        }

    def answer_flow(self, number, now_s):
        key = b'flow-%d-%d' % (number, now_s * 1000)
        self.core.on_segment(key, ADDRESS, make_segment(number), now_s)
        answered = make_segment(number, 1, 500)
        self.core.on_segment(key, ADDRESS, answered, now_s)

    def control_of(self, number):
        control = self.core.watches.control_of(self.backends[number])
        return control and number_of(control)

    def test_the_backend_that_answered_last_is_the_control(self):
        self.answer_flow(1, 100.1)
        self.answer_flow(2, 100.2)
        self.assertEqual(2, self.control_of(3))
        self.assertEqual(1, self.control_of(2))

    def test_a_backend_that_has_gone_is_no_control(self):
        self.answer_flow(1, 100.1)
        self.answer_flow(2, 100.2)
        self.core.replace_backends([make_entry(1), make_entry(3)], 5, 100.3)
        self.assertEqual(1, self.control_of(3))

    def test_without_answers_any_other_backend_is_the_control(self):
        self.assertIn(self.control_of(3), {1, 2})

    def test_a_single_backend_has_no_control(self):
        core = make_core([make_entry(1)])
        (backend,) = core.directory.all_backends()
        self.assertIsNone(core.watches.control_of(backend))


class IndexTests(testtools.TestCase):
    """Guards against a backend that stays in the index at its old place."""

    def test_a_backend_that_changes_service_and_zone_moves(self):
        core = make_core([make_entry(1), make_entry(2)])
        moved = make_entry(1, 2, OTHER_SERVICE, 'eastside')
        core.apply_backend_changes([moved], 2, 100.0)
        near = [number_of(backend) for backend in core.directory.near(SERVICE)]
        far = [
            number_of(backend) for backend in core.directory.far(OTHER_SERVICE)
        ]
        self.assertEqual(([2], [1]), (near, far))

    def test_a_backend_is_listed_once_after_several_changes(self):
        core = make_core([make_entry(1)])
        for revision in range(2, 6):
            core.apply_backend_changes(
                [make_entry(1, revision)], revision, 100.0
            )
        self.assertEqual(1, len(core.directory.near(SERVICE)))


class LateOpeningTests(testtools.TestCase):
    """Guards against copies for callers with long round trips."""

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

    def test_an_opening_is_late_by_the_usual_time_at_this_host(self):
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
    """Guards against backends that count as silent during long requests."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_entry(1), make_entry(2)])
        self.now_s = 100.0

    def send_request(self, key, work_s):
        """Simulate one request at backend 1; return whether it was checked."""
        request = make_segment(1, size=9)
        self.core.on_segment(key, ADDRESS, request, self.now_s)
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

    def test_a_request_of_a_second_is_not_late_if_this_is_usual(self):
        for number in range(12):
            self.send_request(b'known-%d' % number, 1.0)
        self.assertFalse(self.send_request(b'next', 1.2))

    def test_a_request_of_over_twice_the_usual_is_late(self):
        for number in range(12):
            self.send_request(b'known-%d' % number, 1.0)
        self.assertTrue(self.send_request(b'next', 2.5))
