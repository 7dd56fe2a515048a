"""Tests of slot shares and the choice of executors and backend servers."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore import wire
from currantshore.internal.requests.capacity import AdmissionMode, Capacity
from currantshore.internal.requests.executorchoice import choose_executor
from currantshore.internal.requests.slotshares import (
    GAIN_DELAY_S,
    SlotShares,
    fair_quotas,
)
from currantshore.internal.snapshot import BackendServer
from tests.cover import request_kit as kit

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

HOSTS = ('a', 'b', 'c')
SERVERS = tuple(
    BackendServer(f's{n}', 'z', wire.Endpoint('10.1.0.1', n), 3)
    for n in range(7)
)

_demands = st.dictionaries(
    st.text('abcdefgh', min_size=1, max_size=2),
    st.integers(0, 300),
    min_size=1,
)


def total(shares, now_s):
    return sum(shares.share(each.backend_id, now_s) for each in SERVERS)


class QuotaTests(testtools.TestCase):
    """Guards against a balancer starved by the demand of another."""

    @given(_demands, st.integers(0, 400))
    def test_every_slot_is_given_once(self, demands, slots):
        quotas = fair_quotas(demands, slots)
        self.assertEqual(slots, sum(quotas.values()))
        self.assertGreaterEqual(min(quotas.values()), 0)

    @given(_demands, st.integers(0, 400))
    def test_demand_up_to_the_equal_share_is_met(self, demands, slots):
        quotas = fair_quotas(demands, slots)
        equal = slots // len(demands)
        for host, demand in demands.items():
            self.assertGreaterEqual(quotas[host], min(demand, equal))

    def test_a_flood_gets_what_the_others_do_not_need(self):
        quotas = fair_quotas({'a': 200, 'b': 1, 'c': 2}, 21)
        self.assertEqual({'a': 16, 'b': 2, 'c': 3}, quotas)


class SlotShareTests(testtools.TestCase):
    """Guards against two balancers that use the same slot."""

    @given(st.lists(st.integers(0, 50), min_size=3, max_size=3))
    def test_balancers_with_the_same_demands_share_every_slot_once(self, each):
        demands = dict(zip(HOSTS, each, strict=True))
        counted = 0
        for host in HOSTS:
            shares = SlotShares(host)
            shares.update(SERVERS, demands, 0)
            counted += total(shares, GAIN_DELAY_S)
        self.assertEqual(21, counted)

    def test_a_lost_slot_stops_at_once(self):
        shares = SlotShares('a')
        shares.update(SERVERS, {'a': 20, 'b': 20}, 0)
        shares.update(SERVERS, {'a': 1, 'b': 20}, 10)
        self.assertEqual(2, total(shares, 10))

    def test_a_gained_slot_waits_until_its_loser_knows(self):
        shares = SlotShares('b')
        shares.update(SERVERS, {'a': 20, 'b': 20}, 0)
        before = total(shares, 9)
        shares.update(SERVERS, {'a': 1, 'b': 20}, 10)
        self.assertEqual(before, total(shares, 10))
        self.assertEqual(19, total(shares, 10 + GAIN_DELAY_S))

    def test_equal_shares_ignore_demand(self):
        shares = SlotShares('a')
        shares.update_equally(SERVERS, HOSTS, 0)
        self.assertEqual(7, total(shares, 0))

    def test_weighted_shares_follow_demand(self):
        shares = SlotShares('a')
        shares.update_weighted(SERVERS, {'a': 1000, 'b': 0}, 0)
        self.assertGreater(total(shares, 0), 18)

    def test_without_backend_servers_there_is_no_share(self):
        shares = SlotShares('a')
        shares.update((), {'a': 1}, 0)
        self.assertEqual(0, total(shares, 0))


class CapacityTests(testtools.TestCase):
    """Guards against runs on unusable, paused or removed backend servers."""

    def make(self, mode=AdmissionMode.FAIR_SHARES, hosts=('a',), **health):
        capacity = Capacity('a', kit.FixedHealth(**health), mode)
        capacity.on_demands(dict.fromkeys(hosts, 0), 0)
        capacity.configure(SERVERS, 0)
        return capacity

    def drain(self, capacity, now_s=0):
        chosen = []
        backend = capacity.choose('s3', frozenset(), now_s)
        while backend is not None:
            capacity.acquire(backend.backend_id)
            chosen.append(backend.backend_id)
            backend = capacity.choose('s3', frozenset(), now_s)
        return chosen

    def test_the_flow_s_own_server_is_preferred(self):
        chosen = self.drain(self.make())
        self.assertEqual(['s3', 's3', 's3'], chosen[:3])
        self.assertEqual(21, len(chosen))

    def test_an_unusable_server_gets_nothing(self):
        chosen = self.drain(self.make(bad={'s3'}))
        self.assertNotIn('s3', chosen)
        self.assertEqual(18, len(chosen))

    def test_a_slow_start_gets_fewer(self):
        self.assertEqual(7, len(self.drain(self.make(ratio=0.4))))

    def test_a_balancer_without_slots_has_one_request_outstanding(self):
        hosts = tuple(f'h{number}' for number in range(40))
        capacity = self.make(hosts=hosts)
        capacity.on_demands(dict.fromkeys(hosts, 9), 0)
        self.assertEqual(['s3'], self.drain(capacity))

    def test_a_shed_pauses_the_server(self):
        capacity = self.make()
        capacity.on_shed('s3', 0.5, 0)
        self.assertNotIn('s3', self.drain(capacity))
        self.assertIn('s3', self.drain(capacity, 0.6))

    def test_a_removed_server_gets_no_new_run(self):
        capacity = self.make()
        capacity.configure(SERVERS[:3], 0)
        self.assertNotIn('s3', self.drain(capacity))


class ExecutorChoiceTests(testtools.TestCase):
    """Guards against more executors than slots.

    They would cause sheds of each other's requests.
    """

    def test_few_slots_have_few_executors(self):
        service = kit.make_pool(SERVERS).services[0]
        live = {f'h{number}': number for number in range(64)}
        view = kit.make_view('h0', live)
        chosen = {
            choose_executor(service, view, key).host_id for key in range(99)
        }
        self.assertEqual(5, len(chosen))

    def test_without_live_hosts_there_is_none(self):
        service = kit.make_pool(SERVERS).services[0]
        view = kit.make_view('h0', {})
        self.assertIsNone(choose_executor(service, view, 1))
