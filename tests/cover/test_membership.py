"""Tests of live sets, incarnations, restarts, pauses and heartbeat size."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.virtualpool import (
    PEER_KEY,
    Network,
    VirtualPool,
    build_pool,
    with_version,
)
from currantshore.errors import InvalidArgumentError
from currantshore.internal import peerwire
from currantshore.internal.counters import Counters
from currantshore.internal.events import FetchConfiguration
from currantshore.internal.members import packing
from currantshore.internal.members.heartbeats import MAX_HEARTBEAT_SIZE_BYTES
from currantshore.internal.members.membership import MembershipPlane
from currantshore.internal.members.roster import Member

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_SIZES = (3, 7, 8, 24)
_counters = st.dictionaries(
    st.integers(0, 2**32 - 1),
    st.tuples(st.integers(0, 2**63), st.integers(0, 2**63)),
    max_size=5,
)


def _plane(host_id='host-00', incarnation=5):
    return MembershipPlane.from_config(
        host_id,
        'zone-a',
        incarnation,
        Counters(),
        PEER_KEY,
        random.Random(1),
    )


def _live(pool, host_id='host-00'):
    return set(pool.nodes[host_id].plane.view().peers)


class LiveSetTests(testtools.TestCase):
    """Guards against live hosts that expire and dead ones that stay live."""

    def test_every_host_is_live_everywhere_and_stays_so(self):
        for size in _SIZES:
            pool = VirtualPool(build_pool(size), 1, Network(loss_ratio=0.02))
            pool.run_until(3.0)
            for step in range(40):
                pool.run_until(3.0 + step * 0.25)
                for node in pool.nodes.values():
                    self.assertEqual(size, len(node.plane.view().peers))

    def test_a_killed_host_is_not_live_after_timeout_and_gossip(self):
        for size in _SIZES:
            pool = VirtualPool(build_pool(size), 2)
            pool.run_until(5.0)
            pool.stop('host-01')
            pool.run_until(6.5)
            self.assertIn('host-01', _live(pool))
            pool.run_until(9.0)
            for node in pool.running():
                self.assertNotIn('host-01', node.plane.view().peers)

    def test_a_paused_process_keeps_its_live_set_when_it_resumes(self):
        pool = VirtualPool(build_pool(5), 3)
        pool.run_until(5.0)
        pool.nodes['host-00'].is_paused = True
        pool.run_until(20.0)
        self.assertNotIn('host-00', _live(pool, 'host-01'))
        pool.nodes['host-00'].is_paused = False
        pool.run_until(20.2)
        self.assertEqual(5, len(_live(pool)))
        pool.run_until(21.0)
        self.assertEqual(1, pool.nodes['host-00'].plane.pause_count)
        self.assertIn('host-00', _live(pool, 'host-01'))

    def test_a_partitioned_pool_converges_after_the_partition(self):
        pool = VirtualPool(build_pool(24), 4)
        pool.run_until(4.0)
        left = {f'host-{place:02}' for place in range(12)}
        pool.network.is_cut = lambda one, two: (one in left) != (two in left)
        pool.run_until(90.0)
        self.assertEqual(left, _live(pool))
        pool.network.is_cut = lambda _one, _two: False
        pool.run_until(100.0)
        for node in pool.nodes.values():
            self.assertEqual(24, len(node.plane.view().peers))

    def test_a_rack_that_returns_together_is_known_within_seconds(self):
        snapshot = build_pool(24)
        pool = VirtualPool(snapshot, 17, Network(loss_ratio=0.05))
        pool.run_until(4.0)
        for place in range(8):
            pool.stop(f'host-{place:02}')
        pool.run_until(9.0)
        for place in range(8):
            name = f'host-{place:02}'
            pool.start(name, pool.nodes[name].zone, snapshot)
        pool.run_until(13.0)
        for node in pool.nodes.values():
            self.assertEqual(24, len(node.plane.view().peers))

    def test_the_platform_list_speeds_up_but_does_not_overrule(self):
        pool = VirtualPool(build_pool(3), 5)
        pool.run_until(5.0)
        plane = pool.nodes['host-00'].plane
        plane.set_platform_hosts(['host-00'])
        pool.run_until(10.0)
        self.assertEqual(3, len(_live(pool)))
        pool.stop('host-01')
        pool.run_until(11.7)
        self.assertNotIn('host-01', _live(pool))
        plane.set_platform_hosts(['host-00', 'host-01', 'host-02'])
        pool.run_until(14.0)
        self.assertNotIn('host-01', _live(pool))

    def test_a_leaving_host_is_known_as_leaving_within_a_second(self):
        for size in _SIZES:
            pool = VirtualPool(build_pool(size), 6, Network(loss_ratio=0.05))
            pool.run_until(4.0)
            node = pool.nodes['host-01']
            node.plane.leave(pool.now_s)
            node.plane.set_successor('host-02')
            pool.run_until(5.0)
            for other in pool.nodes.values():
                seen = other.plane.view().peers['host-01']
                self.assertTrue(seen.is_leaving)
                self.assertNotIn('host-01', other.plane.view().owners())


class IncarnationTests(testtools.TestCase):
    """Guards against an earlier process that overrides a newer one."""

    def test_a_restart_is_seen_as_a_new_incarnation_at_once(self):
        for size in _SIZES:
            pool = VirtualPool(build_pool(size), 7)
            pool.run_until(4.0)
            pool.stop('host-01')
            pool.start('host-01', 'zone-b', build_pool(size), 10**15)
            pool.run_until(5.0)
            for node in pool.nodes.values():
                seen = node.plane.view().peers['host-01']
                self.assertEqual(10**15, seen.incarnation)

    def test_a_host_whose_clock_went_back_outranks_its_earlier_process(self):
        pool = VirtualPool(build_pool(3), 8)
        pool.run_until(4.0)
        old = pool.nodes['host-01'].plane.incarnation
        pool.stop('host-01')
        node = pool.start('host-01', 'zone-b', build_pool(3), old - 10**6)
        pool.run_until(6.0)
        self.assertEqual(old + 1, node.plane.incarnation)
        seen = pool.nodes['host-00'].plane.view().peers['host-01']
        self.assertEqual(old + 1, seen.incarnation)

    def test_a_delayed_heartbeat_of_an_earlier_process_is_ignored(self):
        pool = VirtualPool(build_pool(3), 9)
        pool.run_until(4.0)
        plane = pool.nodes['host-00'].plane
        newer = plane.view().peers['host-01']
        old = peerwire.Heartbeat(
            'host-01', newer.incarnation - 1, True, False, {}, 1, 1, {}
        )
        plane.on_heartbeat(old, pool.now_s)
        self.assertEqual(newer, plane.view().peers['host-01'])

    def test_two_processes_of_one_host_id_do_not_raise_for_ever(self):
        planes = [_plane(), _plane()]
        for step in range(50):
            for one, two in (planes, list(reversed(planes))):
                one.on_heartbeat(
                    peerwire.Heartbeat(
                        'host-00',
                        two.incarnation + 1,
                        False,
                        False,
                        {},
                        0,
                        0,
                        {},
                    ),
                    float(step),
                )
        self.assertTrue(max(plane.incarnation for plane in planes) < 20)

    def test_unusable_arguments_name_the_argument(self):
        for host_id, incarnation in (('', 1), ('a', -1), ('a', 2**62)):
            with testtools.ExpectedException(InvalidArgumentError):
                _plane(host_id, incarnation)


class HeartbeatTests(testtools.TestCase):
    """Guards against control traffic above its budget and bad messages."""

    def test_a_heartbeat_of_the_largest_pool_fits(self):
        pool = VirtualPool(build_pool(64, 244, 2), 10)
        demands = {f'service-{place:03}': place for place in range(244)}
        for node in pool.nodes.values():
            node.plane.set_demands(demands)
        pool.run_until(4.0)
        sizes = [one.largest_size_bytes for one in pool.nodes.values()]
        largest = max(sizes)
        self.assertTrue(largest < MAX_HEARTBEAT_SIZE_BYTES, largest)

    def test_the_busiest_demands_reach_the_peers(self):
        pool = VirtualPool(build_pool(3), 11)
        pool.nodes['host-01'].plane.set_demands({'service-000': 9, 'idle': 0})
        pool.run_until(3.0)
        seen = pool.nodes['host-00'].plane.view().peers['host-01']
        self.assertEqual({'service-000': 9}, seen.demands)

    @given(
        st.sampled_from(('host-00', 'host-01', 'stranger')),
        st.integers(0, 2**63),
        _counters,
        st.binary(max_size=40),
    )
    def test_no_heartbeat_raises(self, sender, incarnation, counters, block):
        plane = _plane()
        plane.configure(build_pool(3), 0.0)
        beat = peerwire.Heartbeat(
            sender, incarnation, True, True, counters, 7, 7, {}, '', block
        )
        plane.on_heartbeat(beat, 1.0)
        plane.tick(1.0)
        self.assertIn('host-00', plane.view().peers)

    @given(st.lists(st.integers(0, 2**40), min_size=0, max_size=70))
    def test_a_packed_block_gives_back_counters_and_flags(self, counters):
        members = []
        for place, counter in enumerate(counters):
            member = Member(f'host-{place}', 'zone-a')
            member.update_counter(place, counter, 0.0)
            member.is_warm = counter % 2 == 0
            members.append(member)
        block = packing.pack(members, 65537, 1)
        header = packing.read_header(block)
        self.assertEqual(1, header.version)
        for record in packing.unpack(block, header):
            member = members[record.place]
            self.assertEqual(member.is_warm, record.is_warm)
            self.assertEqual(
                member.counter, packing.full_counter(member, record)
            )


class ViewTests(testtools.TestCase):
    """Guards against views that change without a cause or miss a change."""

    def test_the_view_is_the_same_object_while_nothing_changes(self):
        pool = VirtualPool(build_pool(5), 12)
        pool.run_until(5.0)
        views = [node.plane.view() for node in pool.nodes.values()]
        pool.run_until(15.0)
        for node, view in zip(pool.nodes.values(), views):
            self.assertIs(view, node.plane.view())

    def test_prepared_and_warm_reach_the_whole_pool_within_two_seconds(self):
        for size in _SIZES:
            pool = VirtualPool(build_pool(size), 13)
            pool.run_until(4.0)
            for node in pool.nodes.values():
                node.plane.set_prepared(True)
                node.plane.set_warm(True)
            pool.run_until(6.0)
            for node in pool.nodes.values():
                view = node.plane.view()
                for peer in view.peers.values():
                    self.assertTrue(peer.is_warm)
                    self.assertEqual(
                        view.configuration_digest, peer.prepared_digest
                    )

    def test_a_new_configuration_is_not_prepared(self):
        pool = VirtualPool(build_pool(3), 14)
        plane = pool.nodes['host-00'].plane
        plane.set_prepared(True)
        plane.configure(with_version(build_pool(3), 0, 2), 1.0)
        view = plane.view()
        own = view.peers['host-00']
        self.assertNotEqual(view.configuration_digest, own.prepared_digest)

    def test_two_watchers_of_each_zone_are_the_same_everywhere(self):
        pool = VirtualPool(build_pool(9), 15)
        pool.run_until(4.0)
        for zone in ('zone-a', 'zone-b', 'zone-c'):
            chosen = {
                tuple(node.plane.watchers(zone)) for node in pool.nodes.values()
            }
            self.assertEqual(1, len(chosen))
            self.assertEqual(2, len(chosen.pop()))
        reporters = {node.plane.reporter() for node in pool.nodes.values()}
        self.assertEqual(1, len(reporters))


class FetchTests(testtools.TestCase):
    """Guards against nodes without configuration and bursts of fetches."""

    def test_a_node_without_configuration_is_not_ready_and_fetches(self):
        plane = _plane()
        self.assertFalse(plane.is_ready())
        beat = peerwire.Heartbeat('host-01', 1, False, False, {}, 9, 0, {})
        plane.on_heartbeat(beat, 0.0)
        actions = plane.tick(0.5)
        self.assertEqual([FetchConfiguration('host-01')], actions)
        plane.configure(build_pool(3), 0.6)
        self.assertTrue(plane.is_ready())

    def test_the_end_of_a_partition_causes_no_burst_of_fetches(self):
        pool = VirtualPool(build_pool(24), 16)
        pool.run_until(4.0)
        left = {f'host-{place:02}' for place in range(12)}
        pool.network.is_cut = lambda one, two: (one in left) != (two in left)
        for version in (2, 3, 4):
            changed = with_version(build_pool(24), 0, version)
            pool.configure(pool.nodes['host-00'], changed)
            pool.run_until(pool.now_s + 5.0)
        for node in pool.nodes.values():
            node.fetch_count = 0
        pool.network.is_cut = lambda _one, _two: False
        pool.run_until(pool.now_s + 10.0)
        for node in pool.nodes.values():
            services = node.plane.pool.services
            self.assertEqual(4, services[0].version)
            self.assertTrue(node.fetch_count <= 3, node.fetch_count)
