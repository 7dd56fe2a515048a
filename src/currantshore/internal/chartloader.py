"""Compiles state charts in sismic YAML to transition tables.

Sismic parses and validates each chart once, when a module is imported. Its
interpreter takes about a millisecond per event, so the core uses a dictionary
of transitions instead.
"""

from collections.abc import Mapping
from importlib import resources
from typing import Any, Final

from ruamel.yaml.error import YAMLError
from sismic import exceptions, io, model

from currantshore.errors import ChartError

_PACKAGE: Final = 'currantshore.internal'
_FOLDER: Final = 'charts'
_LOAD_ERRORS: Final = (
    exceptions.SismicError,
    YAMLError,
    KeyError,
    TypeError,
    ValueError,
)


class Chart:
    """A flat state machine: a table from (state, event) to state."""

    __slots__ = ('initial', 'name', 'states', 'transitions')

    def __init__(
        self,
        name: str,
        initial: str,
        states: frozenset[str],
        transitions: Mapping[tuple[str, str], str],
    ) -> None:
        """Use ``load`` or ``compile_chart`` instead."""
        self.name = name
        self.initial = initial
        self.states = states
        self.transitions = transitions

    def next_state(self, state: str, event: str) -> str:
        """Return the state after ``event``.

        An event without a transition keeps the state.
        """
        return self.transitions.get((state, event), state)


def load(name: str) -> Chart:
    """Compile the chart file ``name`` of this package.

    Raises ``ChartError`` if the file is missing or invalid.
    """
    folder = resources.files(_PACKAGE) / _FOLDER
    try:
        text = (folder / f'{name}.yaml').read_text('utf-8')
    except OSError as error:
        raise ChartError(f'chart {name!r} cannot be read: {error}') from error
    return compile_chart(name, text)


def compile_chart(name: str, text: str) -> Chart:
    """Compile sismic YAML; raises ``ChartError``.

    Accepts a compound root state with basic states. Each transition must have
    an event and a target, but no guard or action.
    """
    try:
        chart: Any = io.import_from_yaml(text)
    except _LOAD_ERRORS as error:
        raise ChartError(f'chart {name!r} is invalid: {error}') from error
    root = chart.state_for(chart.root)
    if not isinstance(root, model.CompoundState) or root.initial is None:
        raise ChartError(f'chart {name!r} has no initial state at its root')
    return Chart(
        name=name,
        initial=root.initial,
        states=frozenset(_states(name, chart)),
        transitions=_transitions(name, chart),
    )


def _states(name: str, chart: Any) -> list[str]:
    names: list[str] = chart.children_for(chart.root)
    for state in names:
        if not isinstance(chart.state_for(state), model.BasicState):
            raise ChartError(f'chart {name!r}: {state!r} is not a basic state')
    return names


def _transitions(name: str, chart: Any) -> dict[tuple[str, str], str]:
    table: dict[tuple[str, str], str] = {}
    for transition in chart.transitions:
        location = f'chart {name!r}, state {transition.source!r}'
        _check_transition(location, transition)
        pair = (transition.source, transition.event)
        if pair in table:
            raise ChartError(f'{location}: {transition.event!r} occurs twice')
        table[pair] = transition.target
    return table


def _check_transition(location: str, transition: Any) -> None:
    if transition.event is None or transition.target is None:
        raise ChartError(f'{location}: needs an event and a target')
    if transition.guard or transition.action:
        raise ChartError(f'{location}: guards and actions are not accepted')
