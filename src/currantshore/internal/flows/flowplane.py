"""Places the flows of one balancer: selects a backend server per packet."""

import random

from currantshore.codes import DropReason, ResultCode, RetryReason
from currantshore.errors import InvalidArgumentError
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    FlowsHandedOver,
    HandoverFinished,
    SendToBackend,
    SendToCaller,
)
from currantshore.internal.flows.addressing import PlaneContext
from currantshore.internal.flows.flowpeers import Peers
from currantshore.internal.flows.flowtable import (
    FINGERPRINT_MASK,
    entry_of,
    is_framed,
)
from currantshore.internal.flows.handovers import (
    HandoverLedger,
    SettledNotices,
)
from currantshore.internal.flows.placement import NO_SLOT
from currantshore.internal.flows.placing import FlowPlacer
from currantshore.internal.flows.serviceflows import ServiceFlows
from currantshore.internal.hashing import flow_key as key_of
from currantshore.internal.peerwire import Lookup, LookupReply
from currantshore.internal.requests.executorchoice import choose_executor
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.tokens import FlowToken, TokenSealer
from currantshore.internal.turns import Turns
from currantshore.internal.views import BackendHealth, LiveView
from currantshore.wire import (
    Data,
    Downstream,
    Endpoint,
    Forwarded,
    Opened,
    encode,
)

# A caller that lost its backend server may open a new flow immediately.
_REOPEN_AFTER_MS = 0

# The delay after which callers retry when no backend server is usable.
_NO_BACKEND_RETRY_MS = 1000

# Peers send their exceptions as soon as this host appears in their live view,
# which may be before it has its first configuration.
_EARLY_HANDOVERS_LIMIT = 1024


class FlowPlane:
    """Places flows on backend servers and keeps them there."""

    __slots__ = (
        '_context',
        '_early_handovers',
        '_forwarded_count',
        '_incarnation',
        '_is_usable',
        '_peers',
        '_sealer',
        '_services',
        '_turns',
        '_view',
    )

    def __init__(
        self,
        context: PlaneContext,
        sealer: TokenSealer,
        incarnation: int,
    ) -> None:
        """Initialize the plane; use ``from_config`` instead."""
        self._context = context
        self._peers = context.peers
        self._is_usable = context.health.is_usable
        self._sealer = sealer
        self._incarnation = incarnation
        # Counted here and added to the counters once per tick.
        self._forwarded_count = 0
        self._services: dict[str, ServiceFlows] = {}
        self._turns = Turns()
        self._view: LiveView | None = None
        # Handovers for services that are not in the configuration yet.
        self._early_handovers: list[FlowsHandedOver] = []

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
        """Build the flow plane of one process, without configuration."""
        if not host_id:
            raise InvalidArgumentError.from_value(
                'host_id',
                host_id,
                'the id of a host of the pool',
            )
        context = PlaneContext(
            host_id,
            peer_key,
            counters,
            Peers(host_id),
            HandoverLedger(),
            SettledNotices(),
            health,
            rng,
        )
        return cls(context, sealer, incarnation)

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Apply newer configuration and prepare the changes in it.

        The next ``on_live_view`` must carry the digest of ``pool``.
        """
        is_start = not self._services
        hosts = {host.host_id for host in pool.members.hosts}
        self._peers.declared = frozenset(hosts - {self._context.host_id})
        is_known_by_peers = self._peers.is_behind or (
            is_start and bool(self._peers.declared)
        )
        actions: list[Action] = []
        for service in pool.services:
            flows = self._services.get(service.service_id)
            if flows is not None:
                actions.extend(flows.configure(service, now_s))
                continue
            self._services[service.service_id] = ServiceFlows(
                service,
                self._context,
                is_known_by_peers,
                now_s,
            )
        self._apply_early_handovers()
        return actions

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        """Apply the live balancers and what they have prepared."""
        self._view = view
        change = self._peers.update(view, now_s)
        actions: list[Action] = []
        if change.is_empty():
            return actions
        for handover in self._context.ledger.cancel(change.ended_hosts()):
            if not handover.settled:
                flows = self._services[handover.service_id]
                flows.placer.sharing.requeue(handover)
        for flows in self._services.values():
            actions.extend(flows.on_peer_change(change, now_s))
        return actions

    def on_open(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        first_request_id: int,
        now_s: float,
        previous: FlowToken | None = None,
    ) -> list[Action]:
        """Answer ``Open`` with a token.

        A flow that is opened again stays on the backend server of its
        ``previous`` token; a new one goes to the least loaded.
        """
        flows = self._services.get(service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        placer = flows.placer
        slot = placer.find(flow_key)
        if previous is not None:
            slot = placer.backends.slot_of(previous.backend_id)
        if not placer.backends.is_usable(slot):
            slot = placer.least_loaded()
        if slot == NO_SLOT:
            code = ResultCode.NO_BACKEND_SERVER
            return placer.refuse(caller, code, _NO_BACKEND_RETRY_MS)
        placer.record(flow_key, slot, is_framed=True)
        self._context.counters.count(Count.FLOWS_PLACED)
        executor_id, incarnation = self._executor(flows, flow_key)
        token = FlowToken(
            service_id,
            placer.backends.backend_id_of(slot),
            executor_id,
            incarnation,
            first_request_id,
        )
        opened = Opened(self._sealer.seal(token, flow_key))
        return [SendToCaller(service_id, caller, encode(opened))]

    def placer(self, service_id: str) -> FlowPlacer | None:
        """Return the placer of a service, or None if it is not known."""
        flows = self._services.get(service_id)
        return None if flows is None else flows.placer

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
        # The path of most packets, inlined to save calls.
        placer = flows.placer
        entry = placer.known.current.get(flow_key & FINGERPRINT_MASK)
        if entry is not None:
            route = placer.backends.routes[entry >> 1]
            if route is not None and self._is_usable(route[0]):
                self._forwarded_count += 1
                message = Forwarded(service_id, caller, payload)
                return [SendToBackend(route[1], encode(message))]
        return flows.on_unknown(caller, flow_key, payload, now_s)

    def on_close(self, service_id: str, flow_key: int) -> list[Action]:
        """Forget a flow that its caller has ended."""
        flows = self._services.get(service_id)
        if flows is not None:
            flows.placer.forget(flow_key)
        return []

    def on_downstream(
        self,
        source: Endpoint,
        message: Downstream,
        now_s: float,
    ) -> list[Action]:
        """Deliver the bytes of a backend server to the caller of a flow."""
        flows = self._services.get(message.service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        placer = flows.placer
        slot = placer.backends.slot_at(source)
        if slot == NO_SLOT:
            return self._drop(self._source_drop_reason(source))
        flow_key = key_of(message.service_id, message.caller)
        if placer.find(flow_key) == NO_SLOT:
            placer.record_answered(flow_key, slot)
        payload = message.payload
        if is_framed(placer.known.find(flow_key) or 0):
            payload = encode(Data(payload))
        self._context.counters.count(Count.PACKETS_DELIVERED)
        return [SendToCaller(message.service_id, message.caller, payload)]

    def on_lookup(self, message: Lookup, now_s: float) -> list[Action]:
        """Answer a peer's lookup of a flow."""
        flows = self._services.get(message.service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        return flows.resolver.on_lookup(message, now_s)

    def on_lookup_reply(
        self,
        message: LookupReply,
        now_s: float,
    ) -> list[Action]:
        """Forward the packets that waited for this reply."""
        flows = self._services.get(message.service_id)
        if flows is None:
            return self._drop(DropReason.UNKNOWN_SERVICE)
        return flows.resolver.on_lookup_reply(message, now_s)

    def on_flows_handed_over(
        self,
        event: FlowsHandedOver,
        now_s: float,
    ) -> list[Action]:
        """Record the exceptions that a peer sent."""
        if not self._apply_handover(event):
            if len(self._early_handovers) < _EARLY_HANDOVERS_LIMIT:
                self._early_handovers.append(event)
        return []

    def on_handover_finished(
        self,
        event: HandoverFinished,
        now_s: float,
    ) -> list[Action]:
        """Record whether a peer has acknowledged a handover."""
        ledger = self._context.ledger
        if not event.is_acknowledged:
            self._context.counters.retry(RetryReason.HANDOVER_FAILED)
            ledger.fail(event.handover_id, now_s)
            return []
        ledger.acknowledge(event.handover_id)
        return []

    def leave(self, now_s: float) -> list[Action]:
        """Stop owning flows and hand over those that peers may not know."""
        change = self._peers.leave()
        actions: list[Action] = []
        for flows in self._services.values():
            actions.extend(flows.leave(change, now_s))
        return actions

    def is_idle(self) -> bool:
        """Return whether nothing is left to hand over and no packet waits."""
        if self._context.ledger or self._context.settled_notices:
            return False
        return all(flows.is_idle() for flows in self._services.values())

    def is_prepared(self) -> bool:
        """Return whether all blocking handovers were acknowledged."""
        if self._context.ledger.has_blocking():
            return False
        return not any(
            flows.placer.sharing.has_waiting
            for flows in self._services.values()
        )

    def draining_flows(self) -> dict[str, int]:
        """Return the number of known flows by draining backend id."""
        counts: dict[str, int] = {}
        for flows in self._services.values():
            counts.update(flows.draining_flows())
        return counts

    def use_incarnation(self, incarnation: int) -> None:
        """Write ``incarnation`` as that of this executor into new tokens."""
        self._incarnation = incarnation

    def is_warm(self) -> bool:
        """Return whether this balancer can place flows as an owner."""
        return all(
            flows.placer.change.is_warm for flows in self._services.values()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Expire flows, retry and continue changes; called every 50 ms.

        Idle services are visited only in some of the ticks, in turn.
        """
        self._peers.record_tick(now_s)
        self._context.counters.count(
            Count.PACKETS_FORWARDED, self._forwarded_count
        )
        self._forwarded_count = 0
        actions: list[Action] = []
        actions.extend(self._context.ledger.retries(now_s))
        for flows in self._turns.select(self._services.values(), _is_busy):
            actions.extend(flows.tick(now_s))
        ledger = self._context.ledger
        actions.extend(
            ledger.send(handover, now_s)
            for handover in self._context.settled_notices.pop_handovers()
        )
        return actions

    def _executor(self, flows: ServiceFlows, flow_key: int) -> tuple[str, int]:
        """Return the host and incarnation that a new token names."""
        chosen = None
        if self._view is not None:
            chosen = choose_executor(flows.service, self._view, flow_key)
        if chosen is None or chosen.host_id == self._context.host_id:
            return self._context.host_id, self._incarnation
        return chosen.host_id, chosen.incarnation

    def _on_token(
        self,
        flows: ServiceFlows,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        token: FlowToken,
    ) -> list[Action]:
        placer = flows.placer
        if token.service_id != placer.service_id:
            return self._drop(DropReason.SERVICE_MISMATCH)
        slot = placer.backends.slot_of(token.backend_id)
        if slot == NO_SLOT or placer.backends.is_undeclared(slot):
            return self._drop(DropReason.UNKNOWN_BACKEND_SERVER)
        if not placer.backends.is_usable(slot):
            code = ResultCode.BACKEND_SERVER_LOST
            return placer.refuse(caller, code, _REOPEN_AFTER_MS)
        entry = entry_of(slot, is_framed=True)
        if placer.known.find(flow_key) != entry:
            placer.known.put(flow_key, entry)
        return placer.forward(slot, caller, payload)

    def _apply_early_handovers(self) -> None:
        """Apply early handovers whose services are in the configuration now."""
        handovers = self._early_handovers
        self._early_handovers = []
        for event in handovers:
            self.on_flows_handed_over(event, 0.0)

    def _apply_handover(self, event: FlowsHandedOver) -> bool:
        """Apply a handover and return whether all its services are known."""
        unknown = 0
        for service_id, version in event.settled.items():
            settled_flows = self._services.get(service_id)
            if settled_flows is None:
                unknown += 1
            else:
                settled_flows.placer.sharing.record_settled(
                    event.sender, version
                )
        if event.settled:
            return unknown == 0
        flows = self._services.get(event.service_id)
        if flows is None:
            return False
        flows.placer.sharing.receive(event)
        return True

    def _source_drop_reason(self, source: Endpoint) -> DropReason:
        """Return why a datagram from ``source`` does not fit its service."""
        for flows in self._services.values():
            if flows.placer.backends.has_endpoint(source):
                return DropReason.SERVICE_MISMATCH
        return DropReason.UNKNOWN_BACKEND_SERVER

    def _drop(self, reason: DropReason) -> list[Action]:
        self._context.counters.drop(reason)
        return []


def _is_busy(flows: ServiceFlows) -> bool:
    return flows.is_busy()
