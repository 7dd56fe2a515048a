"""Connects flow planes by an in-memory network on a virtual clock.

Datagrams are delayed, lost, duplicated and reordered. Calls between balancers
are delayed and may fail although they arrived. All randomness comes from one
seeded generator, so a run can be repeated.
"""

import dataclasses
import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeAlias

from currantshore import wire
from currantshore.internal.counters import Counters
from currantshore.internal.events import (
    Action,
    FlowsHandedOver,
    HandoverFinished,
    HandOverFlows,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from currantshore.internal.flows.flowplane import FlowPlane
from currantshore.internal.hashing import flow_key, stable_hash
from currantshore.internal.peerwire import Lookup, LookupReply, unseal
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
)
from currantshore.internal.tokens import FlowToken, TokenSealer
from currantshore.internal.views import LiveView, PeerView
from currantshore.wire import Endpoint

PEER_KEY = b'pool key'
HEARTBEAT_INTERVAL_S = 0.5
FAILURE_TIMEOUT_S = 2.0
TICK_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 0.5
RETRANSMISSION_DELAY_S = 0.2

# Size of a call without names and fingerprints; an estimate, because this
# network has no RPC adapter whose bytes could be counted.
CALL_OVERHEAD_BYTES = 64


class Health:
    """Health verdicts that a test sets; the same for all balancers."""

    def __init__(self) -> None:
        self.lost: set[str] = set()

    def is_usable(self, backend_id: str) -> bool:
        return backend_id not in self.lost

    def weight_ratio(self, backend_id: str) -> float:
        return 1.0

    def record_success(self, backend_id: str, now_s: float) -> None:
        """Ignore the outcome."""

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Ignore the outcome."""


class Baseline:
    """A plane that ignores its peers; benchmarks derive baselines from it."""

    def on_live_view(self, view: LiveView, now_s: float) -> list[Action]:
        return []

    def on_open(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        first_request_id: int,
        now_s: float,
    ) -> list[Action]:
        return []

    def on_downstream(
        self,
        source: Endpoint,
        message: wire.Downstream,
        now_s: float,
    ) -> list[Action]:
        return [SendToCaller(message.service_id, message.caller, b'')]

    def on_lookup(self, message: Lookup, now_s: float) -> list[Action]:
        return []

    def on_lookup_reply(
        self,
        message: LookupReply,
        now_s: float,
    ) -> list[Action]:
        return []

    def on_flows_handed_over(
        self,
        event: FlowsHandedOver,
        now_s: float,
    ) -> list[Action]:
        return []

    def on_handover_finished(
        self,
        event: HandoverFinished,
        now_s: float,
    ) -> list[Action]:
        return []

    def leave(self, now_s: float) -> list[Action]:
        return []

    def is_idle(self) -> bool:
        return True

    def is_prepared(self) -> bool:
        return True

    def tick(self, now_s: float) -> list[Action]:
        return []

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        raise NotImplementedError

    def on_payload(
        self,
        service_id: str,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        token: FlowToken | None,
        now_s: float,
    ) -> list[Action]:
        raise NotImplementedError


Plane: TypeAlias = FlowPlane | Baseline


@dataclasses.dataclass(frozen=True, slots=True)
class LinkQuality:
    """Delay, loss and duplication of datagrams and calls."""

    delay_s: tuple[float, float] = (0.001, 0.006)
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0


@dataclasses.dataclass(slots=True)
class Node:
    """One balancer process."""

    host_id: str
    incarnation: int
    plane: Plane
    counters: Counters
    started_s: float
    version: int = -1
    prepared_version: int = -1
    is_leaving: bool = False
    is_alive: bool = True
    is_lost: bool = False
    paused_until_s: float = 0.0
    heartbeats: dict[str, tuple[float, PeerView]] = dataclasses.field(
        default_factory=dict,
    )
    view: LiveView | None = None


@dataclasses.dataclass(slots=True)
class Flow:
    """A caller's flow; ``backend`` is the server that it must stay on."""

    service_id: str
    caller: Endpoint
    opened_s: float
    is_framed: bool = False
    token: bytes = b''
    backend: Endpoint | None = None
    backend_since_s: float = 0.0
    is_broken: bool = False
    seen_by: list['Node'] = dataclasses.field(default_factory=list)

    @property
    def key(self) -> int:
        return flow_key(self.service_id, self.caller)


def digest(version: int) -> int:
    """Return a digest that stands for the versions of a configuration."""
    return stable_hash('digest', version)


def backend(
    service_id: str,
    number: int,
    state: BackendState = BackendState.ACTIVE,
) -> BackendServer:
    """Declare a backend server whose address depends on its service."""
    host = f'127.1.{stable_hash(service_id) % 250}.{number}'
    return BackendServer(
        backend_id=f'{service_id}-{number}',
        zone='harbor',
        endpoint=Endpoint(host, 9000),
        slot_count=3,
        state=state,
    )


def service(
    service_id: str,
    backends: Iterable[BackendServer],
    version: int = 0,
    bucket_count: int = 2048,
    idle_timeout_s: float = 300.0,
) -> ServiceSnapshot:
    """Declare a service."""
    return ServiceSnapshot(
        service_id=service_id,
        user_id='lakeshore',
        address=Endpoint('127.0.0.1', 1),
        bucket_count=bucket_count,
        backend_servers=tuple(backends),
        priority_classes=(),
        flow_idle_timeout_s=idle_timeout_s,
        version=version,
    )


def pool(
    hosts: Iterable[str],
    services: Iterable[ServiceSnapshot],
    version: int = 0,
) -> PoolSnapshot:
    """Declare a pool."""
    entry_hosts = tuple(
        PoolHost(host, 'harbor', Endpoint(host, 1), Endpoint(host, 2))
        for host in hosts
    )
    members = PoolMembers('p', 'lakeshore', ('harbor',), entry_hosts, version)
    return PoolSnapshot(members, tuple(services))


Timer: TypeAlias = tuple[float, int, Callable[[], None]]
PlaneFactory: TypeAlias = Callable[
    [str, int, Counters, Health, random.Random], Plane
]


def flow_plane(
    host_id: str,
    incarnation: int,
    counters: Counters,
    health: Health,
    rng: random.Random,
) -> Plane:
    """Build the plane under test."""
    return FlowPlane.from_config(
        host_id,
        counters,
        TokenSealer(PEER_KEY),
        PEER_KEY,
        incarnation,
        health,
        rng,
    )


class Network:
    """Balancers, callers and backend servers on one virtual clock."""

    def __init__(
        self,
        seed: int,
        quality: LinkQuality,
        make_plane: PlaneFactory = flow_plane,
    ) -> None:
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.quality = quality
        self.health = Health()
        self.nodes: dict[str, Node] = {}
        self.flows: dict[Endpoint, Flow] = {}
        self.trace: list[tuple[float, str]] = []
        self.broken: list[str] = []
        self.exempt: list[str] = []
        self.strayed: list[str] = []
        self.learned_s: dict[int, float] = {}
        self.upstream: Counter[Endpoint] = Counter()
        self.new_flow_at: dict[Endpoint, float] = {}
        self.control_bytes: Counter[tuple[str, int]] = Counter()
        self.control_kinds: Counter[str] = Counter()
        self.is_tracing = False
        self._make_plane = make_plane
        self._queue: list[Timer] = []
        self._sequence = 0
        self._pools: dict[int, PoolSnapshot] = {}
        self._service_by_endpoint: dict[Endpoint, str] = {}
        self._sealer = TokenSealer(PEER_KEY)

    # Clock

    def at(self, time_s: float, call: Callable[[], None]) -> None:
        """Run ``call`` at a given time."""
        self._sequence += 1
        heapq.heappush(self._queue, (time_s, self._sequence, call))

    def run(self, duration_s: float) -> None:
        """Advance the virtual time."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            timer = heapq.heappop(self._queue)
            self.now_s = timer[0]
            timer[2]()
        self.now_s = end_s

    # Balancers

    def start(self, host_id: str, lag_s: float = 0.0) -> Node:
        """Start a balancer; it gets the newest configuration after a lag."""
        former = self.nodes.get(host_id)
        if former is not None:
            former.is_alive = False
        incarnation = self.rng.getrandbits(31)
        counters = Counters()
        plane = self._make_plane(
            host_id,
            incarnation,
            counters,
            self.health,
            self.rng,
        )
        node = Node(host_id, incarnation, plane, counters, self.now_s)
        self.nodes[host_id] = node
        self.add_trace(f'start {host_id}')
        self._configure_later(node, max(self._pools), lag_s)
        phase_s = self.rng.uniform(0, HEARTBEAT_INTERVAL_S)
        self.at(self.now_s + phase_s, lambda: self._heartbeat(node))
        self.at(self.now_s + TICK_INTERVAL_S, lambda: self._tick(node))
        return node

    def kill(self, host_id: str) -> None:
        """End a process without warning."""
        node = self.nodes.pop(host_id)
        node.is_alive = False
        node.is_lost = True
        self.add_trace(f'kill {host_id}')

    def freeze(self, host_id: str, duration_s: float) -> None:
        """Pause a process for a while; its datagrams are queued."""
        node = self.nodes[host_id]
        node.paused_until_s = self.now_s + duration_s
        # Its peers consider it dead and continue without its flows.
        node.is_lost |= duration_s > FAILURE_TIMEOUT_S - HEARTBEAT_INTERVAL_S
        self.add_trace(f'freeze {host_id} {duration_s}')

    def leave(self, host_id: str) -> None:
        """Request a process to stop; it ends when it is idle."""
        node = self.nodes[host_id]
        self.add_trace(f'leave {host_id}')
        node.is_leaving = True
        self._run_actions(node, node.plane.leave(self.now_s))

    def accept(self, snapshot: PoolSnapshot, lags_s: Iterable[float]) -> None:
        """Send the nodes a configuration, each after its own lag."""
        version = snapshot.members.version
        self._pools[version] = snapshot
        for declared in snapshot.services:
            for server in declared.backend_servers:
                self._service_by_endpoint[server.endpoint] = declared.service_id
        for node, lag_s in zip(self.nodes.values(), lags_s, strict=False):
            self._configure_later(node, version, lag_s)
        self.add_trace(f'accept {version}')

    def live(self) -> list[Node]:
        """Return the running balancers."""
        return [node for node in self.nodes.values() if node.is_alive]

    # Callers

    def open_flow(
        self,
        service_id: str,
        number: int,
        is_framed: bool = False,
    ) -> Flow:
        """Start a flow of a new caller."""
        caller = Endpoint(f'127.9.{number >> 8 & 255}.{number & 255}', number)
        flow = Flow(service_id, caller, self.now_s, is_framed)
        self.flows[caller] = flow
        self.send(flow)
        return flow

    def send(self, flow: Flow, host_id: str = '') -> None:
        """Send a packet of a flow to the given or a random balancer."""
        hosts = [
            node.host_id for node in self.live() if not node.is_leaving
        ] or [node.host_id for node in self.live()]
        if not hosts:
            return
        target = host_id if host_id in hosts else self.rng.choice(hosts)
        sent_s = self.now_s
        self._deliver(target, lambda node: self._arrive(node, flow, sent_s))

    # Internals

    def add_trace(self, text: str) -> None:
        """Add a line to the trace."""
        if self.is_tracing:
            self.trace.append((round(self.now_s, 4), text))

    def _arrive(self, node: Node, flow: Flow, sent_s: float) -> None:
        payload = repr(sent_s).encode()
        token = None
        if flow.is_framed and not flow.token:
            actions = node.plane.on_open(
                flow.service_id,
                flow.caller,
                flow.key,
                1,
                self.now_s,
            )
            self._run_actions(node, actions)
            return
        if flow.is_framed:
            token = self._sealer.unseal(flow.token, flow.key, flow.service_id)
        self.add_trace(f'{node.host_id} <- {flow.caller.port}')
        actions = node.plane.on_payload(
            flow.service_id,
            flow.caller,
            flow.key,
            payload,
            token,
            self.now_s,
        )
        self._run_actions(node, actions)

    def _configure_later(
        self,
        node: Node,
        version: int,
        lag_s: float,
    ) -> None:
        def configure() -> None:
            if not node.is_alive or version <= node.version:
                return
            if self.now_s < node.paused_until_s:
                self.at(node.paused_until_s + 0.01, configure)
                return
            for passed in range(node.version + 1, version + 1):
                self.learned_s[passed] = self.now_s
            node.version = version
            self.add_trace(f'{node.host_id} gets version {version}')
            snapshot = self._pools[version]
            self._run_actions(node, node.plane.configure(snapshot, self.now_s))
            self._update_view(node)

        self.at(self.now_s + lag_s, configure)

    def _tick(self, node: Node) -> None:
        if not node.is_alive:
            return
        resume_s = max(self.now_s + TICK_INTERVAL_S, node.paused_until_s)
        self.at(resume_s, lambda: self._tick(node))
        if self.now_s < node.paused_until_s:
            return
        if node.version >= 0:
            self._update_view(node)
            self._run_actions(node, node.plane.tick(self.now_s))
        if node.is_leaving and node.plane.is_idle():
            node.is_alive = False
            self.nodes.pop(node.host_id, None)
            self.add_trace(f'{node.host_id} has left')

    def _heartbeat(self, node: Node) -> None:
        if not node.is_alive:
            return
        interval_s = HEARTBEAT_INTERVAL_S * self.rng.uniform(0.9, 1.1)
        resume_s = max(self.now_s + interval_s, node.paused_until_s)
        self.at(resume_s, lambda: self._heartbeat(node))
        if self.now_s < node.paused_until_s or node.version < 0:
            return
        peer_view = self._self_view(node)
        for host in sorted(self.nodes):
            if host != node.host_id:
                self._deliver(host, partial(self._receive_heartbeat, peer_view))

    def _receive_heartbeat(self, peer_view: PeerView, node: Node) -> None:
        node.heartbeats[peer_view.host_id] = (self.now_s, peer_view)
        if node.version >= 0:
            self._update_view(node)

    def _self_view(self, node: Node) -> PeerView:
        if node.plane.is_prepared():
            node.prepared_version = node.version
        prepared = node.prepared_version
        return PeerView(
            host_id=node.host_id,
            zone='harbor',
            incarnation=node.incarnation,
            is_leaving=node.is_leaving,
            is_warm=True,
            prepared_digest=0 if prepared < 0 else digest(prepared),
            demands={},
        )

    def _update_view(self, node: Node) -> None:
        peers = {
            host: peer_view
            for host, (received_s, peer_view) in node.heartbeats.items()
            if self.now_s - received_s < FAILURE_TIMEOUT_S
        }
        peers[node.host_id] = self._self_view(node)
        view = LiveView(node.host_id, peers, digest(node.version))
        if view != node.view:
            node.view = view
            self._run_actions(node, node.plane.on_live_view(view, self.now_s))

    def _deliver(
        self,
        host_id: str,
        receive: Callable[[Node], None],
    ) -> None:
        """Deliver a datagram to a balancer, or lose or duplicate it."""
        if self.rng.random() < self.quality.loss_ratio:
            return
        copies = 1 + (self.rng.random() < self.quality.duplicate_ratio)
        for _ in range(copies):
            delay_s = self.rng.uniform(*self.quality.delay_s)
            self.at(
                self.now_s + delay_s,
                partial(self._receive, host_id, receive),
            )

    def _receive(
        self,
        host_id: str,
        receive: Callable[[Node], None],
    ) -> None:
        node = self.nodes.get(host_id)
        if node is None or not node.is_alive:
            return
        if self.now_s < node.paused_until_s:
            self.at(
                node.paused_until_s,
                lambda: self._receive(host_id, receive),
            )
            return
        receive(node)

    def _run_actions(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendToBackend(target, payload):
                    self._to_backend(node, target, payload)
                case SendToPeer(host_id, payload):
                    self._to_peer(node, host_id, payload)
                case HandOverFlows():
                    self._call(node, action)
                case SendToCaller(_, caller, payload):
                    self._to_caller(caller, payload)
                case _:
                    raise AssertionError(action)

    def _to_caller(self, caller: Endpoint, payload: bytes) -> None:
        flow = self.flows[caller]
        if flow.is_framed:
            message = wire.decode_from_balancer(payload)
            if isinstance(message, wire.Opened) and not flow.token:
                flow.token = message.token
            return

    def _to_backend(
        self,
        node: Node,
        target: Endpoint,
        payload: bytes,
    ) -> None:
        forwarded = wire.decode_order(payload)
        assert isinstance(forwarded, wire.Forwarded)
        flow = self.flows[forwarded.caller]
        sent_s = float(forwarded.payload)
        self.add_trace(
            f'{node.host_id} sends {flow.caller.port} to {target.host}'
        )
        if self._service_by_endpoint.get(target) != forwarded.service_id:
            self.strayed.append(f'{forwarded.service_id} to {target}')
        self.upstream[target] += 1
        self._check_backend(flow, target, sent_s, node)
        self.new_flow_at[target] = max(
            self.new_flow_at.get(target, 0.0),
            flow.opened_s,
        )
        self._deliver(
            node.host_id,
            lambda same: self._answer(same, node, target, flow),
        )

    def _check_backend(
        self,
        flow: Flow,
        target: Endpoint,
        sent_s: float,
        node: Node,
    ) -> None:
        if flow.backend in {None, target}:
            flow.seen_by.append(node)
            return
        if flow.is_broken or sent_s < flow.backend_since_s:
            return
        if flow.backend is None or self._is_lost(flow.backend):
            return
        flow.is_broken = True
        text = (
            f'{self.now_s:.3f} {node.host_id} sent flow {flow.caller.port} '
            f'(opened {flow.opened_s:.3f}) of {flow.backend.host} '
            f'to {target.host}'
        )
        self.add_trace(f'BROKEN {text}')
        # Every balancer that had seen the flow was killed or considered dead.
        if all(balancer.is_lost for balancer in flow.seen_by):
            self.exempt.append(text)
        else:
            self.broken.append(text)

    def _is_lost(self, target: Endpoint) -> bool:
        lost = self.health.lost
        return any(
            server.endpoint == target and server.backend_id in lost
            for declared in self._pools[max(self._pools)].services
            for server in declared.backend_servers
        )

    def _answer(
        self,
        node: Node,
        sender: Node,
        target: Endpoint,
        flow: Flow,
    ) -> None:
        if node is not sender:
            return
        message = wire.Downstream(flow.service_id, flow.caller, b'y')
        actions = node.plane.on_downstream(target, message, self.now_s)
        if actions and flow.backend is None:
            flow.backend = target
            flow.backend_since_s = self.now_s
            self.add_trace(f'{flow.caller.port} is answered by {target.host}')
        self._run_actions(node, actions)

    def _to_peer(self, node: Node, host_id: str, payload: bytes) -> None:
        message = unseal(payload, PEER_KEY)
        self._count_control(node, type(message).__name__, len(payload))
        self.add_trace(f'{node.host_id} to {host_id}: {message}')
        match message:
            case Lookup():
                self._deliver(
                    host_id,
                    lambda peer: self._run_actions(
                        peer,
                        peer.plane.on_lookup(message, self.now_s),
                    ),
                )
            case LookupReply():
                self._deliver(
                    host_id,
                    lambda peer: self._run_actions(
                        peer,
                        peer.plane.on_lookup_reply(message, self.now_s),
                    ),
                )

    def _call(self, node: Node, action: HandOverFlows) -> None:
        """Deliver a call; a lost packet delays it or loses its answer."""
        size = sum(
            len(name) + len(flows) for name, flows in action.flows.items()
        )
        size += sum(len(name) + 4 for name in action.settled)
        is_settled = action.settled or action.settled_version >= 0
        kind = 'Settled' if is_settled else 'Handover'
        self._count_control(node, kind, size + CALL_OVERHEAD_BYTES)
        self.add_trace(
            f'{node.host_id} hands over {size} bytes to {action.host_id} '
            f'(settled {action.settled_version})',
        )
        event = FlowsHandedOver(
            node.host_id,
            action.service_id,
            action.flows,
            action.settled_version,
            action.settled,
        )
        delay_s = self.rng.uniform(*self.quality.delay_s)
        if self.rng.random() < self.quality.loss_ratio:
            delay_s += RETRANSMISSION_DELAY_S
        is_answer_lost = self.rng.random() < self.quality.loss_ratio
        call = partial(self._arrive_call, node, action, event, is_answer_lost)
        self.at(self.now_s + delay_s, call)

    def _arrive_call(
        self,
        node: Node,
        action: HandOverFlows,
        event: FlowsHandedOver,
        is_answer_lost: bool,
    ) -> None:
        peer = self.nodes.get(action.host_id)
        if peer is None or not peer.is_alive:
            self._finish_later(node, action, is_acknowledged=False)
            return
        if self.now_s < peer.paused_until_s:
            call = partial(
                self._arrive_call, node, action, event, is_answer_lost
            )
            self.at(peer.paused_until_s, call)
            return
        self._run_actions(
            peer, peer.plane.on_flows_handed_over(event, self.now_s)
        )
        self._finish_later(node, action, is_acknowledged=not is_answer_lost)

    def _finish_later(
        self,
        node: Node,
        action: HandOverFlows,
        is_acknowledged: bool,
    ) -> None:
        delay_s = CALL_TIMEOUT_S
        if is_acknowledged:
            delay_s = self.rng.uniform(*self.quality.delay_s)
        self.at(
            self.now_s + delay_s,
            partial(self._finish, node, action, is_acknowledged),
        )

    def _finish(
        self,
        node: Node,
        action: HandOverFlows,
        is_acknowledged: bool,
    ) -> None:
        if not node.is_alive:
            return
        event = HandoverFinished(
            action.host_id,
            action.service_id,
            action.handover_id,
            is_acknowledged,
        )
        self._run_actions(
            node, node.plane.on_handover_finished(event, self.now_s)
        )

    def _count_control(self, node: Node, kind: str, size_bytes: int) -> None:
        self.control_bytes[node.host_id, int(self.now_s)] += size_bytes
        self.control_kinds[kind] += size_bytes
