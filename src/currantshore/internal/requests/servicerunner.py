"""Runs the requests of one service on its backend servers."""

import math
from typing import Final

from currantshore import wire
from currantshore.codes import DropReason, ResultCode, RetryReason
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import SendToBackend
from currantshore.internal.requests.admission import AdmissionQueue
from currantshore.internal.requests.capacity import Capacity
from currantshore.internal.requests.outcomes import Outcomes
from currantshore.internal.requests.retrybudget import RetryBudget
from currantshore.internal.requests.runs import ActiveRun, RunIds, Work
from currantshore.internal.snapshot import BackendServer, ServiceSnapshot

_MS_PER_S: Final = 1000
_RETRY_AFTER_MS: Final = 1000

# A run is lost when its backend server has been unusable for this long. A
# server may be judged unusable by mistake for a shorter time.
_LOST_AFTER_S: Final = 0.5

# Time constant of the decay of the peak demand.
_PEAK_WINDOW_S: Final = 2.0


class ServiceRunner:
    """Admission, runs and retries of one service."""

    __slots__ = (
        '_budget',
        '_capacity',
        '_counters',
        '_outcomes',
        '_peak',
        '_peak_updated_s',
        '_queue',
        '_run_ids',
        '_runs',
        '_service',
    )

    def __init__(
        self,
        service: ServiceSnapshot,
        capacity: Capacity,
        outcomes: Outcomes,
        run_ids: RunIds,
        counters: Counters,
    ) -> None:
        """Initialize without requests; call ``configure`` next."""
        self._service = service
        self._capacity = capacity
        self._outcomes = outcomes
        self._run_ids = run_ids
        self._counters = counters
        self._peak = 0.0
        self._peak_updated_s = 0.0
        self._budget = RetryBudget()
        self._queue = AdmissionQueue()
        self._runs: dict[int, ActiveRun] = {}

    @property
    def service(self) -> ServiceSnapshot:
        """The current configuration of the service."""
        return self._service

    @property
    def capacity(self) -> Capacity:
        """The backend servers' slots that this balancer may use."""
        return self._capacity

    def demand(self) -> int:
        """Return the recent peak of outstanding and waiting requests.

        The current count would reassign slots at every heartbeat, and each
        reassignment can cause a shed.
        """
        return max(self._in_progress(), int(self._peak))

    def configure(self, service: ServiceSnapshot, now_s: float) -> None:
        """Apply a new configuration; outstanding runs continue."""
        self._service = service
        self._capacity.configure(service.active_backends(), now_s)
        for work in self._queue.configure(service.priority_classes):
            self._outcomes.refuse(work, ResultCode.UNKNOWN_PRIORITY_CLASS)
        self.dispatch(now_s)

    def retire(self, now_s: float) -> None:
        """Refuse waiting requests; the service is no longer configured."""
        self._capacity.configure((), now_s)
        self._refuse_waiting()

    def offer(self, work: Work, now_s: float) -> None:
        """Run, queue or refuse a fresh request."""
        self._budget.on_request(now_s)
        if not self._capacity.has_usable():
            self._outcomes.refuse(
                work,
                ResultCode.NO_BACKEND_SERVER,
                _RETRY_AFTER_MS,
            )
            return
        slots = self._capacity.slot_count(now_s)
        rejection = self._queue.offer(work, slots, now_s)
        if rejection is not None:
            self._outcomes.refuse(
                rejection.work,
                rejection.code,
                rejection.retry_after_ms,
            )
        self.dispatch(now_s)

    def cancel(self, work: Work, now_s: float) -> None:
        """Cancel a request and free its slot."""
        run = self._runs.get(work.run_id)
        if run is None:
            self._queue.withdraw(work)
            self._outcomes.refuse(work, ResultCode.CANCELLED_BEFORE_RUN)
            return
        self._cancel_run(run, now_s)
        self._outcomes.refuse(work, ResultCode.CANCELLED_WHILE_RUNNING)
        self.dispatch(now_s)

    def on_answer(
        self,
        source: wire.Endpoint,
        answer: wire.RunAnswer,
        now_s: float,
    ) -> None:
        """Store a part; send the answer to its caller when it is complete."""
        run = self._runs.get(answer.run_id)
        if run is None or not run.matches_answer(source, answer):
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        if not run.add_part(answer):
            self._counters.drop(DropReason.ANSWER_DUPLICATE)
            return
        if run.is_complete():
            self._end(run, now_s, is_answered=True)
            self._capacity.on_success(run.backend_id, now_s)
            self._outcomes.answer(run)
            self.dispatch(now_s)

    def on_shed(
        self,
        source: wire.Endpoint,
        shed: wire.RunShed,
        now_s: float,
    ) -> None:
        """Retry a shed run on another backend server, or refuse it."""
        run = self._runs.get(shed.run_id)
        if run is None or not run.matches_shed(source, shed):
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        self._end(run, now_s, is_answered=False)
        retry_after_s = shed.retry_after_ms / _MS_PER_S
        self._capacity.on_shed(run.backend_id, retry_after_s, now_s)
        work = run.work
        work.has_run = run.has_run_before
        if not self._retry(work, RetryReason.BACKEND_SERVER_SHED, now_s):
            self._outcomes.refuse(
                work,
                ResultCode.BACKEND_SERVER_SHED,
                max(shed.retry_after_ms, 1),
            )
        self.dispatch(now_s)

    def is_busy(self) -> bool:
        """Return whether any request is running or waiting."""
        return bool(self._runs) or bool(self._queue)

    def tick(self, now_s: float) -> None:
        """End late requests and runs, then use the free slots."""
        self._update_peak(now_s)
        for run in list(self._runs.values()):
            self._check_run(run, now_s)
        if not self._queue:
            return
        if not self._capacity.has_usable():
            self._refuse_waiting()
        for work in self._queue.remove_late(now_s):
            self._refuse_late(work, now_s)
        self.dispatch(now_s)

    def dispatch(self, now_s: float) -> None:
        """Run waiting requests while there are free slots."""
        unsent: list[Work] = []
        while self._queue and self._capacity.has_room(now_s):
            work = self._queue.pop_next()
            if work is not None and not self._start(work, now_s):
                unsent.append(work)
        self._queue.requeue(reversed(unsent))

    def _start(self, work: Work, now_s: float) -> bool:
        """Run or refuse ``work``; return ``False`` if it has to wait."""
        # Checks the deadline again because the process may have been paused
        # while the request was waiting.
        if self._queue.is_too_late(work, now_s):
            self._refuse_late(work, now_s)
            return True
        if not self._capacity.has_usable(work.tried):
            self._outcomes.refuse(
                work,
                ResultCode.BACKEND_SERVER_SHED,
                self._retry_after_ms(work, now_s),
            )
            return True
        backend = self._capacity.choose(work.backend_id, work.tried, now_s)
        if backend is None:
            return False
        self._send(work, backend, now_s)
        return True

    def _send(self, work: Work, backend: BackendServer, now_s: float) -> None:
        run = ActiveRun(
            self._run_ids.next_id(),
            work,
            backend.backend_id,
            backend.endpoint,
            now_s,
            min(work.deadline_s, now_s + self._service.answer_timeout_s),
            work.has_run,
        )
        self._runs[run.run_id] = run
        work.run_id = run.run_id
        work.has_run = True
        self._capacity.acquire(backend.backend_id)
        self._queue.on_start(work, now_s)
        self._counters.count(Count.REQUESTS_RUN)
        order = wire.encode(run.to_message(now_s))
        self._outcomes.add_action(SendToBackend(run.target, order))

    def _update_peak(self, now_s: float) -> None:
        factor = math.exp((self._peak_updated_s - now_s) / _PEAK_WINDOW_S)
        self._peak_updated_s = now_s
        self._peak = max(self._peak * factor, float(self._in_progress()))

    def _in_progress(self) -> int:
        return len(self._runs) + len(self._queue)

    def _check_run(self, run: ActiveRun, now_s: float) -> None:
        if run.expires_s <= now_s:
            self._fail_run(
                run,
                ResultCode.ANSWER_TIMEOUT,
                RetryReason.BACKEND_SERVER_LOST,
                now_s,
            )
            return
        if self._capacity.is_usable(run.backend_id):
            run.unusable_since_s = None
        elif run.unusable_since_s is None:
            run.unusable_since_s = now_s
        elif now_s - run.unusable_since_s >= _LOST_AFTER_S:
            self._fail_run(
                run,
                ResultCode.BACKEND_SERVER_LOST,
                RetryReason.BACKEND_SERVER_LOST,
                now_s,
            )

    def _fail_run(
        self,
        run: ActiveRun,
        code: ResultCode,
        reason: RetryReason,
        now_s: float,
    ) -> None:
        self._cancel_run(run, now_s)
        self._capacity.on_timeout(run.backend_id, now_s)
        work = run.work
        if work.request.is_repeatable and self._retry(work, reason, now_s):
            return
        self._outcomes.refuse(work, code, self._retry_after_ms(work, now_s))

    def _retry(self, work: Work, reason: RetryReason, now_s: float) -> bool:
        if not self._queue.can_requeue(work, now_s):
            return False
        if not self._capacity.has_usable(work.tried):
            return False
        if not self._budget.spend(now_s):
            return False
        self._counters.retry(reason)
        self._queue.requeue([work])
        return True

    def _cancel_run(self, run: ActiveRun, now_s: float) -> None:
        self._end(run, now_s, is_answered=False)
        order = wire.CancelRun(run.work.service_id, run.run_id)
        self._outcomes.add_action(SendToBackend(run.target, wire.encode(order)))

    def _end(self, run: ActiveRun, now_s: float, *, is_answered: bool) -> None:
        self._runs.pop(run.run_id)
        run.work.run_id = 0
        run.work.tried |= {run.backend_id}
        self._capacity.release(run.backend_id)
        self._queue.on_end(
            run.work,
            now_s - run.started_s,
            is_answered=is_answered,
        )

    def _refuse_waiting(self) -> None:
        for work in self._queue.drain():
            self._outcomes.refuse(
                work,
                ResultCode.NO_BACKEND_SERVER,
                _RETRY_AFTER_MS,
            )

    def _refuse_late(self, work: Work, now_s: float) -> None:
        code = ResultCode.DEADLINE_TOO_SHORT
        if work.deadline_s <= now_s:
            code = ResultCode.DEADLINE_PASSED
        self._outcomes.refuse(work, code, self._retry_after_ms(work, now_s))

    def _retry_after_ms(self, work: Work, now_s: float) -> int:
        slots = self._capacity.slot_count(now_s)
        return max(1, int(self._queue.wait_s(work, slots) * _MS_PER_S))
