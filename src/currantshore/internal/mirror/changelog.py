"""The last changes of backend servers, to pass on to hosts that lack them."""

import collections
from collections.abc import Iterable
from typing import Final

from currantshore.internal.mirror.messages import (
    CHANGES_PER_MESSAGE,
    Changes,
    pack_changes,
)
from currantshore.internal.steering.catalog import BackendEntry, BackendRemoved

# Covers some minutes of a release of 75 servers; a host that is further
# behind fetches the whole list.
_MAX_CHANGES: Final = 512


class ChangeLog:
    """Changes in order of revision, complete since ``start_revision``."""

    __slots__ = ('_changes', 'revision', 'start_revision')

    def __init__(self) -> None:
        """Start without history."""
        self._changes: collections.deque[BackendEntry | BackendRemoved] = (
            collections.deque()
        )
        self.start_revision = 0
        self.revision = 0

    def start_over(self, revision: int) -> None:
        """Forget the history: a complete list of ``revision`` was taken."""
        if revision > self.revision:
            self._changes.clear()
            self.start_revision = revision
            self.revision = revision

    def add(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
    ) -> None:
        """Append what is new of changes.

        The log's revision stays at the last change: the store's revision also
        grows with objects of other kinds, which other hosts need not ask for.
        """
        newer = [one for one in changes if one.revision > self.revision]
        newer.sort(key=lambda change: change.revision)
        self._changes.extend(newer)
        if newer:
            self.revision = newer[-1].revision
        while len(self._changes) > _MAX_CHANGES:
            self.start_revision = self._changes.popleft().revision

    def is_one_message(self, revision: int) -> bool:
        """Tell whether all changes after ``revision`` fit into a message."""
        if revision < self.start_revision:
            return False
        if len(self._changes) <= CHANGES_PER_MESSAGE:
            return True
        return self._changes[-CHANGES_PER_MESSAGE - 1].revision <= revision

    def after(self, revision: int) -> list[Changes] | None:
        """Return all changes after ``revision``; None when too far back."""
        if revision < self.start_revision:
            return None
        left = [one for one in self._changes if one.revision > revision]
        messages: list[Changes] = []
        start = revision
        while len(left) > CHANGES_PER_MESSAGE:
            part = tuple(left[:CHANGES_PER_MESSAGE])
            left = left[CHANGES_PER_MESSAGE:]
            messages.append(pack_changes(start, part, part[-1].revision))
            start = part[-1].revision
        if self.revision > start:
            messages.append(pack_changes(start, tuple(left), self.revision))
        return messages
