"""A stand-in for the fabric: sprays, drops, duplicates, reorders packets."""

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Final, TypeAlias

from currantshore.wire import Endpoint

Send: TypeAlias = Callable[[bytes, Endpoint], None]

# Longer than the gap between two packets of a flow, to change their order.
_REORDER_DELAY_S: Final = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Ratios of packets lost, duplicated or delayed; each from 0 to 1."""

    loss_ratio: float = 0
    duplicate_ratio: float = 0
    reorder_ratio: float = 0


class Fabric:
    """Delivers each packet to a balancer chosen at random from a seed.

    ``routes`` maps a service to its address on each balancer by host id. A
    withdrawn host gets no more packets.
    """

    __slots__ = ('_faults', '_rng', '_routes', 'counts')

    def __init__(
        self,
        routes: Mapping[str, Mapping[str, Endpoint]],
        faults: Faults,
        seed: int,
    ) -> None:
        """Send over ``routes`` with ``faults``."""
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
        """Return the addresses that now get packets of the service."""
        return list(self._routes[service_id].values())

    def spray(self, service_id: str, payload: bytes, send: Send) -> None:
        """Send ``payload`` to a random balancer, or drop or duplicate it."""
        for _ in range(self._draw_copy_count()):
            target = self._rng.choice(self.addresses(service_id))
            if self._draw(self._faults.reorder_ratio):
                self.counts['reordered'] += 1
                loop = asyncio.get_running_loop()
                loop.call_later(_REORDER_DELAY_S, send, payload, target)
            else:
                send(payload, target)

    def delivers(self) -> bool:
        """Return whether a packet from a balancer reaches the caller."""
        is_lost = self._draw(self._faults.loss_ratio)
        self.counts['lost'] += is_lost
        return not is_lost

    def _draw_copy_count(self) -> int:
        self.counts['sprayed'] += 1
        if self._draw(self._faults.loss_ratio):
            self.counts['lost'] += 1
            return 0
        if self._draw(self._faults.duplicate_ratio):
            self.counts['duplicated'] += 1
            return 2
        return 1

    def _draw(self, ratio: float) -> bool:
        return ratio > 0 and self._rng.random() < ratio
