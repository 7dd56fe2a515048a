"""Memory and apply time of a node's control state against its configuration."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, Final, TypeAlias

import msgspec

from bench.fits import fit_line
from bench.virtualpool import (
    PEER_KEY,
    VirtualPool,
    build_pool,
    with_version,
)
from currantshore import wire
from currantshore.core import BalancerCore, CoreConfig
from currantshore.internal.counters import Counters
from currantshore.internal.events import (
    BackendDatagram,
    ConfigurationChanged,
    SendToBackend,
)
from currantshore.internal.hashing import stable_hash
from currantshore.internal.healthchecks.health import HealthPlane
from currantshore.internal.process.protos import peers_pb2
from currantshore.internal.snapshot import PoolSnapshot

Figures: TypeAlias = dict[str, Any]

_APPLY_ROUNDS: Final = 5
_HOSTS: Final = 64
_TICK_S: Final = 0.05
_TICKED_S: Final = 10.0
_BACKENDS_PER_SERVICE: Final = 2


def measure_state(sizes: Sequence[int], hosts: Sequence[int]) -> Figures:
    """Return bytes per service, backend server and member, and apply times.

    ``sizes`` are numbers of services with two backend servers each.
    """
    rows = [_service_row(size) for size in sizes]
    found: Figures = {'services': list(sizes), 'rows': rows}
    for figure in ('configuration_bytes', 'core_bytes', 'health_bytes'):
        found[f'fit_{figure}'] = fit_line(sizes, [row[figure] for row in rows])
    ticks = [row['tick_cpu_ratio'] for row in rows]
    found['fit_tick_cpu_ratio'] = fit_line(sizes, ticks)
    found['fit_apply_s'] = fit_line(sizes, [row['apply_s'] for row in rows])
    members = [_member_bytes(count) for count in hosts]
    found['member_hosts'] = list(hosts)
    found['member_bytes'] = members
    found['fit_member_bytes'] = fit_line(hosts, members)
    return found


def measure_backends(per_service: Sequence[int], services: int) -> Figures:
    """Return bytes and apply time by backend servers, services fixed."""
    counts = [count * services for count in per_service]
    rows = [_backend_row(count, services) for count in per_service]
    found: Figures = {'backend_servers': counts, 'rows': rows}
    for figure in ('configuration_bytes', 'health_bytes', 'core_bytes'):
        found[f'fit_{figure}'] = fit_line(counts, [row[figure] for row in rows])
    return found


def measure_messages(services: int) -> Figures:
    """Return sizes of what moves when configuration changes."""
    pool = build_pool(_HOSTS, services, _BACKENDS_PER_SERVICE)
    request = peers_pb2.FetchConfigurationRequest(
        sender='host-00',
        held_versions={
            stable_hash(key): version
            for key, version in pool.versions().items()
        },
    )
    return {
        'fetch_request_bytes': len(request.SerializeToString()),
        'service_bytes': len(msgspec.json.encode(pool.services[0])),
        'members_bytes': len(msgspec.json.encode(pool.members)),
        'status_bytes': len(msgspec.json.encode(_status(pool))),
    }


def _service_row(services: int) -> Figures:
    return _row(build_pool(_HOSTS, services, _BACKENDS_PER_SERVICE))


def _backend_row(per_service: int, services: int) -> Figures:
    return _row(build_pool(_HOSTS, services, per_service))


def _row(pool: PoolSnapshot) -> Figures:
    return {
        'configuration_bytes': len(msgspec.json.encode(pool)),
        'core_bytes': _allocated(lambda: new_core(pool)),
        'health_bytes': _allocated(lambda: _health(pool)),
        'apply_s': _apply_s(pool),
        'tick_cpu_ratio': _tick_cpu_ratio(pool),
    }


def _allocated(build: Callable[[], object]) -> int:
    """Return the bytes that the result of ``build`` keeps allocated."""
    build()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def new_core(pool: PoolSnapshot) -> BalancerCore:
    """Return a core of the first host that holds ``pool``."""
    core = BalancerCore.from_config(
        CoreConfig(
            host_id='host-00',
            zone='zone-a',
            incarnation=1,
            peer_key=PEER_KEY,
            seed=1,
        )
    )
    core.handle(ConfigurationChanged(pool), 0.0)
    core.tick(0.05)
    return core


def _health(pool: PoolSnapshot) -> HealthPlane:
    plane = HealthPlane.from_config(
        'host-00', Counters(), PEER_KEY, random.Random(1)
    )
    plane.configure(pool, 0.0)
    return plane


def _apply_s(pool: PoolSnapshot) -> float:
    """Return the least CPU time of a core to take one changed service."""
    core = new_core(pool)
    times_s = []
    for version in range(2, 2 + _APPLY_ROUNDS):
        changed = ConfigurationChanged(with_version(pool, 0, version))
        started_s = time.process_time()
        core.handle(changed, float(version))
        times_s.append(time.process_time() - started_s)
    return round(min(times_s), 6)


def _tick_cpu_ratio(pool: PoolSnapshot) -> float:
    """Return CPU seconds a second of an idle core's ticks."""
    core = new_core(pool)
    elapsed_s = 0.0
    for step in range(1, 1 + round(_TICKED_S / _TICK_S)):
        now_s = 1.0 + step * _TICK_S
        started_s = time.process_time()
        actions = core.tick(now_s)
        elapsed_s += time.process_time() - started_s
        for action in actions:
            if isinstance(action, SendToBackend):
                core.handle(_probe_answer(action), now_s)
    return round(elapsed_s / _TICKED_S, 6)


def _probe_answer(action: SendToBackend) -> BackendDatagram:
    probe = wire.decode_order(action.payload)
    probe_id = probe.probe_id if isinstance(probe, wire.Probe) else 0
    reply = wire.ProbeReply(probe_id, 'service', 0.5, 'active')
    return BackendDatagram(action.target, wire.encode(reply))


def _status(pool: PoolSnapshot) -> dict[str, Any]:
    """Return the status object of a pool whose hosts are all up to date."""
    versions = new_core(pool).status_report()['host-00']
    return {host.host_id: versions for host in pool.members.hosts}


def _member_bytes(host_count: int) -> int:
    """Return the bytes of one membership plane that knows its whole pool."""
    snapshot = build_pool(host_count, 1, 1)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    pool = VirtualPool(snapshot, 1)
    pool.run_until(3.0)
    for node in pool.nodes.values():
        node.plane.view()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round((after - before) / host_count)
