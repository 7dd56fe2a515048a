"""A stand-in for the fabric: sprays, loses, repeats and reorders packets."""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Final, TypeAlias

from currantshore.wire import Endpoint

Send: TypeAlias = Callable[[bytes, Endpoint], None]

# Longer than the gap between two packets of a flow, so that they swap places.
_REORDER_DELAY_S: Final = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """How often a packet is lost, repeated or delayed; each from 0 to 1."""

    loss_ratio: float = 0
    duplicate_ratio: float = 0
    reorder_ratio: float = 0


class Fabric:
    """Delivers each packet of a flow to any balancer, by a seeded choice.

    ``routes`` maps a service to its address on each balancer by host id. A
    host that was withdrawn gets no more packets.
    """

    __slots__ = ('_faults', '_rng', '_routes', 'counts')

    def __init__(
        self,
        routes: Mapping[str, Mapping[str, Endpoint]],
        faults: Faults,
        seed: int,
    ) -> None:
        """Spray over ``routes`` with ``faults``."""
        self._routes = {service: dict(one) for service, one in routes.items()}
        self._faults = faults
        self._rng = random.Random(seed)
        self.counts: Counter[str] = Counter()

    def withdraw(self, host_id: str) -> None:
        """Send no more packets to a host."""
        for route in self._routes.values():
            route.pop(host_id, None)

    def restore(self, host_id: str, addresses: Mapping[str, Endpoint]) -> None:
        """Send packets to a host again."""
        for service_id, address in addresses.items():
            self._routes[service_id][host_id] = address

    def addresses(self, service_id: str) -> Sequence[Endpoint]:
        """Return where the service's packets go now."""
        return list(self._routes[service_id].values())

    def spray(self, service_id: str, payload: bytes, send: Send) -> None:
        """Send ``payload`` to a random balancer, or lose or repeat it."""
        for _ in range(self._copies()):
            target = self._rng.choice(self.addresses(service_id))
            if self._happens(self._faults.reorder_ratio):
                self.counts['reordered'] += 1
                loop = asyncio.get_running_loop()
                loop.call_later(_REORDER_DELAY_S, send, payload, target)
            else:
                send(payload, target)

    def delivers(self) -> bool:
        """Tell whether a packet on its way back arrives."""
        is_lost = self._happens(self._faults.loss_ratio)
        self.counts['lost'] += is_lost
        return not is_lost

    def _copies(self) -> int:
        self.counts['sprayed'] += 1
        if self._happens(self._faults.loss_ratio):
            self.counts['lost'] += 1
            return 0
        if self._happens(self._faults.duplicate_ratio):
            self.counts['duplicated'] += 1
            return 2
        return 1

    def _happens(self, ratio: float) -> bool:
        return ratio > 0 and self._rng.random() < ratio
