"""Accepts requests at their executor and runs them.

A request that is not repeatable runs at most once, because only its executor,
or the successor with its request ids, sends runs of it. This needs neither a
lease nor a clock: a process that was paused between its check and its send is
still the only sender. Repeatable requests may run again, also elsewhere.
"""

from collections.abc import Mapping
from typing import Final

from currantshore import wire
from currantshore.codes import DropReason, ResultCode
from currantshore.internal.counters import Count, Counters
from currantshore.internal.requests.capacity import AdmissionMode, Capacity
from currantshore.internal.requests.executorchoice import executor_hosts
from currantshore.internal.requests.outcomes import Outcomes
from currantshore.internal.requests.requestlog import IdState
from currantshore.internal.requests.runs import RunIds, Work
from currantshore.internal.requests.servicerunner import ServiceRunner
from currantshore.internal.snapshot import ServiceSnapshot
from currantshore.internal.turns import Turns
from currantshore.internal.views import BackendHealth, LiveView

_RETRY_AFTER_MS: Final = 1000

# Queues are bounded for each class of each service. This bounds their sum to
# about 23 MB of payload when many services are flooded at the same time.
MAX_IN_PROGRESS: Final = 16384

# Minimum time between changes of slot shares: half the heartbeat interval.
_SHARE_INTERVAL_S: Final = 0.25


class Executor:
    """Runs the requests whose executor is this process, by service."""

    __slots__ = (
        '_applied_s',
        '_counters',
        '_health',
        '_host_id',
        '_mode',
        '_outcomes',
        '_owners',
        '_run_ids',
        '_runners',
        '_turns',
        '_view',
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        counters: Counters,
        health: BackendHealth,
        mode: AdmissionMode = AdmissionMode.FAIR_SHARES,
    ) -> None:
        """Initialize without services and requests."""
        self._host_id = host_id
        self._counters = counters
        self._health = health
        self._mode = mode
        self._outcomes = Outcomes(counters)
        self._run_ids = RunIds(host_id, incarnation)
        self._runners: dict[str, ServiceRunner] = {}
        self._turns = Turns()
        self._view: LiveView | None = None
        self._owners: tuple[str, ...] = ()
        self._applied_s = float('-inf')

    @property
    def outcomes(self) -> Outcomes:
        """Requests in progress and outcomes of those that ended."""
        return self._outcomes

    def configure(
        self,
        services: Mapping[str, ServiceSnapshot],
        now_s: float,
    ) -> None:
        """Apply the services of a new configuration."""
        for service_id in self._runners.keys() - services.keys():
            self._runners[service_id].retire(now_s)
            if not self._runners[service_id].demand():
                self._runners.pop(service_id)
        for service in services.values():
            runner = self._runner(service, now_s)
            runner.configure(service, now_s)
        timeouts = [each.flow_idle_timeout_s for each in services.values()]
        if timeouts:
            self._outcomes.logs.retention_s = max(timeouts)

    def on_live_view(self, view: LiveView, now_s: float) -> None:
        """Recompute the slot shares if the live view has changed or is due."""
        self._view = view
        owners = tuple(sorted(view.owners()))
        # A changed set of hosts is applied at once. Demands change with every
        # heartbeat and are applied at intervals.
        is_due = now_s - self._applied_s >= _SHARE_INTERVAL_S
        if owners != self._owners or is_due:
            self._owners = owners
            self._apply_view(now_s)

    def state(self, work: Work, first_request_id: int) -> IdState:
        """Return whether the request id is fresh, seen or too old here."""
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
        elif len(self._outcomes.works) > MAX_IN_PROGRESS:
            self._outcomes.refuse(work, ResultCode.QUEUE_FULL, _RETRY_AFTER_MS)
        else:
            runner.offer(work, now_s)

    def refuse_fresh(self, work: Work, code: ResultCode) -> None:
        """Record a fresh id as used and refuse the request."""
        if self._outcomes.begin(work):
            self._outcomes.refuse(work, code, _RETRY_AFTER_MS)

    def repeat(self, work: Work) -> None:
        """Handle a re-sent request: send its outcome again once it is known."""
        existing = self._outcomes.works.get(work.key)
        if existing is None:
            self._outcomes.resend_outcome(work)
            return
        self._counters.count(Count.REQUESTS_DUPLICATE)
        existing.attempt = max(existing.attempt, work.attempt)

    def is_in_progress(self, work: Work) -> bool:
        """Return whether the request is waiting or running here."""
        existing = self._outcomes.works.get(work.key)
        return existing is not None and existing.caller == work.caller

    def can_report_outcome(self, work: Work) -> bool:
        """Return whether the outcome is known here or will be."""
        return self.is_in_progress(work) or self._outcomes.has_outcome(work)

    def cancel(self, work: Work, now_s: float) -> None:
        """Cancel a request that is in progress here."""
        existing = self._outcomes.works[work.key]
        self._counters.count(Count.REQUESTS_CANCELLED)
        self._runners[existing.service_id].cancel(existing, now_s)

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
        """Run the periodic work due at ``now_s``."""
        for runner in self._turns.select(self._runners.values(), _is_busy):
            runner.tick(now_s)

    def demands(self) -> dict[str, int]:
        """Return the demand of each service with demand, for heartbeats."""
        demands = {
            service_id: runner.demand()
            for service_id, runner in self._runners.items()
        }
        return {key: demand for key, demand in demands.items() if demand}

    def _runner(
        self,
        service: ServiceSnapshot,
        now_s: float,
    ) -> ServiceRunner:
        existing = self._runners.get(service.service_id)
        if existing is not None:
            return existing
        capacity = Capacity(self._host_id, self._health, self._mode)
        capacity.on_demands(self._demands_of(service), now_s)
        runner = ServiceRunner(
            service,
            capacity,
            self._outcomes,
            self._run_ids,
            self._counters,
        )
        self._runners[service.service_id] = runner
        return runner

    def _apply_view(self, now_s: float) -> None:
        self._applied_s = now_s
        for runner in self._runners.values():
            demands = self._demands_of(runner.service)
            runner.capacity.on_demands(demands, now_s)
            runner.dispatch(now_s)

    def _demands_of(self, service: ServiceSnapshot) -> dict[str, int]:
        # Hosts that are not executors of new tokens count if they have demand:
        # they still run requests of earlier tokens, for example while leaving.
        if self._view is None:
            return {self._host_id: 0}
        service_id = service.service_id
        demands = dict.fromkeys(executor_hosts(service, self._owners), 0)
        for peer in self._view.peers.values():
            demand = peer.demands.get(service_id, 0)
            if demand:
                demands[peer.host_id] = demand
        return demands or {self._host_id: 0}


def _is_busy(runner: ServiceRunner) -> bool:
    return runner.is_busy()
