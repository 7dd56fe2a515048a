"""Keep the latest changes of backend servers for hosts that lack them."""

import collections
import itertools
from collections.abc import Iterable
from typing import Final

from currantshore.internal.mirror.messages import (
    CHANGES_PER_MESSAGE,
    Changes,
    count_fitting,
    pack_changes,
)
from currantshore.internal.steering.catalog import BackendEntry, BackendRemoved

# Covers several minutes of a release of 75 servers; a host that is further
# behind fetches the complete list.
_MAX_CHANGES: Final = 512


class ChangeLog:
    """Changes in order of revision, complete after ``start_revision``."""

    __slots__ = ('_changes', 'revision', 'start_revision')

    def __init__(self) -> None:
        """Initialize an empty log."""
        self._changes: collections.deque[BackendEntry | BackendRemoved] = (
            collections.deque()
        )
        self.start_revision = 0
        self.revision = 0

    def reset(self, revision: int) -> None:
        """Discard the history because a complete list was applied."""
        if revision > self.revision:
            self._changes.clear()
            self.start_revision = revision
            self.revision = revision

    def add(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
    ) -> None:
        """Append the changes that are newer than the log.

        The log's revision is that of its last change or complete list. The
        store's revision also grows with objects of other kinds, and other hosts
        must not request changes because of those.
        """
        newer = [
            change for change in changes if change.revision > self.revision
        ]
        newer.sort(key=lambda change: change.revision)
        self._changes.extend(newer)
        if newer:
            self.revision = newer[-1].revision
        while len(self._changes) > _MAX_CHANGES:
            self.start_revision = self._changes.popleft().revision

    def fits_one_message(self, revision: int) -> bool:
        """Return whether one message can hold all changes after ``revision``.

        False if the log does not reach back to ``revision``.
        """
        if revision < self.start_revision:
            return False
        newest = itertools.takewhile(
            lambda change: change.revision > revision, reversed(self._changes)
        )
        few = list(itertools.islice(newest, CHANGES_PER_MESSAGE + 1))
        return count_fitting(few) == len(few)

    def changes_after(self, revision: int) -> list[Changes] | None:
        """Return messages with all changes after ``revision``.

        None if the log does not reach back to ``revision``.
        """
        if revision < self.start_revision:
            return None
        remaining = [
            change for change in self._changes if change.revision > revision
        ]
        messages: list[Changes] = []
        start = revision
        count = count_fitting(remaining)
        while count < len(remaining):
            part = tuple(remaining[:count])
            remaining = remaining[count:]
            count = count_fitting(remaining)
            messages.append(pack_changes(start, part, part[-1].revision))
            start = part[-1].revision
        if self.revision > start:
            messages.append(
                pack_changes(start, tuple(remaining), self.revision)
            )
        return messages
