"""Tests of the flow plane of one balancer without peers."""

import random

import testtools

from currantshore import wire
from currantshore.codes import DropReason
from currantshore.internal.counters import Counters
from currantshore.internal.events import SendToBackend, SendToCaller
from currantshore.internal.flows.flowplane import FlowPlane
from currantshore.internal.hashing import flow_key
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    PoolMembers,
    PoolSnapshot,
    ServiceSnapshot,
)
from currantshore.internal.tokens import TokenSealer
from currantshore.wire import Endpoint

_CALLER = Endpoint('127.0.0.9', 4000)


class Health:
    """Health verdicts that a test sets."""

    def __init__(self):
        self.lost = set()

    def is_usable(self, backend_id):
        return backend_id not in self.lost

    def weight_ratio(self, backend_id):
        return 1.0

    def record_success(self, backend_id, now_s):
        """Ignore the outcome."""

    def record_failure(self, backend_id, now_s):
        """Ignore the outcome."""


def backend(name, port, state=BackendState.ACTIVE):
    return BackendServer(
        name, 'harbor', Endpoint('127.0.0.2', port), 3, 9, state
    )


def service(name, backends, **more):
    return ServiceSnapshot(
        name,
        'user',
        Endpoint('127.0.0.1', 1),
        16384,
        tuple(backends),
        (),
        **more,
    )


def pool(*services):
    return PoolSnapshot(PoolMembers('p', 'user', ('harbor',), ()), services)


class FlowPlaneTests(testtools.TestCase):
    """Guards against packets that reach the wrong server or caller."""

    def setUp(self):
        super().setUp()
        self.counters = Counters()
        self.health = Health()
        self.sealer = TokenSealer(b'key')
        self.plane = FlowPlane.from_config(
            'h1',
            self.counters,
            self.sealer,
            b'key',
            7,
            self.health,
            random.Random(1),
        )
        self.first = [backend(f'a{num}', 100 + num) for num in range(3)]
        self.second = [backend('b0', 200)]
        self.plane.configure(
            pool(service('a', self.first), service('b', self.second)), 0.0
        )
        self.key = flow_key('a', _CALLER)

    def send(self, token=None):
        return self.plane.on_payload('a', _CALLER, self.key, b'x', token, 1.0)

    def test_a_flow_keeps_its_backend_server(self):
        targets = {self.send()[0].target for _ in range(5)}
        self.assertEqual(1, len(targets))

    def test_a_payload_carries_the_caller_and_the_service(self):
        action = self.send()[0]
        self.assertEqual(
            wire.Forwarded('a', _CALLER, b'x'),
            wire.decode_order(action.payload),
        )

    def test_an_opened_token_names_the_backend_server_of_later_packets(self):
        action = self.plane.on_open('a', _CALLER, self.key, 1, 0.0)[0]
        sealed = wire.decode_from_balancer(action.payload).token
        token = self.sealer.unseal(sealed, self.key, 'a')
        target = self.send(token)[0].target
        named = [
            server
            for server in self.first
            if server.backend_id == token.backend_id
        ]
        self.assertEqual(named[0].endpoint, target)

    def test_downstream_bytes_of_an_opaque_flow_arrive_unchanged(self):
        source = self.send()[0].target
        message = wire.Downstream('a', _CALLER, b'y')
        self.assertEqual(
            [SendToCaller('a', _CALLER, b'y')],
            self.plane.on_downstream(source, message, 1.0),
        )

    def test_a_backend_server_of_another_service_reaches_no_caller(self):
        message = wire.Downstream('a', _CALLER, b'y')
        source = self.second[0].endpoint
        self.assertEqual([], self.plane.on_downstream(source, message, 1.0))
        self.assertEqual(1, self.counters.drops[DropReason.SERVICE_MISMATCH])

    def test_an_unknown_source_reaches_no_caller(self):
        message = wire.Downstream('a', _CALLER, b'y')
        source = Endpoint('127.0.0.3', 1)
        self.assertEqual([], self.plane.on_downstream(source, message, 1.0))
        self.assertEqual(
            1, self.counters.drops[DropReason.UNKNOWN_BACKEND_SERVER]
        )

    def test_a_flow_of_a_lost_backend_server_goes_to_another(self):
        before = self.send()[0].target
        lost = [server for server in self.first if server.endpoint == before]
        self.health.lost.add(lost[0].backend_id)
        action = self.send()[0]
        self.assertIsInstance(action, SendToBackend)
        self.assertNotEqual(before, action.target)
