"""Measures flow placement: broken flows, control bytes, imbalance, cost.

Prints one JSON line. All ways see the same seeds, links, lags and changes:
plain hashing, hashing with a local flow table, full replication of every flow
and the placement of this package.

    PYTHONPATH=src:. python -m bench.flows
"""

import gc
import json
import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from typing import Final

from currantshore.internal.counters import Counters
from currantshore.internal.events import (
    Action,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from currantshore.internal.flows.flowplane import FlowPlane
from currantshore.internal.flows.flowtable import FlowTable
from currantshore.internal.flows.placement import PlacementTable
from currantshore.internal.hashing import flow_key
from currantshore.internal.peerwire import LookupReply, seal
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    PoolSnapshot,
)
from currantshore.internal.tokens import FlowToken, TokenSealer
from currantshore.internal.views import LiveView
from currantshore.wire import (
    Endpoint,
    Forwarded,
    Opened,
    decode_from_balancer,
    encode,
)
from tests.stateful import links

HOSTS: Final = tuple(f'h{number}' for number in range(7))
BACKEND_COUNT: Final = 8
BUCKET_COUNT: Final = 16384
START_FLOWS: Final = 300
NEW_FLOWS_PER_S: Final = 40
OLD_PACKETS_PER_S: Final = 600
MAX_LAG_S: Final = 3.0
SEEDS: Final = tuple(range(1, 9))
STEP_S: Final = 0.05


class PlainHashing(links.Baseline):
    """Places every packet by the newest table."""

    def __init__(self, host_id: str) -> None:
        """Start without configuration."""
        self.host_id = host_id
        self.tables: dict[str, PlacementTable] = {}
        self.servers: dict[str, list[BackendServer]] = {}

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Build the tables."""
        for service in pool.services:
            servers = list(service.backend_servers)
            self.servers[service.service_id] = servers
            self.tables[service.service_id] = PlacementTable.from_members(
                service.bucket_count,
                [
                    (server.backend_id, number)
                    for number, server in enumerate(servers)
                    if server.state is BackendState.ACTIVE
                ],
            )
        return []

    def on_payload(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        token: FlowToken | None,
        now_s: float,
    ) -> list[Action]:
        """Forward by the table."""
        if service_id not in self.tables:
            return []
        slot = self.tables[service_id].slot_of(flow_key)
        return self.forward(service_id, caller, slot, payload)

    def forward(
        self,
        service_id: str,
        caller: Endpoint,
        slot: int,
        payload: bytes,
    ) -> list[Action]:
        """Send to the backend server of a slot."""
        endpoint = self.servers[service_id][slot].endpoint
        order = Forwarded(service_id, caller, payload)
        return [SendToBackend(endpoint, encode(order))]


class LocalTable(PlainHashing):
    """Keeps the flows that this balancer has seen where they are."""

    def __init__(self, host_id: str) -> None:
        """Start without flows."""
        super().__init__(host_id)
        self.known: dict[int, int] = {}

    def on_payload(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        token: FlowToken | None,
        now_s: float,
    ) -> list[Action]:
        """Forward by the flow table, then by the bucket table."""
        if service_id not in self.tables:
            return []
        slot = self.known.get(flow_key)
        actions: list[Action] = []
        if slot is None:
            slot = self.tables[service_id].slot_of(flow_key)
            self.known[flow_key] = slot
            actions = self.on_new(service_id, flow_key, slot)
        return actions + self.forward(service_id, caller, slot, payload)

    def on_new(
        self,
        service_id: str,
        flow_key: int,
        slot: int,
    ) -> list[Action]:
        """Do nothing else about a new flow."""
        return []


class FullReplication(LocalTable):
    """Tells every peer of each new flow, and a new peer of all flows."""

    def __init__(self, host_id: str) -> None:
        """Start without peers."""
        super().__init__(host_id)
        self.peers: dict[str, int] = {}

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        """Send all flows to hosts that have just started."""
        former = self.peers
        self.peers = {
            host: peer.incarnation
            for host, peer in view.peers.items()
            if host != self.host_id
        }
        arrived = [
            host
            for host, incarnation in self.peers.items()
            if former.get(host) != incarnation
        ]
        return [
            self.record(host, 'a', key, slot)
            for host in arrived
            for key, slot in self.known.items()
        ]

    def on_new(
        self,
        service_id: str,
        flow_key: int,
        slot: int,
    ) -> list[Action]:
        """Send the flow to every peer."""
        return [
            self.record(host, service_id, flow_key, slot) for host in self.peers
        ]

    def record(
        self,
        host: str,
        service_id: str,
        flow_key: int,
        slot: int,
    ) -> Action:
        """Return the message with one flow."""
        name = self.servers[service_id][slot].backend_id
        message = LookupReply(self.host_id, service_id, flow_key, name)
        return SendToPeer(host, seal(message, links.PEER_KEY))

    def on_lookup_reply(
        self,
        message: LookupReply,
        now_s: float,
    ) -> list[Action]:
        """Record a flow of a peer."""
        names = [
            server.backend_id
            for server in self.servers.get(message.service_id, ())
        ]
        if message.backend_id in names:
            slot = names.index(message.backend_id)
            self.known.setdefault(message.flow_key, slot)
        return []


WAYS: Final[dict[str, links.PlaneFactory]] = {
    'plain_hashing': lambda host_id, *_: PlainHashing(host_id),
    'local_flow_table': lambda host_id, *_: LocalTable(host_id),
    'full_replication': lambda host_id, *_: FullReplication(host_id),
    'currantshore': links.flow_plane,
}


def pool(version: int, states: dict[int, BackendState]) -> PoolSnapshot:
    """Declare 8 backend servers, active unless ``states`` says otherwise."""
    backends = [
        links.backend('a', number, states.get(number, BackendState.ACTIVE))
        for number in range(BACKEND_COUNT)
    ]
    services = (
        links.service('a', backends, version, BUCKET_COUNT),
        links.service('b', [links.backend('b', 0)]),
    )
    return links.pool(HOSTS, services, version)


class Scenario:
    """Two changes of backend servers with changes of balancers."""

    def __init__(
        self,
        make_plane: links.PlaneFactory,
        seed: int,
        loss_ratio: float,
        is_killing: bool,
    ) -> None:
        """Start the pool and let flows arrive."""
        quality = links.LinkQuality(
            loss_ratio=loss_ratio,
            duplicate_ratio=loss_ratio,
        )
        self.network = links.Network(seed, quality, make_plane)
        self.rng = random.Random(seed)
        self.is_killing = is_killing
        self.flows: list[links.Flow] = []
        self.start_s = 0.0

    def run(self) -> links.Network:
        """Drain, join, kill or leave, return and drain again."""
        network = self.network
        joining = BackendState.JOINING
        draining = BackendState.DRAINING
        network.accept(pool(0, {7: joining}), ())
        for host in HOSTS:
            network.start(host)
        network.run(4.0)
        self.open(START_FLOWS)
        self.carry(4.0)
        self.start_s = network.now_s
        network.accept(pool(1, {0: draining}), self.lags())
        gone = self.rng.choice(HOSTS)
        if self.is_killing:
            kill_s = network.now_s + self.rng.uniform(0, MAX_LAG_S)
            network.at(kill_s, lambda: network.kill(gone))
        self.carry(self.rng.uniform(0.5, 4.0))
        if not self.is_killing:
            network.leave(gone)
        network.accept(pool(2, {1: draining}), self.lags())
        self.carry(MAX_LAG_S)
        for host in HOSTS:
            if host not in network.nodes:
                network.start(host, 0.5)
        self.carry(6.0)
        return network

    def open(self, count: int) -> None:
        """Start flows of new callers."""
        for _ in range(count):
            number = len(self.flows) + 1
            self.flows.append(self.network.open_flow('a', number))

    def carry(self, duration_s: float) -> None:
        """Carry new flows and packets of known flows."""
        end_s = self.network.now_s + duration_s
        while self.network.now_s < end_s:
            self.open(int(NEW_FLOWS_PER_S * STEP_S))
            for _ in range(int(OLD_PACKETS_PER_S * STEP_S)):
                self.network.send(self.rng.choice(self.flows))
            self.network.run(STEP_S)

    def lags(self) -> list[float]:
        """Return when each balancer learns of a change."""
        return [self.rng.uniform(0, MAX_LAG_S) for _ in HOSTS]


def measure_changes(loss_ratio: float, is_killing: bool) -> dict[str, object]:
    """Run all ways over all seeds."""
    measured: dict[str, object] = {}
    for way, make_plane in WAYS.items():
        totals: Counter[str] = Counter()
        kinds: Counter[str] = Counter()
        peaks: list[int] = []
        means: list[float] = []
        for seed in SEEDS:
            scenario = Scenario(make_plane, seed, loss_ratio, is_killing)
            network = scenario.run()
            totals['flows'] += len(network.flows)
            totals['broken'] += len(network.broken) + len(network.exempt)
            totals['broken_sole_record_killed'] += len(network.exempt)
            totals['to_another_service'] += len(network.strayed)
            kinds.update(network.control_kinds)
            peaks.append(peak_rate(network, scenario.start_s))
            duration_s = network.now_s - scenario.start_s
            sent = sum(
                size
                for (_, second), size in network.control_bytes.items()
                if second >= scenario.start_s
            )
            means.append(sent / duration_s / len(HOSTS))
        measured[way] = {
            **totals,
            'peak_bytes_per_s_per_node': max(peaks),
            'mean_bytes_per_s_per_node': round(statistics.fmean(means)),
            'bytes_by_kind_per_run': {
                kind: round(size / len(SEEDS)) for kind, size in kinds.items()
            },
        }
    return measured


def peak_rate(network: links.Network, start_s: float) -> int:
    """Return the most bytes that a node sent in one second."""
    return max(
        (
            size
            for (_, second), size in network.control_bytes.items()
            if second >= start_s
        ),
        default=0,
    )


def lone_plane(seed: int) -> FlowPlane:
    """Build one balancer without peers and 7 backend servers."""
    plane = FlowPlane.from_config(
        'h0',
        Counters(),
        TokenSealer(links.PEER_KEY),
        links.PEER_KEY,
        1,
        links.Health(),
        random.Random(seed),
    )
    backends = [links.backend('a', number) for number in range(7)]
    services = (links.service('a', backends, 0, BUCKET_COUNT),)
    plane.configure(links.pool(('h0',), services), 0.0)
    return plane


def endpoint(rng: random.Random) -> Endpoint:
    """Return a random caller."""
    host = f'10.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(256)}'
    return Endpoint(host, rng.randrange(1024, 65536))


def opaque_imbalance(seed: int, flow_count: int) -> float:
    """Place opaque flows; every balancer would place them like this one."""
    rng = random.Random(seed)
    plane = lone_plane(seed)
    loads: Counter[Endpoint] = Counter()
    for _ in range(flow_count):
        caller = endpoint(rng)
        key = flow_key('a', caller)
        for action in plane.on_payload('a', caller, key, b'x', None, 0.0):
            if isinstance(action, SendToBackend):
                loads[action.target] += 1
    return imbalance(loads, flow_count)


def token_imbalance(seed: int, flow_count: int) -> float:
    """Open flows at random balancers; each counts what it has seen."""
    rng = random.Random(seed)
    planes = [lone_plane(seed * 100 + number) for number in range(7)]
    sealer = TokenSealer(links.PEER_KEY)
    loads: Counter[str] = Counter()
    for _ in range(flow_count):
        caller = endpoint(rng)
        key = flow_key('a', caller)
        plane = rng.choice(planes)
        for action in plane.on_open('a', caller, key, 1, 0.0):
            token = sealer.unseal(opened_token(action), key, 'a')
            loads[token.backend_id] += 1
            # One packet of the flow reaches another balancer.
            other = rng.choice(planes)
            other.on_payload('a', caller, key, b'x', token, 0.0)
    return imbalance(loads, flow_count)


def opened_token(action: Action) -> bytes:
    """Return the sealed token that a caller is given."""
    if isinstance(action, SendToCaller):
        message = decode_from_balancer(action.payload)
        if isinstance(message, Opened):
            return message.token
    raise AssertionError(f'{action!r} carries no token')


def imbalance(loads: Counter[Endpoint] | Counter[str], count: int) -> float:
    """Return the largest load over the mean of 7."""
    return max(loads.values()) / (count / 7)


def measure_imbalance() -> dict[str, object]:
    """Return the median and the worst of 20 seeds."""
    measured: dict[str, object] = {}
    for name, place in (
        ('opaque', opaque_imbalance),
        ('token', token_imbalance),
    ):
        for count in (200, 10000):
            found = [place(seed, count) for seed in range(20)]
            measured[f'{name}_{count}'] = {
                'median': round(statistics.median(found), 3),
                'worst': round(max(found), 3),
            }
    return measured


def measure_memory() -> dict[str, float]:
    """Return bytes per known flow: the slope over three sizes."""
    sizes = (100_000, 200_000, 300_000)
    used: list[int] = []
    for size in sizes:
        rng = random.Random(size)
        gc.collect()
        tracemalloc.start()
        table = FlowTable(300.0, 0.0)
        for _ in range(size):
            table.put(rng.getrandbits(64), 2)
        used.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    slope = statistics.linear_regression(sizes, used).slope
    return {
        'bytes_per_flow_slope': round(slope, 1),
        'megabytes_at_300000': round(used[-1] / 1e6, 1),
    }


def nanoseconds(call: Callable[[int], object], count: int) -> float:
    """Return the best of five timings per call."""
    best = float('inf')
    for _ in range(5):
        started = time.perf_counter_ns()
        for number in range(count):
            call(number)
        best = min(best, (time.perf_counter_ns() - started) / count)
    return round(best)


class Cost:
    """Packets of one balancer, by the number of their caller."""

    def __init__(self, count: int) -> None:
        """Draw callers."""
        rng = random.Random(1)
        self.callers = [endpoint(rng) for _ in range(count)]
        self.keys = [flow_key('a', caller) for caller in self.callers]
        self.plane = lone_plane(1)
        self.payload = b'x' * 200

    def forward(self, number: int) -> object:
        """Forward a packet."""
        return self.plane.on_payload(
            'a',
            self.callers[number],
            self.keys[number],
            self.payload,
            None,
            0.0,
        )

    def close(self, number: int) -> object:
        """End a flow."""
        return self.plane.on_close('a', self.keys[number])

    def forward_new(self, number: int) -> object:
        """Forward the first packet of a flow."""
        self.close(number)
        return self.forward(number)

    def hash_key(self, number: int) -> object:
        """Compute a flow key."""
        return flow_key('a', self.callers[number])

    def encode_order(self, number: int) -> object:
        """Encode a packet for a backend server."""
        return encode(Forwarded('a', self.callers[number], self.payload))


def measure_cost() -> dict[str, float]:
    """Return the time per packet and of its hashing and encoding alone."""
    count = 20_000
    cost = Cost(count)
    new_ns = nanoseconds(cost.forward_new, count)
    known_ns = nanoseconds(cost.forward, count)
    for number in range(count):
        cost.close(number)
    return {
        'known_flow_ns': known_ns,
        'new_flow_ns': new_ns - nanoseconds(cost.close, count),
        'hash_ns': nanoseconds(cost.hash_key, count),
        'encode_ns': nanoseconds(cost.encode_order, count),
    }


def main() -> None:
    """Print the figures."""
    figures = {
        'bench': 'flows',
        'inputs': {
            'hosts': len(HOSTS),
            'backend_servers': BACKEND_COUNT,
            'start_flows': START_FLOWS,
            'new_flows_per_s': NEW_FLOWS_PER_S,
            'max_lag_s': MAX_LAG_S,
            'seeds': list(SEEDS),
        },
        'changes': measure_changes(0.0, is_killing=False),
        'changes_loss_1_percent': measure_changes(0.01, is_killing=False),
        'changes_balancer_killed': measure_changes(0.0, is_killing=True),
        'changes_loss_and_kill': measure_changes(0.01, is_killing=True),
        'imbalance': measure_imbalance(),
        'memory': measure_memory(),
        'cost': measure_cost(),
    }
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
