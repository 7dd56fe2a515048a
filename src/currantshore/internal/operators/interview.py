"""Questions at a terminal, taken from the fields of the answers record."""

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
    row_kind,
)

Ask: TypeAlias = Callable[[str], str]
Tell: TypeAlias = Callable[[str], None]

_YES: Final = ('yes', 'y', 'true')
_NO: Final = ('no', 'n', 'false')
_MAX_ROWS: Final = 100


def interview(ask: Ask, tell: Tell, earlier: Table | None) -> Table:
    """Ask every question; an empty line takes the default.

    ``earlier`` holds answers that are offered as defaults.

    Raises:
        InvalidArgumentError: when the input ends before the last question.
    """
    tell('An empty line takes the answer in brackets.')
    return _Interview(ask, tell).ask_record(Answers, earlier or {}, '')


class _Interview:
    __slots__ = ('_ask', '_tell')

    def __init__(self, ask: Ask, tell: Tell) -> None:
        self._ask = ask
        self._tell = tell

    def ask_record(
        self,
        kind: type[msgspec.Struct],
        earlier: Table,
        scope: str,
    ) -> Table:
        answered: Table = {}
        for field in msgspec.structs.fields(kind):
            known = earlier.get(field.name, _default(field))
            nested = row_kind(field.type)
            if nested is None:
                given = self._ask_value(field.type, known, scope)
            else:
                rows = known if isinstance(known, list) else []
                given = self._ask_rows(field, nested, rows, scope)
            if given is not None:
                answered[field.name] = given
        return answered

    def _ask_rows(
        self,
        field: msgspec.structs.FieldInfo,
        nested: type[msgspec.Struct],
        earlier: list[Table],
        scope: str,
    ) -> list[Table]:
        count = self._ask_count(field.type, len(earlier) or 1, scope)
        answered: list[Table] = []
        for index in range(count):
            known = earlier[index] if index < len(earlier) else {}
            place = f'{scope}{field.name} {index + 1}/{count} '
            answered.append(self.ask_record(nested, known, place))
        return answered

    def _ask_count(self, kind: Any, known: int, scope: str) -> int:
        while True:
            line = self._read(f'{scope}{_question(kind)} [{known}] ')
            if not line:
                return known
            if line.isdecimal() and 0 < int(line) <= _MAX_ROWS:
                return int(line)
            self._refuse(line, f'an integer from 1 to {_MAX_ROWS}')

    def _ask_value(self, kind: Any, known: object, scope: str) -> object:
        offered = '' if known is None else f' [{_show(known)}]'
        choices = _choices(kind)
        while True:
            line = self._read(f'{scope}{_question(kind)}{choices}{offered} ')
            if not line and known is not msgspec.NODEFAULT:
                return known
            try:
                return _parse(line, kind)
            except msgspec.ValidationError:
                self._refuse(line, describe_type(kind))

    def _read(self, prompt: str) -> str:
        try:
            return self._ask(prompt).strip()
        except EOFError as ended:
            raise InvalidArgumentError(
                'the input ended before the last question; answer all of '
                'them, or pass a file with --answers'
            ) from ended

    def _refuse(self, line: str, accepted: str) -> None:
        self._tell(f'{line!r} is not accepted; expected {accepted}')


def _default(field: msgspec.structs.FieldInfo) -> object:
    if isinstance(field.default, enum.Enum):
        return field.default.value
    return field.default


def _question(kind: Any) -> str:
    for note in kind.__metadata__:
        if note.title:
            return str(note.title)
    return 'Value?'


def _choices(kind: Any) -> str:
    plain = kind.__origin__
    if isinstance(plain, type) and issubclass(plain, enum.Enum):
        return f' ({", ".join(one.value for one in plain)})'
    return ' (yes, no)' if plain is bool else ''


def _show(known: object) -> str:
    match known:
        case bool():
            return 'yes' if known else 'no'
        case list() | tuple():
            return ', '.join(map(str, known))
    return str(known)


def _parse(line: str, kind: Any) -> object:
    plain = kind.__origin__
    if get_origin(plain) is tuple:
        parts = [part.strip() for part in line.split(',')]
        msgspec.convert(parts, kind)
        return parts
    if plain is bool:
        return _parse_yes_no(line)
    if NoneType in get_args(plain) and not line:
        return None
    converted = msgspec.convert(line, kind, strict=False)
    return converted.value if isinstance(converted, enum.Enum) else converted


def _parse_yes_no(line: str) -> bool:
    if line.lower() in _YES:
        return True
    if line.lower() in _NO:
        return False
    raise msgspec.ValidationError(line)
