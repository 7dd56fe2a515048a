"""Keep the known hosts and choose the recipients of messages."""

import random
from collections.abc import Iterable
from typing import Final

from currantshore.internal.mirror.messages import Neighbour

# Gossip needs a random sample of the hosts of a zone, not all of them.
_MAX_NEIGHBOURS: Final = 128

# A host from which nothing was received for this long is removed; it gets
# messages again once another host reports it. The limit is the length of the
# longest expected network partition.
_SILENCE_LIMIT_S: Final = 60.0


class Neighbours:
    """Known hosts by IP address, with the time of their last message.

    For a host that only other hosts reported, the time of that report counts.
    """

    __slots__ = ('_known', '_own_host', '_received_s', '_rng')

    def __init__(self, own_host: str, rng: random.Random) -> None:
        """Initialize without hosts; ``own_host`` is never added."""
        self._own_host = own_host
        self._rng = rng
        self._received_s: dict[str, float] = {}
        self._known: dict[str, Neighbour] = {}

    def __len__(self) -> int:
        return len(self._received_s)

    def __contains__(self, host: str) -> bool:
        return host in self._received_s

    def record(self, neighbour: Neighbour, now_s: float) -> None:
        """Record ``neighbour`` as heard from or reported at ``now_s``."""
        if neighbour.host != self._own_host:
            self._known[neighbour.host] = neighbour
            self._received_s[neighbour.host] = now_s
            self._limit_size()

    def add_reported(
        self, neighbours: Iterable[Neighbour], now_s: float
    ) -> None:
        """Add hosts that another host has reported."""
        for neighbour in neighbours:
            if neighbour.host not in self._received_s:
                self.record(neighbour, now_s)

    def drop(self, host: str) -> None:
        """Remove a host that is leaving or silent."""
        self._received_s.pop(host, None)
        self._known.pop(host, None)

    def forget_silent(self, now_s: float) -> None:
        """Remove hosts that have been silent for too long."""
        for host, received_s in tuple(self._received_s.items()):
            if now_s - received_s > _SILENCE_LIMIT_S:
                self.drop(host)

    def is_full(self) -> bool:
        """Return whether there may be more hosts than can be known."""
        return len(self._known) >= _MAX_NEIGHBOURS

    def of_zone(self, zone: str) -> list[Neighbour]:
        """Return the known hosts of a zone."""
        return [
            neighbour
            for neighbour in self._known.values()
            if neighbour.zone == zone
        ]

    def choose(
        self, zone: str, zone_count: int, other_zone_count: int
    ) -> list[str]:
        """Choose random hosts, and return their IP addresses.

        Up to ``zone_count`` are of ``zone``, ``other_zone_count`` of others.
        """
        inside = self.of_zone(zone)
        outside = [
            neighbour
            for neighbour in self._known.values()
            if neighbour.zone != zone
        ]
        chosen = self._sample(inside, zone_count)
        chosen += self._sample(outside, other_zone_count)
        return [neighbour.host for neighbour in chosen]

    def sample(self, count: int) -> tuple[Neighbour, ...]:
        """Return up to ``count`` random hosts to report to others."""
        return tuple(self._sample(list(self._known.values()), count))

    def _sample(
        self, neighbours: list[Neighbour], count: int
    ) -> list[Neighbour]:
        if len(neighbours) <= count:
            return neighbours
        return self._rng.sample(neighbours, count)

    def _limit_size(self) -> None:
        if len(self._received_s) > _MAX_NEIGHBOURS:
            self.drop(self._rng.choice(list(self._received_s)))
