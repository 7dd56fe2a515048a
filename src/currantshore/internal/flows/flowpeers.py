"""What the flow part knows about the other balancers of its pool."""

import dataclasses
from collections import deque
from typing import Final

import numpy as np

from currantshore.internal.flows.ownership import Owners
from currantshore.internal.flows.placement import Mask, Numbers
from currantshore.internal.views import LiveView

# Own digests to compare with those of peers; a peer further behind than this
# many changes is treated as one that is ahead, which costs lookups only.
_PAST_DIGESTS: Final = 64

# A balancer without a tick for this long was frozen. Its peers may have
# changed the placement without it, so it asks them before it places flows.
_FROZEN_AFTER_S: Final = 1.0

# Two heartbeat intervals: after this time a resumed balancer has heard of
# newer versions.
_RESUME_GRACE_S: Final = 1.0

# Hosts that are live for this long have received the exceptions of the pool.
_ELDER_AFTER_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChange:
    """What a new live view changed; a restarted host has arrived."""

    arrived: frozenset[str]
    departed: frozenset[str]
    former_owners: Owners
    is_owner_change: bool
    has_lost_owner: bool

    def is_empty(self) -> bool:
        """Tell whether the hosts and their incarnations are the same."""
        return not (self.arrived or self.departed or self.is_owner_change)

    def gone(self) -> frozenset[str]:
        """Return the hosts whose process has ended."""
        return self.arrived | self.departed

    def is_former_owner(self, host: str, keys: Numbers) -> Mask:
        """Tell for each key whether ``host`` has owned it until now."""
        if host in self.arrived:
            return np.zeros(len(keys), np.bool_)
        return self.former_owners.is_owner(host, keys)


class Peers:
    """Live balancers, owners and who has prepared the last change."""

    __slots__ = (
        '_digests',
        '_grace_until_s',
        '_is_leaving',
        '_last_tick_s',
        '_since',
        'declared',
        'deciders',
        'is_behind',
        'others',
        'owners',
        'self_id',
        'unprepared',
        'updates',
    )

    def __init__(self, self_id: str) -> None:
        """Start without peers."""
        self.self_id = self_id
        # Owners receive exceptions; deciders answer lookups. They differ on a
        # balancer that leaves: it answers until its peers know that it does.
        self.owners = Owners((self_id,))
        self.deciders = self.owners
        self.others: frozenset[str] = frozenset()
        self.unprepared: frozenset[str] = frozenset()
        self.is_behind = False
        # The other hosts that the configuration names.
        self.declared: frozenset[str] = frozenset()
        # Counts live views; a change commits only on one that came after it.
        self.updates = 0
        self._is_leaving = False
        self._since: dict[str, tuple[int, float]] = {}
        self._digests: deque[int] = deque((0,), maxlen=_PAST_DIGESTS)
        self._grace_until_s = float('-inf')
        self._last_tick_s: float | None = None

    def update(self, view: LiveView, now_s: float) -> PeerChange:
        """Take over a live view."""
        self.updates += 1
        if view.configuration_digest not in self._digests:
            self._digests.append(view.configuration_digest)
        before = self.others
        restarted = self._note_incarnations(view, now_s)
        self.others = frozenset(view.peers) - {self.self_id}
        prepared = {
            host: view.peers[host].prepared_digest for host in self.others
        }
        self.unprepared = frozenset(
            host
            for host, digest in prepared.items()
            if digest != view.configuration_digest
        )
        self.is_behind = not set(self._digests).issuperset(
            prepared.values(),
        )
        former = self.owners
        self._rank(view.owners())
        has_restarted_owner = not restarted.isdisjoint(self.owners.hosts)
        return PeerChange(
            arrived=(self.others - before) | restarted,
            departed=before - self.others,
            former_owners=former,
            is_owner_change=(
                has_restarted_owner or former.hosts != self.owners.hosts
            ),
            has_lost_owner=(
                has_restarted_owner
                or not set(former.hosts).issubset(self.owners.hosts)
            ),
        )

    def leave(self) -> PeerChange:
        """Stop owning flows."""
        former = self.owners
        self._is_leaving = True
        self._rank(list(former.hosts))
        nobody: frozenset[str] = frozenset()
        return PeerChange(nobody, nobody, former, True, True)

    def elders(self, now_s: float) -> Owners:
        """Rank the owners that have been live long enough to know all."""
        return Owners(
            host
            for host in self.owners.hosts
            if host == self.self_id
            or now_s - self._since[host][1] >= _ELDER_AFTER_S
        )

    def has_met_all(self) -> bool:
        """Tell whether every declared host is in the live view."""
        return self.declared <= self.others

    def note_tick(self, now_s: float) -> None:
        """Detect that this process did not run for a while."""
        if self._has_gap(now_s):
            self._grace_until_s = now_s + _RESUME_GRACE_S
        self._last_tick_s = now_s

    def is_frozen(self, now_s: float) -> bool:
        """Tell whether this process was frozen until a moment ago."""
        return now_s < self._grace_until_s or self._has_gap(now_s)

    def _rank(self, owners: list[str]) -> None:
        hosts = {self.self_id, *owners}
        if self.deciders.hosts != tuple(sorted(hosts)):
            self.deciders = Owners(hosts)
        self.owners = self.deciders
        if self._is_leaving:
            self.owners = Owners(hosts - {self.self_id})

    def _note_incarnations(
        self,
        view: LiveView,
        now_s: float,
    ) -> frozenset[str]:
        restarted = set()
        since = {}
        for host, peer in view.peers.items():
            incarnation, seen_s = self._since.get(
                host,
                (peer.incarnation, now_s),
            )
            if incarnation != peer.incarnation:
                restarted.add(host)
                seen_s = now_s
            since[host] = (peer.incarnation, seen_s)
        self._since = since
        return frozenset(restarted) - {self.self_id}

    def _has_gap(self, now_s: float) -> bool:
        last = self._last_tick_s
        return last is not None and now_s - last > _FROZEN_AFTER_S
