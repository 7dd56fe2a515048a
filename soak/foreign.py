"""Objects of another writer, which must cost no more than themselves."""

import itertools
from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple

import msgspec

_DEPTH: Final = 2000
_DEEP: Final = msgspec.Raw(b''.join((b'[' * _DEPTH, b']' * _DEPTH)))
_HALF_CHARACTER: Final = msgspec.Raw(rb'"v1 \ud83d"')  # noqa: WPS439

_KINDS: Final = ('servers', 'config', 'evacuations')


class ForeignObject(NamedTuple):
    """An object by kind and name."""

    kind: str
    name: str
    spec: Any


def foreign_objects(addresses: Sequence[str]) -> Iterator[ForeignObject]:
    """Return odd objects without end, in a fixed order.

    ``addresses`` are those of live backend servers, which some of them state.
    """
    entry = {
        'service': 'foreign',
        'zone': 'zone-0',
        'version': 'v1',
        'slots': 1,
        'state': 'ready',
        'warmup-left-ms': 0,
        'sequence': 1,
        'born': 2**62,
    }
    odd_fields: tuple[dict[str, Any], ...] = (
        {'slots': _DEEP},
        {'version': _HALF_CHARACTER},
        {'sequence': 2**70},
        {'address': '127.0.0.99:70000'},
        {'address': f'127.0.0.99 {"moved " * 900}:7000'},
        {'zone': '\U0001f6b2' * 63},
        {'state': 'resting'},
        {},
    )
    for count in itertools.count():
        address = addresses[count % len(addresses)]
        fields = odd_fields[count % len(odd_fields)]
        spec = {**entry, 'address': address, 'sequence': count, **fields}
        yield ForeignObject('servers', f'i-f{count % 40:03x}', spec)
        kind = _KINDS[count % len(_KINDS)]
        yield ForeignObject(kind, f'odd one&{count % 5}', _DEEP)
