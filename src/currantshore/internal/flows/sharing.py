"""How the balancers of a pool share the exceptions of one service.

Every balancer hands the exceptions that it knows to their first and second
owners. An owner that has committed sends those it owns first to the whole
pool, once; after that an unknown flow costs no message.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.internal.events import Action, FlowsHandedOver
from currantshore.internal.flows.addressing import Addressing, PlaneContext
from currantshore.internal.flows.backends import BackendSlots
from currantshore.internal.flows.change import NO_VERSION, PlacementChange
from currantshore.internal.flows.exceptions import (
    ExceptionTable,
    misplaced,
    opaque,
)
from currantshore.internal.flows.flowpeers import PeerChange
from currantshore.internal.flows.flowtable import FlowTable, entry_of
from currantshore.internal.flows.handovers import Handover

# Groups late exceptions; a killed balancer loses those of this time.
_FLUSH_INTERVAL_S: Final = 0.25

# Spreads a handover over two intervals without delaying the commit much.
_SECOND_OWNER_DELAY_S: Final = 0.25

# Bounds the rate of a stopping balancer to 80 KB/s: 300,000 flows take 19 s.
_LEAVING_CHUNK: Final = 4096

_SECOND: Final = 1


class ExceptionSharing:
    """Sends and receives the exceptions of one service."""

    __slots__ = (
        '_addressing',
        '_change',
        '_context',
        '_continue_at_s',
        '_decided',
        '_exceptions',
        '_flush_at_s',
        '_known',
        '_late',
        '_leaving',
        '_service_id',
        '_waiting',
    )

    def __init__(
        self,
        service_id: str,
        context: PlaneContext,
        backends: BackendSlots,
        known: FlowTable,
        exceptions: ExceptionTable,
        change: PlacementChange,
    ) -> None:
        """Share ``exceptions`` and the misplaced flows of ``known``."""
        self._service_id = service_id
        self._context = context
        self._addressing = Addressing(service_id, context, backends)
        self._known = known
        self._exceptions = exceptions
        self._change = change
        self._flush_at_s = float('-inf')
        # Flows that a stopping balancer has not handed over yet.
        self._leaving: list[tuple[int, int]] = []
        # Flows that this balancer has placed against the new table.
        self._decided: set[int] = set()
        # Exceptions found after the handover of their change.
        self._late: dict[int, int] = {}
        # Handovers to second owners, sent a moment after the first ones.
        self._waiting: list[Handover] = []
        self._continue_at_s = float('-inf')

    @property
    def has_waiting(self) -> bool:
        """Whether second owners have not been sent their exceptions."""
        return bool(self._waiting)

    def is_prepared(self) -> bool:
        """Tell whether the owners have acknowledged all exceptions."""
        if self._waiting:
            return False
        return not self._context.ledger.is_blocked(self._service_id)

    def is_idle(self) -> bool:
        """Tell whether nothing waits to be sent."""
        return not (self._late or self._waiting or self._leaving)

    def note_late(self, fingerprint: int, slot: int) -> None:
        """Record an exception that arose after the handover.

        Until the commit its owners need it. With the commit, this balancer
        tells all peers itself: the owner may have committed before.
        """
        self._late[fingerprint] = slot
        self._decided.add(fingerprint)
        self._exceptions.add(fingerprint, slot, is_fresh=True)

    def hand_over(
        self,
        change: PeerChange | None,
        now_s: float,
    ) -> list[Action]:
        """Send exceptions to their owners, first owners first.

        After a ``change`` of the live balancers, hosts that were no owners
        before get the exceptions that the others have already.
        """
        handovers: list[Handover] = []
        if change is not None:
            shared = self._exceptions.items()
            for rank in (0, _SECOND):
                handovers.extend(
                    self._addressing.to_owners(shared, rank, change),
                )
        unshared = self._unshared()
        for fingerprint, slot in unshared.items():
            self._exceptions.add(fingerprint, slot, is_fresh=True)
        handovers.extend(self._first_wave(unshared))
        self._continue_at_s = now_s + _SECOND_OWNER_DELAY_S
        return self._send(handovers, now_s)

    def continue_handover(self, now_s: float) -> list[Action]:
        """Send to the second owners, even if a first one is silent."""
        if now_s < self._continue_at_s:
            return []
        waiting = self._waiting
        self._waiting = []
        return self._send(waiting, now_s)

    def forget_hosts(self, hosts: frozenset[str]) -> None:
        """Drop what waits for hosts that are gone."""
        self._waiting = [
            handover
            for handover in self._waiting
            if handover.host_id not in hosts
        ]

    def take_back(self, handover: Handover) -> None:
        """Send the flows of a given-up handover to the new owners."""
        if handover.settled_version == NO_VERSION:
            self._late.update(self._addressing.decoded(handover.flows))

    def refresh(self) -> None:
        """Tell the owners which exceptions still carry traffic."""
        flows = misplaced(self._known, self._change.table)
        for fingerprint, slot in flows.items():
            self._late[fingerprint] = slot
            self._exceptions.add(fingerprint, slot, is_fresh=True)

    def hand_over_all(self, now_s: float) -> list[Action]:
        """Queue every known flow for its first owner, because of a stop.

        A flow may be known here alone, and a change that starts after this
        process has ended would move it.
        """
        self._leaving.extend(opaque(self._known).items())
        return self.flush(now_s)

    def welcome(self, hosts: Iterable[str], now_s: float) -> list[Action]:
        """Send what this balancer owns to hosts that have just appeared.

        Exceptions that the pool may not have yet go separately, so that the
        receiver sends them on if it owns them now.
        """
        arrived = sorted(hosts)
        if not arrived:
            return []
        elders = self._context.peers.elders(now_s)
        held = self._exceptions.items()
        owned = self._addressing.select(held, elders.is_owner)
        fresh = {
            fingerprint: owned.pop(fingerprint)
            for fingerprint in self._exceptions.fresh
            if fingerprint in owned
        }
        actions = self._send_settled(arrived, owned, now_s)
        if fresh:
            handovers = [
                self._addressing.handover(host, fresh, True) for host in arrived
            ]
            actions.extend(self._send(handovers, now_s))
        return actions

    def announce_commit(self, now_s: float) -> list[Action]:
        """Send the exceptions that this balancer owns to the whole pool."""
        hosts = sorted(self._context.peers.others)
        return self._send_settled(hosts, self._take_fresh(), now_s)

    def flush(self, now_s: float) -> list[Action]:
        """Send exceptions that arose late, grouped over a short time."""
        if now_s < self._flush_at_s:
            return []
        self._flush_at_s = now_s + _FLUSH_INTERVAL_S
        actions: list[Action] = []
        late = self._late
        self._late = {}
        for rank in (0, _SECOND):
            handovers = self._addressing.to_owners(
                late, rank, None, is_blocking=False
            )
            actions.extend(self._send(handovers, now_s))
        actions.extend(self._flush_leaving(now_s))
        if self._change.is_committed and self._exceptions.fresh:
            actions.extend(self._flush_fresh(now_s))
        return actions

    def receive(self, event: FlowsHandedOver) -> None:
        """Record exceptions and other flows that a peer has sent."""
        is_settled = event.settled_version > NO_VERSION
        table = self._change.table
        for fingerprint, slot in self._addressing.decoded(event.flows).items():
            if slot != table.slot_of(fingerprint):
                self._exceptions.add(fingerprint, slot, not is_settled)
            elif self._known.find(fingerprint) is None:
                self._known.put(fingerprint, entry_of(slot, is_framed=False))
        if is_settled:
            self.note_settled(event.sender, event.settled_version)

    def note_settled(self, sender: str, version: int) -> None:
        """Note that ``sender`` has sent all exceptions that it owns."""
        self._change.note_settled(sender, version)

    def _first_wave(self, flows: dict[int, int]) -> list[Handover]:
        """Return what goes out at once; the rest waits for a moment."""
        addressing = self._addressing
        owners = self._context.peers.owners
        handovers = addressing.to_owners(flows, 0, None)
        owned = addressing.select(flows, owners.is_first_owner)
        handovers.extend(addressing.to_owners(owned, _SECOND, None))
        for fingerprint in owned:
            flows.pop(fingerprint)
        self._waiting.extend(addressing.to_owners(flows, _SECOND, None))
        return handovers

    def _unshared(self) -> dict[int, int]:
        """Return the known misplaced flows that are no exceptions yet."""
        flows = misplaced(self._known, self._change.table)
        held = self._exceptions.items()
        return {
            fingerprint: slot
            for fingerprint, slot in flows.items()
            if fingerprint not in held
        }

    def _send_settled(
        self,
        hosts: Iterable[str],
        flows: Mapping[int, int],
        now_s: float,
    ) -> list[Action]:
        version = self._change.committed_version
        if not flows:
            self._note_settled_for(hosts, version)
            return []
        encoded = self._addressing.encoded(flows)
        return self._send(
            [
                Handover(host, self._service_id, encoded, version, False)
                for host in hosts
            ],
            now_s,
        )

    def _note_settled_for(self, hosts: Iterable[str], version: int) -> None:
        # Before the first commit there is nothing that a peer could note.
        if version == NO_VERSION:
            return
        for host in hosts:
            self._context.notes.add(host, self._service_id, version)

    def _flush_leaving(self, now_s: float) -> list[Action]:
        chunk = self._leaving[:_LEAVING_CHUNK]
        self._leaving = self._leaving[_LEAVING_CHUNK:]
        handovers = self._addressing.to_owners(
            dict(chunk), 0, None, is_blocking=False
        )
        return self._send(handovers, now_s)

    def _flush_fresh(self, now_s: float) -> list[Action]:
        flows = self._take_fresh()
        if not flows:
            return []
        hosts = sorted(self._context.peers.others)
        return self._send_settled(hosts, flows, now_s)

    def _take_fresh(self) -> dict[int, int]:
        """Take the new exceptions that this balancer owns or has decided."""
        owners = self._context.peers.deciders
        fresh = self._exceptions.fresh
        taken = self._addressing.select(fresh, owners.is_first_owner)
        taken.update(
            (fingerprint, fresh[fingerprint])
            for fingerprint in self._decided
            if fingerprint in fresh
        )
        self._decided = set()
        for fingerprint in taken:
            fresh.pop(fingerprint)
        return taken

    def _send(
        self,
        handovers: Iterable[Handover],
        now_s: float,
    ) -> list[Action]:
        ledger = self._context.ledger
        return [ledger.send(handover, now_s) for handover in handovers]
