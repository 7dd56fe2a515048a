"""Flows of one service: where packets of known and unknown flows go."""

import random

from currantshore.internal.backends import BackendSlots
from currantshore.internal.flowtable import FlowTable, entry_of, slot_of
from currantshore.internal.placement import NO_SLOT, PlacementTable
from currantshore.internal.snapshot import ServiceSnapshot
from currantshore.internal.views import BackendHealth


class ServiceFlows:
    """Placement state of one service on one balancer."""

    __slots__ = ('_rng', 'backends', 'known', 'service', 'table')

    def __init__(
        self,
        service: ServiceSnapshot,
        health: BackendHealth,
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Start with the configuration ``service`` and no known flow."""
        self._rng = rng
        self.service = service
        self.known = FlowTable(service.flow_idle_timeout_s, now_s)
        self.backends = BackendSlots(health)
        self.backends.configure(service)
        self.table: PlacementTable = self.backends.table(service.bucket_count)

    def configure(self, service: ServiceSnapshot) -> None:
        """Place new flows by the backend servers of ``service``."""
        self.service = service
        self.backends.configure(service)
        self.table = self.backends.table(service.bucket_count)

    def place(self, flow_key: int) -> int:
        """Return the slot for a new flow by the bucket table."""
        slot = self.table.slot_of(flow_key)
        if self.backends.is_usable(slot):
            return slot
        for other in self.table.ranked_slots(flow_key):
            if self.backends.is_usable(other):
                return other
        return NO_SLOT

    def least_loaded(self) -> int:
        """Return the accepting slot with the fewest known flows."""
        usable = self.backends.usable_accepting()
        if not usable:
            return NO_SLOT
        counts = self.known.counts
        lowest = min(counts[slot] for slot in usable)
        return self._rng.choice(
            [slot for slot in usable if counts[slot] == lowest],
        )

    def remember(self, flow_key: int, slot: int, is_framed: bool) -> None:
        """Record where a flow goes."""
        self.known.put(flow_key, entry_of(slot, is_framed))

    def known_slot(self, flow_key: int) -> int:
        """Return the slot of a known flow, or ``NO_SLOT``."""
        entry = self.known.find(flow_key)
        return NO_SLOT if entry is None else slot_of(entry)
