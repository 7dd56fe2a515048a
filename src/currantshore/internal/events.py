"""Inputs and actions of the decision core."""

import dataclasses
from collections.abc import Mapping
from typing import TypeAlias

from currantshore.internal.snapshot import PoolSnapshot
from currantshore.wire import Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDatagram:
    """A datagram that arrived on the address of a service."""

    service_id: str
    caller: Endpoint
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendDatagram:
    """A datagram that arrived from a backend server."""

    source: Endpoint
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDatagram:
    """A sealed datagram that arrived from another balancer."""

    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """An accepted configuration that is newer than the current one."""

    pool: PoolSnapshot


@dataclasses.dataclass(frozen=True, slots=True)
class FlowsHandedOver:
    """Exceptions that a peer handed over to this balancer.

    An exception is a flow whose backend server is not that of its bucket.
    ``flows`` maps a backend id to packed 5-byte flow fingerprints. If
    ``settled_version`` is 0 or more, the sender, as an owner, has committed
    this version of the service and sent all exceptions that it owns.
    ``settled`` maps services without exceptions to such versions, by service
    id; the ``service_id`` is empty then.
    """

    sender: str
    service_id: str
    flows: Mapping[str, bytes]
    settled_version: int = -1
    settled: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverFinished:
    """The outcome of a ``HandOverFlows`` action of this balancer."""

    host_id: str
    service_id: str
    handover_id: int
    is_acknowledged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsHandedOver:
    """Request ids that a leaving executor handed over to this balancer."""

    sender: str
    sender_incarnation: int
    service_id: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process received a request to stop."""


Event: TypeAlias = (
    CallerDatagram
    | BackendDatagram
    | PeerDatagram
    | ConfigurationChanged
    | FlowsHandedOver
    | HandoverFinished
    | RequestsHandedOver
    | LeaveRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send a datagram to a caller from the address of a service."""

    service_id: str
    caller: Endpoint
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendToBackend:
    """Send a datagram to a backend server."""

    target: Endpoint
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a sealed datagram to a balancer of the pool."""

    host_id: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverFlows:
    """Hand over exceptions to a peer and report a ``HandoverFinished``.

    The peer receives the other fields as ``FlowsHandedOver``.
    """

    host_id: str
    service_id: str
    handover_id: int
    flows: Mapping[str, bytes]
    settled_version: int = -1
    settled: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverRequests:
    """Hand over request ids of this executor to its successor."""

    host_id: str
    service_id: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Fetch newer configuration objects from a peer."""

    host_id: str


Action: TypeAlias = (
    SendToCaller
    | SendToBackend
    | SendToPeer
    | HandOverFlows
    | HandOverRequests
    | FetchConfiguration
)
