"""Keep messages of changes that arrive before their predecessors.

A reply of several messages may arrive in any order; if early messages were
dropped, the whole reply would have to be requested again.
"""

import heapq
from typing import Final

from currantshore.internal.mirror.messages import Changes

# Messages; enough for two complete histories of a change log, 140 kB.
_MAX_EARLY: Final = 128


class EarlyChanges:
    """Keeps messages until all changes before them have been applied."""

    __slots__ = ('_heap',)

    def __init__(self) -> None:
        """Initialize without messages."""
        # Ordered by the revision that a message follows, then by its own.
        self._heap: list[tuple[int, int, Changes]] = []

    def keep(self, message: Changes) -> None:
        """Keep a message; if the limit is reached, drop all others first."""
        if len(self._heap) >= _MAX_EARLY:
            self._heap.clear()
        key = (message.after_revision, message.revision)
        # For equal keys, the heap would compare the messages themselves.
        if all(known[:2] != key for known in self._heap):
            heapq.heappush(self._heap, (*key, message))

    def pop_next(self, revision: int) -> Changes | None:
        """Remove and return a message that continues from ``revision``.

        None if there is none. Messages without changes after ``revision`` are
        dropped.
        """
        while self._heap and self._heap[0][0] <= revision:
            _, last_revision, message = heapq.heappop(self._heap)
            if last_revision > revision:
                return message
        return None
