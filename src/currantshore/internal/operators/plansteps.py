"""Steps of a plan: its conditional writes in their order."""

from collections.abc import Iterable
from typing import Final

import msgspec

from currantshore.internal.objectapi.objects import PlatformObject
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.operators.inforce import (
    AddressClaim,
    ConfigurationInForce,
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

# msgspec cannot decode an optional Raw, so JSON null stands for no value.
_JSON_NULL: Final = msgspec.Raw(b'null')


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A conditional write; ``base`` is the value that it replaces."""

    key: str
    planned_version: int
    value: msgspec.Raw
    base: msgspec.Raw = _JSON_NULL

    def replaced_value(self) -> msgspec.Raw | None:
        """Return the value that the step replaces; None if it creates one."""
        return None if bytes(self.base) == bytes(_JSON_NULL) else self.base


def compact_step(step: Step) -> Step:
    """Return the step without the whitespace of the plan file."""
    return msgspec.structs.replace(
        step,
        value=msgspec.Raw(msgspec.json.format(step.value, indent=-1)),
        base=msgspec.Raw(msgspec.json.format(step.base, indent=-1)),
    )


async def plan_steps(
    client: PlatformClient,
    in_force: ConfigurationInForce,
    after: PoolSnapshot,
) -> tuple[list[Step], list[str]]:
    """Return the steps in writing order, and a message for each claim conflict.

    A conflict is an address that another service has claimed. Claims precede
    the services that need them, and the record of a removed service is
    written before its claim is released.
    """
    removed = _missing_from(after, in_force.pool)
    added = _missing_from(in_force.pool, after)
    claims, conflicts = await _claim_steps(client, in_force.pool_id, added)
    records = dict(records_by_key(after))
    for service in removed:
        key = service_key(in_force.pool_id, service.service_id)
        records[key] = retire(service)
    steps = [
        step
        for key, record in records.items()
        for step in _steps_for_record(key, in_force.objects.get(key), record)
    ]
    released = await _release_steps(client, removed)
    return [*claims, *steps, *released], conflicts


def _missing_from(
    pool: PoolSnapshot | None,
    other: PoolSnapshot | None,
) -> list[ServiceSnapshot]:
    """Return the services of ``other`` that ``pool`` does not have."""
    known_ids = (
        set()
        if pool is None
        else {service.service_id for service in pool.services}
    )
    services = () if other is None else other.services
    return [
        service for service in services if service.service_id not in known_ids
    ]


def _steps_for_record(
    key: str,
    stored: PlatformObject | None,
    record: Record,
) -> list[Step]:
    value = msgspec.Raw(encode_record(record))
    if stored is None:
        return [Step(key, 0, value)]
    # Compares records rather than bytes: another release may order the fields
    # differently.
    if decode_record(key, stored.value) == decode_record(key, value):
        return []
    return [Step(key, stored.version, value, stored.value)]


async def _claim_steps(
    client: PlatformClient,
    pool_id: str,
    added: Iterable[ServiceSnapshot],
) -> tuple[list[Step], list[str]]:
    steps: list[Step] = []
    conflicts: list[str] = []
    remaining = list(added)
    while remaining:
        service = remaining.pop(0)
        key = claim_key(service.address)
        owner = service_key(pool_id, service.service_id)
        claim = await client.get(key)
        claimed_by = _claim_owner(claim)
        if claimed_by not in ('', owner):
            conflicts.append(
                f'address {service.address.host}:{service.address.port} of '
                f'service {service.service_id} belongs to {claimed_by}; '
                'declare another address'
            )
            continue
        steps.extend(_steps_for_record(key, claim, AddressClaim(owner)))
    return steps, conflicts


async def _release_steps(
    client: PlatformClient,
    removed: Iterable[ServiceSnapshot],
) -> list[Step]:
    steps: list[Step] = []
    remaining = list(removed)
    while remaining:
        key = claim_key(remaining.pop(0).address)
        found = await client.get(key)
        steps.extend(_steps_for_record(key, found, AddressClaim('')))
    return steps


def _claim_owner(claim: PlatformObject | None) -> str:
    if claim is None:
        return ''
    return msgspec.json.decode(claim.value, type=AddressClaim).service_key
