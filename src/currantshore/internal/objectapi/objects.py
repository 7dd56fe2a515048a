"""Records of the platform's object API and the trail of writer ids.

Each write of an object has a unique writer id. A write also stores the ids of
the last few writes to the same object (its trail), so a client can still
recognize a write that was accepted and then overwritten by a later one.
"""

from typing import Final

import msgspec

from currantshore.errors import InvalidArgumentError

MAX_VALUE_SIZE_BYTES: Final = 1_000_000

# Only a few writers compete for one object at a time; a longer trail would
# only add bytes.
TRAIL_LENGTH: Final = 8
_TRAIL_SEPARATOR: Final = ' < '


class PlatformObject(msgspec.Struct, frozen=True):
    """An object as the platform stores it.

    ``value`` is its JSON text and ``writer`` is its trail of writer ids.
    """

    key: str
    version: int
    writer: str
    value: msgspec.Raw
    is_deleted: bool = False

    def trail(self) -> tuple[str, ...]:
        """Return the writer ids of the last writes, newest first."""
        return tuple(self.writer.split(_TRAIL_SEPARATOR))


class Listing(msgspec.Struct, frozen=True):
    """All objects with a key prefix at one revision of the store."""

    revision: int
    objects: tuple[PlatformObject, ...]


class Changes(msgspec.Struct, frozen=True):
    """The changes that a watch returned.

    The next watch continues with ``after=revision``.
    """

    revision: int
    changes: tuple[PlatformObject, ...]


class PlatformHost(msgspec.Struct, frozen=True):
    """A host in the platform's list, which may be out of date.

    ``state`` is ``live`` or ``leaving``.
    """

    host_id: str
    zone: str = ''
    state: str = 'live'


class Written(msgspec.Struct, frozen=True):
    """An accepted write.

    ``overwritten_by`` is the writer id of a later write that had already
    replaced this one when the client read the object back after a lost answer;
    it is empty otherwise.
    """

    version: int
    overwritten_by: str = ''


def newest_writer(trail: str) -> str:
    """Return the first writer id of a trail."""
    return trail.split(_TRAIL_SEPARATOR, 1)[0]


def extend_trail(writer: str, previous: PlatformObject | None) -> str:
    """Return the trail to store with a write that replaces ``previous``."""
    earlier_writers = () if previous is None else previous.trail()
    return _TRAIL_SEPARATOR.join((writer, *earlier_writers)[:TRAIL_LENGTH])


def check_writer(writer: str) -> None:
    """Raise ``InvalidArgumentError`` unless ``writer`` fits a trail."""
    if not writer or _TRAIL_SEPARATOR in writer:
        raise InvalidArgumentError.from_value(
            'writer', writer, f'a text without {_TRAIL_SEPARATOR!r}'
        )


def check_value(value: bytes) -> None:
    """Raise ``InvalidArgumentError`` for a value larger than 1 MB."""
    if len(value) > MAX_VALUE_SIZE_BYTES:
        raise InvalidArgumentError.from_value(
            'value', f'{len(value)} bytes', 'at most 1,000,000 bytes'
        )
