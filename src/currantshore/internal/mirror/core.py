"""Decides what hosts tell each other about configuration and servers.

New facts are passed on at once to a few hosts (an epidemic, after Demers et
al., "Epidemic algorithms for replicated database maintenance", 1987); digests
twice a second repair what was lost. What a host sends does not grow with the
number of hosts.
"""

import dataclasses
import random
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, Self

from currantshore.internal.mirror.beats import BEAT_INTERVAL_S, HeardBeats
from currantshore.internal.mirror.changelog import ChangeLog
from currantshore.internal.mirror.earlychanges import EarlyChanges
from currantshore.internal.mirror.messages import (
    Ask,
    Beat,
    Changes,
    Digest,
    Listing,
    Message,
    Neighbour,
    list_entry,
    read_entry,
    unpack_changes,
)
from currantshore.internal.mirror.neighbours import Neighbours
from currantshore.internal.mirror.readerrole import build_role
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    RoutingTable,
)
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.mechanisms import NOTHING_OFF, SwitchedOff

# A host passes a new beat of its zone on at once, with its own digest, unless
# it has sent one within this time: a beat crosses the zone in milliseconds, and
# each host still sends one digest for each beat.
_RELAY_PAUSE_S: Final = 0.4

# Without a beat to pass on, a digest goes out this much later.
_RELAY_PATIENCE_S: Final = 0.25

# Hosts that get a digest in each interval, and a new fact at once: an epidemic
# of this width reaches 640 hosts of a zone in about five steps.
_NEAR_TARGETS: Final = 3
_FAR_TARGETS: Final = 1

_TOLD_NEIGHBOURS: Final = 2

# A configuration is fetched from another zone only when no host of this zone
# has told of it for this long: bytes between zones are dear, and the reader of
# this zone has it within milliseconds.
_FAR_PATIENCE_S: Final = 0.5

# A question whose answer stops coming is repeated, to another host: five round
# trips between zones, or the longest answer over a link of 5 Mbit/s.
_ASK_PAUSE_S: Final = 0.1

# While many servers change at once, a host tells the others this often of what
# it has heard: the first change goes on at once, later ones together.
_SPREAD_PAUSE_S: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorConfig:
    """Who this host is: its IP number, zone, bandwidth and time of start."""

    host: str
    zone: str
    link_mbit_per_s: int
    started_ms: int
    seeds: tuple[str, ...]
    seed: int
    switched_off: SwitchedOff = NOTHING_OFF


class Sending(NamedTuple):
    """A message and the IP number of the host that gets it."""

    host: str
    message: Message


@dataclasses.dataclass(slots=True)
class MirrorActions:
    """What the adapters are asked to do.

    ``configuration_from`` and ``listing_from`` name the host to fetch the
    configuration or the complete list of servers from; empty for none.
    ``changed`` are the ids of servers that a message has changed here.
    """

    sendings: list[Sending] = dataclasses.field(default_factory=list)
    configuration_from: str = ''
    listing_from: str = ''
    changed: list[str] = dataclasses.field(default_factory=list)


class MirrorCore:
    """Keeps a host's configuration and servers equal to the newest known."""

    __slots__ = (
        '_ahead_host',
        '_asked_revision',
        '_asked_s',
        '_beat_count',
        '_beats',
        '_config',
        '_early',
        '_far_version',
        '_far_version_s',
        '_has_unspread',
        '_log',
        '_neighbours',
        '_rng',
        '_seeds',
        '_spread_s',
        '_steering',
        '_ticked_s',
        'newest_revision',
        'newest_version',
        'passed_on_revision',
        'role',
    )

    def __init__(self, config: MirrorConfig, steering: SteeringCore) -> None:
        """Prefer ``from_config``."""
        self._config = config
        self._steering = steering
        self._rng = random.Random(config.seed)
        self._seeds = config.seeds
        self._log = ChangeLog()
        self._neighbours = Neighbours(config.host, self._rng)
        self._beats = HeardBeats(config.host)
        self._beat_count = 0
        # The host that told of the newest revision.
        self._ahead_host = ''
        self._asked_revision = 0
        self._asked_s = 0.0
        self._far_version = 0
        self._far_version_s = 0.0
        self._early = EarlyChanges()
        self._has_unspread = False
        self._spread_s = 0.0
        self._ticked_s = 0.0
        self.newest_revision = 0
        self.newest_version = 0
        # The newest change that came from a host and not from the store.
        self.passed_on_revision = 0
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
        """Build the mirror of the host that ``config`` names."""
        return cls(config, steering)

    @property
    def revision(self) -> int:
        """The revision up to which all changes of servers are known."""
        return self._log.revision

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other hosts to begin with when no host is known."""
        self._seeds = seeds

    def known_hosts(self) -> int:
        """Return how many other hosts are known."""
        return len(self._neighbours)

    def listing(self) -> Listing:
        """Return all servers that the store lists, as far as known."""
        entries = self._steering.directory.entries().values()
        return Listing(
            self._log.revision, tuple(list_entry(entry) for entry in entries)
        )

    def on_message(
        self,
        host: str,
        message: Message,
        now_s: float,
    ) -> MirrorActions:
        """Take a message of another host."""
        self._beats.note_time(now_s)
        match message:
            case Digest():
                return self._on_digest(host, message, now_s)
            case Ask():
                return MirrorActions(
                    self._missing(host, message.backend_revision)
                )
            case Changes():
                return self._on_changes(host, message, now_s)

    def on_listing(self, listing: Listing, now_s: float) -> list[str]:
        """Take a complete list of another host; return what changed."""
        if listing.revision <= self._log.revision:
            return []
        entries = [read_entry(listed) for listed in listing.listed]
        return self.take_listing(entries, listing.revision, now_s)

    def take_listing(
        self,
        entries: Sequence[BackendEntry],
        revision: int,
        now_s: float,
    ) -> list[str]:
        """Take a complete list of ``revision``; return the ids that changed."""
        if revision < self._log.revision:
            return []
        self._log.start_over(revision)
        self.newest_revision = max(self.newest_revision, revision)
        return self._steering.replace_backends(entries, revision, now_s)

    def take_changes(
        self,
        changes: Iterable[BackendEntry | BackendRemoved],
        now_s: float,
    ) -> list[str]:
        """Take changes from the store; return the ids that changed."""
        taken = list(changes)
        self._log.add(taken)
        self.newest_revision = max(self.newest_revision, self._log.revision)
        return self._steering.apply_backend_changes(taken, self.revision, now_s)

    def take_configuration(self, table: RoutingTable) -> bool:
        """Put a configuration in force; tell whether it was newer."""
        self.newest_version = max(self.newest_version, table.version)
        return self._steering.configure(table)

    def spread(self, now_s: float) -> list[Sending]:
        """Tell a few hosts at once what is new."""
        self._has_unspread = False
        self._spread_s = now_s
        digest = self._digest(now_s)
        return [Sending(host, digest) for host in self._targets()]

    def tick(
        self,
        now_s: float,
        *,
        is_served: bool,
        is_leaving: bool,
    ) -> MirrorActions:
        """Decide who reads; send a digest when it is time for one."""
        actions = MirrorActions()
        self._beats.note_time(now_s, is_look=True)
        self._beats.expire(now_s)
        self.role.decide(
            self._beats.by_host(),
            self._neighbours.of_zone(self._config.zone),
            is_served=is_served,
            now_s=now_s,
        )
        self._steering.set_current_until(self._current_until())
        is_beating = self.role.is_reader and not is_leaving
        pause_s = BEAT_INTERVAL_S
        if not is_beating:
            pause_s += _RELAY_PATIENCE_S
        if self._log.revision < self.newest_revision:
            asked = self._rng.choice([self._ahead_host, *self._targets()])
            actions.sendings += self._ask(asked, self.newest_revision, now_s)
        if now_s - self._ticked_s < pause_s:
            if self._has_unspread:
                actions.sendings += self.spread(now_s)
            return actions
        self._ticked_s = now_s
        self._neighbours.forget_silent(now_s)
        if is_beating:
            self._beat(is_served=is_served, now_s=now_s)
        self._has_unspread = False
        digest = self._digest(now_s, is_leaving=is_leaving)
        actions.sendings += [Sending(host, digest) for host in self._targets()]
        return actions

    def _on_digest(
        self,
        host: str,
        digest: Digest,
        now_s: float,
    ) -> MirrorActions:
        actions = MirrorActions()
        is_new = host not in self._neighbours
        self._neighbours.learn(digest.neighbours, now_s)
        if digest.is_leaving:
            self._neighbours.drop(host)
            self._beats.drop(host)
        else:
            self._neighbours.hear(
                Neighbour(host, digest.zone, digest.link_mbit_per_s), now_s
            )
        has_news = self._hear_beats(digest.beats, now_s)
        if has_news and now_s - self._ticked_s >= _RELAY_PAUSE_S:
            self._ticked_s = now_s
            actions.sendings += self.spread(now_s)
        if digest.backend_revision > self.newest_revision:
            self.newest_revision = digest.backend_revision
            self._ahead_host = host
        self.newest_version = max(
            self.newest_version, digest.configuration_version
        )
        if self._should_fetch(digest, now_s):
            actions.configuration_from = host
        if digest.backend_revision > self._log.revision:
            actions.sendings += self._ask(host, digest.backend_revision, now_s)
        is_behind = digest.configuration_version < self._steering.table.version
        if digest.backend_revision < self._log.revision:
            # More is told and not sent, so that the host asks one of those
            # that are ahead of it, and not each of them sends all.
            if self._log.is_one_message(digest.backend_revision):
                actions.sendings += self._missing(host, digest.backend_revision)
            else:
                is_behind = True
        if is_new or is_behind:
            reply = self._digest(now_s)
            actions.sendings.append(Sending(host, reply))
        return actions

    def _should_fetch(self, digest: Digest, now_s: float) -> bool:
        version = digest.configuration_version
        if version <= self._steering.table.version:
            return False
        if digest.zone == self._config.zone:
            return True
        if self._far_version <= self._steering.table.version:
            self._far_version = version
            self._far_version_s = now_s
        return now_s - self._far_version_s >= _FAR_PATIENCE_S

    def _ask(
        self,
        host: str,
        revision: int,
        now_s: float,
    ) -> list[Sending]:
        is_coming = self._log.revision < self._asked_revision
        if is_coming and now_s - self._asked_s < _ASK_PAUSE_S:
            return []
        self._asked_revision = revision
        self._asked_s = now_s
        return [Sending(host, Ask(self._log.revision))]

    def _missing(self, host: str, revision: int) -> list[Sending]:
        messages = self._log.after(revision)
        if messages is None:
            # The mark of -1 says that there is no common history.
            messages = [Changes(-1, self._log.revision, (), ())]
        return [Sending(host, one) for one in messages]

    def _on_changes(
        self,
        host: str,
        message: Changes,
        now_s: float,
    ) -> MirrorActions:
        if message.revision <= self._log.revision:
            return MirrorActions()
        if message.after_revision < 0:
            return MirrorActions(listing_from=host)
        if message.after_revision > self._log.revision:
            self._early.keep(message)
            return MirrorActions(self._ask(host, message.revision, now_s))
        actions = MirrorActions()
        actions.changed = self.take_changes(unpack_changes(message), now_s)
        actions.changed += self._take_early(now_s)
        self.passed_on_revision = self._log.revision
        self._asked_s = now_s
        if self._log.revision < self.newest_revision:
            actions.sendings += self._ask(
                self._ahead_host, self.newest_revision, now_s
            )
        if now_s - self._spread_s >= _SPREAD_PAUSE_S:
            actions.sendings += self.spread(now_s)
        else:
            self._has_unspread = True
        return actions

    def _take_early(self, now_s: float) -> list[str]:
        changed: list[str] = []
        while message := self._early.take_next(self._log.revision):
            changed += self.take_changes(unpack_changes(message), now_s)
        return changed

    def _hear_beats(self, beats: Iterable[Beat], now_s: float) -> bool:
        """Note beats; tell whether there is a new one of this host's zone."""
        new_zones = {
            beat.zone for beat in beats if self._beats.hear(beat, now_s)
        }
        return self._config.zone in new_zones

    def _beat(self, *, is_served: bool, now_s: float) -> None:
        self._beat_count += 1
        config = self._config
        beat = Beat(
            config.host,
            config.zone,
            config.link_mbit_per_s,
            config.started_ms,
            self._beat_count,
            is_served,
        )
        self._beats.note_own(beat, now_s)

    def _current_until(self) -> float:
        if self.newest_version > self._steering.table.version:
            return 0
        if self.newest_revision > self._log.revision:
            return 0
        return self._beats.current_until_s(self.role.served_s)

    def _digest(self, now_s: float, *, is_leaving: bool = False) -> Digest:
        return Digest(
            self._config.zone,
            self._config.link_mbit_per_s,
            self._steering.table.version,
            self._log.revision,
            self._beats.to_tell(now_s),
            self._neighbours.sample(_TOLD_NEIGHBOURS),
            is_leaving,
        )

    def _targets(self) -> list[str]:
        targets = self._neighbours.pick(
            self._config.zone, _NEAR_TARGETS, _FAR_TARGETS
        )
        if targets:
            return targets
        return [host for host in self._seeds if host != self._config.host]
