"""The questionnaire: answers, derived values and generated declarations."""

import tempfile
from pathlib import Path

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from currantshore.declarations import load_pool
from currantshore.errors import DeclarationError, InvalidArgumentError
from currantshore.internal.operators.answers import (
    Answers,
    Concern,
    convert_answers,
)
from currantshore.questionnaire import (
    ANSWERS_FILE,
    answer_at_terminal,
    answer_from_file,
    generate,
    write_files,
)

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_USERS = ('lakeshore', 'beaulac')

# Path of the answer, a bad value and what the report must contain.
_FAULTS = (
    (('concern',), 'price', "'broken-flows', 'imbalance', 'floods'"),
    (('zones',), [], 'zones=[]'),
    (('zones',), ['a', 'a'], "zones='a'"),
    (('host_count',), 65, 'an integer from 1 to 64'),
    (('zone_delay_ms',), -1, 'zone_delay_ms=-1'),
    (('address_block',), '10.0.0', "address_block='10.0.0'"),
    (('services',), [], '1 to 100 services'),
    (('services', 0, 'service_id'), 'Dock Watch', 'services[0].service_id='),
    (('services', 1, 'service_id'), 'dockwatch', 'services[1].service_id='),
    (('services', 0, 'longest_silence_s'), 60000, 'at most longest_flow_s'),
    (('services', 0, 'requests'), [], 'services[0].requests=[]'),
    (('services', 0, 'requests', 1, 'name'), 'checkout', 'requests[1].name'),
    (
        ('services', 0, 'requests', 0, 'guaranteed_share_ratio'),
        1.5,
        'a share from 0.0 to 1.0',
    ),
)


def _table(user='lakeshore'):
    answers = answer_from_file(_EXAMPLES / user / ANSWERS_FILE)
    return msgspec.json.decode(msgspec.json.encode(answers))


def _load(files):
    with tempfile.TemporaryDirectory() as place:
        write_files(Path(place), files, may_replace=False)
        return load_pool(Path(place))


class ExampleTests(testtools.TestCase):
    """Guards against examples that differ from their answers."""

    def test_the_examples_match_their_answers(self):
        for user in _USERS:
            answers = answer_from_file(_EXAMPLES / user / ANSWERS_FILE)
            for name, content in generate(answers).items():
                written = (_EXAMPLES / user / name).read_bytes()
                self.assertEqual(written, content, (user, name))

    def test_the_examples_have_the_sizes_of_the_users(self):
        expected = {
            'lakeshore': {'dockwatch': (7, 3), 'incident-upload': (4, 3)},
            'beaulac': {'lignes-commandes': (7, 2), 'labo-glacure': (3, 2)},
        }
        for user in _USERS:
            pool = load_pool(_EXAMPLES / user)
            sizes = {
                one.service_id: (
                    len(one.backend_servers),
                    one.backend_servers[0].slot_count,
                )
                for one in pool.services
            }
            self.assertEqual(expected[user], sizes)
            self.assertEqual(6, len(pool.members.hosts))
            self.assertEqual(
                set(pool.members.zones),
                {host.zone for host in pool.members.hosts},
            )


class AnswersTests(testtools.TestCase):
    """Guards against answers that give unusable declarations."""

    def test_each_fault_is_reported_with_its_path(self):
        for path, bad_value, expected in _FAULTS:
            table = _table()
            parent = table
            for step in path[:-1]:
                parent = parent[step]
            parent[path[-1]] = bad_value
            try:
                convert_answers(table, ANSWERS_FILE)
            except DeclarationError as error:
                self.assertIn(expected, str(error))
            else:
                self.fail(f'{path}={bad_value!r} was accepted')

    @given(
        st.sampled_from(list(Concern)),
        st.integers(1, 64),
        st.integers(1, 60),
        st.floats(0.1, 1e6),
        st.integers(1, 600_000),
        st.lists(st.none() | st.floats(0, 0.25), min_size=1, max_size=4),
    )
    def test_all_accepted_answers_give_valid_declarations(
        self, concern, hosts, backends, run_ms, deadline_ms, shares
    ):
        table = _table()
        table.update(concern=concern, host_count=hosts)
        table['services'][0].update(
            backend_count=backends,
            typical_run_ms=run_ms,
            requests=[
                {
                    'name': f'kind-{index}',
                    'deadline_ms': deadline_ms,
                    'guaranteed_share_ratio': share,
                }
                for index, share in enumerate(shares)
            ],
        )
        files = generate(convert_answers(table, ANSWERS_FILE))
        self.assertEqual(files, generate(convert_answers(table, ANSWERS_FILE)))
        pool = _load(files)
        self.assertEqual(backends, len(pool.services[0].backend_servers))


class DerivedValueTests(testtools.TestCase):
    """Guards against values that ignore what matters most to the user."""

    def test_values_follow_what_matters_most_and_give_the_reason(self):
        found = {}
        for concern in Concern:
            table = _table() | {'concern': concern}
            files = generate(convert_answers(table, ANSWERS_FILE))
            text = files['services/dockwatch.toml'].decode()
            self.assertIn(f'# What matters most: {concern.value}.', text)
            service = _load(files).services[0]
            found[concern] = service
            shares = sum(
                one.guaranteed_share_ratio for one in service.priority_classes
            )
            self.assertLessEqual(shares, 0.9)
        flows, spread, floods = (found[one] for one in Concern)
        self.assertGreater(spread.bucket_count, flows.bucket_count)
        self.assertGreater(
            flows.flow_idle_timeout_s, spread.flow_idle_timeout_s
        )
        self.assertGreater(flows.answer_timeout_s, floods.answer_timeout_s)
        self.assertLess(spread.prepare_timeout_s, flows.prepare_timeout_s)
        lowest = floods.priority_classes[-1]
        self.assertGreater(
            lowest.guaranteed_share_ratio,
            flows.priority_classes[-1].guaranteed_share_ratio,
        )
        self.assertLess(
            lowest.queue_limit, flows.priority_classes[-1].queue_limit
        )

    def test_buckets_are_enough_for_the_expected_growth(self):
        table = _table()
        table['services'][0]['expected_backend_count'] = 20
        files = generate(convert_answers(table, ANSWERS_FILE))
        self.assertEqual(65536, _load(files).services[0].bucket_count)

    def test_requests_that_must_not_repeat_are_marked(self):
        text = (_EXAMPLES / 'lakeshore/services/dockwatch.toml').read_text()
        self.assertEqual(2, text.count('Must not run twice'))


class WritingTests(testtools.TestCase):
    """Guards against overwriting files that somebody changed."""

    def test_changed_files_are_replaced_only_on_request(self):
        with tempfile.TemporaryDirectory() as place:
            directory = Path(place)
            files = {'pool.toml': b'a\n', 'services/x.toml': b'b\n'}
            write_files(directory, files, may_replace=False)
            self.assertEqual(
                [], write_files(directory, files, may_replace=False)
            )
            (directory / 'pool.toml').write_bytes(b'edited\n')
            with testtools.ExpectedException(DeclarationError, '.*--replace.*'):
                write_files(directory, files, may_replace=False)
            changed = write_files(directory, files, may_replace=True)
            self.assertEqual(['pool.toml'], changed)


class _Terminal:
    """Answers questions from a list and records the printed lines."""

    def __init__(self, lines):
        self.lines = list(lines)
        self.printed = []

    def ask(self, prompt):
        self.printed.append(prompt)
        if not self.lines:
            raise EOFError
        return self.lines.pop(0)

    def print_line(self, line):
        self.printed.append(line)


_SERVICE_LINES = ('dockwatch', '', '7', '', '3', '', '40', '3600', '60')
_REQUEST_LINES = ('1', 'checkout', '2000', 'yes', '')
_POOL_LINES = ('lakeshore', 'lakeshore', '', 'harbor, eastside', '', '', '', '')


class TerminalTests(testtools.TestCase):
    """Guards against answers that differ between terminal and file."""

    def test_the_answers_file_of_a_session_gives_the_same_bytes(self):
        lines = (*_POOL_LINES, '1', *_SERVICE_LINES, *_REQUEST_LINES)
        terminal = _Terminal(lines)
        answers, text = answer_at_terminal(terminal.ask, terminal.print_line)
        self.assertEqual([], terminal.lines)
        self.assertEqual(Concern.BROKEN_FLOWS, answers.concern)
        self.assertTrue(answers.services[0].requests[0].must_not_repeat)
        with tempfile.TemporaryDirectory() as place:
            file = Path(place) / ANSWERS_FILE
            file.write_bytes(text)
            again = answer_from_file(file)
        self.assertEqual(generate(answers), generate(again))
        self.assertEqual(answers, again)

    def test_a_bad_answer_is_asked_again_with_the_accepted_values(self):
        lines = ('Lake Shore', *_POOL_LINES, 'none', '1')
        terminal = _Terminal(
            (*lines, *_SERVICE_LINES[:2], 'many', *_SERVICE_LINES[2:])
            + (*_REQUEST_LINES[:3], 'maybe', *_REQUEST_LINES[3:])
        )
        answers, _text = answer_at_terminal(terminal.ask, terminal.print_line)
        self.assertEqual('lakeshore', answers.user_id)
        refused = [one for one in terminal.printed if 'not accepted' in one]
        self.assertEqual(4, len(refused))

    def test_inconsistent_answers_are_asked_again(self):
        service = (*_SERVICE_LINES[:-1], '7200')
        first = (*_POOL_LINES, '1', *service, *_REQUEST_LINES)
        second = ['' for _ in first]
        second[len(first) - len(_REQUEST_LINES) - 1] = '30'
        terminal = _Terminal((*first, *second))
        answers, _text = answer_at_terminal(terminal.ask, terminal.print_line)
        self.assertEqual(30, answers.services[0].longest_silence_s)
        self.assertEqual('dockwatch', answers.services[0].service_id)

    def test_input_that_ends_early_names_the_answers_flag(self):
        terminal = _Terminal(_POOL_LINES)
        with testtools.ExpectedException(InvalidArgumentError, '.*--answers.*'):
            answer_at_terminal(terminal.ask, terminal.print_line)

    def test_every_answer_has_a_question(self):
        fields = msgspec.structs.fields(Answers)
        titles = [
            metadata.title
            for field in fields
            for metadata in field.type.__metadata__
        ]
        self.assertEqual(len(fields), len([field for field in titles if field]))
