"""Planned changes: plan, apply, drain and join against the stand-in."""

import asyncio
import random
from functools import partial
from pathlib import Path

import msgspec
import testtools

from currantshore.declarations import load_declarations
from currantshore.errors import (
    InvalidArgumentError,
    PlanRefusedError,
    PlatformUnavailableError,
    VersionConflictError,
)
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.objectapi.records import status_key
from currantshore.internal.operators import operations
from currantshore.internal.operators.inforce import read_in_force
from currantshore.internal.snapshot import BackendState, HostState
from currantshore.planning import (
    apply_plan,
    decode_plan,
    encode_plan,
    make_plan,
)
from standins.platform import Faults, PlatformStandin

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_POOL = 'lakeshore'
_DOCKWATCH = 'pools/lakeshore/services/dockwatch'
_replace = msgspec.structs.replace


class _KilledError(Exception):
    """Simulates the end of the process."""


class _FailingClient(PlatformClient):
    """Fails at a write: before it is sent, or before its answer is read."""

    async def put_if(self, key, value, version, writer):
        self.fail_at -= 1
        if not self.fail_at and not self.is_sent:
            raise _KilledError
        answer = await super().put_if(key, value, version, writer)
        if not self.fail_at:
            raise _KilledError
        return answer


class _PausedClient(PlatformClient):
    """Waits before each write until another operator has finished."""

    async def put_if(self, key, value, version, writer):
        self.is_reached.set()
        await self.may_continue.wait()
        return await super().put_if(key, value, version, writer)


def _service(declared, service_id):
    return next(
        one for one in declared.services if one.service_id == service_id
    )


def _with_service(declared, service_id, **fields):
    services = [
        _replace(one, **fields) if one.service_id == service_id else one
        for one in declared.services
    ]
    return _replace(declared, services=tuple(services))


def _without_service(declared, service_id):
    kept = [one for one in declared.services if one.service_id != service_id]
    return _replace(declared, services=tuple(kept))


def _with_backends(declared, service_id, change):
    backends = change(list(_service(declared, service_id).backend_servers))
    return _with_service(declared, service_id, backend_servers=tuple(backends))


def _with_share(declared, service_id, share):
    classes = list(_service(declared, service_id).priority_classes)
    classes[0] = _replace(classes[0], guaranteed_share_ratio=share)
    return _with_service(declared, service_id, priority_classes=tuple(classes))


def _with_hosts(declared, change):
    hosts = tuple(change(list(declared.pool.hosts)))
    return _replace(declared, pool=_replace(declared.pool, hosts=hosts))


def _with_state(backends, state):
    return [_replace(one, state=state) for one in backends]


def _moved(backends):
    return [_replace(backends[0], endpoint='127.0.1.250:1'), *backends[1:]]


def _in_zone(backends, zone):
    return [_replace(backends[0], zone=zone), *backends[1:]]


def _as_other_user(declared):
    return _replace(declared, pool=_replace(declared.pool, user_id='other'))


# A change of the first example, which is in force, and the expected refusal.
_REFUSED = (
    (
        lambda given: _with_backends(given, 'dockwatch', lambda b: b[1:]),
        'backend server dockwatch-1 is active',
    ),
    (
        lambda given: _with_backends(given, 'dockwatch', _moved),
        'backend server dockwatch-1 is active',
    ),
    (
        lambda given: _with_backends(
            given, 'dockwatch', lambda b: _with_state(b, BackendState.JOINING)
        ),
        'it can only become draining',
    ),
    (
        lambda given: _with_backends(
            given, 'dockwatch', lambda b: _with_state(b, BackendState.REMOVED)
        ),
        'run "currantshore drain dockwatch-1"',
    ),
    (
        lambda given: _with_backends(
            given, 'dockwatch', lambda b: _with_state(b, BackendState.DRAINING)
        ),
        'no backend server would take new flows',
    ),
    (
        lambda given: _with_backends(
            given, 'dockwatch', lambda b: _in_zone(b, 'southport')
        ),
        "unknown zone 'southport'",
    ),
    (
        lambda given: _with_service(
            given, 'dockwatch', address='127.0.1.102:7002'
        ),
        'address 127.0.1.102:7002 is shared',
    ),
    (
        lambda given: _with_service(
            given, 'dockwatch', address='127.0.1.109:7001'
        ),
        'its address cannot change',
    ),
    (
        lambda given: _with_service(given, 'dockwatch', bucket_count=32768),
        'bucket_count is fixed at 16384',
    ),
    (lambda given: _with_share(given, 'dockwatch', 0.7), 'over 100%'),
    (
        lambda given: _without_service(given, 'dockwatch'),
        'backend server dockwatch-7 is active',
    ),
    (
        lambda given: _with_hosts(given, lambda hosts: hosts[1:]),
        'host harbor-1 is active',
    ),
    (
        lambda given: _with_hosts(
            given, lambda hosts: _with_state(hosts, HostState.LEAVING)
        ),
        'would have no active host',
    ),
    (_as_other_user, 'belongs to lakeshore'),
)


class _Case(testtools.TestCase):
    """Runs a scenario with the declarations of the first example."""

    def setUp(self):
        super().setUp()
        self.declared = load_declarations(_EXAMPLES / 'lakeshore')

    def client(self, kind=PlatformClient):
        return kind.from_config(
            self.standin.url, rng=random.Random(1), backoff_s=0.001
        )

    def failing_client(self, fail_at, is_sent=False):
        failing = self.client(_FailingClient)
        failing.fail_at = fail_at
        failing.is_sent = is_sent
        return failing

    def run_scenario(self, scenario, is_applied=True):
        async def run():
            self.standin = PlatformStandin()
            await self.standin.start()
            async with self.client() as client:
                if is_applied:
                    await self.change(client, self.declared)
                await scenario(client)
            await self.standin.stop()

        asyncio.run(run())

    async def change(self, client, declared, operator='anna', drained=()):
        planned = await make_plan(client, declared, operator, drained)
        return await apply_plan(client, planned)

    async def refusal(self, client, declared, drained=()):
        try:
            await make_plan(client, declared, 'anna', drained)
        except PlanRefusedError as error:
            return str(error)
        return 'accepted'

    async def report(self, client, flows):
        hosts = {
            host.host_id: {'versions': {}, 'draining_flows': flows}
            for host in self.declared.pool.hosts
        }
        key = status_key(_POOL)
        found = await client.get(key)
        version = 0 if found is None else found.version
        body = msgspec.json.encode(hosts)
        await client.put_if(key, body, version, 'reporter/1')

    async def backend_state(self, client, backend_id):
        pool = (await read_in_force(client, _POOL)).pool
        states = {
            one.backend_id: one.state
            for service in pool.services
            for one in service.backend_servers
        }
        return states.get(backend_id)


class PlanTests(_Case):
    """Guards against changes that differ from the plan."""

    def test_a_second_plan_of_the_same_declarations_has_no_steps(self):
        async def scenario(client):
            planned = await make_plan(client, self.declared, 'anna')
            self.assertEqual(5, len(planned.steps))
            content = encode_plan(planned)
            self.assertEqual(content, encode_plan(decode_plan(content)))
            results = await apply_plan(client, planned)
            self.assertEqual([1, 2, 3, 4, 5], [one.version for one in results])
            in_force = await read_in_force(client, _POOL)
            services = {one.service_id for one in in_force.pool.services}
            self.assertEqual({'dockwatch', 'incident-upload'}, services)
            again = await make_plan(client, self.declared, 'anna')
            self.assertEqual(((), ()), (again.steps, again.summary))

        self.run_scenario(scenario, is_applied=False)

    def test_a_plan_describes_the_changes_and_their_effects(self):
        declared = _with_share(self.declared, 'dockwatch', 0.5)
        declared = _with_backends(
            declared,
            'dockwatch',
            lambda b: [*_with_state(b[:1], BackendState.DRAINING), *b[1:]],
        )
        declared = _with_hosts(
            declared, lambda h: [*_with_state(h[:1], HostState.LEAVING), *h[1:]]
        )

        async def scenario(client):
            planned = await make_plan(client, declared, 'anna')
            text = '\n'.join(planned.summary)
            for expected in (
                'dockwatch-1: state active -> draining: its flows stay',
                'checkout: guaranteed_share_ratio 0.4 -> 0.5',
                'harbor-1: state active -> leaving: hands over its flows',
                'established flows stay; about 14% of new flows',
            ):
                self.assertIn(expected, text)
            self.assertEqual(2, len(planned.steps))

        self.run_scenario(scenario)

    def test_a_broken_guarantee_is_refused_and_nothing_is_written(self):
        cases = list(_REFUSED)

        async def scenario(client):
            revision = self.standin.table.revision
            while cases:
                change, expected = cases.pop()
                refusal = await self.refusal(client, change(self.declared))
                self.assertIn(expected, refusal)
            self.assertEqual(revision, self.standin.table.revision)

        self.run_scenario(scenario)

    def test_a_backend_server_is_removed_only_without_flows(self):
        declared = _with_backends(self.declared, 'dockwatch', lambda b: b[1:])

        async def scenario(client):
            await operations.drain(client, _POOL, 'dockwatch-1', 'anna')
            refusal = await self.refusal(client, declared)
            self.assertIn('no count of its flows is reported', refusal)
            await self.report(client, None)
            refusal = await self.refusal(client, declared)
            self.assertIn('no count of its flows is reported', refusal)
            await self.report(client, {'dockwatch-1': 3})
            refusal = await self.refusal(client, declared)
            self.assertIn('still has 18 flows', refusal)
            await self.report(client, {})
            await self.change(client, declared)
            self.assertIsNone(await self.backend_state(client, 'dockwatch-1'))

        self.run_scenario(scenario)

    def test_an_assumption_counts_only_for_a_draining_backend_server(self):
        declared = _with_backends(self.declared, 'dockwatch', lambda b: b[1:])

        async def scenario(client):
            drained = ('dockwatch-1',)
            refusal = await self.refusal(client, declared, drained)
            self.assertIn('dockwatch-1 is active', refusal)
            await operations.drain(client, _POOL, 'dockwatch-1', 'anna')
            await self.change(client, declared, drained=drained)
            self.assertIsNone(await self.backend_state(client, 'dockwatch-1'))

        self.run_scenario(scenario)

    def test_a_plan_does_not_undo_a_drain(self):
        async def scenario(client):
            await operations.drain(client, _POOL, 'dockwatch-2', 'anna')
            declared = _with_share(self.declared, 'dockwatch', 0.5)
            await self.change(client, declared)
            self.assertEqual(
                BackendState.DRAINING,
                await self.backend_state(client, 'dockwatch-2'),
            )

        self.run_scenario(scenario)

    def test_a_plan_file_that_is_damaged_or_of_another_format_is_refused(self):
        for content in (b'{}', b'not json', b'{"format": 2}'):
            with testtools.ExpectedException(InvalidArgumentError):
                decode_plan(content)


class AddressTests(_Case):
    """Guards against two services with the same address."""

    def other_pool(self, address):
        other = load_declarations(_EXAMPLES / 'beaulac')
        return _with_service(other, 'labo-glacure', address=address)

    def test_an_address_of_another_pool_is_refused_until_it_is_free(self):
        other = self.other_pool('127.0.1.102:7002')
        declared = _without_service(self.declared, 'incident-upload')

        async def scenario(client):
            refusal = await self.refusal(client, other)
            self.assertIn('belongs to pools/lakeshore/services/', refusal)
            names = [f'incident-upload-{one}' for one in (1, 2, 3, 4)]
            while names:
                await operations.drain(
                    client, _POOL, names.pop(), 'anna', allow_empty=True
                )
            await self.report(client, {})
            await self.change(client, declared)
            await self.change(client, other, 'benoit')
            refusal = await self.refusal(client, self.declared)
            self.assertIn('belongs to pools/beaulac/services/', refusal)

        self.run_scenario(scenario)

    def test_of_two_pools_that_claim_an_address_one_gets_it(self):
        other = self.other_pool('127.0.1.102:7002')

        async def scenario(client):
            first = await make_plan(client, self.declared, 'anna')
            second = await make_plan(client, other, 'benoit')
            await apply_plan(client, first)
            with testtools.ExpectedException(
                VersionConflictError, '(?s).*changed by anna.*'
            ):
                await apply_plan(client, second)

        self.run_scenario(scenario, is_applied=False)

    def test_a_removed_service_can_be_declared_again(self):
        async def scenario(client):
            names = [f'incident-upload-{one}' for one in (1, 2, 3, 4)]
            while names:
                await operations.drain(
                    client, _POOL, names.pop(), 'anna', allow_empty=True
                )
            await self.report(client, {})
            smaller = _without_service(self.declared, 'incident-upload')
            taken = await self.change(client, smaller)
            again = await self.change(client, self.declared)
            self.assertGreater(again[-1].version, taken[-1].version)
            self.assertEqual(
                BackendState.ACTIVE,
                await self.backend_state(client, 'incident-upload-1'),
            )

        self.run_scenario(scenario)


class RaceTests(_Case):
    """Guards against one operator silently undoing another's change."""

    def test_the_slower_of_two_sees_who_changed_what(self):
        async def scenario(client):
            first = await make_plan(
                client, _with_share(self.declared, 'dockwatch', 0.5), 'anna'
            )
            second = await make_plan(
                client, _with_share(self.declared, 'dockwatch', 0.3), 'benoit'
            )
            await apply_plan(client, first)
            try:
                await apply_plan(client, second)
            except VersionConflictError as error:
                self.assertIn('was changed by anna', str(error))
                self.assertIn('ratio 0.4 -> 0.5', str(error))
            else:
                self.fail('both plans were accepted')

        self.run_scenario(scenario)

    def test_a_plan_with_one_object_out_of_date_writes_nothing(self):
        declared = _with_share(self.declared, 'dockwatch', 0.5)
        declared = _with_share(declared, 'incident-upload', 0.4)

        async def scenario(client):
            planned = await make_plan(client, declared, 'anna')
            other = _with_share(self.declared, 'incident-upload', 0.3)
            await self.change(client, other, 'benoit')
            revision = self.standin.table.revision
            with testtools.ExpectedException(
                VersionConflictError, '(?s).*changed by benoit.*'
            ):
                await apply_plan(client, planned)
            self.assertEqual(revision, self.standin.table.revision)

        self.run_scenario(scenario)

    def test_operators_of_different_services_do_not_conflict(self):
        async def scenario(client):
            first = await make_plan(
                client, _with_share(self.declared, 'dockwatch', 0.5), 'anna'
            )
            other = _with_share(self.declared, 'incident-upload', 0.5)
            second = await make_plan(client, other, 'benoit')
            await asyncio.gather(
                apply_plan(client, first), apply_plan(client, second)
            )
            pool = (await read_in_force(client, _POOL)).pool
            shares = [
                one.priority_classes[0].guaranteed_share_ratio
                for one in pool.services
            ]
            self.assertEqual([0.5, 0.5], shares)

        self.run_scenario(scenario)

    def test_concurrent_plans_for_one_service_have_one_winner(self):
        async def scenario(client):
            shares = (0.1, 0.2, 0.3, 0.5)
            plans = await asyncio.gather(
                *(
                    make_plan(
                        client,
                        _with_share(self.declared, 'dockwatch', share),
                        f'operator-{index}',
                    )
                    for index, share in enumerate(shares)
                )
            )
            self.standin.set_faults(Faults(lose_answers=2))
            results = await asyncio.gather(
                *(apply_plan(client, one) for one in plans),
                return_exceptions=True,
            )
            refused = [
                one for one in results if isinstance(one, VersionConflictError)
            ]
            self.assertEqual(3, len(refused))

        self.run_scenario(scenario)

    async def plan_same_id_twice(self, client):
        """Plan a new backend server with the same id in both services."""
        backend = _service(self.declared, 'dockwatch').backend_servers[0]
        added = _replace(
            backend, backend_id='spare', endpoint='127.0.1.200:7301'
        )
        twin = _replace(added, endpoint='127.0.1.201:7301')
        first = _with_backends(
            self.declared, 'dockwatch', lambda known: [*known, added]
        )
        second = _with_backends(
            self.declared, 'incident-upload', lambda known: [*known, twin]
        )
        return (
            await make_plan(client, first, 'anna'),
            await make_plan(client, second, 'benoit'),
        )

    def test_a_plan_is_checked_again_together_with_others_changes(self):
        async def scenario(client):
            first, second = await self.plan_same_id_twice(client)
            await apply_plan(client, first)
            with testtools.ExpectedException(
                PlanRefusedError, '(?s).*spare is declared twice.*'
            ):
                await apply_plan(client, second)

        self.run_scenario(scenario)

    def test_inconsistent_plans_applied_at_the_same_time_are_reported(self):
        async def scenario(client):
            first, second = await self.plan_same_id_twice(client)
            async with self.client(_PausedClient) as paused:
                paused.is_reached = asyncio.Event()
                paused.may_continue = asyncio.Event()
                slower = asyncio.create_task(apply_plan(paused, second))
                await paused.is_reached.wait()
                await apply_plan(client, first)
                paused.may_continue.set()
                with testtools.ExpectedException(
                    VersionConflictError, '(?s).*spare is declared twice.*'
                ):
                    await slower

        self.run_scenario(scenario)

    def test_a_plan_reports_a_service_with_too_few_buckets(self):
        backend = _service(self.declared, 'dockwatch').backend_servers[0]
        added = [
            _replace(
                backend,
                backend_id=f'more-{number}',
                endpoint=f'127.0.1.210:{number}',
            )
            for number in (1, 2)
        ]
        declared = _with_backends(
            self.declared, 'dockwatch', lambda known: [*known, *added]
        )

        async def scenario(client):
            planned = await make_plan(client, declared, 'anna')
            text = '\n'.join(planned.summary)
            self.assertIn('1820 buckets for each backend server', text)

        self.run_scenario(scenario)


class InterruptionTests(_Case):
    """Guards against a change that is made twice or only partly."""

    def test_an_apply_interrupted_at_any_write_is_finished_by_the_next(self):
        failures = [(at, sent) for at in range(1, 6) for sent in (False, True)]
        for fail_at, is_sent in failures:
            scenario = partial(
                self._fail_and_resume, fail_at=fail_at, is_sent=is_sent
            )
            self.run_scenario(scenario, is_applied=False)

    async def _fail_and_resume(self, client, fail_at, is_sent):
        planned = await make_plan(client, self.declared, 'anna')
        async with self.failing_client(fail_at, is_sent) as failing:
            with testtools.ExpectedException(_KilledError):
                await apply_plan(failing, planned)
        written = fail_at if is_sent else fail_at - 1
        self.assertEqual(written, self.standin.table.revision)
        results = await apply_plan(client, planned)
        known = [one.was_in_force for one in results]
        self.assertEqual([one < written for one in range(5)], known)
        await self._assert_written_once(client, planned)

    async def _assert_written_once(self, client, planned):
        self.assertEqual(5, self.standin.table.revision)
        again = await apply_plan(client, planned)
        self.assertTrue(all(one.was_in_force for one in again))
        self.assertEqual(5, self.standin.table.revision)

    def test_lost_answers_and_lost_writes_cause_no_second_change(self):
        cases = [Faults(lose_answers=lost) for lost in (1, 2, 5, 9)]
        cases.extend(Faults(lose_writes=lost) for lost in (1, 2, 5))
        for faults in cases:
            self.run_scenario(
                partial(self._apply_with_faults, faults=faults),
                is_applied=False,
            )

    async def _apply_with_faults(self, client, faults):
        planned = await make_plan(client, self.declared, 'anna')
        self.standin.set_faults(faults)
        results = await apply_plan(client, planned)
        self.assertEqual({False}, {one.was_in_force for one in results})
        self.standin.set_faults(Faults(lose_answers=0, lose_writes=0))
        await self._assert_written_once(client, planned)

    def test_an_outage_in_the_middle_is_reported_and_finished_later(self):
        async def scenario(client):
            planned = await make_plan(client, self.declared, 'anna')
            async with self.failing_client(3) as failing:
                with testtools.ExpectedException(_KilledError):
                    await apply_plan(failing, planned)
            self.standin.set_faults(Faults(outage=True))
            with testtools.ExpectedException(PlatformUnavailableError):
                await apply_plan(client, planned)
            self.standin.set_faults(Faults(outage=False))
            await apply_plan(client, planned)
            await self._assert_written_once(client, planned)

        self.run_scenario(scenario, is_applied=False)

    def test_a_finished_plan_does_not_undo_a_later_change(self):
        async def scenario(client):
            planned = await make_plan(
                client, _with_share(self.declared, 'dockwatch', 0.5), 'anna'
            )
            await apply_plan(client, planned)
            later = _with_share(self.declared, 'dockwatch', 0.3)
            await self.change(client, later, 'benoit')
            results = await apply_plan(client, planned)
            self.assertEqual('benoit', results[0].overwritten_by)
            pool = (await read_in_force(client, _POOL)).pool
            share = pool.services[0].priority_classes[0]
            self.assertEqual(0.3, share.guaranteed_share_ratio)

        self.run_scenario(scenario)

    def test_a_conflict_of_a_partly_applied_plan_names_what_is_in_force(self):
        declared = _with_share(self.declared, 'dockwatch', 0.5)
        declared = _with_share(declared, 'incident-upload', 0.4)

        async def scenario(client):
            planned = await make_plan(client, declared, 'anna')
            async with self.failing_client(2) as failing:
                with testtools.ExpectedException(_KilledError):
                    await apply_plan(failing, planned)
            other = _with_share(self.declared, 'incident-upload', 0.3)
            other = _with_share(other, 'dockwatch', 0.5)
            await self.change(client, other, 'benoit')
            with testtools.ExpectedException(
                VersionConflictError, f'(?s).*{_DOCKWATCH} is in force.*'
            ):
                await apply_plan(client, planned)

        self.run_scenario(scenario)


class OperationTests(_Case):
    """Guards against drains and joins that get lost or go too far."""

    def test_a_drain_and_a_join_change_one_state(self):
        async def scenario(client):
            drained = await operations.drain(
                client, _POOL, 'dockwatch-1', 'anna'
            )
            self.assertEqual('draining', drained.state)
            again = await operations.drain(client, _POOL, 'dockwatch-1', 'anna')
            self.assertEqual(
                (True, drained.version), (again.was_in_force, again.version)
            )
            joined = await operations.join(client, _POOL, 'dockwatch-1', 'anna')
            self.assertEqual('active', joined.state)
            left = await operations.drain(client, _POOL, 'harbor-1', 'anna')
            self.assertEqual('leaving', left.state)
            in_force = await read_in_force(client, _POOL)
            states = [one.state for one in in_force.pool.members.hosts]
            self.assertEqual(1, states.count(HostState.LEAVING))

        self.run_scenario(scenario)

    def test_drains_of_one_service_at_once_are_all_in_force(self):
        names = [f'dockwatch-{number}' for number in range(1, 7)]

        async def scenario(client):
            self.standin.set_faults(Faults(lose_answers=3))
            outcomes = await asyncio.gather(
                *(operations.drain(client, _POOL, name, name) for name in names)
            )
            self.assertLess(0, sum(one.conflict_count for one in outcomes))
            pool = (await read_in_force(client, _POOL)).pool
            active = pool.services[0].active_backends()
            self.assertEqual(
                ['dockwatch-7'], [one.backend_id for one in active]
            )

        self.run_scenario(scenario)

    def test_the_last_backend_server_and_the_last_host_are_not_drained(self):
        async def scenario(client):
            names = [f'dockwatch-{number}' for number in range(1, 7)]
            names.extend(one.host_id for one in self.declared.pool.hosts[1:])
            while names:
                await operations.drain(client, _POOL, names.pop(), 'anna')
            results = await asyncio.gather(
                operations.drain(client, _POOL, 'dockwatch-7', 'anna'),
                operations.drain(client, _POOL, 'harbor-1', 'anna'),
                return_exceptions=True,
            )
            kinds = {type(one) for one in results}
            self.assertEqual({PlanRefusedError}, kinds)
            emptied = await operations.drain(
                client, _POOL, 'dockwatch-7', 'anna', allow_empty=True
            )
            self.assertEqual('draining', emptied.state)

        self.run_scenario(scenario)

    def test_an_unknown_member_pool_or_operator_is_refused(self):
        async def scenario(client):
            results = await asyncio.gather(
                operations.drain(client, _POOL, 'nobody', 'anna'),
                operations.join(client, 'nowhere', 'dockwatch-1', 'anna'),
                operations.join(client, _POOL, 'dockwatch-1', 'a < b'),
                return_exceptions=True,
            )
            kinds = {type(one) for one in results}
            self.assertEqual({InvalidArgumentError}, kinds)

        self.run_scenario(scenario)

    def test_a_drain_in_an_outage_reports_an_unknown_outcome(self):
        async def scenario(client):
            self.standin.set_faults(Faults(outage=True))
            with testtools.ExpectedException(PlatformUnavailableError):
                await operations.drain(client, _POOL, 'dockwatch-1', 'anna')

        self.run_scenario(scenario)
