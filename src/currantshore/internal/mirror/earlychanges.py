"""Messages of changes that came before those that they follow.

An answer of many messages may arrive in any order; dropping what is early
would have a whole answer asked for again.
"""

import heapq
from typing import Final

from currantshore.internal.mirror.messages import Changes

# Messages kept: two whole histories of a change log, 140 kB.
_MAX_EARLY: Final = 128


class EarlyChanges:
    """Keeps messages until the changes before them have come."""

    __slots__ = ('_heap',)

    def __init__(self) -> None:
        """Start without messages."""
        # By the revision that each message follows, then by its own.
        self._heap: list[tuple[int, int, Changes]] = []

    def keep(self, message: Changes) -> None:
        """Keep a message; a full store is emptied first."""
        if len(self._heap) >= _MAX_EARLY:
            self._heap.clear()
        key = (message.after_revision, message.revision)
        # Equal keys would make the heap compare the messages.
        if all(known[:2] != key for known in self._heap):
            heapq.heappush(self._heap, (*key, message))

    def take_next(self, revision: int) -> Changes | None:
        """Return a message that leads on from ``revision``, if there is one.

        Messages that tell nothing beyond ``revision`` are dropped.
        """
        while self._heap and self._heap[0][0] <= revision:
            _, reaches, message = heapq.heappop(self._heap)
            if reaches > revision:
                return message
        return None
