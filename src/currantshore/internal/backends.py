"""The backend servers of one service, by slot number.

Slot numbers are local to a process and never reused, so an entry of the flow
table stays valid when backend servers come and go.
"""

from currantshore.internal.placement import NO_SLOT, PlacementTable
from currantshore.internal.snapshot import (
    BackendServer,
    BackendState,
    ServiceSnapshot,
)
from currantshore.internal.views import BackendHealth
from currantshore.wire import Endpoint


class BackendSlots:
    """Numbers backend servers and tells which of them can carry flows."""

    __slots__ = ('_health', '_numbers', '_servers', 'accepting')

    def __init__(self, health: BackendHealth) -> None:
        """Start without backend servers."""
        self._health = health
        self._numbers: dict[str, int] = {}
        self._servers: list[BackendServer] = []
        self.accepting: list[int] = []

    def configure(self, service: ServiceSnapshot) -> None:
        """Take over the declared backend servers and their states."""
        declared = {server.backend_id for server in service.backend_servers}
        for backend_id, number in self._numbers.items():
            if backend_id not in declared:
                self._servers[number] = _removed(self._servers[number])
        for backend in service.backend_servers:
            self._store(backend)
        self.accepting = [
            self._numbers[server.backend_id]
            for server in service.takes_new_flows()
        ]

    def table(self, bucket_count: int) -> PlacementTable:
        """Build the bucket table of the backend servers that accept flows."""
        return PlacementTable.from_members(
            bucket_count,
            [(self.name(slot), slot) for slot in self.accepting],
        )

    def number(self, backend_id: str) -> int:
        """Return the slot of a backend server, or ``NO_SLOT``."""
        return self._numbers.get(backend_id, NO_SLOT)

    def name(self, slot: int) -> str:
        """Return the backend id of a slot."""
        return self._servers[slot].backend_id

    def endpoint(self, slot: int) -> Endpoint:
        """Return the address of a slot."""
        return self._servers[slot].endpoint

    def has_endpoint(self, endpoint: Endpoint) -> bool:
        """Tell whether a backend server of this service has this address."""
        return self.slot_at(endpoint) != NO_SLOT

    def slot_at(self, endpoint: Endpoint) -> int:
        """Return the slot of an address, or ``NO_SLOT``."""
        for slot, server in enumerate(self._servers):
            if server.endpoint == endpoint:
                return slot
        return NO_SLOT

    def is_usable(self, slot: int) -> bool:
        """Tell whether packets may go to a slot."""
        if slot == NO_SLOT:
            return False
        server = self._servers[slot]
        if server.state is BackendState.REMOVED:
            return False
        return self._health.is_usable(server.backend_id)

    def usable_accepting(self) -> list[int]:
        """Return the slots that new flows may go to."""
        return [slot for slot in self.accepting if self.is_usable(slot)]

    def _store(self, backend: BackendServer) -> None:
        number = self._numbers.setdefault(
            backend.backend_id,
            len(self._servers),
        )
        if number == len(self._servers):
            self._servers.append(backend)
        else:
            self._servers[number] = backend


def _removed(server: BackendServer) -> BackendServer:
    return BackendServer(
        backend_id=server.backend_id,
        zone=server.zone,
        endpoint=server.endpoint,
        slot_count=server.slot_count,
        state=BackendState.REMOVED,
    )
