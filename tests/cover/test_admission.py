"""Tests of priority classes, round robin, queue bounds and refusals."""

import testtools

from currantshore import wire
from currantshore.codes import ResultCode
from currantshore.internal.requests.admission import AdmissionQueue
from currantshore.internal.requests.runs import Work
from currantshore.internal.snapshot import PriorityClass
from tests.cover import request_kit as kit

CLASSES = (
    PriorityClass('urgent', 0, 0.3, queue_limit=32),
    PriorityClass('bulk', 1, 0.2, queue_limit=32),
)
RUN_S = 0.1


def make_work(request_id, priority_class='urgent', port=1, deadline_ms=60000):
    request = kit.make_request(
        request_id,
        priority_class=priority_class,
        deadline_ms=deadline_ms,
    )
    caller = wire.Endpoint('c', port)
    return Work.from_request(kit.SERVICE, caller, port, 'dw-0', request, 0)


class QueueCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = AdmissionQueue()
        self.queue.configure(CLASSES)
        self.next_id = 0

    def offer(self, *arguments, **fields):
        self.next_id += 1
        work = make_work(self.next_id, *arguments, **fields)
        return self.queue.offer(work, 1, 0)

    def record_run(self, priority_class):
        work = make_work(0, priority_class)
        self.queue.on_start(work, 0)
        self.queue.on_end(work, RUN_S, is_answered=True)

    def serve(self, count, now_s=0.0):
        """Run ``count`` requests one by one; return their classes."""
        served = []
        for _ in range(count):
            work = self.queue.pop_next()
            self.queue.on_start(work, now_s)
            now_s += RUN_S
            self.queue.on_end(work, RUN_S, is_answered=True)
            served.append(work.request.priority_class)
        return served


class UrgencyTests(QueueCase):
    """Guards against urgent work that waits or that starves other work."""

    def test_urgent_work_goes_first(self):
        self.offer('bulk')
        self.offer('urgent')
        self.assertEqual(['urgent', 'bulk'], self.serve(2))

    def test_in_a_flood_of_urgent_work_bulk_keeps_its_share(self):
        for port in range(32):
            self.offer('urgent', port)
            self.offer('bulk', port)
        served = self.serve(30)
        self.assertGreaterEqual(served.count('bulk'), 6)
        self.assertGreaterEqual(served.count('urgent'), 21)

    def test_a_class_alone_gets_everything(self):
        for port in range(32):
            self.offer('bulk', port)
        self.assertEqual(32, self.serve(32).count('bulk'))

    def test_spare_slots_used_before_do_not_count_against_the_share(self):
        for port in range(32):
            self.offer('bulk', port)
        self.serve(32)
        for port in range(32):
            self.offer('urgent', port)
            self.offer('bulk', port)
        self.assertIn('bulk', self.serve(6, 3.2))

    def test_idle_time_gives_bounded_credit(self):
        for port in range(32):
            self.offer('urgent', port)
        self.serve(30)
        for port in range(32):
            self.offer('bulk', port)
            self.offer('urgent', port)
        self.assertLess(self.serve(10, 3.0).count('bulk'), 5)


class RoundRobinTests(QueueCase):
    """Guards against one caller that locks out others of its class."""

    def test_callers_are_served_round_robin(self):
        for _ in range(3):
            self.offer('urgent', 1)
        self.offer('urgent', 2)
        ports = [self.queue.pop_next().caller.port for _ in range(4)]
        self.assertEqual([1, 2, 1, 1], ports)

    def test_one_caller_has_a_bounded_queue(self):
        codes = [self.offer('urgent', 1) for _ in range(5)]
        self.assertEqual({None}, set(codes[:4]))
        self.assertIs(ResultCode.CALLER_LIMIT, codes[4].code)

    def test_in_a_full_class_the_longest_queue_loses_one(self):
        for port in range(8):
            for _ in range(4):
                self.offer('urgent', port)
        rejection = self.offer('urgent', 99)
        self.assertIs(ResultCode.QUEUE_FULL, rejection.code)
        self.assertNotEqual(99, rejection.work.caller.port)
        self.assertEqual(32, len(self.queue))

    def test_in_a_full_class_of_equals_the_new_request_is_refused(self):
        for port in range(32):
            self.offer('urgent', port)
        rejection = self.offer('urgent', 0)
        self.assertIs(ResultCode.QUEUE_FULL, rejection.code)
        self.assertEqual(0, rejection.work.caller.port)


class ArrivalTests(QueueCase):
    """Guards against queuing requests that cannot finish in time."""

    def test_a_wait_beyond_the_deadline_is_refused_on_arrival(self):
        self.record_run('urgent')
        for port in range(5):
            self.offer('urgent', port)
        rejection = self.offer('urgent', 9, deadline_ms=300)
        self.assertIs(ResultCode.DEADLINE_TOO_SHORT, rejection.code)
        self.assertGreaterEqual(rejection.retry_after_ms, 100)

    def test_urgent_work_does_not_wait_for_bulk_work(self):
        self.record_run('bulk')
        for port in range(20):
            self.offer('bulk', port)
        self.assertIsNone(self.offer('urgent', 9, deadline_ms=300))

    def test_a_late_request_is_removed_before_its_deadline(self):
        self.record_run('urgent')
        self.offer('urgent', 1, deadline_ms=300)
        self.assertEqual([], self.queue.remove_late(0.1))
        self.assertEqual(1, len(self.queue.remove_late(0.25)))
        self.assertEqual(0, len(self.queue))

    def test_a_request_that_need_not_wait_is_run_in_any_case(self):
        self.record_run('urgent')
        work = make_work(1, deadline_ms=50)
        self.assertFalse(self.queue.is_too_late(work, 0))
        self.assertTrue(self.queue.is_too_late(work, 0.01))

    def test_an_unknown_class_is_refused(self):
        rejection = self.offer('none')
        self.assertIs(ResultCode.UNKNOWN_PRIORITY_CLASS, rejection.code)

    def test_requests_of_a_removed_class_are_returned(self):
        self.offer('bulk')
        self.assertEqual(1, len(self.queue.configure(CLASSES[:1])))


class WithdrawTests(QueueCase):
    """Guards against running cancelled requests."""

    def test_a_withdrawn_request_is_not_run(self):
        work = make_work(1)
        self.queue.offer(work, 1, 0)
        self.assertTrue(self.queue.withdraw(work))
        self.assertFalse(self.queue.withdraw(work))
        self.assertIsNone(self.queue.pop_next())

    def test_a_request_that_was_put_back_is_the_next(self):
        self.offer('urgent', 1)
        self.offer('urgent', 2)
        work = self.queue.pop_next()
        self.queue.requeue([work])
        self.assertIs(work, self.queue.pop_next())
