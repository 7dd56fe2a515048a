"""Decides whether an arriving request is run here, relayed or refused."""

import dataclasses
from typing import TypeAlias

from currantshore import wire
from currantshore.codes import ResultCode
from currantshore.internal import peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import SendToPeer
from currantshore.internal.requests.exclusivity import Exclusivity
from currantshore.internal.requests.executor import Executor
from currantshore.internal.requests.requestlog import IdState
from currantshore.internal.requests.requestroutes import (
    ExecutorRoutes,
    RelayTo,
    RunHere,
)
from currantshore.internal.requests.runs import Work
from currantshore.internal.requests.succession import Succession
from currantshore.internal.tokens import FlowToken

RequestOrCancel: TypeAlias = wire.Request | wire.Cancel


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A received request or cancellation."""

    work: Work
    token: FlowToken
    relay: peerwire.RelayedRequest
    is_cancel: bool

    @classmethod
    def from_message(
        cls,
        message: RequestOrCancel,
        token: FlowToken,
        relay: peerwire.RelayedRequest,
        flow_key: int,
        now_s: float,
    ) -> 'Arrival':
        """Return the arrival of ``message``, a cancellation as a request."""
        is_cancel = isinstance(message, wire.Cancel)
        work = Work.from_request(
            relay.service_id,
            relay.caller,
            flow_key,
            token.backend_id,
            _as_request(message),
            now_s,
        )
        return cls(work, token, relay, is_cancel)


class RequestIntake:
    """Runs a request here, relays it, or refuses it.

    Only the process that may run a fresh id refuses it with a code that
    promises "not run". All other paths use result codes of 200 or above, which
    do not promise this.
    """

    __slots__ = (
        '_counters',
        '_exclusivity',
        '_executor',
        '_host_id',
        '_peer_key',
        '_routes',
        '_succession',
    )

    def __init__(
        self,
        host_id: str,
        peer_key: bytes,
        counters: Counters,
        executor: Executor,
        routes: ExecutorRoutes,
        exclusivity: Exclusivity,
        succession: Succession,
    ) -> None:
        """Initialize with the parts of one ``RequestPlane``."""
        self._host_id = host_id
        self._peer_key = peer_key
        self._counters = counters
        self._executor = executor
        self._routes = routes
        self._exclusivity = exclusivity
        self._succession = succession

    def handle(self, arrival: Arrival, now_s: float) -> None:
        """Handle a request or its cancellation."""
        match self._routes.route(arrival.token):
            case RunHere():
                self._handle_here(arrival, now_s)
            case RelayTo(host_id) if self._may_relay(arrival, now_s):
                self._relay(host_id, arrival.relay)
            case _:
                self._handle_as_substitute(arrival, now_s)

    def _may_relay(self, arrival: Arrival, now_s: float) -> bool:
        # A datagram that was queued here during a long pause may be older than
        # the executor's log of its flow. The executor would run it again.
        if self._exclusivity.may_be_stale(now_s):
            return False
        return arrival.relay.hops_left > 0

    def _handle_here(self, arrival: Arrival, now_s: float) -> None:
        work = arrival.work
        state = self._executor.state(work, arrival.token.first_request_id)
        match state:
            case IdState.TOO_OLD:
                self._executor.outcomes.refuse_once(
                    work,
                    ResultCode.REQUEST_ID_TOO_OLD,
                )
            case IdState.SEEN:
                self._handle_seen(arrival, now_s)
            case IdState.FRESH:
                self._handle_fresh(arrival, now_s)

    def _handle_seen(self, arrival: Arrival, now_s: float) -> None:
        work = arrival.work
        if self._executor.is_in_progress(work) and arrival.is_cancel:
            self._executor.cancel(work, now_s)
            return
        # The process that handed over the id may still be running the request.
        executor_host = self._routes.live_executor(arrival.token)
        if self._executor.can_report_outcome(work) or not executor_host:
            self._executor.repeat(work)
        elif self._may_relay(arrival, now_s):
            self._relay(executor_host, arrival.relay)
        else:
            self._executor.repeat(work)

    def _handle_fresh(self, arrival: Arrival, now_s: float) -> None:
        if self._exclusivity.may_be_stale(now_s):
            self._executor.outcomes.refuse_once(
                arrival.work,
                ResultCode.OUTCOME_UNKNOWN,
            )
        elif self._succession.is_leaving:
            self._forward(arrival, now_s)
        else:
            self._accept(arrival, now_s)

    def _accept(self, arrival: Arrival, now_s: float) -> None:
        work = arrival.work
        # A cancellation does not state whether its request is repeatable.
        can_run_elsewhere = work.request.is_repeatable or arrival.is_cancel
        if can_run_elsewhere and self._exclusivity.may_run_elsewhere(now_s):
            work.may_have_run_elsewhere = True
        if arrival.is_cancel:
            self._executor.refuse_fresh(work, ResultCode.CANCELLED_BEFORE_RUN)
        else:
            self._executor.submit(work, now_s)

    def _forward(self, arrival: Arrival, now_s: float) -> None:
        successor = self._succession.successor
        can_relay = self._may_relay(arrival, now_s)
        if successor and can_relay and self._routes.is_live(successor):
            self._relay(successor, arrival.relay)
        elif successor:
            self._handle_as_substitute(arrival, now_s)
        else:
            self._executor.refuse_fresh(
                arrival.work,
                ResultCode.BALANCER_LEAVING,
            )

    def _handle_as_substitute(self, arrival: Arrival, now_s: float) -> None:
        work = arrival.work
        work.may_have_run_elsewhere = True
        state = self._executor.state(work, arrival.token.first_request_id)
        if self._executor.is_in_progress(work):
            self._handle_seen(arrival, now_s)
        elif work.request.is_repeatable and state is IdState.FRESH:
            self._executor.submit(work, now_s)
        elif work.request.is_repeatable:
            self._executor.repeat(work)
        else:
            self._executor.outcomes.refuse_once(work, ResultCode.EXECUTOR_LOST)

    def _relay(self, host_id: str, relay: peerwire.RelayedRequest) -> None:
        self._counters.count(Count.REQUESTS_RELAYED)
        forwarded = peerwire.RelayedRequest(
            self._host_id,
            relay.service_id,
            relay.caller,
            relay.datagram,
            relay.hops_left - 1,
        )
        sealed = peerwire.seal(forwarded, self._peer_key)
        self._counters.count(Count.RELAY_SENT_BYTES, len(sealed))
        self._executor.outcomes.add_action(SendToPeer(host_id, sealed))


def _as_request(message: RequestOrCancel) -> wire.Request:
    match message:
        case wire.Request():
            return message
        case wire.Cancel():
            return wire.Request(
                message.request_id,
                -1,
                '',
                is_repeatable=False,
                deadline_ms=0,
                payload=b'',
                token=b'',
            )
