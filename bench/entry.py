"""Costs of an entry process: ``python -m bench.entry`` prints one JSON line.

Packets of known flows go through the forwarder's own read and send, over
loopback, and through a bare ``recv``/``sendto`` relay in the same run. The
state of a flow is measured with ``tracemalloc``.
"""

import asyncio
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
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.directory import backend_token
from currantshore.platform import packets
from currantshore.wire import Endpoint

_SEED: Final = 1
_BACKENDS: Final = 480
_FLOWS: Final = 20_000
_BATCHES: Final = 600
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
        0,
        1,
        number,
    )


def build_core(sink_port: int) -> SteeringCore:
    """Return a core with the servers of one pool at the target size."""
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
        for number in range(1, _BACKENDS + 1)
    ]
    core.list_backends(entries, _BACKENDS, 0)
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
        'flow_record_bytes': round(measure_flow_bytes(core)),
    }


if __name__ == '__main__':
    sys.stdout.write(f'{msgspec.json.encode(asyncio.run(run())).decode()}\n')
