"""Which backend server gets a new flow.

The load that this answers: bursts of new flows on a few servers of several
slots each, seen by hosts that each know only a part of the requests in
progress. A host adds the requests of its own flows that have no answer yet
and, for the other open flows, the share that it has seen at work. It sends to
the server with the least of these for each slot ("join the shortest queue",
with cost for a zone that is not its own).
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

# Crossing zones costs about two delays of the link, a tenth of the work of a
# request, and its bytes; a zone is left for a server with this much less work
# for each slot.
_CROSSING_LOAD: Final = 0.75

# An upload or download of 80 kB across zones costs Lakeshore nearly what the
# answer is worth: it leaves its zone only when there is no server in it.
_BULK_CROSSING_LOAD: Final = 1000.0

# Servers that answer late or not at all come after all others.
_SUSPECT_LOAD: Final = 10_000.0

_LAPSED_LOAD: Final = 100_000.0


# Servers compared for one flow, of this zone and of others: the best of 16 is
# within a few percent of the best of hundreds, at a cost that stays flat.
_MAX_NEAR: Final = 16
_MAX_FAR: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LoadCosts:
    """What counts against a server besides its requests for each slot.

    ``slow_weight`` is a factor, ``lapse_grace_s`` is how long a server may get
    new flows after its entry has lapsed; the rest are requests for each slot.
    """

    crossing_load: float = _CROSSING_LOAD
    bulk_crossing_load: float = _BULK_CROSSING_LOAD
    suspect_load: float = _SUSPECT_LOAD
    lapse_grace_s: float = LAPSE_GRACE_S
    slow_weight: float = 1

    @classmethod
    def from_config(cls, switched_off: SwitchedOff) -> Self:
        """Build the costs that are left."""
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
        """Return how many times as long as others the server takes."""
        return 1 + (slowness(backend, now_s) - 1) * self.slow_weight


class Chooser(Protocol):
    """Chooses the server of a new flow."""

    def choose(
        self,
        near: Sequence[Backend],
        far: Sequence[Backend],
        kind: RequestKind,
        tried: Collection[Backend],
        now_s: float,
    ) -> Backend | None:
        """Return a server that was not ``tried``; None where there is none."""


def build_chooser(
    zone: str,
    rng: random.Random,
    busy_shares: FlowShares,
    switched_off: SwitchedOff = NOTHING_OFF,
) -> Chooser:
    """Build the chooser of a host of ``zone``."""
    costs = LoadCosts.from_config(switched_off)
    if Mechanism.LOAD_PLACEMENT in switched_off:
        return RandomChooser(rng, costs)
    return BackendChooser(zone, rng, busy_shares, costs)


class RandomChooser:
    """Chooses at random; the baseline of placement by load."""

    __slots__ = ('_costs', '_rng')

    def __init__(self, rng: random.Random, costs: LoadCosts) -> None:
        """Draw from ``rng``."""
        self._rng = rng
        self._costs = costs

    def choose(
        self,
        near: Sequence[Backend],
        far: Sequence[Backend],
        kind: RequestKind,
        tried: Collection[Backend],
        now_s: float,
    ) -> Backend | None:
        """Return any server that may get a new flow and was not ``tried``."""
        usable = [
            one
            for one in (*near, *far)
            if one not in tried and _may_open(one, self._costs, now_s)
        ]
        return self._rng.choice(usable) if usable else None


class BackendChooser:
    """Chooses by load; ties are broken at random."""

    __slots__ = ('_busy_shares', '_costs', '_rng', '_zone')

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        busy_shares: FlowShares,
        costs: LoadCosts,
    ) -> None:
        """Choose for a host of ``zone``, by what its flows have shown."""
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
        """Return the best server that was not ``tried``.

        ``near`` and ``far`` are the servers of this zone and of others; of
        many, a random part is compared. A draining server is never chosen; one
        that lapsed is chosen within its grace, when there is no other.
        """
        compared = self._sample(near, _MAX_NEAR, tried, now_s)
        compared += self._sample(far, _MAX_FAR, tried, now_s)
        best: Backend | None = None
        best_load = 0.0
        for backend in compared:
            load = self._load(backend, kind, now_s)
            # Two equal loads must not send every host to the same server.
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
        # Drawn before they are looked at, so that the cost does not grow; a
        # few more than are compared, since some may not get new flows.
        drawn = candidates
        if len(candidates) > 2 * count:
            drawn = self._rng.sample(candidates, 2 * count)
        usable = [
            one
            for one in drawn
            if one not in tried and _may_open(one, self._costs, now_s)
        ]
        if len(usable) > count:
            return self._rng.sample(usable, count)
        return usable

    def _load(self, backend: Backend, kind: RequestKind, now_s: float) -> float:
        entry = backend.entry
        costs = self._costs
        asked = len(backend.asked)
        quiet_flows = max(backend.flow_count - asked, 0)
        share = self._busy_shares.share(entry.service_id)
        requests = asked + len(backend.openings) + quiet_flows * share
        load = requests / entry.slots
        slow = costs.slowness(backend, now_s)
        if slow > 1:
            load = (load + 1 / entry.slots) * slow
        if entry.zone != self._zone:
            load += _crossing_load(costs, kind)
        if now_s < backend.suspect_until_s or backend.is_replaced:
            load += costs.suspect_load
        if backend.standing is Standing.LAPSED:
            load += _LAPSED_LOAD
        return load


def _crossing_load(costs: LoadCosts, kind: RequestKind) -> float:
    return costs.bulk_crossing_load if kind.is_bulk else costs.crossing_load


def _may_open(backend: Backend, costs: LoadCosts, now_s: float) -> bool:
    match backend.standing:
        case Standing.READY:
            return True
        case Standing.LAPSED:
            return now_s - backend.lapsed_s < costs.lapse_grace_s
        case Standing.DRAINING:
            return False
