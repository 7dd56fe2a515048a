"""The status object of a pool, and which hosts have a change in force.

The pool's reporter writes one object: a map of host id to ``HostStatus`` for
the hosts that it considers live. Fields that are added later are optional, so
that operators' tools and balancers of different releases work together.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Final, TypeAlias

import msgspec

from currantshore.errors import PlatformError, PlatformUnavailableError
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.objectapi.records import status_key
from currantshore.internal.operators.inforce import (
    ConfigurationInForce,
    read_in_force,
)
from currantshore.internal.snapshot import (
    BackendState,
    HostState,
    HostStatus,
    PoolHost,
)

# The watch covers only the status object; a short one also shows changes of
# the configuration early.
_WATCH_TIMEOUT_S: Final = 5.0


PoolStatus: TypeAlias = dict[str, HostStatus]
_Versions: TypeAlias = frozenset[tuple[str, int]]


class HostView(msgspec.Struct, frozen=True):
    """A declared host.

    ``behind`` maps the keys of outdated objects to the versions that the host
    has.
    """

    host_id: str
    zone: str
    state: HostState
    is_reporting: bool
    behind: dict[str, int]

    def is_up_to_date(self) -> bool:
        """Return whether the host reports all required versions."""
        return self.is_reporting and not self.behind


class DrainView(msgspec.Struct, frozen=True):
    """A draining backend server.

    ``open_flows`` is None if a host reports no count or no host reports.
    """

    backend_id: str
    service_id: str
    open_flows: int | None


class StatusView(msgspec.Struct, frozen=True):
    """The result of ``status``; ``is_in_force`` ignores leaving hosts.

    ``versions`` maps object keys to versions, and ``backend_states`` maps
    service ids to the states of their backend servers.
    """

    pool_id: str
    version: int
    versions: dict[str, int]
    hosts: tuple[HostView, ...]
    backend_states: dict[str, dict[str, BackendState]]
    draining: tuple[DrainView, ...]

    def required_hosts(self) -> tuple[HostView, ...]:
        """Return the hosts that must have the versions: those not leaving."""
        return tuple(
            host for host in self.hosts if host.state is not HostState.LEAVING
        )

    def is_in_force(self) -> bool:
        """Return whether every host that is not leaving has the versions."""
        return all(host.is_up_to_date() for host in self.required_hosts())


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolState:
    in_force: ConfigurationInForce
    status: PoolStatus
    revision: int


async def read_status(client: PlatformClient, pool_id: str) -> PoolStatus:
    """Return the pool's status; empty if no status was written yet.

    Raises:
        PlatformUnavailableError: the platform does not answer.
        PlatformError: the object is not a status.
    """
    stored = await client.get(status_key(pool_id))
    return {} if stored is None else decode_status(bytes(stored.value))


async def read_view(
    client: PlatformClient,
    pool_id: str,
    version: int = 0,
) -> StatusView:
    """Return which hosts have the objects up to ``version``; 0 means all.

    Raises:
        PlatformUnavailableError: the platform does not answer.
        PlatformError: the pool is not on the platform.
    """
    in_force = await read_in_force(client, pool_id)
    status = await read_status(client, pool_id)
    return build_view(in_force, status, version)


async def wait_until_in_force(
    client: PlatformClient,
    pool_id: str,
    version: int,
    progress: Callable[[StatusView], None],
) -> StatusView:
    """Wait until every host that is not leaving has ``version``.

    Calls ``progress`` with each view that differs from the previous one, and
    keeps waiting during an outage of the platform. The caller sets a timeout.
    """
    previous: StatusView | None = None
    revision = 0
    while previous is None or not previous.is_in_force():
        try:
            pool_state = await _read_after_change(client, pool_id, revision)
        except PlatformUnavailableError:
            # Reads have already been retried with backoff. There is no status
            # to show until the platform answers again.
            await asyncio.sleep(0)
            continue
        revision = pool_state.revision
        view = build_view(pool_state.in_force, pool_state.status, version)
        if view != previous:
            progress(view)
        previous = view
    return previous


def encode_status(status: Mapping[str, HostStatus]) -> bytes:
    """Return the JSON text of a status object.

    Hosts with equal versions share one map: with 64 hosts and 244 services,
    one map for each host would come close to the platform's limit of 1 MB.
    """
    first_host_ids: dict[_Versions, str] = {}
    encoded: PoolStatus = {}
    for host_id, host in sorted(status.items()):
        first_host_id = first_host_ids.setdefault(
            frozenset(host.versions.items()), host_id
        )
        if first_host_id != host_id:
            host = msgspec.structs.replace(
                host, versions={}, same_as=first_host_id
            )
        encoded[host_id] = host
    return msgspec.json.encode(encoded)


def build_view(
    in_force: ConfigurationInForce,
    status: Mapping[str, HostStatus],
    version: int = 0,
) -> StatusView:
    """Compare the configuration on the platform with the hosts' reports."""
    pool = in_force.pool
    if pool is None:
        raise PlatformError(
            f'pool {in_force.pool_id!r} is not on the platform; check the '
            'pool id, or put its declarations in force with plan and apply'
        )
    target = version or in_force.revision
    versions = in_force.versions
    # If an object has changed again since the target version, any version from
    # the target on counts; if it is older than the target, its own version.
    needed = {key: min(current, target) for key, current in versions.items()}
    return StatusView(
        in_force.pool_id,
        version or max(versions.values()),
        dict(versions),
        tuple(
            _build_host_view(host, status.get(host.host_id), needed)
            for host in pool.members.hosts
        ),
        {
            service.service_id: {
                backend.backend_id: backend.state
                for backend in service.backend_servers
            }
            for service in pool.services
        },
        _build_drain_views(in_force, status),
    )


def count_open_flows(
    status: Mapping[str, HostStatus],
    backend_id: str,
) -> int | None:
    """Return the sum over all hosts of open flows to a backend server.

    Returns None if a host does not count them or no host reports.
    """
    counts = [host.draining_flows for host in status.values()]
    reported = [flows for flows in counts if flows is not None]
    if not counts or len(reported) < len(counts):
        return None
    return sum(flows.get(backend_id, 0) for flows in reported)


def _build_host_view(
    host: PoolHost,
    reported: HostStatus | None,
    needed: Mapping[str, int],
) -> HostView:
    reported_versions = {} if reported is None else reported.versions
    behind = {
        key: reported_versions.get(key, 0)
        for key, needed_version in needed.items()
        if reported_versions.get(key, 0) < needed_version
    }
    return HostView(
        host.host_id, host.zone, host.state, reported is not None, behind
    )


def _build_drain_views(
    in_force: ConfigurationInForce,
    status: Mapping[str, HostStatus],
) -> tuple[DrainView, ...]:
    services = () if in_force.pool is None else in_force.pool.services
    return tuple(
        DrainView(
            backend.backend_id,
            service.service_id,
            count_open_flows(status, backend.backend_id),
        )
        for service in services
        for backend in service.backend_servers
        if backend.state is BackendState.DRAINING
    )


async def _read_after_change(
    client: PlatformClient,
    pool_id: str,
    after_revision: int,
) -> _PoolState:
    key = status_key(pool_id)
    if after_revision:
        await client.watch(key, after_revision, _WATCH_TIMEOUT_S)
    in_force = await read_in_force(client, pool_id)
    status = await read_status(client, pool_id)
    return _PoolState(in_force, status, in_force.revision)


def decode_status(value: bytes) -> PoolStatus:
    """Decode a status object, with or without shared maps.

    Raises:
        PlatformError: the value is not a status.
    """
    try:
        status = msgspec.json.decode(value, type=PoolStatus)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlatformError(
            f'the status object cannot be decoded: {error}'
        ) from error
    return {
        host_id: _restore_versions(host, status.get(host.same_as))
        for host_id, host in status.items()
    }


def _restore_versions(
    host: HostStatus, shared: HostStatus | None
) -> HostStatus:
    if shared is None:
        return host
    return msgspec.structs.replace(host, versions=shared.versions, same_as='')
