"""The decision core: maps typed inputs and a time to typed actions."""

from typing import Final, TypeAlias

from currantshore.errors import InvalidArgumentError
from currantshore.internal.callerintake import CallerIntake
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import (
    Action,
    BackendDatagram,
    CallerDatagram,
    ConfigurationChanged,
    Event,
    FlowsHandedOver,
    HandoverFinished,
    LeaveRequested,
    PeerDatagram,
    RequestsHandedOver,
)
from currantshore.internal.fabricintake import FabricIntake
from currantshore.internal.flows import fastpath
from currantshore.internal.members import configuration
from currantshore.internal.parts import CoreConfig, CoreParts
from currantshore.internal.snapshot import (
    HostState,
    HostStatus,
    PoolSnapshot,
)

__all__ = ('BalancerCore', 'CoreConfig')

_MAX_KEY_SIZE_BYTES: Final = 64

# Heartbeats are sent every 0.5 s. Adding up the demand of all services of a
# pool more often than twice per heartbeat would be wasted work.
_DEMANDS_INTERVAL_S: Final = 0.25

_Actions: TypeAlias = list[Action]


class BalancerCore:
    """Decides what one balancer does with each input.

    It never raises on bad input, does no input or output, reads no clock and
    takes all its randomness from one seeded generator, so a run can be repeated
    exactly. For a known flow, a packet costs one hash and a few dictionary
    lookups.
    """

    __slots__ = (
        '_callers',
        '_config',
        '_demands_due_s',
        '_fabric',
        '_is_leaving',
        '_parts',
        '_pool',
        '_view',
    )

    def __init__(self, config: CoreConfig) -> None:
        """Initialize; prefer ``from_config``, which checks the settings."""
        self._config = config
        self._parts = CoreParts(config)
        self._callers = CallerIntake(self._parts)
        self._fabric = FabricIntake(self._parts, self._callers, config.peer_key)
        self._pool: PoolSnapshot | None = None
        self._is_leaving = False
        self._demands_due_s = float('-inf')
        self._view = self._parts.membership.view()

    @classmethod
    def from_config(cls, config: CoreConfig) -> 'BalancerCore':
        """Build a core; raises ``InvalidArgumentError`` on bad settings."""
        if not config.host_id:
            raise InvalidArgumentError.from_value(
                'host_id', config.host_id, 'a non-empty host id'
            )
        if not 1 <= len(config.peer_key) <= _MAX_KEY_SIZE_BYTES:
            raise InvalidArgumentError.from_value(
                'peer_key size', len(config.peer_key), '1 to 64 bytes'
            )
        return cls(config)

    @property
    def counters(self) -> Counters:
        """The counts of all decisions of this core."""
        return self._parts.counters

    def pool(self) -> PoolSnapshot | None:
        """Return the configuration in force, or None before the first one."""
        return self._pool

    def is_ready(self) -> bool:
        """Return whether the core can place flows.

        A balancer that has just started is not ready until its peers have sent
        the flows that are not on the backend server of their hash bucket.
        """
        if self._pool is None or self._is_leaving:
            return False
        return self._parts.flows.is_warm()

    def is_idle(self) -> bool:
        """Return whether nothing is left to hand over and no request runs."""
        return self._parts.flows.is_idle() and self._parts.requests.is_idle()

    def watches_platform(self) -> bool:
        """Return whether this host watches the platform for its zone.

        A host without configuration always does, since it has no peers yet.
        """
        if self._pool is None:
            return True
        watchers = self._parts.membership.watchers(self._config.zone)
        return self._config.host_id in watchers

    def reports_status(self) -> bool:
        """Return whether this host writes the pool's status object."""
        return self._parts.membership.reporter() == self._config.host_id

    def status_report(self) -> dict[str, HostStatus]:
        """Return versions and flow counts of draining servers, by host id.

        A live host that has prepared the configuration of this host is listed
        with its versions, any other live host with none.
        """
        versions = {} if self._pool is None else self._pool.versions()
        view = self._parts.membership.view()
        return {
            peer.host_id: HostStatus(
                versions
                if peer.prepared_digest == view.configuration_digest
                else {},
                self._parts.membership.draining_of(peer.host_id),
            )
            for peer in view.peers.values()
        }

    def is_declared_leaving(self) -> bool:
        """Return whether the configuration marks this host as leaving."""
        if self._pool is None:
            return False
        return any(
            host.host_id == self._config.host_id
            and host.state is HostState.LEAVING
            for host in self._pool.members.hosts
        )

    def forward_known(
        self,
        service_id: str,
        batch: fastpath.Packets,
    ) -> tuple[fastpath.Packets, fastpath.Packets]:
        """Forward those packets of a batch that are opaque and of known flows.

        ``batch`` holds (payload, caller) pairs. Returns (payload, backend
        server) pairs to send, and the pairs that ``handle`` must decide, in
        order.
        """
        placer = self._parts.flows.placer(service_id)
        if placer is None:
            return [], batch
        return fastpath.forward_known(placer, batch, self.counters)

    def handle(self, event: Event, now_s: float) -> _Actions:
        """Return the actions that answer ``event`` at ``now_s``."""
        match event:
            case CallerDatagram():
                return self._callers.handle(event, now_s)
            case BackendDatagram():
                return self._fabric.on_backend(event, now_s)
            case PeerDatagram():
                return self._apply_live_view(
                    self._fabric.on_peer(event, now_s), now_s
                )
            case ConfigurationChanged():
                return self._apply_live_view(
                    self._configure(event.pool, now_s), now_s
                )
            case FlowsHandedOver():
                return self._parts.flows.on_flows_handed_over(event, now_s)
            case HandoverFinished():
                return self._parts.flows.on_handover_finished(event, now_s)
            case RequestsHandedOver():
                return self._parts.requests.on_requests_handed_over(
                    event, now_s
                )
            case LeaveRequested():
                return self._apply_live_view(self._leave(now_s), now_s)

    def tick(self, now_s: float) -> _Actions:
        """Run everything that is due; must be called at least every 50 ms."""
        self._publish_demands(now_s)
        self._parts.membership.set_prepared(self._parts.flows.is_prepared())
        self._parts.membership.set_warm(self._parts.flows.is_warm())
        self._parts.membership.set_successor(self._parts.requests.successor)
        actions = self._parts.membership.tick(now_s)
        actions += self._parts.health.tick(now_s)
        actions += self._parts.flows.tick(now_s)
        actions += self._parts.requests.tick(now_s)
        return self._apply_live_view(actions, now_s)

    def _configure(self, pool: PoolSnapshot, now_s: float) -> _Actions:
        if self._is_other_pool(pool):
            return []
        merged = configuration.merge(self._pool, pool)
        if merged is self._pool:
            return []
        self._pool = merged
        self._callers.use_services(
            frozenset(service.service_id for service in merged.services),
        )
        self._parts.counters.count(Count.CONFIGURATION_CHANGES)
        actions = self._parts.membership.configure(merged, now_s)
        actions += self._parts.health.configure(merged, now_s)
        actions += self._parts.flows.configure(merged, now_s)
        actions += self._parts.requests.configure(merged, now_s)
        return actions

    def _is_other_pool(self, pool: PoolSnapshot) -> bool:
        current = self._pool
        if current is None:
            return False
        return current.members.pool_id != pool.members.pool_id

    def _leave(self, now_s: float) -> _Actions:
        if self._is_leaving:
            return []
        self._is_leaving = True
        actions = self._parts.membership.leave(now_s)
        actions += self._parts.requests.leave(now_s)
        actions += self._parts.flows.leave(now_s)
        return actions

    def _publish_demands(self, now_s: float) -> None:
        if now_s >= self._demands_due_s:
            self._demands_due_s = now_s + _DEMANDS_INTERVAL_S
            demands = self._parts.requests.demands()
            self._parts.membership.set_demands(demands)
            draining = self._parts.flows.draining_flows()
            self._parts.membership.set_draining(draining)

    def _apply_live_view(self, actions: _Actions, now_s: float) -> _Actions:
        view = self._parts.membership.view()
        if view is not self._view:
            self._view = view
            self._parts.update_incarnation(self._pool, now_s)
            actions += self._parts.health.on_live_view(view, now_s)
            actions += self._parts.flows.on_live_view(view, now_s)
            actions += self._parts.requests.on_live_view(view, now_s)
        return actions
