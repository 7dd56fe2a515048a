"""Tests of the gate at 9, 80 and 195 hosts, in a flood of 4 times the load."""

import dataclasses

import testtools

from currantshore.internal.steering.mechanisms import Mechanism
from tests.cover.queue_world import Load, QueueWorld, Server
from tests.cover.steering_kit import ADDRESS, OTHER_ADDRESS, make_route

# Numbers of hosts, and requests per second at each: larger fleets have smaller
# hosts.
_FLEETS = ((9, 20), (80, 9), (195, 3.6))

_SLOTS = 3
_QUEUE = 12
_FEED_WORK_S = 0.04
_CHECKOUT_WORK_S = 0.052
_FEED_SHARE = 0.78
_CHECKOUT_SHARE = 0.22

# Requests per second for each backend, a third of what it can process.
_PER_SERVER_PER_S = 26

_LINK_DELAY_S = 0.03
_FLOOD_FACTOR = 4

FEED = make_route(ADDRESS)
CHECKOUT = dataclasses.replace(
    make_route(OTHER_ADDRESS), priority=FEED.priority - 1
)


class FleetTests(testtools.TestCase):
    """Guards against a gate that fails where each host gets few answers."""

    def flood(self, hosts, per_host_per_s, *switched_off):
        """Return the outcomes by route after the first second of a flood."""
        usual_per_s = hosts * per_host_per_s
        count = round(usual_per_s / _PER_SERVER_PER_S)
        servers = [Server(_SLOTS, _QUEUE) for _ in range(count)]
        world = QueueWorld(
            hosts, servers, _LINK_DELAY_S, frozenset(switched_off)
        )
        world.simulate(12, *self.loads(usual_per_s))
        world.simulate(1, *self.loads(usual_per_s * _FLOOD_FACTOR))
        return world.simulate(3, *self.loads(usual_per_s * _FLOOD_FACTOR))

    def loads(self, per_s):
        return (
            Load(FEED, per_s * _FEED_SHARE, _FEED_WORK_S),
            Load(CHECKOUT, per_s * _CHECKOUT_SHARE, _CHECKOUT_WORK_S),
        )

    def test_most_requests_within_capacity_are_served_in_time(self):
        for hosts, per_host_per_s in _FLEETS:
            gated = self.flood(hosts, per_host_per_s)
            ungated = self.flood(hosts, per_host_per_s, Mechanism.OPENING_GATE)
            # The backends can process 0.67 of the flood.
            self.assertGreater(served_in_time(gated), 0.67 / 2, hosts)
            self.assertGreater(
                served_in_time(gated), 2 * served_in_time(ungated), hosts
            )

    def test_a_larger_share_of_urgent_requests_is_served_in_time(self):
        for hosts, per_host_per_s in _FLEETS:
            feed, checkout = self.flood(hosts, per_host_per_s)
            self.assertGreater(
                served_in_time([checkout]), served_in_time([feed]), hosts
            )


def served_in_time(outcomes):
    """Return the share of all requests that was served in time."""
    requests = sum(counts.total() for counts in outcomes)
    return sum(counts['in_aim'] for counts in outcomes) / requests


class NormalLoadTests(testtools.TestCase):
    """Guards against refusals without a flood.

    They come about where processing takes most of the target latency.
    """

    def refused_share(self, target_to_work, usage, observed_s=15):
        """Return the refused share of a load that backends process in time.

        Hosts have observed the load for ``observed_s`` before.
        """
        target_s = _FEED_WORK_S * target_to_work + _LINK_DELAY_S
        route = dataclasses.replace(
            FEED, target_latency_s=target_s, timeout_s=target_s * 5
        )
        servers = [Server(_SLOTS, _QUEUE) for _ in range(7)]
        world = QueueWorld(9, servers, _LINK_DELAY_S)
        per_s = usage * _SLOTS * len(servers) / _FEED_WORK_S
        world.simulate(observed_s, Load(route, per_s, _FEED_WORK_S))
        (outcomes,) = world.simulate(20, Load(route, per_s, _FEED_WORK_S))
        return outcomes['refused'] / outcomes.total()

    def test_differences_in_processing_time_do_not_count_as_waiting(self):
        for usage in (0.3, 0.6, 0.8):
            self.assertLess(self.refused_share(2, usage), 0.05, usage)
            self.assertLess(self.refused_share(3, usage), 0.01, usage)
            self.assertEqual(0, self.refused_share(6, usage), usage)

    def test_hosts_that_have_just_started_refuse_almost_none(self):
        for usage in (0.3, 0.6, 0.8):
            self.assertLess(
                self.refused_share(3, usage, observed_s=0), 0.01, usage
            )
            self.assertEqual(
                0, self.refused_share(6, usage, observed_s=0), usage
            )

    def test_hosts_that_have_just_started_refuse_few_at_a_tight_target(self):
        for usage in (0.3, 0.6, 0.8):
            self.assertLess(
                self.refused_share(2, usage, observed_s=0), 0.05, usage
            )
