"""The decision core: typed inputs and a time in, typed actions out."""

import dataclasses
import random
from typing import Final, TypeAlias

from currantshore import wire
from currantshore.codes import DropReason, ResultCode
from currantshore.errors import (
    InvalidArgumentError,
    TokenError,
    WireFormatError,
)
from currantshore.internal import configuration, peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    BackendDatagram,
    CallerDatagram,
    ConfigurationChanged,
    Event,
    FlowsHandedOver,
    HandoverFinished,
    LeaveRequested,
    PeerDatagram,
    RequestsHandedOver,
    SendToCaller,
)
from currantshore.internal.flowplane import FlowPlane
from currantshore.internal.hashing import flow_key
from currantshore.internal.health import HealthPlane
from currantshore.internal.membership import MembershipPlane
from currantshore.internal.requestplane import RequestPlane
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.tokens import FlowToken, TokenSealer

_MAX_KEY_SIZE_BYTES: Final = 64

_Actions: TypeAlias = list[Action]
_Versions: TypeAlias = dict[str, int]
_HostVersions: TypeAlias = dict[str, dict[str, _Versions]]


@dataclasses.dataclass(frozen=True, slots=True)
class CoreConfig:
    """Settings of one balancer's core.

    ``incarnation`` differs for every start of the process and rises;
    ``peer_key`` (1 to 64 bytes) is the same on every host of the pool.
    """

    host_id: str
    zone: str
    incarnation: int
    peer_key: bytes
    seed: int = 0


class BalancerCore:
    """Decides what one balancer does with each input.

    Guarantees: it never raises on bad input, does no input or output, reads no
    clock and keeps all its randomness in one seeded generator, so a run can be
    repeated exactly. A known flow costs one hash and one dictionary look-up.
    """

    __slots__ = (
        '_config',
        '_is_leaving',
        '_pool',
        '_sealer',
        '_services',
        '_view',
        'counters',
        'flows',
        'health',
        'membership',
        'requests',
    )

    def __init__(self, config: CoreConfig, counters: Counters) -> None:
        """Prefer ``from_config``, which checks the settings."""
        rng = random.Random(config.seed)
        self.counters = counters
        self._config = config
        self._pool: PoolSnapshot | None = None
        self._services: frozenset[str] = frozenset()
        self._is_leaving = False
        self._sealer = TokenSealer(config.peer_key)
        self.membership = MembershipPlane.from_config(
            config.host_id,
            config.zone,
            config.incarnation,
            counters,
            config.peer_key,
            rng,
        )
        self.health = HealthPlane.from_config(
            config.host_id, counters, config.peer_key, rng
        )
        self.flows = FlowPlane.from_config(
            config.host_id,
            counters,
            self._sealer,
            config.peer_key,
            config.incarnation,
            self.health,
            rng,
        )
        self.requests = RequestPlane.from_config(
            config.host_id,
            config.incarnation,
            counters,
            config.peer_key,
            self.health,
            rng,
        )
        self._view = self.membership.view()

    @classmethod
    def from_config(cls, config: CoreConfig) -> 'BalancerCore':
        """Build a core; raises ``InvalidArgumentError`` on bad settings."""
        if not config.host_id:
            raise InvalidArgumentError.from_value(
                'host_id', config.host_id, 'a non-empty host id'
            )
        if not 1 <= len(config.peer_key) <= _MAX_KEY_SIZE_BYTES:
            raise InvalidArgumentError.from_value(
                'peer_key size', len(config.peer_key), '1 to 64 bytes'
            )
        return cls(config, Counters())

    def pool(self) -> PoolSnapshot | None:
        """Return the configuration in force here, if any is known."""
        return self._pool

    def is_ready(self) -> bool:
        """Tell whether the core can place flows.

        A balancer that has just started is not ready before its peers have
        told it of the flows that the hash table does not explain.
        """
        if self._pool is None or self._is_leaving:
            return False
        return self.flows.is_warm()

    def is_idle(self) -> bool:
        """Tell whether a leaving core has nothing left to hand over or run."""
        return self.flows.is_idle() and self.requests.is_idle()

    def watches_platform(self) -> bool:
        """Tell whether this host reads the platform for its zone.

        A host without configuration always does: it knows no peers yet.
        """
        if self._pool is None:
            return True
        watchers = self.membership.watchers(self._config.zone)
        return self._config.host_id in watchers

    def reports_status(self) -> bool:
        """Tell whether this host writes the pool's status object."""
        return self.membership.reporter() == self._config.host_id

    def status_report(self) -> _HostVersions:
        """Return the versions in force on each live host, by host id.

        A host that has not yet prepared the configuration held here is listed
        with no versions.
        """
        held = {} if self._pool is None else self._pool.versions()
        view = self.membership.view()
        return {
            peer.host_id: {
                'versions': held
                if peer.prepared_digest == view.configuration_digest
                else {},
            }
            for peer in view.peers.values()
        }

    def handle(self, event: Event, now_s: float) -> _Actions:
        """Return the actions that answer ``event`` at ``now_s``."""
        match event:
            case CallerDatagram():
                return self._on_caller(event, now_s)
            case BackendDatagram():
                return self._on_backend(event, now_s)
            case PeerDatagram():
                return self._settle(self._on_peer(event, now_s), now_s)
            case ConfigurationChanged():
                return self._settle(self._configure(event.pool, now_s), now_s)
            case FlowsHandedOver():
                return self.flows.on_flows_handed_over(event, now_s)
            case HandoverFinished():
                return self.flows.on_handover_finished(event, now_s)
            case RequestsHandedOver():
                return self.requests.on_requests_handed_over(event, now_s)
            case LeaveRequested():
                return self._settle(self._leave(now_s), now_s)

    def tick(self, now_s: float) -> _Actions:
        """Run everything that is due; call it at least every 50 ms."""
        self.membership.set_demands(self.requests.demands())
        self.membership.set_prepared(self.flows.is_prepared())
        self.membership.set_warm(self.flows.is_warm())
        self.membership.set_successor(self.requests.successor)
        actions = self.membership.tick(now_s)
        actions += self.health.tick(now_s)
        actions += self.flows.tick(now_s)
        actions += self.requests.tick(now_s)
        return self._settle(actions, now_s)

    def _on_caller(self, event: CallerDatagram, now_s: float) -> _Actions:
        payload = event.payload
        if event.service_id not in self._services:
            self.counters.drop(self._absence_reason())
            return []
        if len(payload) > wire.MAX_DATAGRAM_SIZE_BYTES:
            self.counters.drop(DropReason.OVERSIZED)
            return []
        if wire.is_framed(payload):
            return self._on_framed(event, now_s)
        key = flow_key(event.service_id, event.caller)
        return self.flows.on_payload(
            event.service_id, event.caller, key, payload, None, now_s
        )

    def _absence_reason(self) -> DropReason:
        if self._pool is None:
            return DropReason.NOT_READY
        return DropReason.UNKNOWN_SERVICE

    def _on_framed(self, event: CallerDatagram, now_s: float) -> _Actions:
        try:
            message = wire.decode_from_caller(event.payload)
        except WireFormatError:
            self.counters.drop(DropReason.MALFORMED)
            return []
        key = flow_key(event.service_id, event.caller)
        match message:
            case wire.Open():
                return self._on_open(event, key, message, now_s)
            case wire.Data():
                return self._on_data(event, key, message, now_s)
            case wire.Close():
                return self.flows.on_close(event.service_id, key)
            case wire.Request() | wire.Cancel():
                return self._on_request(event, key, message, now_s)

    def _on_open(
        self,
        event: CallerDatagram,
        key: int,
        message: wire.Open,
        now_s: float,
    ) -> _Actions:
        previous = None
        if message.token:
            previous = self._unseal(message.token, key, event.service_id)
            if previous is None:
                return self._refuse(event, 0, ResultCode.TOKEN_INVALID)
        return self.flows.on_open(
            event.service_id,
            event.caller,
            key,
            message.first_request_id,
            now_s,
            previous,
        )

    def _on_data(
        self,
        event: CallerDatagram,
        key: int,
        message: wire.Data,
        now_s: float,
    ) -> _Actions:
        token = None
        if message.token:
            token = self._unseal(message.token, key, event.service_id)
            if token is None:
                self.counters.drop(DropReason.TOKEN_INVALID)
                return []
        return self.flows.on_payload(
            event.service_id, event.caller, key, message.payload, token, now_s
        )

    def _on_request(
        self,
        event: CallerDatagram,
        key: int,
        message: wire.Request | wire.Cancel,
        now_s: float,
    ) -> _Actions:
        token = self._unseal(message.token, key, event.service_id)
        if token is None:
            code = ResultCode.TOKEN_INVALID
            if not message.token:
                code = ResultCode.TOKEN_MISSING
            return self._refuse(event, message.request_id, code)
        match message:
            case wire.Request():
                return self.requests.on_request(
                    event.service_id,
                    event.caller,
                    key,
                    token,
                    message,
                    event.payload,
                    now_s,
                )
            case wire.Cancel():
                return self.requests.on_cancel(
                    event.service_id,
                    event.caller,
                    key,
                    token,
                    message,
                    event.payload,
                    now_s,
                )

    def _unseal(
        self, sealed: bytes, key: int, service: str
    ) -> FlowToken | None:
        try:
            return self._sealer.unseal(sealed, key, service)
        except TokenError:
            return None

    def _refuse(
        self,
        event: CallerDatagram,
        request_id: int,
        code: ResultCode,
    ) -> _Actions:
        self.counters.refuse(code)
        refusal = wire.encode(wire.Refusal(request_id, code, 0))
        return [SendToCaller(event.service_id, event.caller, refusal)]

    def _on_backend(self, event: BackendDatagram, now_s: float) -> _Actions:
        try:
            reply = wire.decode_reply(event.payload)
        except WireFormatError:
            self.counters.drop(DropReason.MALFORMED)
            return []
        match reply:
            case wire.Downstream():
                return self.flows.on_downstream(event.source, reply, now_s)
            case wire.RunAnswer():
                return self.requests.on_run_answer(event.source, reply, now_s)
            case wire.RunShed():
                return self.requests.on_run_shed(event.source, reply, now_s)
            case wire.ProbeReply():
                return self.health.on_probe_reply(event.source, reply, now_s)

    def _on_peer(self, event: PeerDatagram, now_s: float) -> _Actions:
        try:
            message = peerwire.unseal(event.payload, self._config.peer_key)
        except WireFormatError:
            self.counters.drop(DropReason.PEER_TAG_INVALID)
            return []
        match message:
            case peerwire.Heartbeat():
                return self.membership.on_heartbeat(message, now_s)
            case peerwire.Lookup():
                return self.flows.on_lookup(message, now_s)
            case peerwire.LookupReply():
                return self.flows.on_lookup_reply(message, now_s)
            case peerwire.RelayedRequest():
                return self._on_relayed(message, now_s)
            case peerwire.RelayedReply():
                return [
                    SendToCaller(
                        message.service_id, message.caller, message.datagram
                    ),
                ]
            case peerwire.HealthReport():
                return self.health.on_health_report(message, now_s)

    def _on_relayed(
        self, relayed: peerwire.RelayedRequest, now_s: float
    ) -> _Actions:
        try:
            message = wire.decode_from_caller(relayed.datagram)
        except WireFormatError:
            self.counters.drop(DropReason.MALFORMED)
            return []
        match message:
            case wire.Request() | wire.Cancel():
                return self._on_relayed_request(relayed, message, now_s)
            case _:
                self.counters.drop(DropReason.MALFORMED)
                return []

    def _on_relayed_request(
        self,
        relayed: peerwire.RelayedRequest,
        message: wire.Request | wire.Cancel,
        now_s: float,
    ) -> _Actions:
        key = flow_key(relayed.service_id, relayed.caller)
        token = self._unseal(message.token, key, relayed.service_id)
        if token is None:
            self.counters.drop(DropReason.TOKEN_INVALID)
            return []
        return self.requests.on_relayed(relayed, token, message, now_s)

    def _configure(self, pool: PoolSnapshot, now_s: float) -> _Actions:
        if self._is_other_pool(pool):
            return []
        merged = configuration.merge(self._pool, pool)
        if merged is self._pool:
            return []
        self._pool = merged
        self._services = frozenset(
            service.service_id for service in merged.services
        )
        self.counters.count(Count.CONFIGURATION_CHANGES)
        actions = self.membership.configure(merged, now_s)
        actions += self.health.configure(merged, now_s)
        actions += self.flows.configure(merged, now_s)
        actions += self.requests.configure(merged, now_s)
        return actions

    def _is_other_pool(self, pool: PoolSnapshot) -> bool:
        held = self._pool
        if held is None:
            return False
        return held.members.pool_id != pool.members.pool_id

    def _leave(self, now_s: float) -> _Actions:
        if self._is_leaving:
            return []
        self._is_leaving = True
        actions = self.membership.leave(now_s)
        actions += self.requests.leave(now_s)
        actions += self.flows.leave(now_s)
        return actions

    def _settle(self, actions: _Actions, now_s: float) -> _Actions:
        view = self.membership.view()
        if view is not self._view:
            self._view = view
            actions += self.health.on_live_view(view, now_s)
            actions += self.flows.on_live_view(view, now_s)
            actions += self.requests.on_live_view(view, now_s)
        return actions
