"""Runs requests at most once and matches their answers.

The executor is the only process that sends runs of a token, so at most once
needs no lease and no clock: a process that was frozen between its check and
its send is still the only one that sends.
"""

from collections.abc import Mapping
from typing import Final

from currantshore import wire
from currantshore.codes import DropReason, ResultCode, is_not_run
from currantshore.internal.answercache import AnswerCache, Outcome
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, SendToBackend, SendToCaller
from currantshore.internal.requestlog import IdState, RequestLog
from currantshore.internal.runs import ActiveRun, RequestKey, RunIds, Work
from currantshore.internal.snapshot import BackendServer, ServiceSnapshot

_MS_PER_S: Final = 1000


class Executor:
    """Requests, runs and outcomes of one process."""

    __slots__ = (
        '_actions',
        '_answers',
        '_counters',
        '_logs',
        '_run_ids',
        '_runs',
        '_services',
        '_works',
    )

    def __init__(self, counters: Counters, run_ids: RunIds) -> None:
        """Start without requests."""
        self._counters = counters
        self._run_ids = run_ids
        self._services: Mapping[str, ServiceSnapshot] = {}
        self._logs: dict[int, RequestLog] = {}
        self._works: dict[RequestKey, Work] = {}
        self._runs: dict[int, ActiveRun] = {}
        self._answers = AnswerCache()
        self._actions: list[Action] = []

    def configure(self, services: Mapping[str, ServiceSnapshot]) -> None:
        """Use the services of a new configuration."""
        self._services = services

    def collect(self) -> list[Action]:
        """Return the actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def submit(self, work: Work, first_request_id: int, now_s: float) -> None:
        """Run ``work`` if its id is fresh, else repeat its outcome."""
        held = self._works.get(work.key)
        if held is not None:
            self._counters.count(Count.REQUESTS_DUPLICATE)
            held.attempt = max(held.attempt, work.attempt)
            return
        log = self._logs.setdefault(work.flow_key, RequestLog())
        if work.request.request_id < first_request_id:
            self.refuse_unlogged(work, ResultCode.REQUEST_ID_TOO_OLD)
            return
        match log.state(work.request.request_id):
            case IdState.TOO_OLD:
                self.refuse_unlogged(work, ResultCode.REQUEST_ID_TOO_OLD)
            case IdState.SEEN:
                self._repeat(work, log)
            case IdState.FRESH:
                log.note(work.request.request_id)
                self._works[work.key] = work
                self._send_run(work, now_s)

    def cancel(
        self,
        flow_key: int,
        caller: wire.Endpoint,
        request_id: int,
    ) -> bool:
        """Withdraw a request; ``False`` if it is not in progress here."""
        work = self._works.get((flow_key, request_id))
        if work is None or work.caller != caller:
            return False
        for run in list(self._runs.values()):
            if run.work is work:
                self._stop_run(run)
        self._refuse(work, ResultCode.CANCELLED_WHILE_RUNNING)
        return True

    def on_run_answer(
        self,
        source: wire.Endpoint,
        answer: wire.RunAnswer,
    ) -> None:
        """Keep one part; send the answer to its caller once it is whole."""
        run = self._runs.get(answer.run_id)
        if run is None or not run.accepts(source, answer.service_id):
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        if answer.caller != run.work.caller:
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        if not run.add_part(answer):
            self._counters.drop(DropReason.ANSWER_DUPLICATE)
            return
        if run.is_whole():
            self._runs.pop(run.run_id)
            self._answer(run)

    def on_run_shed(self, source: wire.Endpoint, shed: wire.RunShed) -> None:
        """Refuse a request that its backend server did not start."""
        run = self._runs.get(shed.run_id)
        if run is None or not run.accepts(source, shed.service_id):
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        self._runs.pop(run.run_id)
        run.work.may_have_run = False
        self._refuse(
            run.work,
            ResultCode.BACKEND_SERVER_SHED,
            shed.retry_after_ms,
        )

    def tick(self, now_s: float) -> None:
        """Give up on runs whose answer is overdue."""
        for run in list(self._runs.values()):
            if run.expires_s <= now_s:
                self._stop_run(run)
                self._refuse(run.work, ResultCode.ANSWER_TIMEOUT)

    def is_idle(self) -> bool:
        """Tell whether no request is in progress."""
        return not self._works

    def demands(self) -> dict[str, int]:
        """Return the requests in progress for each service."""
        demands = dict.fromkeys(self._services, 0)
        for work in self._works.values():
            demands[work.service_id] = demands.get(work.service_id, 0) + 1
        return demands

    def refuse_unlogged(
        self,
        work: Work,
        code: ResultCode,
        retry_after_ms: int = 0,
    ) -> None:
        """Refuse one sending of a request without recording its id.

        Only for codes that do not promise that the request was not run.
        """
        self._counters.refuse(code)
        self._tell(
            work,
            Outcome(
                work.service_id,
                work.caller,
                work.request.request_id,
                code,
                retry_after_ms,
            ),
        )

    def _repeat(self, work: Work, log: RequestLog) -> None:
        self._counters.count(Count.REQUESTS_DUPLICATE)
        request_id = work.request.request_id
        held = self._answers.get(work.flow_key, request_id, work.caller)
        if held is None:
            self.refuse_unlogged(work, log.code(request_id))
            return
        self._tell(work, held)

    def _send_run(self, work: Work, now_s: float) -> None:
        backend = self._backend(work)
        if backend is None:
            self._refuse(work, ResultCode.NO_BACKEND_SERVER)
            return
        if work.deadline_s <= now_s:
            self._refuse(work, ResultCode.DEADLINE_PASSED)
            return
        service = self._services[work.service_id]
        run = ActiveRun(
            self._run_ids.take(),
            work,
            backend.backend_id,
            backend.endpoint,
            now_s,
            min(work.deadline_s, now_s + service.answer_timeout_s),
        )
        self._runs[run.run_id] = run
        work.may_have_run = True
        self._counters.count(Count.REQUESTS_RUN)
        self._actions.append(_run_order(run, now_s))

    def _backend(self, work: Work) -> BackendServer | None:
        service = self._services.get(work.service_id)
        if service is None:
            return None
        usable = service.takes_new_flows()
        for backend in usable:
            if backend.backend_id == work.backend_id:
                return backend
        return usable[0] if usable else None

    def _stop_run(self, run: ActiveRun) -> None:
        self._runs.pop(run.run_id)
        order = wire.CancelRun(run.work.service_id, run.run_id)
        self._actions.append(SendToBackend(run.target, wire.encode(order)))

    def _answer(self, run: ActiveRun) -> None:
        work = run.work
        self._counters.count(Count.REQUESTS_ANSWERED)
        outcome = Outcome(
            work.service_id,
            work.caller,
            work.request.request_id,
            ResultCode.OK,
            run_id=run.run_id,
            parts=run.whole(),
        )
        self._finish(work, outcome)

    def _refuse(
        self,
        work: Work,
        code: ResultCode,
        retry_after_ms: int = 0,
    ) -> None:
        if work.may_have_run and is_not_run(code):
            code = ResultCode.OUTCOME_UNKNOWN
        self._counters.refuse(code)
        outcome = Outcome(
            work.service_id,
            work.caller,
            work.request.request_id,
            code,
            retry_after_ms,
        )
        self._finish(work, outcome)

    def _finish(self, work: Work, outcome: Outcome) -> None:
        self._works.pop(work.key, None)
        log = self._logs.setdefault(work.flow_key, RequestLog())
        if outcome.code is not ResultCode.OK:
            log.note(outcome.request_id, outcome.code)
        self._answers.put(work.flow_key, outcome)
        self._tell(work, outcome)

    def _tell(self, work: Work, outcome: Outcome) -> None:
        sends: list[SendToCaller] = outcome.to_actions(work.attempt)
        self._actions.extend(sends)


def _run_order(run: ActiveRun, now_s: float) -> SendToBackend:
    work = run.work
    order = wire.Run(
        work.service_id,
        work.caller,
        run.run_id,
        work.request.request_id,
        work.attempt,
        work.request.priority_class,
        int((work.deadline_s - now_s) * _MS_PER_S),
        work.request.payload,
    )
    return SendToBackend(run.target, wire.encode(order))
