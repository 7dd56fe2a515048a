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
from currantshore.internal import configuration, hashing, packing, peerwire
from currantshore.internal.counters import Count, Counters
from currantshore.internal.events import Action, FetchConfiguration, SendToPeer
from currantshore.internal.fetching import ConfigurationFetcher
from currantshore.internal.heartbeats import HeartbeatBuilder
from currantshore.internal.roster import Member
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.views import LiveView, PeerView

HEARTBEAT_INTERVAL_S: Final = 0.5
FAILURE_TIMEOUT_S: Final = 2.0
# Up to this size of the pool a heartbeat goes to every peer.
_MAX_FULL_MESH_HOSTS: Final = 7
_FANOUT: Final = 3
# Leaves time for three questions before the timeout; asking sooner costs more
# datagrams, because gossip alone often takes a second.
_QUERY_AFTER_S: Final = 1.25
_QUERY_INTERVAL_S: Final = 0.25
_MAX_QUERIES_PER_TICK: Final = 2
# A new process asks declared hosts that have not answered its announcement;
# gossip alone takes half a minute to bring the incarnation of one of 64 hosts.
_SEARCH_INTERVAL_S: Final = 0.5
_MAX_SEARCHES: Final = 4
# Counters that a peer may lag behind in the normal course of gossip.
_NORMAL_LAG: Final = 2
# Counters that gossip may be ahead of a heartbeat that comes directly.
_MAX_LEAD: Final = 8
# An urgent heartbeat follows the one before it no sooner than this.
_URGENT_INTERVAL_S: Final = 0.1
# A gap between ticks from which on this process counts as having been paused.
_PAUSE_S: Final = 1.0
_MAX_LEAVE_NOTICES_PER_TICK: Final = 16
# Ends the race of two processes that were started with the same host id.
_MAX_RAISES: Final = 3
_MAX_INCARNATION: Final = 2**62
_WATCHERS_PER_ZONE: Final = 2
# Peers name hosts by their places in the pool version that they hold.
_MAX_PLACE_LISTS: Final = 4
# Demands are repeated this often, and sent at once when they change much.
_DEMAND_INTERVAL_S: Final = 2.0
_MUCH_RATIO: Final = 0.25


class MembershipPlane:
    """Heartbeats, the live set and the fetching of configuration."""

    __slots__ = (
        '_builder',
        '_by_key',
        '_counters',
        '_demands_due_s',
        '_fetcher',
        '_last_beat_s',
        '_last_tick_s',
        '_members',
        '_next_beat_s',
        '_notices',
        '_own',
        '_places',
        '_platform_missing',
        '_pool',
        '_raises',
        '_rng',
        '_sent_demands',
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
        self._places: dict[int, list[str]] = {}
        self._platform_missing: frozenset[str] = frozenset()
        self._notices: list[str] = []
        self._view: LiveView | None = None
        self._last_tick_s: float | None = None
        self._last_beat_s = float('-inf')
        self._next_beat_s = float('-inf')
        self._urgent = False
        self._sent_demands: dict[str, int] = {}
        self._demands_due_s = float('-inf')
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

    @property
    def held(self) -> PoolSnapshot | None:
        """Return the configuration held, or None."""
        return self._pool

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
        self._fetcher.hold(self._own.digest)
        is_first = not self._members
        self._index_members(merged)
        if is_first:
            # Peers learn of a new process, and answer, without gossip.
            self._notices = sorted(self._members)
            for member in self._members.values():
                member.queried_s = now_s
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
        names = sorted({*declared, self._own.host_id})
        version = pool.members.version
        self._places[packing.version_tag(version)] = names
        if len(self._places) > _MAX_PLACE_LISTS:
            self._places.pop(next(iter(self._places)))
        in_order = [self._members.get(name, self._own) for name in names]
        self._builder.use_places(in_order, version)

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
        if stated[1] < sender.counter - _MAX_LEAD:
            # A packed record of an earlier process was read as this one's.
            sender.counter = stated[1]
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
        if heartbeat.has_demands:
            sender.demands = heartbeat.demands
        sender.successor = heartbeat.successor
        if _peer_view(sender) != before:
            self._view = None

    def _merge_packed(
        self,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> None:
        header = packing.read_header(heartbeat.members)
        if header is None or header.version not in self._places:
            return
        places = self._places[header.version]
        # Flags about another configuration would undo what is known of ours.
        is_same = heartbeat.configuration_digest == self._own.digest
        prepared_digest = self._own.digest if is_same else 0
        for record in packing.unpack(heartbeat.members, header):
            if record.place < len(places):
                host_id = places[record.place]
                self._merge_record(host_id, record, prepared_digest, now_s)

    def _merge_record(
        self,
        host_id: str,
        record: packing.Record,
        prepared_digest: int,
        now_s: float,
    ) -> None:
        member = self._members.get(host_id)
        if member is None:
            return
        counter = packing.full_counter(member, record)
        if counter is None:
            return
        before = member.state
        member.rise(member.incarnation, counter, now_s)
        is_new = packing.merge_flags(member, record, prepared_digest)
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
        # A host that is late in one counter is often late in others.
        self._builder.start_beat(self._own, now_s)
        return [self._send(sender, now_s, has_block=True)]

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
        self._builder.start_beat(self._own, now_s)
        peers = list(self._members.values())
        if len(peers) < _MAX_FULL_MESH_HOSTS:
            has_demands = self._are_demands_due(now_s)
            return [
                self._send(peer, now_s, has_block=True, has_demands=has_demands)
                for peer in peers
            ]
        return self._beat_to_some(peers, now_s)

    def _beat_to_some(self, peers: list[Member], now_s: float) -> list[Action]:
        """Send liveness to two targets and demands to a third.

        Both to all three would take more than the control budget. The first
        is the next live host by name, so that each host hears from at least
        one peer in every interval; the others are random.
        """
        following = self._following(peers)
        others = [peer for peer in peers if peer is not following]
        second, third = self._rng.sample(others, _FANOUT - 1)
        return [
            self._send(following, now_s, has_block=True),
            self._send(second, now_s, has_block=True),
            self._send(third, now_s, has_demands=True),
        ]

    def _following(self, peers: list[Member]) -> Member:
        """Return the live peer after this host by name, around the ring."""
        live = [peer for peer in peers if peer.is_live] or peers
        after = [peer for peer in live if peer.host_id > self._own.host_id]
        return min(after or live, key=_host_id)

    def _queries(self, now_s: float) -> list[Action]:
        late = [
            member
            for member in self._members.values()
            if _is_question_due(member, now_s)
        ]
        late.sort(key=_last_rise_s)
        asked = late[:_MAX_QUERIES_PER_TICK]
        for member in asked:
            member.queried_s = now_s
            member.search_count += not member.is_live
        return [self._send(target, now_s) for target in asked]

    def _send_notices(self, now_s: float) -> list[Action]:
        now_due = self._notices[:_MAX_LEAVE_NOTICES_PER_TICK]
        self._notices = self._notices[_MAX_LEAVE_NOTICES_PER_TICK:]
        if now_due:
            self._own.counter += 1
        targets = [self._members.get(host_id) for host_id in now_due]
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
            self._own,
            target,
            shows_target=_is_late(target, now_s),
            has_block=has_block,
            has_demands=has_demands,
        )
        self._counters.count(Count.CONTROL_SENT_BYTES, len(payload))
        return SendToPeer(target.host_id, payload)

    def _are_demands_due(self, now_s: float) -> bool:
        is_due = now_s >= self._demands_due_s
        if is_due or _differ_much(self._own.demands, self._sent_demands):
            self._sent_demands = self._own.demands
            self._demands_due_s = now_s + _DEMAND_INTERVAL_S
            return True
        return False

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


def _host_id(member: Member) -> str:
    return member.host_id


def _last_rise_s(member: Member) -> float:
    return member.last_rise_s


def _is_late(member: Member, now_s: float) -> bool:
    return now_s - member.last_rise_s > _QUERY_AFTER_S


def _differ_much(now: Mapping[str, int], sent: Mapping[str, int]) -> bool:
    return any(
        abs(now.get(name, 0) - sent.get(name, 0))
        > _MUCH_RATIO * sent.get(name, 0)
        for name in now.keys() | sent.keys()
    )


def _is_question_due(member: Member, now_s: float) -> bool:
    if member.is_live:
        is_due = now_s - member.queried_s > _QUERY_INTERVAL_S
        return is_due and _is_late(member, now_s)
    if member.incarnation >= 0 or member.search_count >= _MAX_SEARCHES:
        return False
    return now_s - member.queried_s > _SEARCH_INTERVAL_S
