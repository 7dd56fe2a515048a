"""Drain and join: changes of the state of one host or backend server.

Each change reads the object, checks the new state and writes it. If another
operator writes the same object in between, the change is read, checked and
written again on the new version; the new state itself does not depend on the
rest of the object.
"""

import dataclasses
import secrets
from collections.abc import Iterator
from typing import Final, TypeAlias

import msgspec

from currantshore.errors import (
    InvalidArgumentError,
    PlanRefusedError,
    VersionConflictError,
)
from currantshore.internal.objectapi.objects import Written
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.operators.inforce import (
    ConfigurationInForce,
    encode_record,
    read_in_force,
)
from currantshore.internal.operators.guarantees import (
    drain_faults,
    leave_faults,
)
from currantshore.internal.operators.writers import check_operator, operator_of
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    HostState,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
    pool_key,
    service_key,
)

# More conflicts in a row mean that something writes the object continuously.
MAX_CONFLICTS: Final = 16
_NONCE_SIZE_BYTES: Final = 8

_Record: TypeAlias = PoolMembers | ServiceSnapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a drain or a join.

    ``version`` is the object's version in which the member has ``state``;
    ``was_in_force`` is true if nothing had to be written.
    """

    member_id: str
    key: str
    state: str
    version: int
    was_in_force: bool
    conflict_count: int = 0
    overwritten_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestedState:
    member_id: str
    host_state: HostState
    backend_state: BackendState
    allow_empty: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ObjectChange:
    key: str
    record: _Record
    state: str
    is_needed: bool
    faults: tuple[str, ...]


async def drain(
    client: PlatformClient,
    pool_id: str,
    member_id: str,
    operator: str,
    *,
    allow_empty: bool = False,
) -> Outcome:
    """Mark a host as leaving or a backend server as draining.

    ``allow_empty`` allows to drain the last backend server of a service.

    Raises:
        InvalidArgumentError: the pool has no such host or backend server.
        PlanRefusedError: no other host or backend server could take over its
            work.
        VersionConflictError: other operators kept changing the object.
        PlatformUnavailableError: the outcome is unknown; run it again.
    """
    requested = _RequestedState(
        member_id, HostState.LEAVING, BackendState.DRAINING, allow_empty
    )
    return await _change_with_retry(client, pool_id, requested, operator)


async def join(
    client: PlatformClient,
    pool_id: str,
    member_id: str,
    operator: str,
) -> Outcome:
    """Mark a host or a backend server as active, also after a drain.

    Raises:
        InvalidArgumentError: the pool has no such host or backend server.
        VersionConflictError: other operators kept changing the object.
        PlatformUnavailableError: the outcome is unknown; run it again.
    """
    requested = _RequestedState(
        member_id, HostState.ACTIVE, BackendState.ACTIVE
    )
    return await _change_with_retry(client, pool_id, requested, operator)


async def _change_with_retry(
    client: PlatformClient,
    pool_id: str,
    requested: _RequestedState,
    operator: str,
) -> Outcome:
    check_operator(operator)
    conflict_count = 0
    while True:
        try:
            outcome = await _try_change(client, pool_id, requested, operator)
        except VersionConflictError:
            conflict_count += 1
            if conflict_count >= MAX_CONFLICTS:
                raise
        else:
            break
    return dataclasses.replace(outcome, conflict_count=conflict_count)


async def _try_change(
    client: PlatformClient,
    pool_id: str,
    requested: _RequestedState,
    operator: str,
) -> Outcome:
    in_force = await read_in_force(client, pool_id)
    change = _build_change(_require_pool(in_force), requested)
    written = Written(in_force.version(change.key))
    if change.is_needed:
        if change.faults:
            raise PlanRefusedError(change.faults)
        written = await _write(client, in_force, change, operator)
    return Outcome(
        requested.member_id,
        change.key,
        change.state,
        written.version,
        not change.is_needed,
        overwritten_by=operator_of(written.overwritten_by),
    )


async def _write(
    client: PlatformClient,
    in_force: ConfigurationInForce,
    change: _ObjectChange,
    operator: str,
) -> Written:
    nonce = secrets.token_hex(_NONCE_SIZE_BYTES)
    return await client.put_with_retry(
        change.key,
        encode_record(change.record),
        in_force.version(change.key),
        f'{operator}/{change.state}-{nonce}',
        in_force.objects.get(change.key),
    )


def _require_pool(in_force: ConfigurationInForce) -> PoolSnapshot:
    if in_force.pool is None:
        raise InvalidArgumentError.from_value(
            'pool_id', in_force.pool_id, 'a pool that was put in force'
        )
    return in_force.pool


def _build_change(
    pool: PoolSnapshot, requested: _RequestedState
) -> _ObjectChange:
    for host in pool.members.hosts:
        if host.host_id == requested.member_id:
            return _build_host_change(pool, host, requested)
    for service, backend in _all_backends(pool):
        if backend.backend_id == requested.member_id:
            return _build_backend_change(pool, service, backend, requested)
    raise InvalidArgumentError.from_value(
        'member_id',
        requested.member_id,
        f'a host or backend server of pool {pool.members.pool_id}; '
        '"currantshore status" lists them',
    )


def _all_backends(
    pool: PoolSnapshot,
) -> Iterator[tuple[ServiceSnapshot, BackendServer]]:
    for service in pool.services:
        for backend in service.backend_servers:
            yield service, backend


def _build_host_change(
    pool: PoolSnapshot,
    host: PoolHost,
    requested: _RequestedState,
) -> _ObjectChange:
    state = requested.host_state
    faults: tuple[str, ...] = ()
    if state is HostState.LEAVING:
        faults = tuple(leave_faults(pool.members, host.host_id))
    changed = msgspec.structs.replace(host, state=state)
    hosts = [
        changed if member is host else member for member in pool.members.hosts
    ]
    return _ObjectChange(
        pool_key(pool.members.pool_id),
        msgspec.structs.replace(pool.members, hosts=tuple(hosts)),
        state.value,
        host.state is not state,
        faults,
    )


def _build_backend_change(
    pool: PoolSnapshot,
    service: ServiceSnapshot,
    backend: BackendServer,
    requested: _RequestedState,
) -> _ObjectChange:
    state = requested.backend_state
    faults: tuple[str, ...] = ()
    if state is BackendState.DRAINING and not requested.allow_empty:
        faults = tuple(drain_faults(service, backend.backend_id))
    changed = msgspec.structs.replace(backend, state=state)
    declared = service.backend_servers
    servers = [changed if member is backend else member for member in declared]
    return _ObjectChange(
        service_key(pool.members.pool_id, service.service_id),
        msgspec.structs.replace(service, backend_servers=tuple(servers)),
        state.value,
        backend.state is not state,
        faults,
    )
