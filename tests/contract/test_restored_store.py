"""A reader and a host that does not read, before a store that is restored.

The store is the stand-in. After a restore it counts its revisions from those of
the copy, and gives numbers out again that hosts have seen before.
"""

import asyncio
import contextlib
import functools
import random

import testtools

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.following import StoreFollower
from currantshore.internal.entry.storereplica import StoreReplica
from currantshore.internal.mirror.core import MirrorConfig, MirrorCore
from currantshore.internal.mirror.messages import Digest
from currantshore.internal.revisions import build_revision
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.directory import Standing
from currantshore.wire import Endpoint
from standins.objectstore import Faults, ObjectStore, StoreServer

_ZONE = 'harbor'
_READER = '10.1.0.1'
_OTHER = '10.1.0.2'
_STEP_S = 0.05
_TICK_S = 0.1

# A change must be in force on all hosts within this time.
_IN_FORCE_S = 3.0


def server_spec(state='ready', zone=_ZONE, born=1, port=80):
    return {
        'service': 'dockwatch',
        'address': f'10.9.0.1:{port}',
        'zone': zone,
        'version': 'v1',
        'slots': 2,
        'state': state,
        'warmup-left-ms': 0,
        'sequence': 1,
        'born': born,
    }


def configuration_spec(version):
    return {
        'version': version,
        'routes': [],
        'limits': {'idle-timeout-ms': 15000},
    }


class RecordingLog(DecisionLog):
    """Keeps the names of the written events."""

    __slots__ = ('events',)

    def __init__(self):
        super().__init__()
        self.events = []

    def write(self, event, **fields):
        self.events.append(event)


class Host:
    """The cores of one host; messages to others are delivered by the test."""

    def __init__(self, address, seeds):
        self.address = address
        self.log = RecordingLog()
        self.steering = SteeringCore.from_config(_ZONE, 1)
        config = MirrorConfig(address, _ZONE, 100, 1, seeds, 1)
        self.mirror = MirrorCore.from_config(config, self.steering)
        self.replica = StoreReplica(self.steering, self.mirror, self.log)

    def standing(self, name):
        return self.steering.directory.get(name).standing

    def zones(self):
        return self.steering.evacuated.zones


def is_draining(name):
    return lambda host: host.standing(name) is Standing.DRAINING


class RestoredStoreTestCase(testtools.TestCase):
    """Runs a reader that the stand-in serves, and a host that hears it."""

    def run_scenario(self, scenario):
        asyncio.run(self.play(scenario))

    async def prepare(self):
        """Change the store before the hosts start."""

    async def play(self, scenario):
        self.store = ObjectStore()
        await self.store.put('config', 'main', configuration_spec(1))
        for number in range(1, 4):
            await self.store.put(
                'servers', f'i-{number}', server_spec(port=80 + number)
            )
        await self.prepare()
        server = StoreServer(self.store)
        await server.start()
        self.reader = Host(_READER, (_OTHER,))
        self.other = Host(_OTHER, (_READER,))
        self.hosts = {host.address: host for host in (self.reader, self.other)}
        for host in self.hosts.values():
            host.replica.send_announcements = self.sender(host)
        self.other.mirror.role.is_reader = False
        self.follower = StoreFollower(
            self.reader.replica,
            Endpoint('127.0.0.1', server.port),
            self.reader.log,
            random.Random(1),
        )
        tasks = [
            asyncio.ensure_future(work())
            for work in (
                self.follower.follow_backends,
                self.follower.follow_configuration,
                self.follower.follow_evacuated_zones,
                self.exchange,
            )
        ]
        await self.wait_until(lambda: len(self.servers(self.other)) == 3)
        # The first call for the evacuated zones comes after one second.
        await self.wait_until(
            lambda: self.follower.calls['evacuated_zones'] > 1
        )
        await scenario()
        for task in tasks:
            task.cancel()
        await server.stop()

    def servers(self, host):
        return host.steering.directory.entries()

    def sender(self, host):
        return lambda outgoing: self.deliver(host, outgoing)

    def deliver(self, sender, outgoing):
        loop = asyncio.get_running_loop()
        for addressed in outgoing:
            loop.call_soon(self.receive, sender, addressed)

    def receive(self, sender, addressed):
        host = self.hosts[addressed.host]
        now_s = asyncio.get_running_loop().time()
        actions = host.mirror.on_message(
            sender.address, addressed.message, now_s
        )
        self.deliver(host, actions.outgoing)
        if actions.fetch_listing_from:
            host.replica.apply_peer_listing(
                sender.mirror.listing(), sender.address
            )
        if actions.fetch_configuration_from:
            host.replica.apply_configuration(
                sender.steering.table, b'', sender.address
            )

    async def exchange(self):
        while True:
            now_s = asyncio.get_running_loop().time()
            for host in self.hosts.values():
                is_reader = host is self.reader
                actions = host.mirror.tick(
                    now_s,
                    is_served=is_reader and self.follower.is_served(),
                    is_leaving=False,
                )
                host.mirror.role.is_reader = is_reader
                self.deliver(host, actions.outgoing)
                host.steering.tick(now_s)
            self.follower.cancel_stale_calls()
            await asyncio.sleep(_TICK_S)

    async def wait_until(self, condition):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_IN_FORCE_S):
                while not condition():
                    await asyncio.sleep(_STEP_S)
        self.assertTrue(condition())

    async def wait_on_all(self, condition):
        for host in (self.reader, self.other):
            await self.wait_until(functools.partial(condition, host))

    async def replace_servers(self, count):
        """Let servers come and go, so that the revisions rise."""
        for number in range(count):
            name = f'i-{number + 16:x}'
            await self.store.put(
                'servers', name, server_spec(port=200 + number)
            )
            await self.store.remove('servers', name)

    async def wait_for_revision(self):
        await self.wait_until(
            lambda: self.other.mirror.revision >= self.store.revision
        )


class ChangesAfterRestoreTests(RestoredStoreTestCase):
    """Guards against changes that look older than what a host holds."""

    def test_a_drain_after_a_restore_reaches_a_host_that_does_not_read(self):
        async def scenario():
            copy = self.store.copy()
            await self.replace_servers(5)
            await self.wait_for_revision()
            await self.store.restore(copy)
            await self.store.put('servers', 'i-1', server_spec('draining'))
            await self.wait_on_all(is_draining('i-1'))

        self.run_scenario(scenario)

    def test_a_server_added_after_a_restore_reaches_all_hosts(self):
        async def scenario():
            copy = self.store.copy()
            await self.replace_servers(5)
            await self.wait_for_revision()
            await self.store.restore(copy)
            await self.store.put('servers', 'i-a', server_spec(port=99))
            await self.wait_on_all(lambda host: 'i-a' in self.servers(host))

        self.run_scenario(scenario)

    def test_an_evacuation_after_a_restore_is_followed_by_all_hosts(self):
        async def scenario():
            copy = self.store.copy()
            await self.replace_servers(5)
            await self.store.put('evacuations', 'eastside', {})
            await self.wait_until(lambda: self.other.zones() == {'eastside'})
            await self.store.restore(copy)
            await self.store.put('evacuations', 'eastside', {})
            await self.store.put('evacuations', _ZONE, {})
            await self.wait_on_all(
                lambda host: host.zones() == {'eastside', _ZONE}
            )

        self.run_scenario(scenario)

    def test_a_second_restore_is_followed_like_the_first(self):
        async def scenario():
            copy = self.store.copy()
            for number in (1, 2):
                await self.replace_servers(5)
                await self.store.restore(copy)
                await self.store.put(
                    'servers', f'i-{number}', server_spec('draining')
                )
                await self.wait_on_all(is_draining(f'i-{number}'))

        self.run_scenario(scenario)


class ReusedRevisionTests(RestoredStoreTestCase):
    """Guards against a watch that goes on from a revision given out twice."""

    async def restore_unseen(self, write_last):
        """Restore the store while it answers nobody, and reuse revisions.

        ``write_last`` writes at a revision that the reader has seen before.
        """
        copy = self.store.copy()
        await self.store.put('config', 'main', configuration_spec(2))
        await self.store.put('evacuations', 'millrace', {})
        await self.replace_servers(5)
        await self.wait_for_revision()
        await self.wait_until(lambda: self.other.zones() == {'millrace'})
        await self.wait_until(lambda: self.other.steering.table.version == 2)
        self.store.faults = Faults(refuse_status=503)
        await self.store.restore(copy)
        await write_last()
        await self.replace_servers(8)
        self.store.faults = Faults()

    def test_a_configuration_with_a_reused_revision_is_read(self):
        async def scenario():
            await self.restore_unseen(
                lambda: self.store.put('config', 'main', configuration_spec(3))
            )
            await self.wait_on_all(
                lambda host: host.steering.table.version == 3
            )

        self.run_scenario(scenario)

    def test_a_drain_with_a_reused_revision_is_read(self):
        async def scenario():
            await self.restore_unseen(
                lambda: self.store.put(
                    'servers', 'i-2', server_spec('draining')
                )
            )
            await self.wait_on_all(is_draining('i-2'))

        self.run_scenario(scenario)

    def test_an_evacuation_with_a_reused_revision_is_read(self):
        async def scenario():
            await self.restore_unseen(
                lambda: self.store.put('evacuations', 'eastside', {})
            )
            await self.wait_on_all(lambda host: host.zones() == {'eastside'})

        self.run_scenario(scenario)


class SilenceAfterRestoreTests(RestoredStoreTestCase):
    """Guards against watches that are cancelled again and again."""

    def test_no_watch_counts_as_silent_for_a_revision_of_before(self):
        async def scenario():
            copy = self.store.copy()
            await self.replace_servers(5)
            await self.wait_for_revision()
            # The reader has learned of the last changes from another host.
            self.reader.mirror.peer_revision = self.reader.mirror.revision
            await self.store.restore(copy)
            await asyncio.sleep(_IN_FORCE_S)
            self.assertNotIn('watch_silent', self.reader.log.events)
            self.assertTrue(self.follower.is_served())

        self.run_scenario(scenario)

    def test_a_wrong_report_of_a_restore_costs_one_listing(self):
        async def scenario():
            before = self.follower.calls.total()
            wrong = Digest(_ZONE, 100, 1, build_revision(7, 1), (), ())
            now_s = asyncio.get_running_loop().time()
            self.reader.mirror.on_message(_OTHER, wrong, now_s)
            await asyncio.sleep(_IN_FORCE_S)
            # Each subject lists once, and then watches for 2.4 s.
            self.assertLess(self.follower.calls.total() - before, 12)

        self.run_scenario(scenario)

    def test_no_watch_counts_as_silent_for_a_version_that_was_lost(self):
        # A host that has just become a reader knows the version only from
        # other hosts.
        async def scenario():
            self.reader.mirror.newest_version = 5
            copy = self.store.copy()
            await self.replace_servers(5)
            await self.store.restore(copy)
            await asyncio.sleep(_IN_FORCE_S)
            silent = self.reader.log.events.count('watch_silent')
            self.assertLessEqual(silent, 1)
            self.assertTrue(self.follower.is_served())

        self.run_scenario(scenario)


class StartAfterRestoreTests(RestoredStoreTestCase):
    """Guards against calls that a host repeats when it starts."""

    async def prepare(self):
        await self.store.restore(self.store.copy())

    def test_a_start_after_a_restore_lists_each_kind_once(self):
        async def scenario():
            self.assertNotIn('history_lost', self.reader.log.events)
            self.assertEqual(1, self.reader.log.events.count('store_restored'))

        self.run_scenario(scenario)
