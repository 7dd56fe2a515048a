"""Readable differences between two states of a pool and what they will do."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, TypeVar

import msgspec

from currantshore.internal.operators.figures import BUCKETS_PER_BACKEND
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

# Lists are compared row by row; the platform gives versions.
_NOT_COMPARED: Final = (
    'backend_servers',
    'priority_classes',
    'hosts',
    'version',
)
_EFFECTS: Final = (
    (BackendState.DRAINING, 'its flows stay; no new work within 3 s'),
    (BackendState.ACTIVE, 'takes new flows; established flows stay'),
    (BackendState.JOINING, 'takes no flows until "join"'),
    (BackendState.REMOVED, 'is taken away'),
    (HostState.LEAVING, 'hands over its flows and finishes its requests'),
    (HostState.ACTIVE, 'takes its part of the packets'),
    (HostState.JOINING, 'takes its part of the packets after "join"'),
)


def describe_change(
    before: PoolSnapshot | None,
    after: PoolSnapshot,
) -> list[str]:
    """Say what changes from ``before`` to ``after``, a line for each part."""
    old_members = None if before is None else before.members
    lines = list(members_lines(old_members, after.members))
    old_services = {} if before is None else _by_id(before.services)
    new_services = _by_id(after.services)
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
    """Yield what changes in the pool object."""
    scope = f'pool {new.pool_id}'
    if old is None:
        zones = ', '.join(new.zones)
        yield f'+ {scope}: {len(new.hosts)} hosts in {zones}'
        return
    yield from _field_lines(scope, old, new)
    yield from _row_lines(
        f'{scope}: host',
        {one.host_id: one for one in old.hosts},
        {one.host_id: one for one in new.hosts},
    )


def service_lines(
    old: ServiceSnapshot | None,
    new: ServiceSnapshot | None,
) -> Iterator[str]:
    """Yield what changes in one service; None stands for no service."""
    was = _unless_retired(old)
    will = _unless_retired(new)
    if was is None:
        if will is not None:
            yield _describe_new_service(will)
    elif will is None:
        yield f'- service {was.service_id}: is taken away'
    else:
        yield from _changed_service_lines(was, will)


def _unless_retired(service: ServiceSnapshot | None) -> ServiceSnapshot | None:
    return service if service and service.backend_servers else None


def _changed_service_lines(
    old: ServiceSnapshot,
    new: ServiceSnapshot,
) -> Iterator[str]:
    scope = f'service {old.service_id}'
    yield from _field_lines(scope, old, new)
    yield from _row_lines(
        f'{scope}: backend server',
        {one.backend_id: one for one in old.backend_servers},
        {one.backend_id: one for one in new.backend_servers},
    )
    yield from _row_lines(
        f'{scope}: class',
        {one.name: one for one in old.priority_classes},
        {one.name: one for one in new.priority_classes},
    )
    yield from _effect_lines(scope, old, new)


def _by_id(
    services: Sequence[ServiceSnapshot],
) -> dict[str, ServiceSnapshot]:
    return {one.service_id: one for one in services}


def _describe_new_service(service: ServiceSnapshot) -> str:
    address = _show(service.address)
    count = len(service.backend_servers)
    shares = ', '.join(
        f'{one.name} {one.guaranteed_share_ratio:g}'
        for one in service.priority_classes
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
        was = getattr(old, name)
        will = getattr(new, name)
        if was != will and name not in _NOT_COMPARED:
            effect = dict(_EFFECTS).get(will) if name == 'state' else ''
            line = f'~ {scope}: {name} {_show(was)} -> {_show(will)}'
            yield f'{line}: {effect}' if effect else line


def _row_lines(
    scope: str,
    old: Mapping[str, _RowT],
    new: Mapping[str, _RowT],
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        was = old.get(name)
        will = new.get(name)
        if will is None:
            yield f'- {scope} {name}'
        elif was is None:
            yield f'+ {scope} {name}: {_describe_row(will)}'
        else:
            yield from _field_lines(f'{scope} {name}', was, will)


def _describe_row(row: BackendServer | PoolHost | PriorityClass) -> str:
    match row:
        case BackendServer():
            return f'{row.state.value} in {row.zone}, {row.slot_count} slots'
        case PoolHost():
            return f'{row.state.value} in {row.zone}'
    return (
        f'urgency {row.urgency}, share {row.guaranteed_share_ratio:g}, '
        f'at most {row.queue_limit} waiting'
    )


def _effect_lines(
    scope: str,
    old: ServiceSnapshot,
    new: ServiceSnapshot,
) -> Iterator[str]:
    grown = len(new.backend_servers)
    if grown > len(old.backend_servers):
        share = new.bucket_count // grown
        if share < BUCKETS_PER_BACKEND:
            yield (
                f'  {scope}: {share} buckets for each backend server, under '
                f'{BUCKETS_PER_BACKEND}: load spreads less evenly'
            )
    was = {one.backend_id for one in old.active_backends()}
    will = {one.backend_id for one in new.active_backends()}
    if was == will or not will:
        return
    # Rendezvous placement moves only the buckets of those that changed.
    stopped = len(was - will) / len(was) if was else 0
    started = len(will - was) / len(will)
    yield (
        f'  {scope}: established flows stay; about '
        f'{max(stopped, started):.0%} of new flows go to other backend servers'
    )


def _show(given: Any) -> str:
    match given:
        case Endpoint():
            return f'{given.host}:{given.port}'
        case tuple():
            return ', '.join(map(str, given))
        case float():
            return f'{given:g}'
    return str(given)
