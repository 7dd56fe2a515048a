"""Settings: flags, variables and one error that lists all faults."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore.errors import SettingsError
from currantshore.internal.process.settings import (
    SPECS,
    flag_name,
    load_settings,
    variable_name,
)
from currantshore.wire import Endpoint

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

GOOD = {
    'host_id': 'harbor-1',
    'zone': 'harbor',
    'pool_id': 'lakeshore',
    'peer_key': '00' * 32,
    'platform_url': 'http://127.0.0.1:8000',
    'peer_address': '127.0.0.1:7001',
    'rpc_address': '127.0.0.1:7002',
}

# Setting and a bad value.
FAULTS = (
    ('host_id', ''),
    ('zone', 'Harbor One'),
    ('pool_id', '-x'),
    ('peer_key', 'not hexadecimal'),
    ('peer_key', '00'),
    ('platform_url', 'ftp://x'),
    ('peer_address', 'example.org:1'),
    ('peer_address', '127.0.0.1'),
    ('rpc_address', '127.0.0.1:70000'),
    ('backend_address', ':1'),
    ('admin_address', '127.0.0.1:-1'),
    ('service_host', 'localhost'),
    ('service_addresses', 'dockwatch'),
    ('service_addresses', 'dockwatch=nowhere:1'),
    ('seed_peers', '127.0.0.1:1,x'),
    ('drain_timeout_s', '-1'),
    ('drain_timeout_s', 'nan'),
    ('leave_linger_s', '601'),
    ('platform_timeout_s', '0'),
    ('status_interval_s', 'soon'),
    ('seed', '1.5'),
    ('seed', '-1'),
    ('log_format', 'xml'),
    ('log_level', 'loud'),
)


def _flags(chosen):
    return [
        part
        for name, text in chosen.items()
        for part in (f'{flag_name(name)}={text}',)
    ]


class SettingsTests(testtools.TestCase):
    """Guards against a process that starts with half-checked settings."""

    def test_flags_are_read(self):
        loaded = load_settings(_flags(GOOD), {})
        self.assertEqual('harbor-1', loaded.host_id)
        self.assertEqual(Endpoint('127.0.0.1', 7001), loaded.peer_address)
        self.assertEqual(bytes(32), loaded.peer_key)

    def test_variables_are_read(self):
        environment = {variable_name(name): GOOD[name] for name in GOOD}
        self.assertEqual(
            load_settings(_flags(GOOD), {}), load_settings([], environment)
        )

    def test_a_flag_takes_precedence_over_a_variable(self):
        environment = {'CURRANTSHORE_ZONE': 'eastside'}
        loaded = load_settings(_flags(GOOD), environment)
        self.assertEqual('harbor', loaded.zone)

    def test_lists_are_read(self):
        chosen = GOOD | {
            'service_addresses': 'a=127.0.0.1:1,b=[::1]:2',
            'seed_peers': '127.0.0.1:3,127.0.0.1:4',
        }
        loaded = load_settings(_flags(chosen), {})
        self.assertEqual(
            {'a': Endpoint('127.0.0.1', 1), 'b': Endpoint('::1', 2)},
            loaded.service_addresses,
        )
        self.assertEqual([3, 4], [peer.port for peer in loaded.seed_peers])

    def test_each_fault_names_its_setting_and_what_is_accepted(self):
        for name, text in FAULTS:
            chosen = GOOD | {name: text}
            error = self.assertRaises(
                SettingsError, load_settings, _flags(chosen), {}
            )
            self.assertEqual(1, len(error.problems), (name, text))
            self.assertIn(flag_name(name), str(error))
            self.assertIn(SPECS[name].accepted, str(error))
            if name != 'peer_key':
                self.assertIn(repr(text), str(error))

    def test_one_error_names_every_fault(self):
        chosen = {'zone': 'X', 'seed': 'x', 'log_level': 'loud'}
        error = self.assertRaises(
            SettingsError,
            load_settings,
            [*_flags(chosen), '--surprise=1'],
            {'CURRANTSHORE_SUPRISE': '1'},
        )
        missing = set(GOOD) - {'zone'}
        for name in (*chosen, *missing):
            self.assertIn(flag_name(name), str(error))
        self.assertIn("'--surprise=1'", str(error))
        self.assertIn('CURRANTSHORE_SUPRISE', str(error))
        self.assertEqual(3 + len(missing) + 2, len(error.problems))

    def test_a_key_is_not_shown(self):
        error = self.assertRaises(
            SettingsError,
            load_settings,
            _flags(GOOD | {'peer_key': 'c0ffee'}),
            {},
        )
        self.assertNotIn('c0ffee', str(error))

    @given(st.sampled_from(sorted(SPECS)), st.text(max_size=20))
    def test_any_text_is_accepted_or_raises_a_settings_error(self, name, text):
        environment = {variable_name(key): GOOD[key] for key in GOOD}
        try:
            load_settings([], environment | {variable_name(name): text})
        except SettingsError as error:
            self.assertEqual(1, len(error.problems))
