"""Combines placement, exceptions and lookups of one service."""

from currantshore.internal.counters import Count
from currantshore.internal.events import Action
from currantshore.internal.flows.addressing import PlaneContext
from currantshore.internal.flows.flowpeers import PeerChange
from currantshore.internal.flows.lookupresolver import LookupResolver
from currantshore.internal.flows.placement import NO_SLOT
from currantshore.internal.flows.placing import FlowPlacer
from currantshore.internal.snapshot import BackendState, ServiceSnapshot
from currantshore.wire import Endpoint


class ServiceFlows:
    """The flow state of one service: placement, changes and lookups."""

    __slots__ = ('_context', '_service', 'placer', 'resolver')

    def __init__(
        self,
        service: ServiceSnapshot,
        context: PlaneContext,
        is_known_by_peers: bool,
        now_s: float,
    ) -> None:
        """Initialize with the configuration ``service``, without flows."""
        self._context = context
        self._service = service
        self.placer = FlowPlacer(service, context, is_known_by_peers, now_s)
        self.resolver = LookupResolver(self.placer, context)

    def configure(
        self,
        service: ServiceSnapshot,
        now_s: float,
    ) -> list[Action]:
        """Prepare a change to the backend servers of ``service``."""
        if service == self._service:
            return []
        self._service = service
        placer = self.placer
        placer.backends.configure(service)
        table = placer.backends.table(service.bucket_count)
        placer.change.start(service, table, self._context.peers, now_s)
        actions = placer.sharing.hand_over(None, now_s)
        if placer.change.is_committed:
            actions.extend(placer.sharing.announce_commit(now_s))
        return actions

    def on_peer_change(self, change: PeerChange, now_s: float) -> list[Action]:
        """Send exceptions to new owners and to hosts that have arrived."""
        sharing = self.placer.sharing
        sharing.forget_hosts(change.departed | change.arrived)
        actions = sharing.send_to_new_hosts(change.arrived, now_s)
        if change.is_owner_change and self.placer.change.moved is not None:
            self.placer.change.record_owner_change(change.has_lost_owner, now_s)
            actions.extend(sharing.hand_over(change, now_s))
        return actions

    def leave(self, change: PeerChange, now_s: float) -> list[Action]:
        """Hand over all opaque flows, because this balancer stops."""
        sharing = self.placer.sharing
        actions = sharing.hand_over(change, now_s)
        return actions + sharing.hand_over_all(now_s)

    def on_unknown(
        self,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        now_s: float,
    ) -> list[Action]:
        """Forward a packet whose flow has no usable entry in the flow table."""
        placer = self.placer
        slot = placer.find(flow_key)
        if slot == NO_SLOT:
            return self.resolver.on_packet(caller, flow_key, payload, now_s)
        if placer.needs_new_server(slot):
            slot = placer.replace(flow_key)
        return placer.forward(slot, caller, payload)

    def is_idle(self) -> bool:
        """Return whether no packet and no exception waits."""
        return self.resolver.is_idle() and self.placer.sharing.is_idle()

    @property
    def service(self) -> ServiceSnapshot:
        """The current configuration of the service."""
        return self._service

    def draining_flows(self) -> dict[str, int]:
        """Return the number of known flows by draining backend id."""
        placer = self.placer
        return {
            server.backend_id: placer.known.counts[
                placer.backends.slot_of(server.backend_id)
            ]
            for server in self._service.backend_servers
            if server.state is BackendState.DRAINING
        }

    def is_busy(self) -> bool:
        """Return whether a change, a handover or a lookup is in progress."""
        return self.placer.change.moved is not None or not self.is_idle()

    def tick(self, now_s: float) -> list[Action]:
        """Expire flows, retry lookups and continue a change."""
        placer = self.placer
        if placer.known.rotate_if_due(now_s):
            placer.sharing.refresh()
        placer.exceptions.rotate_if_due(now_s)
        actions = placer.sharing.continue_handover(now_s)
        actions.extend(self._advance_change(now_s))
        actions.extend(placer.sharing.flush(now_s))
        actions.extend(self.resolver.tick(now_s))
        return actions

    def _advance_change(self, now_s: float) -> list[Action]:
        """Commit and settle the change as soon as it is ready."""
        change = self.placer.change
        sharing = self.placer.sharing
        peers = self._context.peers
        actions: list[Action] = []
        if change.commit_if_ready(peers, not sharing.is_prepared(), now_s):
            actions = sharing.announce_commit(now_s)
            if change.is_forced:
                self._context.counters.count(Count.PREPARE_TIMEOUTS)
        change.settle_if_complete(peers, now_s)
        return actions
