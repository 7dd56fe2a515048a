"""Forwards a batch of opaque packets of known flows.

Most packets belong to known flows and need no decision. For those, this path
does the same as ``CallerIntake.handle`` and ``FlowPlane.on_payload``, but
without an event and a list of actions for each packet.
"""

from typing import Final, TypeAlias

import msgspec
import xxhash

from currantshore.internal.counters import Count, Counters
from currantshore.internal.flows.flowtable import FINGERPRINT_MASK, slot_of
from currantshore.internal.flows.placing import FlowPlacer
from currantshore.wire import (
    FRAME_MARK,
    MAX_DATAGRAM_SIZE_BYTES,
    Endpoint,
    Forwarded,
)

Address: TypeAlias = tuple[str, int]
Packets: TypeAlias = list[tuple[bytes, Address]]

_MARK_SIZE: Final = len(FRAME_MARK)
_encode = msgspec.msgpack.Encoder().encode
_digest = xxhash.xxh3_64_intdigest


def forward_known(
    placer: FlowPlacer,
    batch: Packets,
    counters: Counters,
) -> tuple[Packets, Packets]:
    """Return the (payload, backend server) pairs to send, and the remainder.

    The remainder holds the datagrams that are framed, oversized or of a flow
    that is not in the current generation, and those whose backend server
    cannot be used. Whether a flow is known does not change within a batch, so
    its datagrams keep their order, apart from framed and oversized ones.
    """
    service_id = placer.service_id
    targets = _Targets(placer)
    sends: Packets = []
    rest: Packets = []
    for packet in batch:
        payload, source = packet
        # The same key as hashing.flow_key, inlined to save a call.
        name = f'{service_id}|{source[0]}|{source[1]}'.encode()
        target = targets.find(_digest(name) & FINGERPRINT_MASK)
        if target is None or _needs_decision(payload):
            rest.append(packet)
        else:
            message = Forwarded(service_id, Endpoint(*source), payload)
            sends.append((FRAME_MARK + _encode(message), target))
    counters.counts[Count.PACKETS_FORWARDED] += len(sends)
    return sends, rest


def _needs_decision(payload: bytes) -> bool:
    is_framed = payload[:_MARK_SIZE] == FRAME_MARK
    return is_framed or len(payload) > MAX_DATAGRAM_SIZE_BYTES


class _Targets:
    """Finds the backend server of a flow; resolves each server only once."""

    __slots__ = ('_by_entry', '_known', '_placer')

    def __init__(self, placer: FlowPlacer) -> None:
        self._placer = placer
        self._known = placer.known.current
        self._by_entry: dict[int, Address | None] = {}

    def find(self, fingerprint: int) -> Address | None:
        entry = self._known.get(fingerprint)
        if entry is None:
            return None
        if entry not in self._by_entry:
            self._by_entry[entry] = self._resolve(entry)
        return self._by_entry[entry]

    def _resolve(self, entry: int) -> Address | None:
        backends = self._placer.backends
        slot = slot_of(entry)
        if not backends.is_usable(slot):
            return None
        endpoint = backends.endpoint(slot)
        return None if endpoint is None else (endpoint.host, endpoint.port)
