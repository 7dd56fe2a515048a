"""Tracks the other balancers of the pool for flow placement."""

import dataclasses
from collections import deque
from typing import Final

import numpy as np

from currantshore.internal.flows.ownership import Owners
from currantshore.internal.flows.placement import Mask, Numbers
from currantshore.internal.views import LiveView

# Number of own configuration digests kept for the comparison with those of
# peers. A peer that lags by more changes than this is treated as one that is
# ahead, which costs only lookups.
_PAST_DIGESTS: Final = 64

# A balancer without a tick for this long was stalled. Its peers may have
# changed the placement meanwhile, so it sends them lookups before it places
# flows.
_STALL_THRESHOLD_S: Final = 1.0

# Two heartbeat intervals: by then, a resumed balancer has received heartbeats
# with newer versions.
_RESUME_GRACE_S: Final = 1.0

# Hosts that are live for this long have received the exceptions of the pool.
_ESTABLISHED_AFTER_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChange:
    """The differences between two live views.

    A restarted host counts as arrived.
    """

    arrived: frozenset[str]
    departed: frozenset[str]
    former_owners: Owners
    is_owner_change: bool
    has_lost_owner: bool

    def is_empty(self) -> bool:
        """Return whether hosts, incarnations and owners are the same."""
        return not (self.arrived or self.departed or self.is_owner_change)

    def ended_hosts(self) -> frozenset[str]:
        """Return the hosts whose former process, if any, has ended."""
        return self.arrived | self.departed

    def is_former_owner(self, host: str, keys: Numbers) -> Mask:
        """Return for each key whether ``host`` already owned it before."""
        if host in self.arrived:
            return np.zeros(len(keys), np.bool_)
        return self.former_owners.is_owner(host, keys)


class Peers:
    """The live balancers, the owners and who is unprepared for a change."""

    __slots__ = (
        '_digests',
        '_first_seen',
        '_grace_until_s',
        '_is_leaving',
        '_last_tick_s',
        'deciders',
        'declared',
        'is_behind',
        'others',
        'owners',
        'self_id',
        'unprepared',
        'view_count',
    )

    def __init__(self, self_id: str) -> None:
        """Initialize without peers."""
        self.self_id = self_id
        # Owners receive exceptions; deciders answer lookups. They differ only
        # on a balancer that leaves: it answers lookups until its peers have
        # received the news that it leaves.
        self.owners = Owners((self_id,))
        self.deciders = self.owners
        self.others: frozenset[str] = frozenset()
        self.unprepared: frozenset[str] = frozenset()
        self.is_behind = False
        # The other hosts that the configuration names.
        self.declared: frozenset[str] = frozenset()
        # Number of live views so far; only a view that is newer than
        # a change shows which peers have prepared it.
        self.view_count = 0
        self._is_leaving = False
        self._first_seen: dict[str, tuple[int, float]] = {}
        self._digests: deque[int] = deque((0,), maxlen=_PAST_DIGESTS)
        self._grace_until_s = float('-inf')
        self._last_tick_s: float | None = None

    def update(self, view: LiveView, now_s: float) -> PeerChange:
        """Apply a live view and return what it changed."""
        self.view_count += 1
        if view.configuration_digest not in self._digests:
            self._digests.append(view.configuration_digest)
        before = self.others
        restarted = self._record_incarnations(view, now_s)
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
        no_hosts: frozenset[str] = frozenset()
        return PeerChange(no_hosts, no_hosts, former, True, True)

    def established_owners(self, now_s: float) -> Owners:
        """Rank the owners that are live long enough to have all exceptions."""
        return Owners(
            host
            for host in self.owners.hosts
            if host == self.self_id
            or now_s - self._first_seen[host][1] >= _ESTABLISHED_AFTER_S
        )

    def has_all_declared(self) -> bool:
        """Return whether every declared host is in the live view."""
        return self.declared <= self.others

    def record_tick(self, now_s: float) -> None:
        """Record the time of a tick and detect a stall of this process."""
        if self._has_tick_gap(now_s):
            self._grace_until_s = now_s + _RESUME_GRACE_S
        self._last_tick_s = now_s

    def is_resuming(self, now_s: float) -> bool:
        """Return whether this process was stalled until a moment ago."""
        return now_s < self._grace_until_s or self._has_tick_gap(now_s)

    def _rank(self, owners: list[str]) -> None:
        hosts = {self.self_id, *owners}
        if self.deciders.hosts != tuple(sorted(hosts)):
            self.deciders = Owners(hosts)
        self.owners = self.deciders
        if self._is_leaving:
            self.owners = Owners(hosts - {self.self_id})

    def _record_incarnations(
        self,
        view: LiveView,
        now_s: float,
    ) -> frozenset[str]:
        restarted = set()
        first_seen = {}
        for host, peer in view.peers.items():
            incarnation, seen_s = self._first_seen.get(
                host,
                (peer.incarnation, now_s),
            )
            if incarnation != peer.incarnation:
                restarted.add(host)
                seen_s = now_s
            first_seen[host] = (peer.incarnation, seen_s)
        self._first_seen = first_seen
        return frozenset(restarted) - {self.self_id}

    def _has_tick_gap(self, now_s: float) -> bool:
        last = self._last_tick_s
        return last is not None and now_s - last > _STALL_THRESHOLD_S
