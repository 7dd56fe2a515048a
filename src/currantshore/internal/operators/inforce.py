"""The configuration that is in force on the platform for one pool.

A service that was taken away stays as a record without backend servers
(retired), so that its end spreads by versions like any other change and its
version never starts again. An address belongs to the service that its claim
object names; a claim is made before the service is written.
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
    """Whose address it is; an empty ``service_key`` means nobody's."""

    service_key: str


Record: TypeAlias = PoolMembers | ServiceSnapshot | AddressClaim


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A pool's objects at one revision of the store.

    ``pool`` is None before the pool's first plan was applied; retired
    services are left out of it. ``versions`` holds all records, because a
    service's end must reach every host too.
    """

    pool_id: str
    revision: int
    objects: Mapping[str, PlatformObject]
    pool: PoolSnapshot | None
    versions: Mapping[str, int]

    def version(self, key: str) -> int:
        """Return the version of an object, 0 when there is none."""
        found = self.objects.get(key)
        return 0 if found is None else found.version


async def read_in_force(client: PlatformClient, pool_id: str) -> InForce:
    """Read the pool and its services.

    Raises:
        PlatformUnavailableError: when the platform does not answer.
        PlatformError: when an object is not a configuration record.
    """
    listing = await client.list_objects(pool_prefix(pool_id))
    objects = {found.key: found for found in listing.objects}
    merged, faults = merge_objects(
        pool_id,
        None,
        [
            (found.key, found.version, bytes(found.value))
            for found in listing.objects
        ],
    )
    if faults:
        raise PlatformError('; '.join(faults))
    pool = None if merged is None else _without_retired(merged)
    versions = {} if merged is None else merged.versions()
    return InForce(pool_id, listing.revision, objects, pool, versions)


def claim_key(address: Endpoint) -> str:
    """Return the key of the claim object of an address."""
    return f'{_CLAIM_PREFIX}{address.host}:{address.port}'


def encode_record(
    record: Record,
) -> bytes:
    """Return the JSON text of a record as it is stored, without version."""
    if not isinstance(record, AddressClaim):
        record = msgspec.structs.replace(record, version=0)
    return msgspec.json.encode(record)


def decode_record(
    key: str,
    value: msgspec.Raw,
) -> Record:
    """Decode a stored record by the kind of its key.

    Raises:
        PlatformError: when it is not such a record.
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
    """Return the record of a service that was taken away."""
    return msgspec.structs.replace(service, backend_servers=())


def records_by_key(
    pool: PoolSnapshot,
) -> dict[str, PoolMembers | ServiceSnapshot]:
    """Return the pool's records by object key, the pool object first."""
    pool_id = pool.members.pool_id
    records: dict[str, PoolMembers | ServiceSnapshot] = {
        pool_key(pool_id): pool.members
    }
    for service in pool.services:
        records[service_key(pool_id, service.service_id)] = service
    return records


def _without_retired(pool: PoolSnapshot) -> PoolSnapshot:
    services = [one for one in pool.services if one.backend_servers]
    return PoolSnapshot(pool.members, tuple(services))
