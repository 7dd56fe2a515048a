"""Conversion of TOML tables to records that reports every fault at once.

msgspec stops at the first fault of a document. Operators fix declarations in
one go, so each field is converted by itself and all faults are collected.
"""

import enum
import types
from collections.abc import Iterator
from typing import (
    Annotated,
    Any,
    Final,
    TypeAlias,
    TypeVar,
    get_args,
    get_origin,
)

import msgspec

_StructT = TypeVar('_StructT', bound=msgspec.Struct)

Table: TypeAlias = dict[str, Any]

_PLAIN_TYPES: Final = (
    (str, 'a text'),
    (int, 'an integer'),
    (float, 'a number'),
    (bool, 'true or false'),
)


class Faults:
    """The faults found in one or more files."""

    __slots__ = ('problems',)

    def __init__(self) -> None:
        """Start without faults."""
        self.problems: list[str] = []

    def add(
        self,
        file: str,
        path: str,
        given: object,
        accepted: str,
    ) -> None:
        """Add a fault: where it is, the bad value and what is accepted."""
        self.problems.append(
            f'{file}: {path}={given!r} is not accepted; expected {accepted}'
        )

    def add_missing(self, file: str, path: str, accepted: str) -> None:
        """Add a fault for a field that has no value."""
        self.problems.append(f'{file}: {path} is missing; expected {accepted}')


def convert_table(
    table: Table,
    kind: type[_StructT],
    file: str,
    faults: Faults,
    path: str = '',
) -> _StructT | None:
    """Convert ``table`` to ``kind``; None when a fault was added."""
    before = len(faults.problems)
    fields = {one.encode_name: one for one in msgspec.structs.fields(kind)}
    for unknown in table.keys() - fields.keys():
        accepted = f'one of the fields {", ".join(fields)}'
        faults.add(file, f'{path}{unknown}', table[unknown], accepted)
    converted: Table = {}
    for name, field in fields.items():
        given = table.get(name, msgspec.UNSET)
        if given is not msgspec.UNSET:
            converted[name] = _convert_field(
                given, field.type, file, faults, f'{path}{name}'
            )
        elif field.required:
            accepted = describe_type(field.type)
            faults.add_missing(file, f'{path}{name}', accepted)
    if len(faults.problems) > before:
        return None
    return kind(**converted)


def rows(table: Table, name: str) -> Iterator[tuple[str, Table]]:
    """Yield the path and the table of each well-formed row of a list."""
    found = table.get(name)
    if isinstance(found, list):
        for index, row in enumerate(found):
            if isinstance(row, dict):
                yield f'{name}[{index}].', row


def describe_type(kind: Any) -> str:
    """Say in words what a field accepts."""
    for note in getattr(kind, '__metadata__', ()):
        if isinstance(note, msgspec.Meta) and note.description:
            return note.description
    if get_origin(kind) is Annotated:
        return describe_type(kind.__origin__)
    if isinstance(kind, types.UnionType):
        return describe_type(get_args(kind)[0])
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return f'one of {", ".join(repr(one.value) for one in kind)}'
    if get_origin(kind) is tuple:
        return 'a list'
    plain = dict(_PLAIN_TYPES)
    return plain.get(kind, 'a table')


def _convert_field(
    given: object,
    kind: Any,
    file: str,
    faults: Faults,
    path: str,
) -> object:
    nested = row_kind(kind)
    if nested is None or not isinstance(given, list):
        try:
            return msgspec.convert(given, kind)
        except msgspec.ValidationError:
            faults.add(file, path, given, describe_type(kind))
            return None
    converted = []
    for index, row in enumerate(given):
        row_path = f'{path}[{index}]'
        if isinstance(row, dict):
            converted.append(
                convert_table(row, nested, file, faults, f'{row_path}.')
            )
        else:
            faults.add(file, row_path, row, 'a table')
    return tuple(converted)


def row_kind(kind: Any) -> type[msgspec.Struct] | None:
    """Return the record of a list of records, or None for other fields."""
    plain = getattr(kind, '__origin__', kind)
    arguments = get_args(kind)
    if get_origin(plain) is tuple:
        arguments = get_args(plain)
    if not arguments or not isinstance(arguments[0], type):
        return None
    if issubclass(arguments[0], msgspec.Struct):
        return arguments[0]
    return None
