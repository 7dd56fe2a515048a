"""Shares the exceptions of one service between the balancers of a pool.

Every balancer sends the exceptions that it knows to their first and second
owners. An owner that has committed a change sends the exceptions that it is the
first owner of to the whole pool, once. After that, an unknown flow costs no
message.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.internal.events import Action, FlowsHandedOver
from currantshore.internal.flows.addressing import HandoverBuilder, PlaneContext
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

# Groups late exceptions; a killed balancer loses those of this interval.
_FLUSH_INTERVAL_S: Final = 0.25

# Halves the peak rate of a handover without much delay of the commit.
_SECOND_OWNER_DELAY_S: Final = 0.25

# Limits the rate of a stopping balancer to 80 KB/s: 300,000 flows take 19 s.
_LEAVE_CHUNK_FLOWS: Final = 4096

_SECOND_RANK: Final = 1


class ExceptionSharing:
    """Sends and receives the exceptions of one service."""

    __slots__ = (
        '_builder',
        '_change',
        '_context',
        '_continue_at_s',
        '_decided',
        '_exceptions',
        '_flush_at_s',
        '_known',
        '_late',
        '_leave_queue',
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
        self._builder = HandoverBuilder(service_id, context, backends)
        self._known = known
        self._exceptions = exceptions
        self._change = change
        self._flush_at_s = float('-inf')
        # Flows that a stopping balancer has not handed over yet.
        self._leave_queue: list[tuple[int, int]] = []
        # Exceptions that this balancer found itself since its last report.
        self._decided: set[int] = set()
        # Exceptions found after the handover of their change.
        self._late: dict[int, int] = {}
        # Handovers to second owners, sent shortly after those to first owners.
        self._waiting: list[Handover] = []
        self._continue_at_s = float('-inf')

    @property
    def has_waiting(self) -> bool:
        """Whether handovers to second owners have not been sent yet."""
        return bool(self._waiting)

    def is_prepared(self) -> bool:
        """Return whether all blocking handovers were acknowledged."""
        if self._waiting:
            return False
        return not self._context.ledger.is_blocked(self._service_id)

    def is_idle(self) -> bool:
        """Return whether nothing waits to be sent."""
        return not (self._late or self._waiting or self._leave_queue)

    def record_late(self, fingerprint: int, slot: int) -> None:
        """Record an exception that arose after the handover.

        Its owners need it until the commit. On its commit, this balancer sends
        it to all peers itself: an owner that committed earlier has already sent
        its exceptions, without this one.
        """
        self._late[fingerprint] = slot
        self._decided.add(fingerprint)
        self._exceptions.add(fingerprint, slot, is_unsent=True)

    def hand_over(
        self,
        change: PeerChange | None,
        now_s: float,
    ) -> list[Action]:
        """Send exceptions to their owners, first owners first.

        After a ``change`` of the live balancers, new owners also receive the
        exceptions that the other owners already have.
        """
        handovers: list[Handover] = []
        if change is not None:
            recorded = self._exceptions.items()
            for rank in (0, _SECOND_RANK):
                handovers.extend(
                    self._builder.to_owners(recorded, rank, change),
                )
        new_exceptions = self._find_new_exceptions()
        for fingerprint, slot in new_exceptions.items():
            self._exceptions.add(fingerprint, slot, is_unsent=True)
        handovers.extend(self._first_handovers(new_exceptions))
        self._continue_at_s = now_s + _SECOND_OWNER_DELAY_S
        return self._send(handovers, now_s)

    def continue_handover(self, now_s: float) -> list[Action]:
        """Send to the second owners, even if a first owner is silent."""
        if now_s < self._continue_at_s:
            return []
        waiting = self._waiting
        self._waiting = []
        return self._send(waiting, now_s)

    def forget_hosts(self, hosts: frozenset[str]) -> None:
        """Drop the waiting handovers to hosts that are gone."""
        self._waiting = [
            handover
            for handover in self._waiting
            if handover.host_id not in hosts
        ]

    def requeue(self, handover: Handover) -> None:
        """Queue the flows of a cancelled handover for their new owners."""
        if handover.settled_version == NO_VERSION:
            self._late.update(self._builder.decoded(handover.flows))

    def refresh(self) -> None:
        """Queue, for their owners, the exceptions that still have traffic."""
        flows = misplaced(self._known, self._change.table)
        for fingerprint, slot in flows.items():
            self._late[fingerprint] = slot
            self._exceptions.add(fingerprint, slot, is_unsent=True)

    def hand_over_all(self, now_s: float) -> list[Action]:
        """Queue all known opaque flows for their first owners before a stop.

        A flow may be known here alone, and a change that starts after this
        process has ended would move it.
        """
        self._leave_queue.extend(opaque(self._known).items())
        return self.flush(now_s)

    def send_to_new_hosts(
        self, hosts: Iterable[str], now_s: float
    ) -> list[Action]:
        """Send the exceptions that this balancer owns to new hosts.

        Exceptions that the pool may not have yet are sent separately, so that
        the receiver forwards them if it is their owner now.
        """
        arrived = sorted(hosts)
        if not arrived:
            return []
        established_owners = self._context.peers.established_owners(now_s)
        recorded = self._exceptions.items()
        owned = self._builder.select(recorded, established_owners.is_owner)
        unsent = {
            fingerprint: owned.pop(fingerprint)
            for fingerprint in self._exceptions.unsent
            if fingerprint in owned
        }
        actions = self._send_settled(arrived, owned, now_s)
        if unsent:
            handovers = [
                self._builder.handover(host, unsent, True) for host in arrived
            ]
            actions.extend(self._send(handovers, now_s))
        return actions

    def announce_commit(self, now_s: float) -> list[Action]:
        """Send the unsent exceptions of this balancer to the whole pool."""
        hosts = sorted(self._context.peers.others)
        return self._send_settled(hosts, self._pop_unsent(), now_s)

    def flush(self, now_s: float) -> list[Action]:
        """Send late and unsent exceptions and flows of a stop, in groups."""
        if now_s < self._flush_at_s:
            return []
        self._flush_at_s = now_s + _FLUSH_INTERVAL_S
        actions: list[Action] = []
        late = self._late
        self._late = {}
        for rank in (0, _SECOND_RANK):
            handovers = self._builder.to_owners(
                late, rank, None, is_blocking=False
            )
            actions.extend(self._send(handovers, now_s))
        actions.extend(self._flush_leave_queue(now_s))
        if self._change.is_committed and self._exceptions.unsent:
            actions.extend(self._flush_unsent(now_s))
        return actions

    def receive(self, event: FlowsHandedOver) -> None:
        """Record the exceptions and other flows that a peer has sent."""
        is_settled = event.settled_version > NO_VERSION
        table = self._change.table
        for fingerprint, slot in self._builder.decoded(event.flows).items():
            if slot != table.slot_of(fingerprint):
                self._exceptions.add(fingerprint, slot, not is_settled)
            elif self._known.find(fingerprint) is None:
                self._known.put(fingerprint, entry_of(slot, is_framed=False))
        if is_settled:
            self.record_settled(event.sender, event.settled_version)

    def record_settled(self, sender: str, version: int) -> None:
        """Record that ``sender`` has sent all exceptions that it owns."""
        self._change.record_settled(sender, version)

    def _first_handovers(self, flows: dict[int, int]) -> list[Handover]:
        """Return the handovers to send now and queue the others.

        First owners receive their exceptions now. Second owners receive them
        now if this balancer is the first owner, otherwise a moment later.
        """
        builder = self._builder
        owners = self._context.peers.owners
        handovers = builder.to_owners(flows, 0, None)
        owned = builder.select(flows, owners.is_first_owner)
        handovers.extend(builder.to_owners(owned, _SECOND_RANK, None))
        for fingerprint in owned:
            flows.pop(fingerprint)
        self._waiting.extend(builder.to_owners(flows, _SECOND_RANK, None))
        return handovers

    def _find_new_exceptions(self) -> dict[int, int]:
        """Return the known misplaced flows that are no exceptions yet."""
        flows = misplaced(self._known, self._change.table)
        recorded = self._exceptions.items()
        return {
            fingerprint: slot
            for fingerprint, slot in flows.items()
            if fingerprint not in recorded
        }

    def _send_settled(
        self,
        hosts: Iterable[str],
        flows: Mapping[int, int],
        now_s: float,
    ) -> list[Action]:
        version = self._change.committed_version
        if not flows:
            self._queue_settled_notices(hosts, version)
            return []
        encoded = self._builder.encoded(flows)
        return self._send(
            [
                Handover(host, self._service_id, encoded, version, False)
                for host in hosts
            ],
            now_s,
        )

    def _queue_settled_notices(
        self, hosts: Iterable[str], version: int
    ) -> None:
        # Before the first commit there is no version that a peer could record.
        if version == NO_VERSION:
            return
        for host in hosts:
            self._context.settled_notices.add(host, self._service_id, version)

    def _flush_leave_queue(self, now_s: float) -> list[Action]:
        chunk = self._leave_queue[:_LEAVE_CHUNK_FLOWS]
        self._leave_queue = self._leave_queue[_LEAVE_CHUNK_FLOWS:]
        handovers = self._builder.to_owners(
            dict(chunk), 0, None, is_blocking=False
        )
        return self._send(handovers, now_s)

    def _flush_unsent(self, now_s: float) -> list[Action]:
        flows = self._pop_unsent()
        if not flows:
            return []
        hosts = sorted(self._context.peers.others)
        return self._send_settled(hosts, flows, now_s)

    def _pop_unsent(self) -> dict[int, int]:
        """Remove and return the exceptions that this balancer must send.

        These are the ones that it is the first owner of or found itself.
        """
        owners = self._context.peers.deciders
        unsent = self._exceptions.unsent
        popped = self._builder.select(unsent, owners.is_first_owner)
        popped.update(
            (fingerprint, unsent[fingerprint])
            for fingerprint in self._decided
            if fingerprint in unsent
        )
        self._decided = set()
        for fingerprint in popped:
            unsent.pop(fingerprint)
        return popped

    def _send(
        self,
        handovers: Iterable[Handover],
        now_s: float,
    ) -> list[Action]:
        ledger = self._context.ledger
        return [ledger.send(handover, now_s) for handover in handovers]
