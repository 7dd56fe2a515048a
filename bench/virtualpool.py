"""A pool of membership planes on a virtual clock and a faulty network.

Used by the capacity measurements and by the stateful tests. One seed gives one
run; nothing waits for real time.
"""

import dataclasses
import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import TypeAlias

from currantshore.internal import peerwire
from currantshore.internal.counters import Counters
from currantshore.internal.events import (
    Action,
    FetchConfiguration,
    SendToPeer,
)
from currantshore.internal.members.membership import MembershipPlane
from currantshore.internal.snapshot import (
    BackendServer,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)
from currantshore.wire import Endpoint

PEER_KEY = b'pool key of the virtual pool'
TICK_S = 0.05
UDP_HEADER_SIZE_BYTES = 28
_BACKEND_PORT = 7000
_Due: TypeAlias = tuple[float, int, Callable[[], None]]


@dataclasses.dataclass(slots=True)
class Network:
    """What the network does to datagrams and fetches."""

    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.006
    is_cut: Callable[[str, str], bool] = lambda _sender, _target: False


@dataclasses.dataclass(slots=True)
class Node:
    """One process: its plane, what it holds and whether it is paused."""

    host_id: str
    zone: str
    plane: MembershipPlane
    is_running: bool = True
    is_paused: bool = False
    tick_due_s: float = 0.0
    sent_count: int = 0
    sent_size_bytes: int = 0
    fetch_count: int = 0
    fetches_served: int = 0
    largest_size_bytes: int = 0


class VirtualPool:
    """Nodes of a pool, their clock and their network."""

    def __init__(
        self,
        snapshot: PoolSnapshot,
        seed: int,
        network: Network | None = None,
    ) -> None:
        """Build stopped nodes for every host of ``snapshot``."""
        self.rng = random.Random(seed)
        self.network = network or Network()
        self.now_s = 0.0
        self.nodes: dict[str, Node] = {}
        self.plane_cpu_s = 0.0
        self._incarnations: Counter[str] = Counter()
        self._order = itertools.count()
        self._queue: list[_Due] = []
        for host in snapshot.members.hosts:
            self.start(host.host_id, host.zone, snapshot)

    def start(
        self,
        host_id: str,
        zone: str,
        pool: PoolSnapshot | None,
        incarnation: int | None = None,
    ) -> Node:
        """Start a new process of a host, with or without configuration."""
        self._incarnations[host_id] += 1
        if incarnation is None:
            started_ms = 1_700_000_000_000 + int(self.now_s * 1000)
            incarnation = started_ms + self._incarnations[host_id]
        plane = MembershipPlane.from_config(
            host_id,
            zone,
            incarnation,
            Counters(),
            PEER_KEY,
            random.Random(self.rng.getrandbits(64)),
        )
        node = Node(host_id, zone, plane)
        node.tick_due_s = self.now_s + self.rng.uniform(0, TICK_S * 10)
        self.nodes[host_id] = node
        if pool is not None:
            self.configure(node, pool)
        self._schedule(node.tick_due_s, lambda: self._tick(node))
        return node

    def stop(self, host_id: str) -> None:
        """Kill a process."""
        self.nodes[host_id].is_running = False

    def configure(self, node: Node, pool: PoolSnapshot) -> None:
        """Hand a snapshot to a node, as its platform watch would."""
        self._act(node, node.plane.configure(pool, self.now_s))

    def run_until(self, end_s: float) -> None:
        """Advance the clock and do what falls due."""
        while self._queue and self._queue[0][0] <= end_s:
            due_s, _, callback = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, due_s)
            callback()
        self.now_s = end_s

    def running(self) -> list[Node]:
        """Return the nodes whose process runs and is not paused."""
        return [
            node
            for node in self.nodes.values()
            if node.is_running and not node.is_paused
        ]

    def _schedule(self, due_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due_s, next(self._order), callback))

    def _tick(self, node: Node) -> None:
        if not node.is_running:
            return
        if not node.is_paused:
            started_s = time.process_time()
            actions = node.plane.tick(self.now_s)
            self.plane_cpu_s += time.process_time() - started_s
            self._act(node, actions)
        self._schedule(self.now_s + TICK_S, lambda: self._tick(node))

    def _act(self, node: Node, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendToPeer(host_id=host_id, payload=payload):
                    self._send(node, host_id, payload)
                case FetchConfiguration(host_id=host_id):
                    self._fetch(node, host_id)

    def _send(self, node: Node, target: str, payload: bytes) -> None:
        node.sent_count += 1
        node.sent_size_bytes += len(payload) + UDP_HEADER_SIZE_BYTES
        node.largest_size_bytes = max(node.largest_size_bytes, len(payload))
        copies = 1 + int(self.rng.random() < self.network.duplicate_ratio)
        for _ in range(copies):
            if self._is_lost(node.host_id, target):
                continue
            self._deliver_after(self._delay_s(), target, payload)

    def _deliver_after(self, delay_s: float, target: str, body: bytes) -> None:
        self._schedule(
            self.now_s + delay_s,
            lambda: self._deliver(target, body),
        )

    def _deliver(self, target: str, payload: bytes) -> None:
        node = self.nodes.get(target)
        if node is None or not node.is_running:
            return
        if node.is_paused:
            # A paused process finds the datagrams in its socket buffer.
            self._deliver_after(TICK_S, target, payload)
            return
        started_s = time.process_time()
        message = peerwire.unseal(payload, PEER_KEY)
        actions: list[Action] = []
        if isinstance(message, peerwire.Heartbeat):
            actions = node.plane.on_heartbeat(message, self.now_s)
        self.plane_cpu_s += time.process_time() - started_s
        self._act(node, actions)

    def _fetch(self, node: Node, source: str) -> None:
        node.fetch_count += 1
        other = self.nodes.get(source)
        if other is None or not other.is_running or other.is_paused:
            return
        if self._is_lost(node.host_id, source):
            return
        pool = other.plane.pool
        if pool is None:
            return
        other.fetches_served += 1
        self._schedule(
            self.now_s + 2 * self._delay_s(),
            lambda: self._fetched(node, source, pool),
        )

    def _fetched(self, node: Node, source: str, pool: PoolSnapshot) -> None:
        if node.is_running and not node.is_paused:
            if not self.network.is_cut(node.host_id, source):
                self.configure(node, pool)

    def _is_lost(self, sender: str, target: str) -> bool:
        if self.network.is_cut(sender, target):
            return True
        return self.rng.random() < self.network.loss_ratio

    def _delay_s(self) -> float:
        return self.rng.uniform(
            self.network.min_delay_s,
            self.network.max_delay_s,
        )


def build_pool(
    host_count: int,
    service_count: int = 2,
    backends_per_service: int = 4,
    zones: Sequence[str] = ('zone-a', 'zone-b', 'zone-c'),
) -> PoolSnapshot:
    """Return a pool with hosts and backend servers spread over zones."""
    hosts = tuple(
        PoolHost(
            f'host-{place:02}',
            zones[place % len(zones)],
            Endpoint('127.0.0.1', 10000 + place),
            Endpoint('127.0.0.1', 20000 + place),
        )
        for place in range(host_count)
    )
    members = PoolMembers('pool-1', 'user-1', tuple(zones), hosts, 1)
    services = tuple(
        build_service(place, backends_per_service, zones)
        for place in range(service_count)
    )
    return PoolSnapshot(members, services)


def build_service(
    place: int,
    backend_count: int,
    zones: Sequence[str],
    version: int = 1,
) -> ServiceSnapshot:
    """Return service number ``place`` with its backend servers."""
    backends = tuple(
        BackendServer(
            f'be-{place:03}-{index:03}',
            zones[index % len(zones)],
            Endpoint(
                f'10.{place // 250}.{place % 250}.{index + 1}', _BACKEND_PORT
            ),
            slot_count=3,
        )
        for index in range(backend_count)
    )
    return ServiceSnapshot(
        service_id=f'service-{place:03}',
        user_id='user-1',
        address=Endpoint('127.0.0.1', 30000 + place),
        bucket_count=4096,
        backend_servers=backends,
        priority_classes=(
            PriorityClass('urgent', 0, 0.5),
            PriorityClass('other', 1, 0.25),
        ),
        version=version,
    )


def with_version(pool: PoolSnapshot, place: int, version: int) -> PoolSnapshot:
    """Return ``pool`` with one service at a new version."""
    services = list(pool.services)
    services[place] = build_service(
        place,
        len(services[place].backend_servers),
        pool.members.zones,
        version,
    )
    return PoolSnapshot(pool.members, tuple(services))
