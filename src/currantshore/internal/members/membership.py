"""Maintains the live set of a pool by gossiped heartbeat counters.

The counters follow van Renesse, Minsky and Hayden, "A gossip-style failure
detection service" (1998): a host is live while its counter rises. A host whose
counter is late is probed directly before it expires, as in Das, Gupta and
Motivala, "SWIM" (2002). With 64 hosts, random gossip alone leaves gaps above
the failure timeout every few seconds.
"""

import random
from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.codes import RetryReason
from currantshore.errors import InvalidArgumentError
from currantshore.internal import hashing, peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, FetchConfiguration, SendToPeer
from currantshore.internal.members import configuration
from currantshore.internal.members.fetching import ConfigurationFetcher
from currantshore.internal.members.heartbeats import HeartbeatBuilder
from currantshore.internal.members.liveset import MAX_INCARNATION, LiveSet
from currantshore.internal.members.roster import Member
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.views import LiveView

HEARTBEAT_INTERVAL_S: Final = 0.5
# In a pool of up to this size, a heartbeat is sent to every peer.
_MAX_FULL_MESH_HOSTS: Final = 7
_FANOUT: Final = 3
# Leaves time for three probes before the full failure timeout. Probing earlier
# costs more datagrams, because gossip alone often takes a second.
_PROBE_AFTER_S: Final = 1.25
_PROBE_INTERVAL_S: Final = 0.25
_MAX_PROBES_PER_TICK: Final = 2
# A new process probes declared hosts that have not answered its announcement.
# Gossip alone takes half a minute to deliver the incarnation of one of 64
# hosts.
_FIRST_PROBE_INTERVAL_S: Final = 0.5
_MAX_FIRST_PROBES: Final = 4
# Counter steps by which a peer normally lags behind in gossip.
_NORMAL_LAG: Final = 2
# Minimum time between an urgent heartbeat and the previous one.
_URGENT_INTERVAL_S: Final = 0.1
# This process counts as paused after a gap of at least this between ticks.
_PAUSE_S: Final = 1.0
_MAX_NOTICES_PER_TICK: Final = 16
_WATCHERS_PER_ZONE: Final = 2
# Demands are sent at this interval, and at once after a large change.
_DEMAND_INTERVAL_S: Final = 2.0
_DEMAND_CHANGE_RATIO: Final = 0.25


class MembershipPlane:
    """Heartbeats, the live set and fetching of configuration."""

    __slots__ = (
        '_builder',
        '_counters',
        '_demands_due_s',
        '_fetcher',
        '_last_heartbeat_s',
        '_last_tick_s',
        '_live',
        '_next_heartbeat_s',
        '_notices',
        '_pool',
        '_rng',
        '_sent_demands',
        'pause_count',
    )

    def __init__(
        self,
        own: Member,
        counters: Counters,
        builder: HeartbeatBuilder,
        rng: random.Random,
    ) -> None:
        """Use ``from_config`` instead."""
        self._live = LiveSet(own)
        self._counters = counters
        self._builder = builder
        self._rng = rng
        self._fetcher = ConfigurationFetcher(rng)
        self._pool: PoolSnapshot | None = None
        self._notices: list[str] = []
        self._last_tick_s: float | None = None
        self._last_heartbeat_s = float('-inf')
        self._next_heartbeat_s = float('-inf')
        self._sent_demands: dict[str, int] = {}
        self._demands_due_s = float('-inf')
        self.pause_count = 0

    @classmethod
    def from_config(
        cls,
        host_id: str,
        zone: str,
        incarnation: int,
        counters: Counters,
        peer_key: bytes,
        rng: random.Random,
    ) -> 'MembershipPlane':
        """Return the plane of host ``host_id``.

        ``incarnation`` must be higher for each new process of the host, for
        example its start time in milliseconds. Raises
        ``InvalidArgumentError`` for an empty ``host_id`` and an
        ``incarnation`` out of range.
        """
        if not host_id:
            raise InvalidArgumentError.from_value(
                'host_id',
                host_id,
                'a non-empty name',
            )
        if not 0 <= incarnation < MAX_INCARNATION:
            raise InvalidArgumentError.from_value(
                'incarnation',
                incarnation,
                f'a whole number from 0 to {MAX_INCARNATION - 1}',
            )
        own = Member(host_id, zone)
        own.incarnation = incarnation
        own.counter = 0
        own.apply_event('rise')
        return cls(own, counters, HeartbeatBuilder(peer_key), rng)

    @property
    def incarnation(self) -> int:
        """Incarnation of this process.

        It is raised if an earlier process of the host had a higher one.
        """
        return self._live.own.incarnation

    @property
    def pool(self) -> PoolSnapshot | None:
        """The configuration of this host, or None."""
        return self._pool

    def is_ready(self) -> bool:
        """Return whether this host has a configuration."""
        return self._pool is not None

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Apply the objects of ``pool`` that are newer."""
        merged = configuration.merge(self._pool, pool)
        if merged is self._pool:
            return []
        self._pool = merged
        self._counters.count(Count.CONFIGURATION_CHANGES)
        self._live.own.digest = configuration.digest_of(merged)
        self._fetcher.update_own_digest(self._live.own.digest)
        is_first = not self._live.members
        in_order = self._live.set_pool(merged)
        self._builder.apply_members(in_order, merged.members.version)
        if is_first:
            self._announce(now_s)
        self._live.mark_own_change()
        return []

    def on_heartbeat(
        self,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> list[Action]:
        """Merge a peer's heartbeat; reply if its record of this host is old."""
        if heartbeat.sender == self._live.own.host_id:
            self._live.on_same_host_id(heartbeat)
            return []
        digest = heartbeat.configuration_digest
        self._fetcher.withdraw(heartbeat.sender, digest)
        self._fetcher.offer(heartbeat.sender, digest, now_s)
        sender = self._live.merge(heartbeat, now_s)
        if sender is None:
            return []
        self._live.expire_members(now_s)
        return self._reply(sender, heartbeat, now_s)

    def set_demands(self, demands: Mapping[str, int]) -> None:
        """Publish the outstanding and queued requests by service id."""
        self._live.own.demands = self._builder.select_demands(demands)

    def set_draining(self, draining: Mapping[str, int]) -> None:
        """Publish the number of known flows by draining backend server."""
        own = self._live.own
        own.draining = self._builder.listable_draining(draining)
        own.draining_digest = own.digest

    def draining_of(self, host_id: str) -> dict[str, int] | None:
        """Return the draining flows that a host reported.

        Returns None if the host reported them for another configuration or
        has too many to list. For a host that is no member, returns those of
        this host.
        """
        own = self._live.own
        member = own
        if host_id != own.host_id:
            member = self._live.members.get(host_id, own)
        return member.draining if member.draining_digest == own.digest else None

    def set_prepared(self, is_prepared: bool) -> None:
        """Publish whether the current configuration is prepared here."""
        prepared = self._live.own.digest if is_prepared else 0
        if (
            not is_prepared
            and self._live.own.prepared_digest != self._live.own.digest
        ):
            return
        if prepared != self._live.own.prepared_digest:
            self._live.own.prepared_digest = prepared
            self._live.mark_own_change()

    def set_warm(self, is_warm: bool) -> None:
        """Publish whether this host is warm.

        It is warm when it has received its peers' handovers of the flows that
        it owns.
        """
        if is_warm != self._live.own.is_warm:
            self._live.own.is_warm = is_warm
            self._live.mark_own_change()

    def set_successor(self, host_id: str) -> None:
        """Publish the host to which this one sent its request ids."""
        if host_id != self._live.own.successor:
            self._live.own.successor = host_id
            self._live.mark_own_change()

    def set_platform_hosts(self, host_ids: Iterable[str]) -> None:
        """Apply the platform's list of live hosts, which is delayed.

        A host that is missing from it expires after half the failure timeout
        without a heartbeat. The list has no other effect.
        """
        self._live.set_platform_hosts(host_ids)

    def leave(self, now_s: float) -> list[Action]:
        """Announce to every peer that this host is leaving."""
        if self._live.own.is_leaving:
            return []
        self._live.own.apply_event('leave')
        self._notices = sorted(self._live.members)
        self._live.mark_own_change()
        return self._send_notices(now_s)

    def view(self) -> LiveView:
        """Return the live hosts; the same object until something changes."""
        return self._live.view()

    def watchers(self, zone: str) -> list[str]:
        """Return the live hosts of ``zone`` that watch the platform."""
        names = [
            peer.host_id
            for peer in self.view().peers.values()
            if peer.zone == zone and not peer.is_leaving
        ]
        return hashing.ranked(names, 'watcher', zone)[:_WATCHERS_PER_ZONE]

    def reporter(self) -> str:
        """Return the live host that writes the pool's status object."""
        names = self.view().owners() or [self._live.own.host_id]
        return hashing.ranked(names, 'reporter')[0]

    def tick(self, now_s: float) -> list[Action]:
        """Send due heartbeats and probes; start a due fetch."""
        self._detect_pause(now_s)
        self._live.expire_members(now_s)
        actions = self._send_notices(now_s)
        if self._is_heartbeat_due(now_s):
            actions.extend(self._send_heartbeats(now_s))
        actions.extend(self._send_probes(now_s))
        actions.extend(self._fetch(now_s))
        return actions

    def _announce(self, now_s: float) -> None:
        """Announce a new process to all peers directly, without gossip."""
        self._notices = sorted(self._live.members)
        for member in self._live.members.values():
            member.probed_s = now_s

    def _reply(
        self,
        sender: Member,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> list[Action]:
        known = heartbeat.counters.get(self._live.own.key)
        if known is None:
            return []
        is_behind = known[0] != self._live.own.incarnation
        is_behind = is_behind or known[1] < self._live.own.counter - _NORMAL_LAG
        if not is_behind or now_s - sender.replied_s < _PROBE_INTERVAL_S:
            return []
        sender.replied_s = now_s
        # A host with one old counter often has others, so the reply has all.
        self._builder.start_round(self._live.own, now_s)
        return [self._send(sender, now_s, has_block=True)]

    def _detect_pause(self, now_s: float) -> None:
        previous = self._last_tick_s
        self._last_tick_s = now_s
        if previous is None or now_s - previous < _PAUSE_S:
            return
        self.pause_count += 1
        self._live.is_urgent = True
        self._live.extend_timeouts(now_s - previous)

    def _is_heartbeat_due(self, now_s: float) -> bool:
        if self._live.is_urgent:
            return now_s - self._last_heartbeat_s >= _URGENT_INTERVAL_S
        return now_s >= self._next_heartbeat_s

    def _send_heartbeats(self, now_s: float) -> list[Action]:
        self._live.own.counter += 1
        self._live.is_urgent = False
        self._last_heartbeat_s = now_s
        if self._next_heartbeat_s < now_s - HEARTBEAT_INTERVAL_S:
            self._next_heartbeat_s = now_s
        if now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s += HEARTBEAT_INTERVAL_S
        self._builder.start_round(self._live.own, now_s)
        peers = list(self._live.members.values())
        if len(peers) < _MAX_FULL_MESH_HOSTS:
            has_demands = self._are_demands_due(now_s)
            return [
                self._send(peer, now_s, has_block=True, has_demands=has_demands)
                for peer in peers
            ]
        return self._send_to_some(peers, now_s)

    def _send_to_some(self, peers: list[Member], now_s: float) -> list[Action]:
        """Send liveness to two targets and demands to a third.

        Sending both to all three would exceed the budget for control traffic.
        The first target is the next live host by name, so that each host
        receives a heartbeat from at least one peer in every interval. The
        others are random.
        """
        next_peer = self._next_by_name(peers)
        others = [peer for peer in peers if peer is not next_peer]
        second, third = self._rng.sample(others, _FANOUT - 1)
        return [
            self._send(next_peer, now_s, has_block=True),
            self._send(second, now_s, has_block=True),
            self._send(third, now_s, has_demands=True),
        ]

    def _next_by_name(self, peers: list[Member]) -> Member:
        """Return the next live peer by name; wraps around after the last."""
        live = [peer for peer in peers if peer.is_live] or peers
        after = [peer for peer in live if peer.host_id > self._live.own.host_id]
        return min(after or live, key=_host_id)

    def _send_probes(self, now_s: float) -> list[Action]:
        late = [
            member
            for member in self._live.members.values()
            if _is_probe_due(member, now_s)
        ]
        late.sort(key=_last_rise_s)
        probed = late[:_MAX_PROBES_PER_TICK]
        for member in probed:
            member.probed_s = now_s
            member.first_probe_count += not member.is_live
        return [self._send(target, now_s) for target in probed]

    def _send_notices(self, now_s: float) -> list[Action]:
        now_due = self._notices[:_MAX_NOTICES_PER_TICK]
        self._notices = self._notices[_MAX_NOTICES_PER_TICK:]
        if now_due:
            self._live.own.counter += 1
        targets = [self._live.members.get(host_id) for host_id in now_due]
        return [self._send(known, now_s) for known in targets if known]

    def _send(
        self,
        target: Member,
        now_s: float,
        *,
        has_block: bool = False,
        has_demands: bool = False,
    ) -> Action:
        payload = self._builder.build(
            self._live.own,
            target,
            shows_target=_is_late(target, now_s),
            has_block=has_block,
            has_demands=has_demands,
        )
        self._counters.count(Count.CONTROL_SENT_BYTES, len(payload))
        return SendToPeer(target.host_id, payload)

    def _are_demands_due(self, now_s: float) -> bool:
        is_due = now_s >= self._demands_due_s
        if is_due or _differ_much(self._live.own.demands, self._sent_demands):
            self._sent_demands = self._live.own.demands
            self._demands_due_s = now_s + _DEMAND_INTERVAL_S
            return True
        return False

    def _fetch(self, now_s: float) -> list[Action]:
        chosen = self._fetcher.start_fetch(now_s)
        if chosen is None:
            return []
        host_id, is_retry = chosen
        if is_retry:
            self._counters.retry(RetryReason.CONFIGURATION_FETCH_FAILED)
        return [FetchConfiguration(host_id)]


def _host_id(member: Member) -> str:
    return member.host_id


def _last_rise_s(member: Member) -> float:
    return member.last_rise_s


def _is_late(member: Member, now_s: float) -> bool:
    return now_s - member.last_rise_s > _PROBE_AFTER_S


def _differ_much(now: Mapping[str, int], sent: Mapping[str, int]) -> bool:
    return any(
        abs(now.get(name, 0) - sent.get(name, 0))
        > _DEMAND_CHANGE_RATIO * sent.get(name, 0)
        for name in now.keys() | sent.keys()
    )


def _is_probe_due(member: Member, now_s: float) -> bool:
    if member.is_live:
        is_due = now_s - member.probed_s > _PROBE_INTERVAL_S
        return is_due and _is_late(member, now_s)
    if member.incarnation >= 0 or member.first_probe_count >= _MAX_FIRST_PROBES:
        return False
    return now_s - member.probed_s > _FIRST_PROBE_INTERVAL_S
