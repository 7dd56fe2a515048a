"""Shares of backend servers' slots among the balancers of a pool."""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, TypeAlias

from currantshore.internal.hashing import ranked, stable_hash
from currantshore.internal.snapshot import BackendServer

# The balancer that loses a slot learns of it by the next heartbeats, which
# come every 0.5 s; until then both would use it and the server would shed.
GAIN_DELAY_S: Final = 0.75

# Slots above its demand that a balancer gets before others get more than the
# fair share, so that a burst does not wait for gossip.
_HEADROOM: Final = 1

_HASH_RANGE: Final = float(2**64)

_SlotKey: TypeAlias = tuple[str, int]


def fair_quotas(
    demands: Mapping[str, int],
    slot_count: int,
    scope: str = '',
) -> dict[str, int]:
    """Divide ``slot_count`` slots by max-min fairness of demand.

    Nobody gets less than the equal share while it has demand for it, so a
    flood at one balancer takes only what the others do not need. Slots that
    nobody needs are divided equally. ``scope`` decides who gets the rest of a
    division, so that it is not the same balancer for every service.
    """
    quotas = dict.fromkeys(demands, 0)
    order = ranked(demands, 'quota', scope)
    needs = {host: demands[host] + _HEADROOM for host in order}
    left = _fill(quotas, order, needs, slot_count)
    _fill(quotas, order, dict.fromkeys(order, slot_count), left)
    return quotas


def _fill(
    quotas: dict[str, int],
    order: Sequence[str],
    needs: Mapping[str, int],
    left: int,
) -> int:
    while left:
        hungry = [name for name in order if quotas[name] < needs[name]]
        if not hungry:
            break
        step = max(1, left // len(hungry))
        for host in hungry:
            grant = min(step, needs[host] - quotas[host], left)
            quotas[host] += grant
            left -= grant
    return left


class SlotShares:
    """Gives each slot to one balancer.

    Every balancer computes the same shares from the same demands, without
    messages: quotas by ``fair_quotas``, then each slot goes to the balancer
    with the highest rendezvous weight whose quota is not used up. A slot that
    was gained counts only after ``GAIN_DELAY_S``.
    """

    __slots__ = (
        '_host_id',
        '_hosts',
        '_orders',
        '_owned',
        '_pending_s',
        '_shares',
    )

    def __init__(self, host_id: str) -> None:
        """Compute the shares of balancer ``host_id``."""
        self._host_id = host_id
        self._hosts: tuple[str, ...] = ()
        self._orders: dict[_SlotKey, list[str]] = {}
        self._owned: dict[_SlotKey, float] = {}
        self._pending_s = math.inf
        self._shares: Mapping[str, int] = {}

    def share(self, backend_id: str, now_s: float) -> int:
        """Return the slots of ``backend_id`` that may be used now."""
        if now_s >= self._pending_s:
            self._count(now_s)
        return self._shares.get(backend_id, 0)

    def update(
        self,
        backends: Sequence[BackendServer],
        demands: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Share the slots of ``backends`` by the hosts' ``demands``."""
        slots = _slot_keys(backends)
        scope = backends[0].backend_id if backends else ''
        quotas = fair_quotas(demands, len(slots), scope)
        hosts = tuple(sorted(demands))
        owned = []
        for slot in slots:
            order = self._order(slot, hosts)
            winner = next(host for host in order if quotas[host])
            quotas[winner] -= 1
            if winner == self._host_id:
                owned.append(slot)
        self._keep(owned, now_s, is_alone=len(hosts) == 1)

    def update_weighted(
        self,
        backends: Sequence[BackendServer],
        demands: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Share by weighted rendezvous alone, a baseline in measurements.

        The winner of a slot has the smallest ``-ln(u) / weight``, where ``u``
        is a hash of slot and balancer in (0, 1) (Schindelhauer and
        Schomaker, "Weighted distributed hash tables", 2005).
        """
        owned = []
        for slot in _slot_keys(backends):
            costs = [
                (_weighted_cost(slot, host_id, demand), host_id)
                for host_id, demand in demands.items()
            ]
            if min(costs)[1] == self._host_id:
                owned.append(slot)
        self._keep(owned, now_s, is_alone=True)

    def update_equally(
        self,
        backends: Sequence[BackendServer],
        hosts: Iterable[str],
        now_s: float,
    ) -> None:
        """Deal the slots out in turn, a baseline in measurements."""
        turns = itertools.cycle(sorted(hosts))
        owned = [
            slot
            for slot, host in zip(_slot_keys(backends), turns, strict=False)
            if host == self._host_id
        ]
        self._keep(owned, now_s, is_alone=True)

    def _order(self, slot: _SlotKey, hosts: tuple[str, ...]) -> list[str]:
        if hosts != self._hosts:
            self._hosts = hosts
            self._orders.clear()
        order = self._orders.get(slot)
        if order is None:
            order = ranked(hosts, 'slot', *slot)
            self._orders[slot] = order
        return order

    def _keep(
        self,
        owned: Iterable[_SlotKey],
        now_s: float,
        *,
        is_alone: bool,
    ) -> None:
        usable_s = now_s if is_alone else now_s + GAIN_DELAY_S
        self._owned = {slot: self._owned.get(slot, usable_s) for slot in owned}
        self._count(now_s)

    def _count(self, now_s: float) -> None:
        self._shares = Counter(
            backend_id
            for (backend_id, _), usable_s in self._owned.items()
            if usable_s <= now_s
        )
        self._pending_s = min(
            (usable_s for usable_s in self._owned.values() if usable_s > now_s),
            default=math.inf,
        )


def _slot_keys(backends: Sequence[BackendServer]) -> list[_SlotKey]:
    return [
        (backend.backend_id, slot)
        for backend in backends
        for slot in range(backend.slot_count)
    ]


def _weighted_cost(slot: _SlotKey, host_id: str, demand: int) -> float:
    hashed = stable_hash('slot', *slot, host_id)
    cost = -math.log((hashed + 0.5) / _HASH_RANGE)
    return cost / (1 + demand)
