"""Decides what happens to each packet of a flow that carries a token."""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Final, NamedTuple, Self

from currantshore.codes import FlowRefusal
from currantshore.internal.steering.answers import AnswerEvidence
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    RoutingTable,
)
from currantshore.internal.steering.directory import (
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
from currantshore.internal.steering.watching import BackendWatches

# A tick that comes this much late was held up, and so were the answers that
# wait in the socket: nobody is judged by them.
_HELD_UP_S: Final = 0.025

# After standing still for this long, a host doubts what it thought of servers;
# a quota of the processor stops it for a tenth of a second at most.
_STALL_S: Final = 0.5

# Servers that have gone are looked for this often.
_CLEAN_INTERVAL_S: Final = 5.0

TICK_INTERVAL_S: Final = 0.015

# A flow's acknowledgements go on from those that its records hold: a packet
# further away is of a new flow from the same port. Four windows of a caller's
# 16 packets of 1,200 bytes, the reach that the users' page gives for resets.
_REACH_BYTES: Final = 76_800


class FlowReset(NamedTuple):
    """A flow whose caller is told that it has ended."""

    flow_key: bytes
    acknowledged: int


@dataclasses.dataclass(slots=True)
class TickActions:
    """What a tick asks of the adapters.

    ``replaced`` are the silent servers whose addresses belong to others now;
    ``resets`` end their flows.
    """

    copies: list[OpeningCopy] = dataclasses.field(default_factory=list)
    checks: list[Backend] = dataclasses.field(default_factory=list)
    replaced: list[Backend] = dataclasses.field(default_factory=list)
    resets: list[FlowReset] = dataclasses.field(default_factory=list)


class SteeringCore:
    """Places openings, forwards the rest, and tells silent servers.

    No method does input or output; ``now_s`` is the monotonic clock in
    seconds.
    """

    __slots__ = (
        '_answers',
        '_cleaned_s',
        '_current_until_s',
        '_doubt_after_s',
        '_held_until_s',
        '_openings',
        '_routes',
        '_ticked_s',
        '_unknown',
        'directory',
        'records',
        'watches',
    )

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        switched_off: SwitchedOff,
    ) -> None:
        """Prefer ``from_config``."""
        is_doubting = Mechanism.STALL_DOUBT not in switched_off
        self._doubt_after_s = _STALL_S if is_doubting else math.inf
        self._held_until_s = 0.0
        self._cleaned_s = 0.0
        self._ticked_s = 0.0
        self._unknown = UnknownTokens.from_config(switched_off)
        self.directory = BackendDirectory(zone)
        self.records = FlowRecords(switched_off)
        gate = build_gate(rng, switched_off)
        self._answers = AnswerEvidence(gate, switched_off)
        self._openings = OpeningPlacer(
            self.directory, self.records, gate, rng, switched_off
        )
        self.watches = BackendWatches(
            self.directory, self.records, switched_off
        )
        self._routes = RoutesInForce()
        # Until when what is held is what the store holds. After that,
        # as at a start, what is missing is no reason to refuse.
        self._current_until_s = 0.0

    @classmethod
    def from_config(
        cls,
        zone: str,
        seed: int,
        switched_off: SwitchedOff = NOTHING_OFF,
    ) -> Self:
        """Build the core of a host in ``zone``."""
        return cls(zone, random.Random(seed), switched_off)

    @property
    def table(self) -> RoutingTable:
        """The configuration in force."""
        return self._routes.table

    def set_current_until(self, until_s: float) -> None:
        """Take what is held as up to date until ``until_s``."""
        self._current_until_s = until_s

    def is_current(self, now_s: float) -> bool:
        """Tell whether what this host does not know does not exist.

        It is judged by the time of each packet and not by the last tick,
        because the host may have stood still between the two.
        """
        return now_s < self._current_until_s

    def configure(self, table: RoutingTable) -> bool:
        """Put a newer configuration in force; tell whether it was newer."""
        return self._routes.configure(table)

    def list_backends(
        self,
        entries: Iterable[BackendEntry],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Take a complete listing of backend servers."""
        return self.directory.replace_all(entries, revision, now_s)

    def change_backends(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Take changes of backend servers."""
        return self.directory.apply(changes, revision, now_s)

    def on_opening(
        self,
        flow_key: bytes,
        address_key: bytes,
        datagram: bytes,
        now_s: float,
        *,
        is_copy: bool = False,
    ) -> Decision:
        """Place an opening packet, or a copy of one.

        A copy that this host has not seen the first of may be of a flow that
        has opened through another host, and is not refused for a full service.
        """
        route = self._routes.find(address_key)
        if route is None:
            return self._refuse_unknown(FlowRefusal.NO_ROUTE, now_s)
        record = self.records.find(flow_key)
        if record is None or _has_ended(record, now_s):
            placed = self._openings.place(
                flow_key, route, datagram, now_s, is_copy=is_copy
            )
        elif record.is_open:
            # A copy that was overtaken by the flow's own packets.
            return record.backend
        else:
            placed = self._openings.place_again(flow_key, record, route, now_s)
        if placed is FlowRefusal.NO_BACKEND_SERVER:
            return self._refuse_unknown(placed, now_s)
        return placed

    def on_segment(
        self,
        flow_key: bytes,
        address_key: bytes,
        segment: Segment,
        now_s: float,
    ) -> Decision:
        """Forward a later packet to the server that its token names.

        A caller carries on the token that it received last, and a server that
        got a copy of the opening may answer long after another one. Its token
        does not move an open flow; the adapter sends the packet with the
        token of the returned server, which the caller then takes up again.
        """
        record = self.records.find(flow_key)
        if record is None or not _belongs(segment, record):
            found = self._resolve(address_key, segment.token, now_s)
            if isinstance(found, FlowRefusal):
                return found
            record = self._follow(flow_key, record, found, segment, now_s)
        if self._routes.is_removed(address_key):
            self.records.drop(flow_key)
            return self._refuse_unknown(FlowRefusal.ROUTE_REMOVED, now_s)
        backend = record.backend
        latency_s = self.records.note_segment(flow_key, record, segment, now_s)
        if latency_s is not None:
            self._note_answer(address_key, backend, latency_s, now_s)
        if segment.is_end:
            self.records.drop(flow_key)
            return backend
        # A verdict is as old as the last tick: this host may have stood still.
        is_judged = now_s - self._ticked_s < self._doubt_after_s
        if is_judged and self.watches.health(backend) is Health.DEAD:
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
        """Take the outcome of a connection attempt; return flows to reset.

        ``is_control_reachable`` tells whether another server was reached at
        the same time; without that, a failed attempt shows nothing.
        """
        watch = self.watches.watch(backend)
        if not is_reachable and not is_control_reachable:
            watch.note_no_check(now_s)
            return []
        is_dead = watch.note_check(is_reachable=is_reachable, now_s=now_s)
        if is_reachable:
            backend.last_answer_s = now_s
            backend.suspect_until_s = 0
        return self._end_flows(backend) if is_dead else []

    def tick(self, now_s: float) -> TickActions:
        """Look at what is due; call it every ``TICK_INTERVAL_S``."""
        if self._is_held_up(now_s):
            self._held_until_s = now_s + self._openings.late_after_s()
        if now_s - self._ticked_s > self._doubt_after_s:
            self.watches.clear()
        self._ticked_s = now_s
        actions = TickActions()
        if now_s >= self._held_until_s:
            self.records.expire_openings(now_s)
            found = self.watches.judge(now_s, self._openings.late_after_s())
            actions.checks = found.to_try
            actions.replaced = found.replaced
            for backend in found.replaced:
                actions.resets += self._end_flows(backend)
            actions.copies = self._openings.copy_late(self._routes, now_s)
        self.records.sweep(self.table.idle_timeout_s, now_s)
        if now_s - self._cleaned_s > _CLEAN_INTERVAL_S:
            self._cleaned_s = now_s
            self._forget_gone(now_s)
        return actions

    def _note_answer(
        self,
        address_key: bytes,
        backend: Backend,
        latency_s: float,
        now_s: float,
    ) -> None:
        route = self._routes.find(address_key)
        if route is not None and not self._is_held_up(now_s):
            self._answers.note(route, backend, latency_s, now_s)

    def _end_flows(self, backend: Backend) -> list[FlowReset]:
        resets = [FlowReset(*one) for one in self.records.in_progress(backend)]
        for reset in resets:
            self.records.drop(reset.flow_key)
        return resets

    def _is_held_up(self, now_s: float) -> bool:
        return now_s - self._ticked_s > TICK_INTERVAL_S + _HELD_UP_S

    def _refuse_unknown(
        self,
        refusal: FlowRefusal,
        now_s: float,
    ) -> FlowRefusal:
        """Return ``refusal`` where this host may say that it knows all."""
        return refusal if self.is_current(now_s) else FlowRefusal.NOT_CURRENT

    def _resolve(
        self,
        address_key: bytes,
        token: int,
        now_s: float,
    ) -> Decision:
        backend = self.directory.find(token)
        if backend is None:
            return self._unknown.refuse(
                token, now_s, is_current=self.is_current(now_s)
            )
        if not self._routes.may_serve(address_key, backend.entry.service_id):
            return FlowRefusal.SERVICE_MISMATCH
        return backend

    def _follow(
        self,
        flow_key: bytes,
        record: FlowRecord | None,
        backend: Backend,
        segment: Segment,
        now_s: float,
    ) -> FlowRecord:
        if record is None or record.is_open:
            self.records.drop(flow_key)
            return self.records.join(flow_key, backend, segment, now_s)
        # One of the servers that got a copy of the opening has answered.
        record.backend = backend
        return record

    def _forget_gone(self, now_s: float) -> None:
        self.directory.forget_old(now_s)
        self._answers.forget_gone(self.table.routes, now_s)
        known = {
            backend.entry.backend_id
            for backend in self.directory.all_backends()
        }
        self.watches.forget_gone(known)


def _belongs(segment: Segment, record: FlowRecord) -> bool:
    if record.backend.token == segment.token:
        return True
    if not record.is_open or not record.has_tried(segment.token):
        return False
    return record.is_near(segment.acknowledged, _REACH_BYTES)


def _has_ended(record: FlowRecord, now_s: float) -> bool:
    # An opening comes again within seconds of the first: one that comes later
    # is of a new flow from the same port.
    return record.is_open and now_s - record.seen_s >= OPENING_LIFE_S
