"""Configuration records, as stored by the platform and used by the core.

Each record is an object of the platform's API. A pool object lists hosts; a
service object lists backend servers and priority classes. Versions are the
platform's object versions; they only increase.
"""

import enum
from typing import Final

import msgspec

from currantshore.wire import Endpoint

# Bounds a bucket table of 16-bit indexes to 128 KB for the largest service.
MAX_BUCKET_COUNT: Final = 65536


@enum.unique
class BackendState(enum.StrEnum):
    """Declared state of a backend server."""

    JOINING = 'joining'
    ACTIVE = 'active'
    DRAINING = 'draining'
    REMOVED = 'removed'


@enum.unique
class HostState(enum.StrEnum):
    """Declared state of an entry host."""

    JOINING = 'joining'
    ACTIVE = 'active'
    LEAVING = 'leaving'


class BackendServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A backend server of one service."""

    backend_id: str
    zone: str
    endpoint: Endpoint
    slot_count: int
    connection_limit: int = 2000
    state: BackendState = BackendState.ACTIVE


class PriorityClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests; urgency 0 is the most urgent."""

    name: str
    urgency: int
    guaranteed_share_ratio: float
    queue_limit: int = 256


class ServiceSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service: its address, backend servers and priority classes."""

    service_id: str
    user_id: str
    address: Endpoint
    bucket_count: int
    backend_servers: tuple[BackendServer, ...]
    priority_classes: tuple[PriorityClass, ...]
    flow_idle_timeout_s: float = 300.0
    answer_timeout_s: float = 10.0
    prepare_timeout_s: float = 2.5
    version: int = 0

    def active_backends(self) -> tuple[BackendServer, ...]:
        """Return the backend servers that are declared active."""
        return tuple(
            backend
            for backend in self.backend_servers
            if backend.state is BackendState.ACTIVE
        )


class PoolHost(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry host and the endpoints at which peers reach it."""

    host_id: str
    zone: str
    peer_endpoint: Endpoint
    rpc_endpoint: Endpoint
    state: HostState = HostState.ACTIVE


class PoolMembers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The pool object: the hosts among which the network spreads packets."""

    pool_id: str
    user_id: str
    zones: tuple[str, ...]
    hosts: tuple[PoolHost, ...]
    version: int = 0


class PoolSnapshot(msgspec.Struct, frozen=True):
    """The configuration of one pool on a balancer."""

    members: PoolMembers
    services: tuple[ServiceSnapshot, ...]

    def versions(self) -> dict[str, int]:
        """Return the version of each object by its object key."""
        versions = {
            service_key(self.members.pool_id, service.service_id): (
                service.version
            )
            for service in self.services
        }
        versions[pool_key(self.members.pool_id)] = self.members.version
        return versions


class HostStatus(msgspec.Struct, frozen=True):
    """Status reported by one live host.

    ``versions`` maps object keys to the versions in force on the host.
    ``draining_flows`` maps the ids of draining backend servers to their number
    of open flows, None if the host does not count them. ``same_as`` names a
    host of the same status object with the same versions; ``versions`` is
    empty then.
    """

    versions: dict[str, int]
    draining_flows: dict[str, int] | None = None
    same_as: str = ''


def pool_key(pool_id: str) -> str:
    """Return the platform's object key of a pool."""
    return f'pools/{pool_id}/members'


def service_key(pool_id: str, service_id: str) -> str:
    """Return the platform's object key of a service."""
    return f'pools/{pool_id}/services/{service_id}'
