"""The circuits root on an asyncio loop, the sockets and the paused loop."""

import asyncio

import testtools
from circuits import Component, Event, handler

from currantshore.internal.process.datagrams import (
    BATCH_LIMIT,
    BatchSocket,
    Datagrams,
)
from currantshore.internal.process.runtime import LoopRoot
from currantshore.wire import Endpoint
from tests.cover.paused import PausedLoop

_LOOPBACK = Endpoint('127.0.0.1', 0)


class Ping(Event):
    name = 'ping'


class Listener(Component):
    channel = 'listener'

    def __init__(self):
        self.seen = []
        super().__init__()

    @handler('ping')
    def on_ping(self, number, chain=0):
        if number < 0:
            raise ValueError(number)
        self.seen.append(number)
        if chain:
            self.fire(Ping(number + 1, chain - 1), 'listener')


class LoopRootTests(testtools.TestCase):
    """Guards against events that wait for circuits' own loop."""

    def setUp(self):
        super().setUp()
        self.loop = PausedLoop()
        self.addCleanup(self.loop.close)
        self.faults = []
        self.root = LoopRoot.from_loop(
            self.loop, lambda error, name: self.faults.append((error, name))
        )
        self.listener = Listener().register(self.root)

    def test_a_fired_event_is_handled_on_the_next_turn_of_the_loop(self):
        self.root.fire(Ping(1), 'listener')
        self.assertEqual([], self.listener.seen)
        self.loop.run(self.loop.settle())
        self.assertEqual([1], self.listener.seen)

    def test_events_keep_their_order(self):
        for number in range(50):
            self.root.fire(Ping(number), 'listener')
        self.loop.run(self.loop.settle())
        self.assertEqual(list(range(50)), self.listener.seen)

    def test_an_event_fired_by_a_handler_is_handled_too(self):
        self.root.fire(Ping(1, 3), 'listener')
        self.loop.run(self.loop.settle())
        self.assertEqual([1, 2, 3, 4], self.listener.seen)

    def test_a_failing_handler_is_reported_and_the_next_event_handled(self):
        self.root.fire(Ping(-1), 'listener')
        self.root.fire(Ping(2), 'listener')
        self.loop.run(self.loop.settle())
        self.assertEqual([2], self.listener.seen)
        self.assertEqual(['ping'], [name for _, name in self.faults])
        self.assertIsInstance(self.faults[0][0], ValueError)

    def test_flush_now_handles_chains_before_it_returns(self):
        self.root.fire(Ping(1, 2), 'listener')
        self.root.flush_now()
        self.assertEqual([1, 2, 3], self.listener.seen)


class BatchSocketTests(testtools.TestCase):
    """Guards against lost datagrams and against one event per datagram."""

    def setUp(self):
        super().setUp()
        self.loop = PausedLoop()
        self.addCleanup(self.loop.close)

    def test_datagrams_arrive_in_batches_and_in_order(self):
        batches = self.loop.run(self._exchange(100))
        payloads = [payload for batch in batches for payload, _ in batch]
        self.assertEqual([b'%d' % number for number in range(100)], payloads)
        self.assertEqual(BATCH_LIMIT, len(batches[0]))

    def test_a_bad_target_is_counted_and_does_not_raise(self):
        sender = self.loop.run(self._send_to(Endpoint('127.0.0.1', 70000)))
        self.assertEqual((0, 1), (sender.sent, sender.failed_sends))

    async def _exchange(self, count):
        batches = []
        receiver = BatchSocket.open_at(self.loop, _LOOPBACK, batches.append)
        sender = BatchSocket.open_at(self.loop, _LOOPBACK, batches.append)
        for number in range(count):
            sender.send(b'%d' % number, receiver.address)
        owners = [
            self.loop.create_task(one.run_until_closed())
            for one in (receiver, sender)
        ]
        await self.loop.settle()
        for one in (receiver, sender):
            one.close()
        await asyncio.gather(*owners)
        return batches

    async def _send_to(self, target):
        sender = BatchSocket.open_at(self.loop, _LOOPBACK, print)
        sender.send(b'x', target)
        sender.close()
        await sender.run_until_closed()
        return sender


class PausedLoopTests(testtools.TestCase):
    """Guards against tests that depend on real time."""

    def test_timers_run_only_when_the_clock_is_advanced(self):
        loop = PausedLoop()
        self.addCleanup(loop.close)
        self.assertEqual(([], ['early', 'late']), loop.run(self._timers(loop)))

    async def _timers(self, loop):
        seen = []
        loop.call_later(5, seen.append, 'late')
        loop.call_later(1, seen.append, 'early')
        await loop.settle()
        before = list(seen)
        await loop.advance(6, step_s=0.5)
        return before, seen


class DatagramsTests(testtools.TestCase):
    """Guards against a service that keeps its old address after a change."""

    def setUp(self):
        super().setUp()
        self.loop = PausedLoop()
        self.addCleanup(self.loop.close)

    def test_a_changed_address_opens_another_socket(self):
        first, second, again = self.loop.run(self._readdress())
        self.assertNotEqual(first, second)
        self.assertEqual(second, again)

    def test_a_batch_names_its_service(self):
        seen = self.loop.run(self._receive())
        self.assertEqual([('dockwatch', b'one'), ('dockwatch', b'two')], seen)

    async def _readdress(self):
        datagrams = Datagrams.from_addresses(self.loop, _LOOPBACK, _LOOPBACK)
        seen = []
        for host in ('127.0.0.1', '127.0.0.2', '127.0.0.2'):
            datagrams.open_service('dockwatch', Endpoint(host, 0))
            seen.append(datagrams.services['dockwatch'].address)
        await datagrams.close()
        return seen

    async def _receive(self):
        root = LoopRoot.from_loop(self.loop, print)
        collector = Collector().register(root)
        datagrams = Datagrams.from_addresses(self.loop, _LOOPBACK, _LOOPBACK)
        datagrams.register(root)
        datagrams.open_service('dockwatch', _LOOPBACK)
        target = datagrams.services['dockwatch'].address
        for payload in (b'one', b'two'):
            datagrams.backend.send(payload, target)
        await self.loop.settle()
        await datagrams.close()
        return collector.seen


class Collector(Component):
    channel = 'core'

    def __init__(self):
        self.seen = []
        super().__init__()

    @handler('caller_batch')
    def on_caller_batch(self, service_id, batch):
        self.seen += [(service_id, payload) for payload, _ in batch]
