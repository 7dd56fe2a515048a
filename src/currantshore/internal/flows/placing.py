"""Decides and records which backend server each flow of a service uses."""

from currantshore.codes import DropReason, ResultCode
from currantshore.internal.counters import Count
from currantshore.internal.events import Action, SendToBackend, SendToCaller
from currantshore.internal.flows.addressing import PlaneContext
from currantshore.internal.flows.backends import BackendSlots
from currantshore.internal.flows.change import PlacementChange
from currantshore.internal.flows.exceptions import ExceptionTable
from currantshore.internal.flows.flowtable import (
    FINGERPRINT_MASK,
    FlowTable,
    entry_of,
    slot_of,
)
from currantshore.internal.flows.placement import NO_SLOT
from currantshore.internal.flows.sharing import ExceptionSharing
from currantshore.internal.snapshot import ServiceSnapshot
from currantshore.wire import Endpoint, Forwarded, Refusal, encode


class FlowPlacer:
    """Known flows, exceptions and tables of one service."""

    __slots__ = (
        '_context',
        'backends',
        'change',
        'exceptions',
        'known',
        'service_id',
        'sharing',
    )

    def __init__(
        self,
        service: ServiceSnapshot,
        context: PlaneContext,
        is_known_by_peers: bool,
        now_s: float,
    ) -> None:
        """Initialize with the configuration ``service``, without flows."""
        self._context = context
        self.service_id = service.service_id
        idle_timeout_s = service.flow_idle_timeout_s
        self.known = FlowTable(idle_timeout_s, now_s)
        self.exceptions = ExceptionTable(idle_timeout_s, now_s)
        self.backends = BackendSlots(context.health)
        self.backends.configure(service)
        self.change = PlacementChange(
            service,
            self.backends.table(service.bucket_count),
            is_known_by_peers,
            now_s,
        )
        self.sharing = ExceptionSharing(
            service.service_id,
            context,
            self.backends,
            self.known,
            self.exceptions,
            self.change,
        )

    def find(self, flow_key: int) -> int:
        """Return the slot of a flow that is known or an exception."""
        entry = self.known.find(flow_key)
        if entry is not None:
            return slot_of(entry)
        slot = self.exceptions.find(flow_key)
        if slot is None:
            return NO_SLOT
        self.record(flow_key, slot, is_framed=False)
        return slot

    def record(self, flow_key: int, slot: int, is_framed: bool) -> None:
        """Record the slot of a flow."""
        self.known.put(flow_key, entry_of(slot, is_framed))

    def forget(self, flow_key: int) -> None:
        """Remove a flow that its caller has ended."""
        self.known.forget(flow_key)
        self.exceptions.forget(flow_key)

    def record_answered(self, flow_key: int, slot: int) -> None:
        """Record a flow that a backend server answers."""
        self.record(flow_key, slot, is_framed=False)
        if slot != self.change.table.slot_of(flow_key):
            self.record_late(flow_key, slot)

    def least_loaded(self) -> int:
        """Return the accepting slot with the lowest load by known flows."""
        counts = self.known.counts
        loads = {
            slot: self.backends.weighted_load(slot, counts[slot])
            for slot in self.backends.usable_accepting()
        }
        if not loads:
            return NO_SLOT
        lowest = min(loads.values())
        return self._context.rng.choice(
            [slot for slot, load in loads.items() if load == lowest],
        )

    def forward(
        self,
        slot: int,
        caller: Endpoint,
        payload: bytes,
    ) -> list[Action]:
        """Send a payload to the backend server of a slot."""
        endpoint = None if slot == NO_SLOT else self.backends.endpoint(slot)
        counters = self._context.counters
        if endpoint is None:
            counters.drop(DropReason.NO_BACKEND_SERVER)
            return []
        counters.counts[Count.PACKETS_FORWARDED] += 1
        message = Forwarded(self.service_id, caller, payload)
        return [SendToBackend(endpoint, encode(message))]

    def refuse(
        self,
        caller: Endpoint,
        code: ResultCode,
        retry_after_ms: int,
    ) -> list[Action]:
        """Send a caller of framed datagrams a refusal of its flow."""
        self._context.counters.refuse(code)
        refusal = encode(Refusal(0, code, retry_after_ms))
        return [SendToCaller(self.service_id, caller, refusal)]

    def needs_new_server(self, slot: int) -> bool:
        """Return whether the flows of a slot need another backend server."""
        if self.backends.is_usable(slot):
            return False
        return not self.backends.is_undeclared(slot)

    def place(self, flow_key: int) -> int:
        """Place a new flow by the table for unknown flows."""
        table = self.change.table_for_unknown() or self.change.table
        slot = table.slot_of(flow_key)
        if self.change.is_closed_to_new_flows(slot):
            slot = self.change.table.slot_of(flow_key)
        if not self.backends.is_usable(slot):
            return self.replace(flow_key)
        self.record(flow_key, slot, is_framed=False)
        self._context.counters.count(Count.FLOWS_PLACED)
        if slot != self.change.table.slot_of(flow_key):
            self.record_late(flow_key, slot)
        return slot

    def replace(self, flow_key: int) -> int:
        """Place a flow on the first usable server in its bucket's ranking."""
        if self.known.find(flow_key) is not None:
            self._context.counters.count(Count.FLOWS_LOST_BACKEND)
        self.forget(flow_key)
        for slot in self.change.table.ranked_slots(flow_key):
            if self.backends.is_usable(slot):
                self.record(flow_key, slot, is_framed=False)
                return slot
        return NO_SLOT

    def record_late(self, flow_key: int, slot: int) -> None:
        """Record an exception found after the handover of its change."""
        self.sharing.record_late(flow_key & FINGERPRINT_MASK, slot)
