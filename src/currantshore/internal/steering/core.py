"""Decides where each packet of a flow that carries a token goes.

The core does no input or output; adapters pass it packets and the time.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Final, NamedTuple, Self

from currantshore.codes import FlowRefusal
from currantshore.internal.revisions import restores_of
from currantshore.internal.steering.answers import AnswerRecorder
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    EvacuatedZones,
    RoutingTable,
)
from currantshore.internal.steering.directory import (
    RESTORE_GRACE_S,
    Backend,
    BackendDirectory,
)
from currantshore.internal.steering.flowrecords import (
    OPENING_LIFE_S,
    FlowRecord,
    FlowRecords,
    Segment,
)
from currantshore.internal.steering.mechanisms import (
    NOTHING_OFF,
    Mechanism,
    SwitchedOff,
)
from currantshore.internal.steering.openinggate import build_gate
from currantshore.internal.steering.openings import (
    Decision,
    OpeningCopy,
    OpeningPlacer,
)
from currantshore.internal.steering.routesinforce import RoutesInForce
from currantshore.internal.steering.silence import Health
from currantshore.internal.steering.unknowntokens import UnknownTokens
from currantshore.internal.steering.warmup import WarmupBounds, WarmupLimiter
from currantshore.internal.steering.watching import BackendWatches

# When a tick is late by more than this, this host was paused. Answers may still
# wait in the socket, so backends are not evaluated until these have been read.
_MAX_TICK_DELAY_S: Final = 0.025

# A longer pause is a stall, after which a host discards the health states of
# backends. A processor quota pauses a host for 0.1 s at most.
_STALL_S: Final = 0.5

_CLEANUP_INTERVAL_S: Final = 5.0

TICK_INTERVAL_S: Final = 0.015

# A packet that carries the token of another backend which got the opening
# belongs to the recorded flow if its acknowledgement number is at most this far
# from the recorded one. Otherwise it belongs to a new flow from the same port.
# This is four windows of 16 packets of 1,200 bytes, the same distance as
# callers accept for resets.
_MAX_DISTANCE_BYTES: Final = 76_800

_STRICT_WARMUP: Final = WarmupBounds()

# A host whose copy of the store is out of date may lack a usable backend.
_NO_BACKEND: Final = frozenset(
    (FlowRefusal.NO_BACKEND_SERVER, FlowRefusal.ZONE_EVACUATED)
)


class FlowReset(NamedTuple):
    """A flow whose caller is to receive a reset."""

    flow_key: bytes
    acknowledged: int


@dataclasses.dataclass(slots=True)
class TickActions:
    """What the adapters have to do after a tick.

    ``checks`` are the backends to try to connect to. ``replaced`` are the
    silent backends whose addresses belong to other backends now; ``resets``
    are the resets for their flows.
    """

    copies: list[OpeningCopy] = dataclasses.field(default_factory=list)
    checks: list[Backend] = dataclasses.field(default_factory=list)
    replaced: list[Backend] = dataclasses.field(default_factory=list)
    has_changed_zones: bool = False
    resets: list[FlowReset] = dataclasses.field(default_factory=list)


class SteeringCore:
    """Places openings, forwards later packets and detects silent backends.

    No method does input or output; ``now_s`` is the monotonic clock in
    seconds.
    """

    __slots__ = (
        '_answer_recorder',
        '_current_until_s',
        '_evaluate_from_s',
        '_last_cleanup_s',
        '_last_tick_s',
        '_openings',
        '_routes',
        '_stall_after_s',
        '_unconfirmed_until_s',
        '_unconfirmed_zones',
        '_unknown_tokens',
        'directory',
        'evacuated',
        'records',
        'warmup',
        'watches',
    )

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        switched_off: SwitchedOff,
        warmup_bounds: WarmupBounds,
    ) -> None:
        """Initialize the core; ``from_config`` creates ``rng`` from a seed."""
        discards_health = Mechanism.STALL_DOUBT not in switched_off
        self._stall_after_s = _STALL_S if discards_health else math.inf
        self._evaluate_from_s = 0.0
        self._last_cleanup_s = 0.0
        self._last_tick_s = 0.0
        self._unknown_tokens = UnknownTokens.from_config(switched_off)
        self.directory = BackendDirectory(zone)
        self.evacuated = EvacuatedZones(0, frozenset())
        # Zones that were evacuated before the store was restored and are
        # missing in its copy.
        self._unconfirmed_zones: frozenset[str] = frozenset()
        self._unconfirmed_until_s = 0.0
        self.records = FlowRecords(switched_off)
        self.warmup = WarmupLimiter.from_config(
            zone, warmup_bounds, switched_off
        )
        gate = build_gate(rng, switched_off)
        self._answer_recorder = AnswerRecorder(gate, switched_off)
        self._openings = OpeningPlacer(
            self.directory,
            self.records,
            gate,
            self.warmup,
            rng,
            switched_off,
        )
        self.watches = BackendWatches(
            self.directory, self.records, switched_off
        )
        self._routes = RoutesInForce()
        # Until this time, the local copy matches the store. After it, and at
        # the start, a route or backend missing here may exist in the store.
        self._current_until_s = 0.0

    @classmethod
    def from_config(
        cls,
        zone: str,
        seed: int,
        switched_off: SwitchedOff = NOTHING_OFF,
        warmup_bounds: WarmupBounds = _STRICT_WARMUP,
    ) -> Self:
        """Build the core of a host in ``zone``."""
        return cls(zone, random.Random(seed), switched_off, warmup_bounds)

    @property
    def table(self) -> RoutingTable:
        """The configuration in force."""
        return self._routes.table

    def set_current_until(self, until_s: float) -> None:
        """Treat the local copy of the store as current until ``until_s``."""
        self._current_until_s = until_s

    def is_current(self, now_s: float) -> bool:
        """Return whether this host's copy of the store is up to date.

        Pass the time of the packet and not that of the last tick, because the
        host may have been paused between the two.
        """
        return now_s < self._current_until_s

    def configure(self, table: RoutingTable) -> bool:
        """Apply ``table`` if it is newer; return whether it was."""
        is_newer = self._routes.configure(table)
        if is_newer:
            self.warmup.configure(table.warmups)
            self.directory.name_services(table.named_services())
        return is_newer

    def replace_backends(
        self,
        entries: Iterable[BackendEntry],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Apply a complete listing; return the ids that changed."""
        return self.directory.replace_all(entries, revision, now_s)

    def apply_backend_changes(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Apply changes of backends; return the ids that changed."""
        return self.directory.apply(changes, revision, now_s)

    def evacuate(self, evacuated: EvacuatedZones, now_s: float) -> bool:
        """Place no new flows in ``evacuated.zones`` if that is newer.

        Returns whether the set of zones has changed. Open flows stay. After a
        restore of the store, zones that its copy leaves out stay evacuated for
        ``RESTORE_GRACE_S``, in which operators write again what was lost.
        """
        if evacuated.revision <= self.evacuated.revision:
            return False
        in_force = self.directory.evacuated_zones
        is_restored = restores_of(evacuated.revision) > restores_of(
            self.evacuated.revision
        )
        self.evacuated = evacuated
        if is_restored:
            self._unconfirmed_zones = in_force - evacuated.zones
            self._unconfirmed_until_s = now_s + RESTORE_GRACE_S
        return self._evacuate_in_force(now_s)

    def _evacuate_in_force(self, now_s: float) -> bool:
        """Apply the zones in force; return whether the set has changed.

        Backends of a zone that returns may have become cold without this host
        having their new entries, and count as cold.
        """
        if now_s >= self._unconfirmed_until_s:
            self._unconfirmed_zones = frozenset()
        in_force = self.evacuated.zones | self._unconfirmed_zones
        returned = self.directory.evacuated_zones - in_force
        has_changed = self.directory.evacuate(in_force)
        if returned:
            cold = self.directory.in_zones(returned)
            self.warmup.warm_up_again(cold, now_s)
        return has_changed

    def on_opening(
        self,
        flow_key: bytes,
        address_key: bytes,
        datagram: bytes,
        now_s: float,
        *,
        is_repeated: bool = False,
    ) -> Decision:
        """Choose the backend of an opening packet.

        ``is_repeated`` is whether the caller repeats an opening. If this host
        has not received the first one, the flow may already be open through
        another host. For this reason, a repeated opening is not refused when
        the service is full.
        """
        route = self._routes.find(address_key)
        if route is None:
            return self._refuse_if_current(FlowRefusal.NO_ROUTE, now_s)
        record = self.records.find(flow_key)
        if record is None or _is_superseded(record, now_s):
            decision = self._openings.place(
                flow_key, route, datagram, now_s, is_repeated=is_repeated
            )
        elif record.is_open:
            # This opening arrived after later packets of the flow.
            return record.backend
        else:
            decision = self._openings.place_again(
                flow_key, record, route, now_s
            )
        if isinstance(decision, FlowRefusal) and decision in _NO_BACKEND:
            return self._refuse_if_current(decision, now_s)
        return decision

    def on_segment(
        self,
        flow_key: bytes,
        address_key: bytes,
        segment: Segment,
        now_s: float,
    ) -> Decision:
        """Choose the backend of a packet that follows the opening.

        This is the backend that the packet's token names, with one exception.
        A caller sends the token that it received last, and a backend that got
        a copy of the opening may answer long after another backend did. That
        late token does not move an open flow. The adapter sends the packet
        with the token of the returned backend, and the caller uses that token
        from then on.
        """
        record = self.records.find(flow_key)
        if record is None or not _belongs_to_flow(segment, record):
            decision = self._find_backend(address_key, segment.token, now_s)
            if isinstance(decision, FlowRefusal):
                return decision
            record = self._assign_backend(
                flow_key, record, decision, segment, now_s
            )
        if self._routes.is_removed(address_key):
            self.records.drop(flow_key)
            return self._refuse_if_current(FlowRefusal.ROUTE_REMOVED, now_s)
        backend = record.backend
        latency_s = self.records.record_segment(
            flow_key, record, segment, now_s
        )
        if latency_s is not None:
            self._record_answer(address_key, backend, latency_s, now_s)
        if segment.is_end:
            self.records.drop(flow_key)
            return backend
        # Health states are not used after a stall, before the next tick.
        is_health_fresh = now_s - self._last_tick_s < self._stall_after_s
        if is_health_fresh and self.watches.health(backend) is Health.DEAD:
            self.records.drop(flow_key)
            return FlowRefusal.BACKEND_SERVER_GONE
        return backend

    def on_checked(
        self,
        backend: Backend,
        *,
        is_reachable: bool,
        is_control_reachable: bool,
        now_s: float,
    ) -> list[FlowReset]:
        """Record the outcome of a connection attempt; return flows to reset.

        ``is_control_reachable`` is whether another backend was reached at the
        same time. If it was not, a failed attempt proves nothing.
        """
        watch = self.watches.watch(backend)
        if not is_reachable and not is_control_reachable:
            watch.record_inconclusive_check(now_s)
            return []
        is_dead = watch.record_check(is_reachable=is_reachable, now_s=now_s)
        if is_reachable:
            backend.record_answer(now_s)
            backend.suspect_until_s = 0
        return self._drop_unanswered_flows(backend) if is_dead else []

    def tick(self, now_s: float) -> TickActions:
        """Run the periodic work; call this every ``TICK_INTERVAL_S``."""
        if self._is_tick_late(now_s):
            self._evaluate_from_s = now_s + self._openings.late_after_s()
        if now_s - self._last_tick_s > self._stall_after_s:
            self.watches.clear()
        self._last_tick_s = now_s
        self.warmup.tick(now_s)
        actions = TickActions()
        if self._unconfirmed_zones:
            actions.has_changed_zones = self._evacuate_in_force(now_s)
        if now_s >= self._evaluate_from_s:
            self.records.expire_openings(now_s)
            silent = self.watches.evaluate(now_s, self._openings.late_after_s())
            actions.checks = silent.to_check
            actions.replaced = silent.replaced
            for backend in silent.replaced:
                actions.resets += self._drop_unanswered_flows(backend)
            actions.copies = self._openings.copy_late(self._routes, now_s)
        self.records.sweep(self.table.idle_timeout_s, now_s)
        if now_s - self._last_cleanup_s > _CLEANUP_INTERVAL_S:
            self._last_cleanup_s = now_s
            self._forget_gone(now_s)
        return actions

    def _record_answer(
        self,
        address_key: bytes,
        backend: Backend,
        latency_s: float,
        now_s: float,
    ) -> None:
        route = self._routes.find(address_key)
        if route is not None and not self._is_tick_late(now_s):
            self._answer_recorder.record(route, backend, latency_s, now_s)

    def _drop_unanswered_flows(self, backend: Backend) -> list[FlowReset]:
        resets = [
            FlowReset(*request)
            for request in self.records.unanswered_requests(backend)
        ]
        for reset in resets:
            self.records.drop(reset.flow_key)
        return resets

    def _is_tick_late(self, now_s: float) -> bool:
        return now_s - self._last_tick_s > TICK_INTERVAL_S + _MAX_TICK_DELAY_S

    def _refuse_if_current(
        self,
        refusal: FlowRefusal,
        now_s: float,
    ) -> FlowRefusal:
        """Return ``refusal`` if this host is current, else ``NOT_CURRENT``."""
        return refusal if self.is_current(now_s) else FlowRefusal.NOT_CURRENT

    def _find_backend(
        self,
        address_key: bytes,
        token: int,
        now_s: float,
    ) -> Decision:
        backend = self.directory.find(token)
        if backend is None:
            return self._unknown_tokens.refuse(
                token, now_s, is_current=self.is_current(now_s)
            )
        if not self._routes.may_serve(address_key, backend.entry.service_id):
            return FlowRefusal.SERVICE_MISMATCH
        return backend

    def _assign_backend(
        self,
        flow_key: bytes,
        record: FlowRecord | None,
        backend: Backend,
        segment: Segment,
        now_s: float,
    ) -> FlowRecord:
        if record is None or record.is_open:
            self.records.drop(flow_key)
            return self.records.add_open_flow(flow_key, backend, segment, now_s)
        # The flow has been opened by the backend that the token names.
        record.backend = backend
        return record

    def _forget_gone(self, now_s: float) -> None:
        self.directory.forget_old(now_s)
        self._answer_recorder.forget_gone(self.table.routes, now_s)
        known_ids = {
            backend.entry.backend_id
            for backend in self.directory.all_backends()
        }
        self.watches.forget_gone(known_ids)


def _belongs_to_flow(segment: Segment, record: FlowRecord) -> bool:
    if record.backend.token == segment.token:
        return True
    if not record.is_open or not record.has_tried(segment.token):
        return False
    return record.is_near(segment.acknowledged, _MAX_DISTANCE_BYTES)


def _is_superseded(record: FlowRecord, now_s: float) -> bool:
    # Callers do not repeat an opening for longer than this. An opening for an
    # open flow that has been idle for as long belongs to a new flow from the
    # same port.
    return record.is_open and now_s - record.last_seen_s >= OPENING_LIFE_S
