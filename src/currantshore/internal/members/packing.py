"""Packs the liveness of a whole pool into a block of a heartbeat.

Full (incarnation, counter) records of 64 hosts take about 1,150 bytes; the
packed form takes 132. A host is identified by its place, the index among the
sorted host ids of one version of the pool object. The record of a place has
the low byte of the counter, 4 bits that distinguish processes of the host, and
four flags.
"""

import struct
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from currantshore.internal.members.roster import Member

# Low 16 bits of the pool object's version, first place, number of places.
_HEADER: Final = struct.Struct('>HBB')
_VERSION_MASK: Final = 0xFFFF
MAX_PLACES: Final = 64
_FLAG_COUNT: Final = 4
_COUNTER_MODULUS: Final = 256
_CHECK_BITS: Final = 4
_CHECK_MASK: Final = 0xF
# Knuth's multiplicative hash, so that close start times get different checks.
_HASH_FACTOR: Final = 2654435761
_HASH_SHIFT: Final = 28
# A packed counter that is ahead by at most half of its range counts as a rise.
# Only records of live hosts are read, so they are seconds old; half of the
# range is 64 s.
_MAX_RISE: Final = 127


class Header(NamedTuple):
    """Pool version and range of places of a packed block."""

    version: int
    first: int
    size: int


class Record(NamedTuple):
    """State of a live host as reported by another host."""

    place: int
    counter_low: int
    check: int
    is_leaving: bool
    is_warm: bool
    is_prepared: bool


def version_tag(version: int) -> int:
    """Return the part of a pool object's version that a block carries."""
    return version & _VERSION_MASK


def incarnation_check(incarnation: int) -> int:
    """Return 4 bits that differ between most processes of one host.

    If they are equal by chance and a peer still sends a packed record of the
    earlier process, the counter is read too high. The next heartbeat of the
    host corrects it.
    """
    return incarnation * _HASH_FACTOR >> _HASH_SHIFT & _CHECK_MASK


def pack(
    members: Sequence[Member],
    version: int,
    digest: int,
    first: int = 0,
) -> bytes:
    """Encode up to 64 members in the order of their places.

    The prepared flag is set for a host that has prepared ``digest``.
    """
    chosen = members[first : first + MAX_PLACES]
    flags = (
        [member.is_live for member in chosen],
        [member.is_leaving for member in chosen],
        [member.is_warm for member in chosen],
        [member.prepared_digest == digest for member in chosen],
    )
    parts = [
        _HEADER.pack(version_tag(version), first, len(chosen)),
        bytes(member.counter % _COUNTER_MODULUS for member in chosen),
        _pack_checks(chosen),
    ]
    parts.extend(_to_bitmap(flag) for flag in flags)
    return b''.join(parts)


def read_header(block: bytes) -> Header | None:
    """Return the header of a block, or None if the block size is wrong."""
    if len(block) < _HEADER.size:
        return None
    header = Header(*_HEADER.unpack_from(block))
    return header if len(block) == _block_size(header.size) else None


def unpack(block: bytes, header: Header) -> Iterator[Record]:
    """Decode the live hosts of a block."""
    count = header.size
    checks_at = _HEADER.size + count
    flags_at = checks_at + _checks_size(count)
    checks = _from_bitmap(block, checks_at, _checks_size(count))
    width = _bitmap_size(count)
    live, leaving, warm, prepared = (
        _from_bitmap(block, flags_at + index * width, width)
        for index in range(_FLAG_COUNT)
    )
    for index in range(count):
        if live >> index & 1:
            yield Record(
                place=header.first + index,
                counter_low=block[_HEADER.size + index],
                check=checks >> _CHECK_BITS * index & _CHECK_MASK,
                is_leaving=bool(leaving >> index & 1),
                is_warm=bool(warm >> index & 1),
                is_prepared=bool(prepared >> index & 1),
            )


def full_counter(member: Member, record: Record) -> int | None:
    """Return the full counter of a record, or None if it is older.

    Also returns None for a process other than the one known here, because the
    counter of another process cannot be completed.
    """
    if member.incarnation < 0:
        return None
    if incarnation_check(member.incarnation) != record.check:
        return None
    rise = (record.counter_low - member.counter) % _COUNTER_MODULUS
    if rise > _MAX_RISE:
        return None
    return member.counter + rise


def merge_flags(member: Member, record: Record, digest: int) -> bool:
    """Apply the flags that are set; return whether any is new.

    A flag that is not set has no effect, because counters are also sent
    without flags. Only the host's own heartbeat clears a flag. ``digest`` is
    that of the configuration if both ends have the same, else 0.
    """
    before = (member.is_leaving, member.is_warm, member.prepared_digest)
    if record.is_leaving:
        member.apply_event('leave')
    member.is_warm = member.is_warm or record.is_warm
    if record.is_prepared and digest:
        member.prepared_digest = digest
    after = (member.is_leaving, member.is_warm, member.prepared_digest)
    return before != after


def _pack_checks(members: Sequence[Member]) -> bytes:
    bits = 0
    for index, member in enumerate(members):
        check = incarnation_check(member.incarnation)
        bits |= check << _CHECK_BITS * index
    return bits.to_bytes(_checks_size(len(members)), 'little')


def _to_bitmap(flags: Sequence[bool]) -> bytes:
    bits = 0
    for index, flag in enumerate(flags):
        bits |= int(flag) << index
    return bits.to_bytes(_bitmap_size(len(flags)), 'little')


def _from_bitmap(block: bytes, start: int, width: int) -> int:
    return int.from_bytes(block[start : start + width], 'little')


def _bitmap_size(count: int) -> int:
    return (count + 7) // 8


def _block_size(count: int) -> int:
    bitmaps_size = _FLAG_COUNT * _bitmap_size(count)
    return _HEADER.size + count + _checks_size(count) + bitmaps_size


def _checks_size(count: int) -> int:
    return (count + 1) // 2
