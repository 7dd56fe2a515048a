"""Replicate configuration and backend servers between hosts.

A host announces changes by sending its digest to a few others at once (gossip,
after Demers et al., "Epidemic algorithms for replicated database maintenance",
1987); regular digests, two a second, repair losses. The traffic of a host does
not grow with the number of hosts.
"""

import dataclasses
import random
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, Self

import msgspec

from currantshore.internal.mirror.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    News,
    ReceivedHeartbeats,
)
from currantshore.internal.mirror.changelog import ChangeLog
from currantshore.internal.mirror.earlychanges import EarlyChanges
from currantshore.internal.mirror.messages import (
    Changes,
    ChangesRequest,
    Digest,
    Heartbeat,
    Listing,
    Message,
    Neighbour,
    pack_entry,
    unpack_changes,
    unpack_listing,
)
from currantshore.internal.mirror.neighbours import Neighbours
from currantshore.internal.mirror.readerrole import build_role
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    EvacuatedZones,
    RoutingTable,
)
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.mechanisms import NOTHING_OFF, SwitchedOff

# A host forwards a new heartbeat of its zone at once, in its own digest, unless
# it has sent a digest within this time. Thus a heartbeat crosses the zone in
# milliseconds, and each host still sends one digest per heartbeat. A heartbeat
# that changes who reads the store is always forwarded at once.
_RELAY_INTERVAL_S: Final = 0.4

# Interval at which a host asks others for heartbeats that it has missed.
_ASK_INTERVAL_S: Final = 0.2

# A host that sends no heartbeats of its own waits this much longer than the
# heartbeat interval before it sends a digest.
_DIGEST_DELAY_S: Final = 0.25

# Hosts that get each digest. With this fan-out, a change reaches 640 hosts of a
# zone in about five rounds.
_ZONE_TARGETS: Final = 3
_OTHER_ZONE_TARGETS: Final = 1

_REPORTED_NEIGHBOURS: Final = 2

_MILLISECONDS: Final = 1000

# A configuration is fetched from another zone only if no host of this zone has
# reported it within this time: traffic between zones is expensive, and the
# reader of this zone normally has the configuration within milliseconds.
_OTHER_ZONE_FETCH_DELAY_S: Final = 0.5

# A request is repeated, mostly to another host, when no part of its reply has
# arrived for this long: five round trips between zones, or the longest reply
# over a link of 5 Mbit/s.
_REQUEST_RETRY_S: Final = 0.1

# The first of many changes from other hosts is announced at once, later ones
# together at this interval.
_ANNOUNCE_INTERVAL_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorConfig:
    """The host's IP address, zone, bandwidth, start time and seed hosts.

    ``seeds`` are the hosts that get messages while no host is known; ``seed``
    initializes the random number generator.
    """

    host: str
    zone: str
    link_mbit_per_s: int
    started_ms: int
    seeds: tuple[str, ...]
    seed: int
    switched_off: SwitchedOff = NOTHING_OFF


class OutgoingMessage(NamedTuple):
    """A message and the IP address of its recipient."""

    host: str
    message: Message


@dataclasses.dataclass(slots=True)
class MirrorActions:
    """Actions that the core requests from its adapters.

    ``fetch_configuration_from`` and ``fetch_listing_from`` name the host to
    fetch the configuration or the complete list of servers from, which is the
    sender of the handled message; empty for none. ``changed_ids`` are the ids
    of the servers that a message has changed on this host, and
    ``has_changed_zones`` is whether it has changed the evacuated zones.
    """

    outgoing: list[OutgoingMessage] = dataclasses.field(default_factory=list)
    fetch_configuration_from: str = ''
    fetch_listing_from: str = ''
    changed_ids: list[str] = dataclasses.field(default_factory=list)
    has_changed_zones: bool = False


class MirrorCore:
    """Keeps a host's configuration and servers at the newest known version."""

    __slots__ = (
        '_announced_s',
        '_asked_s',
        '_config',
        '_digest_sent_s',
        '_early',
        '_has_unannounced_changes',
        '_heartbeat_count',
        '_heartbeat_sent_s',
        '_heartbeats',
        '_last_zone_hosts',
        '_log',
        '_neighbours',
        '_newest_revision_host',
        '_other_zone_version',
        '_other_zone_version_seen_s',
        '_reported',
        '_request_progress_s',
        '_requested_revision',
        '_rng',
        '_seed_hosts',
        '_steering',
        'newest_revision',
        'newest_version',
        'peer_revision',
        'role',
    )

    def __init__(self, config: MirrorConfig, steering: SteeringCore) -> None:
        """Prefer ``from_config``."""
        self._config = config
        self._steering = steering
        self._rng = random.Random(config.seed)
        self._seed_hosts = config.seeds
        self._log = ChangeLog()
        self._neighbours = Neighbours(config.host, self._rng)
        self._heartbeats = ReceivedHeartbeats(config.host)
        self._heartbeat_count = 0
        self._last_zone_hosts: set[str] = set()
        # The host that reported the newest revision.
        self._newest_revision_host = ''
        self._requested_revision = 0
        # When changes were last requested or a part of a reply arrived.
        self._request_progress_s = 0.0
        # The first newer version that a host of another zone reported, and
        # when.
        self._other_zone_version = 0
        self._other_zone_version_seen_s = 0.0
        self._early = EarlyChanges()
        self._has_unannounced_changes = False
        self._announced_s = 0.0
        # When a regular digest or a forwarded heartbeat was last sent.
        self._digest_sent_s = 0.0
        # When this host last sent a heartbeat of its own.
        self._heartbeat_sent_s = 0.0
        # When other hosts were last asked for heartbeats.
        self._asked_s = 0.0
        # Whether the last heartbeat reported that the store answers this host;
        # None if this host sends none.
        self._reported: bool | None = None
        self.newest_revision = 0
        self.newest_version = 0
        # The newest revision that changes from another host have reached.
        self.peer_revision = 0
        self.role = build_role(
            Neighbour(config.host, config.zone, config.link_mbit_per_s),
            config.switched_off,
        )

    @classmethod
    def from_config(
        cls,
        config: MirrorConfig,
        steering: SteeringCore,
    ) -> Self:
        """Build the mirror core of the host that ``config`` describes."""
        return cls(config, steering)

    @property
    def revision(self) -> int:
        """The revision up to which all changes of servers are applied."""
        return self._log.revision

    def change_seed_hosts(self, seeds: tuple[str, ...]) -> None:
        """Replace the hosts that get messages while no host is known."""
        self._seed_hosts = seeds

    def known_hosts(self) -> int:
        """Return the number of other hosts that are known."""
        return len(self._neighbours)

    def listing(self) -> Listing:
        """Return the complete list of servers for another host."""
        entries = self._steering.directory.entries().values()
        return Listing(
            self._log.revision, tuple(pack_entry(entry) for entry in entries)
        )

    def on_message(
        self,
        host: str,
        message: Message,
        now_s: float,
    ) -> MirrorActions:
        """Handle a message of another host; return the resulting actions."""
        self._heartbeats.detect_stall(now_s)
        match message:
            case Digest():
                return self._on_digest(host, message, now_s)
            case ChangesRequest():
                return MirrorActions(
                    self._missing_changes(host, message.backend_revision)
                )
            case Changes():
                return self._on_changes(host, message, now_s)

    def apply_peer_listing(self, listing: Listing, now_s: float) -> list[str]:
        """Apply another host's complete list; return the ids that changed.

        A list that is not newer than this host's is ignored.
        """
        if listing.revision <= self._log.revision:
            return []
        return self.apply_listing(
            unpack_listing(listing), listing.revision, now_s
        )

    def apply_listing(
        self,
        entries: Sequence[BackendEntry],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Apply a complete list of ``revision``; return the ids that changed.

        A list that is older than this host's is ignored.
        """
        if revision < self._log.revision:
            return []
        self._log.reset(revision)
        self.newest_revision = max(self.newest_revision, revision)
        return self._steering.replace_backends(entries, revision, now_s)

    def apply_changes(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        now_s: float,
    ) -> list[str]:
        """Apply changes; return the ids that changed."""
        applied = list(changes)
        self._log.add(applied)
        self.newest_revision = max(self.newest_revision, self._log.revision)
        return self._steering.apply_backend_changes(
            applied, self.revision, now_s
        )

    def apply_configuration(self, table: RoutingTable) -> bool:
        """Apply a configuration; return whether it was newer."""
        self.newest_version = max(self.newest_version, table.version)
        return self._steering.configure(table)

    def apply_evacuated_zones(
        self, evacuated: EvacuatedZones, now_s: float
    ) -> bool:
        """Apply the store's evacuated zones; return whether they changed."""
        return self._steering.evacuate(evacuated, now_s)

    def announce(self, now_s: float) -> list[OutgoingMessage]:
        """Return a digest for a few hosts, outside the regular interval."""
        self._has_unannounced_changes = False
        self._announced_s = now_s
        digest = self._build_digest(now_s)
        return [
            OutgoingMessage(host, digest) for host in self._choose_targets()
        ]

    def tick(
        self,
        now_s: float,
        *,
        is_served: bool,
        is_leaving: bool,
        answered_s: float | None = None,
    ) -> MirrorActions:
        """Update the reader role and until when the host's data is current.

        ``is_served`` is whether the store answers this host, ``answered_s``
        when it last did, None for now. The actions have a digest if one is due,
        and a request for changes if this host lacks some.
        """
        actions = MirrorActions()
        self._heartbeats.detect_stall(now_s, is_periodic=True)
        self._heartbeats.expire(now_s)
        self.role.decide(
            self._heartbeats.by_host(),
            self._neighbours.of_zone(self._config.zone),
            is_served=is_served,
            answered_s=now_s if answered_s is None else answered_s,
            now_s=now_s,
        )
        self._steering.set_current_until(self._current_until_s())
        self._steering.warmup.set_zone_hosts(
            self._warmup_hosts(is_leaving=is_leaving)
        )
        is_sending_heartbeats = self.role.is_reader and not is_leaving
        pause_s = HEARTBEAT_INTERVAL_S
        if not is_sending_heartbeats:
            pause_s += _DIGEST_DELAY_S
        if self._log.revision < self.newest_revision:
            target = self._rng.choice(
                [self._newest_revision_host, *self._choose_targets()]
            )
            actions.outgoing += self._request_changes(
                target, self.newest_revision, now_s
            )
        if self.role.is_asking and now_s - self._asked_s >= _ASK_INTERVAL_S:
            self._asked_s = now_s
            actions.outgoing += self._ask_for_heartbeats(now_s)
        reported = is_served if is_sending_heartbeats else None
        has_news = reported is not None and reported is not self._reported
        self._reported = reported
        # Heartbeats of others that a reader forwards do not delay its own.
        sent_s = (
            self._heartbeat_sent_s
            if is_sending_heartbeats
            else self._digest_sent_s
        )
        if not has_news and now_s - sent_s < pause_s:
            if self._has_unannounced_changes:
                actions.outgoing += self.announce(now_s)
            return actions
        self._digest_sent_s = now_s
        self._neighbours.forget_silent(now_s)
        if is_sending_heartbeats:
            self._record_own_heartbeat(is_served=is_served, now_s=now_s)
        self._has_unannounced_changes = False
        digest = self._build_digest(now_s, is_leaving=is_leaving)
        actions.outgoing += [
            OutgoingMessage(host, digest) for host in self._choose_targets()
        ]
        return actions

    def _on_digest(
        self,
        host: str,
        digest: Digest,
        now_s: float,
    ) -> MirrorActions:
        actions = MirrorActions()
        is_new = host not in self._neighbours
        self._neighbours.add_reported(digest.neighbours, now_s)
        if digest.is_leaving:
            self._neighbours.drop(host)
            self._heartbeats.drop(host)
        else:
            self._neighbours.record(
                Neighbour(host, digest.zone, digest.link_mbit_per_s), now_s
            )
        if self._should_relay(digest.beats, now_s):
            self._digest_sent_s = now_s
            actions.outgoing += self.announce(now_s)
        if digest.backend_revision > self.newest_revision:
            self.newest_revision = digest.backend_revision
            self._newest_revision_host = host
        self.newest_version = max(
            self.newest_version, digest.configuration_version
        )
        reported = EvacuatedZones(
            digest.evacuation_revision, frozenset(digest.evacuated_zones)
        )
        if self._steering.evacuate(reported, now_s):
            actions.has_changed_zones = True
            actions.outgoing += self.announce(now_s)
        if self._should_fetch_configuration(digest, now_s):
            actions.fetch_configuration_from = host
        if digest.backend_revision > self._log.revision:
            actions.outgoing += self._request_changes(
                host, digest.backend_revision, now_s
            )
        is_sender_behind = (
            digest.configuration_version < self._steering.table.version
            or reported.zones != self._steering.evacuated.zones
        )
        if digest.backend_revision < self._log.revision:
            # If one message can't hold the changes, send only a digest: the
            # host then requests the changes from one of the hosts that are
            # ahead of it, instead of getting them from each of those.
            if self._log.fits_one_message(digest.backend_revision):
                actions.outgoing += self._missing_changes(
                    host, digest.backend_revision
                )
            else:
                is_sender_behind = True
        if is_new or is_sender_behind or digest.is_reply_requested:
            reply = self._build_digest(now_s)
            actions.outgoing.append(OutgoingMessage(host, reply))
        return actions

    def _should_fetch_configuration(self, digest: Digest, now_s: float) -> bool:
        version = digest.configuration_version
        if version <= self._steering.table.version:
            return False
        if digest.zone == self._config.zone:
            return True
        if self._other_zone_version <= self._steering.table.version:
            self._other_zone_version = version
            self._other_zone_version_seen_s = now_s
        return (
            now_s - self._other_zone_version_seen_s >= _OTHER_ZONE_FETCH_DELAY_S
        )

    def _request_changes(
        self,
        host: str,
        revision: int,
        now_s: float,
    ) -> list[OutgoingMessage]:
        is_reply_expected = self._log.revision < self._requested_revision
        if (
            is_reply_expected
            and now_s - self._request_progress_s < _REQUEST_RETRY_S
        ):
            return []
        self._requested_revision = revision
        self._request_progress_s = now_s
        return [OutgoingMessage(host, ChangesRequest(self._log.revision))]

    def _missing_changes(
        self, host: str, revision: int
    ) -> list[OutgoingMessage]:
        messages = self._log.changes_after(revision)
        if messages is None:
            # -1: this log does not reach back to the requested revision.
            messages = [Changes(-1, self._log.revision, (), ())]
        return [OutgoingMessage(host, message) for message in messages]

    def _on_changes(
        self,
        host: str,
        message: Changes,
        now_s: float,
    ) -> MirrorActions:
        if message.revision <= self._log.revision:
            return MirrorActions()
        if message.after_revision < 0:
            return MirrorActions(fetch_listing_from=host)
        if message.after_revision > self._log.revision:
            self._early.keep(message)
            return MirrorActions(
                self._request_changes(host, message.revision, now_s)
            )
        actions = MirrorActions()
        actions.changed_ids = self.apply_changes(unpack_changes(message), now_s)
        actions.changed_ids += self._apply_early(now_s)
        self.peer_revision = self._log.revision
        self._request_progress_s = now_s
        if self._log.revision < self.newest_revision:
            actions.outgoing += self._request_changes(
                self._newest_revision_host, self.newest_revision, now_s
            )
        if now_s - self._announced_s >= _ANNOUNCE_INTERVAL_S:
            actions.outgoing += self.announce(now_s)
        else:
            self._has_unannounced_changes = True
        return actions

    def _apply_early(self, now_s: float) -> list[str]:
        changed: list[str] = []
        while message := self._early.pop_next(self._log.revision):
            changed += self.apply_changes(unpack_changes(message), now_s)
        return changed

    def _should_relay(
        self, heartbeats: Iterable[Heartbeat], now_s: float
    ) -> bool:
        """Record heartbeats; return whether to forward them at once."""
        zone_news = {
            self._heartbeats.record(heartbeat, now_s)
            for heartbeat in heartbeats
            if heartbeat.zone == self._config.zone
        }
        for heartbeat in heartbeats:
            if heartbeat.zone != self._config.zone:
                self._heartbeats.record(heartbeat, now_s)
        if News.READER in zone_news:
            return True
        is_due = now_s - self._digest_sent_s >= _RELAY_INTERVAL_S
        return is_due and News.HEARTBEAT in zone_news

    def _ask_for_heartbeats(self, now_s: float) -> list[OutgoingMessage]:
        request = msgspec.structs.replace(
            self._build_digest(now_s), is_reply_requested=True
        )
        return [
            OutgoingMessage(host, request) for host in self._choose_targets()
        ]

    def _record_own_heartbeat(self, *, is_served: bool, now_s: float) -> None:
        self._heartbeat_count += 1
        self._heartbeat_sent_s = now_s
        config = self._config
        heartbeat = Heartbeat(
            config.host,
            config.zone,
            config.link_mbit_per_s,
            config.started_ms,
            self._heartbeat_count,
            is_served,
            answered_ms=max(
                round((now_s - self.role.served_s) * _MILLISECONDS), 0
            )
            if is_served
            else 0,
        )
        self._heartbeats.record_own(heartbeat, now_s)

    def _current_until_s(self) -> float:
        """Return until when the host's data counts as the store's newest.

        0 if it does not count as such now.
        """
        if self.newest_version > self._steering.table.version:
            return 0
        if self.newest_revision > self._log.revision:
            return 0
        return self._heartbeats.current_until_s(self.role.served_s)

    def _warmup_hosts(self, *, is_leaving: bool) -> Iterable[str]:
        """Return the hosts of the zone that open flows to cold servers.

        Empty if this host may not know all of them, or is leaving. A host that
        hears of no other host any more keeps those that it knew: it is cut off,
        and would count itself as the only one.
        """
        hosts = {
            neighbour.host
            for neighbour in self._neighbours.of_zone(self._config.zone)
        }
        if hosts:
            self._last_zone_hosts = hosts
        if is_leaving or self._neighbours.is_full():
            return ()
        return self._last_zone_hosts | {self._config.host}

    def _build_digest(
        self, now_s: float, *, is_leaving: bool = False
    ) -> Digest:
        return Digest(
            self._config.zone,
            self._config.link_mbit_per_s,
            self._steering.table.version,
            self._log.revision,
            self._heartbeats.select_recent(now_s),
            self._neighbours.sample(_REPORTED_NEIGHBOURS),
            is_leaving,
            self._steering.evacuated.revision,
            tuple(sorted(self._steering.evacuated.zones)),
        )

    def _choose_targets(self) -> list[str]:
        targets = self._neighbours.choose(
            self._config.zone, _ZONE_TARGETS, _OTHER_ZONE_TARGETS
        )
        if targets:
            return targets
        return [host for host in self._seed_hosts if host != self._config.host]
