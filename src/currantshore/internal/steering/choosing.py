"""Chooses the backend server of a new flow.

This is meant for bursts of new flows on a few backends of several slots each,
where each host observes only a part of the requests in progress. The load of a
backend is the number of its unanswered requests on this host's flows, plus, for
the other open flows, the share that usually has a request in progress. A host
chooses the backend with the lowest load per slot ("join the shortest queue"),
with a cost for backends in other zones.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence
from typing import Final, Protocol, Self

from currantshore.internal.steering.busyshares import FlowShares
from currantshore.internal.steering.catalog import RequestKind
from currantshore.internal.steering.directory import (
    LAPSE_GRACE_S,
    Backend,
    Standing,
)
from currantshore.internal.steering.mechanisms import (
    NOTHING_OFF,
    Mechanism,
    SwitchedOff,
)
from currantshore.internal.steering.slowness import slowness
from currantshore.internal.steering.warmup import WarmupLimiter

# Added to the load per slot of backends in other zones, so that one of them is
# chosen only if its load is lower by more than this. A request to another zone
# takes about two link delays longer, which is a tenth of its processing time,
# and its bytes have a cost.
_CROSSING_LOAD: Final = 0.75

# The traffic of an upload or download of 80 kB across zones can cost nearly as
# much as the answer is worth. Such a request goes to another zone only if this
# host's zone has no backend.
_BULK_CROSSING_LOAD: Final = 1000.0

# Backends that are silent or whose address belongs to another backend are
# chosen only if there is no other, and lapsed ones after these.
_SUSPECT_LOAD: Final = 10_000.0

_LAPSED_LOAD: Final = 100_000.0


# Backends compared for one flow, of this zone and of others. The best of 16 is
# within a few percent of the best of hundreds, at a constant cost.
_MAX_NEAR: Final = 16
_MAX_FAR: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LoadCosts:
    """Costs of a backend that are added to its load.

    ``slow_weight`` is a factor of its slowness. ``lapse_grace_s`` is how long
    a backend may get new flows after its entry has lapsed. The others are in
    requests per slot.
    """

    crossing_load: float = _CROSSING_LOAD
    bulk_crossing_load: float = _BULK_CROSSING_LOAD
    suspect_load: float = _SUSPECT_LOAD
    lapse_grace_s: float = LAPSE_GRACE_S
    slow_weight: float = 1

    @classmethod
    def from_config(cls, switched_off: SwitchedOff) -> Self:
        """Build the costs; those that are switched off are 0."""
        neutral: dict[str, float] = {}
        if Mechanism.ZONE_COSTS in switched_off:
            neutral.update(crossing_load=0, bulk_crossing_load=0)
        if Mechanism.SILENCE_COSTS in switched_off:
            neutral['suspect_load'] = 0
        if Mechanism.LAPSE_GRACE in switched_off:
            neutral['lapse_grace_s'] = 0
        if Mechanism.SLOW_COSTS in switched_off:
            neutral['slow_weight'] = 0
        return cls(**neutral)

    def slowness(self, backend: Backend, now_s: float) -> float:
        """Return the weighted slowness of ``backend``; 1 is as usual."""
        return 1 + (slowness(backend, now_s) - 1) * self.slow_weight


class Chooser(Protocol):
    """Chooses the backend of a new flow."""

    def choose(
        self,
        near: Sequence[Backend],
        far: Sequence[Backend],
        kind: RequestKind,
        tried: Collection[Backend],
        now_s: float,
    ) -> Backend | None:
        """Return a backend that was not ``tried``, or None."""


def build_chooser(
    zone: str,
    rng: random.Random,
    busy_shares: FlowShares,
    warmup: WarmupLimiter,
    switched_off: SwitchedOff = NOTHING_OFF,
) -> Chooser:
    """Build the chooser of a host in ``zone``."""
    costs = LoadCosts.from_config(switched_off)
    if Mechanism.LOAD_PLACEMENT in switched_off:
        return RandomChooser(rng, costs, warmup)
    return BackendChooser(zone, rng, busy_shares, costs, warmup)


class RandomChooser:
    """Chooses at random; the baseline for placement by load."""

    __slots__ = ('_costs', '_rng', '_warmup')

    def __init__(
        self, rng: random.Random, costs: LoadCosts, warmup: WarmupLimiter
    ) -> None:
        """Initialize a chooser that draws from ``rng``."""
        self._rng = rng
        self._costs = costs
        self._warmup = warmup

    def choose(
        self,
        near: Sequence[Backend],
        far: Sequence[Backend],
        kind: RequestKind,
        tried: Collection[Backend],
        now_s: float,
    ) -> Backend | None:
        """Return any backend that may get new flows and was not ``tried``."""
        usable = [
            backend
            for backend in (*near, *far)
            if backend not in tried
            and _may_open(backend, self._costs, self._warmup, now_s)
        ]
        return self._rng.choice(usable) if usable else None


class BackendChooser:
    """Chooses the backend of the lowest load; ties are broken at random."""

    __slots__ = ('_busy_shares', '_costs', '_rng', '_warmup', '_zone')

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        busy_shares: FlowShares,
        costs: LoadCosts,
        warmup: WarmupLimiter,
    ) -> None:
        """Initialize a chooser for a host in ``zone``.

        ``busy_shares`` gives the weight of open flows without a known request,
        and ``warmup`` limits the flows of cold backends.
        """
        self._warmup = warmup
        self._busy_shares = busy_shares
        self._costs = costs
        self._zone = zone
        self._rng = rng

    def choose(
        self,
        near: Sequence[Backend],
        far: Sequence[Backend],
        kind: RequestKind,
        tried: Collection[Backend],
        now_s: float,
    ) -> Backend | None:
        """Return the backend of the lowest load that was not ``tried``.

        ``near`` and ``far`` are the backends of this zone and of others; if
        there are many, a random sample is compared. A draining backend is
        never chosen. A lapsed one is chosen within its grace period if there
        is no other.
        """
        compared = self._sample(near, _MAX_NEAR, tried, now_s)
        compared += self._sample(far, _MAX_FAR, tried, now_s)
        best: Backend | None = None
        best_load = 0.0
        for backend in compared:
            load = self._load(backend, kind, now_s)
            # Without this, equal loads would lead every host to choose the
            # same backend.
            load += self._rng.random() * 0.01
            if best is None or load < best_load:
                best = backend
                best_load = load
        return best

    def _sample(
        self,
        candidates: Sequence[Backend],
        count: int,
        tried: Collection[Backend],
        now_s: float,
    ) -> list[Backend]:
        # Drawn before the filter, so that the cost does not grow with the
        # number of candidates; twice as many as needed, since some of them may
        # not get new flows.
        sample = candidates
        if len(candidates) > 2 * count:
            sample = self._rng.sample(candidates, 2 * count)
        usable = [
            backend
            for backend in sample
            if backend not in tried
            and _may_open(backend, self._costs, self._warmup, now_s)
        ]
        if len(usable) > count:
            return self._rng.sample(usable, count)
        return usable

    def _load(self, backend: Backend, kind: RequestKind, now_s: float) -> float:
        entry = backend.entry
        costs = self._costs
        pending = len(backend.pending_requests)
        other_flows = max(backend.flow_count - pending, 0)
        busy_share = self._busy_shares.share(entry.service_id)
        requests = (
            pending + len(backend.pending_openings) + other_flows * busy_share
        )
        load = requests / entry.slots
        backend_slowness = costs.slowness(backend, now_s)
        if backend_slowness > 1:
            load = (load + 1 / entry.slots) * backend_slowness
        if entry.zone != self._zone:
            load += _crossing_load(costs, kind)
        if now_s < backend.suspect_until_s or backend.is_replaced:
            load += costs.suspect_load
        if backend.standing is Standing.LAPSED:
            load += _LAPSED_LOAD
        return load


def _crossing_load(costs: LoadCosts, kind: RequestKind) -> float:
    return costs.bulk_crossing_load if kind.is_bulk else costs.crossing_load


def _may_open(
    backend: Backend,
    costs: LoadCosts,
    warmup: WarmupLimiter,
    now_s: float,
) -> bool:
    match backend.standing:
        case Standing.READY:
            may_open = now_s >= backend.draining_until_s
        case Standing.LAPSED:
            may_open = now_s - backend.lapsed_s < costs.lapse_grace_s
        case Standing.DRAINING:
            may_open = False
    return may_open and warmup.may_open(backend, now_s)
