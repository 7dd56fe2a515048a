"""Draws the faults of a soak from a seed."""

import dataclasses
import random
from collections.abc import Callable, Iterator, Sequence
from typing import Final, TypeAlias

from soak.proxies import Impairment


@dataclasses.dataclass(frozen=True, slots=True)
class HostFault:
    """A signal to entry processes; ``kind`` selects the signal and recovery."""

    kind: str
    hosts: tuple[int, ...]
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """An impairment of the traffic between hosts and the store."""

    impairment: Impairment
    hosts: tuple[int, ...]
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SilencedConnections:
    """Open connections to the store go silent for good; new ones work."""

    hosts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LostHistory:
    """The store discards its history of changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class RestoredStore:
    """The store is away and comes back from a copy that is ``age_s`` old.

    Its writers write again what was lost after ``rewrite_s``. If ``away_s`` is
    0, no connection is cut.
    """

    age_s: float
    away_s: float
    rewrite_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BackendFault:
    """A backend server goes silent, loses packets, or answers late."""

    kind: str
    backend: int
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A backend server drains and is ready again after ``for_s``."""

    backend: int
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedRoutes:
    """A new configuration that adds a route, or removes the added one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A zone is evacuated and returns after ``for_s``."""

    zone: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStart:
    """A backend server starts again and is cold for some seconds."""

    backend: int


Fault: TypeAlias = (
    HostFault
    | StoreFault
    | SilencedConnections
    | LostHistory
    | RestoredStore
    | BackendFault
    | Drain
    | ChangedRoutes
    | Evacuation
    | ColdStart
)

_HOST_KINDS: Final = ('terminate', 'kill', 'freeze', 'hang_up')
_BACKEND_KINDS: Final = ('silent', 'lossy', 'slow')
_IMPAIRMENTS: Final = tuple(
    impairment for impairment in Impairment if impairment is not Impairment.NONE
)


# Cold starts among the faults of zones; the others are evacuations.
_COLD_START_RATIO: Final = 0.5

# Seconds between two restores of the store.
_RESTORE_GAPS_S: Final = (2.5, 5.0, 9.0)
_CUT_RATIO: Final = 0.8

# Seconds between two faults of zones, which last longer than others.
_ZONE_FAULT_GAPS_S: Final = (1.0, 2.5, 4.0)


class FaultSource:
    """Draws faults; the same seed gives the same faults."""

    def __init__(
        self,
        seed: int,
        host_count: int,
        backend_count: int,
        zones: Sequence[str] = (),
    ) -> None:
        """Draw faults for the given hosts, backend servers and zones."""
        self._rng = random.Random(seed)
        # Faults of zones and restores are drawn apart, so that a seed of an
        # earlier release still gives the other faults that it gave then.
        self._zone_rng = random.Random(f'zones {seed}')
        self._restore_rng = random.Random(f'restores {seed}')
        self._zones = zones
        self._host_count = host_count
        self._backend_count = backend_count
        self._fault_factories: tuple[Callable[[], Fault], ...] = (
            self._host_fault,
            self._host_fault,
            self._store_fault,
            self._silenced_connections,
            LostHistory,
            self._backend_fault,
            self._drain,
            self._drain,
            ChangedRoutes,
            ChangedRoutes,
        )

    def schedule(self, length_s: float) -> list[tuple[float, Fault]]:
        """Return (second, fault) pairs in order; several may share a time."""
        scheduled: list[tuple[float, Fault]] = []
        at_s = 0.5
        while at_s < length_s:
            scheduled.append((at_s, self._rng.choice(self._fault_factories)()))
            gap_s = self._rng.choice((0, 0.2, 0.7, 1.5))
            at_s += gap_s
        scheduled += self._zone_faults(length_s)
        scheduled += self._restores(length_s)
        return sorted(scheduled, key=lambda item: item[0])

    def _zone_faults(self, length_s: float) -> Iterator[tuple[float, Fault]]:
        rng = self._zone_rng
        at_s = rng.choice(_ZONE_FAULT_GAPS_S)
        while self._zones and at_s < length_s:
            if rng.random() < _COLD_START_RATIO:
                yield at_s, ColdStart(rng.randrange(self._backend_count))
            else:
                zone = rng.choice(self._zones)
                yield at_s, Evacuation(zone, rng.uniform(0.2, 6))
            at_s += rng.choice(_ZONE_FAULT_GAPS_S)

    def _restores(self, length_s: float) -> Iterator[tuple[float, Fault]]:
        rng = self._restore_rng
        at_s = rng.choice(_RESTORE_GAPS_S)
        while at_s < length_s:
            is_cut = rng.random() < _CUT_RATIO
            away_s = rng.uniform(0.1, 2) if is_cut else 0
            age_s = rng.uniform(0.3, 6)
            yield at_s, RestoredStore(age_s, away_s, rng.uniform(0, 1.5))
            at_s += rng.choice(_RESTORE_GAPS_S)

    def _host_fault(self) -> Fault:
        kind = self._rng.choice(_HOST_KINDS)
        return HostFault(kind, self._choose_hosts(), self._rng.uniform(0.2, 3))

    def _store_fault(self) -> Fault:
        impairment = self._rng.choice(_IMPAIRMENTS)
        return StoreFault(
            impairment, self._choose_hosts(), self._rng.uniform(0.5, 4)
        )

    def _silenced_connections(self) -> Fault:
        return SilencedConnections(self._choose_hosts())

    def _backend_fault(self) -> Fault:
        kind = self._rng.choice(_BACKEND_KINDS)
        backend = self._rng.randrange(self._backend_count)
        return BackendFault(kind, backend, self._rng.uniform(0.3, 2.5))

    def _drain(self) -> Fault:
        backend = self._rng.randrange(self._backend_count)
        return Drain(backend, self._rng.uniform(3.2, 5))

    def _choose_hosts(self) -> tuple[int, ...]:
        count = self._rng.choice((1, 1, 2, self._host_count))
        host_indices = range(self._host_count)
        return tuple(sorted(self._rng.sample(host_indices, count)))
