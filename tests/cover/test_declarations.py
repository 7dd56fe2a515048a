"""Declarations: loading from TOML and the report of all faults."""

import tempfile
from pathlib import Path

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore.declarations import (
    load_address_map,
    load_declarations,
    load_pool,
    schema,
)
from currantshore.errors import DeclarationError
from currantshore.internal.snapshot import BackendState, HostState
from currantshore.wire import Endpoint

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_POOL = """
pool_id = "lakeshore"
user_id = "lakeshore-utility"
zones = ["harbor", "eastside"]
[[hosts]]
host_id = "harbor-1"
zone = "harbor"
peer_endpoint = "127.0.1.1:7100"
rpc_endpoint = "127.0.1.1:7200"
[[hosts]]
host_id = "eastside-1"
zone = "eastside"
peer_endpoint = "127.0.1.2:7100"
rpc_endpoint = "127.0.1.2:7200"
"""
_SERVICE = """
service_id = "dockwatch"
address = "127.0.1.101:7000"
bucket_count = 4096
[[backend_servers]]
backend_id = "dockwatch-1"
zone = "harbor"
endpoint = "127.0.1.101:7301"
slot_count = 3
[[backend_servers]]
backend_id = "dockwatch-2"
zone = "eastside"
endpoint = "127.0.1.101:7302"
slot_count = 3
[[priority_classes]]
name = "checkout"
urgency = 0
guaranteed_share_ratio = 0.6
[[priority_classes]]
name = "family-app"
urgency = 1
guaranteed_share_ratio = 0.4
"""
_OTHER = (
    _SERVICE.replace('"dockwatch', '"upload')
    .replace('101:7000', '102:7000')
    .replace('101:73', '102:73')
)

# File, text, its replacement, and what the report must contain.
_FAULTS = (
    ('pool.toml', 'harbor-1', 'Harbor 1', 'hosts[0].host_id='),
    ('pool.toml', 'harbor-1', 'eastside-1', 'hosts[1].host_id='),
    ('pool.toml', 'harbor-1', 'dockwatch-2', 'backend_id='),
    ('pool.toml', 'zone = "harbor"', 'zone = "habor"', "'harbor', 'eastside'"),
    ('pool.toml', '.1.2:7100', '.1.1:7100', 'hosts[1].peer_endpoint='),
    ('pool.toml', '.1.2:7200', '.1.1:7200', 'hosts[1].rpc_endpoint='),
    ('pool.toml', '.1.2:7100', '.1.101:7301', 'hosts[1].peer_endpoint='),
    ('pool.toml', '.1.2:7200', '.1.2:70000', 'hosts[1].rpc_endpoint='),
    ('pool.toml', '["harbor", "eastside"]', '[]', 'zones=[]'),
    ('pool.toml', '"eastside"]', '"harbor"]', "zones='harbor'"),
    ('pool.toml', 'zones', 'zone_names', 'zones is missing'),
    ('pool.toml', 'zones', 'zone_names', "zone_names=['harbor'"),
    ('pool.toml', '[[hosts]]', '[hosts', 'not a TOML file'),
    ('d', '"dockwatch"', '"dockwach"', "service_id='dockwach'"),
    ('d', '"127.0.1.101:7000"', '7000', 'address=7000'),
    ('d', '101:7000', '101', "address='127.0.1.101'"),
    ('d', '101:7000', '102:7000', 'address='),
    ('d', '101:7301', '102:7301', 'backend_servers[0].endpoint='),
    ('d', 'dockwatch-1', 'dockwatch-2', 'backend_servers[1].backend_id='),
    ('d', 'dockwatch-1', 'upload-1', 'backend_servers[0].backend_id='),
    ('d', 'zone = "harbor"', 'zone = "x"', 'backend_servers[0].zone='),
    ('d', '4096', '5000', 'bucket_count=5000'),
    ('d', '4096', '1024', 'from 2048 to 65536'),
    ('d', '4096', '131072', 'bucket_count=131072'),
    ('d', '4096', '0', 'bucket_count=0'),
    ('d', 'slot_count = 3', 'slot_count = 0', 'slot_count=0'),
    ('d', 'slot_count = 3', 'slot_count = 3.5', 'slot_count=3.5'),
    ('d', 'slot_count = 3', 'slots = 3', 'slot_count is missing'),
    ('d', 'slot_count = 3', 'state = "gone"\nslot_count = 3', "'draining'"),
    ('d', '0.4', '0.41', 'at most 1.0, not 1.010'),
    ('d', '0.4', '-0.4', 'guaranteed_share_ratio=-0.4'),
    ('d', '"family-app"', '"checkout"', 'priority_classes[1].name='),
    ('d', 'bucket_count', 'answer_timeout_s = 0\nbucket_count', '_s=0'),
    ('d', 'bucket_count', 'prepare_timeout_s = 9.0\nbucket_count', '_s=9.0'),
)


class _Case(testtools.TestCase):
    """Creates a directory of declarations for each test."""

    def setUp(self):
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = Path(temporary.name)
        (self.directory / 'services').mkdir()
        self.files = {
            'pool.toml': _POOL,
            'services/dockwatch.toml': _SERVICE,
            'services/upload.toml': _OTHER,
        }

    def load(self, address_map=None):
        for name, text in self.files.items():
            (self.directory / name).write_text(text, encoding='utf-8')
        return load_declarations(self.directory, address_map)

    def problems(self):
        try:
            self.load()
        except DeclarationError as error:
            return error.problems
        return ()


class LoadingTests(_Case):
    """Guards against records that differ from what was declared."""

    def test_declarations_become_the_stored_records(self):
        self.load()
        pool = load_pool(self.directory)
        self.assertEqual('lakeshore', pool.members.pool_id)
        self.assertEqual(
            Endpoint('127.0.1.1', 7100), pool.members.hosts[0].peer_endpoint
        )
        service = pool.services[0]
        self.assertEqual('lakeshore-utility', service.user_id)
        self.assertEqual(2, len(service.active_backends()))
        self.assertEqual(2000, service.backend_servers[0].connection_limit)
        self.assertEqual([0, 1], [c.urgency for c in service.priority_classes])

    def test_an_omitted_state_keeps_the_state_in_force(self):
        declared = self.load()
        in_force = declared.to_snapshot()
        drained = self._with_states(in_force)
        again = declared.to_snapshot(drained)
        self.assertEqual(HostState.LEAVING, again.members.hosts[0].state)
        states = [b.state for b in again.services[0].backend_servers]
        self.assertEqual([BackendState.DRAINING, BackendState.ACTIVE], states)

    def _with_states(self, pool):
        self.files['pool.toml'] = _POOL.replace(
            'host_id = "harbor-1"', 'host_id = "harbor-1"\nstate = "leaving"'
        )
        self.files['services/dockwatch.toml'] = _SERVICE.replace(
            '"dockwatch-1"', '"dockwatch-1"\nstate = "draining"'
        )
        return self.load().to_snapshot(pool)

    def test_an_address_map_replaces_endpoints(self):
        table = {'127.0.1.101:7000': '127.0.0.1:50001'}
        declared = self.load(table)
        service = declared.to_snapshot().services[0]
        self.assertEqual(Endpoint('127.0.0.1', 50001), service.address)

    def test_an_address_map_with_invalid_entries_is_refused(self):
        file = self.directory / 'map.toml'
        file.write_text('"127.0.1.101:7000" = "here"', encoding='utf-8')
        with testtools.ExpectedException(DeclarationError, '.*here.*'):
            load_address_map(file)


class FaultReportTests(_Case):
    """Guards against a faulty declaration that is put in force."""

    def test_each_fault_is_named_with_file_path_value_and_accepted(self):
        for file, old, new, expected in _FAULTS:
            name = file.replace('d', 'services/dockwatch.toml', len(file) == 1)
            original = self.files[name]
            self.assertIn(old, original)
            self.files[name] = original.replace(old, new, 1)
            report = '\n'.join(self.problems())
            self.assertIn(expected, report, (name, old, new))
            self.files[name] = original

    def test_all_faults_of_all_files_are_reported_at_once(self):
        self.files['pool.toml'] = _POOL.replace('harbor-1', 'Harbor')
        self.files['services/dockwatch.toml'] = (
            _SERVICE.replace('4096', '5')
            .replace('0.6', '0.7')
            .replace('slot_count = 3', 'slot_count = "x"')
        )
        self.files['services/upload.toml'] = 'service_id = "upload"'
        problems = self.problems()
        for expected in (
            'pool.toml: hosts[0].host_id=',
            'services/dockwatch.toml: bucket_count=5',
            'services/dockwatch.toml: backend_servers[0].slot_count=',
            'services/dockwatch.toml: backend_servers[1].slot_count=',
            'services/dockwatch.toml: priority_classes[*]',
            'services/upload.toml: address is missing',
            'services/upload.toml: backend_servers is missing',
        ):
            matching = [
                problem for problem in problems if problem.startswith(expected)
            ]
            self.assertEqual(1, len(matching), (expected, problems))

    def test_a_directory_without_a_pool_is_reported(self):
        with testtools.ExpectedException(DeclarationError, 'pool.toml.*'):
            load_declarations(self.directory)

    @given(
        st.dictionaries(
            st.sampled_from(
                ('service_id', 'address', 'bucket_count', 'backend_servers')
            ),
            st.one_of(
                st.integers(),
                st.text(alphabet='a1:.', max_size=8).map(repr),
                st.just('[]'),
                st.just('[1, "a", {}]'),
                st.just('[{zone=1, endpoint="x"}, {backend_id="dockwatch-1"}]'),
            ),
        )
    )
    def test_any_table_is_loaded_or_reported(self, table):
        lines = [f'{name} = {text}' for name, text in table.items()]
        self.files['services/upload.toml'] = '\n'.join(lines)
        self.assertNotEqual((), self.problems())


class SchemaTests(testtools.TestCase):
    """Guards against a schema that lacks a record or its limits."""

    def test_the_schema_names_both_files_and_the_limits(self):
        json_schema = schema()
        self.assertEqual(
            {'pool.toml', 'services/*.toml'}, set(json_schema['files'])
        )
        backend = json_schema['$defs']['BackendDeclaration']
        self.assertEqual(1, backend['properties']['slot_count']['minimum'])
        self.assertFalse(backend['additionalProperties'])
