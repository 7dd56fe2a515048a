"""Tests of state charts and their compiled transition tables."""

import testtools

from currantshore.errors import ChartError
from currantshore.internal import chartloader

_NAMES = ('backend', 'configuration', 'host')

_TEMPLATE = """
statechart:
  name: small
  root state:
    name: root
    initial: one
    states:
      - name: one
        transitions:
          - {}
      - name: two
"""

_UNUSABLE = (
    ('a guard', '{event: go, target: two, guard: "True"}'),
    ('an action', '{event: go, target: two, action: "x = 1"}'),
    ('no event', '{target: two}'),
    ('no target', '{event: go}'),
    ('an unknown target', '{event: go, target: three}'),
    ('an unknown field', '{event: go, target: two, after: 5}'),
)


class ChartTests(testtools.TestCase):
    """Guards against charts that differ from the behavior of the code."""

    def test_every_chart_of_the_package_compiles(self):
        for name in _NAMES:
            chart = chartloader.load(name)
            self.assertIn(chart.initial, chart.states)

    def test_every_state_of_every_chart_can_be_reached(self):
        for name in _NAMES:
            chart = chartloader.load(name)
            reached = {chart.initial}
            for _ in chart.states:
                reached |= {
                    target
                    for (source, _), target in chart.transitions.items()
                    if source in reached
                }
            self.assertEqual(chart.states, reached, name)

    def test_an_event_without_transition_changes_nothing(self):
        chart = chartloader.load('host')
        self.assertEqual('unknown', chart.next_state('unknown', 'timeout'))

    def test_a_good_transition_is_compiled(self):
        text = _TEMPLATE.format('{event: go, target: two}')
        chart = chartloader.compile_chart('small', text)
        self.assertEqual('two', chart.next_state('one', 'go'))

    def test_unusable_transitions_are_chart_errors(self):
        for what, transition in _UNUSABLE:
            with testtools.ExpectedException(ChartError):
                chartloader.compile_chart(what, _TEMPLATE.format(transition))

    def test_invalid_yaml_is_a_chart_error(self):
        for text in ('', ': [', 'statechart: {}', '3'):
            with testtools.ExpectedException(ChartError):
                chartloader.compile_chart('noise', text)

    def test_a_missing_chart_is_a_chart_error(self):
        with testtools.ExpectedException(ChartError):
            chartloader.load('no-such-chart')
