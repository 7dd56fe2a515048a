"""Entry point of request handling in the decision core."""

import random
from typing import Final

from currantshore import wire
from currantshore.internal import hashing, peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, RequestsHandedOver
from currantshore.internal.requests.capacity import AdmissionMode
from currantshore.internal.requests.exclusivity import Exclusivity
from currantshore.internal.requests.executor import Executor
from currantshore.internal.requests.requestintake import (
    Arrival,
    RequestIntake,
    RequestOrCancel,
)
from currantshore.internal.requests.requestroutes import ExecutorRoutes
from currantshore.internal.requests.succession import Succession
from currantshore.internal.snapshot import HostState, PoolSnapshot
from currantshore.internal.tokens import FlowToken
from currantshore.internal.views import BackendHealth, LiveView

# A request is relayed to its executor, the successor of this, and once more
# if a balancer has an outdated view.
_MAX_HOPS: Final = 3


class RequestPlane:
    """Execution, admission and retries of requests.

    Requests that are not repeatable run at most once.
    """

    __slots__ = (
        '_counters',
        '_exclusivity',
        '_executor',
        '_host_id',
        '_hosts',
        '_intake',
        '_routes',
        '_services',
        '_succession',
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        counters: Counters,
        peer_key: bytes,
        executor: Executor,
    ) -> None:
        """Use ``from_config`` instead."""
        self._host_id = host_id
        self._counters = counters
        self._executor = executor
        self._routes = ExecutorRoutes(host_id, incarnation)
        self._exclusivity = Exclusivity()
        self._succession = Succession(
            host_id,
            incarnation,
            self._routes,
            executor.outcomes.logs,
        )
        self._intake = RequestIntake(
            host_id,
            peer_key,
            counters,
            executor,
            self._routes,
            self._exclusivity,
            self._succession,
        )
        self._hosts: tuple[str, ...] = ()
        self._services: tuple[str, ...] = ()

    @classmethod
    def from_config(
        cls,
        host_id: str,
        incarnation: int,
        counters: Counters,
        peer_key: bytes,
        health: BackendHealth,
        rng: random.Random,
        mode: AdmissionMode = AdmissionMode.FAIR_SHARES,
    ) -> 'RequestPlane':
        """Return the plane of the process (``host_id``, ``incarnation``).

        ``mode`` selects a baseline for measurements. ``rng`` is not used,
        because every choice is made by a hash so that balancers agree on it.
        """
        executor = Executor(host_id, incarnation, counters, health, mode)
        return cls(host_id, incarnation, counters, peer_key, executor)

    @property
    def successor(self) -> str:
        """Host to which this leaving host sent its request ids, or ''."""
        return self._succession.successor

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Apply the services of a new configuration."""
        self._record_time(now_s)
        services = {each.service_id: each for each in pool.services}
        self._services = tuple(sorted(services))
        self._hosts = tuple(
            host.host_id
            for host in pool.members.hosts
            if host.state is HostState.ACTIVE
        )
        self._executor.configure(services, now_s)
        return self._executor.outcomes.collect()

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        """Apply a new set of live balancers."""
        self._record_time(now_s)
        self._routes.on_live_view(view)
        if self._exclusivity.on_view(view, self._hosts, now_s):
            self._executor.outcomes.mark_possibly_run_elsewhere()
        self._executor.on_live_view(view, now_s)
        return self._executor.outcomes.collect()

    def on_request(
        self,
        service_id: str,
        caller: wire.Endpoint,
        flow_key: int,
        token: FlowToken,
        request: wire.Request,
        datagram: bytes,
        now_s: float,
    ) -> list[Action]:
        """Run a caller's request, relay it to its executor or refuse it."""
        self._counters.count(Count.REQUESTS_RECEIVED)
        relay = self._first_relay(service_id, caller, datagram)
        return self._handle(
            Arrival.from_message(request, token, relay, flow_key, now_s),
            now_s,
        )

    def on_cancel(
        self,
        service_id: str,
        caller: wire.Endpoint,
        flow_key: int,
        token: FlowToken,
        cancel: wire.Cancel,
        datagram: bytes,
        now_s: float,
    ) -> list[Action]:
        """Cancel a caller's request, or relay the cancellation."""
        relay = self._first_relay(service_id, caller, datagram)
        return self._handle(
            Arrival.from_message(cancel, token, relay, flow_key, now_s),
            now_s,
        )

    def on_relayed(
        self,
        relayed: peerwire.RelayedRequest,
        token: FlowToken,
        message: RequestOrCancel,
        now_s: float,
    ) -> list[Action]:
        """Handle a message relayed by a peer; its token is checked already."""
        flow_key = hashing.flow_key(relayed.service_id, relayed.caller)
        return self._handle(
            Arrival.from_message(message, token, relayed, flow_key, now_s),
            now_s,
        )

    def on_run_answer(
        self,
        source: wire.Endpoint,
        answer: wire.RunAnswer,
        now_s: float,
    ) -> list[Action]:
        """Handle one part of a run's result."""
        self._record_time(now_s)
        self._executor.on_run_answer(source, answer, now_s)
        return self._executor.outcomes.collect()

    def on_run_shed(
        self,
        source: wire.Endpoint,
        shed: wire.RunShed,
        now_s: float,
    ) -> list[Action]:
        """Handle a backend server's refusal to start a run."""
        self._record_time(now_s)
        self._executor.on_run_shed(source, shed, now_s)
        return self._executor.outcomes.collect()

    def demands(self) -> dict[str, int]:
        """Return the recent outstanding and queued requests by service."""
        return self._executor.demands()

    def on_requests_handed_over(
        self,
        handed_over: RequestsHandedOver,
        now_s: float,
    ) -> list[Action]:
        """Take over the request ids of a leaving executor."""
        return self._succession.on_handed_over(handed_over)

    def leave(self, now_s: float) -> list[Action]:
        """Stop running fresh requests and hand over the request ids."""
        return self._succession.leave(self._services, now_s)

    def is_idle(self) -> bool:
        """Return whether there is no request in progress."""
        return not self._executor.outcomes.works

    def tick(self, now_s: float) -> list[Action]:
        """Run the periodic work due at ``now_s``."""
        self._record_time(now_s)
        self._executor.outcomes.logs.advance(now_s)
        self._executor.tick(now_s)
        return [
            *self._executor.outcomes.collect(),
            *self._succession.tick(now_s),
        ]

    def _record_time(self, now_s: float) -> None:
        retention_s = self._executor.outcomes.logs.retention_s
        if self._exclusivity.record_time(now_s, retention_s):
            self._executor.outcomes.mark_possibly_run_elsewhere()

    def _first_relay(
        self,
        service_id: str,
        caller: wire.Endpoint,
        datagram: bytes,
    ) -> peerwire.RelayedRequest:
        return peerwire.RelayedRequest(
            self._host_id,
            service_id,
            caller,
            datagram,
            _MAX_HOPS,
        )

    def _handle(self, arrival: Arrival, now_s: float) -> list[Action]:
        self._record_time(now_s)
        self._intake.handle(arrival, now_s)
        return self._executor.outcomes.collect()
