"""Merges heartbeats into the set of live hosts of a pool."""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.internal import peerwire
from currantshore.internal.members import packing
from currantshore.internal.members.roster import Member
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.views import LiveView, PeerView

FAILURE_TIMEOUT_S: Final = 2.0
# Gossip may be ahead of a host's own heartbeat by this many counter steps.
_MAX_LEAD: Final = 8
# Two processes with the same host id raise their incarnations in turn; this
# limits how often.
_MAX_RAISES: Final = 3
MAX_INCARNATION: Final = 2**62
# Peers identify hosts by their places in the pool version that they have, so
# the lists of the last versions are kept.
_MAX_PLACE_LISTS: Final = 4


class LiveSet:
    """Members of the pool, merged from heartbeats, and the live view.

    ``members`` are the other hosts; ``own`` is this host. ``is_urgent`` is set
    when a change of this host's status should be sent to peers at once;
    ``MembershipPlane`` clears it.
    """

    __slots__ = (
        '_by_key',
        '_missing_hosts',
        '_places',
        '_raises',
        '_view',
        'is_urgent',
        'members',
        'own',
    )

    def __init__(self, own: Member) -> None:
        """Initialize with this host only."""
        self.own = own
        self.members: dict[str, Member] = {}
        self.is_urgent = False
        self._by_key: dict[int, Member] = {}
        self._places: dict[int, list[str]] = {}
        self._missing_hosts: frozenset[str] = frozenset()
        self._raises = 0
        self._view: LiveView | None = None

    def mark_own_change(self) -> None:
        """Mark the view as outdated and this host's status as urgent."""
        self.is_urgent = True
        self._view = None

    def set_platform_hosts(self, host_ids: Iterable[str]) -> None:
        """Use a shorter timeout for hosts missing from ``host_ids``."""
        self._missing_hosts = frozenset(self.members) - set(host_ids)

    def view(self) -> LiveView:
        """Return the live hosts; the same object until something changes."""
        if self._view is None:
            live = [self.own]
            live.extend(
                member for member in self.members.values() if member.is_live
            )
            self._view = LiveView(
                self_id=self.own.host_id,
                peers={peer.host_id: _peer_view(peer) for peer in live},
                configuration_digest=self.own.digest,
            )
        return self._view

    def set_pool(self, pool: PoolSnapshot) -> list[Member]:
        """Apply the hosts of ``pool``; return them in the order of places."""
        declared = {
            host.host_id: host.zone
            for host in pool.members.hosts
            if host.host_id != self.own.host_id
        }
        self.members = {
            host_id: self.members.get(host_id) or Member(host_id, zone)
            for host_id, zone in declared.items()
        }
        self._by_key = {member.key: member for member in self.members.values()}
        names = sorted({*declared, self.own.host_id})
        version = pool.members.version
        self._places[packing.version_tag(version)] = names
        if len(self._places) > _MAX_PLACE_LISTS:
            self._places.pop(next(iter(self._places)))
        return [self.members.get(name, self.own) for name in names]

    def on_same_host_id(self, heartbeat: peerwire.Heartbeat) -> None:
        """Handle a heartbeat of another process with this host's id."""
        if heartbeat.incarnation != self.own.incarnation:
            self._raise_incarnation(heartbeat.incarnation)

    def merge(
        self,
        heartbeat: peerwire.Heartbeat,
        now_s: float,
    ) -> Member | None:
        """Merge a peer's heartbeat; return the peer if it is a member."""
        self._merge_counters(heartbeat.counters, now_s)
        sender = self.members.get(heartbeat.sender)
        if sender is not None and self._is_current(sender, heartbeat):
            self._merge_status(sender, heartbeat)
            self._merge_packed(heartbeat, now_s)
        return sender

    def expire_members(self, now_s: float) -> None:
        """Expire the members whose last rise is older than the timeout."""
        for member in self.members.values():
            age_s = now_s - member.last_rise_s
            if member.is_live and age_s > self._timeout_s(member):
                member.apply_event('timeout')
                self._view = None

    def extend_timeouts(self, duration_s: float) -> None:
        """Extend the timeouts of live members by a pause of this process.

        The peers' heartbeats from the pause are lost or still queued, so an
        old heartbeat is no sign of a dead peer.
        """
        for member in self.members.values():
            if member.is_live:
                member.last_rise_s += duration_s

    def _raise_incarnation(self, incarnation: int) -> None:
        """Raise the own incarnation above that of an earlier process.

        The earlier process had a later start time because the clock went back.
        Only the host itself raises its incarnation, at most ``_MAX_RAISES``
        times per process, so the raising ends.
        """
        if incarnation < self.own.incarnation or self._raises >= _MAX_RAISES:
            return
        if incarnation >= MAX_INCARNATION:
            return
        self._raises += 1
        self.own.incarnation = incarnation + 1
        self.mark_own_change()

    def _merge_counters(
        self,
        counters: Mapping[int, tuple[int, int]],
        now_s: float,
    ) -> None:
        for key, (incarnation, counter) in counters.items():
            if key == self.own.key:
                self._check_own_counter(incarnation, counter)
            elif incarnation < MAX_INCARNATION:
                self._merge_counter(key, incarnation, counter, now_s)

    def _check_own_counter(self, incarnation: int, counter: int) -> None:
        newest = (self.own.incarnation, self.own.counter)
        if (incarnation, counter) > newest:
            self._raise_incarnation(incarnation)

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
        member.update_counter(incarnation, counter, now_s)
        if before != (member.incarnation, member.state):
            self._view = None

    def _is_current(
        self,
        sender: Member,
        heartbeat: peerwire.Heartbeat,
    ) -> bool:
        """Accept a heartbeat if it is newer than the last from its sender.

        Records its counter then; returns ``False`` for an old or repeated
        datagram.
        """
        record = heartbeat.counters.get(sender.key)
        if record is None or heartbeat.incarnation != sender.incarnation:
            return False
        if record[1] <= sender.status_counter:
            return False
        sender.status_counter = record[1]
        if record[1] < sender.counter - _MAX_LEAD:
            # A packed record of an earlier process was assigned to this one.
            sender.counter = record[1]
        return True

    def _merge_status(
        self,
        sender: Member,
        heartbeat: peerwire.Heartbeat,
    ) -> None:
        before = _peer_view(sender)
        if heartbeat.is_leaving:
            sender.apply_event('leave')
        sender.is_warm = heartbeat.is_warm
        sender.prepared_digest = heartbeat.prepared_digest
        sender.digest = heartbeat.configuration_digest
        if heartbeat.has_demands:
            sender.demands = heartbeat.demands
            sender.draining = heartbeat.draining
            sender.draining_digest = heartbeat.configuration_digest
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
        # Prepared flags that refer to another configuration are ignored, as
        # they would override the state for this host's configuration.
        is_same = heartbeat.configuration_digest == self.own.digest
        prepared_digest = self.own.digest if is_same else 0
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
        member = self.members.get(host_id)
        if member is None:
            return
        counter = packing.full_counter(member, record)
        if counter is None:
            return
        before = member.state
        member.update_counter(member.incarnation, counter, now_s)
        is_new = packing.merge_flags(member, record, prepared_digest)
        if is_new or member.state != before:
            self._view = None

    def _timeout_s(self, member: Member) -> float:
        if member.host_id in self._missing_hosts:
            return FAILURE_TIMEOUT_S / 2
        return FAILURE_TIMEOUT_S


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
