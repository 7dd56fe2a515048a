"""Records of the platform's object API and the trail of writer ids.

Each writer id is unique to one write, and a write carries the ids of the last
few writes before it (its trail), so that a write that was accepted and then
overwritten by a later one is still recognized.
"""

from typing import Final

import msgspec

from currantshore.errors import InvalidArgumentError

MAX_VALUE_SIZE_BYTES: Final = 1_000_000

# Writers race for one object a few at a time; a longer trail only adds bytes.
TRAIL_LENGTH: Final = 8
_TRAIL_SEPARATOR: Final = ' < '


class PlatformObject(msgspec.Struct, frozen=True):
    """An object as the platform holds it; ``value`` is its JSON text."""

    key: str
    version: int
    writer: str
    value: msgspec.Raw
    is_deleted: bool = False

    def trail(self) -> tuple[str, ...]:
        """Return the writer ids of the last writes, the newest first."""
        return tuple(self.writer.split(_TRAIL_SEPARATOR))


class Listing(msgspec.Struct, frozen=True):
    """The objects below a prefix at one revision of the store."""

    revision: int
    objects: tuple[PlatformObject, ...]


class Changes(msgspec.Struct, frozen=True):
    """What a watch saw; continue with ``after=revision``."""

    revision: int
    changes: tuple[PlatformObject, ...]


class PlatformHost(msgspec.Struct, frozen=True):
    """A host in the platform's list, which lags; live or leaving."""

    host_id: str
    zone: str = ''
    state: str = 'live'


class Written(msgspec.Struct, frozen=True):
    """An accepted write.

    ``overwritten_by`` is the writer id of a later write that was already in
    place when a lost answer was settled; it is empty otherwise.
    """

    version: int
    overwritten_by: str = ''


def newest_writer(mark: str) -> str:
    """Return the first writer id of a trail."""
    return mark.split(_TRAIL_SEPARATOR, 1)[0]


def extend_trail(writer: str, previous: PlatformObject | None) -> str:
    """Return the writer text of a write that replaces ``previous``."""
    trail = () if previous is None else previous.trail()
    return _TRAIL_SEPARATOR.join((writer, *trail)[:TRAIL_LENGTH])


def check_writer(writer: str) -> None:
    """Raise ``InvalidArgumentError`` unless ``writer`` fits a trail."""
    if not writer or _TRAIL_SEPARATOR in writer:
        raise InvalidArgumentError.from_value(
            'writer', writer, f'a text without {_TRAIL_SEPARATOR!r}'
        )


def check_value(value: bytes) -> None:
    """Raise ``InvalidArgumentError`` for a value over 1 MB."""
    if len(value) > MAX_VALUE_SIZE_BYTES:
        raise InvalidArgumentError.from_value(
            'value', f'{len(value)} bytes', 'at most 1,000,000 bytes'
        )
