"""Concurrent operators: one object for all services or one for each.

``python -m bench.operators [--seeds 5] [--changes 20]`` lets 2, 4, 8 and 16
operators change different services of one pool at once, over HTTP against the
platform stand-in, which loses some answers and some writes. It prints one JSON
line with the counts summed over the seeds:

* ``one_object`` keeps all services in one object (the baseline);
* ``object_per_service`` is the layout in use, with the same operator code;
* ``commands`` is the layout in use with the code of ``drain`` and ``join``.

A change reads the object, changes one value of the operator's service and
writes it if its version is still in place; after a conflict it starts again.
``lost_updates`` counts accepted changes that are missing at the end, and
``repeated_updates`` those that are there twice. Times are given as calls to
the platform for each accepted change. ``target_size`` gives the bytes of a
pool's records and of its status object at the target size.
"""

import argparse
import asyncio
import dataclasses
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec

from currantshore.errors import VersionConflictError
from currantshore.internal.counters import Counters
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.operators import operations
from currantshore.internal.operators.inforce import encode_record, read_in_force
from currantshore.internal.operators.status import encode_status
from currantshore.internal.snapshot import (
    BackendServer,
    HostStatus,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
    pool_key,
    service_key,
)
from currantshore.wire import Endpoint
from standins.platform import Faults, PlatformStandin

_OPERATOR_COUNTS: Final = (2, 4, 8, 16)
_LAYOUTS: Final = ('one_object', 'object_per_service', 'commands')
_LOST_ANSWERS: Final = 10
_LOST_WRITES: Final = 5
_TARGET_HOSTS: Final = 64
_TARGET_SERVICES: Final = 244
_POOL_ID: Final = 'bench'
_ALL_SERVICES_KEY: Final = 'pools/bench/all-services'
_SETUP_WRITER: Final = 'setup/1'

# Operators think for up to this long between two changes.
_LONGEST_PAUSE_S: Final = 0.004
_COUNTED: Final = ('get', 'list', 'put', 'conflict')


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One run: a layout, a number of operators and a seed."""

    layout: str
    operator_count: int
    change_count: int
    seed: int

    def names(self) -> list[str]:
        """Return the service ids, one for each operator."""
        return [f'service-{number}' for number in range(self.operator_count)]


class Operator:
    """Makes changes to one service, one after another."""

    def __init__(self, trial: Trial, index: int, url: str) -> None:
        """Use a client and random choices of its own."""
        self._trial = trial
        self._service_id = trial.names()[index]
        self._rng = random.Random(trial.seed * 1000 + index)
        self.counters = Counters()
        self.conflict_count = 0
        self._client = PlatformClient.from_config(
            url, rng=self._rng, counters=self.counters, backoff_s=0.001
        )

    async def run(self) -> None:
        """Make all changes."""
        async with self._client:
            left = self._trial.change_count
            while left:
                await asyncio.sleep(self._rng.uniform(0, _LONGEST_PAUSE_S))
                await self._change(left)
                left -= 1

    async def _change(self, left: int) -> None:
        match self._trial.layout:
            case 'one_object':
                await self._edit(_ALL_SERVICES_KEY, left, _edit_in_map)
            case 'object_per_service':
                key = service_key(_POOL_ID, self._service_id)
                await self._edit(key, left, _edit_alone)
            case _:
                await self._run_command(left)

    async def _edit(
        self,
        key: str,
        left: int,
        edit: Callable[[bytes, str], bytes],
    ) -> None:
        attempt = 0
        while True:
            found = await self._client.get(key)
            if found is None:
                raise LookupError(key)
            value = edit(bytes(found.value), self._service_id)
            writer = f'{self._service_id}/{left}-{attempt}'
            try:
                await self._client.put_with_retry(
                    key, value, found.version, writer, found
                )
            except VersionConflictError:
                attempt += 1
                self.conflict_count += 1
            else:
                break

    async def _run_command(self, left: int) -> None:
        command = operations.join if left % 2 else operations.drain
        outcome = await command(
            self._client, _POOL_ID, f'{self._service_id}-1', 'operator'
        )
        self.conflict_count += outcome.conflict_count


def _edit_alone(value: bytes, _service_id: str) -> bytes:
    service = msgspec.json.decode(value, type=ServiceSnapshot)
    return encode_record(_counted_up(service))


def _edit_in_map(value: bytes, service_id: str) -> bytes:
    services = msgspec.json.decode(value, type=dict[str, ServiceSnapshot])
    services[service_id] = _counted_up(services[service_id])
    return msgspec.json.encode(services)


def _counted_up(service: ServiceSnapshot) -> ServiceSnapshot:
    return msgspec.structs.replace(
        service, flow_idle_timeout_s=service.flow_idle_timeout_s + 1
    )


def _new_service(service_id: str, index: int) -> ServiceSnapshot:
    host = f'127.0.3.{index + 1}'
    servers = tuple(
        BackendServer(
            f'{service_id}-{number}', 'zone', Endpoint(host, 7300 + number), 2
        )
        for number in (1, 2)
    )
    return ServiceSnapshot(
        service_id,
        'bench',
        Endpoint(host, 7000),
        4096,
        servers,
        (PriorityClass('only', 0, 1.0),),
        flow_idle_timeout_s=1.0,
    )


async def _prepare(trial: Trial, client: PlatformClient) -> None:
    services = {
        name: _new_service(name, index)
        for index, name in enumerate(trial.names())
    }
    if trial.layout == 'one_object':
        value = msgspec.json.encode(services)
        await client.put_if(_ALL_SERVICES_KEY, value, 0, _SETUP_WRITER)
        return
    endpoint = Endpoint('127.0.3.1', 7100)
    host = PoolHost('host-1', 'zone', endpoint, endpoint)
    members = PoolMembers(_POOL_ID, 'bench', ('zone',), (host,))
    writes = {pool_key(_POOL_ID): encode_record(members)}
    for name, service in services.items():
        writes[service_key(_POOL_ID, name)] = encode_record(service)
    await asyncio.gather(
        *(
            client.put_if(key, value, 0, _SETUP_WRITER)
            for key, value in writes.items()
        )
    )


async def _services(
    trial: Trial,
    client: PlatformClient,
) -> Sequence[ServiceSnapshot]:
    if trial.layout == 'one_object':
        found = await client.get(_ALL_SERVICES_KEY)
        if found is None:
            raise LookupError(_ALL_SERVICES_KEY)
        held = msgspec.json.decode(found.value, type=dict[str, ServiceSnapshot])
        return list(held.values())
    in_force = await read_in_force(client, _POOL_ID)
    return () if in_force.pool is None else in_force.pool.services


def _differences(
    trial: Trial,
    services: Sequence[ServiceSnapshot],
    written: int,
) -> Counter[str]:
    """Count changes that are missing or there twice at the end."""
    if trial.layout == 'commands':
        # Drains and joins alternate, so a lost one makes the next one find
        # nothing to do and the number of writes too low.
        wanted = trial.operator_count * trial.change_count
        missing = [
            one
            for service in services
            for one in service.backend_servers
            if one.state.value != 'active'
        ]
        lost = max(len(missing), wanted - written)
        return Counter(
            lost_updates=lost, repeated_updates=max(0, written - wanted)
        )
    off = [
        1 + trial.change_count - round(one.flow_idle_timeout_s)
        for one in services
    ]
    return Counter(
        lost_updates=sum(one for one in off if one > 0),
        repeated_updates=-sum(one for one in off if one < 0),
    )


async def _run_trial(trial: Trial) -> Counter[str]:
    standin = PlatformStandin()
    await standin.start()
    client = PlatformClient.from_config(standin.url)
    operators = [
        Operator(trial, index, standin.url)
        for index in range(trial.operator_count)
    ]
    async with client:
        await _prepare(trial, client)
        revision = standin.table.revision
        before = Counter(standin.calls)
        standin.set_faults(
            Faults(lose_answers=_LOST_ANSWERS, lose_writes=_LOST_WRITES)
        )
        await asyncio.gather(*(one.run() for one in operators))
        calls = Counter(standin.calls)
        calls.subtract(before)
        written = standin.table.revision - revision
        services = await _services(trial, client)
    await standin.stop()
    found = _differences(trial, services, written)
    found.update(
        operator_conflicts=sum(one.conflict_count for one in operators),
        retries=sum(one.counters.retries.total() for one in operators),
        accepted_writes=written,
        calls=calls['get'] + calls['list'] + calls['put'],
        refused_writes=calls['conflict'],
    )
    return found


async def _measure(seed_count: int, change_count: int) -> dict[str, Any]:
    totals: defaultdict[str, Counter[str]] = defaultdict(Counter)
    changes: Counter[str] = Counter()
    seeds = range(1, seed_count + 1)
    trials = [
        Trial(layout, operator_count, change_count, seed)
        for operator_count, layout, seed in itertools.product(
            _OPERATOR_COUNTS, _LAYOUTS, seeds
        )
    ]
    while trials:
        trial = trials.pop(0)
        name = f'{trial.operator_count}_{trial.layout}'
        totals[name].update(await _run_trial(trial))
        changes[name] += trial.operator_count * change_count
    return {
        name: _summarize(counts, changes[name])
        for name, counts in totals.items()
    }


def _summarize(totals: Counter[str], changes: int) -> dict[str, Any]:
    return {
        'changes': changes,
        'accepted_writes': totals['accepted_writes'],
        'operator_conflicts': totals['operator_conflicts'],
        'refused_writes': totals['refused_writes'],
        'retries': totals['retries'],
        'calls_per_change': round(totals['calls'] / changes, 2),
        'lost_updates': totals['lost_updates'],
        'repeated_updates': totals['repeated_updates'],
    }


def _target_sizes() -> dict[str, int]:
    """Return the sizes of a pool's data at the target size."""
    services = [
        _new_service(f'service-{number}', number)
        for number in range(_TARGET_SERVICES)
    ]
    endpoint = Endpoint('127.0.3.1', 7100)
    hosts = [
        PoolHost(f'host-{number}', 'zone', endpoint, endpoint)
        for number in range(_TARGET_HOSTS)
    ]
    members = PoolMembers(_POOL_ID, 'bench', ('zone',), tuple(hosts))
    pool = PoolSnapshot(members, tuple(services))
    status = {host.host_id: HostStatus(pool.versions(), {}) for host in hosts}
    return {
        'hosts': len(hosts),
        'services': len(services),
        'records_bytes': len(encode_record(members))
        + sum(len(encode_record(one)) for one in services),
        'status_bytes': len(encode_status(status)),
        'status_without_sharing_bytes': len(msgspec.json.encode(status)),
    }


def main() -> None:
    """Print the figures as one JSON line."""
    parser = argparse.ArgumentParser(description='concurrent operators')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--changes', type=int, default=20)
    given = parser.parse_args()
    results = asyncio.run(_measure(given.seeds, given.changes))
    line = {
        'bench': 'operators',
        'seeds': given.seeds,
        'changes_per_operator': given.changes,
        'lost_answers_per_run': _LOST_ANSWERS,
        'lost_writes_per_run': _LOST_WRITES,
        'results': results,
        'target_size': _target_sizes(),
    }
    print(msgspec.json.encode(line).decode())


if __name__ == '__main__':
    main()
