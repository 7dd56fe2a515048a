"""Asks the questions of the answers record at a terminal."""

import enum
from collections.abc import Callable
from types import NoneType
from typing import Any, Final, TypeAlias, get_args, get_origin

import msgspec

from currantshore.errors import InvalidArgumentError
from currantshore.internal.operators.answers import Answers
from currantshore.internal.operators.faults import (
    Table,
    describe_type,
    find_row_type,
)

Ask: TypeAlias = Callable[[str], str]
PrintLine: TypeAlias = Callable[[str], None]

_YES: Final = ('yes', 'y', 'true')
_NO: Final = ('no', 'n', 'false')
_MAX_ROWS: Final = 100


def interview(ask: Ask, print_line: PrintLine, earlier: Table | None) -> Table:
    """Ask every question; an empty line accepts the default, if there is one.

    Answers in ``earlier`` replace the defaults.

    Raises:
        InvalidArgumentError: the input ended before the last question.
    """
    print_line('An empty line accepts the answer in brackets.')
    return _Interview(ask, print_line).ask_record(Answers, earlier or {}, '')


class _Interview:
    __slots__ = ('_ask', '_print_line')

    def __init__(self, ask: Ask, print_line: PrintLine) -> None:
        self._ask = ask
        self._print_line = print_line

    def ask_record(
        self,
        record_type: type[msgspec.Struct],
        earlier: Table,
        scope: str,
    ) -> Table:
        answered: Table = {}
        for field in msgspec.structs.fields(record_type):
            default = earlier.get(field.name, _find_default(field))
            row_type = find_row_type(field.type)
            if row_type is None:
                given = self._ask_value(field.type, default, scope)
            else:
                rows = default if isinstance(default, list) else []
                given = self._ask_rows(field, row_type, rows, scope)
            if given is not None:
                answered[field.name] = given
        return answered

    def _ask_rows(
        self,
        field: msgspec.structs.FieldInfo,
        row_type: type[msgspec.Struct],
        earlier: list[Table],
        scope: str,
    ) -> list[Table]:
        count = self._ask_count(field.type, len(earlier) or 1, scope)
        answered: list[Table] = []
        for index in range(count):
            earlier_row = earlier[index] if index < len(earlier) else {}
            row_scope = f'{scope}{field.name} {index + 1}/{count} '
            answered.append(self.ask_record(row_type, earlier_row, row_scope))
        return answered

    def _ask_count(self, kind: Any, default: int, scope: str) -> int:
        while True:
            line = self._read(f'{scope}{_find_question(kind)} [{default}] ')
            if not line:
                return default
            if line.isdecimal() and 0 < int(line) <= _MAX_ROWS:
                return int(line)
            self._reject(line, f'an integer from 1 to {_MAX_ROWS}')

    def _ask_value(self, kind: Any, default: object, scope: str) -> object:
        shown_default = (
            '' if default is None else f' [{_format_default(default)}]'
        )
        choices = _describe_choices(kind)
        while True:
            line = self._read(
                f'{scope}{_find_question(kind)}{choices}{shown_default} '
            )
            if not line and default is not msgspec.NODEFAULT:
                return default
            try:
                return _parse(line, kind)
            except msgspec.ValidationError:
                self._reject(line, describe_type(kind))

    def _read(self, prompt: str) -> str:
        try:
            return self._ask(prompt).strip()
        except EOFError as ended:
            raise InvalidArgumentError(
                'the input ended before the last question; answer all of '
                'them, or pass a file with --answers'
            ) from ended

    def _reject(self, line: str, accepted: str) -> None:
        self._print_line(f'{line!r} is not accepted; expected {accepted}')


def _find_default(field: msgspec.structs.FieldInfo) -> object:
    if isinstance(field.default, enum.Enum):
        return field.default.value
    return field.default


def _find_question(kind: Any) -> str:
    for metadata in kind.__metadata__:
        if metadata.title:
            return str(metadata.title)
    return 'Value?'


def _describe_choices(kind: Any) -> str:
    plain_type = kind.__origin__
    if isinstance(plain_type, type) and issubclass(plain_type, enum.Enum):
        return f' ({", ".join(member.value for member in plain_type)})'
    return ' (yes, no)' if plain_type is bool else ''


def _format_default(shown_value: object) -> str:
    match shown_value:
        case bool():
            return 'yes' if shown_value else 'no'
        case list() | tuple():
            return ', '.join(map(str, shown_value))
    return str(shown_value)


def _parse(line: str, kind: Any) -> object:
    plain_type = kind.__origin__
    if get_origin(plain_type) is tuple:
        parts = [part.strip() for part in line.split(',')]
        msgspec.convert(parts, kind)
        return parts
    if plain_type is bool:
        return _parse_yes_no(line)
    if NoneType in get_args(plain_type) and not line:
        return None
    converted = msgspec.convert(line, kind, strict=False)
    return converted.value if isinstance(converted, enum.Enum) else converted


def _parse_yes_no(line: str) -> bool:
    if line.lower() in _YES:
        return True
    if line.lower() in _NO:
        return False
    raise msgspec.ValidationError(line)
