"""What the platform declares: routes with their services, backend servers."""

import dataclasses
import enum
from collections.abc import Mapping

from currantshore.wire import Endpoint


@enum.unique
class RequestKind(enum.Enum):
    """How the requests of a route may be treated.

    A download may be repeated, an upload runs once at most; both carry many
    times the bytes of other requests.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    UPLOAD = 'upload'
    DOWNLOAD = 'download'

    @property
    def is_bulk(self) -> bool:
        """Tell whether a request's bytes weigh more than its work."""
        return self in {RequestKind.UPLOAD, RequestKind.DOWNLOAD}


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and the part of a route's new flows that it gets."""

    service_id: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """An address of callers and the services behind it.

    ``address_key`` is the address as packets carry it; its bytes mean nothing
    to a decision. ``priority`` 0 is the highest.
    """

    address_key: bytes
    name: str
    shares: tuple[ServiceShare, ...]
    kind: RequestKind
    priority: int
    target_latency_s: float
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """All routes of one configuration version, by address key."""

    version: int
    routes: Mapping[bytes, Route]
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BackendEntry:
    """What a backend server said of itself, at ``revision`` of the store.

    ``instance`` is the number that the server expects before each packet, and
    ``started_ms`` the Unix time of its start.
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


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRemoved:
    """A backend server that the store lists no longer since ``revision``."""

    backend_id: str
    revision: int
