"""What one balancer process carries, against a bare relay in the same run.

``python -m bench.floor`` prints one JSON line. The packet rates go over real
sockets on loopback; senders run in a process of their own.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import statistics
import time
from typing import Any, Final

from bench import floorparts
from currantshore.internal.events import CallerDatagram
from currantshore.internal.process.settings import parse_endpoint
from standins import users
from standins.cluster import Cluster, start_platform, text
from standins.processes import ChildProcess

_SERVICE: Final = floorparts.SERVICE
_HELD_FLOWS: Final = (0, 100_000, 300_000)
_CORE_PACKETS: Final = 100_000
_ROUNDS: Final = 5
_US_PER_S: Final = 1_000_000
_CPU: Final = 'process_cpu_seconds_total'
_SETTLE_S: Final = 1.0


def measure_core() -> dict[str, float]:
    """Return nanoseconds of core time for a packet of a new and known flow."""
    core = floorparts.build_core(users.lakeshore(1))
    packets = [
        CallerDatagram(_SERVICE, floorparts.caller(number), floorparts.PAYLOAD)
        for number in range(_CORE_PACKETS)
    ]
    costs: dict[str, float] = {}
    for name in ('new', 'known'):
        started_ns = time.perf_counter_ns()
        for packet in packets:
            core.handle(packet, 1)
        elapsed_ns = time.perf_counter_ns() - started_ns
        costs[f'core_{name}_flow_ns'] = round(elapsed_ns / len(packets))
    return costs


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Packets a second and processor time for each."""

    rate_per_s: float
    cpu_us: float


async def measure_packets(seconds: float) -> dict[str, Any]:
    """Return rates of the bare relay and of one balancer process.

    Both send to the same backend servers, which read and count, so that the
    cost of waking receivers is part of both figures. Rounds of both alternate,
    because the load of a shared machine changes from second to second.
    """
    platform = await start_platform()
    cluster = Cluster(users.lakeshore(1), platform.ready['url'])
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(platform.stop)
        stack.push_async_callback(cluster.stop)
        await cluster.start_backends()
        await asyncio.gather(
            *(
                cluster.control(backend_id, is_silent=True)
                for backend_id in cluster.backends
            ),
        )
        ready_s = await _start_balancer(cluster)
        figures = await _compare(cluster, seconds)
        return {'start_to_ready_s': round(ready_s, 3)} | figures


async def _compare(cluster: Cluster, seconds: float) -> dict[str, Any]:
    round_s = seconds / _ROUNDS
    relayed: list[Sample] = []
    known: list[Sample] = []
    while len(known) < _ROUNDS:
        relayed.append(await _relay_sample(cluster, round_s))
        known.append(
            await _sample(cluster, 'packets_forwarded', 'flood', round_s)
        )
    opened = await _sample(cluster, 'flows_placed', 'flood_new', seconds)
    return {
        'relay_rate_per_s': [round(one.rate_per_s) for one in relayed],
        'relay_cpu_us': [round(one.cpu_us, 1) for one in relayed],
        'known_rate_per_s': [round(one.rate_per_s) for one in known],
        'known_cpu_us': [round(one.cpu_us, 1) for one in known],
        'known_to_relay_rate_ratio': _median_ratio(
            [one.rate_per_s for one in known],
            [one.rate_per_s for one in relayed],
        ),
        'known_to_relay_cpu_ratio': _median_ratio(
            [one.cpu_us for one in known],
            [one.cpu_us for one in relayed],
        ),
        'new_flow_rate_per_s': round(opened.rate_per_s),
        'new_flow_cpu_us': round(opened.cpu_us, 1),
    }


def _median_ratio(above: list[float], below: list[float]) -> float:
    return round(statistics.median(above) / statistics.median(below), 3)


async def _relay_sample(cluster: Cluster, seconds: float) -> Sample:
    sinks = ','.join(
        text(backend.endpoint)
        for backend in cluster.service(_SERVICE).backend_servers
    )
    child = await _bench(
        '--part=relay', f'--targets={sinks}', f'--seconds={seconds}'
    )
    ready = await child.read_line()
    target = f'127.0.0.1:{ready["port"]}'
    sender = await _start_sender('flood', target, seconds + _SETTLE_S)
    figures = await child.read_line()
    await asyncio.gather(child.stop(), sender.stop())
    return Sample(figures['rate_per_s'], figures['cpu_s'] * _US_PER_S)


async def _start_balancer(cluster: Cluster) -> float:
    cluster.plan_hosts()
    await cluster.declare()
    started_s = time.monotonic()
    host_id = cluster.pool.members.hosts[0].host_id
    await cluster.start_balancer(host_id)
    await cluster.wait_until_ready()
    return time.monotonic() - started_s


async def _sample(
    cluster: Cluster,
    count: str,
    part: str,
    seconds: float,
) -> Sample:
    host_id = cluster.running()[0]
    target = text(cluster.hosts[host_id].services[_SERVICE])
    sender = await _start_sender(part, target, seconds + 2 * _SETTLE_S)
    await asyncio.sleep(_SETTLE_S)
    before = await cluster.metrics(host_id)
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    after = await cluster.metrics(host_id)
    elapsed_s = time.monotonic() - started_s
    await sender.stop()
    name = f'currantshore_{count}_total'
    done = after[name] - before[name]
    cpu_s = after[_CPU] - before[_CPU]
    return Sample(done / elapsed_s, cpu_s / done * _US_PER_S)


async def measure_memory() -> dict[str, Any]:
    """Return resident megabytes by flows held, and bytes for each flow."""
    smallest, middle, largest = _HELD_FLOWS
    sizes = (
        await _hold(smallest),
        await _hold(middle),
        await _hold(largest),
    )
    slope_bytes = (sizes[-1] - sizes[0]) * 2**20 / largest
    return {
        'flows_held': _HELD_FLOWS,
        'rss_mb': sizes,
        'bytes_per_flow': round(slope_bytes, 1),
    }


async def _hold(count: int) -> float:
    child = await _bench('--part=hold', f'--flows={count}')
    figures = await child.read_line()
    await child.wait()
    if figures['placed'] != count:
        raise RuntimeError(f'placed {figures["placed"]} of {count} flows')
    return float(round(figures['rss_mb'], 1))


async def run(seconds: float) -> dict[str, Any]:
    """Run all parts one after the other."""
    figures: dict[str, Any] = {
        'seconds': seconds,
        'load_average': round(os.getloadavg()[0], 1),
        **await measure_packets(seconds),
    }
    figures.update(measure_core())
    figures.update(await measure_memory())
    return figures


async def _bench(*arguments: str) -> ChildProcess:
    return await ChildProcess.start('bench', '-m', 'bench.floor', *arguments)


async def _start_sender(
    part: str,
    target: str,
    seconds: float,
) -> ChildProcess:
    return await _bench(
        f'--part={part}', f'--targets={target}', f'--seconds={seconds}'
    )


def main() -> None:
    """Run everything, or one part in a child process."""
    parser = argparse.ArgumentParser(description='packet floor')
    parser.add_argument('--part', default='all')
    parser.add_argument('--targets', default='')
    parser.add_argument('--flows', type=int, default=0)
    parser.add_argument('--seconds', type=float, default=4)
    given = parser.parse_args()
    targets = [
        parse_endpoint(part) for part in given.targets.split(',') if part
    ]
    match given.part:
        case 'relay':
            floorparts.relay(targets, given.seconds)
        case 'flood':
            floorparts.flood(targets[0], given.seconds)
        case 'flood_new':
            floorparts.flood_new(targets[0], given.seconds)
        case 'hold':
            floorparts.hold(given.flows)
        case _:
            figures = asyncio.run(run(min(given.seconds, 5)))
            print(json.dumps({'bench': 'floor', **figures}))


if __name__ == '__main__':
    main()
