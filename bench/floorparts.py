"""Parts of the packet floor that run in processes of their own."""

import json
import resource
import socket
import time
from typing import Final

from currantshore.core import BalancerCore, CoreConfig
from currantshore.internal.counters import Count
from currantshore.internal.events import CallerDatagram, ConfigurationChanged
from currantshore.internal.process import daemon
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.wire import Endpoint
from standins import users

SERVICE: Final = 'dockwatch'
PAYLOAD: Final = b'x' * 100
_KNOWN_FLOWS: Final = 64
_READ_SIZE_BYTES: Final = 2048
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
    core.tick(0)
    return core


def caller(number: int) -> Endpoint:
    """Return the address of caller ``number``; all differ."""
    block, port = divmod(number, _PORTS_PER_HOST)
    return Endpoint(f'10.0.0.{block}', _FIRST_PORT + port)


def open_flows(core: BalancerCore, count: int) -> None:
    """Send the first packet of ``count`` new flows."""
    for number in range(count):
        core.handle(CallerDatagram(SERVICE, caller(number), PAYLOAD), 1)


def hold(count: int) -> None:
    """Print the resident memory of a balancer's parts with ``count`` flows."""
    core = build_core(users.lakeshore(1))
    open_flows(core, count)
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    print(
        json.dumps(
            {
                'rss_mb': pages * resource.getpagesize() / 2**20,
                'placed': core.counters.counts[Count.FLOWS_PLACED],
                'process': daemon.__name__,
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
            one.sendto(PAYLOAD, address)


def flood_new(target: Endpoint, seconds: float) -> None:
    """Send the first packets of new flows, each from a port of its own."""
    address = (target.host, target.port)
    end_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end_s:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
            one.bind((f'127.77.{number // 256 % 256}.{number % 256}', 0))
            one.sendto(PAYLOAD, address)
        number += 1


def _bound_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RELAY_BUFFER_BYTES)
    bound.bind(('127.0.0.1', 0))
    return bound
