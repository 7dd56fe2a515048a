"""The hosts that this host knows, and those that it talks to."""

import random
from collections.abc import Iterable
from typing import Final

from currantshore.internal.mirror.messages import Neighbour

# Hosts kept; gossip needs a random part of a zone, not all of it.
_MAX_NEIGHBOURS: Final = 128

# A host that is silent for this long is talked to only now and then: as long
# as the longest cut of the platform's days.
_FORGET_AFTER_S: Final = 60.0


class Neighbours:
    """Known hosts by IP number, with the time when they were last heard."""

    __slots__ = ('_heard_s', '_known', '_own_host', '_rng')

    def __init__(self, own_host: str, rng: random.Random) -> None:
        """Start with no host but this one."""
        self._own_host = own_host
        self._rng = rng
        self._heard_s: dict[str, float] = {}
        self._known: dict[str, Neighbour] = {}

    def __len__(self) -> int:
        return len(self._heard_s)

    def __contains__(self, host: str) -> bool:
        return host in self._heard_s

    def hear(self, neighbour: Neighbour, now_s: float) -> None:
        """Note a message of ``neighbour``."""
        if neighbour.host != self._own_host:
            self._known[neighbour.host] = neighbour
            self._heard_s[neighbour.host] = now_s
            self._limit()

    def learn(self, neighbours: Iterable[Neighbour], now_s: float) -> None:
        """Note hosts that another one told of."""
        for neighbour in neighbours:
            if neighbour.host not in self._heard_s:
                self.hear(neighbour, now_s)

    def drop(self, host: str) -> None:
        """Forget a host that leaves."""
        self._heard_s.pop(host, None)
        self._known.pop(host, None)

    def forget_silent(self, now_s: float) -> None:
        """Forget hosts that have been silent for long."""
        for host, heard_s in tuple(self._heard_s.items()):
            if now_s - heard_s > _FORGET_AFTER_S:
                self.drop(host)

    def of_zone(self, zone: str) -> list[Neighbour]:
        """Return the known hosts of a zone."""
        return [one for one in self._known.values() if one.zone == zone]

    def pick(self, zone: str, near: int, far: int) -> list[str]:
        """Return up to ``near`` hosts of ``zone`` and ``far`` of others."""
        inside = self.of_zone(zone)
        outside = [one for one in self._known.values() if one.zone != zone]
        picked = self._sample(inside, near)
        picked += self._sample(outside, far)
        return [neighbour.host for neighbour in picked]

    def sample(self, count: int) -> tuple[Neighbour, ...]:
        """Return up to ``count`` hosts to tell others of."""
        return tuple(self._sample(list(self._known.values()), count))

    def _sample(
        self, neighbours: list[Neighbour], count: int
    ) -> list[Neighbour]:
        if len(neighbours) <= count:
            return neighbours
        return self._rng.sample(neighbours, count)

    def _limit(self) -> None:
        if len(self._heard_s) > _MAX_NEIGHBOURS:
            self.drop(self._rng.choice(list(self._heard_s)))
