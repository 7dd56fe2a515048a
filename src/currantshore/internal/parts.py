"""Builds the four parts of a balancer's core."""

import dataclasses
import random

from currantshore.internal.counters import Counters
from currantshore.internal.flows.flowplane import FlowPlane
from currantshore.internal.healthchecks.health import HealthPlane
from currantshore.internal.members.membership import MembershipPlane
from currantshore.internal.requests.requestplane import RequestPlane
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.tokens import TokenSealer


@dataclasses.dataclass(frozen=True, slots=True)
class CoreConfig:
    """Settings of one balancer's core.

    ``incarnation`` is higher for each start of the process. ``peer_key`` (1 to
    64 bytes) is the same on every host of the pool.
    """

    host_id: str
    zone: str
    incarnation: int
    peer_key: bytes
    seed: int = 0


class CoreParts:
    """Membership, health, flows and requests with their shared objects."""

    __slots__ = (
        '_config',
        '_incarnation',
        '_rng',
        'counters',
        'flows',
        'health',
        'membership',
        'requests',
        'sealer',
    )

    def __init__(self, config: CoreConfig) -> None:
        """Initialize all parts, without configuration."""
        self._config = config
        self._incarnation = config.incarnation
        self._rng = random.Random(config.seed)
        self.counters = Counters()
        self.sealer = TokenSealer(config.peer_key)
        self.membership = MembershipPlane.from_config(
            config.host_id,
            config.zone,
            config.incarnation,
            self.counters,
            config.peer_key,
            self._rng,
        )
        self.health = HealthPlane.from_config(
            config.host_id, self.counters, config.peer_key, self._rng
        )
        self.flows = FlowPlane.from_config(
            config.host_id,
            self.counters,
            self.sealer,
            config.peer_key,
            config.incarnation,
            self.health,
            self._rng,
        )
        self.requests = self._new_request_plane()

    def update_incarnation(
        self, pool: PoolSnapshot | None, now_s: float
    ) -> None:
        """Replace the request part if membership raised the incarnation.

        Membership raises it if an earlier process of this host had a higher
        one because the host's clock went back. Tokens with the lower
        incarnation may have been issued by that process, so their requests are
        handled like those of a lost executor.
        """
        if self._incarnation == self.membership.incarnation:
            return
        self._incarnation = self.membership.incarnation
        self.flows.use_incarnation(self._incarnation)
        self.requests = self._new_request_plane()
        if pool is not None:
            self.requests.configure(pool, now_s)

    def _new_request_plane(self) -> RequestPlane:
        return RequestPlane.from_config(
            self._config.host_id,
            self._incarnation,
            self.counters,
            self._config.peer_key,
            self.health,
            self._rng,
        )
