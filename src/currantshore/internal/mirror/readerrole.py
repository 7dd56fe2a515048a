"""Decide which hosts read the store.

Not every host can watch the store: each call is paid for, and the store's rate
limits grow more slowly than the number of hosts. The store may also refuse
single hosts, or all hosts, while changes must still reach the whole zone.

One host of each availability zone reads, without an election. A reader sends
heartbeats, which other hosts forward with their age. A host becomes a reader if
no served reader of its zone has sent a heartbeat for a while, or sooner if all
readers report that the store does not answer them; the higher it ranks among
the hosts that it knows, the sooner. Before a silence is that long, it asks
other hosts for what they have heard, so that lost messages make nobody a
reader. Of two served readers, the one of lower rank stops. A host that knows no
other host of its zone reads. Hosts with faster links rank higher, because a
reader receives complete configurations and serves them to other hosts.

The waits here are a part of the time in which a change reaches the last host;
``docs/promises.md`` adds them up.

A newly started host reads the store once, to get its first list, and continues
only if it knows no host of its zone that ranks higher.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, Protocol

from currantshore.internal.hashing import stable_hash
from currantshore.internal.mirror.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    ReceivedHeartbeat,
)
from currantshore.internal.mirror.messages import Heartbeat, Neighbour
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# After two heartbeats that did not arrive, a host asks others for them.
_ASK_AFTER_S: Final = 2 * HEARTBEAT_INTERVAL_S

# The answers have half a second to arrive.
_SILENCE_S: Final = 3 * HEARTBEAT_INTERVAL_S

# Each lower rank waits this much longer, so that the first heartbeat of a new
# reader, which every host forwards at once, arrives before the next host
# becomes one. Ranks beyond the first ones wait only little longer, since the
# hosts before them may be gone.
_RANK_DELAY_S: Final = 0.15
_FIRST_RANKS: Final = 4
_LATER_RANK_DELAY_S: Final = 0.02
_MAX_DELAY_S: Final = 0.7

# A reader that the store has not served for this long stops once there is
# another reader that is served.
_UNSERVED_S: Final = 0.6

# If the readers report that the store no longer answers them, others begin to
# read after this time, in which one lost answer would have been repeated.
_UNSERVED_NOTICE_S: Final = 0.1

# A new reader has this time to get its first list.
_FIRST_ANSWER_S: Final = 0.5

# Hosts of a zone that begin to call the store at the same time, and those that
# keep calling while it answers none of them. The latter have to find the host
# that it does answer, if it turns away some.
_MAX_STARTING_READERS: Final = 2
_MAX_UNSERVED_READERS: Final = 3

# Two readers run in parallel for this long before one stops, so that a
# heartbeat in flight does not make both stop.
_OVERLAP_S: Final = 1.5

# Hosts that start together know each other after this time.
_STARTUP_S: Final = 3.0


class Role(Protocol):
    """Whether a host reads the store, and when the store last served it.

    ``is_asking`` is whether it has to ask other hosts for heartbeats.
    """

    is_reader: bool
    is_asking: bool
    served_s: float

    def decide(
        self,
        heartbeats: Mapping[str, ReceivedHeartbeat],
        zone_hosts: Iterable[Neighbour],
        *,
        is_served: bool,
        answered_s: float,
        now_s: float,
    ) -> bool:
        """Return whether to read from now on."""


def build_role(own: Neighbour, switched_off: SwitchedOff) -> Role:
    """Build the role that the settings select."""
    if Mechanism.ZONE_READERS in switched_off:
        return EveryHostReads()
    return ReaderRole(own)


class EveryHostReads:
    """Makes every host a reader; the baseline."""

    __slots__ = ('is_asking', 'is_reader', 'served_s')

    def __init__(self) -> None:
        """Initialize as a reader."""
        self.is_reader = True
        self.is_asking = False
        self.served_s = 0.0

    def decide(
        self,
        heartbeats: Mapping[str, ReceivedHeartbeat],
        zone_hosts: Iterable[Neighbour],
        *,
        is_served: bool,
        answered_s: float,
        now_s: float,
    ) -> bool:
        """Return true, and record when the store last served this host."""
        if is_served:
            self.served_s = answered_s
        return True


class ReaderRole:
    """Decides whether this host reads the store."""

    __slots__ = (
        '_may_stop_since_s',
        '_own',
        '_rank',
        '_reported_s',
        '_started_s',
        '_unserved_since_s',
        'is_asking',
        'is_reader',
        'served_s',
    )

    def __init__(self, own: Neighbour) -> None:
        """Initialize as a reader: a new host knows no other host yet."""
        self._own = own
        self._rank = _rank(own.host, own.link_mbit_per_s)
        self._may_stop_since_s = 0.0
        self._started_s = 0.0
        # When this host last was a reader that the store served.
        self._reported_s = 0.0
        # Since when the readers report that the store does not answer them.
        self._unserved_since_s: float | None = None
        self.served_s = 0.0
        self.is_asking = False
        self.is_reader = True

    def decide(
        self,
        heartbeats: Mapping[str, ReceivedHeartbeat],
        zone_hosts: Iterable[Neighbour],
        *,
        is_served: bool,
        answered_s: float,
        now_s: float,
    ) -> bool:
        """Return whether to read from now on.

        ``heartbeats`` are the newest heartbeats by host and ``zone_hosts`` the
        known hosts of the zone; ``is_served`` is whether the store answers this
        host, and ``answered_s`` when it last did.
        """
        self._started_s = self._started_s or now_s
        if is_served and self.is_reader:
            self._reported_s = now_s
            self.served_s = answered_s
        zone_readers = [
            received
            for received in heartbeats.values()
            if received.heartbeat.zone == self._own.zone
            and received.heartbeat.host != self._own.host
            and now_s - received.sent_s < _SILENCE_S
        ]
        if self.is_reader:
            is_redundant_at_start = is_served and self._is_redundant_at_start(
                zone_hosts, now_s
            )
            is_reader = not self._should_stop(zone_readers, now_s)
            self.is_reader = is_reader and not is_redundant_at_start
            self.is_asking = False
            self._unserved_since_s = None
        else:
            self._record_unserved(zone_readers, now_s)
            silent_s = now_s - self._last_served_s(heartbeats)
            self.is_reader = self._should_start(
                zone_readers, zone_hosts, silent_s, now_s
            )
            self.is_asking = silent_s >= _ASK_AFTER_S
        return self.is_reader

    def _should_stop(
        self, zone_readers: Iterable[ReceivedHeartbeat], now_s: float
    ) -> bool:
        served = [
            received
            for received in zone_readers
            if received.heartbeat.is_served
        ]
        is_unserved = now_s - self._reported_s > _UNSERVED_S
        is_outranked = any(
            self._ranks_before(received.heartbeat) for received in served
        )
        if not (is_outranked or (served and is_unserved)):
            self._may_stop_since_s = 0
            return False
        if not self._may_stop_since_s:
            self._may_stop_since_s = now_s
        if now_s - self._may_stop_since_s < _OVERLAP_S:
            return False
        self._may_stop_since_s = 0
        return True

    def _is_redundant_at_start(
        self,
        zone_hosts: Iterable[Neighbour],
        now_s: float,
    ) -> bool:
        if now_s - self._started_s > _STARTUP_S:
            return False
        return any(self._ranks_before(host) for host in zone_hosts)

    def _last_served_s(
        self, heartbeats: Mapping[str, ReceivedHeartbeat]
    ) -> float:
        """Return when a reader of the zone last reported that it is served."""
        reported_s = [
            received.reported_s
            for received in heartbeats.values()
            if received.heartbeat.zone == self._own.zone
        ]
        return max(self._reported_s, *reported_s, 0)

    def _record_unserved(
        self, zone_readers: Sequence[ReceivedHeartbeat], now_s: float
    ) -> None:
        """Record since when the store has answered no reader of the zone.

        New readers are no sign of that until they should have their first list.
        """
        unserved = [
            received
            for received in zone_readers
            if received.unserved_since_s is not None
        ]
        if not unserved or len(unserved) < len(zone_readers):
            self._unserved_since_s = None
        elif self._unserved_since_s is None and not all(
            _is_starting(received, now_s) for received in unserved
        ):
            self._unserved_since_s = now_s

    def _should_start(
        self,
        zone_readers: Sequence[ReceivedHeartbeat],
        zone_hosts: Iterable[Neighbour],
        silent_s: float,
        now_s: float,
    ) -> bool:
        unserved_s = self._unserved_s(now_s)
        if silent_s < _SILENCE_S and unserved_s < _UNSERVED_NOTICE_S:
            return False
        delay_s = self._delay_s(zone_readers, zone_hosts, now_s)
        is_due = (
            silent_s >= _SILENCE_S + delay_s
            or unserved_s >= _UNSERVED_NOTICE_S + delay_s
        )
        return is_due and _may_join(zone_readers, now_s - delay_s)

    def _unserved_s(self, now_s: float) -> float:
        """Return for how long no reader has been served; 0 if one may be.

        A host that has just been a served reader does not begin again for it.
        """
        since_s = self._unserved_since_s
        if since_s is None or now_s - self._reported_s < _SILENCE_S:
            return 0
        return now_s - since_s

    def _delay_s(
        self,
        zone_readers: Iterable[ReceivedHeartbeat],
        zone_hosts: Iterable[Neighbour],
        now_s: float,
    ) -> float:
        """Return how long hosts that rank before this one go first."""
        rank = sum(1 for host in zone_hosts if self._ranks_before(host))
        later_ranks = max(rank - _FIRST_RANKS, 0)
        delay_s = (
            _RANK_DELAY_S * (rank - later_ranks)
            + _LATER_RANK_DELAY_S * later_ranks
        )
        delay_s = min(delay_s, _MAX_DELAY_S)
        if any(_is_starting(reader, now_s) for reader in zone_readers):
            # Another host is ahead, and may be served at once.
            delay_s += _RANK_DELAY_S
        return delay_s

    def _ranks_before(self, other: Neighbour | Heartbeat) -> bool:
        return _rank(other.host, other.link_mbit_per_s) < self._rank


def _may_join(readers: Sequence[ReceivedHeartbeat], until_s: float) -> bool:
    """Return whether one more host of a zone may read beside ``readers``.

    ``until_s`` is until when a reader must have begun to read to count as one
    that has had the time to get its first list.
    """
    if len(readers) >= _MAX_UNSERVED_READERS:
        return False
    starting = [
        received for received in readers if _is_starting(received, until_s)
    ]
    return len(starting) < _MAX_STARTING_READERS


def _is_starting(received: ReceivedHeartbeat, until_s: float) -> bool:
    """Return whether a reader may still get its first list."""
    if received.reported_s or received.unserved_since_s is None:
        return False
    return until_s - received.unserved_since_s < _FIRST_ANSWER_S


def _rank(host: str, link_mbit_per_s: int) -> tuple[int, int, str]:
    return -link_mbit_per_s, stable_hash(host), host
