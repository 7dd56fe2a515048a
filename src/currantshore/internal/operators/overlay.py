"""A plan's records laid over what is in force, and conflicts in words."""

from collections.abc import Mapping

import msgspec

from currantshore.errors import PlanRefusedError
from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.operators.differences import (
    members_lines,
    service_lines,
)
from currantshore.internal.operators.inforce import (
    InForce,
    Record,
    decode_record,
    records_by_key,
)
from currantshore.internal.operators.writers import operator_of
from currantshore.internal.snapshot import (
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
    pool_key,
)


def overlay(
    in_force: InForce,
    values: Mapping[str, msgspec.Raw],
) -> PoolSnapshot:
    """Return the pool as it will be after ``values`` are written by key."""
    records: dict[str, Record] = {}
    if in_force.pool is not None:
        records.update(records_by_key(in_force.pool))
    for key, value in values.items():
        records[key] = decode_record(key, value)
    members = records.get(pool_key(in_force.pool_id))
    if not isinstance(members, PoolMembers):
        problem = f'pool {in_force.pool_id} is not on the platform any more'
        raise PlanRefusedError([problem])
    services = tuple(
        one
        for one in records.values()
        if isinstance(one, ServiceSnapshot) and one.backend_servers
    )
    return PoolSnapshot(members, services)


def describe_conflict(
    key: str,
    base: msgspec.Raw | None,
    current: PlatformObject | None,
) -> list[str]:
    """Say by whom an object was changed since the plan, and what changed."""
    if current is None:
        return [f'{key} was deleted']
    by = operator_of(current.trail()[0])
    lines = [f'{key} was changed by {by} (version {current.version}):']
    changes = _changes(key, base, current.value)
    lines.extend(f'  {line}' for line in changes)
    if not changes:
        lines.append('  its contents are the same as when it was planned')
    return lines


def _changes(
    key: str,
    base: msgspec.Raw | None,
    current: msgspec.Raw,
) -> list[str]:
    old = None if base is None else decode_record(key, base)
    new = decode_record(key, current)
    match new:
        case PoolMembers():
            before = old if isinstance(old, PoolMembers) else None
            return list(members_lines(before, new))
        case ServiceSnapshot():
            known = old if isinstance(old, ServiceSnapshot) else None
            return list(service_lines(known, new))
    return [f'the address belongs to {new.service_key or "nobody"}']
