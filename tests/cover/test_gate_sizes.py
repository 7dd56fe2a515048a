"""The gate in a flood of four times the usual load, at 9, 80 and 195 hosts."""

import dataclasses

import testtools

from currantshore.internal.steering.mechanisms import Mechanism
from tests.cover.queue_world import Load, QueueWorld, Server
from tests.cover.steering_kit import ADDRESS, OTHER_ADDRESS, make_route

# Hosts, and requests a second at each: larger fleets have smaller hosts.
_FLEETS = ((9, 20), (80, 9), (195, 3.6))

_SLOTS = 3
_QUEUE = 12
_FEED_WORK_S = 0.04
_CHECKOUT_WORK_S = 0.052
_FEED_SHARE = 0.78
_CHECKOUT_SHARE = 0.22

# One server for so many requests a second: a third of what it can work on.
_PER_SERVER_PER_S = 26

_WAY_S = 0.03
_TIMES = 4

FEED = make_route(ADDRESS)
CHECKOUT = dataclasses.replace(
    make_route(OTHER_ADDRESS), priority=FEED.priority - 1
)


class FleetTests(testtools.TestCase):
    """Guards against a gate that few answers at each host leave blind."""

    def flood(self, hosts, per_host_per_s, *switched_off):
        """Return outcomes of feed and checkouts after a second of flood."""
        usual_per_s = hosts * per_host_per_s
        count = round(usual_per_s / _PER_SERVER_PER_S)
        servers = [Server(_SLOTS, _QUEUE) for _ in range(count)]
        world = QueueWorld(hosts, servers, _WAY_S, frozenset(switched_off))
        world.simulate(12, *self.loads(usual_per_s))
        world.simulate(1, *self.loads(usual_per_s * _TIMES))
        return world.simulate(3, *self.loads(usual_per_s * _TIMES))

    def loads(self, per_s):
        return (
            Load(FEED, per_s * _FEED_SHARE, _FEED_WORK_S),
            Load(CHECKOUT, per_s * _CHECKOUT_SHARE, _CHECKOUT_WORK_S),
        )

    def test_most_of_what_servers_can_work_on_is_served_in_time(self):
        for hosts, per_host_per_s in _FLEETS:
            gated = self.flood(hosts, per_host_per_s)
            ungated = self.flood(hosts, per_host_per_s, Mechanism.OPENING_GATE)
            # Servers can work on 0.67 of the flood.
            self.assertGreater(served_in_time(gated), 0.67 / 2, hosts)
            self.assertGreater(
                served_in_time(gated), 2 * served_in_time(ungated), hosts
            )

    def test_urgent_openings_fare_better_than_the_rest(self):
        for hosts, per_host_per_s in _FLEETS:
            feed, checkout = self.flood(hosts, per_host_per_s)
            self.assertGreater(
                served_in_time([checkout]), served_in_time([feed]), hosts
            )


def served_in_time(outcomes):
    """Return the part of all requests that was served in time."""
    asked = sum(counts.total() for counts in outcomes)
    return sum(counts['in_aim'] for counts in outcomes) / asked


class RestTests(testtools.TestCase):
    """Guards against refusals at rest where work takes most of the target."""

    def rest(self, target_to_work, usage, followed_s=15):
        """Return the part refused of a load that servers work on in time.

        Hosts have seen the load for ``followed_s`` before.
        """
        target_s = _FEED_WORK_S * target_to_work + _WAY_S
        route = dataclasses.replace(
            FEED, target_latency_s=target_s, timeout_s=target_s * 5
        )
        servers = [Server(_SLOTS, _QUEUE) for _ in range(7)]
        world = QueueWorld(9, servers, _WAY_S)
        per_s = usage * _SLOTS * len(servers) / _FEED_WORK_S
        world.simulate(followed_s, Load(route, per_s, _FEED_WORK_S))
        (outcomes,) = world.simulate(20, Load(route, per_s, _FEED_WORK_S))
        return outcomes['refused'] / outcomes.total()

    def test_the_spread_of_work_is_no_waiting(self):
        for usage in (0.3, 0.6, 0.8):
            self.assertLess(self.rest(2, usage), 0.05, usage)
            self.assertLess(self.rest(3, usage), 0.01, usage)
            self.assertEqual(0, self.rest(6, usage), usage)

    def test_hosts_that_have_just_started_refuse_nobody(self):
        for usage in (0.3, 0.6, 0.8):
            self.assertLess(self.rest(3, usage, followed_s=0), 0.01, usage)
            self.assertEqual(0, self.rest(6, usage, followed_s=0), usage)

    def test_hosts_that_have_just_started_refuse_few_at_twice_the_work(self):
        for usage in (0.3, 0.6, 0.8):
            self.assertLess(self.rest(2, usage, followed_s=0), 0.05, usage)
