"""The configuration of one pool that is in force on the platform.

A removed service is retired: its record stays, without backend servers, so that
hosts learn of the removal from its higher version, as of any other change, and
a service that is declared again gets a still higher one. An address belongs to
the service that its claim object names; the claim is written before the
service.
"""

import dataclasses
from collections.abc import Mapping
from typing import Final, TypeAlias

import msgspec

from currantshore.errors import PlatformError
from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.objectapi.records import merge_objects, pool_prefix
from currantshore.internal.snapshot import (
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
    pool_key,
    service_key,
)
from currantshore.wire import Endpoint

_CLAIM_PREFIX: Final = 'claims/'


class AddressClaim(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The service that owns an address; empty if no service does."""

    service_key: str


Record: TypeAlias = PoolMembers | ServiceSnapshot | AddressClaim


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A pool's objects at one revision of the store.

    ``pool`` is None before the pool's first plan was applied; it
    does not contain retired services. ``versions`` covers all records, because
    the removal of a service must reach every host too.
    """

    pool_id: str
    revision: int
    objects: Mapping[str, PlatformObject]
    pool: PoolSnapshot | None
    versions: Mapping[str, int]

    def version(self, key: str) -> int:
        """Return the version of an object, or 0 if it does not exist."""
        stored = self.objects.get(key)
        return 0 if stored is None else stored.version


async def read_in_force(
    client: PlatformClient, pool_id: str
) -> ConfigurationInForce:
    """Read the pool and its services.

    Raises:
        PlatformUnavailableError: the platform does not answer.
        PlatformError: an object is not a configuration record.
    """
    listing = await client.list_objects(pool_prefix(pool_id))
    objects = {found.key: found for found in listing.objects}
    merged, problems = merge_objects(
        pool_id,
        None,
        [
            (found.key, found.version, bytes(found.value))
            for found in listing.objects
        ],
    )
    if problems:
        raise PlatformError('; '.join(problems))
    pool = None if merged is None else _without_retired(merged)
    versions = {} if merged is None else merged.versions()
    return ConfigurationInForce(
        pool_id, listing.revision, objects, pool, versions
    )


def claim_key(address: Endpoint) -> str:
    """Return the key of the claim object of an address."""
    return f'{_CLAIM_PREFIX}{address.host}:{address.port}'


def encode_record(
    record: Record,
) -> bytes:
    """Return the JSON text that is stored for a record, with version 0."""
    if not isinstance(record, AddressClaim):
        record = msgspec.structs.replace(record, version=0)
    return msgspec.json.encode(record)


def decode_record(
    key: str,
    value: msgspec.Raw,
) -> Record:
    """Decode a stored record, whose type follows from its key.

    Raises:
        PlatformError: the value is not a record of that type.
    """
    kind: type[Record] = ServiceSnapshot
    if key.startswith(_CLAIM_PREFIX):
        kind = AddressClaim
    elif key.endswith('/members'):
        kind = PoolMembers
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, ValueError) as error:
        raise PlatformError(f'{key}: {error}') from error


def retire(service: ServiceSnapshot) -> ServiceSnapshot:
    """Return the record that is stored for a removed service."""
    return msgspec.structs.replace(service, backend_servers=())


def records_by_key(
    pool: PoolSnapshot,
) -> dict[str, PoolMembers | ServiceSnapshot]:
    """Return the pool's records by object key, with the pool object first."""
    pool_id = pool.members.pool_id
    records: dict[str, PoolMembers | ServiceSnapshot] = {
        pool_key(pool_id): pool.members
    }
    for service in pool.services:
        records[service_key(pool_id, service.service_id)] = service
    return records


def _without_retired(pool: PoolSnapshot) -> PoolSnapshot:
    services = [service for service in pool.services if service.backend_servers]
    return PoolSnapshot(pool.members, tuple(services))
