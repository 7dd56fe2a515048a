"""Goodput by class in floods, on a virtual clock; prints one JSON line.

Seven balancers and seven backend servers with three slots each are joined by
a link with delay. A backend server sheds every run beyond its slots. Callers
send at a constant mean rate whatever happens and do not retry.
"""

import argparse
import dataclasses
import heapq
import itertools
import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final, TypeAlias

from currantshore import wire
from currantshore.internal import hashing
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    SendToBackend,
    SendToCaller,
)
from currantshore.internal.requests.capacity import AdmissionMode
from currantshore.internal.requests.executorchoice import executor_hosts
from currantshore.internal.requests.requestplane import RequestPlane
from currantshore.internal.snapshot import (
    BackendServer,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)
from currantshore.internal.tokens import FlowToken
from currantshore.internal.views import LiveView, PeerView

_SERVICE: Final = 'dockwatch'
_CLASSES: Final = (
    PriorityClass('urgent', 0, 0.3),
    PriorityClass('normal', 1, 0.2),
    PriorityClass('bulk', 2, 0.1),
)
_SLOTS: Final = 3

_RUN_S: Final = 0.05
_DELAY_S: Final = 0.002
_DEADLINE_MS: Final = 500
_TICK_S: Final = 0.05
_HEARTBEAT_S: Final = 0.5

# Runs that a slot can do in a second, when each next run takes one round trip
# to start.
_SLOT_RATE_PER_S: Final = 1 / (_RUN_S + 2 * _DELAY_S)

# Offered load before and after the flood, as a part of the capacity.
_LOADS: Final = {'urgent': 0.35, 'normal': 0.25, 'bulk': 0.12}
_FLOOD_RATIO: Final = 10.0

_WARM_UP_S: Final = 3.0
_BUCKET_S: Final = 0.25

_Json: TypeAlias = dict[str, Any]
_Step: TypeAlias = Callable[..., None]
_Timer: TypeAlias = tuple[float, int, _Step, Any]


class _AllUsable:
    def is_usable(self, backend_id: str) -> bool:
        return True

    def weight_ratio(self, backend_id: str) -> float:
        return 1.0

    def record_success(self, backend_id: str, now_s: float) -> None:
        """Nothing to note in this model."""

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Nothing to note in this model."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Scenario:
    name: str
    flood_class: str
    flood_callers: int
    before_s: float
    flood_s: float
    after_s: float
    host_count: int = 7
    server_count: int = 7
    callers_of_class: int = 40

    @property
    def capacity_per_s(self) -> float:
        return self.server_count * _SLOTS * _SLOT_RATE_PER_S

    @property
    def hosts(self) -> list[str]:
        return [f'host-{number}' for number in range(self.host_count)]

    @property
    def backends(self) -> tuple[BackendServer, ...]:
        return tuple(
            BackendServer(
                f'server-{number}',
                'harbor',
                wire.Endpoint('s', number),
                _SLOTS,
            )
            for number in range(self.server_count)
        )

    def phase(self, sent_s: float) -> str:
        if sent_s < _WARM_UP_S:
            return 'warm_up'
        if sent_s < self.flood_start_s:
            return 'before'
        return 'flood' if sent_s < self.flood_end_s else 'after'

    @property
    def flood_start_s(self) -> float:
        return _WARM_UP_S + self.before_s

    @property
    def flood_end_s(self) -> float:
        return self.flood_start_s + self.flood_s

    @property
    def end_s(self) -> float:
        return self.flood_end_s + self.after_s


@dataclasses.dataclass(slots=True)
class _Server:
    """A backend server that sheds what is beyond its slots."""

    running: set[int] = dataclasses.field(default_factory=set)
    shed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    endpoint: wire.Endpoint
    host_id: str
    token: FlowToken
    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Sending:
    group: str
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Design:
    """An admission mode, and whether tokens name few executors."""

    name: str
    mode: AdmissionMode
    chooses_executors: bool = False


_DESIGNS: Final = (
    _Design('design', AdmissionMode.FAIR_SHARES, chooses_executors=True),
    _Design('fair_shares_any_executor', AdmissionMode.FAIR_SHARES),
    _Design('weighted_rendezvous', AdmissionMode.WEIGHTED_SHARES),
    _Design('equal_shares', AdmissionMode.EQUAL_SHARES),
    _Design('limits_only', AdmissionMode.LIMITS_ONLY),
    _Design('no_admission', AdmissionMode.UNLIMITED),
)


class _Model:
    """One run of one scenario with one design."""

    def __init__(
        self,
        scenario: _Scenario,
        design: _Design,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._design = design
        self._rng = random.Random(seed)
        self._events: list[_Timer] = []
        self._order = itertools.count()
        self._now_s = 0.0
        self._hosts = scenario.hosts
        self._backends = scenario.backends
        self._servers = {each.endpoint: _Server() for each in self._backends}
        self._counters = Counters()
        self._planes = {
            host_id: _make_plane(
                host_id, self._counters, design.mode, self._backends
            )
            for host_id in self._hosts
        }
        self._ids: Counter[wire.Endpoint] = Counter()
        self._sendings: dict[tuple[wire.Endpoint, int], _Sending] = {}
        self._done: dict[tuple[wire.Endpoint, int], float] = {}
        self._refused: Counter[int] = Counter()

    def run(self) -> None:
        ports = itertools.count(1)
        for name, load in _LOADS.items():
            callers = self._make_callers(
                name,
                self._scenario.callers_of_class,
                ports,
            )
            self._start(callers, name, load, 0, self._scenario.end_s)
        flood = self._make_callers(
            'flood',
            self._scenario.flood_callers,
            ports,
        )
        self._start(
            flood,
            self._scenario.flood_class,
            _FLOOD_RATIO,
            self._scenario.flood_start_s,
            self._scenario.flood_end_s,
        )
        for host_id in self._hosts:
            self._at(self._rng.random() * _TICK_S, self._tick, host_id)
            self._at(self._rng.random() * _HEARTBEAT_S, self._gossip, host_id)
        while self._events:
            at_s, _, step, argument = heapq.heappop(self._events)
            self._now_s = at_s
            step(argument)

    def report(self) -> _Json:
        sent: dict[str, Counter[str]] = defaultdict(Counter)
        good: dict[str, Counter[str]] = defaultdict(Counter)
        for key, sending in self._sendings.items():
            phase = self._scenario.phase(sending.sent_s)
            sent[sending.group][phase] += 1
            good[sending.group][phase] += key in self._done
        runs = self._counters.counts[Count.REQUESTS_RUN]
        retries = sum(self._counters.retries.values())
        return {
            'goodput_ratio': {
                group: {
                    phase: round(good[group][phase] / sent[group][phase], 4)
                    for phase in sorted(sent[group])
                    if phase != 'warm_up'
                }
                for group in sent
            },
            'flood_goodput_of_capacity': {
                group: round(
                    good[group]['flood']
                    / self._scenario.flood_s
                    / self._scenario.capacity_per_s,
                    4,
                )
                for group in good
            },
            'recovery_s': self._recovery_s(),
            'retry_amplification': round(runs / max(runs - retries, 1), 4),
            'shed_ratio': round(
                sum(each.shed for each in self._servers.values()) / runs,
                4,
            ),
            'refusals': {
                str(code): count
                for code, count in sorted(self._refused.items())
            },
        }

    def _recovery_s(self) -> float | None:
        """Return when goodput is back at 95% of its level before, for good."""
        sent: Counter[int] = Counter()
        good: Counter[int] = Counter()
        before: Counter[bool] = Counter()
        for key, sending in self._sendings.items():
            if sending.group == 'flood':
                continue
            if self._scenario.phase(sending.sent_s) == 'before':
                before[key in self._done] += 1
            after_s = sending.sent_s - self._scenario.flood_end_s
            if after_s >= 0:
                bucket = int(after_s / _BUCKET_S)
                sent[bucket] += 1
                good[bucket] += key in self._done
        level = before[True] / before.total()
        bad = [
            bucket
            for bucket in sent
            if good[bucket] < 0.95 * level * sent[bucket]
        ]
        recovered = max(bad, default=-1) + 1
        if recovered > max(sent):
            return None
        return recovered * _BUCKET_S

    def _make_callers(
        self,
        group: str,
        count: int,
        ports: Iterator[int],
    ) -> list[_Caller]:
        callers = []
        for number in range(count):
            endpoint = wire.Endpoint('c', next(ports))
            host_id = self._hosts[number % len(self._hosts)]
            if self._design.chooses_executors:
                flow_key = hashing.flow_key(_SERVICE, endpoint)
                host_id = self._choose(flow_key)
            backend = self._rng.choice(self._backends)
            token = FlowToken(_SERVICE, backend.backend_id, host_id, 1, 1)
            callers.append(_Caller(endpoint, host_id, token, group))
        return callers

    def _choose(self, flow_key: int) -> str:
        service = _make_service(self._backends)
        chosen = executor_hosts(service, tuple(sorted(self._hosts)))
        return chosen[flow_key % len(chosen)]

    def _start(
        self,
        callers: Sequence[_Caller],
        class_name: str,
        load: float,
        start_s: float,
        end_s: float,
    ) -> None:
        rate_per_s = load * self._scenario.capacity_per_s / max(len(callers), 1)
        for caller in callers:
            sent_s = start_s + self._rng.expovariate(rate_per_s)
            while sent_s < end_s:
                self._at(sent_s, self._send, (caller, class_name))
                sent_s += self._rng.expovariate(rate_per_s)

    def _send(self, argument: tuple[_Caller, str]) -> None:
        caller, class_name = argument
        endpoint = caller.endpoint
        self._ids[endpoint] += 1
        request = wire.Request(
            self._ids[endpoint],
            1,
            class_name,
            False,
            _DEADLINE_MS,
            b'',
            b'',
        )
        key = (endpoint, request.request_id)
        self._sendings[key] = _Sending(caller.group, self._now_s)
        self._act(
            caller.host_id,
            self._planes[caller.host_id].on_request(
                _SERVICE,
                endpoint,
                hashing.flow_key(_SERVICE, endpoint),
                caller.token,
                request,
                b'',
                self._now_s,
            ),
        )

    def _act(self, host_id: str, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case SendToCaller(_, caller, payload):
                    self._told(caller, payload)
                case SendToBackend(target, payload):
                    self._after(
                        self._delay_s(),
                        self._on_order,
                        (host_id, target, payload),
                    )

    def _told(self, caller: wire.Endpoint, payload: bytes) -> None:
        match wire.decode_from_balancer(payload):
            case wire.Answer(request_id):
                key = (caller, request_id)
                spent_s = self._now_s - self._sendings[key].sent_s
                if spent_s * 1000 <= _DEADLINE_MS:
                    self._done[key] = self._now_s
            case wire.Refusal(_, code):
                self._refused[code] += 1

    def _on_order(self, argument: tuple[str, wire.Endpoint, bytes]) -> None:
        host_id, target, payload = argument
        server = self._servers[target]
        match wire.decode_order(payload):
            case wire.CancelRun(_, run_id):
                server.running.discard(run_id)
            case wire.Run() as order if len(server.running) >= _SLOTS:
                server.shed += 1
                shed = wire.RunShed(_SERVICE, order.run_id, 20)
                self._after(
                    self._delay_s(),
                    self._on_shed,
                    (host_id, target, shed),
                )
            case wire.Run() as order:
                server.running.add(order.run_id)
                self._after(
                    self._rng.uniform(0.5, 1.5) * _RUN_S,
                    self._on_end,
                    (host_id, target, order),
                )

    def _on_end(self, argument: tuple[str, wire.Endpoint, wire.Run]) -> None:
        host_id, target, order = argument
        running = self._servers[target].running
        if order.run_id not in running:
            return
        running.discard(order.run_id)
        answer = wire.RunAnswer(
            _SERVICE,
            order.caller,
            order.run_id,
            0,
            1,
            b'',
        )
        self._after(
            self._delay_s(),
            self._on_answer,
            (host_id, target, answer),
        )

    def _on_answer(
        self,
        argument: tuple[str, wire.Endpoint, wire.RunAnswer],
    ) -> None:
        host_id, source, answer = argument
        plane = self._planes[host_id]
        self._act(host_id, plane.on_run_answer(source, answer, self._now_s))

    def _on_shed(
        self,
        argument: tuple[str, wire.Endpoint, wire.RunShed],
    ) -> None:
        host_id, source, shed = argument
        plane = self._planes[host_id]
        self._act(host_id, plane.on_run_shed(source, shed, self._now_s))

    def _tick(self, host_id: str) -> None:
        self._act(host_id, self._planes[host_id].tick(self._now_s))
        if self._now_s < self._scenario.end_s + 1:
            self._after(_TICK_S, self._tick, host_id)

    def _gossip(self, host_id: str) -> None:
        """Give ``host_id`` the demands that the others sent it by now."""
        peers = {
            name: PeerView(
                name,
                'harbor',
                1,
                is_leaving=False,
                is_warm=True,
                prepared_digest=0,
                demands=plane.demands(),
            )
            for name, plane in self._planes.items()
        }
        view = LiveView(host_id, peers, 0)
        self._after(self._delay_s(), self._on_view, view)
        if self._now_s < self._scenario.end_s:
            self._after(_HEARTBEAT_S, self._gossip, host_id)

    def _on_view(self, view: LiveView) -> None:
        plane = self._planes[view.self_id]
        self._act(view.self_id, plane.on_live_view(view, self._now_s))

    def _delay_s(self) -> float:
        return _DELAY_S * self._rng.uniform(0.5, 1.5)

    def _after(
        self,
        delay_s: float,
        step: _Step,
        argument: Any,
    ) -> None:
        self._at(self._now_s + delay_s, step, argument)

    def _at(
        self,
        at_s: float,
        step: _Step,
        argument: Any,
    ) -> None:
        heapq.heappush(
            self._events,
            (at_s, next(self._order), step, argument),
        )


def _make_plane(
    host_id: str,
    counters: Counters,
    mode: AdmissionMode,
    backends: tuple[BackendServer, ...],
) -> RequestPlane:
    plane = RequestPlane.from_config(
        host_id,
        1,
        counters,
        b'key',
        _AllUsable(),
        random.Random(1),
        mode,
    )
    service = _make_service(backends)
    members = PoolMembers('pool', 'lakeshore', ('harbor',), ())
    plane.configure(PoolSnapshot(members, (service,)), 0)
    return plane


def _make_service(backends: tuple[BackendServer, ...]) -> ServiceSnapshot:
    return ServiceSnapshot(
        _SERVICE,
        'lakeshore',
        wire.Endpoint('a', 1),
        2048,
        backends,
        _CLASSES,
    )


def _scenarios(phase_s: float, callers: int) -> list[_Scenario]:
    scenarios = [
        _Scenario('bulk_flood', 'bulk', 140, phase_s, phase_s, phase_s),
        _Scenario('urgent_flood', 'urgent', 140, phase_s, phase_s, phase_s),
        _Scenario('greedy_caller', 'normal', 1, phase_s, phase_s, phase_s),
        _Scenario(
            'bulk_flood_64_balancers',
            'bulk',
            140,
            phase_s,
            phase_s,
            phase_s,
            host_count=64,
        ),
        _Scenario(
            'bulk_flood_6_slots',
            'bulk',
            140,
            phase_s,
            phase_s,
            phase_s,
            server_count=2,
        ),
    ]
    return [
        dataclasses.replace(scenario, callers_of_class=callers)
        for scenario in scenarios
    ]


def main() -> None:
    """Run every scenario with every design and print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--phase-s', type=float, default=6.0)
    parser.add_argument('--design', default='')
    parser.add_argument('--callers', type=int, default=40)
    arguments = parser.parse_args()
    figures: _Json = {}
    for scenario in _scenarios(arguments.phase_s, arguments.callers):
        figures[scenario.name] = {}
        for design in _DESIGNS:
            if arguments.design not in {'', design.name}:
                continue
            model = _Model(scenario, design, arguments.seed)
            model.run()
            figures[scenario.name][design.name] = model.report()
    inputs = {
        'seed': arguments.seed,
        'phase_s': arguments.phase_s,
        'callers_of_class': arguments.callers,
        'slot_rate_per_s': round(_SLOT_RATE_PER_S, 2),
        'load_of_capacity': _LOADS,
        'flood_of_capacity': _FLOOD_RATIO,
        'guaranteed_shares': {
            each.name: each.guaranteed_share_ratio for each in _CLASSES
        },
    }
    print(json.dumps({'bench': 'overload', **inputs, 'figures': figures}))


if __name__ == '__main__':
    main()
