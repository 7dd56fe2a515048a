"""Builds the handovers of exceptions to the peers that own them."""

import dataclasses
import random
from collections.abc import Callable, Mapping

import numpy as np

from currantshore.internal.counters import Counters
from currantshore.internal.flows.backends import BackendSlots
from currantshore.internal.flows.change import NO_VERSION
from currantshore.internal.flows.exceptions import as_arrays, pack, unpack
from currantshore.internal.flows.flowpeers import PeerChange, Peers
from currantshore.internal.flows.handovers import (
    Handover,
    HandoverLedger,
    SettledNotices,
)
from currantshore.internal.flows.placement import Mask, Numbers, Slots
from currantshore.internal.views import BackendHealth


@dataclasses.dataclass(frozen=True, slots=True)
class PlaneContext:
    """State that all services of one balancer share."""

    host_id: str
    peer_key: bytes
    counters: Counters
    peers: Peers
    ledger: HandoverLedger
    settled_notices: SettledNotices
    health: BackendHealth
    rng: random.Random


class HandoverBuilder:
    """Groups the exceptions of one service by owner and encodes them."""

    __slots__ = ('_backends', '_context', '_service_id')

    def __init__(
        self,
        service_id: str,
        context: PlaneContext,
        backends: BackendSlots,
    ) -> None:
        """Initialize; handovers hold the ids of ``backends``, not slots."""
        self._service_id = service_id
        self._context = context
        self._backends = backends

    def to_owners(
        self,
        flows: Mapping[int, int],
        rank: int,
        change: PeerChange | None,
        *,
        is_blocking: bool = True,
    ) -> list[Handover]:
        """Return the handovers of ``flows`` to first or second owners.

        ``rank`` is 0 for first owners, 1 for second owners. With a ``change``
        of the live balancers, a host does not receive the flows of which it
        was the first or second owner before the change.
        """
        handovers: list[Handover] = []
        if not flows:
            return handovers
        owners = self._context.peers.owners
        keys, slots = as_arrays(flows)
        for host in owners.hosts:
            mask = owners.owned_by(host, rank, keys)
            if change is not None:
                mask = mask & ~change.is_former_owner(host, keys)
            if host == self._context.host_id or not mask.any():
                continue
            selected = _apply_mask(keys, slots, mask)
            handovers.append(self.handover(host, selected, is_blocking))
        return handovers

    def handover(
        self,
        host: str,
        flows: Mapping[int, int],
        is_blocking: bool,
    ) -> Handover:
        """Return the handover of ``flows`` to one host."""
        return Handover(
            host_id=host,
            service_id=self._service_id,
            flows=self.encoded(flows),
            settled_version=NO_VERSION,
            is_blocking=is_blocking,
        )

    def select(
        self,
        flows: Mapping[int, int],
        is_owner: Callable[[str, Numbers], Mask],
    ) -> dict[int, int]:
        """Return the flows that this balancer owns by ``is_owner``."""
        keys, slots = as_arrays(flows)
        return _apply_mask(keys, slots, is_owner(self._context.host_id, keys))

    def encoded(self, flows: Mapping[int, int]) -> dict[str, bytes]:
        """Return the packed fingerprints by backend id."""
        keys, slots = as_arrays(flows)
        return {
            self._backends.backend_id_of(int(slot)): pack(keys[slots == slot])
            for slot in np.unique(slots)
        }

    def decoded(self, flows: Mapping[str, bytes]) -> dict[int, int]:
        """Return the slots by fingerprint."""
        return {
            fingerprint: self._backends.reserve(backend_id)
            for backend_id, packed in flows.items()
            for fingerprint in unpack(packed)
        }


def _apply_mask(keys: Numbers, slots: Slots, mask: Mask) -> dict[int, int]:
    chosen_keys = keys[mask].tolist()
    return dict(zip(chosen_keys, slots[mask].tolist(), strict=True))
