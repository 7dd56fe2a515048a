"""The placement of one service while it changes.

A change is prepared (unknown flows of moved buckets go through their owner,
which places them by the former table), committed (owners place them by the
new table) and settled (every balancer has the exceptions of every owner, so
nobody needs to ask).
"""

from collections.abc import Iterable
from typing import Final

import numpy as np

from currantshore.internal.flows.flowpeers import Peers
from currantshore.internal.flows.placement import Mask, PlacementTable
from currantshore.internal.snapshot import ServiceSnapshot

# Live views of two balancers differ by up to two heartbeat intervals. A second
# owner sends the exceptions of a first owner that is gone when it sees that.
_OWNER_CHANGE_HOLD_S: Final = 1.0

# Two heartbeat intervals: a balancer that started earlier has been heard of.
_MEETING_TIME_S: Final = 1.0

# The version of a service of which nothing was committed yet.
NO_VERSION: Final = -1


class PlacementChange:
    """Former and new table, moved buckets and the state of the change.

    ``moved`` is None when every bucket can be placed without its owner.
    ``base`` is None when the former table is not known, as after a start.
    """

    __slots__ = (
        '_committed_at_s',
        '_hold_until_s',
        '_idle_timeout_s',
        '_overdue',
        '_prepare_timeout_s',
        '_pending',
        '_settled_versions',
        '_started_at_s',
        '_updates',
        '_version',
        'base',
        'committed_version',
        'is_committed',
        'is_doubtful',
        'is_forced',
        'is_warm',
        'moved',
        'table',
    )

    def __init__(
        self,
        service: ServiceSnapshot,
        table: PlacementTable,
        is_known_by_peers: bool,
        now_s: float,
    ) -> None:
        """Start with the first table of a service.

        ``is_known_by_peers`` tells whether other balancers may already hold
        flows of this service.
        """
        self._settled_versions: dict[str, int] = {}
        self._started_at_s = now_s
        self._hold_until_s = now_s
        self._updates = 0
        self.table = table
        # The uncommitted tables and when they were prepared, oldest first.
        self._pending = [(now_s, table)]
        # Those whose time is over, although a later change is not committed.
        self._overdue: list[PlacementTable] = []
        self.base: PlacementTable | None = None
        self.moved = _all_of(table) if is_known_by_peers else None
        self.is_committed = not is_known_by_peers
        self.is_warm = not is_known_by_peers
        # Whether peers may hold flows that neither table explains.
        self.is_doubtful = is_known_by_peers
        self.is_forced = False
        self.committed_version = NO_VERSION
        self._adopt(service, 0, now_s)

    def start(
        self,
        service: ServiceSnapshot,
        table: PlacementTable,
        peers: Peers,
        now_s: float,
    ) -> None:
        """Prepare the change to ``table``.

        A balancer that is behind its peers may have missed tables between the
        two, so all buckets count as moved.
        """
        if self.is_committed:
            self._pending = []
            self._overdue = []
            self.base = self.table
            self.is_doubtful = self.moved is not None
        self._pending.append((now_s, table))
        moved = _difference(self.table, table)
        if self.base is not None:
            moved = moved | _difference(self.base, table)
        if self.moved is not None and len(self.moved) == len(moved):
            moved = moved | self.moved
        if peers.is_behind or peers.is_frozen(now_s):
            moved = _all_of(table)
        self.table = table
        self.moved = moved if moved.any() else None
        self.is_committed = self.moved is None
        self.is_forced = False
        self._adopt(service, peers.updates, now_s)

    def table_for_unknown(self) -> PlacementTable | None:
        """Return the table by which an owner places unknown flows."""
        return self.table if self.is_committed else self.base

    def is_trusted(self, flow_key: int) -> bool:
        """Tell whether a flow can be placed without asking its owner."""
        if self.moved is None:
            return True
        return not self.moved[flow_key & (self.table.bucket_count - 1)]

    def commit_if_ready(
        self,
        peers: Peers,
        is_blocked: bool,
        now_s: float,
    ) -> bool:
        """Commit when all peers have prepared, or after the timeout.

        Only a live view that came after the change shows what the peers have
        prepared of it.
        """
        if self.is_committed:
            return False
        is_seen = peers.updates > self._updates and not peers.unprepared
        is_ready = is_seen and not is_blocked and self._has_met(peers, now_s)
        self._note_overdue(now_s)
        is_late = now_s >= self._pending[-1][0] + self._prepare_timeout_s
        if not (is_ready or is_late or self._is_settled_elsewhere()):
            return False
        self._commit(now_s)
        self.is_forced = not is_ready
        return True

    def _is_settled_elsewhere(self) -> bool:
        """Tell whether a peer has committed the version that is held.

        Such a peer may trust the new table already and no longer ask, so an
        owner that went on with the former table would decide differently.
        """
        return self._version in self._settled_versions.values()

    def note_owner_change(self, has_lost_owner: bool, now_s: float) -> None:
        """Wait for the exceptions that new owners have taken over."""
        self.is_doubtful = True
        if has_lost_owner:
            self._hold_until_s = now_s + _OWNER_CHANGE_HOLD_S

    def note_settled(self, host: str, version: int) -> None:
        """Note that ``host`` has sent the exceptions of a version."""
        held = self._settled_versions.get(host, NO_VERSION)
        self._settled_versions[host] = max(held, version)

    def settle_if_complete(self, peers: Peers, now_s: float) -> None:
        """Trust the new table once every owner has sent its exceptions.

        Flows that nobody told of for an idle timeout have ended.
        """
        self._warm_up(peers, now_s)
        if not (self.is_warm and self.is_committed) or self.moved is None:
            return
        is_old = now_s >= self._committed_at_s + self._idle_timeout_s
        is_told = self._have_settled(peers.others)
        if is_old or (is_told and now_s >= self._hold_until_s):
            self.moved = None
            self.base = None
            self.is_forced = False
            self.is_doubtful = False

    def is_barred(self, slot: int) -> bool:
        """Tell whether a drained server gets no new flow any more.

        A later change must not put off the end of an earlier drain.
        """
        if self.table.has_slot(slot):
            return False
        return not all(table.has_slot(slot) for table in self._overdue)

    def _note_overdue(self, now_s: float) -> None:
        latest_s = now_s - self._prepare_timeout_s
        self._overdue = [
            table for since_s, table in self._pending if since_s <= latest_s
        ]
        if self._overdue:
            self.is_doubtful = True

    def _warm_up(self, peers: Peers, now_s: float) -> None:
        """Answer lookups once every peer has told of its exceptions."""
        if self.is_warm:
            return
        is_old = now_s >= self._started_at_s + self._prepare_timeout_s
        is_told = self._settled_versions.keys() >= peers.others
        has_met = bool(peers.others) and self._has_met(peers, now_s)
        self.is_warm = is_old or (is_told and has_met)

    def _has_met(self, peers: Peers, now_s: float) -> bool:
        """Tell whether a started balancer has had time to hear of its peers."""
        if self.is_warm or peers.has_met_all():
            return True
        return now_s >= self._started_at_s + _MEETING_TIME_S

    def _have_settled(self, others: Iterable[str]) -> bool:
        """Tell whether all peers have settled exactly this version.

        The exceptions of a later version do not explain the table held here.
        """
        versions = self._settled_versions
        return all(versions.get(host) == self._version for host in others)

    def _adopt(
        self,
        service: ServiceSnapshot,
        updates: int,
        now_s: float,
    ) -> None:
        self._version = service.version
        self._idle_timeout_s = service.flow_idle_timeout_s
        self._prepare_timeout_s = service.prepare_timeout_s
        self._updates = updates
        if self.is_committed:
            self._commit(now_s)

    def _commit(self, now_s: float) -> None:
        self.is_committed = True
        self._committed_at_s = now_s
        self.committed_version = self._version


def _all_of(table: PlacementTable) -> Mask:
    return np.ones(table.bucket_count, np.bool_)


def _difference(one: PlacementTable, other: PlacementTable) -> Mask:
    """Return the buckets that differ; all of them after a change of count."""
    if one.bucket_count == other.bucket_count:
        return one.moved_to(other)
    return _all_of(other)
