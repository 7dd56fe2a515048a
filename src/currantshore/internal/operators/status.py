"""The status object of a pool and what it says about a change.

The pool's reporter writes one object: a map of host id to ``HostStatus`` of
the hosts that it takes for live. Fields that are added later are optional, so
operators' tools and balancers may have different releases.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from typing import Final, TypeAlias

import msgspec

from currantshore.errors import PlatformError, PlatformUnavailableError
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.objectapi.records import status_key
from currantshore.internal.operators.inforce import InForce, read_in_force
from currantshore.internal.snapshot import (
    BackendState,
    HostState,
    HostStatus,
    PoolHost,
)

# A watch that ends is one more call; a short one shows progress in time.
_WATCH_TIMEOUT_S: Final = 5.0


PoolStatus: TypeAlias = dict[str, HostStatus]
_Versions: TypeAlias = frozenset[tuple[str, int]]


class HostView(msgspec.Struct, frozen=True):
    """A declared host; ``behind`` maps keys to the version it holds."""

    host_id: str
    zone: str
    state: HostState
    is_reporting: bool
    behind: dict[str, int]

    def is_in_force(self) -> bool:
        """Tell whether the host holds the versions that were asked for."""
        return self.is_reporting and not self.behind


class DrainView(msgspec.Struct, frozen=True):
    """A backend server that is draining; no count when none was reported."""

    backend_id: str
    service_id: str
    open_flows: int | None


class StatusView(msgspec.Struct, frozen=True):
    """What ``status`` shows; leaving hosts are not waited for.

    ``versions`` maps object keys to versions, and ``backend_states`` maps
    service ids to the states of their backend servers.
    """

    pool_id: str
    version: int
    versions: dict[str, int]
    hosts: tuple[HostView, ...]
    backend_states: dict[str, dict[str, BackendState]]
    draining: tuple[DrainView, ...]

    def awaited(self) -> tuple[HostView, ...]:
        """Return the hosts that must hold the versions."""
        return tuple(
            host for host in self.hosts if host.state is not HostState.LEAVING
        )

    def is_in_force(self) -> bool:
        """Tell whether every host that is not leaving holds the versions."""
        return all(host.is_in_force() for host in self.awaited())


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    in_force: InForce
    status: PoolStatus
    revision: int


async def read_status(client: PlatformClient, pool_id: str) -> PoolStatus:
    """Return the pool's status, empty when nobody has reported yet.

    Raises:
        PlatformUnavailableError: when the platform does not answer.
        PlatformError: when the object is not a status.
    """
    found = await client.get(status_key(pool_id))
    return {} if found is None else decode_status(bytes(found.value))


async def read_view(
    client: PlatformClient,
    pool_id: str,
    version: int = 0,
) -> StatusView:
    """Return which hosts hold the objects up to ``version``; 0 means all.

    Raises:
        PlatformUnavailableError: when the platform does not answer.
        PlatformError: when the pool is not on the platform.
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
    """Wait until every host that is not leaving holds ``version``.

    ``progress`` gets each view that differs from the one before. The caller
    limits the time. An outage of the platform is waited out.
    """
    shown: StatusView | None = None
    after = 0
    while shown is None or not shown.is_in_force():
        try:
            reading = await _read_next(client, pool_id, after)
        except PlatformUnavailableError:
            # The client has backed off; a status is worth nothing until the
            # platform answers again.
            await asyncio.sleep(0)
            continue
        after = reading.revision
        seen = build_view(reading.in_force, reading.status, version)
        if seen != shown:
            progress(seen)
        shown = seen
    return shown


def encode_status(status: Mapping[str, HostStatus]) -> bytes:
    """Return the JSON text of a status object.

    Hosts with equal versions share one map: at 64 hosts and 244 services, a
    map for each host would come close to the platform's limit of 1 MB.
    """
    first: dict[_Versions, str] = {}
    written: PoolStatus = {}
    for host_id, host in sorted(status.items()):
        known = first.setdefault(frozenset(host.versions.items()), host_id)
        if known != host_id:
            host = msgspec.structs.replace(host, versions={}, same_as=known)
        written[host_id] = host
    return msgspec.json.encode(written)


def build_view(
    in_force: InForce,
    status: Mapping[str, HostStatus],
    version: int = 0,
) -> StatusView:
    """Compare what is in force on the platform with the hosts' reports."""
    pool = in_force.pool
    if pool is None:
        raise PlatformError(
            f'pool {in_force.pool_id!r} is not on the platform; check the '
            'pool id, or put its declarations in force with plan and apply'
        )
    target = version or in_force.revision
    versions = in_force.versions
    # An object that was changed again counts once any later version is there.
    needed = {key: min(held, target) for key, held in versions.items()}
    return StatusView(
        in_force.pool_id,
        version or max(versions.values()),
        dict(versions),
        tuple(
            _view_host(host, status.get(host.host_id), needed)
            for host in pool.members.hosts
        ),
        {
            one.service_id: {
                backend.backend_id: backend.state
                for backend in one.backend_servers
            }
            for one in pool.services
        },
        _view_drains(in_force, status),
    )


def open_flows(
    status: Mapping[str, HostStatus],
    backend_id: str,
) -> int | None:
    """Return the open flows of a draining backend server on all hosts.

    None when a host does not count them, or no host reports.
    """
    counts = [host.draining_flows for host in status.values()]
    known = [one for one in counts if one is not None]
    if not counts or len(known) < len(counts):
        return None
    return sum(one.get(backend_id, 0) for one in known)


def _view_host(
    host: PoolHost,
    reported: HostStatus | None,
    needed: Mapping[str, int],
) -> HostView:
    held = {} if reported is None else reported.versions
    behind = {
        key: held.get(key, 0)
        for key, wanted in needed.items()
        if held.get(key, 0) < wanted
    }
    return HostView(
        host.host_id, host.zone, host.state, reported is not None, behind
    )


def _view_drains(
    in_force: InForce,
    status: Mapping[str, HostStatus],
) -> tuple[DrainView, ...]:
    services = () if in_force.pool is None else in_force.pool.services
    return tuple(
        DrainView(
            backend.backend_id,
            service.service_id,
            open_flows(status, backend.backend_id),
        )
        for service in services
        for backend in service.backend_servers
        if backend.state is BackendState.DRAINING
    )


async def _read_next(
    client: PlatformClient,
    pool_id: str,
    after: int,
) -> _Reading:
    key = status_key(pool_id)
    if after:
        await client.watch(key, after, _WATCH_TIMEOUT_S)
    in_force = await read_in_force(client, pool_id)
    status = await read_status(client, pool_id)
    return _Reading(in_force, status, in_force.revision)


def decode_status(value: bytes) -> PoolStatus:
    """Read a status object, with or without shared maps.

    Raises:
        PlatformError: when it is not a status.
    """
    try:
        status = msgspec.json.decode(value, type=PoolStatus)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlatformError(f'unreadable status object: {error}') from error
    return {
        host_id: _expand(host, status.get(host.same_as))
        for host_id, host in status.items()
    }


def _expand(host: HostStatus, shared: HostStatus | None) -> HostStatus:
    if shared is None:
        return host
    return msgspec.structs.replace(host, versions=shared.versions, same_as='')
