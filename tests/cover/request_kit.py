"""Helpers for tests of one request plane with a small service."""

import random

from currantshore import wire
from currantshore.internal import hashing
from currantshore.internal.counters import Counters
from currantshore.internal.events import SendToBackend, SendToCaller
from currantshore.internal.requests.requestplane import RequestPlane
from currantshore.internal.snapshot import (
    BackendServer,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)
from currantshore.internal.tokens import FlowToken
from currantshore.internal.views import LiveView, PeerView

SERVICE = 'dockwatch'
CALLER = wire.Endpoint('10.0.0.1', 4000)
FLOW = hashing.flow_key(SERVICE, CALLER)
SLOTS = 3
BACKENDS = tuple(
    BackendServer(f'dw-{n}', 'harbor', wire.Endpoint('10.1.0.1', n), 1)
    for n in range(SLOTS)
)
_NOWHERE = wire.Endpoint('', 0)


class FixedHealth:
    """Health verdicts set by a test."""

    def __init__(self, bad=(), ratio=1.0):
        self.bad = set(bad)
        self.ratio = ratio
        self.failures = []

    def is_usable(self, backend_id):
        return backend_id not in self.bad

    def weight_ratio(self, backend_id):
        return self.ratio

    def record_success(self, backend_id, now_s):
        """Do nothing."""

    def record_failure(self, backend_id, now_s):
        self.failures.append(backend_id)


def make_pool(backends=BACKENDS, hosts=(), **fields):
    service = ServiceSnapshot(
        SERVICE,
        'lakeshore',
        wire.Endpoint('10.9.0.1', 1),
        2048,
        backends,
        (PriorityClass('urgent', 0, 0.2), PriorityClass('bulk', 1, 0.2)),
        **fields,
    )
    members = PoolMembers(
        'pool',
        'lakeshore',
        ('harbor',),
        tuple(PoolHost(name, 'harbor', _NOWHERE, _NOWHERE) for name in hosts),
    )
    return PoolSnapshot(members, (service,))


def make_plane(host_id='a', live=('a',), health=None, **fields):
    plane = RequestPlane.from_config(
        host_id,
        1,
        Counters(),
        b'key',
        health or FixedHealth(),
        random.Random(1),
    )
    plane.configure(make_pool(**fields), 0)
    plane.on_live_view(make_view(host_id, dict.fromkeys(live, 1)), 0)
    return plane


def make_view(host_id, incarnations, successors=None):
    peers = {
        name: PeerView(
            name,
            'harbor',
            incarnation,
            False,
            True,
            0,
            {},
            (successors or {}).get(name, ''),
        )
        for name, incarnation in incarnations.items()
    }
    return LiveView(host_id, peers, 0)


def make_token(executor='a', incarnation=1, first=1):
    return FlowToken(SERVICE, 'dw-0', executor, incarnation, first)


def make_request(request_id, **fields):
    values = {
        'attempt': 1,
        'priority_class': 'urgent',
        'is_repeatable': False,
        'deadline_ms': 1000,
        'payload': b'x',
        'token': b't',
        **fields,
    }
    return wire.Request(request_id, **values)


def send(plane, request_id=1, token=None, now_s=0, caller=CALLER, **fields):
    request = make_request(request_id, **fields)
    return plane.on_request(
        SERVICE,
        caller,
        hashing.flow_key(SERVICE, caller),
        token or make_token(),
        request,
        wire.encode(request),
        now_s,
    )


def cancel(plane, request_id=1, token=None, now_s=0):
    message = wire.Cancel(request_id, b't')
    return plane.on_cancel(
        SERVICE,
        CALLER,
        FLOW,
        token or make_token(),
        message,
        wire.encode(message),
        now_s,
    )


def orders(actions):
    return [
        wire.decode_order(action.payload)
        for action in actions
        if isinstance(action, SendToBackend)
    ]


def runs(actions):
    return [each for each in orders(actions) if isinstance(each, wire.Run)]


def target(actions):
    return next(
        action.target for action in actions if isinstance(action, SendToBackend)
    )


def replies(actions):
    return [
        wire.decode_from_balancer(action.payload)
        for action in actions
        if isinstance(action, SendToCaller)
    ]


def codes(actions):
    return [
        message.code
        for message in replies(actions)
        if isinstance(message, wire.Refusal)
    ]


def answer(plane, sent, part=0, parts=1, payload=b'y', now_s=0, **fields):
    """Answer the first run ordered by the actions ``sent``."""
    run = runs(sent)[0]
    values = {
        'service_id': SERVICE,
        'caller': run.caller,
        'run_id': run.run_id,
        **fields,
    }
    source = values.pop('source', target(sent))
    reply = wire.RunAnswer(part=part, parts=parts, payload=payload, **values)
    return plane.on_run_answer(source, reply, now_s)


def shed(plane, sent, now_s=0):
    run = runs(sent)[0]
    message = wire.RunShed(SERVICE, run.run_id, 7)
    return plane.on_run_shed(target(sent), message, now_s)


def pass_time(plane, start_s, end_s):
    """Tick often enough that the process does not count as paused."""
    actions = []
    now_s = start_s
    while now_s < end_s:
        now_s = min(now_s + 0.5, end_s)
        actions.extend(plane.tick(now_s))
    return actions
