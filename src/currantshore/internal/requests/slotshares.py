"""Divides the slots of backend servers among the balancers of a pool."""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, TypeAlias

from currantshore.internal.hashing import ranked, stable_hash
from currantshore.internal.snapshot import BackendServer

# A balancer that loses a slot is informed by the next heartbeats with demands,
# sent within 0.5 s after a large change. Without the delay both balancers
# would use the slot until then, and the backend server would shed runs.
GAIN_DELAY_S: Final = 0.75

# Each balancer is assigned this many slots above its demand before any gets
# more than the fair share, so that a burst does not wait for gossip.
_HEADROOM_SLOTS: Final = 1

_HASH_RANGE: Final = float(2**64)

_SlotKey: TypeAlias = tuple[str, int]


def fair_quotas(
    demands: Mapping[str, int],
    slot_count: int,
    scope: str = '',
) -> dict[str, int]:
    """Divide ``slot_count`` slots by max-min fairness of demand.

    Each balancer gets at least the equal share if it has demand for it, so a
    flood at one balancer uses only slots that the others do not need. Slots
    without demand are divided equally. ``scope`` selects who gets the
    remainder of a division, so that it is not the same balancer for every
    service.
    """
    quotas = dict.fromkeys(demands, 0)
    order = ranked(demands, 'quota', scope)
    needs = {host: demands[host] + _HEADROOM_SLOTS for host in order}
    remaining = _fill(quotas, order, needs, slot_count)
    _fill(quotas, order, dict.fromkeys(order, slot_count), remaining)
    return quotas


def _fill(
    quotas: dict[str, int],
    order: Sequence[str],
    needs: Mapping[str, int],
    remaining: int,
) -> int:
    while remaining:
        unsatisfied = [name for name in order if quotas[name] < needs[name]]
        if not unsatisfied:
            break
        step = max(1, remaining // len(unsatisfied))
        for host in unsatisfied:
            grant = min(step, needs[host] - quotas[host], remaining)
            quotas[host] += grant
            remaining -= grant
    return remaining


class SlotShares:
    """Assigns each slot to one balancer.

    Balancers with the same demands compute the same shares, without further
    messages. ``fair_quotas`` sets the quotas; then each slot is assigned to
    the balancer with the highest rendezvous weight among those with quota
    left. A newly assigned slot is usable after ``GAIN_DELAY_S``, or at once
    for a single balancer and in the baselines.
    """

    __slots__ = (
        '_host_id',
        '_hosts',
        '_next_usable_s',
        '_orders',
        '_owned',
        '_shares',
    )

    def __init__(self, host_id: str) -> None:
        """Initialize for the shares of balancer ``host_id``."""
        self._host_id = host_id
        self._hosts: tuple[str, ...] = ()
        self._orders: dict[_SlotKey, list[str]] = {}
        self._owned: dict[_SlotKey, float] = {}
        self._next_usable_s = math.inf
        self._shares: Mapping[str, int] = {}

    def share(self, backend_id: str, now_s: float) -> int:
        """Return the number of usable slots of ``backend_id``."""
        if now_s >= self._next_usable_s:
            self._count_usable(now_s)
        return self._shares.get(backend_id, 0)

    def update(
        self,
        backends: Sequence[BackendServer],
        demands: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Divide the slots of ``backends`` by ``demands`` of the hosts."""
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
        self._set_owned(owned, now_s, is_immediate=len(hosts) == 1)

    def update_weighted(
        self,
        backends: Sequence[BackendServer],
        demands: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Divide by weighted rendezvous only, a baseline for measurements.

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
        self._set_owned(owned, now_s, is_immediate=True)

    def update_equally(
        self,
        backends: Sequence[BackendServer],
        hosts: Iterable[str],
        now_s: float,
    ) -> None:
        """Assign the slots round robin, a baseline for measurements."""
        turns = itertools.cycle(sorted(hosts))
        owned = [
            slot
            for slot, host in zip(_slot_keys(backends), turns, strict=False)
            if host == self._host_id
        ]
        self._set_owned(owned, now_s, is_immediate=True)

    def _order(self, slot: _SlotKey, hosts: tuple[str, ...]) -> list[str]:
        if hosts != self._hosts:
            self._hosts = hosts
            self._orders.clear()
        order = self._orders.get(slot)
        if order is None:
            order = ranked(hosts, 'slot', *slot)
            self._orders[slot] = order
        return order

    def _set_owned(
        self,
        owned: Iterable[_SlotKey],
        now_s: float,
        *,
        is_immediate: bool,
    ) -> None:
        usable_s = now_s if is_immediate else now_s + GAIN_DELAY_S
        self._owned = {slot: self._owned.get(slot, usable_s) for slot in owned}
        self._count_usable(now_s)

    def _count_usable(self, now_s: float) -> None:
        self._shares = Counter(
            backend_id
            for (backend_id, _), usable_s in self._owned.items()
            if usable_s <= now_s
        )
        self._next_usable_s = min(
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
