"""Views of hosts and backend servers, shared by the parts of the core."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """A live balancer of the pool, possibly this one."""

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

    ``configuration_digest`` is that of this balancer's configuration. A peer
    with an equal ``prepared_digest`` has prepared it.
    """

    self_id: str
    peers: Mapping[str, PeerView]
    configuration_digest: int

    def owners(self) -> list[str]:
        """Return the hosts that may own flows or be executors: not leaving."""
        return [
            peer.host_id for peer in self.peers.values() if not peer.is_leaving
        ]


class BackendHealth(Protocol):
    """Health of backend servers; unknown ids count as usable."""

    def is_usable(self, backend_id: str) -> bool:
        """Return whether packets and requests may be sent to a backend."""

    def weight_ratio(self, backend_id: str) -> float:
        """Return 1.0, or less during the slow start after a cold start."""

    def record_success(self, backend_id: str, now_s: float) -> None:
        """Record an answer or a downstream packet of a backend server."""

    def record_failure(self, backend_id: str, now_s: float) -> None:
        """Record a request that failed at a backend server."""
