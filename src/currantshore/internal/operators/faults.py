"""Conversion of TOML tables to records, with a report of all faults.

msgspec stops at the first fault of a document. Here each field is converted
separately and all faults are collected, so that operators can correct a
declaration in one pass.
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
        """Initialize an empty collection."""
        self.problems: list[str] = []

    def add(
        self,
        file: str,
        path: str,
        given: object,
        accepted: str,
    ) -> None:
        """Add a fault with its location, the bad value and what is accepted."""
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
    """Convert ``table`` to the record type ``kind``.

    Adds all faults to ``faults`` and returns None if there are any.
    """
    before = len(faults.problems)
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
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
    """Yield the path and the table of each row that is a table."""
    row_list = table.get(name)
    if isinstance(row_list, list):
        for index, row in enumerate(row_list):
            if isinstance(row, dict):
                yield f'{name}[{index}].', row


def describe_type(kind: Any) -> str:
    """Describe in words which values a field accepts."""
    for metadata in getattr(kind, '__metadata__', ()):
        if isinstance(metadata, msgspec.Meta) and metadata.description:
            return metadata.description
    if get_origin(kind) is Annotated:
        return describe_type(kind.__origin__)
    if isinstance(kind, types.UnionType):
        return describe_type(get_args(kind)[0])
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return f'one of {", ".join(repr(member.value) for member in kind)}'
    if get_origin(kind) is tuple:
        return 'a list'
    plain_types = dict(_PLAIN_TYPES)
    return plain_types.get(kind, 'a table')


def _convert_field(
    given: object,
    kind: Any,
    file: str,
    faults: Faults,
    path: str,
) -> object:
    row_type = find_row_type(kind)
    if row_type is None or not isinstance(given, list):
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
                convert_table(row, row_type, file, faults, f'{row_path}.')
            )
        else:
            faults.add(file, row_path, row, 'a table')
    return tuple(converted)


def find_row_type(kind: Any) -> type[msgspec.Struct] | None:
    """Return the row type of a list of records, or None for other types."""
    origin_type = getattr(kind, '__origin__', kind)
    arguments = get_args(kind)
    if get_origin(origin_type) is tuple:
        arguments = get_args(origin_type)
    if not arguments or not isinstance(arguments[0], type):
        return None
    if issubclass(arguments[0], msgspec.Struct):
        return arguments[0]
    return None
