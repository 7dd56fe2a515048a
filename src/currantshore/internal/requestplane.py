"""The request part of the decision core."""

import random
from typing import Final

from currantshore import wire
from currantshore.codes import DropReason, ResultCode
from currantshore.internal import hashing, peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    RequestsHandedOver,
    SendToPeer,
)
from currantshore.internal.executor import Executor
from currantshore.internal.requestroutes import (
    ExecutorLost,
    ExecutorRoutes,
    RelayTo,
    RunHere,
)
from currantshore.internal.runs import RunIds, Work
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.tokens import FlowToken
from currantshore.internal.views import BackendHealth, LiveView

_MS_PER_S: Final = 1000

# Executor, successor, and one more for a view that lags.
_MAX_HOPS: Final = 3


class RequestPlane:
    """At most once, admission and retries of requests."""

    __slots__ = (
        '_counters',
        '_executor',
        '_host_id',
        '_peer_key',
        '_routes',
    )

    def __init__(
        self,
        host_id: str,
        counters: Counters,
        peer_key: bytes,
        routes: ExecutorRoutes,
        executor: Executor,
    ) -> None:
        """Join the parts; ``from_config`` builds them."""
        self._host_id = host_id
        self._counters = counters
        self._peer_key = peer_key
        self._routes = routes
        self._executor = executor

    @classmethod
    def from_config(
        cls,
        host_id: str,
        incarnation: int,
        counters: Counters,
        peer_key: bytes,
        health: BackendHealth,
        rng: random.Random,
    ) -> 'RequestPlane':
        """Build the plane of the process (``host_id``, ``incarnation``)."""
        return cls(
            host_id,
            counters,
            peer_key,
            ExecutorRoutes(host_id, incarnation),
            Executor(counters, RunIds(host_id, incarnation)),
        )

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Use the services of a new configuration."""
        self._executor.configure(
            {service.service_id: service for service in pool.services},
        )
        return self._executor.collect()

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        """Use a new set of live balancers."""
        self._routes.on_live_view(view)
        return self._executor.collect()

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
        """Run a caller's request, or relay it to its executor."""
        self._counters.count(Count.REQUESTS_RECEIVED)
        work = _work(service_id, caller, flow_key, token, request, now_s)
        relay = peerwire.RelayedRequest(
            self._host_id,
            service_id,
            caller,
            datagram,
            _MAX_HOPS,
        )
        return self._handle_request(work, token, relay, now_s)

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
        """Withdraw a request, or relay this to its executor."""
        relay = peerwire.RelayedRequest(
            self._host_id,
            service_id,
            caller,
            datagram,
            _MAX_HOPS,
        )
        return self._handle_cancel(flow_key, token, cancel, relay, now_s)

    def on_relayed(
        self,
        relayed: peerwire.RelayedRequest,
        token: FlowToken,
        message: wire.Request | wire.Cancel,
        now_s: float,
    ) -> list[Action]:
        """Handle what a peer relayed; the core has opened the token."""
        key = hashing.flow_key(relayed.service_id, relayed.caller)
        match message:
            case wire.Request():
                work = _work(
                    relayed.service_id,
                    relayed.caller,
                    key,
                    token,
                    message,
                    now_s,
                )
                return self._handle_request(work, token, relayed, now_s)
            case wire.Cancel():
                return self._handle_cancel(
                    key,
                    token,
                    message,
                    relayed,
                    now_s,
                )

    def on_run_answer(
        self,
        source: wire.Endpoint,
        answer: wire.RunAnswer,
        now_s: float,
    ) -> list[Action]:
        """Handle one part of a run's result."""
        self._executor.on_run_answer(source, answer)
        return self._executor.collect()

    def on_run_shed(
        self,
        source: wire.Endpoint,
        shed: wire.RunShed,
        now_s: float,
    ) -> list[Action]:
        """Handle a backend server's refusal to start a run."""
        self._executor.on_run_shed(source, shed)
        return self._executor.collect()

    def demands(self) -> dict[str, int]:
        """Return the outstanding and queued requests of each service."""
        return self._executor.demands()

    def on_requests_handed_over(
        self,
        handed_over: RequestsHandedOver,
        now_s: float,
    ) -> list[Action]:
        """Take over the request ids of a leaving executor."""
        return self._executor.collect()

    def leave(self, now_s: float) -> list[Action]:
        """Stop taking new requests and hand over the request ids."""
        return self._executor.collect()

    def is_idle(self) -> bool:
        """Tell whether no request is in progress."""
        return self._executor.is_idle()

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due at ``now_s``."""
        self._executor.tick(now_s)
        return self._executor.collect()

    def _handle_request(
        self,
        work: Work,
        token: FlowToken,
        relay: peerwire.RelayedRequest,
        now_s: float,
    ) -> list[Action]:
        match self._routes.route(token):
            case RelayTo(host_id) if relay.hops_left > 0:
                return [self._relay(host_id, relay)]
            case RunHere():
                self._executor.submit(work, token.first_request_id, now_s)
            case _:
                self._substitute(work, token, now_s)
        return self._executor.collect()

    def _substitute(self, work: Work, token: FlowToken, now_s: float) -> None:
        if not work.request.is_repeatable:
            self._executor.refuse_unlogged(work, ResultCode.EXECUTOR_LOST)
            return
        work.may_have_run = True
        self._executor.submit(work, token.first_request_id, now_s)

    def _handle_cancel(
        self,
        flow_key: int,
        token: FlowToken,
        cancel: wire.Cancel,
        relay: peerwire.RelayedRequest,
        now_s: float,
    ) -> list[Action]:
        match self._routes.route(token):
            case RelayTo(host_id) if relay.hops_left > 0:
                return [self._relay(host_id, relay)]
            case ExecutorLost() | RunHere() | RelayTo():
                if not self._executor.cancel(
                    flow_key,
                    relay.caller,
                    cancel.request_id,
                ):
                    self._counters.drop(DropReason.REPLY_UNMATCHED)
        return self._executor.collect()

    def _relay(
        self,
        host_id: str,
        relay: peerwire.RelayedRequest,
    ) -> SendToPeer:
        self._counters.count(Count.REQUESTS_RELAYED)
        forwarded = peerwire.RelayedRequest(
            self._host_id,
            relay.service_id,
            relay.caller,
            relay.datagram,
            relay.hops_left - 1,
        )
        return SendToPeer(host_id, peerwire.seal(forwarded, self._peer_key))


def _work(
    service_id: str,
    caller: wire.Endpoint,
    flow_key: int,
    token: FlowToken,
    request: wire.Request,
    now_s: float,
) -> Work:
    return Work(
        service_id,
        caller,
        flow_key,
        request,
        token.backend_id,
        now_s + request.deadline_ms / _MS_PER_S,
        request.attempt,
    )
