"""Simulates balancers, callers and backends on a virtual clock and link.

Each datagram stays on the link until the test delivers, duplicates or drops
it, so a test can produce any delay, loss, duplication and order.
"""

import dataclasses
import random
from collections import Counter, defaultdict

from currantshore import wire
from currantshore.codes import ResultCode, is_not_run
from currantshore.internal import hashing, peerwire
from currantshore.internal.counters import Counters
from currantshore.internal.events import (
    HandOverRequests,
    RequestsHandedOver,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from currantshore.internal.requests.requestplane import RequestPlane
from currantshore.internal.snapshot import (
    BackendServer,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)
from currantshore.internal.tokens import FlowToken, TokenSealer
from currantshore.internal.views import LiveView, PeerView

SERVICE = 'dockwatch'
HOSTS = ('h0', 'h1', 'h2')
KEY = b'pool key'
CLASSES = (
    PriorityClass('urgent', 0, 0.4, queue_limit=8),
    PriorityClass('bulk', 1, 0.2, queue_limit=8),
)
BACKENDS = tuple(
    BackendServer(f'b{n}', 'z', wire.Endpoint('10.1.0.1', n), 1) for n in (1, 2)
)
CALLERS = tuple(wire.Endpoint('10.0.0.1', port) for port in (1, 2))
_NO_HOST = wire.Endpoint('', 0)
_SEALER = TokenSealer(KEY)


class Health:
    """Health verdicts set by the test."""

    def __init__(self):
        self.bad = set()

    def is_usable(self, backend_id):
        return backend_id not in self.bad

    def weight_ratio(self, backend_id):
        return 1.0

    def record_success(self, backend_id, now_s):
        """Do nothing."""

    def record_failure(self, backend_id, now_s):
        """Do nothing."""


@dataclasses.dataclass
class Host:
    plane: RequestPlane
    incarnation: int
    is_up: bool = True
    is_paused: bool = False
    is_leaving: bool = False


@dataclasses.dataclass
class Sent:
    """A request of a caller and the outcomes that the caller received."""

    caller: wire.Endpoint
    request: wire.Request
    send_count: int = 0
    outcomes: list = dataclasses.field(default_factory=list)
    parts: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Packet:
    target: str
    kind: str
    body: object
    source: str = ''


class World:
    def __init__(self):
        self.now_s = 100.0
        self.link = []
        self.health = Health()
        self.behaviour = {backend.backend_id: 'answer' for backend in BACKENDS}
        self.seen_runs = set()
        self.delayed_runs = []
        self.sent = {}
        self.runs = defaultdict(list)
        self.not_run = defaultdict(list)
        self.tokens = {}
        self.next_id = Counter()
        self.is_undisturbed = True
        self.has_left = False
        self.hosts = {name: self._new_host(name, 1) for name in HOSTS}
        self.views = {host_id: {} for host_id in HOSTS}
        self.set_true_views()
        for caller in CALLERS:
            self.open(caller, 'h0')

    def open(self, caller, host_id):
        """Open the flow again; earlier requests keep their token."""
        token = FlowToken(
            SERVICE,
            'b1',
            host_id,
            self.hosts[host_id].incarnation,
            self.next_id[caller] + 1,
        )
        key = hashing.flow_key(SERVICE, caller)
        self.tokens[caller] = _SEALER.seal(token, key)

    def send(self, caller, host_id, **fields):
        self.next_id[caller] += 1
        request = wire.Request(
            self.next_id[caller],
            1,
            fields.get('priority_class', 'urgent'),
            fields.get('is_repeatable', False),
            fields.get('deadline_ms', 2000),
            b'w',
            self.tokens[caller],
        )
        sent = Sent(caller, request)
        self.sent[caller, request.request_id] = sent
        self.resend(sent, host_id)
        return sent

    def resend(self, sent, host_id):
        sent.send_count += 1
        request = sent.request
        again = wire.Request(
            request.request_id,
            sent.send_count,
            request.priority_class,
            request.is_repeatable,
            request.deadline_ms,
            request.payload,
            request.token,
        )
        self._post(host_id, 'caller', (sent.caller, wire.encode(again)))

    def executor_of(self, sent):
        token = _unseal_token(sent.request, sent.caller)
        return (token.executor_id, token.executor_incarnation)

    def cancel(self, sent, host_id):
        sent.send_count += 1
        cancel = wire.Cancel(sent.request.request_id, sent.request.token)
        self._post(host_id, 'caller', (sent.caller, wire.encode(cancel)))

    def deliver(self, index=0):
        packet = self.link.pop(index % len(self.link))
        if packet.kind == 'backend':
            self._run(packet)
        elif packet.kind == 'told':
            self._receive_outcome(packet)
        elif self.hosts[packet.target].is_paused:
            self.link.append(packet)
        elif self.hosts[packet.target].is_up:
            self._apply(packet.target, self._handle(packet))

    def settle(self):
        """Deliver all deliverable packets in order."""
        undeliverable = [
            packet
            for packet in self.link
            if packet.target in self.hosts
            and self.hosts[packet.target].is_paused
        ]
        self.link = [
            packet for packet in self.link if packet not in undeliverable
        ]
        for _ in range(1000):
            if not self.link:
                break
            packet = self.link[0]
            self.deliver()
            if self.link and self.link[-1] is packet:
                undeliverable.append(self.link.pop())
        self.link.extend(undeliverable)

    def duplicate(self, index):
        packet = self.link[index % len(self.link)]
        if packet.kind == 'caller':
            self._sent_of(packet).send_count += 1
        self.link.append(packet)

    def drop(self, index):
        self.link.pop(index % len(self.link))

    def advance(self, step_s):
        """Advance the time; running hosts tick at least every 0.5 s."""
        left_s = step_s
        while left_s > 0:
            self.now_s += min(left_s, 0.5)
            left_s -= 0.5
            for host_id, host in self.hosts.items():
                if host.is_up and not host.is_paused:
                    self._apply(host_id, host.plane.tick(self.now_s))

    def set_view(self, host_id, live):
        """Set the live view of ``host_id`` to the hosts ``live``."""
        view = {}
        for name in sorted({*live, host_id}):
            host = self.hosts[name]
            view[name] = PeerView(
                name,
                'z',
                host.incarnation,
                host.is_leaving,
                True,
                0,
                host.plane.demands(),
                host.plane.successor,
            )
        self.views[host_id] = view
        if set(view) != set(HOSTS):
            self.is_undisturbed = False
        host = self.hosts[host_id]
        if host.is_up and not host.is_paused:
            live_view = LiveView(host_id, view, 0)
            self._apply(host_id, host.plane.on_live_view(live_view, self.now_s))

    def set_true_views(self):
        alive = [name for name, host in self.hosts.items() if host.is_up]
        for host_id in alive:
            self.set_view(host_id, alive)

    def restart(self, host_id):
        """Replace the process of a host by a new one."""
        self.is_undisturbed = False
        incarnation = self.hosts[host_id].incarnation + 1
        self.hosts[host_id] = self._new_host(host_id, incarnation)
        self.set_view(host_id, self.views[host_id])

    def leave(self, host_id):
        host = self.hosts[host_id]
        host.is_leaving = True
        self.has_left = True
        self._apply(host_id, host.plane.leave(self.now_s))

    def release(self):
        """Deliver the answers of slow backend servers."""
        delayed = self.delayed_runs
        self.delayed_runs = []
        for order, source in delayed:
            self._answer(order, source)

    def _new_host(self, host_id, incarnation):
        plane = RequestPlane.from_config(
            host_id,
            incarnation,
            Counters(),
            KEY,
            self.health,
            random.Random(1),
        )
        plane.configure(make_pool(), self.now_s)
        return Host(plane, incarnation)

    def _post(self, target, kind, body, source=''):
        self.link.append(Packet(target, kind, body, source))

    def _handle(self, packet):
        plane = self.hosts[packet.target].plane
        match packet.kind:
            case 'caller':
                return self._handle_caller(plane, *packet.body)
            case 'peer':
                message = peerwire.unseal(packet.body, KEY)
                request = wire.decode_from_caller(message.datagram)
                token = _unseal_token(request, message.caller)
                return plane.on_relayed(message, token, request, self.now_s)
            case 'reply':
                endpoint, datagram = packet.body
                message = wire.decode_reply(datagram)
                if isinstance(message, wire.RunShed):
                    return plane.on_run_shed(endpoint, message, self.now_s)
                return plane.on_run_answer(endpoint, message, self.now_s)
            case 'handover':
                return plane.on_requests_handed_over(packet.body, self.now_s)

    def _handle_caller(self, plane, caller, datagram):
        message = wire.decode_from_caller(datagram)
        handle = plane.on_request
        if isinstance(message, wire.Cancel):
            handle = plane.on_cancel
        return handle(
            SERVICE,
            caller,
            hashing.flow_key(SERVICE, caller),
            _unseal_token(message, caller),
            message,
            datagram,
            self.now_s,
        )

    def _apply(self, host_id, actions):
        for action in actions:
            match action:
                case SendToCaller():
                    self._record_refusal(host_id, action)
                    body = (action.caller, action.payload)
                    self._post('', 'told', body, host_id)
                case SendToBackend():
                    body = (action.target, action.payload)
                    self._post('', 'backend', body, host_id)
                case SendToPeer():
                    self._post(action.host_id, 'peer', action.payload, host_id)
                case HandOverRequests():
                    handed_over = RequestsHandedOver(
                        host_id,
                        self.hosts[host_id].incarnation,
                        action.service_id,
                        action.body,
                    )
                    self._post(action.host_id, 'handover', handed_over)

    def _record_refusal(self, host_id, action):
        message = wire.decode_from_balancer(action.payload)
        if isinstance(message, wire.Refusal):
            if is_not_run(ResultCode(message.code)):
                process = (host_id, self.hosts[host_id].incarnation)
                key = (action.caller, message.request_id)
                self.not_run[key].append(process)

    def _receive_outcome(self, packet):
        caller, datagram = packet.body
        message = wire.decode_from_balancer(datagram)
        sent = self.sent[caller, message.request_id]
        if isinstance(message, wire.Refusal):
            sent.outcomes.append(ResultCode(message.code))
            return
        parts = sent.parts.setdefault((message.attempt, message.run_id), {})
        parts[message.part] = message.payload
        if len(parts) == message.parts:
            whole = b''.join(parts[index] for index in sorted(parts))
            sent.outcomes.append(whole)

    def _run(self, packet):
        endpoint, datagram = packet.body
        order = wire.decode_order(datagram)
        if isinstance(order, wire.CancelRun):
            self.delayed_runs = [
                delayed
                for delayed in self.delayed_runs
                if delayed[0].run_id != order.run_id
            ]
            return
        # Backend servers ignore a run id that they have answered or shed.
        if order.run_id in self.seen_runs:
            return
        self.seen_runs.add(order.run_id)
        backend = next(each for each in BACKENDS if each.endpoint == endpoint)
        behaviour = self.behaviour[backend.backend_id]
        source = (packet.source, endpoint)
        if behaviour == 'shed':
            shed = wire.RunShed(SERVICE, order.run_id, 20)
            body = (endpoint, wire.encode(shed))
            self._post(packet.source, 'reply', body)
            return
        host = self.hosts[packet.source]
        process = (packet.source, host.incarnation)
        self.runs[order.caller, order.request_id].append(process)
        if behaviour == 'answer':
            self._answer(order, source)
        elif behaviour == 'slow':
            self.delayed_runs.append((order, source))

    def _answer(self, order, source):
        host_id, endpoint = source
        count = order.run_id % 3 + 1
        for part in range(count):
            answer = wire.RunAnswer(
                SERVICE,
                order.caller,
                order.run_id,
                part,
                count,
                expected_answer(order.caller, order.request_id)[part::count],
            )
            self._post(host_id, 'reply', (endpoint, wire.encode(answer)))

    def _sent_of(self, packet):
        caller, datagram = packet.body
        message = wire.decode_from_caller(datagram)
        return self.sent[caller, message.request_id]


def expected_answer(caller, request_id):
    """Return an answer whose bytes reveal a mix with another answer."""
    return f'{caller.port}:{request_id}:whole answer'.encode()


def sorted_bytes(text):
    return bytes(sorted(text))


def make_pool():
    service = ServiceSnapshot(
        SERVICE,
        'lakeshore',
        wire.Endpoint('10.9.0.1', 1),
        2048,
        BACKENDS,
        CLASSES,
        answer_timeout_s=3.0,
    )
    hosts = tuple(PoolHost(name, 'z', _NO_HOST, _NO_HOST) for name in HOSTS)
    members = PoolMembers('pool', 'lakeshore', ('z',), hosts)
    return PoolSnapshot(members, (service,))


def _unseal_token(message, caller):
    key = hashing.flow_key(SERVICE, caller)
    return _SEALER.unseal(message.token, key, SERVICE)
