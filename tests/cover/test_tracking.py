"""Tests of prepared changes, owners and lookups of one of two balancers."""

import random

import testtools

from currantshore.codes import DropReason
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    FlowsHandedOver,
    HandoverFinished,
    HandOverFlows,
    SendToBackend,
    SendToPeer,
)
from currantshore.internal.flows.flowplane import FlowPlane
from currantshore.internal.hashing import flow_key
from currantshore.internal.peerwire import Lookup, LookupReply, unseal
from currantshore.internal.snapshot import BackendState
from currantshore.internal.tokens import TokenSealer
from currantshore.internal.views import LiveView, PeerView
from currantshore.wire import Endpoint
from tests.stateful import links

_HOSTS = ('h0', 'h1')
_DRAINING = {0: BackendState.DRAINING}


def pool(version, states=None):
    active = BackendState.ACTIVE
    backends = [
        links.backend('a', number, (states or {}).get(number, active))
        for number in range(3)
    ]
    return links.pool(_HOSTS, [links.service('a', backends, version)], version)


def view(version, prepared):
    peers = {
        host: PeerView(host, 'z', 1, False, True, links.digest(prepared), {})
        for host in _HOSTS
    }
    return LiveView('h0', peers, links.digest(version))


class PreparedChangeTests(testtools.TestCase):
    """Guards against changes that move flows or never end."""

    def setUp(self):
        super().setUp()
        self.counters = Counters()
        self.plane = FlowPlane.from_config(
            'h0',
            self.counters,
            TokenSealer(b'k'),
            links.PEER_KEY,
            1,
            links.Health(),
            random.Random(1),
        )
        self.plane.configure(pool(0), -1.2)
        self.plane.on_live_view(view(0, 0), -1.2)
        self.acknowledge(self.plane.tick(-1.2))
        settled = FlowsHandedOver('h1', 'a', {}, 0)
        self.plane.on_flows_handed_over(settled, -1.1)
        for step in range(-22, 1):
            self.acknowledge(self.plane.tick(step * 0.05))
        self.callers = [Endpoint('127.0.0.9', port) for port in range(1, 61)]

    def acknowledge(self, actions):
        for action in actions:
            if isinstance(action, HandOverFlows):
                finished = HandoverFinished(
                    action.host_id, 'a', action.handover_id, True
                )
                self.plane.on_handover_finished(finished, 0.0)

    def send(self, caller, now_s):
        key = flow_key('a', caller)
        return self.plane.on_payload('a', caller, key, b'x', None, now_s)

    def test_flows_of_a_drained_server_stay_and_are_handed_over(self):
        before = {caller: self.send(caller, 0.1) for caller in self.callers}
        actions = self.plane.configure(pool(1, _DRAINING), 0.2)
        handed = sum(
            len(packed) // 5
            for action in actions
            for packed in action.flows.values()
        )
        drained = links.backend('a', 0).endpoint
        expected = [
            caller
            for caller, sent in before.items()
            if sent[0].target == drained
        ]
        self.assertEqual(len(expected), handed)
        self.assertFalse(self.plane.is_prepared())
        self.acknowledge(actions)
        self.acknowledge(self.plane.tick(0.5))
        self.assertTrue(self.plane.is_prepared())
        for caller, sent in before.items():
            self.assertEqual(sent, self.send(caller, 0.6))

    def test_only_unknown_flows_of_moved_buckets_are_looked_up(self):
        self.plane.configure(pool(1, _DRAINING), 0.2)
        for caller in self.callers:
            self.send(caller, 0.3)
        looked_up = self.counters.counts[Count.FLOWS_LOOKED_UP]
        self.assertGreater(looked_up, 0)
        self.assertLess(looked_up, 30)

    def test_a_reply_sends_the_waiting_packets(self):
        self.plane.configure(pool(1, _DRAINING), 0.2)
        caller, lookup_sent = self.first_lookup()
        lookup = unseal(lookup_sent.payload, links.PEER_KEY)
        reply = LookupReply('h1', 'a', lookup.flow_key, 'a-0')
        sent = self.plane.on_lookup_reply(reply, 0.31)
        self.assertEqual(links.backend('a', 0).endpoint, sent[0].target)
        self.assertEqual([], self.plane.on_lookup_reply(reply, 0.32))
        self.assertEqual(sent, self.send(caller, 0.33))

    def test_a_silent_owner_does_not_delay_packets_forever(self):
        self.plane.configure(pool(1, _DRAINING), 0.2)
        self.first_lookup()
        sent = []
        for step in range(7, 40):
            sent.extend(self.plane.tick(step * 0.05))
        forwarded = [
            action for action in sent if isinstance(action, SendToBackend)
        ]
        self.assertEqual(1, len(forwarded))

    def test_waiting_packets_are_bounded(self):
        self.plane.configure(pool(1, _DRAINING), 0.2)
        caller, _ = self.first_lookup()
        for _ in range(20):
            self.send(caller, 0.31)
        self.assertEqual(13, self.counters.drops[DropReason.LOOKUP_QUEUE_FULL])

    def test_a_drain_ends_new_flows_when_a_peer_never_prepares(self):
        self.plane.configure(pool(1, _DRAINING), 0.2)
        for step in range(5, 60):
            self.acknowledge(self.plane.tick(step * 0.05))
        drained = links.backend('a', 0).endpoint
        lookup = Lookup('h1', 'a', self.key_of_drained(), is_known_only=False)
        answers = self.plane.on_lookup(lookup, 3.0)
        self.assertIsInstance(answers[0], SendToPeer)
        self.assertNotIn(
            drained, [action.target for action in self.all_sent(3.1)]
        )

    def first_lookup(self):
        for caller in self.callers:
            for action in self.send(caller, 0.3):
                if isinstance(action, SendToPeer):
                    return caller, action
        raise AssertionError('no flow was looked up')

    def key_of_drained(self):
        return flow_key('a', self.callers[0])

    def all_sent(self, now_s):
        for caller in self.callers:
            for action in self.send(caller, now_s):
                if isinstance(action, SendToBackend):
                    yield action
