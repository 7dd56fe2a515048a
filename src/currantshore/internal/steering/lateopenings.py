"""When an opening goes to a second server as well.

The load that this answers: servers that have just died, whose entries stay for
three heartbeats, and packets that are lost. A caller repeats its opening only
after 200 ms; the copy goes out as soon as the first server is overdue. The
budget keeps a service that is late as a whole from being sent everything
twice.
"""

import collections
from collections.abc import Iterator
from typing import Final, Self

from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# An opening is late after this many times what 19 of 20 openings take here,
# which is a round trip to the caller by way of the server.
_LATE_FACTOR: Final = 3.0

# Bounds of it: three ticks, within which a host may be late itself, and the
# time after which the caller repeats the opening.
LEAST_LATE_S: Final = 0.045
_MOST_LATE_S: Final = 0.2

# Copies of openings for each opening, and the copies of a first burst: a
# server that is down gets a quarter of the openings of a small zone.
_COPY_RATIO: Final = 0.25
_COPY_BURST: Final = 20.0


def late_after_s(usual_opening_s: float) -> float:
    """Return the age from which an opening counts as late.

    ``usual_opening_s`` is what most openings take at this host.
    """
    return min(max(usual_opening_s * _LATE_FACTOR, LEAST_LATE_S), _MOST_LATE_S)


class LateOpenings:
    """Openings in the order in which they become late, and the budget."""

    __slots__ = ('_due', '_left', '_most')

    def __init__(self, most: float = _COPY_BURST) -> None:
        """Start with a budget of ``most`` copies, which it never exceeds."""
        self._due: collections.deque[tuple[float, bytes]] = collections.deque()
        self._most = most
        self._left = most

    @classmethod
    def from_config(cls, switched_off: SwitchedOff) -> Self:
        """Build with a budget of nothing where copies are switched off."""
        is_off = Mechanism.OPENING_COPIES in switched_off
        return cls(0) if is_off else cls()

    def earn(self) -> None:
        """Add an opening's part to the budget of copies."""
        self._left = min(self._left + _COPY_RATIO, self._most)

    def add(self, flow_key: bytes, late_s: float) -> None:
        """Remember an opening that is late from ``late_s`` on.

        Times that are out of order by milliseconds wait for the ones before.
        """
        self._due.append((late_s, flow_key))

    def take_late(self, now_s: float) -> Iterator[bytes]:
        """Yield, and forget, the flows whose openings are late."""
        due = self._due
        while due and due[0][0] <= now_s:
            yield due.popleft()[1]

    def may_copy(self) -> bool:
        """Tell whether the budget has a copy left."""
        return self._left >= 1

    def spend(self) -> None:
        """Take a copy from the budget."""
        self._left -= 1
