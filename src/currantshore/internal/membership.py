"""Live set of a pool by gossiped heartbeat counters.

The counters follow van Renesse, Minsky and Hayden, "A gossip-style failure
detection service" (1998): a host is live while its counter rises. A host whose
counter is late is asked directly before it is given up, as in Das, Gupta and
Motivala, "SWIM" (2002), because at 64 hosts random gossip alone leaves gaps
above the failure timeout every few seconds.
"""

import random
from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.codes import RetryReason
from currantshore.errors import InvalidArgumentError
from currantshore.internal import configuration, hashing, peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, FetchConfiguration, SendToPeer
from currantshore.internal.fetching import ConfigurationFetcher
from currantshore.internal.heartbeats import HeartbeatBuilder
from currantshore.internal.roster import (
    Member,
    full_counter,
    host_tag,
    merge_flags,
    unpack,
)
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.views import LiveView, PeerView

HEARTBEAT_INTERVAL_S: Final = 0.5
FAILURE_TIMEOUT_S: Final = 2.0
# Up to this size of the pool a heartbeat goes to every peer.
_MAX_FULL_MESH_HOSTS: Final = 7
_FANOUT: Final = 3
# Leaves time for a question and an answer, each lost once, before the timeout.
_QUERY_AFTER_S: Final = 1.1
_QUERY_INTERVAL_S: Final = 0.4
_MAX_QUERIES_PER_TICK: Final = 2
# Counters that a peer may lag behind in the normal course of gossip.
_NORMAL_LAG: Final = 2
# An urgent heartbeat follows the one before it no sooner than this.
_URGENT_INTERVAL_S: Final = 0.1
# A gap between ticks from which on this process counts as having been paused.
_PAUSE_S: Final = 1.0
_MAX_LEAVE_NOTICES_PER_TICK: Final = 16
# Ends the race of two processes that were started with the same host id.
_MAX_RAISES: Final = 3
_MAX_INCARNATION: Final = 2**62
_WATCHERS_PER_ZONE: Final = 2


class MembershipPlane:
    """Heartbeats, the live set and the fetching of configuration."""

    __slots__ = (
        '_builder',
        '_by_key',
        '_by_tag',
        '_counters',
        '_fetcher',
        '_last_beat_s',
        '_last_tick_s',
        '_members',
        '_next_beat_s',
        '_notices',
        '_own',
        '_platform_missing',
        '_pool',
        '_raises',
        '_rng',
        '_urgent',
        '_view',
        'pause_count',
    )

    def __init__(
        self,
        own: Member,
        counters: Counters,
        builder: HeartbeatBuilder,
        rng: random.Random,
    ) -> None:
        """Use ``from_config``."""
        self._own = own
        self._counters = counters
        self._builder = builder
        self._rng = rng
        self._fetcher = ConfigurationFetcher(rng)
        self._pool: PoolSnapshot | None = None
        self._members: dict[str, Member] = {}
        self._by_key: dict[int, Member] = {}
        self._by_tag: dict[int, Member] = {}
        self._platform_missing: frozenset[str] = frozenset()
        self._notices: list[str] = []
        self._view: LiveView | None = None
        self._last_tick_s: float | None = None
        self._last_beat_s = float('-inf')
        self._next_beat_s = float('-inf')
        self._urgent = False
        self._raises = 0
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
        """Build the plane of host ``host_id``.

        ``incarnation`` must be higher for each new process of the host, for
        example its start time in milliseconds. Raises
        ``InvalidArgumentError``.
        """
        if not host_id:
            raise InvalidArgumentError.from_value(
                'host_id',
                host_id,
                'a name that is not empty',
            )
        if not 0 <= incarnation < _MAX_INCARNATION:
            raise InvalidArgumentError.from_value(
                'incarnation',
                incarnation,
                f'a whole number from 0 to {_MAX_INCARNATION - 1}',
            )
        own = Member(host_id, zone)
        own.incarnation = incarnation
        own.counter = 0
        own.move('rise')
        return cls(own, counters, HeartbeatBuilder(peer_key), rng)

    @property
    def incarnation(self) -> int:
        """Return the own incarnation, raised if an older clock ran ahead."""
        return self._own.incarnation

    def is_ready(self) -> bool:
        """Tell whether this node holds any configuration."""
        return self._pool is not None

    def configure(self, pool: PoolSnapshot, now_s: float) -> list[Action]:
        """Take over the objects of ``pool`` that are newer."""
        merged = configuration.merge(self._pool, pool)
        if merged is self._pool:
            return []
        self._pool = merged
        self._counters.count(Count.CONFIGURATION_CHANGES)
        self._own.digest = configuration.digest_of(merged)
        self._fetcher.hold(self._own.digest, now_s)
        self._index_members(merged)
        self._urgent = True
        self._view = None
        return []

    def on_heartbeat(
        self,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> list[Action]:
        """Merge what a peer knows; answer when it has lost sight of us."""
        if heartbeat.sender == self._own.host_id:
            self._note_namesake(heartbeat)
            return []
        digest = heartbeat.configuration_digest
        self._fetcher.withdraw(heartbeat.sender, digest)
        self._fetcher.offer(heartbeat.sender, digest, now_s)
        self._merge_counters(heartbeat.counters, now_s)
        sender = self._members.get(heartbeat.sender)
        if sender is None:
            return []
        if self._is_current(sender, heartbeat):
            self._merge_status(sender, heartbeat)
            self._merge_packed(heartbeat, now_s)
        self._refresh_live(now_s)
        return self._reply(sender, heartbeat, now_s)

    def set_demands(self, demands: Mapping[str, int]) -> None:
        """Publish outstanding and queued requests by service id."""
        self._own.demands = self._builder.busiest(demands)

    def set_prepared(self, is_prepared: bool) -> None:
        """Publish whether the held configuration is prepared here."""
        prepared = self._own.digest if is_prepared else 0
        if not is_prepared and self._own.prepared_digest != self._own.digest:
            return
        if prepared != self._own.prepared_digest:
            self._own.prepared_digest = prepared
            self._note_own_change()

    def set_warm(self, is_warm: bool) -> None:
        """Publish whether this owner has received the peers' handovers."""
        if is_warm != self._own.is_warm:
            self._own.is_warm = is_warm
            self._note_own_change()

    def set_successor(self, host_id: str) -> None:
        """Publish the host that took over the request ids of this one."""
        if host_id != self._own.successor:
            self._own.successor = host_id
            self._note_own_change()

    def note_platform_hosts(self, host_ids: Iterable[str]) -> None:
        """Take the platform's list of live hosts, which lags.

        A host that is missing from it is given up after half the failure
        timeout without a heartbeat; the list has no other effect.
        """
        self._platform_missing = frozenset(self._members) - set(host_ids)

    def leave(self, now_s: float) -> list[Action]:
        """Announce to every peer that this host is leaving."""
        if self._own.is_leaving:
            return []
        self._own.move('leave')
        self._notices = sorted(self._peer_ids())
        self._note_own_change()
        return self._send_notices(now_s)

    def view(self) -> LiveView:
        """Return the live hosts; the same object until something changes."""
        if self._view is None:
            live = [self._own]
            live.extend(
                member for member in self._members.values() if member.is_live
            )
            self._view = LiveView(
                self_id=self._own.host_id,
                peers={peer.host_id: _peer_view(peer) for peer in live},
                configuration_digest=self._own.digest,
            )
        return self._view

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
        names = self.view().owners() or [self._own.host_id]
        return hashing.ranked(names, 'reporter')[0]

    def tick(self, now_s: float) -> list[Action]:
        """Send due heartbeats and questions; start a due fetch."""
        self._note_pause(now_s)
        self._refresh_live(now_s)
        actions = self._send_notices(now_s)
        if self._is_beat_due(now_s):
            actions.extend(self._beat(now_s))
        actions.extend(self._queries(now_s))
        actions.extend(self._fetch(now_s))
        return actions

    def _index_members(self, pool: PoolSnapshot) -> None:
        declared = {
            host.host_id: host.zone
            for host in pool.members.hosts
            if host.host_id != self._own.host_id
        }
        self._members = {
            host_id: self._members.get(host_id) or Member(host_id, zone)
            for host_id, zone in declared.items()
        }
        self._by_key = {member.key: member for member in self._members.values()}
        self._by_tag = _unambiguous_tags(self._members.values())
        self._by_tag.pop(host_tag(self._own.key), None)

    def _peer_ids(self) -> list[str]:
        return list(self._members)

    def _note_own_change(self) -> None:
        self._urgent = True
        self._view = None

    def _note_namesake(self, heartbeat: peerwire.Heartbeat) -> None:
        if heartbeat.incarnation != self._own.incarnation:
            self._raise_above(heartbeat.incarnation)

    def _raise_above(self, incarnation: int) -> None:
        """Outrank an earlier process whose start time was ahead of ours.

        Terminates because only the host itself raises its incarnation, and
        at most ``_MAX_RAISES`` times in a process.
        """
        if incarnation < self._own.incarnation or self._raises >= _MAX_RAISES:
            return
        if incarnation >= _MAX_INCARNATION:
            return
        self._raises += 1
        self._own.incarnation = incarnation + 1
        self._note_own_change()

    def _merge_counters(
        self,
        counters: Mapping[int, tuple[int, int]],
        now_s: float,
    ) -> None:
        for key, (incarnation, counter) in counters.items():
            if key == self._own.key:
                self._check_own(incarnation, counter)
            elif incarnation < _MAX_INCARNATION:
                self._merge_counter(key, incarnation, counter, now_s)

    def _check_own(self, incarnation: int, counter: int) -> None:
        newest = (self._own.incarnation, self._own.counter)
        if (incarnation, counter) > newest:
            self._raise_above(incarnation)

    def _merge_counter(
        self,
        key: int,
        incarnation: int,
        counter: int,
        now_s: float,
    ) -> None:
        member = self._by_key.get(key)
        if member is None:
            return
        before = (member.incarnation, member.state)
        member.rise(incarnation, counter, now_s)
        if before != (member.incarnation, member.state):
            self._view = None

    def _is_current(
        self,
        sender: Member,
        heartbeat: peerwire.Heartbeat,
    ) -> bool:
        """Tell whether a heartbeat is not an old or repeated datagram."""
        stated = heartbeat.counters.get(sender.key)
        if stated is None or heartbeat.incarnation != sender.incarnation:
            return False
        if stated[1] <= sender.status_counter:
            return False
        sender.status_counter = stated[1]
        return True

    def _merge_status(
        self,
        sender: Member,
        heartbeat: peerwire.Heartbeat,
    ) -> None:
        before = _peer_view(sender)
        if heartbeat.is_leaving:
            sender.move('leave')
        sender.is_warm = heartbeat.is_warm
        sender.prepared_digest = heartbeat.prepared_digest
        sender.digest = heartbeat.configuration_digest
        sender.demands = heartbeat.demands
        sender.successor = heartbeat.successor
        if _peer_view(sender) != before:
            self._view = None

    def _merge_packed(
        self,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> None:
        # Flags about another configuration would undo what is known of ours.
        is_same = heartbeat.configuration_digest == self._own.digest
        prepared_digest = self._own.digest if is_same else 0
        for record in unpack(heartbeat.members):
            member = self._by_tag.get(record.tag)
            if member is None:
                continue
            counter = full_counter(member, record)
            if counter is None:
                continue
            before = member.state
            member.rise(member.incarnation, counter, now_s)
            is_new = merge_flags(member, record, prepared_digest)
            if is_new or member.state != before:
                self._view = None

    def _reply(
        self,
        sender: Member,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> list[Action]:
        known = heartbeat.counters.get(self._own.key)
        if known is None:
            return []
        is_behind = known[0] != self._own.incarnation
        is_behind = is_behind or known[1] < self._own.counter - _NORMAL_LAG
        if not is_behind or now_s - sender.replied_s < _QUERY_INTERVAL_S:
            return []
        sender.replied_s = now_s
        return [self._send(sender, now_s)]

    def _refresh_live(self, now_s: float) -> None:
        for member in self._members.values():
            age_s = now_s - member.last_rise_s
            if member.is_live and age_s > self._timeout_s(member):
                member.move('timeout')
                self._view = None

    def _timeout_s(self, member: Member) -> float:
        if member.host_id in self._platform_missing:
            return FAILURE_TIMEOUT_S / 2
        return FAILURE_TIMEOUT_S

    def _note_pause(self, now_s: float) -> None:
        """Keep the live set over a pause of this process.

        The peers' heartbeats of that time are lost or still queued, so their
        age says nothing; they get the rest of their timeout to be heard.
        """
        previous = self._last_tick_s
        self._last_tick_s = now_s
        if previous is None or now_s - previous < _PAUSE_S:
            return
        self.pause_count += 1
        self._urgent = True
        for member in self._members.values():
            if member.is_live:
                member.last_rise_s += now_s - previous

    def _is_beat_due(self, now_s: float) -> bool:
        if self._urgent:
            return now_s - self._last_beat_s >= _URGENT_INTERVAL_S
        return now_s >= self._next_beat_s

    def _beat(self, now_s: float) -> list[Action]:
        self._own.counter += 1
        self._urgent = False
        self._last_beat_s = now_s
        if self._next_beat_s < now_s - HEARTBEAT_INTERVAL_S:
            self._next_beat_s = now_s
        if now_s >= self._next_beat_s:
            self._next_beat_s += HEARTBEAT_INTERVAL_S
        targets = list(self._members.values())
        if len(targets) >= _MAX_FULL_MESH_HOSTS:
            targets = self._rng.sample(targets, _FANOUT)
        return [self._send(target, now_s) for target in targets]

    def _queries(self, now_s: float) -> list[Action]:
        late = [
            member
            for member in self._members.values()
            if member.is_live and _is_question_due(member, now_s)
        ]
        late.sort(key=_last_rise_s)
        asked = late[:_MAX_QUERIES_PER_TICK]
        for member in asked:
            member.queried_s = now_s
        return [self._send(target, now_s) for target in asked]

    def _send_notices(self, now_s: float) -> list[Action]:
        now_due = self._notices[:_MAX_LEAVE_NOTICES_PER_TICK]
        self._notices = self._notices[_MAX_LEAVE_NOTICES_PER_TICK:]
        if now_due:
            self._own.counter += 1
        return [
            self._send(self._members[host_id], now_s)
            for host_id in now_due
            if host_id in self._members
        ]

    def _send(self, target: Member, now_s: float) -> SendToPeer:
        payload = self._builder.build(
            self._own,
            target,
            self._members.values(),
            now_s,
        )
        self._counters.count(Count.CONTROL_SENT_BYTES, len(payload))
        return SendToPeer(target.host_id, payload)

    def _fetch(self, now_s: float) -> list[Action]:
        chosen = self._fetcher.next_source(now_s)
        if chosen is None:
            return []
        host_id, is_retry = chosen
        if is_retry:
            self._counters.retry(RetryReason.CONFIGURATION_FETCH_FAILED)
        return [FetchConfiguration(host_id)]


def _peer_view(member: Member) -> PeerView:
    return PeerView(
        host_id=member.host_id,
        zone=member.zone,
        incarnation=member.incarnation,
        is_leaving=member.is_leaving,
        is_warm=member.is_warm,
        prepared_digest=member.prepared_digest,
        demands=member.demands,
        successor=member.successor,
    )


def _unambiguous_tags(members: Iterable[Member]) -> dict[int, Member]:
    """Return members by 16-bit tag, without those that share one."""
    by_tag: dict[int, Member] = {}
    shared: set[int] = set()
    for member in members:
        tag = host_tag(member.key)
        if tag in by_tag:
            shared.add(tag)
        by_tag[tag] = member
    for tag in shared:
        by_tag.pop(tag)
    return by_tag


def _last_rise_s(member: Member) -> float:
    return member.last_rise_s


def _is_question_due(member: Member, now_s: float) -> bool:
    if now_s - member.last_rise_s <= _QUERY_AFTER_S:
        return False
    return now_s - member.queried_s > _QUERY_INTERVAL_S
