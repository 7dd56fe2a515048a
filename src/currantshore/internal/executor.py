"""Takes requests in at their executor and runs each at most once.

The executor is the only process that sends runs of a token, so at most once
needs no lease and no clock: a process that was paused between its check and
its send is still the only one that sends.
"""

from collections.abc import Mapping
from typing import Final

from currantshore import wire
from currantshore.codes import DropReason, ResultCode
from currantshore.internal.capacity import AdmissionMode, Capacity
from currantshore.internal.counters import Count, Counters
from currantshore.internal.outcomes import Outcomes
from currantshore.internal.requestlog import IdState
from currantshore.internal.runs import RunIds, Work
from currantshore.internal.servicerunner import ServiceRunner
from currantshore.internal.snapshot import ServiceSnapshot
from currantshore.internal.views import BackendHealth, LiveView

_RETRY_AFTER_MS: Final = 1000


class Executor:
    """The requests of one process, by service."""

    __slots__ = (
        '_counters',
        '_health',
        '_host_id',
        '_mode',
        '_outcomes',
        '_run_ids',
        '_runners',
        '_view',
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        counters: Counters,
        health: BackendHealth,
        mode: AdmissionMode = AdmissionMode.WEIGHTED_SHARES,
    ) -> None:
        """Start without services and requests."""
        self._host_id = host_id
        self._counters = counters
        self._health = health
        self._mode = mode
        self._outcomes = Outcomes(counters)
        self._run_ids = RunIds(host_id, incarnation)
        self._runners: dict[str, ServiceRunner] = {}
        self._view: LiveView | None = None

    @property
    def outcomes(self) -> Outcomes:
        """Requests in progress and how the others ended."""
        return self._outcomes

    def configure(
        self,
        services: Mapping[str, ServiceSnapshot],
        now_s: float,
    ) -> None:
        """Use the services of a new configuration."""
        for service_id in self._runners.keys() - services.keys():
            self._runners[service_id].retire()
            if not self._runners[service_id].demand():
                self._runners.pop(service_id)
        for service in services.values():
            runner = self._runner(service)
            runner.configure(service, now_s)
        timeouts = [each.flow_idle_timeout_s for each in services.values()]
        if timeouts:
            self._outcomes.logs.retention_s = max(timeouts)

    def on_live_view(self, view: LiveView, now_s: float) -> None:
        """Share slots with the balancers that are live now."""
        self._view = view
        for service_id, runner in self._runners.items():
            runner.capacity.on_demands(self._demands_of(service_id))
            runner.dispatch(now_s)

    def state(self, work: Work, first_request_id: int) -> IdState:
        """Tell whether the id of ``work`` is fresh here."""
        if work.key in self._outcomes.works:
            return IdState.SEEN
        if work.request.request_id < first_request_id:
            return IdState.TOO_OLD
        log = self._outcomes.logs.find(work.flow_key)
        return log.state(work.request.request_id) if log else IdState.FRESH

    def submit(self, work: Work, now_s: float) -> None:
        """Run, queue or refuse a request with a fresh id."""
        if not self._outcomes.begin(work):
            return
        runner = self._runners.get(work.service_id)
        if runner is None:
            self._outcomes.refuse(
                work, ResultCode.NO_BACKEND_SERVER, _RETRY_AFTER_MS
            )
        elif len(work.request.payload) > wire.MAX_PAYLOAD_SIZE_BYTES:
            self._outcomes.refuse(work, ResultCode.PAYLOAD_TOO_LARGE)
        else:
            runner.offer(work, now_s)

    def refuse_fresh(self, work: Work, code: ResultCode) -> None:
        """Record a fresh id as used and refuse the request."""
        if self._outcomes.begin(work):
            self._outcomes.refuse(work, code, _RETRY_AFTER_MS)

    def repeat(self, work: Work) -> None:
        """Handle a re-sent request: wait for its outcome or tell it again."""
        held = self._outcomes.works.get(work.key)
        if held is None:
            self._outcomes.repeat(work)
            return
        self._counters.count(Count.REQUESTS_DUPLICATE)
        held.attempt = max(held.attempt, work.attempt)

    def is_in_progress(self, work: Work) -> bool:
        """Tell whether the request of ``work`` waits or runs here."""
        held = self._outcomes.works.get(work.key)
        return held is not None and held.caller == work.caller

    def knows_outcome(self, work: Work) -> bool:
        """Tell whether the outcome is held here or will be."""
        return self.is_in_progress(work) or self._outcomes.has_outcome(work)

    def cancel(self, work: Work, now_s: float) -> None:
        """Withdraw a request that is in progress here."""
        held = self._outcomes.works[work.key]
        self._counters.count(Count.REQUESTS_CANCELLED)
        self._runners[held.service_id].cancel(held, now_s)

    def on_run_answer(
        self,
        source: wire.Endpoint,
        answer: wire.RunAnswer,
        now_s: float,
    ) -> None:
        """Handle one part of a run's result."""
        runner = self._runners.get(answer.service_id)
        if runner is None:
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        runner.on_answer(source, answer, now_s)

    def on_run_shed(
        self,
        source: wire.Endpoint,
        shed: wire.RunShed,
        now_s: float,
    ) -> None:
        """Handle a backend server's refusal to start a run."""
        runner = self._runners.get(shed.service_id)
        if runner is None:
            self._counters.drop(DropReason.ANSWER_UNMATCHED)
            return
        runner.on_shed(source, shed, now_s)

    def tick(self, now_s: float) -> None:
        """Do what is due at ``now_s``."""
        for runner in self._runners.values():
            runner.tick(now_s)

    def demands(self) -> dict[str, int]:
        """Return the outstanding and waiting requests of each service."""
        return {
            service_id: runner.demand()
            for service_id, runner in self._runners.items()
        }

    def _runner(self, service: ServiceSnapshot) -> ServiceRunner:
        held = self._runners.get(service.service_id)
        if held is not None:
            return held
        capacity = Capacity(self._host_id, self._health, self._mode)
        capacity.on_demands(self._demands_of(service.service_id))
        runner = ServiceRunner(
            service,
            capacity,
            self._outcomes,
            self._run_ids,
            self._counters,
        )
        self._runners[service.service_id] = runner
        return runner

    def _demands_of(self, service_id: str) -> dict[str, int]:
        # A leaving balancer still runs what it has taken, so it keeps a share
        # for as long as it reports demand.
        if self._view is None:
            return {self._host_id: 0}
        demands = {
            peer.host_id: peer.demands.get(service_id, 0)
            for peer in self._view.peers.values()
            if not peer.is_leaving or peer.demands.get(service_id, 0)
        }
        demands.setdefault(self._host_id, 0)
        return demands
