"""The operators' page of the entry process, against the program."""

import ast
import pathlib

import testtools

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.mechanisms import Mechanism

_ROOT = pathlib.Path(__file__).parents[2]
_PAGE = _ROOT / 'docs' / 'OPERATIONS.md'
_WRITERS = {'write', 'write_flow'}


def written_events():
    """Return the names of the lines that the entry process writes."""
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
        if getattr(call.func, 'attr', '') in _WRITERS
    }
    return {name for name in names if isinstance(name, str)}


class OperationsPageTests(testtools.TestCase):
    """Guards against lines that no operator can look up."""

    def test_each_line_that_is_written_has_a_row(self):
        page = _PAGE.read_text()
        events = written_events()
        self.assertGreater(len(events), 15)
        missing = {name for name in events if f'`{name}`' not in page}
        self.assertEqual(set(), missing)

    def test_each_refusal_that_callers_are_told_is_explained(self):
        page = _PAGE.read_text()
        told = {one.name.lower() for one in FlowRefusal if one.is_told}
        missing = {name for name in told if f'`{name}`' not in page}
        self.assertEqual(set(), missing)

    def test_each_mechanism_that_can_be_switched_off_has_a_row(self):
        page = _PAGE.read_text()
        for mechanism in Mechanism:
            self.assertIn(f'| `{mechanism.value}` |', page)
