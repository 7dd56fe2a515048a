"""Lookups of one service: asking owners and answering as an owner."""

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


class LookupDesk:
    """Decides about unknown flows alone or together with their owners."""

    __slots__ = ('_context', '_lookups', '_placer')

    def __init__(self, placer: FlowPlacer, context: PlaneContext) -> None:
        """Place flows with ``placer``."""
        self._placer = placer
        self._context = context
        self._lookups = LookupQueue()

    def is_idle(self) -> bool:
        """Tell whether no packet waits."""
        return not self._lookups

    def on_packet(
        self,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        now_s: float,
    ) -> list[Action]:
        """Forward a packet of an unknown flow, or let it wait."""
        pending = self._lookups.find(flow_key)
        if pending is not None:
            return self._add_packet(pending, caller, payload)
        if self._is_trusted(flow_key, now_s):
            slot = self._placer.place(flow_key)
            return self._placer.forward(slot, caller, payload)
        kind, hosts = self._plan(flow_key, now_s)
        if not hosts:
            return self._place_and_forward(caller, flow_key, payload, now_s)
        pending = self._lookups.start(flow_key, hosts, kind, now_s)
        if pending is None:
            self._context.counters.drop(DropReason.LOOKUP_QUEUE_FULL)
            return []
        self._context.counters.count(Count.FLOWS_LOOKED_UP)
        return self._add_packet(pending, caller, payload) + self._ask(pending)

    def on_lookup(self, message: Lookup, now_s: float) -> list[Action]:
        """Answer a peer, as an owner of the flow or with what is known."""
        flow_key = message.flow_key
        asker = message.sender
        slot = self._placer.find(flow_key)
        is_lost = slot != NO_SLOT and self._placer.is_lost(slot)
        if message.is_known_only or not (slot == NO_SLOT or is_lost):
            return self._reply(asker, flow_key, NO_SLOT if is_lost else slot)
        if is_lost:
            return self._reply(asker, flow_key, self._placer.replace(flow_key))
        if not self._is_able_to_decide(now_s):
            return self._reply(asker, flow_key, NO_SLOT)
        return self._decide_for(asker, flow_key, now_s)

    def on_lookup_reply(
        self,
        message: LookupReply,
        now_s: float,
    ) -> list[Action]:
        """Forward the packets that waited for this answer."""
        pending = self._lookups.find(message.flow_key)
        if pending is None or message.sender not in pending.candidates:
            self._context.counters.drop(DropReason.REPLY_UNMATCHED)
            return []
        if not message.backend_id:
            return self._on_ignorance(pending, message.sender, now_s)
        slot = self._placer.backends.reserve(message.backend_id)
        if pending.kind is LookupKind.POLL:
            self._placer.note_late(message.flow_key, slot)
        elif message.sender != pending.candidates[0]:
            # The first owner may still answer in this round.
            pending.second_answer = slot
            return []
        return self._finish(pending, slot, now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Go on with lookups that had no answer."""
        actions: list[Action] = []
        for pending in self._lookups.due(now_s):
            pending.next_round(now_s)
            if pending.second_answer is not None or pending.is_over():
                actions.extend(self._conclude(pending, now_s))
                continue
            self._context.counters.retry(RetryReason.LOOKUP_TIMEOUT)
            actions.extend(self._ask(pending))
        return actions

    def _is_trusted(self, flow_key: int, now_s: float) -> bool:
        """Tell whether every balancer places the flow like this one."""
        peers = self._context.peers
        if not (peers.others or peers.declared):
            return True
        if peers.is_behind or peers.is_frozen(now_s):
            return False
        change = self._placer.change
        return change.is_trusted(flow_key) if peers.others else change.is_warm

    def _is_able_to_decide(self, now_s: float) -> bool:
        """Tell whether this balancer can act as an owner."""
        change = self._placer.change
        if self._context.peers.is_frozen(now_s) or not change.is_warm:
            return False
        return change.table_for_unknown() is not None

    def _plan(
        self,
        flow_key: int,
        now_s: float,
    ) -> tuple[LookupKind, list[str]]:
        """Return whom to ask about an unknown flow; nobody means to place it.

        Only the first owner decides while it answers, so that two balancers
        that see a change at different times do not decide differently.
        """
        peers = self._context.peers
        ranked = peers.deciders.ranked(flow_key)
        others = [host for host in ranked if host != peers.self_id]
        if not self._is_able_to_decide(now_s):
            return LookupKind.OWNERS, others
        if ranked[:1] == [peers.self_id]:
            return LookupKind.POLL, self._doubtful_peers()
        if ranked[1:2] == [peers.self_id]:
            return LookupKind.FIRST_OWNER, others[:1]
        return LookupKind.OWNERS, others

    def _doubtful_peers(self) -> list[str]:
        """Return the peers that may know flows they have not handed over."""
        peers = self._context.peers
        change = self._placer.change
        if change.is_doubtful:
            return sorted(peers.others)
        return sorted(peers.unprepared) if change.is_forced else []

    def _decide_for(
        self,
        asker: str,
        flow_key: int,
        now_s: float,
    ) -> list[Action]:
        """Place a flow for a peer, after asking others where needed."""
        pending = self._lookups.find(flow_key)
        if pending is not None:
            pending.askers.add(asker)
            return []
        kind, hosts = self._plan(flow_key, now_s)
        if kind is not LookupKind.POLL:
            # A third balancer leaves the decision to the owners, too.
            kind = LookupKind.RELAY
            hosts = [host for host in hosts if host != asker][:1]
        if kind is LookupKind.RELAY and not hosts:
            # The first owner asks because it cannot decide itself.
            kind = LookupKind.POLL
            hosts = sorted(self._context.peers.others)
        hosts = [host for host in hosts if host != asker]
        if not hosts:
            return self._reply(asker, flow_key, self._placer.place(flow_key))
        pending = self._lookups.start(flow_key, hosts, kind, now_s)
        if pending is None:
            return []
        pending.askers.add(asker)
        return self._ask(pending)

    def _place_and_forward(
        self,
        caller: Endpoint,
        flow_key: int,
        payload: bytes,
        now_s: float,
    ) -> list[Action]:
        """Place a flow that there is nobody to ask about."""
        counters = self._context.counters
        if not self._is_able_to_decide(now_s):
            # Peers that this balancer has not heard of yet may know the flow.
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

    def _on_ignorance(
        self,
        pending: PendingLookup,
        host: str,
        now_s: float,
    ) -> list[Action]:
        """Go on without a host that cannot tell where a flow goes."""
        pending.rule_out(host, now_s)
        if pending.second_answer is not None or pending.is_over():
            return self._conclude(pending, now_s)
        if pending.kind is LookupKind.POLL:
            return []
        self._context.counters.retry(RetryReason.OWNER_WARMING)
        return self._ask(pending)

    def _conclude(
        self,
        pending: PendingLookup,
        now_s: float,
    ) -> list[Action]:
        """End a lookup without an answer of the first owner.

        What a silent owner has placed is known to those that asked it.
        """
        if pending.second_answer is not None:
            return self._finish(pending, pending.second_answer, now_s)
        if pending.kind is not LookupKind.POLL:
            self._context.counters.count(Count.FLOWS_DECIDED_ALONE)
            others = sorted(self._context.peers.others)
            pending.restart(others, LookupKind.POLL, now_s)
            return self._ask(pending)
        return self._finish(pending, None, now_s)

    def _finish(
        self,
        pending: PendingLookup,
        answer: int | None,
        now_s: float,
    ) -> list[Action]:
        """Forward waiting packets and answer waiting peers.

        A balancer that has just started or was frozen does not decide alone.
        """
        flow_key = pending.flow_key
        self._lookups.finish(flow_key)
        slot = self._placer.find(flow_key)
        if slot == NO_SLOT and answer is not None:
            slot = answer
            self._placer.remember(flow_key, slot, is_framed=False)
        elif slot == NO_SLOT and self._is_able_to_decide(now_s):
            slot = self._placer.place(flow_key)
        actions: list[Action] = []
        for caller, payload in pending.packets:
            if slot == NO_SLOT:
                self._context.counters.drop(DropReason.NOT_READY)
                continue
            actions.extend(self._placer.forward(slot, caller, payload))
        for asker in sorted(pending.askers):
            actions.extend(self._reply(asker, flow_key, slot))
        return actions

    def _ask(self, pending: PendingLookup) -> list[Action]:
        lookup = Lookup(
            self._context.host_id,
            self._placer.service_id,
            pending.flow_key,
            pending.kind is LookupKind.POLL,
        )
        return [self._to_peer(host, lookup) for host in pending.targets()]

    def _reply(self, host: str, flow_key: int, slot: int) -> list[Action]:
        backend_id = '' if slot == NO_SLOT else self._placer.backends.name(slot)
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
