"""Decodes datagrams of callers and passes them to flows or requests."""

from typing import TypeAlias

from currantshore import wire
from currantshore.codes import DropReason, ResultCode
from currantshore.errors import TokenError, WireFormatError
from currantshore.internal.events import Action, CallerDatagram, SendToCaller
from currantshore.internal.hashing import flow_key
from currantshore.internal.parts import CoreParts
from currantshore.internal.tokens import FlowToken

_Actions: TypeAlias = list[Action]


class CallerIntake:
    """Validates datagrams of callers and unseals their tokens.

    Invalid input is dropped or refused with a counted reason; it raises no
    error.
    """

    __slots__ = ('_parts', '_services')

    def __init__(self, parts: CoreParts) -> None:
        """Initialize with the ``parts`` that handle the messages."""
        self._parts = parts
        self._services: frozenset[str] = frozenset()

    def use_services(self, services: frozenset[str]) -> None:
        """Accept datagrams for these services."""
        self._services = services

    def handle(self, event: CallerDatagram, now_s: float) -> _Actions:
        """Handle a caller's datagram; return the resulting actions."""
        payload = event.payload
        if event.service_id not in self._services:
            return self._drop(self._absence_reason())
        if len(payload) > wire.MAX_DATAGRAM_SIZE_BYTES:
            return self._drop(DropReason.OVERSIZED)
        if wire.is_framed(payload):
            return self._on_framed(event, now_s)
        key = flow_key(event.service_id, event.caller)
        return self._parts.flows.on_payload(
            event.service_id, event.caller, key, payload, None, now_s
        )

    def _absence_reason(self) -> DropReason:
        if not self._services:
            return DropReason.NOT_READY
        return DropReason.UNKNOWN_SERVICE

    def _on_framed(self, event: CallerDatagram, now_s: float) -> _Actions:
        try:
            message = wire.decode_from_caller(event.payload)
        except WireFormatError:
            return self._drop(DropReason.MALFORMED)
        key = flow_key(event.service_id, event.caller)
        match message:
            case wire.Open():
                return self._on_open(event, key, message, now_s)
            case wire.Data():
                return self._on_data(event, key, message, now_s)
            case wire.Close():
                return self._parts.flows.on_close(event.service_id, key)
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
            previous = self.unseal(message.token, key, event.service_id)
            if previous is None:
                return self._refuse(event, 0, ResultCode.TOKEN_INVALID)
        return self._parts.flows.on_open(
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
            token = self.unseal(message.token, key, event.service_id)
            if token is None:
                return self._drop(DropReason.TOKEN_INVALID)
        actions = self._parts.flows.on_payload(
            event.service_id, event.caller, key, message.payload, token, now_s
        )
        if token is not None:
            actions += self._parts.health.record_upstream(
                event.service_id, key, token.backend_id, now_s, event.caller
            )
        return actions

    def _on_request(
        self,
        event: CallerDatagram,
        key: int,
        message: wire.Request | wire.Cancel,
        now_s: float,
    ) -> _Actions:
        token = self.unseal(message.token, key, event.service_id)
        if token is None:
            code = ResultCode.TOKEN_INVALID
            if not message.token:
                code = ResultCode.TOKEN_MISSING
            return self._refuse(event, message.request_id, code)
        match message:
            case wire.Request():
                return self._parts.requests.on_request(
                    event.service_id,
                    event.caller,
                    key,
                    token,
                    message,
                    event.payload,
                    now_s,
                )
            case wire.Cancel():
                return self._parts.requests.on_cancel(
                    event.service_id,
                    event.caller,
                    key,
                    token,
                    message,
                    event.payload,
                    now_s,
                )

    def unseal(self, sealed: bytes, key: int, service: str) -> FlowToken | None:
        try:
            return self._parts.sealer.unseal(sealed, key, service)
        except TokenError:
            return None

    def _refuse(
        self,
        event: CallerDatagram,
        request_id: int,
        code: ResultCode,
    ) -> _Actions:
        self._parts.counters.refuse(code)
        refusal = wire.encode(wire.Refusal(request_id, code, 0))
        return [SendToCaller(event.service_id, event.caller, refusal)]

    def _drop(self, reason: DropReason) -> _Actions:
        self._parts.counters.drop(reason)
        return []
