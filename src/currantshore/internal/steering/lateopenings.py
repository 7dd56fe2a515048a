"""Decides which openings are late enough to send to a second backend.

This is meant for lost packets and for backends that have just crashed, whose
entries stay for three heartbeat intervals. A caller repeats its opening only
after 200 ms, while the copy is sent as soon as the first backend is overdue.
The budget limits the copies when a whole service is late; without it, every
opening would be sent twice.
"""

import collections
from collections.abc import Iterator
from typing import Final, Self

from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# An opening is late after this many times the 95th percentile of the time that
# openings take at this host. That is the time from here to the backend, from
# there to the caller, and back to this host.
_LATE_FACTOR: Final = 3.0

# Bounds of the age from which an opening is late: three ticks, since the host
# itself may be late by that much, and the time after which the caller repeats
# the opening.
MIN_LATE_S: Final = 0.045
_MAX_LATE_S: Final = 0.2

# Copies that each opening adds to the budget, and the budget's capacity. In a
# small zone, one backend gets a quarter of the openings, all of which have to
# be copied if it is down.
_COPY_RATIO: Final = 0.25
_COPY_BURST: Final = 20.0


def late_after_s(usual_opening_s: float) -> float:
    """Return the age from which an opening counts as late.

    ``usual_opening_s`` is the time in which most openings at this host are
    answered.
    """
    return min(max(usual_opening_s * _LATE_FACTOR, MIN_LATE_S), _MAX_LATE_S)


class LateOpenings:
    """Queue of openings that may become late, and the budget of copies.

    The budget is a token bucket.
    """

    __slots__ = ('_capacity', '_copies_left', '_due')

    def __init__(self, capacity: float = _COPY_BURST) -> None:
        """Initialize with a full budget of ``capacity`` copies."""
        self._due: collections.deque[tuple[float, bytes]] = collections.deque()
        self._capacity = capacity
        self._copies_left = capacity

    @classmethod
    def from_config(cls, switched_off: SwitchedOff) -> Self:
        """Build, with a budget of 0 where copies are switched off."""
        is_off = Mechanism.OPENING_COPIES in switched_off
        return cls(0) if is_off else cls()

    def refill(self) -> None:
        """Add the share of one opening to the budget of copies."""
        self._copies_left = min(self._copies_left + _COPY_RATIO, self._capacity)

    def add(self, flow_key: bytes, late_at_s: float) -> None:
        """Add an opening that is late from the time ``late_at_s`` on.

        The queue is in the order of calls. An opening that is late slightly
        earlier than its predecessor is returned only after it.
        """
        self._due.append((late_at_s, flow_key))

    def pop_late(self, now_s: float) -> Iterator[bytes]:
        """Remove and yield the keys of flows whose openings are late."""
        due = self._due
        while due and due[0][0] <= now_s:
            yield due.popleft()[1]

    def may_copy(self) -> bool:
        """Return whether the budget allows a copy."""
        return self._copies_left >= 1

    def consume(self) -> None:
        """Remove one copy from the budget."""
        self._copies_left -= 1
