"""Resolves unknown flows of one service, with lookups between balancers.

A balancer sends lookups to the owners of a flow, and answers lookups of its
peers as an owner.
"""

from currantshore.codes import DropReason, RetryReason
from currantshore.internal.counters import Count
from currantshore.internal.events import Action, SendToPeer
from currantshore.internal.flows.addressing import PlaneContext
from currantshore.internal.flows.lookups import (
    LookupKind,
    LookupQueue,
    PendingLookup,
    add_packet,
)
from currantshore.internal.flows.placement import NO_SLOT
from currantshore.internal.flows.placing import FlowPlacer
from currantshore.internal.peerwire import Lookup, LookupReply, seal
from currantshore.wire import Endpoint, Message


class LookupResolver:
    """Decides where unknown flows go, alone or together with their owners."""

    __slots__ = ('_context', '_lookups', '_placer')

    def __init__(self, placer: FlowPlacer, context: PlaneContext) -> None:
        """Initialize without lookups; ``placer`` places the flows."""
        self._placer = placer
        self._context = context
        self._lookups = LookupQueue()

    def is_idle(self) -> bool:
        """Return whether no packet waits."""
        return not self._lookups

    def on_packet(
        self,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        now_s: float,
    ) -> list[Action]:
        """Forward a packet of an unknown flow, or queue it for a lookup."""
        pending = self._lookups.find(flow_key)
        if pending is not None:
            return self._add_packet(pending, caller, payload)
        if self._needs_no_lookup(flow_key, now_s):
            slot = self._placer.place(flow_key)
            return self._placer.forward(slot, caller, payload)
        kind, hosts = self._plan_lookup(flow_key, now_s)
        if not hosts:
            return self._place_and_forward(caller, flow_key, payload, now_s)
        pending = self._lookups.start(flow_key, hosts, kind, now_s)
        if pending is None:
            self._context.counters.drop(DropReason.LOOKUP_QUEUE_FULL)
            return []
        self._context.counters.count(Count.FLOWS_LOOKED_UP)
        return self._add_packet(pending, caller, payload) + self._send_lookups(
            pending
        )

    def on_lookup(self, message: Lookup, now_s: float) -> list[Action]:
        """Answer a peer's lookup.

        If the lookup is for known flows only, answer from the local tables.
        Otherwise act as an owner and place a flow that is not known.
        """
        flow_key = message.flow_key
        requester = message.sender
        slot = self._placer.find(flow_key)
        is_lost = slot != NO_SLOT and self._placer.needs_new_server(slot)
        if message.is_known_only or not (slot == NO_SLOT or is_lost):
            return self._reply(
                requester, flow_key, NO_SLOT if is_lost else slot
            )
        if is_lost:
            return self._reply(
                requester, flow_key, self._placer.replace(flow_key)
            )
        if not self._is_able_to_decide(now_s):
            return self._reply(requester, flow_key, NO_SLOT)
        return self._place_for_peer(requester, flow_key, now_s)

    def on_lookup_reply(
        self,
        message: LookupReply,
        now_s: float,
    ) -> list[Action]:
        """Forward the packets that waited for this reply."""
        pending = self._lookups.find(message.flow_key)
        if pending is None or message.sender not in pending.candidates:
            self._context.counters.drop(DropReason.REPLY_UNMATCHED)
            return []
        if not message.backend_id:
            return self._on_empty_reply(pending, message.sender, now_s)
        slot = self._placer.backends.reserve(message.backend_id)
        if pending.kind is LookupKind.POLL:
            self._placer.record_late(message.flow_key, slot)
        elif message.sender != pending.candidates[0]:
            # The first owner may still reply in this round.
            pending.second_owner_slot = slot
            return []
        return self._finish(pending, slot, now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Continue the lookups whose reply is overdue."""
        actions: list[Action] = []
        for pending in self._lookups.due(now_s):
            pending.next_round(now_s)
            if pending.second_owner_slot is not None or pending.is_exhausted():
                actions.extend(self._finish_without_first_owner(pending, now_s))
                continue
            self._context.counters.retry(RetryReason.LOOKUP_TIMEOUT)
            actions.extend(self._send_lookups(pending))
        return actions

    def _needs_no_lookup(self, flow_key: int, now_s: float) -> bool:
        """Return whether this balancer may place the flow by itself."""
        peers = self._context.peers
        if not (peers.others or peers.declared):
            return True
        if peers.is_behind or peers.is_resuming(now_s):
            return False
        change = self._placer.change
        return (
            change.needs_no_lookup(flow_key) if peers.others else change.is_warm
        )

    def _is_able_to_decide(self, now_s: float) -> bool:
        """Return whether this balancer can act as an owner."""
        change = self._placer.change
        if self._context.peers.is_resuming(now_s) or not change.is_warm:
            return False
        return change.table_for_unknown() is not None

    def _plan_lookup(
        self,
        flow_key: int,
        now_s: float,
    ) -> tuple[LookupKind, list[str]]:
        """Return the kind of lookup and the hosts to send it to.

        An empty list means that this balancer places the flow without a
        lookup. As long as the first owner replies, only it decides, so two
        balancers that see a change at different times decide alike.
        """
        peers = self._context.peers
        ranked = peers.deciders.ranked(flow_key)
        others = [host for host in ranked if host != peers.self_id]
        if not self._is_able_to_decide(now_s):
            return LookupKind.OWNERS, others
        if ranked[:1] == [peers.self_id]:
            return LookupKind.POLL, self._peers_to_poll()
        if ranked[1:2] == [peers.self_id]:
            return LookupKind.FIRST_OWNER, others[:1]
        return LookupKind.OWNERS, others

    def _peers_to_poll(self) -> list[str]:
        """Return the peers that may know flows they have not handed over."""
        peers = self._context.peers
        change = self._placer.change
        if change.needs_full_poll:
            return sorted(peers.others)
        return sorted(peers.unprepared) if change.is_forced else []

    def _place_for_peer(
        self,
        requester: str,
        flow_key: int,
        now_s: float,
    ) -> list[Action]:
        """Place a flow for a peer, after a lookup where one is needed."""
        pending = self._lookups.find(flow_key)
        if pending is not None:
            pending.requesters.add(requester)
            return []
        kind, hosts = self._plan_lookup(flow_key, now_s)
        if kind is not LookupKind.POLL:
            # A balancer other than the first owner leaves the decision to it.
            kind = LookupKind.RELAY
            hosts = [host for host in hosts if host != requester][:1]
        if kind is LookupKind.RELAY and not hosts:
            # The first owner sent this lookup because it cannot decide itself.
            kind = LookupKind.POLL
            hosts = sorted(self._context.peers.others)
        hosts = [host for host in hosts if host != requester]
        if not hosts:
            return self._reply(
                requester, flow_key, self._placer.place(flow_key)
            )
        pending = self._lookups.start(flow_key, hosts, kind, now_s)
        if pending is None:
            return []
        pending.requesters.add(requester)
        return self._send_lookups(pending)

    def _place_and_forward(
        self,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        now_s: float,
    ) -> list[Action]:
        """Place a flow for which there is no host to send a lookup to."""
        counters = self._context.counters
        if not self._is_able_to_decide(now_s):
            # The flow may be known to peers that are not yet in the live view.
            counters.drop(DropReason.NOT_READY)
            return []
        slot = self._placer.place(flow_key)
        return self._placer.forward(slot, caller, payload)

    def _add_packet(
        self,
        pending: PendingLookup,
        caller: Endpoint,
        payload: bytes,
    ) -> list[Action]:
        if not add_packet(pending, caller, payload):
            self._context.counters.drop(DropReason.LOOKUP_QUEUE_FULL)
        return []

    def _on_empty_reply(
        self,
        pending: PendingLookup,
        host: str,
        now_s: float,
    ) -> list[Action]:
        """Continue a lookup without a host that could not resolve the flow."""
        pending.rule_out(host, now_s)
        if pending.second_owner_slot is not None or pending.is_exhausted():
            return self._finish_without_first_owner(pending, now_s)
        if pending.kind is LookupKind.POLL:
            return []
        self._context.counters.retry(RetryReason.OWNER_WARMING)
        return self._send_lookups(pending)

    def _finish_without_first_owner(
        self,
        pending: PendingLookup,
        now_s: float,
    ) -> list[Action]:
        """Finish a lookup without a backend server from the first owner.

        If the second owner gave none either, poll all peers, unless this is a
        poll already. A poll finds the flows that a silent owner has placed,
        because the peers that it answered know them.
        """
        if pending.second_owner_slot is not None:
            return self._finish(pending, pending.second_owner_slot, now_s)
        if pending.kind is not LookupKind.POLL:
            self._context.counters.count(Count.FLOWS_DECIDED_ALONE)
            others = sorted(self._context.peers.others)
            pending.restart(others, LookupKind.POLL, now_s)
            return self._send_lookups(pending)
        return self._finish(pending, None, now_s)

    def _finish(
        self,
        pending: PendingLookup,
        answer: int | None,
        now_s: float,
    ) -> list[Action]:
        """Forward the waiting packets and answer the waiting peers.

        A balancer that has just started, or resumes after a pause, does not
        decide alone: without an ``answer`` it drops the packets.
        """
        flow_key = pending.flow_key
        self._lookups.finish(flow_key)
        slot = self._placer.find(flow_key)
        if slot == NO_SLOT and answer is not None:
            slot = answer
            self._placer.record(flow_key, slot, is_framed=False)
        elif slot == NO_SLOT and self._is_able_to_decide(now_s):
            slot = self._placer.place(flow_key)
        actions: list[Action] = []
        for caller, payload in pending.packets:
            if slot == NO_SLOT:
                self._context.counters.drop(DropReason.NOT_READY)
                continue
            actions.extend(self._placer.forward(slot, caller, payload))
        for requester in sorted(pending.requesters):
            actions.extend(self._reply(requester, flow_key, slot))
        return actions

    def _send_lookups(self, pending: PendingLookup) -> list[Action]:
        lookup = Lookup(
            self._context.host_id,
            self._placer.service_id,
            pending.flow_key,
            pending.kind is LookupKind.POLL,
        )
        return [self._to_peer(host, lookup) for host in pending.targets()]

    def _reply(self, host: str, flow_key: int, slot: int) -> list[Action]:
        backend_id = (
            '' if slot == NO_SLOT else self._placer.backends.backend_id_of(slot)
        )
        reply = LookupReply(
            self._context.host_id,
            self._placer.service_id,
            flow_key,
            backend_id,
        )
        self._context.counters.count(Count.FLOWS_ANSWERED)
        return [self._to_peer(host, reply)]

    def _to_peer(self, host: str, message: Message) -> Action:
        payload = seal(message, self._context.peer_key)
        self._context.counters.count(Count.CONTROL_SENT_BYTES, len(payload))
        return SendToPeer(host, payload)
