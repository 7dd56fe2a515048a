"""The command line: results, exit codes and the next step."""

import asyncio
import contextlib
import io
import json
import os
import sys
import tempfile
import threading
from pathlib import Path
from unittest import mock

import msgspec
import testtools

from currantshore import __version__, cli
from currantshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    SettingsError,
)
from currantshore.internal.objectapi.records import status_key
from currantshore.internal.operators.status import (
    HostStatus,
    decode_status,
    encode_status,
)
from currantshore.internal.operators.textreports import ExitCode, Failure
from standins.platform import Faults, PlatformStandin, PutBody

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_LAKESHORE = str(_EXAMPLES / 'lakeshore')
_CHECKOUT_SHARE = 'guaranteed_share_ratio = 0.4'


class _StandinThread:
    """Runs the stand-in on a separate loop, because commands run their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.standin = None
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self.run(self._start())

    def run(self, work):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def stop(self):
        self.run(self.standin.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    async def _start(self):
        self.standin = PlatformStandin()
        await self.standin.start()


class _Case(testtools.TestCase):
    """Runs commands in this process against a stand-in."""

    def setUp(self):
        super().setUp()
        self.thread = _StandinThread()
        self.addCleanup(self.thread.stop)
        self.standin = self.thread.standin
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        self.place = Path(place.name)
        self.environ = {
            'CURRANTSHORE_PLATFORM_URL': self.standin.url,
            'CURRANTSHORE_POOL_ID': 'lakeshore',
            'CURRANTSHORE_OPERATOR': 'anna',
        }

    def text(self, *argv, stdin=''):
        out = io.StringIO()
        errors = io.StringIO()
        with (
            mock.patch.dict(os.environ, self.environ, clear=True),
            mock.patch.object(sys, 'stdin', io.StringIO(stdin)),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(errors),
        ):
            code = cli.main(argv)
        return code, out.getvalue(), errors.getvalue()

    def json(self, *argv):
        code, out, _errors = self.text(*argv, '--json')
        self.assertEqual(1, out.count('\n'))
        answer = json.loads(out)
        self.assertEqual((code, code == 0), (answer['exit_code'], answer['ok']))
        return answer

    def put_in_force(self):
        file = str(self.place / 'first.json')
        self.json('plan', _LAKESHORE, '--out', file)
        return self.json('apply', file)

    def copy_example(self, old='', new=''):
        copied = self.place / 'declared'
        (copied / 'services').mkdir(parents=True, exist_ok=True)
        for file in (_EXAMPLES / 'lakeshore').rglob('*.toml'):
            text = file.read_text().replace(old, new) if old else None
            target = copied / file.relative_to(_EXAMPLES / 'lakeshore')
            target.write_text(text or file.read_text())
        return str(copied)

    def write_status(self, version, hosts=None, flows=None):
        pool = json.loads(bytes(self._object('members').value))
        names = hosts or [one['host_id'] for one in pool['hosts']]
        keys = [
            found.key for found in self.standin.table.below('pools/lakeshore/')
        ]
        body = {
            name: {
                'versions': dict.fromkeys(keys, version),
                'draining_flows': flows,
            }
            for name in names
        }
        value = msgspec.Raw(msgspec.json.encode(body))
        self.thread.run(self._write(PutBody('reporter/1', value)))

    def report_to_a_watch(self, version):
        self.thread.run(self._until_watched())
        self.write_status(version)

    def end_outage_after_calls(self, count):
        self.thread.run(self._until_called(self.standin.calls['list'] + count))
        self.standin.set_faults(Faults(outage=False))

    def write_status_once_watched(self, version):
        self.thread.run(self._until_watched())
        self.write_status(version)

    async def _until_called(self, count):
        while self.standin.calls['list'] < count:
            await asyncio.sleep(0)

    async def _until_watched(self):
        while not self.standin.waiting:
            await asyncio.sleep(0)

    async def _write(self, body):
        self.standin.table.write(status_key('lakeshore'), body)

    def _object(self, name):
        return self.standin.table.find(f'pools/lakeshore/{name}')


class PlannedChangeTests(_Case):
    """Guards against commands that do not put answers in force."""

    def test_answers_become_a_configuration_in_force(self):
        answers = str(_EXAMPLES / 'lakeshore/answers.toml')
        directory = str(self.place / 'generated')
        written = self.json('questionnaire', directory, '--answers', answers)
        self.assertEqual(4, len(written['written']))
        file = str(self.place / 'plan.json')
        planned = self.json('plan', directory, '--out', file)
        self.assertEqual(5, len(planned['planned_versions']))
        applied = self.json('apply', file)
        self.assertEqual(5, applied['version'])
        again = self.json('apply', file)
        self.assertEqual(
            {True}, {one['was_in_force'] for one in again['steps']}
        )
        self.write_status(5)
        status = self.json('status', '--wait', '5')
        self.assertTrue(status['is_in_force'])
        nothing = self.json('plan', directory, '--out', file)
        self.assertEqual('', nothing['plan_file'])

    def test_the_text_of_each_command_names_the_next_step(self):
        file = str(self.place / 'plan.json')
        cases = (
            (('plan', _LAKESHORE, '--out', file), 'Next: currantshore apply'),
            (('apply', file), 'Next: currantshore status --wait 5'),
            (('apply', file), 'was in force already'),
            (('drain', 'dockwatch-1'), 'dockwatch-1 is now draining'),
            (('drain', 'dockwatch-1'), 'dockwatch-1 was already draining'),
            (('status',), 'draining dockwatch-1: open flows are not reported'),
            (('plan', _LAKESHORE, '--out', file), 'Nothing to do'),
        )
        for argv, expected in cases:
            self.assertIn(expected, self.text(*argv)[1])

    def test_the_slower_of_two_operators_sees_who_changed_the_object(self):
        self.put_in_force()
        files = []
        for operator, share in (('anna', '0.5'), ('benoit', '0.3')):
            declared = self.copy_example(
                _CHECKOUT_SHARE, f'guaranteed_share_ratio = {share}'
            )
            files.append(str(self.place / f'{operator}.json'))
            self.json(
                'plan', declared, '--out', files[-1], '--operator', operator
            )
        self.json('apply', files[0])
        code, out, errors = self.text('apply', files[1])
        self.assertEqual((ExitCode.CONFLICT, ''), (code, out), errors)
        self.assertIn('was changed by anna', errors)
        self.assertIn('0.4 -> 0.5', errors)
        self.assertIn('Next: agree with the other operator', errors)

    def test_lost_answers_change_no_result(self):
        file = str(self.place / 'plan.json')
        self.json('plan', _LAKESHORE, '--out', file)
        self.standin.set_faults(Faults(lose_answers=4))
        applied = self.json('apply', file)
        self.assertEqual((5, 5), (applied['version'], self._revision()))
        self.standin.set_faults(Faults(lose_answers=2))
        drained = self.json('drain', 'harbor-1')
        self.assertEqual((6, 6), (drained['version'], self._revision()))

    def _revision(self):
        return self.standin.table.revision

    def test_an_address_map_replaces_the_placeholders(self):
        table = self.place / 'addresses.toml'
        table.write_text('"127.0.1.101:7001" = "127.0.0.1:50001"')
        file = str(self.place / 'plan.json')
        self.environ['CURRANTSHORE_ADDRESS_MAP'] = str(table)
        planned = self.json('plan', _LAKESHORE, '--out', file)
        self.assertIn('claims/127.0.0.1:50001', planned['planned_versions'])
        del self.environ['CURRANTSHORE_ADDRESS_MAP']
        planned = self.json(
            'plan', _LAKESHORE, '--out', file, '--address-map', str(table)
        )
        self.assertIn('claims/127.0.0.1:50001', planned['planned_versions'])


class StatusTests(_Case):
    """Guards against a status that reports a change in force too early."""

    def test_hosts_that_are_behind_or_do_not_report_are_named(self):
        self.put_in_force()
        self.write_status(3, hosts=['harbor-1', 'eastside-2'])
        _code, out, _errors = self.text('status')
        self.assertIn('is in force on 0 of 6 hosts', out)
        self.assertIn('services/dockwatch at 3', out)
        self.assertIn('host millrace-3 (millrace, active): does not', out)
        answer = self.json('status', '--wait', '0', '--timeout-s', '0.2')
        self.assertEqual(ExitCode.NOT_IN_FORCE, answer['exit_code'])
        self.assertIn('harbor-1', answer['problems'][0])

    def test_waiting_shows_progress_and_does_not_wait_for_leaving_hosts(self):
        self.put_in_force()
        self.write_status(5)
        leaving = self.json('drain', 'harbor-1')
        # Written only after the command has started to wait, also on a slow
        # machine.
        waiting = threading.Thread(
            target=self.write_status_once_watched, args=(leaving['version'],)
        )
        waiting.start()
        self.addCleanup(waiting.join)
        code, out, errors = self.text(
            'status', '--wait', str(leaving['version'])
        )
        self.assertEqual(ExitCode.OK, code)
        self.assertIn('in force on 5 of 5 hosts', out)
        self.assertIn('in force on 0 of 5 hosts; waiting for', errors)

    def test_waiting_for_a_version_does_not_wait_for_later_changes(self):
        self.put_in_force()
        self.write_status(5)
        self.json('drain', 'dockwatch-1')
        self.assertTrue(self.json('status', '--wait', '5')['is_in_force'])
        self.assertFalse(self.json('status')['is_in_force'])

    def test_waiting_continues_during_an_outage(self):
        self.put_in_force()
        self.write_status(5)
        self.standin.set_faults(Faults(outage=True))
        ending = threading.Thread(target=self.end_outage_after_calls, args=(8,))
        ending.start()
        self.addCleanup(ending.join)
        answer = self.json('status', '--wait', '5')
        self.assertTrue(answer['is_in_force'])

    def test_waiting_includes_the_removal_of_a_service(self):
        self.put_in_force()
        for number in (1, 2, 3, 4):
            self.json('drain', f'incident-upload-{number}', '--allow-empty')
        self.write_status(9, flows={})
        declared = self.copy_example()
        (Path(declared) / 'services/incident-upload.toml').unlink()
        file = str(self.place / 'plan.json')
        self.json('plan', declared, '--out', file)
        version = self.json('apply', file)['version']
        answer = self.json('status', '--wait', '0', '--timeout-s', '0.1')
        self.assertEqual(ExitCode.NOT_IN_FORCE, answer['exit_code'])
        self.write_status(version)
        self.assertTrue(self.json('status', '--wait', '0')['is_in_force'])

    def test_flows_of_a_draining_backend_server_are_shown(self):
        self.put_in_force()
        self.json('drain', 'dockwatch-2')
        self.write_status(9, flows={'dockwatch-2': 7})
        _code, out, _errors = self.text('status')
        self.assertIn('draining dockwatch-2: 42 open flows', out)


class StatusObjectTests(testtools.TestCase):
    """Guards against a status object that outgrows the platform's limit."""

    def test_hosts_with_equal_versions_share_one_map(self):
        versions = {f'pools/p/services/service-{n}': n for n in range(1, 245)}
        status = {f'host-{n}': HostStatus(versions, {}) for n in range(64)}
        status['host-7'] = HostStatus(versions | {'pools/p/members': 9})
        encoded = encode_status(status)
        self.assertLess(len(encoded), 32_000)
        self.assertEqual(status, decode_status(encoded))

    def test_a_status_object_without_shared_maps_is_read(self):
        value = b'{"a": {"versions": {"k": 1}}, "b": {"versions": {}}}'
        expected = {'a': HostStatus({'k': 1}), 'b': HostStatus({})}
        self.assertEqual(expected, decode_status(value))

    def test_an_object_of_another_kind_is_rejected(self):
        with testtools.ExpectedException(PlatformError):
            decode_status(b'{"a": 1}')


class ExitCodeTests(_Case):
    """Guards against failures that scripts cannot distinguish."""

    def test_each_failure_has_its_code_and_next_step(self):
        self.put_in_force()
        broken = self.copy_example(
            _CHECKOUT_SHARE, 'guaranteed_share_ratio = 2'
        )
        damaged = self.place / 'damaged.json'
        damaged.write_text('{}')
        cases = (
            (('plan', broken), ExitCode.DECLARATIONS_INVALID),
            (('plan', str(self.place / 'none')), ExitCode.DECLARATIONS_INVALID),
            (('apply', str(damaged)), ExitCode.BAD_SETTINGS),
            (('apply', str(self.place / 'none')), ExitCode.BAD_SETTINGS),
            (('drain', 'nobody'), ExitCode.BAD_SETTINGS),
            (('drain', 'x', '--platform-url', 'ftp:'), ExitCode.BAD_SETTINGS),
            (
                ('drain', 'x', '--platform-timeout-s', 'soon'),
                ExitCode.BAD_SETTINGS,
            ),
            (('status', '--pool-id', 'nowhere'), ExitCode.INTERNAL_ERROR),
            (
                ('questionnaire', broken, '--answers', 'none.toml'),
                ExitCode.DECLARATIONS_INVALID,
            ),
        )
        for argv, expected in cases:
            answer = self.json(*argv)
            self.assertEqual(expected, answer['exit_code'], argv)
            self.assertNotEqual('', answer['next_step'])
            self.assertNotEqual([], answer['problems'])

    def test_a_broken_guarantee_is_refused(self):
        self.put_in_force()
        declared = self.copy_example(
            'bucket_count = 16384', 'bucket_count = 32768'
        )
        answer = self.json('plan', declared)
        self.assertEqual(ExitCode.PLAN_REFUSED, answer['exit_code'])
        self.assertIn('bucket_count is fixed', answer['problems'][0])

    def test_an_outage_and_a_refusal_have_different_codes(self):
        self.standin.set_faults(Faults(outage=True))
        for argv in (('status',), ('drain', 'x'), ('plan', _LAKESHORE)):
            answer = self.json(*argv)
            self.assertEqual(
                ExitCode.PLATFORM_UNAVAILABLE, answer['exit_code'], argv
            )
            self.assertIn('run the same command again', answer['next_step'])

    def test_all_missing_settings_are_named_at_once(self):
        self.environ = {'CURRANTSHORE_OPERATOR': 'a < b'}
        answer = self.json('status')
        text = ' '.join(answer['problems'])
        for name in ('PLATFORM_URL', 'POOL_ID', '--operator'):
            self.assertIn(name, text)

    def test_an_unknown_command_ends_with_the_code_for_bad_settings(self):
        with testtools.ExpectedException(SystemExit, '2'):
            self.text('frobnicate')

    def test_an_interrupted_command_says_that_it_can_be_repeated(self):
        with mock.patch.object(cli, 'read_view', side_effect=KeyboardInterrupt):
            answer = self.json('status')
        self.assertEqual(ExitCode.INTERRUPTED, answer['exit_code'])

    def test_a_base_class_does_not_hide_a_more_specific_code(self):
        for error, expected in (
            (PlatformUnavailableError('x'), ExitCode.PLATFORM_UNAVAILABLE),
            (PlatformError('x'), ExitCode.INTERNAL_ERROR),
            (SettingsError(['x']), ExitCode.BAD_SETTINGS),
        ):
            self.assertEqual(expected, Failure.from_error(error).exit_code)


class OtherCommandTests(_Case):
    """Guards against commands that scripts cannot use."""

    def test_version_and_schema_are_printed(self):
        self.assertEqual(__version__, self.json('version')['version'])
        found = self.json('schema')['schema']
        _code, out, _errors = self.text('schema')
        self.assertEqual(found, json.loads(out))

    def test_the_questionnaire_asks_at_the_terminal(self):
        directory = str(self.place / 'asked')
        lines = ['beaulac', 'beaulac', 'floods', 'atelier-nord', '', '', '', '']
        lines += ['1', 'labo-glacure', '', '3', '', '2', '', '', '', '']
        lines += ['1', 'glacure', '', '', '']
        stdin = ''.join(f'{line}\n' for line in lines)
        code, out, errors = self.text('questionnaire', directory, stdin=stdin)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn('What would hurt you most?', errors)
        self.assertIn(f'Next: currantshore plan {directory}', out)
        again = self.json(
            'questionnaire', directory, '--answers', f'{directory}/answers.toml'
        )
        self.assertEqual([], again['written'])

    def test_a_session_that_ends_early_is_bad_input(self):
        code, _out, errors = self.text('questionnaire', str(self.place / 'x'))
        self.assertEqual(ExitCode.BAD_SETTINGS, code)
        self.assertIn('the input ended before the last question', errors)

    def test_the_balancer_gets_its_arguments_unchanged(self):
        daemon = mock.Mock()
        daemon.run_balancer.return_value = 3
        name = 'currantshore.internal.process.daemon'
        with mock.patch.dict(sys.modules, {name: daemon}):
            code, _out, _errors = self.text('balancer', '--host-id', 'x')
        daemon.run_balancer.assert_called_once_with(['--host-id', 'x'])
        self.assertEqual(3, code)
