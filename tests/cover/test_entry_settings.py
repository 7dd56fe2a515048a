"""Settings of the entry process."""

import pathlib
import re
import tempfile

import testtools

from currantshore.errors import SettingsError
from currantshore.internal.entry.settings import (
    SPECS,
    load_entry_settings,
    variable_name,
)
from currantshore.internal.steering.mechanisms import Mechanism
from currantshore.wire import Endpoint

_GIVEN = {
    'host_id': 'front-harbor-1',
    'zone': 'harbor',
    'packet_address': '10.1.0.10:8172',
    'ready_address': '10.1.0.10:8167',
    'internal_ports': '7720,7735',
    'store_address': '10.200.1.7:8169',
}
_TEMPLATE = pathlib.Path(__file__).parents[2] / 'deploy' / 'host.settings'


def write_file(directory, given):
    path = pathlib.Path(directory) / 'host.settings'
    lines = [f'{variable_name(name)}={text}' for name, text in given.items()]
    path.write_text('\n'.join(('# by the platform', '', *lines)))
    return str(path)


class SettingsFileTests(testtools.TestCase):
    """Guards against settings that are read wrongly."""

    def load(self, given, *flags):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = write_file(directory.name, given)
        return load_entry_settings(('--settings-file', path, *flags))

    def problems(self, given, *flags):
        error = self.assertRaises(SettingsError, self.load, given, *flags)
        return error.problems

    def test_a_file_of_all_settings_is_read(self):
        settings = self.load(
            {**_GIVEN, 'seed_addresses': '10.1.0.1:1,10.1.0.2:2'}
        )
        self.assertEqual(Endpoint('10.1.0.10', 8172), settings.packet_address)
        self.assertEqual((7720, 7735), settings.internal_ports)
        self.assertEqual(
            (Endpoint('10.1.0.1', 1), Endpoint('10.1.0.2', 2)),
            settings.seed_addresses,
        )
        self.assertEqual(6, settings.grace_s)

    def test_mechanisms_that_are_switched_off_are_read_by_name(self):
        settings = self.load({**_GIVEN, 'switched_off': 'opening_gate'})
        self.assertEqual({Mechanism.OPENING_GATE}, settings.switched_off)
        self.assertEqual(set(), self.load(_GIVEN).switched_off)

    def test_an_unknown_mechanism_is_named_with_the_known_ones(self):
        (problem,) = self.problems({**_GIVEN, 'switched_off': 'opening_gat'})
        self.assertIn("'opening_gat'", problem)
        for mechanism in Mechanism:
            self.assertIn(mechanism.value, problem)

    def test_a_flag_wins_over_the_file(self):
        settings = self.load(_GIVEN, '--zone', 'eastside', '--grace-s=2.5')
        self.assertEqual(('eastside', 2.5), (settings.zone, settings.grace_s))

    def test_every_bad_setting_is_named_with_its_value(self):
        cases = (
            ('packet_address', '10.1.0.10'),
            ('packet_address', '10.1.0.300:1'),
            ('packet_address', 'front-1:80'),
            ('ready_address', '10.1.0.1:70000'),
            ('internal_ports', '7735,7720'),
            ('internal_ports', '7720'),
            ('store_address', ''),
            ('seed_addresses', '10.1.0.1:1,x'),
            ('link_mbit_per_s', '0'),
            ('grace_s', 'soon'),
            ('grace_s', '-1'),
            ('host_id', 'two words'),
        )
        for name, text in cases:
            (problem,) = self.problems({**_GIVEN, name: text})
            self.assertIn(variable_name(name), problem)
            self.assertIn(repr(text), problem)

    def test_missing_and_unknown_settings_are_one_error(self):
        given = {**_GIVEN, 'colour': 'blue'}
        given.pop('zone')
        problems = self.problems(given, '--shape=round')
        self.assertEqual(3, len(problems), problems)

    def test_a_file_that_is_not_there_is_named(self):
        error = self.assertRaises(
            SettingsError, load_entry_settings, ['--settings-file=/no/file']
        )
        self.assertIn('/no/file', error.problems[0])

    def test_the_template_of_the_deploy_file_names_known_settings(self):
        names = re.findall(
            '^(CURRANTSHORE_[A-Z_]+)=', _TEMPLATE.read_text(), re.M
        )
        known = {variable_name(name) for name in SPECS}
        self.assertEqual(known, set(names))
