"""Building of heartbeats within their size limit."""

from collections.abc import Mapping, Sequence
from typing import Final

from currantshore.internal import peerwire
from currantshore.internal.members import packing
from currantshore.internal.members.roster import Member

MAX_HEARTBEAT_SIZE_BYTES: Final = 700
# Demands are for slot shares; those of idle services change nothing.
_MAX_DEMANDS: Final = 8
_MAX_DEMANDS_SIZE_BYTES: Final = 64
# With more, nobody is told that one of them has no flows left.
_MAX_DRAINING: Final = 8
# A new process, or a host that is live again after a cut longer than a packed
# counter can tell, travels in full until the whole pool can have it.
_NEWS_AGE_S: Final = 3.0
_MAX_NEWS: Final = 3
# A host that missed the news learns the incarnation in turn: with 64 hosts
# within a minute, and at once from the host itself.
_BEATS_PER_TURN: Final = 2


class HeartbeatBuilder:
    """Builds sealed heartbeats of one host."""

    __slots__ = (
        '_block',
        '_counters',
        '_peer_key',
        '_places',
        '_turn',
        '_version',
    )

    def __init__(self, peer_key: bytes) -> None:
        """Seal with the pool's key."""
        self._peer_key = peer_key
        self._places: Sequence[Member] = ()
        self._version = 0
        self._turn = 0
        self._block = b''
        self._counters: Mapping[int, tuple[int, int]] = {}

    def use_places(self, members: Sequence[Member], version: int) -> None:
        """Take the hosts of one pool version in the order of their places."""
        self._places = members
        self._version = version

    def busiest(self, demands: Mapping[str, int]) -> dict[str, int]:
        """Return the highest demands that fit into a heartbeat."""
        ordered = sorted(demands.items(), key=_by_demand)
        chosen: dict[str, int] = {}
        size_bytes = 0
        for service_id, demand in ordered[:_MAX_DEMANDS]:
            size_bytes += len(service_id.encode()) + 4
            if demand <= 0 or size_bytes > _MAX_DEMANDS_SIZE_BYTES:
                break
            chosen[service_id] = demand
        return chosen

    def listed(self, draining: Mapping[str, int]) -> dict[str, int] | None:
        """Return ``draining`` if all of it fits into a heartbeat."""
        return dict(draining) if len(draining) <= _MAX_DRAINING else None

    def start_beat(self, own: Member, now_s: float) -> None:
        """Compute what is the same in all heartbeats of one beat."""
        self._turn += 1
        self._counters = self._full_records(own, now_s)
        self._block = packing.pack(
            self._places,
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

        With ``shows_target`` the target sees what is known of it, so that it
        answers at once or learns that an earlier process outranks it.
        """
        counters = dict(self._counters) if has_block else {}
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
        """Return where this beat's window of a very large pool starts."""
        windows = len(self._places) // packing.MAX_PLACES + 1
        if len(self._places) <= packing.MAX_PLACES:
            return 0
        return self._turn % windows * packing.MAX_PLACES

    def _full_records(
        self,
        own: Member,
        now_s: float,
    ) -> dict[int, tuple[int, int]]:
        """Return new incarnations, and one other member in turn.

        Packed records can be read only by a host that knows the incarnation.
        """
        others = [
            member
            for member in self._places
            if member.is_live and member is not own
        ]
        chosen = [
            member
            for member in others
            if now_s - member.appeared_s < _NEWS_AGE_S
        ]
        # Starts at another member each time, so that none of many is left out.
        start = self._turn * _MAX_NEWS % max(len(chosen), 1)
        chosen = (chosen[start:] + chosen[:start])[:_MAX_NEWS]
        turn, is_off = divmod(self._turn, _BEATS_PER_TURN)
        if others and not is_off:
            chosen.append(others[turn % len(others)])
        return {
            member.key: (member.incarnation, member.counter)
            for member in chosen
        }


def _by_demand(pair: tuple[str, int]) -> tuple[int, str]:
    return -pair[1], pair[0]
