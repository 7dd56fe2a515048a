"""Describes the differences between two states of a pool and their effects."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, TypeVar

import msgspec

from currantshore.internal.operators.derivedvalues import BUCKETS_PER_BACKEND
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    HostState,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)
from currantshore.wire import Endpoint

_RowT = TypeVar('_RowT', BackendServer, PoolHost, PriorityClass)

# Lists are compared row by row, and the platform assigns the versions.
_NOT_COMPARED: Final = (
    'backend_servers',
    'priority_classes',
    'hosts',
    'version',
)

# Two mappings, because equal texts of the two enumerations are equal keys.
_BACKEND_EFFECTS: Final[Mapping[BackendState, str]] = {
    BackendState.DRAINING: 'its flows stay; new work stops within 3 s',
    BackendState.ACTIVE: 'receives new flows; established flows stay',
    BackendState.JOINING: 'receives no flows until "join"',
    BackendState.REMOVED: 'is removed',
}
_HOST_EFFECTS: Final[Mapping[HostState, str]] = {
    HostState.LEAVING: 'hands over its flows and finishes its requests',
    HostState.ACTIVE: 'receives its share of the packets',
    HostState.JOINING: 'receives its share of the packets after "join"',
}


def describe_change(
    before: PoolSnapshot | None,
    after: PoolSnapshot,
) -> list[str]:
    """Describe the changes from ``before`` to ``after``, one line each."""
    old_members = None if before is None else before.members
    lines = list(members_lines(old_members, after.members))
    old_services = {} if before is None else _by_service_id(before.services)
    new_services = _by_service_id(after.services)
    for service_id in sorted(old_services.keys() | new_services.keys()):
        lines.extend(
            service_lines(
                old_services.get(service_id), new_services.get(service_id)
            )
        )
    return lines


def members_lines(
    old: PoolMembers | None,
    new: PoolMembers,
) -> Iterator[str]:
    """Yield a line for each change of the pool object."""
    scope = f'pool {new.pool_id}'
    if old is None:
        zones = ', '.join(new.zones)
        yield f'+ {scope}: {len(new.hosts)} hosts in {zones}'
        return
    yield from _field_lines(scope, old, new)
    yield from _row_lines(
        f'{scope}: host',
        {host.host_id: host for host in old.hosts},
        {host.host_id: host for host in new.hosts},
    )


def service_lines(
    old: ServiceSnapshot | None,
    new: ServiceSnapshot | None,
) -> Iterator[str]:
    """Yield a line for each change of one service; None means no service."""
    old_service = _none_if_retired(old)
    new_service = _none_if_retired(new)
    if old_service is None:
        if new_service is not None:
            yield _describe_new_service(new_service)
    elif new_service is None:
        yield f'- service {old_service.service_id}: is removed'
    else:
        yield from _changed_service_lines(old_service, new_service)


def _none_if_retired(service: ServiceSnapshot | None) -> ServiceSnapshot | None:
    return service if service and service.backend_servers else None


def _changed_service_lines(
    old: ServiceSnapshot,
    new: ServiceSnapshot,
) -> Iterator[str]:
    scope = f'service {old.service_id}'
    yield from _field_lines(scope, old, new)
    yield from _row_lines(
        f'{scope}: backend server',
        {backend.backend_id: backend for backend in old.backend_servers},
        {backend.backend_id: backend for backend in new.backend_servers},
    )
    yield from _row_lines(
        f'{scope}: class',
        {row.name: row for row in old.priority_classes},
        {row.name: row for row in new.priority_classes},
    )
    yield from _effect_lines(scope, old, new)


def _by_service_id(
    services: Sequence[ServiceSnapshot],
) -> dict[str, ServiceSnapshot]:
    return {service.service_id: service for service in services}


def _describe_new_service(service: ServiceSnapshot) -> str:
    address = _format_value(service.address)
    count = len(service.backend_servers)
    shares = ', '.join(
        f'{row.name} {row.guaranteed_share_ratio:g}'
        for row in service.priority_classes
    )
    return (
        f'+ service {service.service_id}: {count} backend servers at '
        f'{address}; shares {shares}'
    )


def _field_lines(
    scope: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
) -> Iterator[str]:
    for name in old.__struct_fields__:
        old_value = getattr(old, name)
        new_value = getattr(new, name)
        if old_value != new_value and name not in _NOT_COMPARED:
            effect = _state_effect(new) if name == 'state' else ''
            line = (
                f'~ {scope}: {name} {_format_value(old_value)} -> '
                f'{_format_value(new_value)}'
            )
            yield f'{line}: {effect}' if effect else line


def _state_effect(row: msgspec.Struct) -> str:
    match row:
        case BackendServer(state=state):
            return _BACKEND_EFFECTS.get(state, '')
        case PoolHost(state=host_state):
            return _HOST_EFFECTS.get(host_state, '')
    return ''


def _row_lines(
    scope: str,
    old: Mapping[str, _RowT],
    new: Mapping[str, _RowT],
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        old_row = old.get(name)
        new_row = new.get(name)
        if new_row is None:
            yield f'- {scope} {name}'
        elif old_row is None:
            yield f'+ {scope} {name}: {_describe_row(new_row)}'
        else:
            yield from _field_lines(f'{scope} {name}', old_row, new_row)


def _describe_row(row: BackendServer | PoolHost | PriorityClass) -> str:
    match row:
        case BackendServer():
            return f'{row.state.value} in {row.zone}, {row.slot_count} slots'
        case PoolHost():
            return f'{row.state.value} in {row.zone}'
    return (
        f'urgency {row.urgency}, share {row.guaranteed_share_ratio:g}, '
        f'at most {row.queue_limit} queued'
    )


def _effect_lines(
    scope: str,
    old: ServiceSnapshot,
    new: ServiceSnapshot,
) -> Iterator[str]:
    backend_count = len(new.backend_servers)
    if backend_count > len(old.backend_servers):
        buckets_each = new.bucket_count // backend_count
        if buckets_each < BUCKETS_PER_BACKEND:
            yield (
                f'  {scope}: {buckets_each} buckets for each backend server, '
                f'under {BUCKETS_PER_BACKEND}: the load is spread less evenly'
            )
    old_ids = {backend.backend_id for backend in old.active_backends()}
    new_ids = {backend.backend_id for backend in new.active_backends()}
    if old_ids == new_ids or not new_ids:
        return
    # Rendezvous hashing moves only the buckets of backend servers that start
    # or stop receiving new flows.
    stopped_ratio = len(old_ids - new_ids) / len(old_ids) if old_ids else 0
    started_ratio = len(new_ids - old_ids) / len(new_ids)
    yield (
        f'  {scope}: established flows stay; about '
        f'{max(stopped_ratio, started_ratio):.0%} of new flows go to other '
        'backend servers'
    )


def _format_value(shown_value: Any) -> str:
    match shown_value:
        case Endpoint():
            return f'{shown_value.host}:{shown_value.port}'
        case tuple():
            return ', '.join(map(str, shown_value))
        case float():
            return f'{shown_value:g}'
    return str(shown_value)
