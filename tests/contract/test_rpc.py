"""The service between balancers, over real sockets on loopback."""

import asyncio
import contextlib

import msgspec
import testtools

from currantshore.internal.events import (
    FlowsHandedOver,
    HandOverFlows,
    HandOverRequests,
    RequestsHandedOver,
)
from currantshore.internal.objectapi.records import merge_objects
from currantshore.internal.process.rpc import (
    PeerCallError,
    PeerClient,
    serve_peers,
)
from currantshore.internal.snapshot import pool_key
from currantshore.wire import Endpoint
from standins import users

_KEY = b'k' * 32
_LOOPBACK = Endpoint('127.0.0.1', 0)


class Handler:
    """Records the events that a balancer would pass to its core."""

    def __init__(self, pool=None):
        self.held = pool
        self.events = []

    def on_handed_over(self, event):
        self.events.append(event)

    def pool(self):
        return self.held


def versioned(pool, version):
    members = msgspec.structs.replace(pool.members, version=version)
    services = tuple(
        msgspec.structs.replace(service, version=version)
        for service in pool.services
    )
    return msgspec.structs.replace(pool, members=members, services=services)


class PeerServiceTests(testtools.TestCase):
    """Guards against handovers and configuration that arrive changed."""

    def setUp(self):
        super().setUp()
        self.handler = Handler(versioned(users.lakeshore(), 5))

    def call(self, work, key=_KEY):
        return asyncio.run(self._call(work, key))

    async def _call(self, work, key):
        listening = await serve_peers(self.handler, _KEY, _LOOPBACK)
        client = PeerClient('harbor-1', key)
        with contextlib.ExitStack() as stack:
            stack.callback(listening.server.close)
            stack.callback(client.close)
            return await work(client, listening.address)

    def test_flows_arrive_as_they_were_handed_over(self):
        flows = {'dw-1': b'12345abcde', 'dw-2': b''}
        action = HandOverFlows('eastside-2', 'dockwatch', 9, flows)
        is_accepted = self.call(
            lambda client, at: client.hand_over_flows(at, [action])
        )
        self.assertTrue(is_accepted)
        self.assertEqual(
            [FlowsHandedOver('harbor-1', 'dockwatch', flows)],
            self.handler.events,
        )

    def test_all_handovers_of_a_call_arrive_with_their_settled_versions(self):
        actions = [
            HandOverFlows('eastside-2', 'dockwatch', 9, {}, 7),
            HandOverFlows('eastside-2', 'incident-upload', 10, {}, 0),
            HandOverFlows('eastside-2', 'incident-upload', 11, {}),
            HandOverFlows('eastside-2', '', 12, {}, settled={'dockwatch': 8}),
        ]
        self.call(lambda client, at: client.hand_over_flows(at, actions))
        self.assertEqual(
            [
                ('dockwatch', 7, {}),
                ('incident-upload', 0, {}),
                ('incident-upload', -1, {}),
                ('', -1, {'dockwatch': 8}),
            ],
            [
                (event.service_id, event.settled_version, event.settled)
                for event in self.handler.events
            ],
        )

    def test_request_ids_arrive_with_the_incarnation(self):
        action = HandOverRequests('eastside-2', 'dockwatch', b'\x00ids')
        is_accepted = self.call(
            lambda client, at: client.hand_over_requests(at, action, 77)
        )
        self.assertTrue(is_accepted)
        self.assertEqual(
            [RequestsHandedOver('harbor-1', 77, 'dockwatch', b'\x00ids')],
            self.handler.events,
        )

    def test_a_host_without_configuration_receives_all_of_it(self):
        objects = self.call(lambda client, at: client.fetch(at, None))
        merged, faults = merge_objects('lakeshore', None, objects)
        self.assertEqual([], faults)
        self.assertEqual(self.handler.held.versions(), merged.versions())
        self.assertEqual(self.handler.held.members, merged.members)

    def test_only_newer_objects_are_sent(self):
        held = self.handler.held
        members = msgspec.structs.replace(held.members, version=4)
        older = msgspec.structs.replace(held, members=members)
        objects = self.call(lambda client, at: client.fetch(at, older))
        self.assertEqual(
            [pool_key('lakeshore')], [found[0] for found in objects]
        )

    def test_a_caller_without_the_key_is_refused(self):
        action = HandOverFlows('eastside-2', 'dockwatch', 9, {})
        is_accepted = self.call(
            lambda client, at: client.hand_over_flows(at, [action]), b'other'
        )
        self.assertFalse(is_accepted)
        self.assertEqual([], self.handler.events)

    def test_an_unreachable_peer_is_an_error_and_no_acknowledgement(self):
        unreachable = Endpoint('127.0.0.1', 1)
        action = HandOverFlows('eastside-2', 'dockwatch', 9, {})
        is_accepted = self.call(
            lambda client, at: client.hand_over_flows(unreachable, [action])
        )
        self.assertFalse(is_accepted)
        self.assertRaises(
            PeerCallError,
            self.call,
            lambda client, at: client.fetch(unreachable, None),
        )


class MergeTests(testtools.TestCase):
    """Guards against configuration that reverts or is only partly read."""

    def test_an_older_version_is_ignored(self):
        held = versioned(users.lakeshore(), 5)
        older = versioned(users.lakeshore(3), 4)
        body = msgspec.json.encode(older.members)
        found = [(pool_key('lakeshore'), 4, body)]
        merged, _ = merge_objects('lakeshore', held, found)
        self.assertEqual(held, merged)

    def test_an_unreadable_object_is_named_and_the_others_are_kept(self):
        held = versioned(users.lakeshore(), 5)
        body = msgspec.json.encode(held.members)
        found = [
            ('pools/lakeshore/services/dockwatch', 6, b'{}'),
            (pool_key('lakeshore'), 7, body),
        ]
        merged, faults = merge_objects('lakeshore', held, found)
        self.assertEqual(1, len(faults))
        self.assertIn('services/dockwatch version 6', faults[0])
        self.assertEqual(7, merged.members.version)
        self.assertEqual(held.services, merged.services)
