"""Decode JSON objects of which a part cannot be read.

msgspec checks what it skips: a lone surrogate or deep nesting in one item of a
list makes it reject the whole document, also if that item is declared as
``msgspec.Raw``. A document that it rejects is therefore split into its members
here, by the JSON grammar for strings and brackets alone, and each member is
decoded separately.
"""

import itertools
import re
from collections.abc import Iterator
from typing import Any, Final, Generic, TypeVar

import msgspec

_StructT = TypeVar('_StructT', bound=msgspec.Struct)

_STRING: Final = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN: Final = re.compile(rb'%b|[\[{,\]}]' % _STRING, re.DOTALL)
_KEY: Final = re.compile(rb'\s*(%b)\s*:' % _STRING, re.DOTALL)

_DEPTH_CHANGES: Final = {b'[': 1, b'{': 1, b']': -1, b'}': -1}

_READ_ERRORS: Final = (msgspec.DecodeError, RecursionError)


class TolerantDecoder(Generic[_StructT]):
    """Decodes JSON as a struct; raises ``msgspec.DecodeError``.

    What the struct does not declare, and what it declares as ``msgspec.Raw``,
    may be anything between balanced brackets.
    """

    __slots__ = ('_decoder', '_struct')

    def __init__(self, struct: type[_StructT]) -> None:
        """Initialize a decoder of ``struct``."""
        self._struct = struct
        self._decoder = msgspec.json.Decoder(struct)

    def decode(self, body: bytes | msgspec.Raw) -> _StructT:
        """Decode ``body``."""
        try:
            return self._decoder.decode(body)
        except _READ_ERRORS:
            return self._decode_by_field(bytes(body))

    def _decode_by_field(self, body: bytes) -> _StructT:
        members = split_object(body)
        decoded = {
            field.name: decode_value(members[field.encode_name], field.type)
            for field in msgspec.structs.fields(self._struct)
            if field.encode_name in members
        }
        try:
            return self._struct(**decoded)
        except TypeError as error:
            raise msgspec.ValidationError(str(error)) from error


def decode_value(body: bytes, wanted: Any) -> Any:
    """Decode JSON as the type ``wanted``; raises ``msgspec.DecodeError``."""
    if wanted is msgspec.Raw:
        return msgspec.Raw(body)
    if wanted == list[msgspec.Raw]:
        return split_array(body)
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        return TolerantDecoder(wanted).decode(body)
    try:
        return msgspec.json.decode(body, type=wanted)
    except RecursionError as error:
        raise msgspec.DecodeError('the value is nested too deeply') from error


def split_array(body: bytes) -> list[msgspec.Raw]:
    """Return the items of a JSON array; raises ``msgspec.DecodeError``."""
    return [msgspec.Raw(part) for part in _split(body, b'[')]


def split_object(body: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object; raises ``msgspec.DecodeError``.

    Members whose name cannot be decoded are left out.
    """
    members: dict[str, bytes] = {}
    for part in _split(body, b'{'):
        key = _KEY.match(part)
        if key is None:
            raise msgspec.DecodeError('a member of an object has no name')
        try:
            name = msgspec.json.decode(key[1], type=str)
        except msgspec.DecodeError:
            continue
        members[name] = part[key.end() :]
    return members


def _split(body: bytes, opening: bytes) -> list[bytes]:
    """Return the parts between the commas of the outermost brackets."""
    if not body.lstrip().startswith(opening):
        raise msgspec.DecodeError(f'{opening.decode()!r} was expected')
    parts = [
        body[left.end() : right.start()]
        for left, right in itertools.pairwise(_outermost_tokens(body))
    ]
    return parts if parts[0].strip() else parts[1:]


def _outermost_tokens(body: bytes) -> Iterator[re.Match[bytes]]:
    depth = 0
    for token in _TOKEN.finditer(body):
        is_first = not depth
        depth += _DEPTH_CHANGES.get(token[0], 0)
        if is_first or not depth or (depth == 1 and token[0] == b','):
            yield token
        if not depth:
            return
    raise msgspec.DecodeError('a bracket is not closed')
