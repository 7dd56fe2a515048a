"""What the parts of the core know about hosts and backend servers."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """One live balancer of the pool, this one included."""

    host_id: str
    zone: str
    incarnation: int
    is_leaving: bool
    is_warm: bool
    prepared_digest: int
    demands: Mapping[str, int]
    successor: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LiveView:
    """The live balancers by host id, as this balancer sees them.

    ``configuration_digest`` is that of the configuration this balancer holds;
    a peer has prepared it when its ``prepared_digest`` is equal.
    """

    self_id: str
    peers: Mapping[str, PeerView]
    configuration_digest: int

    def owners(self) -> list[str]:
        """Return the hosts that may own flows: live and not leaving."""
        return [
            peer.host_id for peer in self.peers.values() if not peer.is_leaving
        ]


class BackendHealth(Protocol):
    """Verdicts about backend servers; unknown ids count as usable."""

    def is_usable(self, backend_id: str) -> bool:
        """Tell whether packets and requests may be sent to it."""

    def weight_ratio(self, backend_id: str) -> float:
        """Return 1.0, or less during the slow start after a cold start."""

    def record_success(self, backend_id: str, now_s: float) -> None:
        """Note an answer or a downstream packet of a backend server."""

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Note a request that timed out at a backend server."""
