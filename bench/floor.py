"""What one balancer process carries, against a bare relay in the same run.

``python -m bench.floor`` prints one JSON line. The packet rates go over real
sockets on loopback; senders run in a process of their own.
"""

import argparse
import asyncio
import contextlib
import json
import os
import resource
import socket
import time
from typing import Any, Final

from currantshore.core import BalancerCore, CoreConfig
from currantshore.internal import daemon
from currantshore.internal.events import CallerDatagram, ConfigurationChanged
from currantshore.internal.settings import parse_endpoint
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.wire import Endpoint
from standins import users
from standins.cluster import Cluster, start_platform, text
from standins.processes import ChildProcess

_SERVICE: Final = 'dockwatch'
_PAYLOAD: Final = b'x' * 100
_KNOWN_FLOWS: Final = 64
_HELD_FLOWS: Final = (0, 100_000, 300_000)
_CORE_PACKETS: Final = 100_000
_US_PER_S: Final = 1_000_000
_CPU: Final = 'process_cpu_seconds_total'
_READ_SIZE_BYTES: Final = 2048
_SETTLE_S: Final = 1.0
_RELAY_BUFFER_BYTES: Final = 4 * 1024 * 1024
_PORTS_PER_HOST: Final = 40_000
_FIRST_PORT: Final = 20_000


def build_core(pool: PoolSnapshot) -> BalancerCore:
    """Return a core that holds ``pool``."""
    host = pool.members.hosts[0]
    core = BalancerCore.from_config(
        CoreConfig(host.host_id, host.zone, 1, b'k' * 32),
    )
    core.handle(ConfigurationChanged(pool), 0)
    return core


def caller(number: int) -> Endpoint:
    """Return the address of caller ``number``; all differ."""
    block, port = divmod(number, _PORTS_PER_HOST)
    return Endpoint(f'10.0.0.{block}', _FIRST_PORT + port)


def open_flows(core: BalancerCore, count: int) -> None:
    """Send the first packet of ``count`` new flows."""
    for number in range(count):
        core.handle(CallerDatagram(_SERVICE, caller(number), _PAYLOAD), 1)


def measure_core() -> dict[str, float]:
    """Return nanoseconds of core time for a packet of a new and known flow."""
    core = build_core(users.lakeshore())
    packets = [
        CallerDatagram(_SERVICE, caller(number), _PAYLOAD)
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


def hold(count: int) -> None:
    """Print the resident memory of a balancer's parts with ``count`` flows."""
    core = build_core(users.lakeshore())
    open_flows(core, count)
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    print(
        json.dumps(
            {
                'rss_mb': pages * resource.getpagesize() / 2**20,
                'daemon': daemon.__name__,
            }
        )
    )


def relay(targets: list[Endpoint], seconds: float) -> None:
    """Relay datagrams with bare calls and print how many."""
    inlet = _bound_socket()
    print(json.dumps({'port': inlet.getsockname()[1]}), flush=True)
    sender = _bound_socket()
    sinks = [(target.host, target.port) for target in targets]
    count = 0
    inlet.recvfrom(_READ_SIZE_BYTES)
    started_s = time.monotonic()
    started_cpu_s = time.process_time()
    while time.monotonic() - started_s < seconds:
        for sink in sinks:
            payload, _ = inlet.recvfrom(_READ_SIZE_BYTES)
            sender.sendto(payload, sink)
        count += len(sinks)
    elapsed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - started_cpu_s
    figures = {'rate_per_s': count / elapsed_s, 'cpu_s': cpu_s / count}
    print(json.dumps(figures), flush=True)


def flood(target: Endpoint, seconds: float) -> None:
    """Send packets of a few flows as fast as possible."""
    sockets = [_bound_socket() for _ in range(_KNOWN_FLOWS)]
    address = (target.host, target.port)
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for one in sockets:
            one.sendto(_PAYLOAD, address)


def flood_new(target: Endpoint, seconds: float) -> None:
    """Send the first packets of new flows, each from a port of its own."""
    address = (target.host, target.port)
    end_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end_s:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
            one.bind((f'127.77.{number // 256 % 256}.{number % 256}', 0))
            one.sendto(_PAYLOAD, address)
        number += 1


async def measure_packets(seconds: float) -> dict[str, float]:
    """Return rates of the bare relay and of one balancer process.

    Both send to the same backend servers, which read and count, so that the
    cost of waking receivers is part of both figures.
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
        figures = await _relay_rate(cluster, seconds)
        figures |= await _balancer_rates(cluster, seconds)
        return figures


async def _relay_rate(cluster: Cluster, seconds: float) -> dict[str, float]:
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
    return {
        'relay_rate_per_s': round(figures['rate_per_s']),
        'relay_cpu_us': round(figures['cpu_s'] * _US_PER_S, 2),
    }


async def _balancer_rates(cluster: Cluster, seconds: float) -> dict[str, float]:
    cluster.plan_hosts()
    await cluster.declare()
    started_s = time.monotonic()
    host_id = cluster.pool.members.hosts[0].host_id
    await cluster.start_balancer(host_id)
    await cluster.wait_until_ready()
    figures = {'start_to_ready_s': round(time.monotonic() - started_s, 3)}
    known = await _measure(cluster, 'packets_forwarded', 'flood', seconds)
    opened = await _measure(cluster, 'flows_placed', 'flood_new', seconds)
    return figures | {
        'known_rate_per_s': round(known[0]),
        'known_cpu_us': round(known[1], 2),
        'new_flow_rate_per_s': round(opened[0]),
        'new_flow_cpu_us': round(opened[1], 2),
    }


async def _measure(
    cluster: Cluster,
    count: str,
    part: str,
    seconds: float,
) -> tuple[float, float]:
    # Returns the rate a second and microseconds of processor time for each.
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
    return done / elapsed_s, cpu_s / done * _US_PER_S


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
    return float(round(figures['rss_mb'], 1))


async def run(seconds: float) -> dict[str, Any]:
    """Run all parts one after the other."""
    figures: dict[str, Any] = {
        'seconds': seconds,
        'load_average': round(os.getloadavg()[0], 1),
        **await measure_packets(seconds),
    }
    figures['known_to_relay_rate_ratio'] = round(
        figures['known_rate_per_s'] / figures['relay_rate_per_s'], 3
    )
    figures['known_to_relay_cpu_ratio'] = round(
        figures['known_cpu_us'] / figures['relay_cpu_us'], 2
    )
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


def _bound_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RELAY_BUFFER_BYTES)
    bound.bind(('127.0.0.1', 0))
    return bound


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
            relay(targets, given.seconds)
        case 'flood':
            flood(targets[0], given.seconds)
        case 'flood_new':
            flood_new(targets[0], given.seconds)
        case 'hold':
            hold(given.flows)
        case _:
            figures = asyncio.run(run(min(given.seconds, 5)))
            print(json.dumps({'bench': 'floor', **figures}))


if __name__ == '__main__':
    main()
