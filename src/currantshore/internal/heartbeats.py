"""Building of heartbeats within their size limit."""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.internal import peerwire
from currantshore.internal.roster import Member, pack

MAX_HEARTBEAT_SIZE_BYTES: Final = 700
# Demands are for slot shares; those of idle services change nothing.
_MAX_DEMANDS: Final = 8
_MAX_DEMANDS_SIZE_BYTES: Final = 96
# The freshest records are those that peers may lack; see docs/CAPACITY.md.
_MAX_PACKED_RECORDS: Final = 32
# A new incarnation travels in full until the whole pool can have it.
_NEWS_AGE_S: Final = 3.0
_MAX_NEWS: Final = 3


class HeartbeatBuilder:
    """Builds sealed heartbeats of one host."""

    __slots__ = ('_peer_key', '_turn')

    def __init__(self, peer_key: bytes) -> None:
        """Seal with the pool's key."""
        self._peer_key = peer_key
        self._turn = 0

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

    def build(
        self,
        own: Member,
        target: Member,
        members: Iterable[Member],
        now_s: float,
    ) -> bytes:
        """Return the sealed heartbeat of ``own`` for ``target``."""
        others = [
            member
            for member in members
            if member.is_live and member is not target
        ]
        counters = self._full_records(others, now_s)
        counters[own.key] = (own.incarnation, own.counter)
        if target.incarnation >= 0:
            counters[target.key] = (target.incarnation, target.counter)
        others.sort(key=lambda member: member.last_rise_s, reverse=True)
        heartbeat = peerwire.Heartbeat(
            sender=own.host_id,
            incarnation=own.incarnation,
            is_leaving=own.is_leaving,
            is_warm=own.is_warm,
            counters=counters,
            configuration_digest=own.digest,
            prepared_digest=own.prepared_digest,
            demands=own.demands,
            successor=own.successor,
            members=pack(others[:_MAX_PACKED_RECORDS], own.digest),
        )
        return peerwire.seal(heartbeat, self._peer_key)

    def _full_records(
        self,
        others: list[Member],
        now_s: float,
    ) -> dict[int, tuple[int, int]]:
        """Return new incarnations, and one other member in turn.

        Packed records can be read only by a host that knows the incarnation.
        """
        news = [
            member
            for member in others
            if now_s - member.first_seen_s < _NEWS_AGE_S
        ]
        chosen = news[:_MAX_NEWS]
        if others:
            self._turn += 1
            chosen.append(others[self._turn % len(others)])
        return {
            member.key: (member.incarnation, member.counter)
            for member in chosen
        }


def _by_demand(pair: tuple[str, int]) -> tuple[int, str]:
    return -pair[1], pair[0]
