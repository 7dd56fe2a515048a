"""Builds heartbeats whose parts are limited to fit their maximum size."""

from collections.abc import Mapping, Sequence
from typing import Final

from currantshore.internal import peerwire
from currantshore.internal.members import packing
from currantshore.internal.members.roster import Member

MAX_HEARTBEAT_SIZE_BYTES: Final = 700
# Services that are not listed count as without demand in slot shares.
_MAX_DEMANDS: Final = 8
_MAX_DEMANDS_SIZE_BYTES: Final = 64
# With more draining backends none is listed, so peers are not informed when
# one of them has no flows left.
_MAX_DRAINING: Final = 8
# A packed counter is ambiguous for a new process and for a host that is live
# again after a long disconnection. Their full records are sent for this long,
# until they can have reached the whole pool.
_NEW_PROCESS_AGE_S: Final = 3.0
_MAX_NEW_PROCESSES: Final = 3
# A full record of one other host is sent in every second round. A host that
# missed an incarnation receives it this way within a minute in a pool of 64
# hosts, and at once from a heartbeat of the host itself.
_ROUNDS_PER_RECORD: Final = 2


class HeartbeatBuilder:
    """Builds the sealed heartbeats of one host."""

    __slots__ = (
        '_block',
        '_members',
        '_peer_key',
        '_records',
        '_round',
        '_version',
    )

    def __init__(self, peer_key: bytes) -> None:
        """Initialize with the pool's key."""
        self._peer_key = peer_key
        self._members: Sequence[Member] = ()
        self._version = 0
        self._round = 0
        self._block = b''
        self._records: Mapping[int, tuple[int, int]] = {}

    def apply_members(self, members: Sequence[Member], version: int) -> None:
        """Set the hosts of one pool version, in the order of their places."""
        self._members = members
        self._version = version

    def select_demands(self, demands: Mapping[str, int]) -> dict[str, int]:
        """Return the highest demands that fit into a heartbeat, by service."""
        ordered = sorted(demands.items(), key=_by_demand)
        chosen: dict[str, int] = {}
        size_bytes = 0
        for service_id, demand in ordered[:_MAX_DEMANDS]:
            size_bytes += len(service_id.encode()) + 4
            if demand <= 0 or size_bytes > _MAX_DEMANDS_SIZE_BYTES:
                break
            chosen[service_id] = demand
        return chosen

    def listable_draining(
        self, draining: Mapping[str, int]
    ) -> dict[str, int] | None:
        """Return ``draining`` if it fits into a heartbeat, else None."""
        return dict(draining) if len(draining) <= _MAX_DRAINING else None

    def start_round(self, own: Member, now_s: float) -> None:
        """Compute the parts shared by the heartbeats that are built next."""
        self._round += 1
        self._records = self._full_records(own, now_s)
        self._block = packing.pack(
            self._members,
            self._version,
            own.digest,
            self._first_place(),
        )

    def build(
        self,
        own: Member,
        target: Member,
        *,
        shows_target: bool,
        has_block: bool,
        has_demands: bool,
    ) -> bytes:
        """Return the sealed heartbeat of ``own`` for ``target``.

        With ``shows_target`` the heartbeat includes the record of the target.
        The target then answers at once if the record is old, or raises its
        incarnation if an earlier process of its host has a higher one.
        """
        counters = dict(self._records) if has_block else {}
        counters[own.key] = (own.incarnation, own.counter)
        if shows_target:
            counters[target.key] = (
                max(target.incarnation, 0),
                max(target.counter, 0),
            )
        heartbeat = peerwire.Heartbeat(
            sender=own.host_id,
            incarnation=own.incarnation,
            is_leaving=own.is_leaving,
            is_warm=own.is_warm,
            counters=counters,
            configuration_digest=own.digest,
            prepared_digest=own.prepared_digest,
            demands=own.demands if has_demands else {},
            successor=own.successor,
            members=self._block if has_block else b'',
            has_demands=has_demands,
            draining=own.draining if has_demands else None,
        )
        return peerwire.seal(heartbeat, self._peer_key)

    def _first_place(self) -> int:
        """Return the first place in this round's block.

        A block has room for 64 places; larger pools are sent in windows.
        """
        windows = len(self._members) // packing.MAX_PLACES + 1
        if len(self._members) <= packing.MAX_PLACES:
            return 0
        return self._round % windows * packing.MAX_PLACES

    def _full_records(
        self,
        own: Member,
        now_s: float,
    ) -> dict[int, tuple[int, int]]:
        """Return full records of new processes and of one other member.

        Only a receiver with the incarnation of a process can decode its packed
        record.
        """
        others = [
            member
            for member in self._members
            if member.is_live and member is not own
        ]
        chosen = [
            member
            for member in others
            if now_s - member.live_since_s < _NEW_PROCESS_AGE_S
        ]
        # Starts at a different member each time so that none is left out.
        start = self._round * _MAX_NEW_PROCESSES % max(len(chosen), 1)
        chosen = (chosen[start:] + chosen[:start])[:_MAX_NEW_PROCESSES]
        turn, is_skipped = divmod(self._round, _ROUNDS_PER_RECORD)
        if others and not is_skipped:
            chosen.append(others[turn % len(others)])
        return {
            member.key: (member.incarnation, member.counter)
            for member in chosen
        }


def _by_demand(pair: tuple[str, int]) -> tuple[int, str]:
    return -pair[1], pair[0]
