"""Tests of at-most-once execution, answers, relays and handovers."""

import dataclasses
from unittest import mock

import testtools
from msgspec import structs

from currantshore import wire
from currantshore.codes import ResultCode
from currantshore.internal import peerwire
from currantshore.internal.events import RequestsHandedOver, SendToPeer
from currantshore.internal.requests import executor, requestlogs
from currantshore.internal.requests.answercache import AnswerCache
from currantshore.internal.requests.retrybudget import RetryBudget
from currantshore.internal.snapshot import BackendState
from tests.cover import request_kit as kit


@dataclasses.dataclass(frozen=True)
class TokenCase:
    """A token and the expected results at host ``a``, incarnation 1."""

    name: str
    executor_id: str
    incarnation: int
    live: dict
    when_not_repeatable: object
    when_repeatable: object


TOKEN_CASES = (
    TokenCase('own token', 'a', 1, {'a': 1}, 'run', 'run'),
    TokenCase('own earlier incarnation', 'a', 9, {'a': 1}, 202, 'run'),
    TokenCase('live executor', 'b', 1, {'a': 1, 'b': 1}, 'b', 'b'),
    TokenCase('restarted executor', 'b', 9, {'a': 1, 'b': 1}, 'b', 'b'),
    TokenCase('lost executor', 'b', 1, {'a': 1}, 202, 'run'),
)


def result_of(actions):
    if kit.runs(actions):
        return 'run'
    for action in actions:
        if isinstance(action, SendToPeer):
            return action.host_id
    return kit.codes(actions)[0]


class RouteTests(testtools.TestCase):
    """Guards against a run by a process that is not the executor."""

    def test_each_token_goes_where_its_ids_are_known(self):
        for case in TOKEN_CASES:
            for repeatable, expected in (
                (False, case.when_not_repeatable),
                (True, case.when_repeatable),
            ):
                plane = kit.make_plane()
                plane.on_live_view(kit.make_view('a', case.live), 0)
                actions = kit.send(
                    plane,
                    token=kit.make_token(case.executor_id, case.incarnation),
                    is_repeatable=repeatable,
                )
                self.assertEqual(expected, result_of(actions), case.name)

    def test_a_substitute_never_refuses_as_not_run(self):
        token = kit.make_token('b')
        for fields in ({'deadline_ms': 0}, {'priority_class': 'none'}):
            actions = kit.send(
                kit.make_plane(),
                token=token,
                is_repeatable=True,
                **fields,
            )
            self.assertEqual([201], kit.codes(actions))

    def test_a_relay_is_run_by_its_executor_once(self):
        relay = kit.send(kit.make_plane('b', ('a', 'b')))[0]
        message = peerwire.unseal(relay.payload, b'key')
        request = wire.decode_from_caller(message.datagram)
        plane = kit.make_plane()
        arguments = (message, kit.make_token(), request, 0)
        self.assertEqual('run', result_of(plane.on_relayed(*arguments)))
        self.assertEqual([], plane.on_relayed(*arguments))

    def test_a_relay_without_hops_left_is_not_relayed(self):
        plane = kit.make_plane('b', ('a', 'b'))
        request = kit.make_request(1)
        relayed = peerwire.RelayedRequest('c', kit.SERVICE, kit.CALLER, b'', 0)
        actions = plane.on_relayed(relayed, kit.make_token(), request, 0)
        self.assertEqual([202], kit.codes(actions))


class AtMostOnceTests(testtools.TestCase):
    """Guards against a second run of the same request id."""

    def setUp(self):
        super().setUp()
        self.plane = kit.make_plane()

    def test_a_copy_while_running_is_answered_for_its_attempt(self):
        sent = kit.send(self.plane)
        self.assertEqual([], kit.send(self.plane, attempt=2))
        reply = kit.replies(kit.answer(self.plane, sent))[0]
        self.assertEqual(2, reply.attempt)

    def test_a_copy_after_the_answer_gets_the_answer_again(self):
        first = kit.replies(kit.answer(self.plane, kit.send(self.plane)))
        again = kit.send(self.plane, attempt=2)
        self.assertEqual([], kit.runs(again))
        self.assertEqual(first[0].payload, kit.replies(again)[0].payload)

    def test_an_answer_that_is_no_longer_cached_is_an_unknown_outcome(self):
        kit.answer(self.plane, kit.send(self.plane))
        self.plane._executor.outcomes._answers = AnswerCache()
        self.assertEqual([201], kit.codes(kit.send(self.plane)))

    def test_a_refused_id_never_runs_later(self):
        refusal = kit.codes(kit.send(self.plane, deadline_ms=0))
        again = kit.send(self.plane, attempt=2)
        self.assertEqual([103], refusal)
        self.assertEqual([103], kit.codes(again))

    def test_ids_of_an_earlier_token_are_too_old(self):
        token = kit.make_token(first=5)
        actions = kit.send(self.plane, 4, token)
        self.assertEqual([203], kit.codes(actions))

    def test_ids_below_the_floor_are_too_old(self):
        for request_id in range(1, 1100):
            kit.send(self.plane, request_id, deadline_ms=0)
        self.assertEqual([203], kit.codes(kit.send(self.plane, 2)))

    def test_with_too_many_flows_the_outcome_is_unknown(self):
        with mock.patch.object(requestlogs, 'MAX_FLOWS', 0):
            actions = kit.send(self.plane, deadline_ms=0)
        self.assertEqual([201], kit.codes(actions))

    def test_many_ids_in_all_logs_shorten_each_log(self):
        with mock.patch.object(requestlogs, 'MAX_IDS', 20):
            for request_id in range(1, 30):
                kit.send(self.plane, request_id, deadline_ms=0)
            self.assertEqual([203], kit.codes(kit.send(self.plane, 1)))
            self.assertEqual([103], kit.codes(kit.send(self.plane, 29)))

    def test_a_log_outlives_a_long_pause(self):
        kit.answer(self.plane, kit.send(self.plane))
        for now_s in (0, 5000, 5003, 10000, 10003):
            self.plane.tick(now_s)
        self.assertEqual([], kit.runs(kit.send(self.plane, now_s=10004)))

    def test_a_datagram_read_after_a_long_pause_is_not_run(self):
        self.plane.tick(0)
        self.assertEqual([201], kit.codes(kit.send(self.plane, now_s=5000)))


class PauseTests(testtools.TestCase):
    """Guards against "not run" from a paused or disconnected process."""

    def fill(self, plane, **fields):
        # A copy of a request that is already running has no effect.
        for request_id in range(1, kit.SLOTS + 1):
            kit.send(plane, request_id, deadline_ms=60000)
        return kit.send(plane, kit.SLOTS + 1, **fields)

    def test_the_deadline_is_checked_again_before_sending(self):
        plane = kit.make_plane()
        self.assertEqual([], self.fill(plane))
        actions = plane.tick(5)
        self.assertEqual([103], kit.codes(actions))
        self.assertEqual([], kit.runs(actions))

    def test_the_deadline_is_checked_again_when_a_slot_becomes_free(self):
        plane = kit.make_plane()
        sent = kit.send(plane, 1, deadline_ms=60000)
        self.fill(plane)
        actions = kit.answer(plane, sent, now_s=5)
        self.assertEqual([103], kit.codes(actions))
        self.assertEqual([], kit.runs(actions))

    def test_after_a_pause_a_repeatable_request_may_have_run_elsewhere(self):
        plane = kit.make_plane()
        self.fill(plane, is_repeatable=True)
        self.assertEqual([201], kit.codes(plane.tick(5)))

    def test_a_repeatable_request_may_run_elsewhere_while_a_host_is_missing(
        self,
    ):
        plane = kit.make_plane(hosts=('a', 'b'))
        for repeatable, code in ((False, 103), (True, 201)):
            actions = kit.send(
                plane,
                1 + repeatable,
                is_repeatable=repeatable,
                deadline_ms=0,
            )
            self.assertEqual([code], kit.codes(actions))


class AnswerTests(testtools.TestCase):
    """Guards against mixed or partial answers and those of other callers."""

    def setUp(self):
        super().setUp()
        self.plane = kit.make_plane()
        self.sent = kit.send(self.plane, is_repeatable=True, deadline_ms=60000)

    def test_parts_in_any_order_are_sent_once_they_are_complete(self):
        for part in (2, 0, 2, 0):
            actions = kit.answer(self.plane, self.sent, part, 3, bytes([part]))
            self.assertEqual([], actions)
        actions = kit.answer(self.plane, self.sent, 1, 3, b'\x01')
        whole = b''.join(message.payload for message in kit.replies(actions))
        self.assertEqual(b'\x00\x01\x02', whole)

    def test_a_part_of_another_count_is_dropped(self):
        for part, parts in ((0, 2), (1, 3), (2, 3)):
            actions = kit.answer(self.plane, self.sent, part, parts)
            self.assertEqual([], actions)
        actions = kit.answer(self.plane, self.sent, 1, 2)
        self.assertEqual(2, len(kit.replies(actions)))

    def test_answers_that_do_not_match_the_run_are_dropped(self):
        for wrong in (
            {'run_id': 1},
            {'caller': wire.Endpoint('10.0.0.2', 4000)},
            {'source': wire.Endpoint('10.1.0.9', 1)},
            {'service_id': 'incident-upload'},
            {'part': 1},
            {'parts': 0},
            {'parts': 2**40},
        ):
            actions = kit.answer(self.plane, self.sent, **wrong)
            self.assertEqual([], actions, wrong)

    def test_a_second_run_is_not_mixed_with_the_first(self):
        kit.answer(self.plane, self.sent, 0, 2, b'old')
        again = self.plane.tick(10)
        second = [each for each in again if kit.runs([each])]
        self.assertNotEqual(kit.target(self.sent), kit.target(second))
        self.assertEqual(
            [],
            kit.answer(self.plane, self.sent, 1, 2, b'old', 10),
        )
        actions = kit.answer(self.plane, second, now_s=10)
        self.assertEqual(
            [b'y'], [each.payload for each in kit.replies(actions)]
        )

    def test_a_non_repeatable_request_fails_after_the_answer_timeout(self):
        sent = kit.send(self.plane, 2, deadline_ms=60000)
        self.assertIn(206, kit.codes(self.plane.tick(10)))
        self.assertEqual([], kit.answer(self.plane, sent, now_s=11))

    def test_a_run_on_a_lost_backend_server_ends_early(self):
        health = kit.FixedHealth()
        plane = kit.make_plane(health=health)
        kit.send(plane, deadline_ms=60000)
        health.bad.add('dw-0')
        plane.tick(0.1)
        self.assertEqual([204], kit.codes(plane.tick(0.7)))


class ShedTests(testtools.TestCase):
    """Guards against "not run" for a request that ran on another backend."""

    def setUp(self):
        super().setUp()
        self.plane = kit.make_plane()

    def test_a_shed_run_is_tried_elsewhere_within_the_budget(self):
        sent = kit.send(self.plane)
        again = kit.shed(self.plane, sent)
        self.assertNotEqual(kit.target(sent), kit.target(again))
        refused = kit.shed(self.plane, again)
        self.assertEqual([105], kit.codes(refused))
        self.assertTrue(kit.replies(refused)[0].retry_after_ms)

    def test_a_shed_after_a_run_without_an_answer_is_an_unknown_outcome(self):
        kit.send(self.plane, is_repeatable=True, deadline_ms=12000)
        again = kit.pass_time(self.plane, 0, 10)
        second = [each for each in again if kit.runs([each])]
        with mock.patch.object(RetryBudget, 'spend', return_value=False):
            actions = kit.shed(self.plane, second, 10)
        self.assertEqual([201], kit.codes(actions))

    def test_a_shed_after_a_part_of_the_answer_is_ignored(self):
        sent = kit.send(self.plane)
        kit.answer(self.plane, sent, 0, 2)
        self.assertEqual([], kit.shed(self.plane, sent))


class CancelTests(testtools.TestCase):
    """Guards against cancellations that leak a slot or report a wrong code."""

    def setUp(self):
        super().setUp()
        self.plane = kit.make_plane()

    def test_a_waiting_request_is_not_run(self):
        for request_id in range(1, kit.SLOTS + 2):
            kit.send(self.plane, request_id)
        actions = kit.cancel(self.plane, kit.SLOTS + 1)
        self.assertEqual([ResultCode.CANCELLED_BEFORE_RUN], kit.codes(actions))

    def test_a_running_request_frees_its_slot(self):
        for request_id in range(1, kit.SLOTS + 2):
            kit.send(self.plane, request_id)
        actions = kit.cancel(self.plane, 1)
        self.assertEqual([205], kit.codes(actions))
        kinds = [type(each) for each in kit.orders(actions)]
        self.assertEqual([wire.CancelRun, wire.Run], kinds)

    def test_a_cancellation_before_its_request_is_effective(self):
        self.assertEqual(
            [ResultCode.CANCELLED_BEFORE_RUN], kit.codes(kit.cancel(self.plane))
        )
        self.assertEqual(
            [ResultCode.CANCELLED_BEFORE_RUN], kit.codes(kit.send(self.plane))
        )

    def test_an_answered_request_keeps_its_answer(self):
        kit.answer(self.plane, kit.send(self.plane, attempt=3))
        reply = kit.replies(kit.cancel(self.plane))[0]
        self.assertEqual((3, b'y'), (reply.attempt, reply.payload))


class HandoverTests(testtools.TestCase):
    """Guards against two processes that may run the same id."""

    def setUp(self):
        super().setUp()
        self.leaver = kit.make_plane('a', ('a', 'b'))
        self.sent = kit.send(self.leaver)
        kit.send(self.leaver, 2, deadline_ms=0)
        self.bodies = self.leaver.leave(0)

    def hand_over(self, plane):
        for action in self.bodies:
            plane.on_requests_handed_over(
                RequestsHandedOver('a', 1, action.service_id, action.body),
                0,
            )

    def make_successor(self, incarnation=1):
        plane = kit.make_plane('b', ('b',))
        plane._succession._incarnation = incarnation
        self.hand_over(plane)
        return plane

    def test_the_leaving_process_finishes_its_requests(self):
        self.assertEqual('b', self.leaver.successor)
        self.assertEqual('b', result_of(kit.send(self.leaver, 3)))
        reply = kit.replies(kit.answer(self.leaver, self.sent))
        self.assertEqual([b'y'], [each.payload for each in reply])
        self.assertTrue(self.leaver.is_idle())

    def test_the_successor_runs_only_ids_that_were_not_handed_over(self):
        plane = self.make_successor()
        self.assertEqual([201], kit.codes(kit.send(plane, 1)))
        self.assertEqual([103], kit.codes(kit.send(plane, 2)))
        self.assertEqual('run', result_of(kit.send(plane, 3)))

    def test_it_relays_to_the_leaving_process_while_that_is_live(self):
        plane = self.make_successor()
        plane.on_live_view(kit.make_view('b', {'a': 1, 'b': 1}), 0)
        self.assertEqual('a', result_of(kit.send(plane, 1)))

    def test_another_incarnation_of_the_successor_ignores_the_handover(self):
        plane = self.make_successor(incarnation=2)
        self.assertEqual([202], kit.codes(kit.send(plane, 3)))

    def test_a_repeated_handover_changes_nothing(self):
        plane = self.make_successor()
        kit.send(plane, 3, deadline_ms=0)
        self.hand_over(plane)
        self.assertEqual([103], kit.codes(kit.send(plane, 3)))

    def test_others_find_the_successor_when_the_process_is_gone(self):
        plane = kit.make_plane('c', ('c',))
        live = {'a': 1, 'b': 1, 'c': 1}
        plane.on_live_view(kit.make_view('c', live, {'a': 'b'}), 0)
        plane.on_live_view(kit.make_view('c', {'b': 1, 'c': 1}), 0)
        self.assertEqual('b', result_of(kit.send(plane, 3)))

    def test_a_rolling_restart_keeps_the_ids(self):
        second = kit.make_plane('b', ('b', 'c'))
        self.hand_over(second)
        kit.send(second, 3, deadline_ms=0)
        third = kit.make_plane('c', ('c',))
        for action in second.leave(0):
            handed_over = RequestsHandedOver('b', 1, kit.SERVICE, action.body)
            third.on_requests_handed_over(handed_over, 0)
        results = [
            result_of(kit.send(third, number)) for number in (1, 2, 3, 4)
        ]
        self.assertEqual([201, 103, 103, 'run'], results)

    def test_a_late_copy_is_not_forwarded_after_the_handover(self):
        # The copy lacks the requests that the successor ran since the first.
        second = kit.make_plane('b', ('b', 'c'))
        self.hand_over(second)
        second.leave(0)
        copy = RequestsHandedOver('a', 1, kit.SERVICE, self.bodies[0].body)
        self.assertEqual([], second.on_requests_handed_over(copy, 0))

    def test_others_follow_the_successors_of_a_rolling_restart(self):
        plane = kit.make_plane('d', ('d',))
        for live, successors in (
            ({'a': 1, 'b': 1, 'c': 1}, {'a': 'b'}),
            ({'a': 2, 'b': 1, 'c': 1}, {'b': 'c'}),
            ({'a': 2, 'b': 2, 'c': 1}, {}),
        ):
            view = kit.make_view('d', {**live, 'd': 1}, successors)
            plane.on_live_view(view, 0)
        self.assertEqual('c', result_of(kit.send(plane, 3)))

    def test_without_a_successor_new_requests_are_refused(self):
        plane = kit.make_plane()
        plane.leave(0)
        self.assertEqual(
            [ResultCode.BALANCER_LEAVING], kit.codes(kit.send(plane))
        )

    def test_an_invalid_body_is_not_a_handover(self):
        plane = kit.make_plane('b', ('b',))
        noise = RequestsHandedOver('a', 1, kit.SERVICE, b'\xc1')
        self.assertEqual([], plane.on_requests_handed_over(noise, 0))
        self.assertEqual([202], kit.codes(kit.send(plane)))


class OddRequestTests(testtools.TestCase):
    """Guards against exceptions and wrong codes for invalid requests."""

    def test_each_is_refused_or_run_without_an_exception(self):
        for fields, expected in (
            ({'deadline_ms': 2**64 - 1}, 'run'),
            ({'attempt': 2**64 - 1}, 'run'),
            ({'deadline_ms': -5}, 103),
            ({'priority_class': 'none'}, 106),
            ({'payload': bytes(1401)}, ResultCode.PAYLOAD_TOO_LARGE),
            ({'request_id': 0}, 203),
        ):
            fields = {'request_id': 1, **fields}
            actions = kit.send(kit.make_plane(), **fields)
            self.assertEqual(expected, result_of(actions), fields)

    def test_a_service_without_usable_backend_servers_refuses_at_once(self):
        health = kit.FixedHealth({each.backend_id for each in kit.BACKENDS})
        actions = kit.send(kit.make_plane(health=health))
        self.assertEqual([104], kit.codes(actions))

    def test_requests_of_all_services_together_are_bounded(self):
        plane = kit.make_plane()
        with mock.patch.object(executor, 'MAX_IN_PROGRESS', 1):
            kit.send(plane, 1)
            self.assertEqual([101], kit.codes(kit.send(plane, 2)))

    def test_waiting_requests_are_refused_when_no_server_is_left(self):
        health = kit.FixedHealth()
        plane = kit.make_plane(health=health)
        for request_id in range(1, kit.SLOTS + 2):
            kit.send(plane, request_id)
        health.bad.update(each.backend_id for each in kit.BACKENDS)
        self.assertEqual([104], kit.codes(plane.tick(0.05)))

    def test_a_draining_server_finishes_its_runs_and_gets_no_new_one(self):
        plane = kit.make_plane()
        sent = kit.send(plane)
        draining = structs.replace(kit.BACKENDS[0], state=BackendState.DRAINING)
        plane.configure(kit.make_pool((draining, *kit.BACKENDS[1:])), 0)
        again = kit.send(plane, 2)
        self.assertNotEqual(kit.target(sent), kit.target(again))
        self.assertEqual(1, len(kit.replies(kit.answer(plane, sent))))

    def test_requests_of_a_removed_class_are_refused(self):
        plane = kit.make_plane()
        for request_id in range(1, kit.SLOTS + 2):
            kit.send(plane, request_id, priority_class='bulk')
        pool = kit.make_pool()
        service = structs.replace(
            pool.services[0],
            priority_classes=pool.services[0].priority_classes[:1],
        )
        changed = type(pool)(pool.members, (service,))
        self.assertEqual([106], kit.codes(plane.configure(changed, 0)))

    def test_a_service_that_is_not_configured_has_no_backend_server(self):
        plane = kit.make_plane()
        pool = kit.make_pool()
        plane.configure(type(pool)(pool.members, ()), 0)
        self.assertEqual(
            [ResultCode.NO_BACKEND_SERVER], kit.codes(kit.send(plane))
        )
