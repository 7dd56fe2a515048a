"""The operators' page of the entry process, compared with the code."""

import ast
import pathlib

import testtools

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.mechanisms import Mechanism

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE = _ROOT / 'docs' / 'OPERATIONS.md'
_LOG_METHODS = {'write', 'write_flow'}


def logged_events():
    """Return the names of the events that the entry process logs."""
    package = _ROOT / 'src' / 'currantshore'
    sources = [package / 'entry.py']
    sources += (package / 'internal' / 'entry').glob('*.py')
    calls = [
        node
        for source in sources
        for node in ast.walk(ast.parse(source.read_text()))
        if isinstance(node, ast.Call) and node.args
    ]
    names = {
        getattr(call.args[0], 'value', None)
        for call in calls
        if getattr(call.func, 'attr', '') in _LOG_METHODS
    }
    return {name for name in names if isinstance(name, str)}


class OperationsPageTests(testtools.TestCase):
    """Guards against log events, refusals and mechanisms without a row."""

    def test_each_log_event_has_a_row(self):
        page = _PAGE.read_text()
        events = logged_events()
        self.assertGreater(len(events), 15)
        missing = {name for name in events if f'`{name}`' not in page}
        self.assertEqual(set(), missing)

    def test_each_refusal_that_callers_receive_has_a_row(self):
        page = _PAGE.read_text()
        reported = {
            refusal.name.lower() for refusal in FlowRefusal if refusal.is_told
        }
        missing = {name for name in reported if f'`{name}`' not in page}
        self.assertEqual(set(), missing)

    def test_each_mechanism_that_can_be_switched_off_has_a_row(self):
        page = _PAGE.read_text()
        for mechanism in Mechanism:
            self.assertIn(f'| `{mechanism.value}` |', page)
