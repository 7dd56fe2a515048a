"""Ends requests: records their ids and outcomes and answers the callers."""

from currantshore.codes import ResultCode, is_not_run
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action
from currantshore.internal.requests.answercache import AnswerCache, Outcome
from currantshore.internal.requests.requestlogs import RequestLogs
from currantshore.internal.requests.runs import ActiveRun, RequestKey, Work


class Outcomes:
    """Requests in progress and the outcomes of those that ended.

    All refusals of requests with a valid token pass through this class.
    ``refuse`` replaces a code that promises "not run" by ``OUTCOME_UNKNOWN``
    if the request may have run.
    """

    __slots__ = ('_actions', '_answers', '_counters', 'logs', 'works')

    def __init__(self, counters: Counters) -> None:
        """Initialize without requests."""
        self._counters = counters
        self._answers = AnswerCache()
        self._actions: list[Action] = []
        self.logs = RequestLogs()
        self.works: dict[RequestKey, Work] = {}

    def collect(self) -> list[Action]:
        """Return the actions added since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def add_action(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def begin(self, work: Work) -> bool:
        """Record a fresh request; refuse it if there are too many flows.

        Returns ``False`` if the request was refused.
        """
        request_id = work.request.request_id
        if not self.logs.record(work.service_id, work.flow_key, request_id):
            # The id is not recorded, so a copy of the request may run later,
            # and "not run" cannot be promised.
            self.refuse_once(work, ResultCode.OUTCOME_UNKNOWN)
            return False
        self.works[work.key] = work
        return True

    def resend_outcome(self, work: Work) -> None:
        """Send the outcome of a request to the caller again."""
        self._counters.count(Count.REQUESTS_DUPLICATE)
        request_id = work.request.request_id
        cached = self._answers.get(work.flow_key, request_id, work.caller)
        if cached is not None:
            self._send(work, cached)
            return
        log = self.logs.find(work.flow_key)
        code = log.code(request_id) if log else ResultCode.OUTCOME_UNKNOWN
        self.refuse_once(work, code)

    def has_outcome(self, work: Work) -> bool:
        """Return whether ``resend_outcome`` would send a known outcome."""
        request_id = work.request.request_id
        if self._answers.get(work.flow_key, request_id, work.caller):
            return True
        log = self.logs.find(work.flow_key)
        if log is None:
            return False
        return log.code(request_id) is not ResultCode.OUTCOME_UNKNOWN

    def answer(self, run: ActiveRun) -> None:
        """End a request with a complete answer and send it to the caller."""
        self._counters.count(Count.REQUESTS_ANSWERED)
        work = run.work
        outcome = Outcome(
            work.service_id,
            work.caller,
            work.request.request_id,
            work.attempt,
            ResultCode.OK,
            run_id=run.run_id,
            parts=run.payloads(),
        )
        self._finish(work, outcome)

    def refuse(
        self,
        work: Work,
        code: ResultCode,
        retry_after_ms: int = 0,
    ) -> None:
        """End a request without an answer."""
        if is_not_run(code) and (work.has_run or work.may_have_run_elsewhere):
            code = ResultCode.OUTCOME_UNKNOWN
        self._counters.refuse(code)
        self._finish(work, _refusal(work, code, retry_after_ms))

    def refuse_once(
        self,
        work: Work,
        code: ResultCode,
        retry_after_ms: int = 0,
    ) -> None:
        """Refuse one attempt of a request without recording its id.

        The code must not promise "not run" unless the log contains that code.
        """
        self._counters.refuse(code)
        self._send(work, _refusal(work, code, retry_after_ms))

    def mark_possibly_run_elsewhere(self) -> None:
        """Mark the repeatable requests as possibly run by another balancer."""
        for work in self.works.values():
            if work.request.is_repeatable:
                work.may_have_run_elsewhere = True

    def _finish(self, work: Work, outcome: Outcome) -> None:
        self.works.pop(work.key, None)
        # The code of a refusal is in the log. In the cache, the refusals of a
        # flood would displace the answers.
        if outcome.code is ResultCode.OK:
            self._answers.put(work.flow_key, outcome)
        else:
            self.logs.record(
                work.service_id,
                work.flow_key,
                outcome.request_id,
                outcome.code,
            )
        self._send(work, outcome)

    def _send(self, work: Work, outcome: Outcome) -> None:
        self._actions.extend(outcome.to_actions(work.attempt))


def _refusal(work: Work, code: ResultCode, retry_after_ms: int) -> Outcome:
    return Outcome(
        work.service_id,
        work.caller,
        work.request.request_id,
        work.attempt,
        code,
        retry_after_ms,
    )
