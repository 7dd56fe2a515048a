"""Which hosts read the store.

The load that this answers: each call to the store is paid for and its rates
grow more slowly than the fleet, so that not every host may watch it; and the
store may turn away single hosts, or all, while a zone must go on learning.

One host of each availability zone reads. Nobody appoints it: a reader sends
beats, which hosts pass on; a host that hears no beat of a served reader of its
zone for a while becomes one, the sooner the higher it ranks among the hosts
that it knows; of two served readers the one of lower rank stops. A host alone
is a reader. Hosts with faster links rank before others, because a reader takes
in whole configurations and passes them on.

A host that starts reads once, for its first list, and goes on only if it knows
no host of its zone that ranks before it.
"""

from collections.abc import Iterable, Mapping
from typing import Final, Protocol

from currantshore.internal.hashing import stable_hash
from currantshore.internal.mirror.beats import BEAT_INTERVAL_S, HeardBeat
from currantshore.internal.mirror.messages import Beat, Neighbour
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# Beats reach a zone of 20 hosts in 1 to 2 s.
_SILENCE_S: Final = 5 * BEAT_INTERVAL_S

# Each rank waits this much longer, so that the beats of a host that has begun
# arrive before the next ones begin; a rank beyond the last waits no longer,
# since the hosts before it may have gone.
_RANK_STEP_S: Final = 0.4
_LAST_RANK: Final = 6

# A reader that the store does not answer stays one this long before another
# served reader replaces it, and lets others try after as long.
_UNSERVED_S: Final = 0.6

# Hosts of a zone that keep trying while the store answers nobody.
_MAX_UNSERVED_READERS: Final = 2

# Two readers run side by side this long before one stops, so that a beat that
# is on its way does not make both stop.
_OVERLAP_S: Final = 1.5

# Hosts that start together have heard of each other by then.
_START_S: Final = 3.0


class Role(Protocol):
    """Tells whether a host reads, and when the store last answered it."""

    is_reader: bool
    served_s: float

    def decide(
        self,
        beats: Mapping[str, HeardBeat],
        zone_hosts: Iterable[Neighbour],
        *,
        is_served: bool,
        now_s: float,
    ) -> bool:
        """Return whether to read from now on."""


def build_role(own: Neighbour, switched_off: SwitchedOff) -> Role:
    """Build the role that is in force."""
    if Mechanism.ZONE_READERS in switched_off:
        return EveryHostReads()
    return ReaderRole(own)


class EveryHostReads:
    """Reads the store whatever others do; the baseline."""

    __slots__ = ('is_reader', 'served_s')

    def __init__(self) -> None:
        """Start as a reader."""
        self.is_reader = True
        self.served_s = 0.0

    def decide(
        self,
        beats: Mapping[str, HeardBeat],
        zone_hosts: Iterable[Neighbour],
        *,
        is_served: bool,
        now_s: float,
    ) -> bool:
        """Return that it reads."""
        if is_served:
            self.served_s = now_s
        return True


class ReaderRole:
    """Decides whether this host reads the store."""

    __slots__ = (
        '_outranked_s',
        '_own',
        '_rank',
        '_started_s',
        'is_reader',
        'served_s',
    )

    def __init__(self, own: Neighbour) -> None:
        """Start as a reader: a started host has nobody to learn from yet."""
        self._own = own
        self._rank = _rank(own.host, own.link_mbit_per_s)
        self._outranked_s = 0.0
        self._started_s = 0.0
        self.served_s = 0.0
        self.is_reader = True

    def decide(
        self,
        beats: Mapping[str, HeardBeat],
        zone_hosts: Iterable[Neighbour],
        *,
        is_served: bool,
        now_s: float,
    ) -> bool:
        """Return whether to read from now on.

        ``beats`` are the newest beats by host, ``zone_hosts`` the known hosts
        of the zone; ``is_served`` tells whether the store answers this host.
        """
        self._started_s = self._started_s or now_s
        if is_served and self.is_reader:
            self.served_s = now_s
        near = [
            heard
            for heard in beats.values()
            if heard.beat.zone == self._own.zone
            and heard.beat.host != self._own.host
            and now_s - heard.heard_s < _SILENCE_S
        ]
        if self.is_reader:
            is_needless = is_served and self._is_needless(zone_hosts, now_s)
            is_reader = not self._should_stop(near, now_s)
            self.is_reader = is_reader and not is_needless
        else:
            is_free = len(near) < _MAX_UNSERVED_READERS
            self.is_reader = is_free and self._should_begin(
                beats, zone_hosts, now_s
            )
        return self.is_reader

    def _should_stop(self, near: Iterable[HeardBeat], now_s: float) -> bool:
        served = [heard for heard in near if heard.beat.is_served]
        is_unserved = now_s - self.served_s > _UNSERVED_S
        is_outranked = any(self._ranks_before(heard.beat) for heard in served)
        if not (is_outranked or (served and is_unserved)):
            self._outranked_s = 0
            return False
        if not self._outranked_s:
            self._outranked_s = now_s
        if now_s - self._outranked_s < _OVERLAP_S:
            return False
        self._outranked_s = 0
        return True

    def _is_needless(
        self,
        zone_hosts: Iterable[Neighbour],
        now_s: float,
    ) -> bool:
        if now_s - self._started_s > _START_S:
            return False
        return any(self._ranks_before(host) for host in zone_hosts)

    def _should_begin(
        self,
        beats: Mapping[str, HeardBeat],
        zone_hosts: Iterable[Neighbour],
        now_s: float,
    ) -> bool:
        served_s = max(
            (
                heard.served_s
                for heard in beats.values()
                if heard.beat.zone == self._own.zone
            ),
            default=0,
        )
        served_s = max(served_s, self.served_s)
        silent_s = now_s - served_s
        if silent_s < _SILENCE_S:
            return False
        rank = sum(1 for host in zone_hosts if self._ranks_before(host))
        return silent_s >= _SILENCE_S + _RANK_STEP_S * min(rank, _LAST_RANK)

    def _ranks_before(self, other: Neighbour | Beat) -> bool:
        return _rank(other.host, other.link_mbit_per_s) < self._rank


def _rank(host: str, link_mbit_per_s: int) -> tuple[int, int, str]:
    return -link_mbit_per_s, stable_hash(host), host
