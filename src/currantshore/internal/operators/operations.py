"""Drain and join: one state of one host or backend server is changed.

Such a change is read, checked and written at once. When another operator
changes the same object in between, it is made again on what is then in force,
because it does not depend on the rest of the object.
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
    InForce,
    encode_record,
    read_in_force,
)
from currantshore.internal.operators.promises import drain_faults, leave_faults
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

# More conflicts in a row mean that something writes without end.
MAX_CONFLICTS: Final = 16
_NONCE_SIZE_BYTES: Final = 8

_Record: TypeAlias = PoolMembers | ServiceSnapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a drain or a join did.

    ``version`` is the object's version in which the state holds, and
    ``was_in_force`` tells that nothing had to be written.
    """

    member_id: str
    key: str
    state: str
    version: int
    was_in_force: bool
    conflict_count: int = 0
    overwritten_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    member_id: str
    host_state: HostState
    backend_state: BackendState
    allow_empty: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
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

    ``allow_empty`` lets the last backend server of a service drain.

    Raises:
        InvalidArgumentError: no such host or backend server.
        PlanRefusedError: nothing would be left to take its work.
        VersionConflictError: other operators kept changing the object.
        PlatformUnavailableError: the outcome is unknown; run it again.
    """
    order = _Order(
        member_id, HostState.LEAVING, BackendState.DRAINING, allow_empty
    )
    return await _change(client, pool_id, order, operator)


async def join(
    client: PlatformClient,
    pool_id: str,
    member_id: str,
    operator: str,
) -> Outcome:
    """Mark a host or a backend server as active, also after a drain.

    Raises:
        InvalidArgumentError: no such host or backend server.
        VersionConflictError: other operators kept changing the object.
        PlatformUnavailableError: the outcome is unknown; run it again.
    """
    order = _Order(member_id, HostState.ACTIVE, BackendState.ACTIVE)
    return await _change(client, pool_id, order, operator)


async def _change(
    client: PlatformClient,
    pool_id: str,
    order: _Order,
    operator: str,
) -> Outcome:
    check_operator(operator)
    conflict_count = 0
    while True:
        try:
            outcome = await _try_change(client, pool_id, order, operator)
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
    order: _Order,
    operator: str,
) -> Outcome:
    in_force = await read_in_force(client, pool_id)
    change = _build(_pool(in_force), order)
    written = Written(in_force.version(change.key))
    if change.is_needed:
        if change.faults:
            raise PlanRefusedError(change.faults)
        written = await _write(client, in_force, change, operator)
    return Outcome(
        order.member_id,
        change.key,
        change.state,
        written.version,
        not change.is_needed,
        overwritten_by=operator_of(written.overwritten_by),
    )


async def _write(
    client: PlatformClient,
    in_force: InForce,
    change: _Change,
    operator: str,
) -> Written:
    nonce = secrets.token_hex(_NONCE_SIZE_BYTES)
    return await client.put_settled(
        change.key,
        encode_record(change.record),
        in_force.version(change.key),
        f'{operator}/{change.state}-{nonce}',
        in_force.objects.get(change.key),
    )


def _pool(in_force: InForce) -> PoolSnapshot:
    if in_force.pool is None:
        raise InvalidArgumentError.from_value(
            'pool_id', in_force.pool_id, 'a pool that was put in force'
        )
    return in_force.pool


def _build(pool: PoolSnapshot, order: _Order) -> _Change:
    for host in pool.members.hosts:
        if host.host_id == order.member_id:
            return _host_change(pool, host, order)
    for service, backend in _backends(pool):
        if backend.backend_id == order.member_id:
            return _backend_change(pool, service, backend, order)
    raise InvalidArgumentError.from_value(
        'member_id',
        order.member_id,
        f'a host or backend server of pool {pool.members.pool_id}; '
        '"currantshore status" lists them',
    )


def _backends(
    pool: PoolSnapshot,
) -> Iterator[tuple[ServiceSnapshot, BackendServer]]:
    for service in pool.services:
        for backend in service.backend_servers:
            yield service, backend


def _host_change(
    pool: PoolSnapshot,
    host: PoolHost,
    order: _Order,
) -> _Change:
    state = order.host_state
    faults: tuple[str, ...] = ()
    if state is HostState.LEAVING:
        faults = tuple(leave_faults(pool.members, host.host_id))
    changed = msgspec.structs.replace(host, state=state)
    hosts = [changed if one is host else one for one in pool.members.hosts]
    return _Change(
        pool_key(pool.members.pool_id),
        msgspec.structs.replace(pool.members, hosts=tuple(hosts)),
        state.value,
        host.state is not state,
        faults,
    )


def _backend_change(
    pool: PoolSnapshot,
    service: ServiceSnapshot,
    backend: BackendServer,
    order: _Order,
) -> _Change:
    state = order.backend_state
    faults: tuple[str, ...] = ()
    if state is BackendState.DRAINING and not order.allow_empty:
        faults = tuple(drain_faults(service, backend.backend_id))
    changed = msgspec.structs.replace(backend, state=state)
    known = service.backend_servers
    servers = [changed if one is backend else one for one in known]
    return _Change(
        service_key(pool.members.pool_id, service.service_id),
        msgspec.structs.replace(service, backend_servers=tuple(servers)),
        state.value,
        backend.state is not state,
        faults,
    )
