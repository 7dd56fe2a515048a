"""Costs of an entry process: ``python -m bench.entry`` prints one JSON line.

Packets of known flows go through the forwarder's own read and send, over
loopback, and through a bare ``recv``/``sendto`` relay in the same run. The
state of a flow is measured with ``tracemalloc``.
"""

import asyncio
import dataclasses
import random
import socket
import struct
import sys
import time
import tracemalloc
from typing import Final

import msgspec

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.forwarding import BATCH_LIMIT, Forwarder
from currantshore.internal.steering.catalog import (
    BackendEntry,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
)
from currantshore.internal.steering.core import TICK_INTERVAL_S, SteeringCore
from currantshore.internal.steering.directory import backend_token
from currantshore.internal.steering.flowrecords import Segment
from currantshore.internal.steering.lateopenings import MIN_LATE_S
from currantshore.platform import packets
from currantshore.wire import Endpoint

_SEED: Final = 1
_BACKENDS: Final = 480
_FLOWS: Final = 20_000
_BATCHES: Final = 600
_TICKS: Final = 200
_FIRST_TICKS: Final = 10

# Servers of a small and a large site, and ten and fifty times as many.
_SIZES: Final = (60, 264, 2640, 12_000)
_HEAD: Final = struct.Struct('<HIIIHIIHIB')
_ADDRESS: Final = ('198.18.0.1', 443)
_SYN: Final = 4
_ACK: Final = 64
_LOOPBACK: Final = '127.0.0.1'


def build_entry(number: int, service_id: str, port: int) -> BackendEntry:
    """Return the entry of a server in one of four zones."""
    return BackendEntry(
        f'i-{number:08x}',
        number,
        service_id,
        Endpoint(_LOOPBACK, port),
        f'zone-{number % 4}',
        3,
        False,
        1,
        number,
    )


def build_core(sink_port: int, count: int = _BACKENDS) -> SteeringCore:
    """Return a core with ``count`` servers of one service."""
    core = SteeringCore.from_config('zone-0', _SEED)
    key = packets.encode_address(*_ADDRESS)
    route = Route(
        key,
        'route',
        (ServiceShare('service', 1),),
        RequestKind.IDEMPOTENT,
        1,
        0.25,
        1.2,
    )
    core.configure(RoutingTable(1, {key: route}, 15))
    entries = [
        build_entry(number, 'service', sink_port)
        for number in range(1, count + 1)
    ]
    core.replace_backends(entries, count, 0)
    return core


def packet(flow: int, flags: int, sequence: int, size: int = 0) -> bytes:
    """Return a packet of a flow."""
    token = backend_token(f'i-{flow % _BACKENDS + 1:08x}')
    service = int.from_bytes(packets.encode_address(*_ADDRESS)[:4], 'little')
    head = _HEAD.pack(
        size,
        sequence,
        sequence,
        1,
        flow % 60_000 + 1024,
        0x0A000000 + flow // 60_000,
        service,
        _ADDRESS[1],
        0 if flags == _SYN else token,
        flags,
    )
    return head + bytes(size)


def bound_socket() -> socket.socket:
    """Return a UDP socket on a free loopback port."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2**22)
    opened.bind((_LOOPBACK, 0))
    opened.setblocking(False)
    return opened


def measure_relay(sender: socket.socket, sink: socket.socket) -> float:
    """Return seconds a packet of a bare relay."""
    relay = bound_socket()
    rng = random.Random(_SEED)
    spent_s = 0.0
    target = sink.getsockname()
    for _ in range(_BATCHES):
        for _ in range(BATCH_LIMIT):
            sent = packet(rng.randrange(_FLOWS), 64, 7, 100)
            sender.sendto(sent, relay.getsockname())
        begin_s = time.perf_counter()
        for _ in range(BATCH_LIMIT):
            relay.sendto(relay.recv(2048), target)
        spent_s += time.perf_counter() - begin_s
        drain(sink)
    relay.close()
    return spent_s / _BATCHES / BATCH_LIMIT


def measure_forwarder(
    forwarder: Forwarder,
    address: tuple[str, int],
    sender: socket.socket,
    sink: socket.socket,
) -> dict[str, float]:
    """Return seconds a packet of a known flow, and of an opening."""
    rng = random.Random(_SEED)
    spent_s = {'known_flow': 0.0, 'opening': 0.0}
    for batch in range(_BATCHES):
        for kind, flags in (('opening', _SYN), ('known_flow', _ACK)):
            for _ in range(BATCH_LIMIT):
                flow = rng.randrange(_FLOWS)
                sender.sendto(packet(flow, flags, batch + 7, 100), address)
            begin_s = time.perf_counter()
            forwarder.read_batch()
            spent_s[kind] += time.perf_counter() - begin_s
            drain(sink)
    count = _BATCHES * BATCH_LIMIT
    return {name: seconds / count for name, seconds in spent_s.items()}


def measure_flow_bytes(core: SteeringCore) -> float:
    """Return the bytes that the record of one open flow takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    known = len(core.records)
    for flow in range(_FLOWS, 2 * _FLOWS):
        datagram = packet(flow, 64, 7, 100)
        core.on_segment(
            packets.flow_key(datagram),
            packets.address_key(datagram),
            packets.read_segment(datagram),
            1,
        )
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown / (len(core.records) - known)


def measure_tick(count: int) -> dict[str, float]:
    """Return the cost of ticks while one of ``count`` servers has work.

    Every server has answered a request before.
    """
    core = build_core(1, count)
    key = packets.encode_address(*_ADDRESS)
    for number in range(1, count + 1):
        flow_key = b'flow-%d' % number
        token = backend_token(f'i-{number:08x}')
        for sequence, size in ((1, 9), (10, 0)):
            segment = Segment(token, sequence, sequence, size, False, False)
            core.on_segment(flow_key, key, segment, 1.0)
    # A host that has just started judges nobody for some ticks.
    for step in range(_FIRST_TICKS):
        core.tick(1.0 + step * TICK_INTERVAL_S)
    now_s = 1.0 + _FIRST_TICKS * TICK_INTERVAL_S
    core.on_opening(b'new', key, b'', now_s)
    begin_s = time.perf_counter()
    for step in range(_TICKS):
        core.tick(now_s + step / _TICKS * MIN_LATE_S)
    tick_s = (time.perf_counter() - begin_s) / _TICKS
    change = dataclasses.replace(
        build_entry(1, 'service', 1), revision=count + 1
    )
    begin_s = time.perf_counter()
    core.apply_backend_changes([change], count + 1, 1.0)
    change_s = time.perf_counter() - begin_s
    return {
        'backend_servers': count,
        'tick_us': round(tick_s * 1e6, 1),
        'tick_core_ratio': round(tick_s / TICK_INTERVAL_S, 5),
        'change_us': round(change_s * 1e6, 1),
    }


def drain(sink: socket.socket) -> None:
    """Read what a measurement has sent."""
    while True:
        try:
            sink.recv(2048)
        except BlockingIOError:
            return


async def run() -> dict[str, object]:
    """Measure and return the figures."""
    sink = bound_socket()
    sender = bound_socket()
    core = build_core(sink.getsockname()[1])
    log = DecisionLog()
    probe = bound_socket()
    port = probe.getsockname()[1]
    probe.close()
    forwarder = Forwarder.open_at(core, Endpoint(_LOOPBACK, port), log)
    relay_s = measure_relay(sender, sink)
    spent_s = measure_forwarder(forwarder, (_LOOPBACK, port), sender, sink)
    forwarder.close()
    return {
        'seed': _SEED,
        'backend_servers': _BACKENDS,
        'flows': _FLOWS,
        'packets_of_each_kind': _BATCHES * BATCH_LIMIT,
        'known_flow_to_relay_ratio': round(spent_s['known_flow'] / relay_s, 2),
        'opening_to_relay_ratio': round(spent_s['opening'] / relay_s, 2),
        'relay_us': round(relay_s * 1e6, 2),
        'sizes': [measure_tick(count) for count in _SIZES],
        'flow_record_bytes': round(measure_flow_bytes(core)),
    }


if __name__ == '__main__':
    sys.stdout.write(f'{msgspec.json.encode(asyncio.run(run())).decode()}\n')
