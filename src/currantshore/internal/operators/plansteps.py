"""Steps of a plan: the conditional writes and their order."""

from collections.abc import Iterable
from typing import Final

import msgspec

from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.operators.inforce import (
    AddressClaim,
    InForce,
    Record,
    claim_key,
    decode_record,
    encode_record,
    records_by_key,
    retire,
)
from currantshore.internal.snapshot import (
    PoolSnapshot,
    ServiceSnapshot,
    service_key,
)

# msgspec does not decode an optional Raw, so a missing value is a JSON null.
_NULL: Final = msgspec.Raw(b'null')


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One conditional write; ``base`` is the value that it replaces."""

    key: str
    planned_version: int
    value: msgspec.Raw
    base: msgspec.Raw = _NULL

    def replaced(self) -> msgspec.Raw | None:
        """Return the value that it replaces, None when it creates one."""
        return None if bytes(self.base) == bytes(_NULL) else self.base


def compact_step(step: Step) -> Step:
    """Return the step without the white space of the plan file."""
    return msgspec.structs.replace(
        step,
        value=msgspec.Raw(msgspec.json.format(step.value, indent=-1)),
        base=msgspec.Raw(msgspec.json.format(step.base, indent=-1)),
    )


async def plan_steps(
    client: PlatformClient,
    in_force: InForce,
    after: PoolSnapshot,
) -> tuple[list[Step], list[str]]:
    """Return the steps in the order of writing, and addresses held by others.

    Claims come before the services that need them, and a service that is
    taken away is written before its claim is given back.
    """
    gone = _missing_from(after, in_force.pool)
    added = _missing_from(in_force.pool, after)
    claims, held = await _claim_steps(client, in_force.pool_id, added)
    records = dict(records_by_key(after))
    for service in gone:
        key = service_key(in_force.pool_id, service.service_id)
        records[key] = retire(service)
    steps = [
        step
        for key, record in records.items()
        for step in _step(key, in_force.objects.get(key), record)
    ]
    released = await _release_steps(client, gone)
    return [*claims, *steps, *released], held


def _missing_from(
    pool: PoolSnapshot | None,
    other: PoolSnapshot | None,
) -> list[ServiceSnapshot]:
    """Return the services of ``other`` that ``pool`` does not have."""
    known = set() if pool is None else {one.service_id for one in pool.services}
    services = () if other is None else other.services
    return [one for one in services if one.service_id not in known]


def _step(
    key: str,
    found: PlatformObject | None,
    record: Record,
) -> list[Step]:
    value = msgspec.Raw(encode_record(record))
    if found is None:
        return [Step(key, 0, value)]
    # Compared as records: another release may order the fields differently.
    if decode_record(key, found.value) == decode_record(key, value):
        return []
    return [Step(key, found.version, value, found.value)]


async def _claim_steps(
    client: PlatformClient,
    pool_id: str,
    added: Iterable[ServiceSnapshot],
) -> tuple[list[Step], list[str]]:
    steps: list[Step] = []
    held: list[str] = []
    waiting = list(added)
    while waiting:
        service = waiting.pop(0)
        key = claim_key(service.address)
        owner = service_key(pool_id, service.service_id)
        found = await client.get(key)
        claimed = _claimed_by(found)
        if claimed not in ('', owner):
            held.append(
                f'address {service.address.host}:{service.address.port} of '
                f'service {service.service_id} belongs to {claimed}; declare '
                'another address'
            )
            continue
        steps.extend(_step(key, found, AddressClaim(owner)))
    return steps, held


async def _release_steps(
    client: PlatformClient,
    gone: Iterable[ServiceSnapshot],
) -> list[Step]:
    steps: list[Step] = []
    waiting = list(gone)
    while waiting:
        key = claim_key(waiting.pop(0).address)
        found = await client.get(key)
        steps.extend(_step(key, found, AddressClaim('')))
    return steps


def _claimed_by(found: PlatformObject | None) -> str:
    if found is None:
        return ''
    return msgspec.json.decode(found.value, type=AddressClaim).service_key
