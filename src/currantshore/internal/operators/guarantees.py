"""Guarantees to users that a planned change must not break.

``broken_guarantees`` checks the change of the whole pool, so that ``apply`` can
repeat the check with the changes that other operators have put in force since
the plan was made.
"""

import dataclasses
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final, TypeVar

from currantshore.internal.operators.status import PoolStatus, count_open_flows
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    HostState,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
)
from currantshore.wire import Endpoint

# Allows for rounding in the sum of decimal fractions.
_SHARE_TOLERANCE: Final = 1e-9

_RowT = TypeVar('_RowT')


@dataclasses.dataclass(frozen=True, slots=True)
class DrainEvidence:
    """The hosts' reports and the operator's assumptions about flows.

    ``assumed_drained`` holds the ids of draining backend servers and leaving
    hosts that have no flows according to the operator.
    """

    status: PoolStatus
    assumed_drained: frozenset[str] = frozenset()


def broken_guarantees(
    before: PoolSnapshot | None,
    after: PoolSnapshot,
    evidence: DrainEvidence,
) -> list[str]:
    """Return a message for each guarantee that the change would break."""
    problems = list(cross_object_faults(after))
    for service in after.services:
        problems.extend(_service_faults(service))
    if before is not None:
        problems.extend(_host_faults(before.members, after.members, evidence))
        problems.extend(_service_change_faults(before, after, evidence))
    return problems


def drain_faults(service: ServiceSnapshot, backend_id: str) -> Iterator[str]:
    """Yield the reasons why ``backend_id`` cannot be drained now."""
    others = [
        backend
        for backend in service.active_backends()
        if backend.backend_id != backend_id
    ]
    if not others:
        yield (
            f'service {service.service_id}: {backend_id} is the last backend '
            'server that takes new flows; join another one first, or pass '
            '--allow-empty to take the service out of use'
        )


def leave_faults(members: PoolMembers, host_id: str) -> Iterator[str]:
    """Yield the reasons why ``host_id`` cannot leave now."""
    others = [
        host
        for host in members.hosts
        if host.state is HostState.ACTIVE and host.host_id != host_id
    ]
    if not others:
        yield (
            f'pool {members.pool_id}: {host_id} is the last active host; '
            'join another one first'
        )


def cross_object_faults(pool: PoolSnapshot) -> Iterator[str]:
    """Yield the faults that show only in the whole pool.

    These are shared addresses and ids of backend servers, unknown zones and a
    pool without an active host.
    """
    services = pool.services
    addresses = [service.address for service in services]
    backends = [
        backend for service in services for backend in service.backend_servers
    ]
    endpoints = [backend.endpoint for backend in backends]
    for endpoint in _find_repeated([*addresses, *endpoints]):
        yield (
            f'address {endpoint.host}:{endpoint.port} is shared; packets of '
            'one service would reach another; declare another address'
        )
    for backend_id in _find_repeated(
        [backend.backend_id for backend in backends]
    ):
        yield f'backend server {backend_id} is declared twice in the pool'
    zones = pool.members.zones
    placed = [(backend.backend_id, backend.zone) for backend in backends]
    placed.extend((host.host_id, host.zone) for host in pool.members.hosts)
    for member_id, zone in placed:
        if zone not in zones:
            yield (
                f'{member_id} is in the unknown zone {zone!r}; the zones of '
                f'the pool are {", ".join(zones)}'
            )
    if all(host.state is not HostState.ACTIVE for host in pool.members.hosts):
        yield f'pool {pool.members.pool_id} would have no active host'


def _service_faults(service: ServiceSnapshot) -> Iterator[str]:
    scope = f'service {service.service_id}'
    if not service.active_backends():
        yield (
            f'{scope}: no backend server would take new flows; keep one '
            'active, or remove the whole service'
        )
    total = sum(row.guaranteed_share_ratio for row in service.priority_classes)
    if total > 1 + _SHARE_TOLERANCE:
        yield f'{scope}: guaranteed shares add up to {total:.0%}, over 100%'


def _host_faults(
    before: PoolMembers,
    after: PoolMembers,
    evidence: DrainEvidence,
) -> Iterator[str]:
    if before.user_id != after.user_id:
        yield (
            f'pool {before.pool_id} belongs to {before.user_id}; declare a '
            f'pool with another id for {after.user_id}'
        )
    hosts_after = {host.host_id: host for host in after.hosts}
    for host in before.hosts:
        host_after = hosts_after.get(host.host_id)
        if host_after is None or _endpoints(host_after) != _endpoints(host):
            yield from _not_stopped_faults(host, evidence)


def _not_stopped_faults(
    host: PoolHost, evidence: DrainEvidence
) -> Iterator[str]:
    host_id = host.host_id
    if host.state is HostState.ACTIVE:
        yield (
            f'host {host_id} is active; run "currantshore drain {host_id}" '
            'before it is removed or moved'
        )
    elif host_id in evidence.status and host_id not in evidence.assumed_drained:
        yield (
            f'host {host_id} still reports; wait until it has stopped before '
            f'it is removed or moved, or plan with "--assume-drained {host_id}"'
        )


def _endpoints(host: PoolHost) -> tuple[Endpoint, Endpoint]:
    return (host.peer_endpoint, host.rpc_endpoint)


def _service_change_faults(
    before: PoolSnapshot,
    after: PoolSnapshot,
    evidence: DrainEvidence,
) -> Iterator[str]:
    services_after = {service.service_id: service for service in after.services}
    for service in before.services:
        service_after = services_after.get(service.service_id)
        if service_after is not None:
            yield from _identity_faults(service, service_after)
        yield from _backend_faults(
            service.backend_servers,
            () if service_after is None else service_after.backend_servers,
            evidence,
        )


def _identity_faults(
    old: ServiceSnapshot,
    new: ServiceSnapshot,
) -> Iterator[str]:
    scope = f'service {old.service_id}'
    if old.address != new.address:
        yield (
            f'{scope}: its address cannot change while callers have flows '
            'to it; declare a new service with the other address'
        )
    if old.bucket_count != new.bucket_count:
        yield (
            f'{scope}: bucket_count is fixed at {old.bucket_count}, because '
            'another count would move established flows'
        )


def _backend_faults(
    before: Sequence[BackendServer],
    after: Sequence[BackendServer],
    evidence: DrainEvidence,
) -> Iterator[str]:
    backends_after = {backend.backend_id: backend for backend in after}
    for backend in before:
        backend_after = backends_after.get(backend.backend_id)
        if backend_after is None or _is_moved_or_removed(
            backend, backend_after
        ):
            yield from _not_drained_faults(backend, evidence)
        elif _is_active_to_joining(backend, backend_after):
            yield (
                f'backend server {backend.backend_id} is active; it can only '
                'become draining'
            )


def _is_moved_or_removed(old: BackendServer, new: BackendServer) -> bool:
    is_removed = new.state is BackendState.REMOVED
    was_removed = old.state is BackendState.REMOVED
    return old.endpoint != new.endpoint or (is_removed and not was_removed)


def _is_active_to_joining(old: BackendServer, new: BackendServer) -> bool:
    return (
        old.state is BackendState.ACTIVE and new.state is BackendState.JOINING
    )


def _not_drained_faults(
    backend: BackendServer, evidence: DrainEvidence
) -> Iterator[str]:
    backend_id = backend.backend_id
    match backend.state:
        case BackendState.ACTIVE:
            yield (
                f'backend server {backend_id} is active; run "currantshore '
                f'drain {backend_id}" and wait until it has no flows before '
                'it is removed or moved'
            )
        case BackendState.DRAINING if (
            backend_id not in evidence.assumed_drained
        ):
            flows = count_open_flows(evidence.status, backend_id)
            if flows is None:
                yield (
                    f'backend server {backend_id} is draining and no count of '
                    'its flows is reported; if it has none, plan with '
                    f'"--assume-drained {backend_id}"'
                )
            elif flows:
                yield (
                    f'backend server {backend_id} still has {flows} flows; '
                    'wait until "currantshore status" shows 0'
                )


def _find_repeated(candidates: Sequence[_RowT]) -> list[_RowT]:
    return [row for row, count in Counter(candidates).items() if count > 1]
