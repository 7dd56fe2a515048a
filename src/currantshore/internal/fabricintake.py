"""Decodes datagrams of backend servers and other balancers."""

from typing import TypeAlias

from currantshore import wire
from currantshore.codes import DropReason
from currantshore.errors import WireFormatError
from currantshore.internal import peerwire
from currantshore.internal.callerintake import CallerIntake
from currantshore.internal.events import (
    Action,
    BackendDatagram,
    PeerDatagram,
    SendToCaller,
)
from currantshore.internal.hashing import flow_key
from currantshore.internal.parts import CoreParts

_Actions: TypeAlias = list[Action]


class FabricIntake:
    """Passes datagrams of backends and balancers to the part in charge.

    Invalid input is dropped with a counted reason; it raises no error.
    """

    __slots__ = ('_callers', '_parts', '_peer_key')

    def __init__(
        self,
        parts: CoreParts,
        callers: CallerIntake,
        peer_key: bytes,
    ) -> None:
        """Initialize with the ``parts`` that handle the messages.

        ``callers`` unseals the tokens of relayed requests.
        """
        self._parts = parts
        self._callers = callers
        self._peer_key = peer_key

    def on_backend(self, event: BackendDatagram, now_s: float) -> _Actions:
        """Handle a backend server's datagram; return the actions."""
        try:
            reply = wire.decode_reply(event.payload)
        except WireFormatError:
            return self._drop(DropReason.MALFORMED)
        match reply:
            case wire.Downstream():
                return self._on_downstream(event.source, reply, now_s)
            case wire.RunAnswer():
                return self._parts.requests.on_run_answer(
                    event.source, reply, now_s
                )
            case wire.RunShed():
                return self._parts.requests.on_run_shed(
                    event.source, reply, now_s
                )
            case wire.ProbeReply():
                return self._parts.health.on_probe_reply(
                    event.source, reply, now_s
                )

    def _on_downstream(
        self,
        source: wire.Endpoint,
        message: wire.Downstream,
        now_s: float,
    ) -> _Actions:
        actions = self._parts.flows.on_downstream(source, message, now_s)
        backend_id = self._parts.health.backend_at(source)
        # Only callers of framed flows can be informed that a flow went silent.
        # Tracking every opaque flow too would double the cost of a packet.
        if backend_id is not None and _delivers_framed(actions):
            key = flow_key(message.service_id, message.caller)
            actions += self._parts.health.record_downstream(
                message.service_id, key, backend_id, now_s
            )
        return actions

    def on_peer(self, event: PeerDatagram, now_s: float) -> _Actions:
        """Handle another balancer's datagram; return the actions."""
        try:
            message = peerwire.unseal(event.payload, self._peer_key)
        except WireFormatError:
            return self._drop(DropReason.PEER_TAG_INVALID)
        match message:
            case peerwire.Heartbeat():
                return self._parts.membership.on_heartbeat(message, now_s)
            case peerwire.Lookup():
                return self._parts.flows.on_lookup(message, now_s)
            case peerwire.LookupReply():
                return self._parts.flows.on_lookup_reply(message, now_s)
            case peerwire.RelayedRequest():
                return self._on_relayed(message, now_s)
            case peerwire.RelayedReply():
                return [
                    SendToCaller(
                        message.service_id, message.caller, message.datagram
                    ),
                ]
            case peerwire.HealthReport():
                return self._parts.health.on_health_report(message, now_s)

    def _on_relayed(
        self, relayed: peerwire.RelayedRequest, now_s: float
    ) -> _Actions:
        try:
            message = wire.decode_from_caller(relayed.datagram)
        except WireFormatError:
            return self._drop(DropReason.MALFORMED)
        match message:
            case wire.Request() | wire.Cancel():
                return self._on_relayed_request(relayed, message, now_s)
            case _:
                return self._drop(DropReason.MALFORMED)

    def _on_relayed_request(
        self,
        relayed: peerwire.RelayedRequest,
        message: wire.Request | wire.Cancel,
        now_s: float,
    ) -> _Actions:
        key = flow_key(relayed.service_id, relayed.caller)
        token = self._callers.unseal(message.token, key, relayed.service_id)
        if token is None:
            return self._drop(DropReason.TOKEN_INVALID)
        return self._parts.requests.on_relayed(relayed, token, message, now_s)

    def _drop(self, reason: DropReason) -> _Actions:
        self._parts.counters.drop(reason)
        return []


def _delivers_framed(actions: _Actions) -> bool:
    match actions:
        case [SendToCaller() as action]:
            return wire.is_framed(action.payload)
        case _:
            return False
