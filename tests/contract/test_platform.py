"""The object API client against the stand-in over loopback."""

import asyncio
import contextlib
import random

import aiohttp
import testtools

from currantshore.codes import RetryReason
from currantshore.errors import (
    InvalidArgumentError,
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from currantshore.internal.counters import Counters
from currantshore.internal.objectapi.objects import (
    MAX_VALUE_SIZE_BYTES,
    PlatformHost,
)
from currantshore.internal.objectapi.platform import PlatformClient
from standins.platform import Faults, PlatformStandin

_KEY = 'pools/lakeshore/services/dockwatch'


class _NoAnswerClient(PlatformClient):
    """Loses the answer to every write."""

    async def put_if(self, key, value, version, writer):
        with contextlib.suppress(PlatformError):
            await super().put_if(key, value, version, writer)
        raise PlatformUnavailableError(key)


class _Case(testtools.TestCase):
    """Runs a scenario with a client and a stand-in on a free port."""

    def run_scenario(self, scenario, faults=None, **config):
        async def run():
            standin = PlatformStandin()
            standin.set_faults(faults or Faults())
            await standin.start()
            client = PlatformClient.from_config(
                standin.url,
                rng=random.Random(1),
                backoff_s=0.001,
                **config,
            )
            async with client:
                await scenario(client, standin)
            await standin.stop()

        asyncio.run(run())


class ConditionalWriteTests(_Case):
    """Guards against one operator's write silently replacing another's."""

    def test_an_object_is_created_read_and_replaced(self):
        async def scenario(client, _standin):
            first = await client.put_if(_KEY, b'{"a":1}', 0, 'w1')
            second = await client.put_if(_KEY, b'{"a":2}', first, 'w2')
            found = await client.get(_KEY)
            self.assertGreater(second, first)
            self.assertEqual((second, 'w2'), (found.version, found.writer))
            self.assertEqual(b'{"a":2}', bytes(found.value))

        self.run_scenario(scenario)

    def test_a_write_against_an_old_version_is_refused(self):
        async def scenario(client, standin):
            first = await client.put_if(_KEY, b'1', 0, 'w1')
            await client.put_if(_KEY, b'2', first, 'w2')
            results = await asyncio.gather(
                client.put_if(_KEY, b'3', 0, 'w3'),
                client.put_if(_KEY, b'3', first, 'w3'),
                return_exceptions=True,
            )
            kinds = {type(one) for one in results}
            self.assertEqual({VersionConflictError}, kinds)
            self.assertEqual(2, standin.calls['conflict'])

        self.run_scenario(scenario)

    def test_a_version_rises_when_an_object_is_created_again(self):
        async def scenario(client, _standin):
            first = await client.put_if(_KEY, b'1', 0, 'w1')
            await client.delete_if(_KEY, first, 'w2')
            self.assertIsNone(await client.get(_KEY))
            again = await client.put_if(_KEY, b'1', 0, 'w3')
            self.assertGreater(again, first)

        self.run_scenario(scenario)

    def test_a_value_of_one_megabyte_fits_and_a_larger_one_is_refused(self):
        async def scenario(client, _standin):
            text = 'x' * (MAX_VALUE_SIZE_BYTES - 2)
            largest = f'"{text}"'.encode()
            await client.put_if(_KEY, largest, 0, 'w1')
            found = await client.get(_KEY)
            self.assertEqual(MAX_VALUE_SIZE_BYTES, len(bytes(found.value)))
            with testtools.ExpectedException(InvalidArgumentError):
                await client.put_if(_KEY, b'%b ' % largest, 1, 'w2')

        self.run_scenario(scenario)

    def test_a_listing_has_the_objects_below_the_prefix(self):
        async def scenario(client, _standin):
            await asyncio.gather(
                client.put_if('pools/a/members', b'1', 0, 'w1'),
                client.put_if('pools/b/members', b'1', 0, 'w2'),
                client.put_if('status/a', b'1', 0, 'w3'),
            )
            listing = await client.list_objects('pools/')
            keys = [found.key for found in listing.objects]
            self.assertEqual(['pools/a/members', 'pools/b/members'], keys)
            self.assertEqual(3, listing.revision)

        self.run_scenario(scenario)


class LostAnswerTests(_Case):
    """Guards against writing twice or reporting a false conflict."""

    def test_a_write_with_lost_answers_is_written_once(self):
        async def scenario(client, standin):
            written = await client.put_with_retry(_KEY, b'1', 0, 'w1')
            self.assertEqual(1, standin.table.revision)
            self.assertEqual((1, ''), (written.version, written.overwritten_by))

        for lost in (1, 2, 3):
            self.run_scenario(scenario, faults=Faults(lose_answers=lost))

    def test_a_write_that_never_arrived_is_retried(self):
        async def scenario(client, standin):
            written = await client.put_with_retry(_KEY, b'1', 0, 'w1')
            self.assertEqual((1, 0), (written.version, standin.lose_writes))

        for lost in (1, 2, 3):
            self.run_scenario(scenario, faults=Faults(lose_writes=lost))

    def test_a_write_succeeds_when_no_write_is_ever_answered(self):
        async def scenario(_client, standin):
            client = _NoAnswerClient.from_config(standin.url, backoff_s=0.001)
            async with client:
                written = await client.put_with_retry(_KEY, b'1', 0, 'w1')
            self.assertEqual(1, written.version)

        self.run_scenario(scenario)

    def test_an_accepted_write_that_was_overwritten_is_recognized(self):
        async def scenario(client, standin):
            with contextlib.suppress(PlatformError):
                await client.put_if(_KEY, b'1', 0, 'w1')
            found = await client.get(_KEY)
            await client.put_with_retry(_KEY, b'2', found.version, 'w2', found)
            recognized = await client.put_with_retry(_KEY, b'1', 0, 'w1')
            self.assertEqual('w2', recognized.overwritten_by)
            self.assertEqual(2, standin.table.revision)

        self.run_scenario(scenario, faults=Faults(lose_answers=1))

    def test_a_race_has_one_winner_although_answers_are_lost(self):
        async def scenario(client, standin):
            results = await asyncio.gather(
                *(
                    client.put_with_retry(_KEY, b'1', 0, f'w{number}')
                    for number in range(6)
                ),
                return_exceptions=True,
            )
            refused = [
                one for one in results if isinstance(one, VersionConflictError)
            ]
            self.assertEqual(5, len(refused))
            self.assertEqual(1, standin.table.revision)

        self.run_scenario(scenario, faults=Faults(lose_answers=3))


class OutageTests(_Case):
    """Guards against endless, uncounted or synchronized retries."""

    def test_reads_end_after_the_last_attempt_and_retries_are_counted(self):
        counters = Counters()

        async def scenario(client, standin):
            standin.set_faults(Faults(outage=True))
            results = await asyncio.gather(
                client.get(_KEY),
                client.list_objects(''),
                return_exceptions=True,
            )
            kinds = {type(one) for one in results}
            self.assertEqual({PlatformUnavailableError}, kinds)
            # Calls that the HTTP library repeats count as well.
            made = standin.calls['get'] + standin.calls['list']
            self.assertGreaterEqual(made, 6)
            self.assertEqual(
                made - 2, counters.retries[RetryReason.PLATFORM_UNAVAILABLE]
            )

        self.run_scenario(scenario, counters=counters, attempts=3)

    def test_a_read_succeeds_when_the_outage_ends(self):
        async def scenario(client, standin):
            await client.put_if(_KEY, b'1', 0, 'w1')
            standin.set_faults(Faults(outage=True))
            reading = asyncio.create_task(client.get(_KEY))
            while standin.calls['get'] < 2:
                await asyncio.sleep(0)
            standin.set_faults(Faults(outage=False))
            found = await reading
            self.assertEqual('w1', found.writer)

        self.run_scenario(scenario, attempts=20)

    def test_a_platform_slower_than_the_timeout_is_unavailable(self):
        async def scenario(client, standin):
            standin.set_faults(Faults(slow_ms=60_000))
            with testtools.ExpectedException(PlatformUnavailableError):
                await client.get(_KEY)

        self.run_scenario(scenario, attempts=2, timeout_s=0.02)

    def test_unusable_settings_are_refused(self):
        cases = (
            ('ftp://x', {}),
            ('http://x', {'timeout_s': 0}),
            ('http://x', {'attempts': 0}),
        )
        for url, config in cases:
            with testtools.ExpectedException(InvalidArgumentError):
                PlatformClient.from_config(url, **config)


class WatchTests(_Case):
    """Guards against changes that a watch misses."""

    def test_a_waiting_watch_returns_at_the_next_change(self):
        async def scenario(client, standin):
            watching = asyncio.create_task(client.watch('pools/', 0, 30))
            while not standin.waiting:
                await asyncio.sleep(0)
            await client.put_if('other', b'1', 0, 'w0')
            await client.put_if(_KEY, b'1', 0, 'w1')
            seen = await watching
            self.assertEqual(2, seen.revision)
            self.assertEqual([_KEY], [one.key for one in seen.changes])
            self.assertEqual(1, standin.calls['watch'])

        self.run_scenario(scenario)

    def test_a_late_watch_sees_the_last_state_and_deletions(self):
        async def scenario(client, _standin):
            first = await client.put_if(_KEY, b'1', 0, 'w1')
            await client.delete_if(_KEY, first, 'w2')
            seen = await client.watch('', 0, 30)
            self.assertEqual(
                [(2, True)],
                [(one.version, one.is_deleted) for one in seen.changes],
            )
            nothing = await client.watch('', seen.revision, 0.01)
            self.assertEqual((), nothing.changes)

        self.run_scenario(scenario)

    def test_an_outage_breaks_a_waiting_watch(self):
        async def scenario(client, standin):
            watching = asyncio.create_task(client.watch('', 0, 30))
            while not standin.waiting:
                await asyncio.sleep(0)
            standin.set_faults(Faults(outage=True))
            with testtools.ExpectedException(PlatformUnavailableError):
                await watching
            self.assertEqual(0, standin.waiting)

        self.run_scenario(scenario)


class HostListTests(_Case):
    """Guards against a list of hosts that is assumed to be current."""

    def test_the_list_changes_only_after_its_delay(self):
        async def scenario(client, standin):
            body = {
                'hosts': [{'host_id': 'h1', 'zone': 'z', 'state': 'leaving'}],
                'lag_ms': 60_000,
            }
            async with aiohttp.ClientSession(standin.url) as session:
                await session.put('/hosts', json=body)
                self.assertEqual((), await client.hosts())
                await session.put('/hosts', json=body | {'lag_ms': 0})
            while not standin.hosts:
                await asyncio.sleep(0)
            expected = (PlatformHost('h1', 'z', 'leaving'),)
            self.assertEqual(expected, await client.hosts())

        self.run_scenario(scenario)

    def test_calls_and_faults_are_served_over_http(self):
        async def scenario(client, standin):
            await client.hosts()
            async with aiohttp.ClientSession(standin.url) as session:
                answer = await session.get('/calls')
                self.assertEqual(1, (await answer.json())['hosts'])
                body = {'slow_ms': 1, 'lose_answers': 0}
                await session.post('/faults', json=body)
                self.assertEqual(1, standin.slow_ms)
                bad = {'earthquake': True}
                refused = await session.post('/faults', json=bad)
                self.assertEqual(400, refused.status)

        self.run_scenario(scenario)
