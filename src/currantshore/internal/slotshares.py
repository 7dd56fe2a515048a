"""Shares of backend servers' slots among the balancers of a pool."""

import itertools
import math
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final, TypeAlias

import numpy as np
from numpy.typing import NDArray

from currantshore.internal.hashing import stable_hash
from currantshore.internal.snapshot import BackendServer

_HASH_RANGE: Final = float(2**64)

_SlotKey: TypeAlias = tuple[str, int]


def demand_weight(demand: int, cap: int) -> float:
    """Return the weight of a balancer with ``demand`` requests.

    Demand above the number of slots (``cap``) gives no further weight: those
    requests wait anyway, and a flood at one balancer would otherwise take all
    slots. Weights are powers of two, so that small changes in demand move no
    slots, because moving a slot can cause a shed.
    """
    useful = min(max(demand, 0), max(cap, 1))
    return float(2 ** round(math.log2(1 + useful)))


class SlotShares:
    """Gives each slot to one balancer by weighted rendezvous hashing.

    Every balancer computes the same shares from the same demands, without
    messages. The winner of a slot is the balancer with the smallest
    ``-ln(u) / weight``, where ``u`` is a hash of slot and balancer in (0, 1)
    (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
    """

    __slots__ = ('_costs', '_host_id', '_hosts', '_shares', '_slots')

    def __init__(self, host_id: str) -> None:
        """Compute the shares of balancer ``host_id``."""
        self._host_id = host_id
        self._hosts: tuple[str, ...] = ()
        self._slots: tuple[_SlotKey, ...] = ()
        self._costs: NDArray[np.float64] = np.zeros((0, 0))
        self._shares: Mapping[str, int] = {}

    def share(self, backend_id: str) -> int:
        """Return the slots of ``backend_id`` that are this balancer's."""
        return self._shares.get(backend_id, 0)

    def update(
        self,
        backends: Sequence[BackendServer],
        demands: Mapping[str, int],
    ) -> None:
        """Share the slots of ``backends`` by the hosts' ``demands``."""
        self._prepare(backends, tuple(sorted(demands)))
        if not self._slots or not self._hosts:
            self._shares = {}
            return
        cap = len(self._slots)
        weights = np.array(
            [demand_weight(demands[host], cap) for host in self._hosts],
        )
        winners = np.argmin(self._costs / weights, axis=1)
        self._keep([self._hosts[index] for index in winners])

    def update_equally(
        self,
        backends: Sequence[BackendServer],
        hosts: Sequence[str],
    ) -> None:
        """Deal the slots out in turn, whatever the demand."""
        self._slots = _slot_keys(backends)
        ordered = sorted(hosts)
        turns = itertools.cycle(ordered)
        self._keep([next(turns) for _ in self._slots])

    def _keep(self, winners: Sequence[str]) -> None:
        self._shares = Counter(
            backend_id
            for (backend_id, _), winner in zip(
                self._slots,
                winners,
                strict=True,
            )
            if winner == self._host_id
        )

    def _prepare(
        self,
        backends: Sequence[BackendServer],
        hosts: tuple[str, ...],
    ) -> None:
        slots = _slot_keys(backends)
        if (slots, hosts) == (self._slots, self._hosts):
            return
        self._slots = slots
        self._hosts = hosts
        self._costs = np.array(
            [[_cost(slot, host) for host in hosts] for slot in slots],
        )


def _slot_keys(backends: Sequence[BackendServer]) -> tuple[_SlotKey, ...]:
    return tuple(
        (backend.backend_id, slot)
        for backend in backends
        for slot in range(backend.slot_count)
    )


def _cost(slot: _SlotKey, host_id: str) -> float:
    hashed = stable_hash('slot', *slot, host_id)
    return -math.log((hashed + 0.5) / _HASH_RANGE)
