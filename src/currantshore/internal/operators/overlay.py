"""Combines a plan's records with those in force and describes conflicts."""

from collections.abc import Mapping

import msgspec

from currantshore.errors import PlanRefusedError
from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.operators.differences import (
    members_lines,
    service_lines,
)
from currantshore.internal.operators.inforce import (
    ConfigurationInForce,
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
    in_force: ConfigurationInForce,
    values: Mapping[str, msgspec.Raw],
) -> PoolSnapshot:
    """Return the pool as it will be after ``values``, by key, are written."""
    records: dict[str, Record] = {}
    if in_force.pool is not None:
        records.update(records_by_key(in_force.pool))
    for key, value in values.items():
        records[key] = decode_record(key, value)
    members = records.get(pool_key(in_force.pool_id))
    if not isinstance(members, PoolMembers):
        problem = f'pool {in_force.pool_id} is no longer on the platform'
        raise PlanRefusedError([problem])
    services = tuple(
        record
        for record in records.values()
        if isinstance(record, ServiceSnapshot) and record.backend_servers
    )
    return PoolSnapshot(members, services)


def describe_conflict(
    key: str,
    base: msgspec.Raw | None,
    current: PlatformObject | None,
) -> list[str]:
    """Describe who changed an object since the plan was made, and how."""
    if current is None:
        return [f'{key} was deleted']
    by = operator_of(current.trail()[0])
    lines = [f'{key} was changed by {by} (version {current.version}):']
    changes = _change_lines(key, base, current.value)
    lines.extend(f'  {line}' for line in changes)
    if not changes:
        lines.append('  its contents are the same as when the plan was made')
    return lines


def _change_lines(
    key: str,
    base: msgspec.Raw | None,
    current: msgspec.Raw,
) -> list[str]:
    old = None if base is None else decode_record(key, base)
    new = decode_record(key, current)
    match new:
        case PoolMembers():
            old_members = old if isinstance(old, PoolMembers) else None
            return list(members_lines(old_members, new))
        case ServiceSnapshot():
            old_service = old if isinstance(old, ServiceSnapshot) else None
            return list(service_lines(old_service, new))
    return [f'the address belongs to {new.service_key or "nobody"}']
