"""Merges configuration snapshots by object version and computes digests.

Each object keeps the highest version received, so a snapshot that arrives
late, twice or from a disconnected host never reverts an object. A service is
removed by a version without backend servers, because an object may be absent
from a snapshot without having been removed.
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

# Digest of a host without configuration; no snapshot has this digest.
NO_CONFIGURATION: Final = 0
_ABSENT: Final = -1


def digest(versions: Mapping[str, int]) -> int:
    """Return a 64-bit hash of object versions by key; 0 if there are none."""
    if not versions:
        return NO_CONFIGURATION
    parts = (f'{key}@{version}' for key, version in sorted(versions.items()))
    return stable_hash(*parts) or 1


def digest_of(pool: PoolSnapshot | None) -> int:
    """Return the digest of a snapshot, or 0 for none."""
    return NO_CONFIGURATION if pool is None else digest(pool.versions())


def merge(current: PoolSnapshot | None, offered: PoolSnapshot) -> PoolSnapshot:
    """Return ``current`` updated with the newer objects of ``offered``.

    Returns ``current`` itself if no object is newer. Raises
    ``InvalidArgumentError`` if the snapshots belong to different pools.
    """
    if current is None:
        return offered
    if current.members.pool_id != offered.members.pool_id:
        raise InvalidArgumentError.from_value(
            'offered',
            offered.members.pool_id,
            f'a snapshot of pool {current.members.pool_id!r}',
        )
    members = _newer_members(current.members, offered.members)
    services = _merge_services(current.services, offered.services)
    if members is current.members and services is current.services:
        return current
    return PoolSnapshot(members=members, services=services)


def regressed_keys(
    current: Mapping[str, int],
    offered: Mapping[str, int],
) -> list[str]:
    """Return the keys whose version in ``offered`` is lower or missing."""
    return [
        key
        for key, version in current.items()
        if offered.get(key, _ABSENT) < version
    ]


def _newer_members(current: PoolMembers, offered: PoolMembers) -> PoolMembers:
    return offered if offered.version > current.version else current


def _merge_services(
    current: tuple[ServiceSnapshot, ...],
    offered: Iterable[ServiceSnapshot],
) -> tuple[ServiceSnapshot, ...]:
    by_id = _by_id(current)
    is_changed = False
    for service in offered:
        known = by_id.get(service.service_id)
        if known is None or service.version > known.version:
            by_id[service.service_id] = service
            is_changed = True
    if not is_changed:
        return current
    return tuple(by_id[service_id] for service_id in sorted(by_id))


def _by_id(services: Iterable[ServiceSnapshot]) -> dict[str, ServiceSnapshot]:
    return {service.service_id: service for service in services}
