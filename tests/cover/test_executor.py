"""Requests at their executor: at most once, answers and relays."""

import random

import testtools

from currantshore import wire
from currantshore.internal import hashing, peerwire
from currantshore.internal.counters import Counters
from currantshore.internal.events import SendToBackend, SendToCaller, SendToPeer
from currantshore.internal.requestplane import RequestPlane
from currantshore.internal.snapshot import (
    BackendServer,
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
BACKENDS = tuple(
    BackendServer(f'dw-{n}', 'harbor', wire.Endpoint('10.1.0.1', n), 3)
    for n in (1, 2, 3)
)


class AllUsable:
    def is_usable(self, backend_id):
        return True

    def weight_ratio(self, backend_id):
        return 1.0

    def record_success(self, backend_id, now_s):
        """Ignore it."""

    def record_failure(self, backend_id, now_s):
        """Ignore it."""


def make_pool():
    service = ServiceSnapshot(
        SERVICE,
        'lakeshore',
        wire.Endpoint('10.9.0.1', 1),
        2048,
        BACKENDS,
        (PriorityClass('urgent', 0, 0.2), PriorityClass('bulk', 1, 0.2)),
    )
    members = PoolMembers('pool', 'lakeshore', ('harbor',), ())
    return PoolSnapshot(members, (service,))


def make_plane(host_id='a', live=('a', 'b'), incarnation=1):
    plane = RequestPlane.from_config(
        host_id,
        incarnation,
        Counters(),
        b'key',
        AllUsable(),
        random.Random(1),
    )
    plane.configure(make_pool(), 0)
    plane.on_live_view(make_view(host_id, live), 0)
    return plane


def make_view(host_id, live):
    peers = {
        name: PeerView(name, 'harbor', 1, False, True, 0, {}) for name in live
    }
    return LiveView(host_id, peers, 0)


def make_token(executor='a', incarnation=1, first=1):
    return FlowToken(SERVICE, 'dw-1', executor, incarnation, first)


def send(plane, request_id=1, token=None, now_s=0, **fields):
    values = {
        'attempt': 1,
        'priority_class': 'urgent',
        'is_repeatable': False,
        'deadline_ms': 1000,
        'payload': b'x',
        'token': b't',
        **fields,
    }
    request = wire.Request(request_id, **values)
    return plane.on_request(
        SERVICE,
        CALLER,
        FLOW,
        token or make_token(),
        request,
        wire.encode(request),
        now_s,
    )


def runs(actions):
    orders = [
        wire.decode_order(action.payload)
        for action in actions
        if isinstance(action, SendToBackend)
    ]
    return [order for order in orders if isinstance(order, wire.Run)]


def told(actions):
    return [
        wire.decode_from_balancer(action.payload)
        for action in actions
        if isinstance(action, SendToCaller)
    ]


def answer(plane, run, part=0, parts=1, payload=b'y', now_s=0):
    reply = wire.RunAnswer(SERVICE, CALLER, run.run_id, part, parts, payload)
    return plane.on_run_answer(BACKENDS[0].endpoint, reply, now_s)


class FirstRunTests(testtools.TestCase):
    """Guards against lost or repeated runs in the plainest cases."""

    def test_the_named_executor_runs_and_answers(self):
        plane = make_plane()
        run = runs(send(plane))[0]
        reply = told(answer(plane, run))[0]
        self.assertEqual((1, b'y'), (reply.request_id, reply.payload))
        self.assertTrue(plane.is_idle())

    def test_another_balancer_relays(self):
        relay = send(make_plane('b'))[0]
        self.assertIsInstance(relay, SendToPeer)
        message = peerwire.unseal(relay.payload, b'key')
        request = wire.decode_from_caller(message.datagram)
        plane = make_plane()
        actions = plane.on_relayed(message, make_token(), request, 0)
        self.assertEqual(1, len(runs(actions)))

    def test_a_lost_executor_is_never_reported_as_not_run(self):
        refusal = told(send(make_plane('b', live=('b',))))[0]
        self.assertEqual(202, refusal.code)
