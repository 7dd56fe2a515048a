"""Merging of configuration snapshots by object version, and digests.

Every object keeps the highest version that was seen of it, so a snapshot that
arrives late, twice or from a node that was cut off can never take an object
back. A service is removed by a version without backend servers: an object
that is absent from one snapshot says nothing about its removal.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.errors import InvalidArgumentError
from currantshore.internal.hashing import stable_hash
from currantshore.internal.snapshot import (
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
)

# Digest of a node that holds no configuration; no snapshot has it.
NO_CONFIGURATION: Final = 0
_ABSENT: Final = -1


def digest(versions: Mapping[str, int]) -> int:
    """Return a 64-bit hash of object versions by key; 0 when there are none."""
    if not versions:
        return NO_CONFIGURATION
    parts = (f'{key}@{version}' for key, version in sorted(versions.items()))
    return stable_hash(*parts) or 1


def digest_of(pool: PoolSnapshot | None) -> int:
    """Return the digest of a snapshot, or 0 for none."""
    return NO_CONFIGURATION if pool is None else digest(pool.versions())


def merge(held: PoolSnapshot | None, offered: PoolSnapshot) -> PoolSnapshot:
    """Return ``held`` with each object that is newer in ``offered``.

    Returns ``held`` itself when nothing is newer. Raises
    ``InvalidArgumentError`` when the snapshots are of different pools.
    """
    if held is None:
        return offered
    if held.members.pool_id != offered.members.pool_id:
        raise InvalidArgumentError.from_value(
            'offered',
            offered.members.pool_id,
            f'a snapshot of pool {held.members.pool_id!r}',
        )
    members = _newer_members(held.members, offered.members)
    services = _merge_services(held.services, offered.services)
    if members is held.members and services is held.services:
        return held
    return PoolSnapshot(members=members, services=services)


def regressions(
    held: Mapping[str, int],
    offered: Mapping[str, int],
) -> list[str]:
    """Return the keys whose version in ``offered`` is lower or missing."""
    return [
        key
        for key, version in held.items()
        if offered.get(key, _ABSENT) < version
    ]


def _newer_members(held: PoolMembers, offered: PoolMembers) -> PoolMembers:
    return offered if offered.version > held.version else held


def _merge_services(
    held: tuple[ServiceSnapshot, ...],
    offered: Iterable[ServiceSnapshot],
) -> tuple[ServiceSnapshot, ...]:
    by_id = _by_id(held)
    is_changed = False
    for service in offered:
        known = by_id.get(service.service_id)
        if known is None or service.version > known.version:
            by_id[service.service_id] = service
            is_changed = True
    if not is_changed:
        return held
    return tuple(by_id[service_id] for service_id in sorted(by_id))


def _by_id(services: Iterable[ServiceSnapshot]) -> dict[str, ServiceSnapshot]:
    return {service.service_id: service for service in services}
