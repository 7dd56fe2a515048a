"""Tracks the placement of one service while its backend servers change.

A change goes through three steps. While it is prepared, unknown flows of moved
buckets go through their owner, which places them by the former table. Once it
is committed, owners place them by the new table. Once it is settled, every
balancer has the exceptions of every owner, so no lookup is needed. A single
peer has settled a version when it has committed it and sent its exceptions.
"""

from collections.abc import Iterable
from typing import Final

import numpy as np

from currantshore.internal.flows.flowpeers import Peers
from currantshore.internal.flows.placement import Mask, PlacementTable
from currantshore.internal.snapshot import ServiceSnapshot

# Live views of two balancers differ by up to two heartbeat intervals. A second
# owner sends the exceptions of a first owner that is gone as soon as its own
# view shows this.
_OWNER_CHANGE_HOLD_S: Final = 1.0

# Two heartbeat intervals: by then, heartbeats of all balancers that started
# earlier have arrived.
_DISCOVERY_TIME_S: Final = 1.0

# The version of a service before its first commit.
NO_VERSION: Final = -1


class PlacementChange:
    """The former and the new table, the moved buckets and the step reached.

    ``moved`` is None when no flow needs a lookup.
    ``former_table`` is None when it is not known, as after a start.
    ``is_forced`` states that the last commit came before all peers were
    prepared. ``is_warm`` states that this balancer can decide as an owner.
    """

    __slots__ = (
        '_committed_at_s',
        '_hold_until_s',
        '_idle_timeout_s',
        '_overdue',
        '_pending',
        '_prepare_timeout_s',
        '_settled_versions',
        '_started_at_s',
        '_version',
        '_view_count_at_start',
        'committed_version',
        'former_table',
        'is_committed',
        'is_forced',
        'is_warm',
        'moved',
        'needs_full_poll',
        'table',
    )

    def __init__(
        self,
        service: ServiceSnapshot,
        table: PlacementTable,
        is_known_by_peers: bool,
        now_s: float,
    ) -> None:
        """Initialize with the first table of a service.

        ``is_known_by_peers`` states whether peers may already hold flows of
        this service.
        """
        self._settled_versions: dict[str, int] = {}
        self._started_at_s = now_s
        self._hold_until_s = now_s
        self._view_count_at_start = 0
        self.table = table
        # The uncommitted tables and when their preparation began, oldest first.
        self._pending = [(now_s, table)]
        # The tables in ``_pending`` whose prepare timeout has passed.
        self._overdue: list[PlacementTable] = []
        self.former_table: PlacementTable | None = None
        self.moved = _all_buckets(table) if is_known_by_peers else None
        self.is_committed = not is_known_by_peers
        self.is_warm = not is_known_by_peers
        # Whether peers may hold flows on servers that neither table gives, so
        # that an owner has to poll all peers.
        self.needs_full_poll = is_known_by_peers
        self.is_forced = False
        self.committed_version = NO_VERSION
        self._apply_service(service, 0, now_s)

    def start(
        self,
        service: ServiceSnapshot,
        table: PlacementTable,
        peers: Peers,
        now_s: float,
    ) -> None:
        """Prepare the change to ``table``.

        A balancer that is behind its peers may have missed tables between the
        current one and ``table``, so all buckets count as moved.
        """
        if self.is_committed:
            self._pending = []
            self._overdue = []
            self.former_table = self.table
            self.needs_full_poll = self.moved is not None
        self._pending.append((now_s, table))
        moved = _changed_buckets(self.table, table)
        if self.former_table is not None:
            moved = moved | _changed_buckets(self.former_table, table)
        if self.moved is not None and len(self.moved) == len(moved):
            moved = moved | self.moved
        if peers.is_behind or peers.is_resuming(now_s):
            moved = _all_buckets(table)
        self.table = table
        self.moved = moved if moved.any() else None
        self.is_committed = self.moved is None
        self.is_forced = False
        self._apply_service(service, peers.view_count, now_s)

    def table_for_unknown(self) -> PlacementTable | None:
        """Return the table by which an owner places unknown flows."""
        return self.table if self.is_committed else self.former_table

    def needs_no_lookup(self, flow_key: int) -> bool:
        """Return whether a flow can be placed without a lookup."""
        if self.moved is None:
            return True
        return not self.moved[flow_key & (self.table.bucket_count - 1)]

    def commit_if_ready(
        self,
        peers: Peers,
        is_blocked: bool,
        now_s: float,
    ) -> bool:
        """Commit when all peers have prepared, or one has committed.

        After the prepare timeout, commit in any case.

        Only a live view that arrives after the start of the change shows
        whether the peers have prepared it.
        """
        if self.is_committed:
            return False
        is_prepared_by_peers = (
            peers.view_count > self._view_count_at_start
            and not peers.unprepared
        )
        is_ready = (
            is_prepared_by_peers
            and not is_blocked
            and self._has_discovered(peers, now_s)
        )
        self._update_overdue(now_s)
        is_timed_out = now_s >= self._pending[-1][0] + self._prepare_timeout_s
        if not (is_ready or is_timed_out or self._is_committed_by_peer()):
            return False
        self._commit(now_s)
        self.is_forced = not is_ready
        return True

    def _is_committed_by_peer(self) -> bool:
        """Return whether a peer has committed the current version.

        Such a peer may already trust the new table and send no more lookups. An
        owner that still used the former table would decide differently.
        """
        return self._version in self._settled_versions.values()

    def record_owner_change(self, has_lost_owner: bool, now_s: float) -> None:
        """Poll all peers from now on, and settle later if an owner is lost.

        The delay lets new owners receive the exceptions of the lost one.
        """
        self.needs_full_poll = True
        if has_lost_owner:
            self._hold_until_s = now_s + _OWNER_CHANGE_HOLD_S

    def record_settled(self, host: str, version: int) -> None:
        """Record that ``host`` has sent its exceptions of a version."""
        newest = self._settled_versions.get(host, NO_VERSION)
        self._settled_versions[host] = max(newest, version)

    def settle_if_complete(self, peers: Peers, now_s: float) -> None:
        """Trust the new table once every peer has sent its exceptions.

        After an idle timeout this no longer matters: flows that no peer has
        reported by then have ended.
        """
        self._become_warm_if_ready(peers, now_s)
        if not (self.is_warm and self.is_committed) or self.moved is None:
            return
        is_timed_out = now_s >= self._committed_at_s + self._idle_timeout_s
        has_all_versions = self._have_settled(peers.others)
        if is_timed_out or (has_all_versions and now_s >= self._hold_until_s):
            self.moved = None
            self.former_table = None
            self.is_forced = False
            self.needs_full_poll = False

    def is_closed_to_new_flows(self, slot: int) -> bool:
        """Return whether a drained server must not receive new flows any more.

        A later change must not delay the end of an earlier drain.
        """
        if self.table.has_slot(slot):
            return False
        return not all(table.has_slot(slot) for table in self._overdue)

    def _update_overdue(self, now_s: float) -> None:
        latest_s = now_s - self._prepare_timeout_s
        self._overdue = [
            table for since_s, table in self._pending if since_s <= latest_s
        ]
        if self._overdue:
            self.needs_full_poll = True

    def _become_warm_if_ready(self, peers: Peers, now_s: float) -> None:
        """Start to decide as an owner once all exceptions are known.

        They are known when every peer has sent its own; after the prepare
        timeout the balancer no longer waits for them.
        """
        if self.is_warm:
            return
        is_timed_out = now_s >= self._started_at_s + self._prepare_timeout_s
        has_all_versions = self._settled_versions.keys() >= peers.others
        has_discovered = bool(peers.others) and self._has_discovered(
            peers, now_s
        )
        self.is_warm = is_timed_out or (has_all_versions and has_discovered)

    def _has_discovered(self, peers: Peers, now_s: float) -> bool:
        """Return whether heartbeats of all peers have had time to arrive."""
        if self.is_warm or peers.has_all_declared():
            return True
        return now_s >= self._started_at_s + _DISCOVERY_TIME_S

    def _have_settled(self, others: Iterable[str]) -> bool:
        """Return whether all peers have settled exactly this version.

        The exceptions of a later version are relative to another table.
        """
        versions = self._settled_versions
        return all(versions.get(host) == self._version for host in others)

    def _apply_service(
        self,
        service: ServiceSnapshot,
        view_count: int,
        now_s: float,
    ) -> None:
        self._version = service.version
        self._idle_timeout_s = service.flow_idle_timeout_s
        self._prepare_timeout_s = service.prepare_timeout_s
        self._view_count_at_start = view_count
        if self.is_committed:
            self._commit(now_s)

    def _commit(self, now_s: float) -> None:
        self.is_committed = True
        self._committed_at_s = now_s
        self.committed_version = self._version


def _all_buckets(table: PlacementTable) -> Mask:
    return np.ones(table.bucket_count, np.bool_)


def _changed_buckets(first: PlacementTable, second: PlacementTable) -> Mask:
    """Return the buckets that differ; all if the bucket counts differ."""
    if first.bucket_count == second.bucket_count:
        return first.moved_buckets(second)
    return _all_buckets(second)
