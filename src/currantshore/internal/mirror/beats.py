"""Heartbeats of readers, and until when they confirm what a host holds.

The load that this answers: hosts that are stopped or suspended for seconds.
Datagrams wait in the socket of such a host meanwhile, and a beat that is read
late says nothing of now.
"""

from collections.abc import Mapping
from typing import Final

from currantshore.internal.mirror.messages import Beat

# Beats go out twice a second.
BEAT_INTERVAL_S: Final = 0.5

# While a served beat is this fresh, a host that holds the newest revision that
# it has heard of holds what the store holds; four beats in a row may be lost.
_CURRENT_S: Final = 5 * BEAT_INTERVAL_S

# Beats older than this say nothing about the store any more.
_BEAT_LIFE_S: Final = 10.0

# A host whose last look is this long ago has stood still, and beats that wait
# in its socket are as old. It has read them all, and newer ones of two rounds,
# this long after; until then no beat counts as fresh.
_STALL_S: Final = 0.5
_BACKLOG_S: Final = 1.0

# Beats that a digest passes on.
_TOLD_BEATS: Final = 8


class HeardBeat:
    """The newest beat of a reader and when it came.

    ``served_s`` is when it last came with word that the store answers.
    """

    __slots__ = ('beat', 'heard_s', 'served_s')

    def __init__(self, beat: Beat, now_s: float) -> None:
        """Store ``beat``."""
        self.beat = beat
        self.heard_s = now_s
        self.served_s = 0.0


class HeardBeats:
    """The newest beat of each reader that a host has heard of."""

    __slots__ = ('_beats', '_doubted_until_s', '_looked_s', '_own_host')

    def __init__(self, own_host: str) -> None:
        """Start without beats, on the host ``own_host``."""
        self._own_host = own_host
        self._beats: dict[str, HeardBeat] = {}
        self._doubted_until_s = 0.0
        self._looked_s = 0.0

    def by_host(self) -> Mapping[str, HeardBeat]:
        """Return the beats by host."""
        return self._beats

    def note_time(self, now_s: float, *, is_look: bool = False) -> None:
        """Notice a stall; ``is_look`` is set at regular looks."""
        if self._looked_s and now_s - self._looked_s > _STALL_S:
            self._doubted_until_s = now_s + _BACKLOG_S
        if is_look:
            self._looked_s = now_s

    def hear(self, beat: Beat, now_s: float) -> bool:
        """Note a beat; tell whether it is a new one of another host."""
        if beat.host == self._own_host:
            return False
        heard = self._beats.get(beat.host)
        if heard is None:
            heard = self._beats[beat.host] = HeardBeat(beat, now_s)
        elif not beat.is_newer_than(heard.beat):
            return False
        heard.beat = beat
        heard.heard_s = now_s
        if beat.is_served and now_s >= self._doubted_until_s:
            heard.served_s = now_s
        return True

    def note_own(self, beat: Beat, now_s: float) -> None:
        """Note a beat of this host, to pass it on."""
        self._beats[beat.host] = HeardBeat(beat, now_s)

    def drop(self, host: str) -> None:
        """Forget a host that leaves."""
        self._beats.pop(host, None)

    def expire(self, now_s: float) -> None:
        """Forget beats that say nothing any more."""
        for host, heard in tuple(self._beats.items()):
            if now_s - heard.heard_s > _BEAT_LIFE_S:
                self._beats.pop(host)

    def current_until_s(self, own_served_s: float) -> float:
        """Return until when what the newest beats told holds.

        ``own_served_s`` is when the store last answered this host as a reader.
        """
        served_s = [heard.served_s for heard in self._beats.values()]
        return max(own_served_s, *served_s, 0) + _CURRENT_S

    def to_tell(self, now_s: float) -> tuple[Beat, ...]:
        """Return the newest beats, for others."""
        fresh = [
            heard
            for heard in self._beats.values()
            if now_s - heard.heard_s < _CURRENT_S
        ]
        fresh.sort(key=lambda heard: heard.heard_s, reverse=True)
        return tuple(heard.beat for heard in fresh[:_TOLD_BEATS])
