"""Conversion of platform objects to configuration records."""

from collections.abc import Iterable
from typing import Final

import msgspec

from currantshore.internal.snapshot import (
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
    pool_key,
    service_key,
)

_ConfigurationRecord = PoolMembers | ServiceSnapshot
_DECODE_ERRORS: Final = (msgspec.DecodeError, ValueError)


def pool_prefix(pool_id: str) -> str:
    """Return the key prefix of the configuration objects of a pool."""
    return f'pools/{pool_id}/'


def status_key(pool_id: str) -> str:
    """Return the key of the pool's status object.

    It is outside the pool's prefix, because otherwise each status write would
    wake the watches on that prefix.
    """
    return f'status/{pool_id}'


def merge_objects(
    pool_id: str,
    current: PoolSnapshot | None,
    objects: Iterable[tuple[str, int, bytes]],
) -> tuple[PoolSnapshot | None, list[str]]:
    """Merge (key, version, body) into ``current``; ignore older versions.

    Returns the merged snapshot (None without a pool object) and one message
    for each object that could not be decoded and was skipped.
    """
    records = {} if current is None else _records_by_key(current)
    problems: list[str] = []
    for key, version, body in objects:
        try:
            record = _decode(pool_id, key, version, body)
        except _DECODE_ERRORS as error:
            problems.append(f'{key} version {version}: {error}')
            continue
        _store_if_newer(records, key, record)
    return _build_snapshot(pool_id, records), problems


def _store_if_newer(
    records: dict[str, _ConfigurationRecord],
    key: str,
    record: _ConfigurationRecord | None,
) -> None:
    if record is None:
        return
    existing = records.get(key)
    if existing is None or existing.version < record.version:
        records[key] = record


def _decode(
    pool_id: str,
    key: str,
    version: int,
    body: bytes,
) -> _ConfigurationRecord | None:
    record: _ConfigurationRecord
    if key == pool_key(pool_id):
        record = msgspec.json.decode(body, type=PoolMembers)
    elif key.startswith(service_key(pool_id, '')):
        record = msgspec.json.decode(body, type=ServiceSnapshot)
    else:
        return None
    return msgspec.structs.replace(record, version=version)


def _records_by_key(current: PoolSnapshot) -> dict[str, _ConfigurationRecord]:
    pool_id = current.members.pool_id
    records: dict[str, _ConfigurationRecord] = {
        service_key(pool_id, service.service_id): service
        for service in current.services
    }
    records[pool_key(pool_id)] = current.members
    return records


def _build_snapshot(
    pool_id: str,
    records: dict[str, _ConfigurationRecord],
) -> PoolSnapshot | None:
    members = records.get(pool_key(pool_id))
    if not isinstance(members, PoolMembers):
        return None
    services = [
        record
        for _, record in sorted(records.items())
        if isinstance(record, ServiceSnapshot)
    ]
    return PoolSnapshot(members, tuple(services))
