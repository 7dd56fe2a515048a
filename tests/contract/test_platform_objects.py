"""Objects of the store, decoded into the product's types."""

import json

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    RequestKind,
    ServiceShare,
)
from currantshore.platform import objects
from currantshore.platform.packets import encode_address
from currantshore.wire import Endpoint

# Spelled as on the users' page.
_SERVER = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'harbor',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'warmup-left-ms': 1500,
    'sequence': 4,
    'born': 1764825600123,
}
_CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-3d3zji9',
            'host': '198.18.0.1',
            'path-prefix': '/8080/',
            'route-type': 'unsafe',
            'timeout-ms': 1500,
            'target-latency-ms': 300,
            'priority': 1,
            'service': 'huvo11a',
            'max-attempts': 2,
        },
        {
            'name': 'r-hwrr6x7',
            'host': '198.18.0.1',
            'path-prefix': '/8443/',
            'route-type': 'safe',
            'timeout-ms': 1200,
            'target-latency-ms': 250,
            'priority': 2,
            'weighted-services': [
                {'service': 'huvo11a', 'weight': 90},
                {'service': 'wuno96b', 'weight': 10},
            ],
        },
    ],
    'services': [
        {
            'name': 'huvo11a',
            'health-check-path': '/health',
            'max-connections': 2000,
        },
    ],
    'limits': {'max-header-bytes': 16384, 'idle-timeout-ms': 15000},
}


def make_object(name, spec, revision=5):
    meta = {
        'name': name,
        'revision': revision,
        'create-revision': 1,
        'finalizers': [],
        'deleting': False,
    }
    return {'meta': meta, 'spec': spec, 'status': None}


def make_page(*items, has_more=False, revision=530):
    page = {'items': items, 'has-more': has_more, 'as-of': revision}
    return json.dumps(page).encode()


def make_events(*events, revision=533):
    listed = [{'object': found, 'removed': gone} for found, gone in events]
    return json.dumps({'events': listed, 'as-of': revision}).encode()


class BackendEntryTests(testtools.TestCase):
    """Guards against a server that is taken for another or left out."""

    def test_an_entry_of_the_page_is_decoded_with_its_units(self):
        page = objects.decode_backend_page(
            make_page(make_object('i-7f3a91c2', _SERVER))
        )
        expected = BackendEntry(
            'i-7f3a91c2',
            0x7F3A91C2,
            'huvo11a',
            Endpoint('10.128.0.9', 8080),
            'harbor',
            3,
            False,
            1.5,
            1764825600123,
            5,
        )
        self.assertEqual([expected], page.entries)
        self.assertEqual((530, ''), (page.revision, page.next_name))

    def test_a_page_that_is_not_the_last_names_where_to_go_on(self):
        page = objects.decode_backend_page(
            make_page(make_object('i-7f3a91c2', _SERVER), has_more=True)
        )
        self.assertEqual('i-7f3a91c2', page.next_name)

    def test_a_damaged_entry_is_left_out_and_the_others_hold(self):
        damages = (
            {'address': 17},
            {'address': 'nowhere'},
            {'address': '10.0.0.1'},
            {'address': '10.0.0.999:80'},
            {'state': 'sleeping'},
            {'slots': 'three'},
            {'slots': 0},
            {'service': None},
        )
        for damage in damages:
            bad = make_object('i-00000001', {**_SERVER, **damage})
            good = make_object('i-7f3a91c2', _SERVER)
            page = objects.decode_backend_page(make_page(bad, good))
            names = [entry.backend_id for entry in page.entries]
            self.assertEqual(['i-7f3a91c2'], names, damage)
            self.assertEqual(1, len(page.faults), damage)

    def test_an_entry_of_other_shape_is_left_out(self):
        for spec in ('text', 12, None, [], {}):
            page = objects.decode_backend_page(
                make_page(make_object('i-00000001', spec))
            )
            self.assertEqual([], page.entries, spec)

    def test_an_id_without_digits_names_no_server(self):
        page = objects.decode_backend_page(
            make_page(make_object('zzz', _SERVER))
        )
        self.assertEqual([], page.entries)

    def test_an_entry_that_cannot_be_read_any_more_counts_as_removed(self):
        seen = objects.decode_backend_changes(
            make_events((make_object('i-7f3a91c2', {'state': 1}, 531), False))
        )
        self.assertEqual([BackendRemoved('i-7f3a91c2', 531)], seen.changes)

    def test_a_removal_is_told_by_its_event(self):
        seen = objects.decode_backend_changes(
            make_events((make_object('i-7f3a91c2', _SERVER, 532), True))
        )
        self.assertEqual([BackendRemoved('i-7f3a91c2', 532)], seen.changes)
        self.assertEqual(533, seen.revision)

    @given(st.recursive(st.none() | st.text() | st.integers(), st.lists))
    def test_no_entry_raises(self, spec):
        page = objects.decode_backend_page(
            make_page(make_object('i-00000001', spec))
        )
        self.assertEqual([], page.entries)


class ConfigurationTests(testtools.TestCase):
    """Guards against flows placed by a route that was read wrongly."""

    def test_the_configuration_of_the_page_is_decoded(self):
        found = objects.decode_configuration_page(
            make_page(make_object('main', _CONFIGURATION))
        )
        table = found.table
        self.assertEqual((7, 15.0), (table.version, table.idle_timeout_s))
        first = table.routes[encode_address('198.18.0.1', 8080)]
        self.assertEqual((ServiceShare('huvo11a', 1),), first.shares)
        self.assertEqual(RequestKind.AT_MOST_ONCE, first.kind)
        self.assertEqual((0.3, 1.5), (first.target_latency_s, first.timeout_s))
        second = table.routes[encode_address('198.18.0.1', 8443)]
        self.assertEqual([90, 10], [share.weight for share in second.shares])

    def test_another_object_of_the_kind_is_no_configuration(self):
        found = objects.decode_configuration_page(
            make_page(make_object('other', _CONFIGURATION))
        )
        self.assertIsNone(found.table)

    def test_the_newest_version_of_several_events_counts(self):
        newer = {**_CONFIGURATION, 'version': 9}
        found = objects.decode_configuration_changes(
            make_events(
                (make_object('main', newer), False),
                (make_object('main', _CONFIGURATION), False),
            )
        )
        self.assertEqual(9, found.table.version)

    def test_an_answer_of_another_shape_raises_one_error(self):
        for body in (b'', b'[]', b'{"items": 3}', b'<html>'):
            self.assertRaises(
                msgspec.DecodeError, objects.decode_configuration_page, body
            )
