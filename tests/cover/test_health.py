"""Tests of verdicts, probes, shared reports, own faults and silent flows."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.virtualpool import PEER_KEY, build_pool
from currantshore import wire
from currantshore.codes import ResultCode
from currantshore.internal import peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from currantshore.internal.healthchecks import probing, silence
from currantshore.internal.healthchecks.health import HealthPlane
from currantshore.internal.healthchecks.verdicts import (
    FAILURES_TO_DOWN,
    Verdict,
)
from currantshore.internal.snapshot import BackendState
from currantshore.internal.views import LiveView, PeerView

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_POOL = build_pool(5, 2, 4)
_BACKENDS = {
    backend.endpoint: backend
    for service in _POOL.services
    for backend in service.backend_servers
}
_FIRST = _POOL.services[0].backend_servers[0].backend_id
_CALLER = wire.Endpoint('192.0.2.1', 4000)
_TICK_S = 0.05
_steps = st.tuples(
    st.sampled_from(
        ('fail', 'work', 'die', 'revive', 'deafen', 'hear', 'wait')
    ),
    st.integers(0, 4),
    st.integers(0, len(_BACKENDS) - 1),
)


def _view(self_id, host_count=5):
    peers = {
        host.host_id: PeerView(host.host_id, host.zone, 7, False, True, 0, {})
        for host in build_pool(host_count).members.hosts
    }
    return LiveView(self_id, peers, 1)


class _Balancers:
    """Health planes of a pool; a test sets which backend servers answer."""

    def __init__(self, host_count=5):
        self.now_s = 0.0
        self.dead = set()
        self.isolated_hosts = set()
        self.probes = []
        self.planes = {}
        for host in build_pool(host_count).members.hosts:
            plane = HealthPlane.from_config(
                host.host_id, Counters(), PEER_KEY, random.Random(1)
            )
            plane.configure(_POOL, 0.0)
            plane.on_live_view(_view(host.host_id, host_count), 0.0)
            self.planes[host.host_id] = plane

    def run(self, duration_s):
        for _ in range(round(duration_s / _TICK_S)):
            self.now_s += _TICK_S
            for host_id, plane in self.planes.items():
                self.act(host_id, plane.tick(self.now_s))

    def act(self, host_id, actions):
        for action in actions:
            match action:
                case SendToBackend(target=target, payload=payload):
                    self.answer(host_id, target, payload)
                case SendToPeer(host_id=peer_id, payload=payload):
                    report = peerwire.unseal(payload, PEER_KEY)
                    replies = self.planes[peer_id].on_health_report(
                        report, self.now_s
                    )
                    self.act(peer_id, replies)

    def apply(self, kind, host_id, backend_id):
        match kind:
            case 'fail':
                for _ in range(FAILURES_TO_DOWN):
                    self.planes[host_id].record_failure(backend_id, self.now_s)
            case 'work':
                self.planes[host_id].record_success(backend_id, self.now_s)
            case 'die':
                self.dead.add(backend_id)
            case 'revive':
                self.dead.discard(backend_id)
            case 'deafen':
                self.isolated_hosts.add(host_id)
            case 'hear':
                self.isolated_hosts.discard(host_id)
            case 'wait':
                self.run(1.2)

    def answer(self, host_id, target, payload):
        backend_id = _BACKENDS[target].backend_id
        self.probes.append((self.now_s, host_id, backend_id))
        if backend_id in self.dead or host_id in self.isolated_hosts:
            return
        probe = wire.decode_order(payload)
        reply = wire.ProbeReply(probe.probe_id, 'any', 99.0, 'overloaded')
        self.planes[host_id].on_probe_reply(target, reply, self.now_s)

    def usable_on_hosts(self, backend_id):
        return [plane.is_usable(backend_id) for plane in self.planes.values()]


class ProbeTests(testtools.TestCase):
    """Guards against dead backend servers that still receive work."""

    def test_each_backend_server_has_three_probers_two_of_its_zone(self):
        for backend in _BACKENDS.values():
            chosen = probing.probers(backend, _view('host-00'))
            zones = [_view('host-00').peers[name].zone for name in chosen]
            near = min(
                2,
                len(
                    [
                        p
                        for p in _view('host-00').peers.values()
                        if p.zone == backend.zone
                    ]
                ),
            )
            self.assertEqual(3, len(set(chosen)))
            self.assertEqual(near, zones.count(backend.zone))

    def test_a_dead_backend_server_is_unusable_everywhere(self):
        for host_count in (1, 2, 5, 20):
            balancers = _Balancers(host_count)
            balancers.run(3.0)
            balancers.dead.add(_FIRST)
            balancers.run(8.0)
            self.assertEqual({False}, set(balancers.usable_on_hosts(_FIRST)))
            others = set(_BACKENDS.values()) - {_FIRST}
            for other in others:
                if other.backend_id != _FIRST:
                    seen = set(balancers.usable_on_hosts(other.backend_id))
                    self.assertEqual({True}, seen)

    def test_a_recovered_server_starts_slowly_everywhere(self):
        balancers = _Balancers()
        balancers.run(3.0)
        balancers.dead.add(_FIRST)
        balancers.run(8.0)
        balancers.dead.clear()
        balancers.run(5.0)
        self.assertEqual({True}, set(balancers.usable_on_hosts(_FIRST)))
        weights = [
            plane.weight_ratio(_FIRST) for plane in balancers.planes.values()
        ]
        self.assertLess(min(weights), 0.7)
        balancers.run(20.0)
        for plane in balancers.planes.values():
            self.assertEqual(1.0, plane.weight_ratio(_FIRST))

    def test_two_failures_close_together_raise_the_rate_of_the_service(self):
        balancers = _Balancers()
        balancers.run(5.0)
        usual = len(balancers.probes)
        balancers.dead.add(_FIRST)
        balancers.run(5.0)
        service = {
            backend.backend_id for backend in _POOL.services[0].backend_servers
        }
        raised = balancers.probes[usual:]
        of_service = [entry for entry in raised if entry[2] in service]
        others = [entry for entry in raised if entry[2] not in service]
        self.assertTrue(len(of_service) > 2 * len(others))

    def test_a_reply_with_bad_load_and_state_counts_as_alive(self):
        balancers = _Balancers()
        balancers.run(10.0)
        for backend in _BACKENDS.values():
            seen = set(balancers.usable_on_hosts(backend.backend_id))
            self.assertEqual({True}, seen)

    def test_a_reply_from_another_address_does_not_count(self):
        balancers = _Balancers(1)
        plane = balancers.planes['host-00']
        probes = [
            action
            for action in plane.tick(0.05)
            if isinstance(action, SendToBackend)
        ]
        probe = wire.decode_order(probes[0].payload)
        reply = wire.ProbeReply(probe.probe_id, 's', 0.0, '')
        plane.on_probe_reply(_CALLER, reply, 0.1)
        for _ in range(2):
            plane.on_probe_reply(probes[0].target, reply, 0.1)
        self.assertEqual(3, sum(plane.counters.drops.values()))


# Outcomes of one backend server, and whether it is usable afterwards:
# p passive failure, P passive success, q probe failure, Q probe success,
# each 0.2 s apart; a digit is a pause of that many seconds.
_VERDICT_TABLE = (
    ('one failure', 'p', True),
    ('three failures', 'ppp', True),
    ('four failures', 'pppp', False),
    ('failures between successes', 'pPpPpPpPpP', True),
    ('failures too far apart', 'p9 4p9 4p9 4p', True),
    ('probes that succeed while requests fail', 'pQpQpQpQ', False),
    ('probes that fail while requests work', 'PqPqPqPqP', True),
    ('mixed failures', 'pqpq', False),
    ('successes before the hold time', 'ppppPPP', False),
    ('one success after the hold time', 'pppp9Q', False),
    ('two successes after the hold time', 'pppp9QQ', True),
    ('a relapse in the slow start', 'pppp9QQpppp', False),
    ('a relapse has a longer hold time', 'pppp3QQpppp3QQ', False),
    ('the longer hold time ends', 'pppp3QQpppp9QQ', True),
)


class VerdictTests(testtools.TestCase):
    """Guards against flapping and against verdicts from misleading probes."""

    def test_the_table_of_outcomes(self):
        for label, outcomes, is_usable in _VERDICT_TABLE:
            verdict = Verdict()
            now_s = 100.0
            for outcome in outcomes.replace(' ', ''):
                now_s += float(outcome) if outcome.isdigit() else 0.2
                if outcome in 'pq':
                    verdict.fail(now_s, is_passive=outcome == 'p')
                elif outcome in 'PQ':
                    verdict.succeed(now_s, is_passive=outcome == 'P')
            self.assertEqual(is_usable, not verdict.is_down, label)


class SharedVerdictTests(testtools.TestCase):
    """Guards against one mistaken balancer that decides for all others."""

    def setUp(self):
        super().setUp()
        self.plane = _Balancers().planes['host-00']

    def report(self, sender, is_usable, sequence=1, now_s=1.0):
        verdicts = {_FIRST: is_usable, 'unknown': False}
        report = peerwire.HealthReport(sender, 's', verdicts, 7, sequence)
        return self.plane.on_health_report(report, now_s)

    def test_one_vote_does_not_mark_a_server_down(self):
        self.report('host-01', False)
        self.assertTrue(self.plane.is_usable(_FIRST))

    def test_two_votes_mark_a_server_down(self):
        self.report('host-01', False)
        self.report('host-02', False)
        self.assertFalse(self.plane.is_usable(_FIRST))

    def test_one_vote_and_an_own_failure_mark_a_server_down(self):
        self.report('host-01', False)
        self.plane.record_failure(_FIRST, 1.0)
        self.plane.tick(1.05)
        self.assertFalse(self.plane.is_usable(_FIRST))

    def test_own_traffic_that_works_outweighs_votes(self):
        self.plane.record_success(_FIRST, 0.9)
        self.report('host-01', False)
        self.report('host-02', False)
        self.assertTrue(self.plane.is_usable(_FIRST))

    def test_a_late_older_report_is_ignored(self):
        self.report('host-01', False, 5)
        self.report('host-02', False, 5)
        self.report('host-01', True, 6)
        self.report('host-01', False, 5)
        self.assertTrue(self.plane.is_usable(_FIRST))

    def test_votes_of_hosts_that_left_expire(self):
        self.report('host-01', False)
        self.report('host-02', False)
        self.plane.on_live_view(_view('host-00', 2), 1.0)
        self.plane.tick(3.0)
        self.assertTrue(self.plane.is_usable(_FIRST))

    def test_votes_of_an_earlier_process_are_dropped(self):
        self.report('host-01', False)
        self.report('host-02', False)
        view = _view('host-00')
        peers = dict(view.peers)
        old = peers['host-01']
        peers['host-01'] = PeerView(
            old.host_id, old.zone, 8, False, True, 0, {}
        )
        self.plane.on_live_view(LiveView('host-00', peers, 1), 1.0)
        self.plane.tick(1.05)
        self.assertTrue(self.plane.is_usable(_FIRST))

    def test_reports_of_unknown_backend_servers_are_dropped(self):
        self.report('host-01', False)
        self.report('host-02', False)
        self.assertTrue(self.plane.is_usable('unknown'))


class OwnSideFaultTests(testtools.TestCase):
    """Guards against a balancer that marks a whole pool down by itself."""

    def test_an_isolated_balancer_keeps_serving(self):
        balancers = _Balancers()
        balancers.run(3.0)
        balancers.isolated_hosts.add('host-02')
        balancers.run(30.0)
        for backend in _BACKENDS.values():
            seen = balancers.usable_on_hosts(backend.backend_id)
            self.assertEqual({True}, set(seen), backend.backend_id)

    def test_failures_of_all_servers_are_an_own_side_fault(self):
        plane = _Balancers().planes['host-02']
        names = [backend.backend_id for backend in _BACKENDS.values()]
        for backend_id in names * FAILURES_TO_DOWN:
            plane.record_failure(backend_id, 1.0)
        plane.tick(1.05)
        self.assertEqual(1, plane.counters.counts[Count.SELF_SUSPICIONS])
        self.assertTrue(all(plane.is_usable(name) for name in names))
        for backend_id in names[1:] * 2:
            plane.record_success(backend_id, 9.0)
        plane.tick(9.05)
        self.assertEqual(
            names[:1], [name for name in names if not plane.is_usable(name)]
        )

    def test_the_loss_of_a_third_of_the_servers_is_no_own_side_fault(self):
        balancers = _Balancers()
        balancers.run(3.0)
        lost = [
            backend.backend_id
            for backend in _BACKENDS.values()
            if backend.zone == 'zone-a'
        ]
        balancers.dead.update(lost)
        balancers.run(10.0)
        for backend_id in lost:
            self.assertEqual(
                {False}, set(balancers.usable_on_hosts(backend_id))
            )

    def test_failures_confirmed_by_a_peer_are_no_own_side_fault(self):
        plane = _Balancers().planes['host-02']
        names = [backend.backend_id for backend in _BACKENDS.values()]
        verdicts = dict.fromkeys(names, False)
        report = peerwire.HealthReport('host-01', '', verdicts, 7, 1)
        plane.on_health_report(report, 0.9)
        for backend_id in names * FAILURES_TO_DOWN:
            plane.record_failure(backend_id, 1.0)
        plane.tick(1.05)
        self.assertEqual(0, plane.counters.counts[Count.SELF_SUSPICIONS])
        self.assertFalse(any(plane.is_usable(name) for name in names))

    def test_half_of_a_large_pool_is_no_own_side_fault(self):
        """Idle servers are probed seldom, and count as working in between."""
        pool = build_pool(4, 60, 2)
        names = {
            backend.endpoint: backend.backend_id
            for service in pool.services
            for backend in service.backend_servers
        }
        dead = set(list(names.values())[::2])
        plane = HealthPlane.from_config(
            'host-00', Counters(), PEER_KEY, random.Random(1)
        )
        plane.configure(pool, 0.0)
        plane.on_live_view(_view('host-00', 1), 0.0)
        for step in range(1, 2400):
            now_s = step * _TICK_S
            for action in plane.tick(now_s):
                is_dead = now_s > 60 and names[action.target] in dead
                probe = wire.decode_order(action.payload)
                reply = wire.ProbeReply(probe.probe_id, 's', 0.0, '')
                if not is_dead:
                    plane.on_probe_reply(action.target, reply, now_s)
        self.assertEqual(0, plane.counters.counts[Count.SELF_SUSPICIONS])
        for backend_id in names.values():
            self.assertEqual(
                backend_id not in dead, plane.is_usable(backend_id)
            )


class FuzzTests(testtools.TestCase):
    """Guards against event orders that raise or have a lasting effect."""

    @settings(max_examples=25)
    @given(st.lists(_steps, max_size=80))
    def test_any_order_of_events_ends_with_all_usable(self, steps):
        balancers = _Balancers()
        names = [backend.backend_id for backend in _BACKENDS.values()]
        for kind, host_place, place in steps:
            balancers.apply(kind, f'host-{host_place:02}', names[place])
        balancers.dead.clear()
        balancers.isolated_hosts.clear()
        balancers.run(90.0)
        for name in names:
            self.assertEqual({True}, set(balancers.usable_on_hosts(name)), name)


class ConfigureTests(testtools.TestCase):
    """Guards against cold starts at full load and stale verdicts."""

    def test_a_backend_server_that_joins_starts_slowly(self):
        plane = _Balancers(1).planes['host-00']
        changed = _with_state(BackendState.JOINING)
        plane.configure(changed, 1.0)
        self.assertEqual(1.0, plane.weight_ratio(_FIRST))
        plane.configure(_POOL, 2.0)
        plane.tick(2.05)
        self.assertEqual(0.1, plane.weight_ratio(_FIRST))

    def test_a_removed_backend_server_is_forgotten(self):
        plane = _Balancers(1).planes['host-00']
        for _ in range(FAILURES_TO_DOWN):
            plane.record_failure(_FIRST, 1.0)
        plane.tick(1.1)
        self.assertFalse(plane.is_usable(_FIRST))
        plane.configure(_with_state(BackendState.REMOVED), 2.0)
        plane.tick(2.1)
        self.assertTrue(plane.is_usable(_FIRST))


def _with_state(state):
    service = _POOL.services[0]
    first = service.backend_servers[0]
    changed = type(first)(
        first.backend_id,
        first.zone,
        first.endpoint,
        first.slot_count,
        first.connection_limit,
        state,
    )
    fields = {
        name: getattr(service, name) for name in service.__struct_fields__
    }
    fields['backend_servers'] = (changed, *service.backend_servers[1:])
    services = (type(service)(**fields), *_POOL.services[1:])
    return type(_POOL)(_POOL.members, services)


class SilentFlowTests(testtools.TestCase):
    """Guards against flows that wait forever on a lost path."""

    def setUp(self):
        super().setUp()
        self.plane = _Balancers(1).planes['host-00']
        self.plane.record_downstream('s', 1, _FIRST, 0.0)

    def send(self, times_s, caller=_CALLER, flow_key=1):
        actions = []
        for now_s in times_s:
            actions.extend(
                self.plane.record_upstream('s', flow_key, _FIRST, now_s, caller)
            )
        return actions

    def test_a_framed_caller_gets_one_code(self):
        self.send((1, 2, 3))
        self.plane.record_downstream('s', 2, _FIRST, 4.0)
        actions = self.send((5, 6.5, 7, 8))
        self.assertEqual([_CALLER], [action.caller for action in actions])
        refusal = wire.decode_from_balancer(actions[0].payload)
        self.assertIsInstance(actions[0], SendToCaller)
        self.assertEqual(0, refusal.request_id)
        self.assertEqual(ResultCode.FLOW_SILENT, refusal.code)
        self.assertEqual({_FIRST: 1}, dict(self.plane.silent_flows))

    def test_an_opaque_flow_is_only_counted(self):
        self.send((1, 2, 3), None)
        self.plane.record_downstream('s', 2, _FIRST, 4.0)
        self.assertEqual([], self.send((5, 6.5, 7), None))
        self.assertEqual({_FIRST: 1}, dict(self.plane.silent_flows))

    def test_a_backend_server_that_answers_nobody_has_no_silent_flows(self):
        self.assertEqual([], self.send(range(1, 30)))

    def test_a_flow_that_was_never_answered_is_not_silent(self):
        self.plane.record_downstream('s', 2, _FIRST, 4.0)
        self.assertEqual([], self.send(range(1, 30), flow_key=3))

    def test_an_answer_starts_the_count_again(self):
        self.send((1, 2, 3))
        self.plane.record_downstream('s', 2, _FIRST, 4.0)
        self.plane.record_downstream('s', 1, _FIRST, 5.0)
        self.assertEqual([], self.send((6, 7, 8, 9)))

    def test_memory_is_bounded(self):
        tracker = silence.SilenceTracker()
        for key in range(3 * silence.MAX_FLOWS_PER_GENERATION):
            tracker.record_answered(('s', key), _FIRST, 1.0)
            if key % 5000 == 0:
                tracker.tick(key / 100)
        limit = 2 * silence.MAX_FLOWS_PER_GENERATION
        self.assertTrue(tracker.flow_count <= limit)
