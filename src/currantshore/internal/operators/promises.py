"""Promises to users that a planned change must not break.

``broken_promises`` looks at the change of the whole pool, so that ``apply``
can check it again against what other operators have put in force meanwhile.
"""

import dataclasses
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final, TypeVar

from currantshore.internal.operators.status import PoolStatus, open_flows
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

# Shares are decimal fractions; their sum may be off by rounding.
_SHARE_TOLERANCE: Final = 1e-9

_RowT = TypeVar('_RowT')


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about flows besides the declared states.

    ``assumed_drained`` names backend servers and hosts, already draining or
    leaving, that the operator knows to have no flows.
    """

    status: PoolStatus
    assumed_drained: frozenset[str] = frozenset()


def broken_promises(
    before: PoolSnapshot | None,
    after: PoolSnapshot,
    evidence: Evidence,
) -> list[str]:
    """Return a sentence for each promise that the change would break."""
    problems = list(faults_between_objects(after))
    for service in after.services:
        problems.extend(_faults_of_service(service))
    if before is not None:
        problems.extend(_lost_hosts(before.members, after.members, evidence))
        problems.extend(_lost_services(before, after, evidence))
    return problems


def drain_faults(service: ServiceSnapshot, backend_id: str) -> Iterator[str]:
    """Yield why ``backend_id`` cannot be drained now."""
    others = [
        one for one in service.active_backends() if one.backend_id != backend_id
    ]
    if not others:
        yield (
            f'service {service.service_id}: {backend_id} is the last backend '
            'server that takes new flows; join another one first, or pass '
            '--allow-empty to take the service out of use'
        )


def leave_faults(members: PoolMembers, host_id: str) -> Iterator[str]:
    """Yield why ``host_id`` cannot leave now."""
    others = [
        one
        for one in members.hosts
        if one.state is HostState.ACTIVE and one.host_id != host_id
    ]
    if not others:
        yield (
            f'pool {members.pool_id}: {host_id} is the last active host; '
            'join another one first'
        )


def faults_between_objects(pool: PoolSnapshot) -> Iterator[str]:
    """Yield what no single object shows: shared names and addresses, zones."""
    services = pool.services
    addresses = [one.address for one in services]
    backends = [one for service in services for one in service.backend_servers]
    endpoints = [one.endpoint for one in backends]
    for endpoint in _repeated([*addresses, *endpoints]):
        yield (
            f'address {endpoint.host}:{endpoint.port} is shared; packets of '
            'one service would reach another; declare another address'
        )
    for backend_id in _repeated([one.backend_id for one in backends]):
        yield f'backend server {backend_id} is declared twice in the pool'
    zones = pool.members.zones
    placed = [(one.backend_id, one.zone) for one in backends]
    placed.extend((one.host_id, one.zone) for one in pool.members.hosts)
    for member_id, zone in placed:
        if zone not in zones:
            yield (
                f'{member_id} is in the unknown zone {zone!r}; the zones of '
                f'the pool are {", ".join(zones)}'
            )
    if all(one.state is not HostState.ACTIVE for one in pool.members.hosts):
        yield f'pool {pool.members.pool_id} would have no active host'


def _faults_of_service(service: ServiceSnapshot) -> Iterator[str]:
    scope = f'service {service.service_id}'
    if not service.active_backends():
        yield (
            f'{scope}: no backend server would take new flows; keep one '
            'active, or take the whole service away'
        )
    total = sum(one.guaranteed_share_ratio for one in service.priority_classes)
    if total > 1 + _SHARE_TOLERANCE:
        yield f'{scope}: guaranteed shares add up to {total:.0%}, over 100%'


def _lost_hosts(
    before: PoolMembers,
    after: PoolMembers,
    evidence: Evidence,
) -> Iterator[str]:
    if before.user_id != after.user_id:
        yield (
            f'pool {before.pool_id} belongs to {before.user_id}; declare a '
            f'pool with another id for {after.user_id}'
        )
    kept = {one.host_id: one for one in after.hosts}
    for host in before.hosts:
        now = kept.get(host.host_id)
        if now is None or _places(now) != _places(host):
            yield from _not_gone(host, evidence)


def _not_gone(host: PoolHost, evidence: Evidence) -> Iterator[str]:
    name = host.host_id
    if host.state is HostState.ACTIVE:
        yield (
            f'host {name} is active; run "currantshore drain {name}" before '
            'it is taken away or moved'
        )
    elif name in evidence.status and name not in evidence.assumed_drained:
        yield (
            f'host {name} still reports; wait until it has stopped before it '
            f'is taken away or moved, or plan with "--assume-drained {name}"'
        )


def _places(host: PoolHost) -> tuple[Endpoint, Endpoint]:
    return (host.peer_endpoint, host.rpc_endpoint)


def _lost_services(
    before: PoolSnapshot,
    after: PoolSnapshot,
    evidence: Evidence,
) -> Iterator[str]:
    kept = {one.service_id: one for one in after.services}
    for service in before.services:
        now = kept.get(service.service_id)
        if now is not None:
            yield from _changed_identity(service, now)
        yield from _lost_backends(
            service.backend_servers,
            () if now is None else now.backend_servers,
            evidence,
        )


def _changed_identity(
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


def _lost_backends(
    before: Sequence[BackendServer],
    after: Sequence[BackendServer],
    evidence: Evidence,
) -> Iterator[str]:
    kept = {one.backend_id: one for one in after}
    for backend in before:
        now = kept.get(backend.backend_id)
        if now is None or _is_moved(backend, now):
            yield from _not_drained(backend, evidence)
        elif _is_drain_skipped(backend, now):
            yield (
                f'backend server {backend.backend_id} is active; it can only '
                'become draining'
            )


def _is_moved(old: BackendServer, new: BackendServer) -> bool:
    is_removed = new.state is BackendState.REMOVED
    was_removed = old.state is BackendState.REMOVED
    return old.endpoint != new.endpoint or (is_removed and not was_removed)


def _is_drain_skipped(old: BackendServer, new: BackendServer) -> bool:
    return (
        old.state is BackendState.ACTIVE and new.state is BackendState.JOINING
    )


def _not_drained(backend: BackendServer, evidence: Evidence) -> Iterator[str]:
    name = backend.backend_id
    match backend.state:
        case BackendState.ACTIVE:
            yield (
                f'backend server {name} is active; run "currantshore drain '
                f'{name}" and wait until it has no flows before it is taken '
                'away or moved'
            )
        case BackendState.DRAINING if name not in evidence.assumed_drained:
            flows = open_flows(evidence.status, name)
            if flows is None:
                yield (
                    f'backend server {name} is draining and no count of its '
                    'flows is reported; if it has none, plan with '
                    f'"--assume-drained {name}"'
                )
            elif flows:
                yield (
                    f'backend server {name} still has {flows} flows; wait '
                    'until "currantshore status" shows 0'
                )


def _repeated(given: Sequence[_RowT]) -> list[_RowT]:
    return [one for one, count in Counter(given).items() if count > 1]
