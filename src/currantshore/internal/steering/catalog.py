"""Data classes for routes, services and backend servers.

Revisions are those of ``internal/revisions``, which also order what the store
says after it was restored from an older copy.

The platform's configuration declares the routes with their services. Backend
servers announce their entries in the platform's store, which every host copies.
"""

import dataclasses
import enum
from collections.abc import Mapping

from currantshore.wire import Endpoint


@enum.unique
class RequestKind(enum.Enum):
    """How the requests of a route may be handled.

    A download may be repeated; an upload runs at most once. Both carry many
    times as many bytes as other requests.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    UPLOAD = 'upload'
    DOWNLOAD = 'download'

    @property
    def is_bulk(self) -> bool:
        """Return whether a request costs more by its bytes than by its work."""
        return self in {RequestKind.UPLOAD, RequestKind.DOWNLOAD}


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight for the new flows of a route."""

    service_id: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """An address that callers send to, and the services behind it.

    ``address_key`` is the address as packets carry it; its bytes are opaque
    here. ``priority`` 0 is the most urgent. Without a target,
    ``target_latency_s`` is 0.
    """

    address_key: bytes
    name: str
    shares: tuple[ServiceShare, ...]
    kind: RequestKind
    priority: int
    target_latency_s: float
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Warmup:
    """How long the backends of a service are cold after a start.

    ``requests_per_s`` is what a cold backend bears, from all hosts together.
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """All routes of one configuration version, by address key.

    ``warmups`` has the services whose cold backends bear a limited rate,
    ``declared_services`` all services that are declared, with routes or not.
    """

    version: int
    routes: Mapping[bytes, Route]
    idle_timeout_s: float
    warmups: Mapping[str, Warmup] = dataclasses.field(default_factory=dict)
    declared_services: frozenset[str] = frozenset()

    def named_services(self) -> frozenset[str]:
        """Return the services that are declared or that a route names."""
        return self.declared_services.union(
            share.service_id
            for route in self.routes.values()
            for share in route.shares
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BackendEntry:
    """The entry that a backend server announced, at ``revision`` of the store.

    ``instance`` is the number that the backend expects as the prefix of each
    datagram, ``slots`` the number of requests that it processes at once, and
    ``started_ms`` the Unix time of its start in milliseconds. It was cold for
    ``warmup_left_ms`` more when it wrote the entry.
    """

    backend_id: str
    instance: int
    service_id: str
    endpoint: Endpoint
    zone: str
    slots: int
    is_draining: bool
    started_ms: int
    revision: int
    warmup_left_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """The availability zones whose backend servers get no new flows.

    ``revision`` is the store's revision at which ``zones`` was the complete
    set. It also grows with changes of other objects, while the set stays.
    """

    revision: int
    zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRemoved:
    """A backend server that the store removed at ``revision``."""

    backend_id: str
    revision: int
