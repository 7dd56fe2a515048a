"""Tests of the whole decision core: decoding, tokens, order of its parts."""

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore import wire
from currantshore.codes import DropReason, ResultCode, is_not_run
from currantshore.core import BalancerCore, CoreConfig
from currantshore.errors import InvalidArgumentError
from currantshore.internal import peerwire
from currantshore.internal.events import (
    BackendDatagram,
    CallerDatagram,
    ConfigurationChanged,
    LeaveRequested,
    PeerDatagram,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    HostState,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

KEY = b'pool key'
CALLER = wire.Endpoint('10.0.0.1', 4000)
OTHER = wire.Endpoint('10.0.0.2', 4000)
HOSTS = ('harbor-1', 'harbor-2')
# Later than the time for which a balancer that has just started is not warm.
WARM_S = 10.0


def make_service(service_id, first_port, **fields):
    return ServiceSnapshot(
        service_id,
        'lakeshore',
        wire.Endpoint('10.9.0.1', first_port),
        2048,
        tuple(
            BackendServer(
                f'{service_id}-{number}',
                'harbor',
                wire.Endpoint('10.1.0.1', first_port + number),
                3,
            )
            for number in range(1, 4)
        ),
        (PriorityClass('urgent', 0, 0.5),),
        **fields,
    )


def make_pool(pool_id='lakeshore', hosts=HOSTS):
    services = (
        make_service('dockwatch', 100),
        make_service('incident-upload', 200),
    )
    listed = tuple(
        PoolHost(
            name,
            'harbor',
            wire.Endpoint(name, 1),
            wire.Endpoint(name, 2),
        )
        for name in hosts
    )
    members = PoolMembers(pool_id, 'lakeshore', ('harbor',), listed, 1)
    return PoolSnapshot(members, services)


def make_core(host_id='harbor-1', incarnation=1, hosts=HOSTS):
    core = BalancerCore.from_config(
        CoreConfig(host_id, 'harbor', incarnation, KEY)
    )
    core.handle(ConfigurationChanged(make_pool(hosts=hosts)), 0)
    core.tick(0.05)
    for now_s in range(1, int(WARM_S) + 1):
        core.tick(now_s)
    return core


def from_caller(message, service_id='dockwatch', caller=CALLER):
    payload = message if isinstance(message, bytes) else wire.encode(message)
    return CallerDatagram(service_id, caller, payload)


def replies(actions):
    return [
        wire.decode_from_balancer(action.payload)
        for action in actions
        if isinstance(action, SendToCaller)
    ]


def targets(actions):
    return [
        action.target for action in actions if isinstance(action, SendToBackend)
    ]


def open_flow(core, token=b'', now_s=WARM_S, first_request_id=1):
    message = wire.Open(first_request_id, token)
    (opened,) = replies(core.handle(from_caller(message), now_s))
    return opened.token


def request(token, request_id=1):
    return wire.Request(request_id, 1, 'urgent', False, 2000, b'x', token)


class BadInputTests(testtools.TestCase):
    """Guards against input that raises an exception in a balancer's loop."""

    def setUp(self):
        super().setUp()
        self.core = make_core()

    @given(st.binary(max_size=300), st.booleans())
    def test_random_bytes_do_not_raise(self, noise, is_framed):
        payload = b''.join((wire.FRAME_MARK, noise)) if is_framed else noise
        source = wire.Endpoint('10.1.0.1', 101)
        for event in (
            from_caller(payload),
            BackendDatagram(source, payload),
            PeerDatagram(payload),
        ):
            self.core.handle(event, WARM_S)

    @given(
        st.sampled_from(
            [
                peerwire.Lookup('x', 'nowhere', 2**64 - 1),
                peerwire.LookupReply('x', 'dockwatch', 1, 'no-such-server'),
                peerwire.RelayedRequest('x', 'dockwatch', CALLER, b''),
                peerwire.RelayedRequest(
                    'x', 'dockwatch', CALLER, wire.encode(wire.Open())
                ),
                peerwire.HealthReport('x', 'nowhere', {'y': False}),
            ]
        )
    )
    def test_messages_of_another_version_do_not_raise(self, message):
        event = PeerDatagram(peerwire.seal(message, KEY))
        self.core.handle(event, WARM_S)

    def test_each_bad_datagram_is_counted_by_its_reason(self):
        table = (
            (from_caller(b'x', 'nowhere'), DropReason.UNKNOWN_SERVICE),
            (from_caller(b'\xc5\x5ex'), DropReason.MALFORMED),
            (from_caller(bytes(1601)), DropReason.OVERSIZED),
            (
                from_caller(wire.Data(b'x', b'bad token')),
                DropReason.TOKEN_INVALID,
            ),
            (PeerDatagram(b'x' * 20), DropReason.PEER_TAG_INVALID),
            (BackendDatagram(CALLER, b'x'), DropReason.MALFORMED),
        )
        for event, reason in table:
            before = self.core.counters.drops[reason]
            actions = self.core.handle(event, WARM_S)
            self.assertEqual([], actions, reason)
            self.assertEqual(before + 1, self.core.counters.drops[reason])

    def test_invalid_settings_are_rejected(self):
        for config in (
            CoreConfig('', 'harbor', 1, KEY),
            CoreConfig('a', 'harbor', 1, b''),
            CoreConfig('a', 'harbor', 1, bytes(65)),
        ):
            with testtools.ExpectedException(InvalidArgumentError):
                BalancerCore.from_config(config)


class ReadinessTests(testtools.TestCase):
    """Guards against serving before a valid configuration has arrived."""

    def test_without_configuration_packets_are_dropped_and_counted(self):
        core = BalancerCore.from_config(
            CoreConfig('harbor-1', 'harbor', 1, KEY)
        )
        self.assertEqual([], core.handle(from_caller(b'x'), 0))
        self.assertEqual(1, core.counters.drops[DropReason.NOT_READY])
        self.assertFalse(core.is_ready())
        self.assertTrue(core.watches_platform())

    def test_a_snapshot_of_another_pool_changes_nothing(self):
        core = make_core()
        before = core.pool()
        other = ConfigurationChanged(make_pool('beaulac'))
        self.assertEqual([], core.handle(other, WARM_S))
        self.assertIs(before, core.pool())

    def test_an_older_version_never_replaces_a_newer_one(self):
        core = make_core()
        newer = make_pool()
        newer = PoolSnapshot(
            msgspec.structs.replace(newer.members, version=5),
            newer.services,
        )
        core.handle(ConfigurationChanged(newer), WARM_S)
        core.handle(ConfigurationChanged(make_pool()), WARM_S)
        self.assertEqual(5, core.pool().members.version)

    def test_a_core_that_leaves_is_not_ready_and_becomes_idle(self):
        core = make_core(hosts=HOSTS[:1])
        core.handle(LeaveRequested(), WARM_S)
        core.handle(LeaveRequested(), WARM_S)
        self.assertFalse(core.is_ready())
        self.assertTrue(core.is_idle())


class TokenUseTests(testtools.TestCase):
    """Guards against flows that change their service or backend server."""

    def test_a_flow_opened_again_elsewhere_keeps_its_backend_server(self):
        first = make_core()
        second = make_core('harbor-2')
        for number in range(20):
            caller = wire.Endpoint('10.0.1.1', number)
            opening = first.handle(from_caller(wire.Open(), caller=caller), 10)
            token = replies(opening)[0].token
            data = wire.Data(b'x', token)
            used = first.handle(from_caller(data, caller=caller), 10)
            again = wire.Open(9, token)
            reopened = second.handle(from_caller(again, caller=caller), 11)
            data = wire.Data(b'y', replies(reopened)[0].token)
            moved = second.handle(from_caller(data, caller=caller), 11)
            self.assertEqual(targets(used), targets(moved))

    def test_a_token_of_another_service_reaches_no_backend_server(self):
        core = make_core()
        token = open_flow(core)
        misdirected = from_caller(wire.Data(b'x', token), 'incident-upload')
        self.assertEqual([], core.handle(misdirected, WARM_S))

    def test_a_copied_token_does_not_work_for_another_caller(self):
        core = make_core()
        token = open_flow(core)
        copied = from_caller(request(token), caller=OTHER)
        (refusal,) = replies(core.handle(copied, WARM_S))
        self.assertEqual(ResultCode.TOKEN_INVALID, refusal.code)

    def test_a_request_without_token_is_refused(self):
        core = make_core()
        actions = core.handle(from_caller(request(b'')), WARM_S)
        self.assertEqual(ResultCode.TOKEN_MISSING, replies(actions)[0].code)


class RestartTests(testtools.TestCase):
    """Guards against a restarted executor that runs requests again."""

    def test_requests_of_a_former_process_are_not_reported_as_not_run(self):
        token = open_flow(make_core(incarnation=1))
        restarted = make_core(incarnation=2)
        actions = restarted.handle(from_caller(request(token)), WARM_S)
        self.assertEqual([], targets(actions))
        self.assertFalse(is_not_run(ResultCode(replies(actions)[0].code)))

    def test_a_clock_that_went_back_does_not_revive_old_tokens(self):
        # The former process had incarnation 5, which its peers still report.
        token = open_flow(make_core(incarnation=5))
        restarted = make_core(incarnation=3)
        peer = make_core('harbor-2', incarnation=9)
        old = make_core(incarnation=5)
        for now_s in range(11, 14):
            _exchange(old, peer, now_s)
            _exchange(peer, restarted, now_s)
        actions = restarted.handle(from_caller(request(token)), 14)
        self.assertEqual([], targets(actions))
        ran = 0
        for number in range(8):
            caller = wire.Endpoint('10.0.1.1', number)
            opening = from_caller(wire.Open(), caller=caller)
            fresh = replies(restarted.handle(opening, 14))[0].token
            sent = from_caller(request(fresh), caller=caller)
            actions = restarted.handle(sent, 14)
            # Each runs here, or is relayed if the other host is its executor.
            relayed = [
                action for action in actions if isinstance(action, SendToPeer)
            ]
            self.assertEqual(1, len(targets(actions)) + len(relayed))
            self.assertEqual([], replies(actions))
            ran += len(targets(actions))
        self.assertGreater(ran, 0)


class SilenceTests(testtools.TestCase):
    """Guards against a flow that hangs without a refusal to its caller."""

    def test_the_caller_of_a_silent_flow_is_refused_once(self):
        core = make_core(hosts=HOSTS[:1])
        token = open_flow(core)
        received = []
        for step in range(40):
            now_s = WARM_S + step * 0.5
            actions = core.handle(from_caller(wire.Data(b'x', token)), now_s)
            (target,) = targets(actions)
            received += replies(actions)
            answered = CALLER if step < 2 else OTHER
            down = wire.Downstream('dockwatch', answered, b'y')
            if step >= 2:
                other = from_caller(wire.Open(), caller=OTHER)
                core.handle(other, now_s)
            core.handle(BackendDatagram(target, wire.encode(down)), now_s)
        codes = [reply.code for reply in received]
        self.assertEqual([ResultCode.FLOW_SILENT], codes)


def _exchange(sender, receiver, now_s):
    for action in sender.tick(now_s):
        if hasattr(action, 'host_id') and hasattr(action, 'payload'):
            receiver.handle(PeerDatagram(action.payload), now_s)


class StatusTests(testtools.TestCase):
    """Guards against a host that still serves although marked as leaving."""

    def test_a_host_marked_as_leaving_is_declared_leaving(self):
        core = make_core()
        self.assertFalse(core.is_declared_leaving())
        pool = make_pool()
        leaving = msgspec.structs.replace(
            pool.members.hosts[0], state=HostState.LEAVING
        )
        members = msgspec.structs.replace(
            pool.members, hosts=(leaving, *pool.members.hosts[1:]), version=2
        )
        changed = PoolSnapshot(members, pool.services)
        core.handle(ConfigurationChanged(changed), WARM_S)
        self.assertTrue(core.is_declared_leaving())

    def test_the_report_lists_this_host_with_its_versions(self):
        core = make_core(hosts=HOSTS[:1])
        report = core.status_report()
        self.assertEqual(core.pool().versions(), report['harbor-1'].versions)

    def test_the_report_counts_the_flows_of_a_draining_server(self):
        first = make_core()
        second = make_core('harbor-2')
        token = open_flow(first)
        (target,) = targets(
            first.handle(from_caller(wire.Data(b'x', token)), WARM_S)
        )
        changed = _drain(target)
        for core in (first, second):
            core.handle(ConfigurationChanged(changed), WARM_S)
        for now_s in range(11, 15):
            _exchange(first, second, now_s)
            _exchange(second, first, now_s)
        report = first.status_report()
        drained = report['harbor-1'].draining_flows
        self.assertEqual([1], list(drained.values()))
        others = report['harbor-2'].draining_flows
        self.assertEqual(dict.fromkeys(drained, 0), others)

    def test_a_host_without_heartbeat_since_the_drain_reports_no_flows(self):
        first = make_core()
        second = make_core('harbor-2')
        for now_s in range(11, 15):
            _exchange(first, second, now_s)
            _exchange(second, first, now_s)
        changed = _drain(wire.Endpoint('10.1.0.1', 101))
        first.handle(ConfigurationChanged(changed), 15)
        first.tick(15)
        self.assertIsNone(first.status_report()['harbor-2'].draining_flows)


def _drain(endpoint):
    pool = make_pool()
    service = pool.services[0]
    servers = tuple(
        msgspec.structs.replace(server, state=BackendState.DRAINING)
        if server.endpoint == endpoint
        else server
        for server in service.backend_servers
    )
    drained = msgspec.structs.replace(
        service, backend_servers=servers, version=7
    )
    return PoolSnapshot(pool.members, (drained, *pool.services[1:]))
