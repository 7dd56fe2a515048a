"""Builds TOML text; the same values always give the same bytes."""

import json
import textwrap
from collections.abc import Sequence
from typing import Final, TypeAlias

from currantshore.internal.operators.faults import Table

TomlValue: TypeAlias = str | int | float | bool | Sequence[str]

_LINE_WIDTH: Final = 78


class TomlText:
    """The lines of one TOML file."""

    __slots__ = ('_lines',)

    def __init__(self) -> None:
        """Initialize an empty file."""
        self._lines: list[str] = []

    def comment(self, text: str) -> None:
        """Add a comment, wrapped to the line width."""
        self._lines.extend(
            textwrap.wrap(
                text,
                _LINE_WIDTH,
                initial_indent='# ',
                subsequent_indent='# ',
                break_on_hyphens=False,
            )
        )

    def blank(self) -> None:
        """Add an empty line."""
        self._lines.append('')

    def row(self, name: str) -> None:
        """Begin a table of the array ``name``."""
        self._lines.extend(('', f'[[{name}]]'))

    def value(self, name: str, given: TomlValue) -> None:
        """Add ``name = given``."""
        self._lines.append(f'{name} = {_render(given)}')

    def table(self, table: Table, path: str = '') -> None:
        """Add all values of ``table``, with arrays of tables last."""
        nested = {
            name: given
            for name, given in table.items()
            if isinstance(given, list) and _has_tables(given)
        }
        for name, given in table.items():
            if name not in nested and given is not None:
                self.value(name, given)
        for name, table_rows in nested.items():
            for row in table_rows:
                self.row(f'{path}{name}')
                self.table(row, f'{path}{name}.')

    def encode(self) -> bytes:
        """Return the file's bytes."""
        text = '\n'.join(self._lines)
        return f'{text}\n'.encode()


def _has_tables(given: Sequence[object]) -> bool:
    return any(isinstance(item, dict) for item in given)


def _render(given: TomlValue) -> str:
    match given:
        case bool():
            return 'true' if given else 'false'
        case str():
            # TOML basic strings accept all escapes that JSON produces.
            return json.dumps(given, ensure_ascii=False)
        case int() | float():
            return repr(given)
    return f'[{", ".join(_render(item) for item in given)}]'
