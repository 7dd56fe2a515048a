"""Ranks the owners of flows: the balancers that decide about unknown flows.

Flows are grouped by the low bits of their key into partitions, and the live
balancers are ranked for each partition by rendezvous weight. The first two are
the first and second owner.
"""

from collections.abc import Iterable
from typing import Final

import numpy as np

from currantshore.internal.flows.placement import (
    Mask,
    Numbers,
    rendezvous_weights,
)

# Spreads the exceptions of one backend server over 64 hosts evenly enough and
# keeps the ranking of a pool under 1 MB. Must be a power of two.
PARTITION_COUNT: Final = 1024

_PARTITION_MASK: Final = PARTITION_COUNT - 1


class Owners:
    """Ranks the owners of each partition."""

    __slots__ = ('_order', 'hosts')

    def __init__(self, hosts: Iterable[str]) -> None:
        """Initialize the ranking of ``hosts``; their order does not matter."""
        self.hosts = tuple(sorted(hosts))
        partitions = np.arange(PARTITION_COUNT, dtype=np.uint64)
        weights = [
            rendezvous_weights(f'owner|{host}', partitions)
            for host in self.hosts
        ]
        self._order = np.zeros((0, PARTITION_COUNT), np.int64)
        if weights:
            ascending = np.argsort(np.array(weights), axis=0)
            self._order = np.flip(ascending, axis=0)

    def ranked(self, flow_key: int) -> list[str]:
        """Return all hosts by ownership rank, first owner first."""
        column = self._order.T[flow_key & _PARTITION_MASK]
        return [self.hosts[index] for index in column]

    def first(self, flow_key: int) -> str | None:
        """Return the first owner of a flow, if there is a live balancer."""
        if not self.hosts:
            return None
        index = int(self._order[0, flow_key & _PARTITION_MASK])
        return self.hosts[index]

    def owned_by(self, host: str, rank: int, keys: Numbers) -> Mask:
        """Return for each key whether ``host`` is its owner of this rank."""
        if rank >= len(self.hosts) or host not in self.hosts:
            return np.zeros(len(keys), np.bool_)
        partitions = (keys & np.uint64(_PARTITION_MASK)).astype(np.int64)
        index = self.hosts.index(host)
        mask: Mask = np.equal(self._order[rank][partitions], index)
        return mask

    def is_first_owner(self, host: str, keys: Numbers) -> Mask:
        """Return for each key whether ``host`` is its first owner."""
        return self.owned_by(host, 0, keys)

    def is_owner(self, host: str, keys: Numbers) -> Mask:
        """Return for each key whether ``host`` is its first or second owner."""
        first = self.owned_by(host, 0, keys)
        return np.logical_or(first, self.owned_by(host, 1, keys))
