"""Faults of a soak, drawn from a seed."""

import dataclasses
import random
from collections.abc import Callable
from typing import Final, TypeAlias

from soak.proxies import Harm


@dataclasses.dataclass(frozen=True, slots=True)
class HostFault:
    """A signal to entry processes; ``kind`` says which and what follows."""

    kind: str
    hosts: tuple[int, ...]
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """Harm to what passes between hosts and the store."""

    harm: Harm
    hosts: tuple[int, ...]
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SilencedConnections:
    """Open connections to the store go silent for good; new ones work."""

    hosts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LostHistory:
    """The store forgets its history."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendFault:
    """A backend server falls silent, loses packets, or answers late."""

    kind: str
    backend: int
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A backend server drains, and comes back later."""

    backend: int
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedRoutes:
    """A new configuration: a route is added, or the one added is removed."""


Fault: TypeAlias = (
    HostFault
    | StoreFault
    | SilencedConnections
    | LostHistory
    | BackendFault
    | Drain
    | ChangedRoutes
)

_HOST_KINDS: Final = ('terminate', 'kill', 'freeze', 'hang_up')
_BACKEND_KINDS: Final = ('silent', 'lossy', 'slow')
_HARMS: Final = tuple(harm for harm in Harm if harm is not Harm.NONE)


class FaultSource:
    """Draws faults; the same seed draws the same ones."""

    def __init__(self, seed: int, host_count: int, backend_count: int) -> None:
        """Draw for so many hosts and backend servers."""
        self._rng = random.Random(seed)
        self._host_count = host_count
        self._backend_count = backend_count
        self._draws: tuple[Callable[[], Fault], ...] = (
            self._host_fault,
            self._host_fault,
            self._store_fault,
            self._silenced,
            LostHistory,
            self._backend_fault,
            self._drain,
            self._drain,
            ChangedRoutes,
            ChangedRoutes,
        )

    def schedule(self, length_s: float) -> list[tuple[float, Fault]]:
        """Return (second, fault) in order; some come at the same moment."""
        found: list[tuple[float, Fault]] = []
        at_s = 0.5
        while at_s < length_s:
            found.append((at_s, self._rng.choice(self._draws)()))
            pause_s = self._rng.choice((0, 0.2, 0.7, 1.5))
            at_s += pause_s
        return found

    def _host_fault(self) -> Fault:
        kind = self._rng.choice(_HOST_KINDS)
        return HostFault(kind, self._hosts(), self._rng.uniform(0.2, 3))

    def _store_fault(self) -> Fault:
        harm = self._rng.choice(_HARMS)
        return StoreFault(harm, self._hosts(), self._rng.uniform(0.5, 4))

    def _silenced(self) -> Fault:
        return SilencedConnections(self._hosts())

    def _backend_fault(self) -> Fault:
        kind = self._rng.choice(_BACKEND_KINDS)
        backend = self._rng.randrange(self._backend_count)
        return BackendFault(kind, backend, self._rng.uniform(0.3, 2.5))

    def _drain(self) -> Fault:
        backend = self._rng.randrange(self._backend_count)
        return Drain(backend, self._rng.uniform(3.2, 5))

    def _hosts(self) -> tuple[int, ...]:
        most = self._rng.choice((1, 1, 2, self._host_count))
        numbers = range(self._host_count)
        return tuple(sorted(self._rng.sample(numbers, most)))
