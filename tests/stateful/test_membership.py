"""Stateful tests of membership and configuration under random faults.

The oracle consists of the running processes and of the highest version of each
object that a running process has had. The clock is virtual.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bench.virtualpool import Network, VirtualPool, build_pool, with_version
from currantshore.internal.members.configuration import regressed_keys
from currantshore.internal.members.liveset import FAILURE_TIMEOUT_S

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

# Time until every node has the last counter of a dead host.
_GOSSIP_S = 2.5
_SETTLE_S = 12.0
_SERVICES = 3

_places = st.integers(0, 20)


class MembershipMachine(RuleBasedStateMachine):
    """Guards against lost versions and live sets that never converge."""

    @initialize(host_count=st.sampled_from((3, 5, 9)), seed=st.integers(0, 99))
    def build(self, host_count, seed):
        self.snapshot = build_pool(host_count, _SERVICES, 2)
        self.network = Network(max_delay_s=0.02)
        self.pool = VirtualPool(self.snapshot, seed, self.network)
        self.newest = 1
        self.last_versions = {}
        self.stopped_s = {}
        self.resumed_s = dict.fromkeys(self.pool.nodes, 0.0)
        self.pool.run_until(3.0)

    def host(self, place):
        names = sorted(self.pool.nodes)
        return names[place % len(names)]

    @rule(duration_s=st.floats(0.05, 6.0))
    def advance(self, duration_s):
        self.pool.run_until(self.pool.now_s + duration_s)

    @rule(
        loss_ratio=st.sampled_from((0.0, 0.05, 0.3)),
        duplicate_ratio=st.sampled_from((0.0, 0.2)),
        max_delay_s=st.sampled_from((0.006, 0.3)),
    )
    def degrade(self, loss_ratio, duplicate_ratio, max_delay_s):
        self.network.loss_ratio = loss_ratio
        self.network.duplicate_ratio = duplicate_ratio
        self.network.max_delay_s = max_delay_s

    @rule(side=st.sets(_places), is_one_way=st.booleans())
    def cut(self, side, is_one_way):
        names = {self.host(place) for place in side}

        def is_cut(sender, target):
            if is_one_way:
                return sender in names and target not in names
            return (sender in names) != (target in names)

        self.network.is_cut = is_cut

    @rule()
    def heal(self):
        self.network.is_cut = lambda _sender, _target: False

    @rule(place=_places)
    def pause(self, place):
        self.pool.nodes[self.host(place)].is_paused = True

    @rule(place=_places)
    def resume(self, place):
        self.resume_host(self.host(place))

    def resume_host(self, host_id):
        self.pool.nodes[host_id].is_paused = False
        self.resumed_s[host_id] = self.pool.now_s

    @rule(place=_places)
    def stop(self, place):
        host_id = self.host(place)
        is_last = len(self.pool.running()) < 2
        if self.pool.nodes[host_id].is_running and not is_last:
            self.pool.stop(host_id)
            self.stopped_s[host_id] = self.pool.now_s

    @rule(
        place=_places,
        has_configuration=st.booleans(),
        clock_error_ms=st.sampled_from((0, 0, -60_000)),
    )
    def restart(self, place, has_configuration, clock_error_ms):
        host_id = self.host(place)
        old = self.pool.nodes[host_id]
        self.pool.stop(host_id)
        pool = self.snapshot if has_configuration else None
        incarnation = old.plane.incarnation + 1 + clock_error_ms
        self.pool.start(host_id, old.zone, pool, incarnation)
        self.stopped_s.pop(host_id, None)
        self.last_versions.pop(host_id, None)
        self.resumed_s[host_id] = self.pool.now_s

    @rule(place=_places, service=st.integers(0, _SERVICES - 1))
    def change(self, place, service):
        self.newest += 1
        node = self.pool.nodes[self.host(place)]
        if node.is_running and not node.is_paused:
            changed = with_version(self.snapshot, service, self.newest)
            self.pool.configure(node, changed)

    @rule()
    def settle(self):
        self.degrade(0.0, 0.0, 0.006)
        self.heal()
        for host_id, node in self.pool.nodes.items():
            if node.is_paused:
                self.resume_host(host_id)
        expected = self.highest_versions()
        self.pool.run_until(self.pool.now_s + _SETTLE_S)
        names = {running.host_id for running in self.pool.running()}
        for node in self.pool.running():
            held = node.plane.pool
            versions = {} if held is None else held.versions()
            assert versions == expected, (node.host_id, versions, expected)
            live = set(node.plane.view().peers) if expected else names
            assert live == names, (node.host_id, live, names)

    def highest_versions(self):
        expected = {}
        for node in self.pool.running():
            held = node.plane.pool
            for key, version in (held.versions() if held else {}).items():
                expected[key] = max(version, expected.get(key, 0))
        return expected

    @invariant()
    def versions_never_go_back(self):
        for host_id, node in self.started_nodes().items():
            held = node.plane.pool
            if held is None:
                assert host_id not in self.last_versions
                continue
            before = self.last_versions.get(host_id, {})
            assert not regressed_keys(before, held.versions()), host_id
            self.last_versions[host_id] = held.versions()

    def started_nodes(self):
        return self.pool.nodes if hasattr(self, 'pool') else {}

    @invariant()
    def a_dead_host_is_not_live(self):
        limit_s = FAILURE_TIMEOUT_S + _GOSSIP_S
        for host_id, stopped_s in getattr(self, 'stopped_s', {}).items():
            if self.pool.now_s - stopped_s <= limit_s:
                continue
            for node in self.pool.running():
                awake_s = self.pool.now_s - self.resumed_s[node.host_id]
                if awake_s > limit_s:
                    live = node.plane.view().peers
                    assert host_id not in live, (node.host_id, host_id)


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
)
