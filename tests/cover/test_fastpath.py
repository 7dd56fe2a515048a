"""Compares the path for batches with the path for single packets."""

import msgspec
import testtools

from currantshore import wire
from currantshore.core import BalancerCore, CoreConfig
from currantshore.internal.counters import Count
from currantshore.internal.events import CallerDatagram, ConfigurationChanged
from currantshore.internal.snapshot import BackendState
from currantshore.wire import Endpoint
from standins import users

_SERVICE = 'dockwatch'


def build_core(pool):
    host = pool.members.hosts[0]
    config = CoreConfig(host.host_id, host.zone, 1, b'k' * 32)
    core = BalancerCore.from_config(config)
    core.handle(ConfigurationChanged(pool), 0)
    return core


def with_state(pool, state):
    services = tuple(
        msgspec.structs.replace(
            service,
            version=service.version + 1,
            backend_servers=tuple(
                msgspec.structs.replace(server, state=state)
                for server in service.backend_servers
            ),
        )
        for service in pool.services
    )
    return msgspec.structs.replace(pool, services=services)


class ForwardKnownTests(testtools.TestCase):
    """Guards against a batch path that decides differently."""

    def setUp(self):
        super().setUp()
        self.pool = users.lakeshore(1)
        self.core = build_core(self.pool)
        self.batch = [
            (b'packet %d' % port, ('10.0.0.1', port))
            for port in range(2000, 2064)
        ]

    def handle(self, payload, source):
        return self.core.handle(
            CallerDatagram(_SERVICE, Endpoint(*source), payload), 1
        )

    def open_all(self):
        for payload, source in self.batch:
            self.handle(payload, source)

    def test_it_sends_what_the_single_path_sends(self):
        self.open_all()
        single = [
            (action.payload, (action.target.host, action.target.port))
            for payload, source in self.batch
            for action in self.handle(payload, source)
        ]
        before = self.core.counters.counts[Count.PACKETS_FORWARDED]
        sends, rest = self.core.forward_known(_SERVICE, self.batch)
        after = self.core.counters.counts[Count.PACKETS_FORWARDED]
        self.assertEqual(single, sends)
        self.assertEqual([], rest)
        self.assertEqual(len(single), after - before)

    def test_unknown_flows_are_left_over_in_order(self):
        sends, rest = self.core.forward_known(_SERVICE, self.batch)
        self.assertEqual(([], self.batch), (sends, rest))

    def test_framed_and_oversized_datagrams_are_left_over(self):
        self.open_all()
        source = self.batch[0][1]
        framed = wire.encode(wire.Data(b'x'))
        oversized = b'x' * (wire.MAX_DATAGRAM_SIZE_BYTES + 1)
        batch = [(framed, source), (oversized, source)]
        self.assertEqual(([], batch), self.core.forward_known(_SERVICE, batch))

    def test_flows_of_a_removed_backend_server_are_left_over(self):
        self.open_all()
        removed = with_state(self.pool, BackendState.REMOVED)
        self.core.handle(ConfigurationChanged(removed), 2)
        sends, rest = self.core.forward_known(_SERVICE, self.batch)
        self.assertEqual(([], self.batch), (sends, rest))

    def test_an_unknown_service_is_left_over(self):
        self.open_all()
        self.assertEqual(
            ([], self.batch), self.core.forward_known('other', self.batch)
        )
