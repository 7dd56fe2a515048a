"""Assigns slot numbers to the backend servers of one service.

Slot numbers are local to a process and never reused, so an entry of the flow
table stays valid when backend servers come and go.
"""

from typing import Final

import msgspec

from currantshore.internal.flows.placement import NO_SLOT, PlacementTable
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    ServiceSnapshot,
)
from currantshore.internal.views import BackendHealth
from currantshore.wire import Endpoint

# Keeps the load finite for a backend server whose slow start has just begun.
_MIN_WEIGHT_RATIO: Final = 0.01


class BackendSlots:
    """Numbers the backend servers and tracks which of them can carry flows."""

    __slots__ = (
        '_addresses',
        '_health',
        '_names',
        '_numbers',
        '_servers',
        'accepting',
        'routes',
    )

    def __init__(self, health: BackendHealth) -> None:
        """Initialize without backend servers."""
        self._health = health
        self._addresses: dict[Endpoint, int] = {}
        self._names: list[str] = []
        self._numbers: dict[str, int] = {}
        self._servers: list[BackendServer | None] = []
        self.accepting: list[int] = []
        # Backend id and address by slot, for the packet path; None for a
        # backend server that is removed or not declared yet.
        self.routes: list[tuple[str, Endpoint] | None] = []

    def configure(self, service: ServiceSnapshot) -> None:
        """Apply the declared backend servers and their states."""
        declared = {server.backend_id for server in service.backend_servers}
        for backend_id, number in self._numbers.items():
            if backend_id not in declared:
                self._remove(number)
        for backend in service.backend_servers:
            self._store(backend)
        self.accepting = [
            self._numbers[server.backend_id]
            for server in service.active_backends()
        ]
        # The address of a removed server may be reused by another service.
        self._addresses = {
            server.endpoint: self._numbers[server.backend_id]
            for server in service.backend_servers
            if server.state is not BackendState.REMOVED
        }
        self.routes = [_route(server) for server in self._servers]

    def table(self, bucket_count: int) -> PlacementTable:
        """Build the bucket table of the backend servers that accept flows."""
        return PlacementTable.from_members(
            bucket_count,
            [(self.backend_id_of(slot), slot) for slot in self.accepting],
        )

    def slot_of(self, backend_id: str) -> int:
        """Return the slot of a backend server, or ``NO_SLOT``."""
        return self._numbers.get(backend_id, NO_SLOT)

    def reserve(self, backend_id: str) -> int:
        """Return a slot for a backend server that a peer has named.

        The backend server may be part of a newer configuration than the local
        one. Its slot has no address until that configuration arrives.
        """
        number = self._numbers.setdefault(backend_id, len(self._servers))
        if number == len(self._servers):
            self._servers.append(None)
            self.routes.append(None)
            self._names.append(backend_id)
        return number

    def backend_id_of(self, slot: int) -> str:
        """Return the backend id of a slot."""
        return self._names[slot]

    def endpoint(self, slot: int) -> Endpoint | None:
        """Return the address of a slot, if it is known."""
        server = self._servers[slot]
        return None if server is None else server.endpoint

    def has_endpoint(self, endpoint: Endpoint) -> bool:
        """Return whether a backend server of this service has this address."""
        return self.slot_at(endpoint) != NO_SLOT

    def slot_at(self, endpoint: Endpoint) -> int:
        """Return the slot of an address, or ``NO_SLOT``."""
        return self._addresses.get(endpoint, NO_SLOT)

    def is_usable(self, slot: int) -> bool:
        """Return whether packets may go to a slot."""
        if slot == NO_SLOT:
            return False
        route = self.routes[slot]
        return route is not None and self._health.is_usable(route[0])

    def is_undeclared(self, slot: int) -> bool:
        """Return whether only peers know this backend server so far."""
        return self._servers[slot] is None

    def weighted_load(self, slot: int, flow_count: int) -> float:
        """Return the load of a slot, scaled up during a slow start."""
        weight = self._health.weight_ratio(self.backend_id_of(slot))
        return (flow_count + 1) / max(weight, _MIN_WEIGHT_RATIO)

    def usable_accepting(self) -> list[int]:
        """Return the slots that new flows may go to."""
        return [slot for slot in self.accepting if self.is_usable(slot)]

    def _store(self, backend: BackendServer) -> None:
        self._servers[self.reserve(backend.backend_id)] = backend

    def _remove(self, number: int) -> None:
        server = self._servers[number]
        if server is not None:
            self._servers[number] = msgspec.structs.replace(
                server,
                state=BackendState.REMOVED,
            )


def _route(server: BackendServer | None) -> tuple[str, Endpoint] | None:
    if server is None or server.state is BackendState.REMOVED:
        return None
    return server.backend_id, server.endpoint
