"""Flow placement of one balancer: which backend server gets each packet."""

import random

from currantshore.codes import DropReason, ResultCode
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    FlowsHandedOver,
    HandoverFinished,
    SendToBackend,
    SendToCaller,
)
from currantshore.internal.flowtable import is_framed
from currantshore.internal.hashing import flow_key as key_of
from currantshore.internal.peerwire import Lookup, LookupReply
from currantshore.internal.placement import NO_SLOT
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.tokens import FlowToken, TokenSealer
from currantshore.internal.tracking import ServiceFlows
from currantshore.internal.views import BackendHealth, LiveView
from currantshore.wire import (
    Data,
    Downstream,
    Endpoint,
    Forwarded,
    Opened,
    Refusal,
    encode,
)

# A caller that lost its backend server may open a new flow at once.
_REOPEN_AFTER_MS = 0

# Without a usable backend server, callers try again after this time.
_NO_BACKEND_RETRY_MS = 1000


class FlowPlane:
    """Places flows on backend servers and keeps them there."""

    __slots__ = (
        '_counters',
        '_health',
        '_host_id',
        '_incarnation',
        '_peer_key',
        '_rng',
        '_sealer',
        '_services',
    )

    def __init__(
        self,
        host_id: str,
        counters: Counters,
        sealer: TokenSealer,
        peer_key: bytes,
        incarnation: int,
        health: BackendHealth,
        rng: random.Random,
    ) -> None:
        """Use ``from_config``."""
        self._host_id = host_id
        self._counters = counters
        self._sealer = sealer
        self._peer_key = peer_key
        self._incarnation = incarnation
        self._health = health
        self._rng = rng
        self._services: dict[str, ServiceFlows] = {}

    @classmethod
    def from_config(
        cls,
        host_id: str,
        counters: Counters,
        sealer: TokenSealer,
        peer_key: bytes,
        incarnation: int,
        health: BackendHealth,
        rng: random.Random,
    ) -> 'FlowPlane':
        """Build the part for one process; it holds no configuration yet."""
        return cls(
            host_id,
            counters,
            sealer,
            peer_key,
            incarnation,
            health,
            rng,
        )

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Take over newer configuration."""
        for service in pool.services:
            flows = self._services.get(service.service_id)
            if flows is None:
                self._services[service.service_id] = ServiceFlows(
                    service,
                    self._health,
                    self._rng,
                    now_s,
                )
            else:
                flows.configure(service)
        return []

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        """Take over the live balancers of the pool."""
        return []

    def on_open(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        first_request_id: int,
        now_s: float,
    ) -> list[Action]:
        """Answer ``Open`` with a token for the least loaded backend server."""
        flows = self._services.get(service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        slot = flows.known_slot(flow_key)
        if not flows.backends.is_usable(slot):
            slot = flows.least_loaded()
        if slot == NO_SLOT:
            self._counters.refuse(ResultCode.NO_BACKEND_SERVER)
            refusal = Refusal(
                0,
                ResultCode.NO_BACKEND_SERVER,
                _NO_BACKEND_RETRY_MS,
            )
            return [SendToCaller(service_id, caller, encode(refusal))]
        flows.remember(flow_key, slot, is_framed=True)
        self._counters.count(Count.FLOWS_PLACED)
        token = FlowToken(
            service_id,
            flows.backends.name(slot),
            self._host_id,
            self._incarnation,
            first_request_id,
        )
        opened = Opened(self._sealer.seal(token, flow_key))
        return [SendToCaller(service_id, caller, encode(opened))]

    def on_payload(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        token: FlowToken | None,
        now_s: float,
    ) -> list[Action]:
        """Forward a payload of an opaque or framed flow."""
        flows = self._services.get(service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        if token is not None:
            return self._on_token(flows, caller, flow_key, payload, token)
        slot = flows.known_slot(flow_key)
        if not flows.backends.is_usable(slot):
            slot = self._place(flows, flow_key, slot)
        return self._forward(flows, slot, caller, payload)

    def on_close(self, service_id: str, flow_key: int) -> list[Action]:
        """Forget a flow that its caller has ended."""
        flows = self._services.get(service_id)
        if flows is not None:
            flows.known.forget(flow_key)
        return []

    def on_downstream(
        self,
        source: Endpoint,
        message: Downstream,
        now_s: float,
    ) -> list[Action]:
        """Deliver a backend server's bytes to the caller of its service."""
        flows = self._services.get(message.service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        if not flows.backends.has_endpoint(source):
            return self._drop(self._stranger(source))
        entry = flows.known.find(key_of(message.service_id, message.caller))
        payload = message.payload
        if entry is not None and is_framed(entry):
            payload = encode(Data(payload))
        self._counters.count(Count.PACKETS_DELIVERED)
        return [SendToCaller(message.service_id, message.caller, payload)]

    def on_lookup(self, message: Lookup, now_s: float) -> list[Action]:
        """Answer a peer's question about a flow."""
        return []

    def on_lookup_reply(
        self,
        message: LookupReply,
        now_s: float,
    ) -> list[Action]:
        """Forward the packets that waited for this answer."""
        return self._drop(DropReason.REPLY_UNMATCHED)

    def on_flows_handed_over(
        self,
        event: FlowsHandedOver,
        now_s: float,
    ) -> list[Action]:
        """Record exceptions that a peer knows."""
        return []

    def on_handover_finished(
        self,
        event: HandoverFinished,
        now_s: float,
    ) -> list[Action]:
        """Note whether a peer has received a handover."""
        return []

    def leave(self, now_s: float) -> list[Action]:
        """Hand over everything that peers may not know."""
        return []

    def is_idle(self) -> bool:
        """Tell whether nothing is left to hand over."""
        return True

    def is_prepared(self) -> bool:
        """Tell whether all handovers of the last change were acknowledged."""
        return True

    def tick(self, now_s: float) -> list[Action]:
        """Expire flows; called every 50 ms."""
        for flows in self._services.values():
            flows.known.rotate_if_due(now_s)
        return []

    def _on_token(
        self,
        flows: ServiceFlows,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        token: FlowToken,
    ) -> list[Action]:
        service_id = flows.service.service_id
        if token.service_id != service_id:
            return self._drop(DropReason.SERVICE_MISMATCH)
        slot = flows.backends.number(token.backend_id)
        if slot == NO_SLOT:
            return self._drop(DropReason.UNKNOWN_BACKEND_SERVER)
        if not flows.backends.is_usable(slot):
            self._counters.refuse(ResultCode.BACKEND_SERVER_LOST)
            refusal = Refusal(
                0,
                ResultCode.BACKEND_SERVER_LOST,
                _REOPEN_AFTER_MS,
            )
            return [SendToCaller(service_id, caller, encode(refusal))]
        if flows.known_slot(flow_key) != slot:
            flows.remember(flow_key, slot, is_framed=True)
        return self._forward(flows, slot, caller, payload)

    def _place(self, flows: ServiceFlows, flow_key: int, lost: int) -> int:
        """Choose a slot for a flow that is new or lost its backend server."""
        if lost != NO_SLOT:
            self._counters.count(Count.FLOWS_LOST_BACKEND)
        slot = flows.place(flow_key)
        if slot != NO_SLOT:
            flows.remember(flow_key, slot, is_framed=False)
            self._counters.count(Count.FLOWS_PLACED)
        return slot

    def _forward(
        self,
        flows: ServiceFlows,
        slot: int,
        caller: Endpoint,
        payload: bytes,
    ) -> list[Action]:
        if slot == NO_SLOT:
            return self._drop(DropReason.NO_BACKEND_SERVER)
        order = Forwarded(flows.service.service_id, caller, payload)
        self._counters.count(Count.PACKETS_FORWARDED)
        return [SendToBackend(flows.backends.endpoint(slot), encode(order))]

    def _stranger(self, source: Endpoint) -> DropReason:
        """Tell why a datagram from ``source`` is not of its service."""
        for flows in self._services.values():
            if flows.backends.has_endpoint(source):
                return DropReason.SERVICE_MISMATCH
        return DropReason.UNKNOWN_BACKEND_SERVER

    def _drop(self, reason: DropReason) -> list[Action]:
        self._counters.drop(reason)
        return []
