"""Platform objects as configuration records."""

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

_Record = PoolMembers | ServiceSnapshot
_DECODE_ERRORS: Final = (msgspec.DecodeError, ValueError)


def pool_prefix(pool_id: str) -> str:
    """Return the prefix of all objects of a pool."""
    return f'pools/{pool_id}/'


def status_key(pool_id: str) -> str:
    """Return the key of the pool's status object.

    It is outside of the pool's prefix, or each status would wake the watchers.
    """
    return f'status/{pool_id}'


def merge_objects(
    pool_id: str,
    held: PoolSnapshot | None,
    objects: Iterable[tuple[str, int, bytes]],
) -> tuple[PoolSnapshot | None, list[str]]:
    """Merge (key, version, body) into ``held``; older versions are ignored.

    Returns the merged snapshot, None without a pool object, and one sentence
    for each object that could not be read, which is left out.
    """
    records = {} if held is None else _records(held)
    faults: list[str] = []
    for key, version, body in objects:
        try:
            record = _decode(pool_id, key, version, body)
        except _DECODE_ERRORS as error:
            faults.append(f'{key} version {version}: {error}')
            continue
        _keep_newer(records, key, record)
    return _assemble(pool_id, records), faults


def _keep_newer(
    records: dict[str, _Record],
    key: str,
    record: _Record | None,
) -> None:
    if record is None:
        return
    known = records.get(key)
    if known is None or known.version < record.version:
        records[key] = record


def _decode(
    pool_id: str,
    key: str,
    version: int,
    body: bytes,
) -> _Record | None:
    record: _Record
    if key == pool_key(pool_id):
        record = msgspec.json.decode(body, type=PoolMembers)
    elif key.startswith(service_key(pool_id, '')):
        record = msgspec.json.decode(body, type=ServiceSnapshot)
    else:
        return None
    return msgspec.structs.replace(record, version=version)


def _records(held: PoolSnapshot) -> dict[str, _Record]:
    pool_id = held.members.pool_id
    records: dict[str, _Record] = {
        service_key(pool_id, service.service_id): service
        for service in held.services
    }
    records[pool_key(pool_id)] = held.members
    return records


def _assemble(
    pool_id: str,
    records: dict[str, _Record],
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
