"""What gossip says about each host of the pool, and its compact codec.

A host is ordered by (incarnation, counter): a process raises its counter with
each heartbeat, and a new process has a higher incarnation. Most records travel
in a packed form of 5 bytes, because full ones (about 18 bytes) of 64 hosts
would exceed the control budget of a node.
"""

import dataclasses
import struct
from collections.abc import Iterable, Iterator
from typing import Final

from currantshore.internal import chartloader
from currantshore.internal.hashing import short_hash

# Host tag (16 bits), incarnation check, low byte of the counter, flags.
_RECORD: Final = struct.Struct('>HBBB')
_CHART: Final = chartloader.load('host')
_LIVE_STATES: Final = frozenset(('live', 'leaving'))
_LEAVING_STATES: Final = frozenset(('leaving', 'left'))
_COUNTER_MODULUS: Final = 256
# A packed counter is read as a rise by less than half of its range (64 s).
_MAX_PACKED_RISE: Final = 127

_FLAG_LEAVING: Final = 1
_FLAG_WARM: Final = 2
_FLAG_PREPARED: Final = 4


class Member:
    """The newest known state of one host of the pool."""

    __slots__ = (
        'counter',
        'demands',
        'digest',
        'first_seen_s',
        'host_id',
        'incarnation',
        'is_warm',
        'key',
        'last_rise_s',
        'prepared_digest',
        'queried_s',
        'replied_s',
        'state',
        'status_counter',
        'successor',
        'zone',
    )

    def __init__(self, host_id: str, zone: str) -> None:
        """Start as a host of which nothing was heard."""
        self.host_id = host_id
        self.zone = zone
        self.key = short_hash(host_id)
        self.incarnation = -1
        self.counter = -1
        self.state = _CHART.initial
        self.last_rise_s = float('-inf')
        self.first_seen_s = float('-inf')
        self.queried_s = float('-inf')
        self.replied_s = float('-inf')
        self.reset_status()

    @property
    def is_live(self) -> bool:
        """Tell whether its counter has risen recently."""
        return self.state in _LIVE_STATES

    @property
    def is_leaving(self) -> bool:
        """Tell whether its process has announced its leave."""
        return self.state in _LEAVING_STATES

    def move(self, event: str) -> None:
        """Apply an event of the host chart."""
        self.state = _CHART.next_state(self.state, event)

    def reset_status(self) -> None:
        """Forget what an earlier process of the host reported."""
        self.status_counter = -1
        self.is_warm = False
        self.prepared_digest = 0
        self.digest = 0
        self.demands: dict[str, int] = {}
        self.successor = ''

    def rise(self, incarnation: int, counter: int, now_s: float) -> bool:
        """Take over a newer (incarnation, counter); tell whether it was."""
        if (incarnation, counter) <= (self.incarnation, self.counter):
            return False
        if incarnation > self.incarnation:
            self.reset_status()
            self.move('restart')
            self.incarnation = incarnation
            self.first_seen_s = now_s
        self.counter = counter
        self.last_rise_s = now_s
        self.move('rise')
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class PackedRecord:
    """One member as another host reports it."""

    tag: int
    incarnation_check: int
    counter_low: int
    is_leaving: bool
    is_warm: bool
    is_prepared: bool


def host_tag(key: int) -> int:
    """Return the 16-bit tag of a host's 32-bit key in packed records."""
    return key & 0xFFFF


def incarnation_check(incarnation: int) -> int:
    """Return 8 bits that differ between processes of one host.

    Folds the number, because start times in milliseconds that lie seconds
    apart must not agree in these bits more often than 1 in 256.
    """
    folded = incarnation ^ (incarnation >> 8) ^ (incarnation >> 16)
    return (folded ^ (incarnation >> 24)) & 0xFF


def pack(members: Iterable[Member], digest: int) -> bytes:
    """Encode members; the prepared flag is relative to ``digest``."""
    return b''.join(_pack_one(member, digest) for member in members)


def unpack(packed: bytes) -> Iterator[PackedRecord]:
    """Decode records; a trailing partial record is ignored."""
    usable = len(packed) - len(packed) % _RECORD.size
    for tag, check, low, flags in _RECORD.iter_unpack(packed[:usable]):
        yield PackedRecord(
            tag=tag,
            incarnation_check=check,
            counter_low=low,
            is_leaving=bool(flags & _FLAG_LEAVING),
            is_warm=bool(flags & _FLAG_WARM),
            is_prepared=bool(flags & _FLAG_PREPARED),
        )


def full_counter(member: Member, record: PackedRecord) -> int | None:
    """Return the counter that a record stands for, or None when it is older.

    Only a record of the process that is known already can be read.
    """
    if member.incarnation < 0:
        return None
    if incarnation_check(member.incarnation) != record.incarnation_check:
        return None
    rise = (record.counter_low - member.counter) % _COUNTER_MODULUS
    if rise > _MAX_PACKED_RISE:
        return None
    return member.counter + rise


def merge_flags(member: Member, record: PackedRecord, digest: int) -> bool:
    """Take over flags that are set; tell whether any is new.

    A flag that is not set says nothing, because counters also travel without
    flags. Only the host's own heartbeat clears a flag. ``digest`` is that
    of the configuration that both ends hold, or 0 when they differ.
    """
    before = (member.is_leaving, member.is_warm, member.prepared_digest)
    if record.is_leaving:
        member.move('leave')
    member.is_warm = member.is_warm or record.is_warm
    if record.is_prepared and digest:
        member.prepared_digest = digest
    after = (member.is_leaving, member.is_warm, member.prepared_digest)
    return before != after


def _pack_one(member: Member, digest: int) -> bytes:
    flags = 0
    if member.is_leaving:
        flags |= _FLAG_LEAVING
    if member.is_warm:
        flags |= _FLAG_WARM
    if member.prepared_digest == digest:
        flags |= _FLAG_PREPARED
    return _RECORD.pack(
        host_tag(member.key),
        incarnation_check(member.incarnation),
        member.counter % _COUNTER_MODULUS,
        flags,
    )
