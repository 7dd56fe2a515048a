"""Record the heartbeats of readers and how long they confirm a host's data.

Handles hosts that are stopped or suspended for seconds. Datagrams wait in the
socket of such a host in the meantime, and a heartbeat that is read late does
not show that the store answers now.
"""

import enum
from collections.abc import Mapping
from typing import Final

import msgspec

from currantshore.internal.mirror.messages import Heartbeat

HEARTBEAT_INTERVAL_S: Final = 0.5

_MILLISECONDS: Final = 1000

# If a host has the newest version and revision that were reported to it, and
# the store has answered a reader within this time, it has what the store has.
# This is less than the 3 s after which a change has to be in force.
_FRESHNESS_S: Final = 5 * HEARTBEAT_INTERVAL_S

# Older heartbeats are discarded.
_HEARTBEAT_LIFETIME_S: Final = 10.0

# A host whose last periodic check was longer ago than the threshold has been
# stalled, and heartbeats that wait in its socket may be as old as the stall was
# long. After the backlog time it has read all of them and two rounds of newer
# ones; until then no heartbeat confirms the host's data.
_STALL_THRESHOLD_S: Final = 0.5
_BACKLOG_S: Final = 1.0

# Heartbeats in one digest.
_MAX_FORWARDED_HEARTBEATS: Final = 8


@enum.unique
class News(enum.Enum):
    """What a received heartbeat tells; ``READER`` has to spread at once.

    ``READER`` is a new reader, or one that the store begins to answer or no
    longer answers.
    """

    NOTHING = 'nothing'
    HEARTBEAT = 'heartbeat'
    READER = 'reader'


class ReceivedHeartbeat:
    """The newest heartbeat of a reader and the times at which it was sent.

    ``sent_s`` is by the clock of this host, from the age that the heartbeat
    states, and ``reported_s`` is when the last one was sent that reports that
    the store answers the reader. ``served_s`` is when the store had last
    answered it, apart from heartbeats that were received just after a stall.
    ``unserved_since_s`` is the first heartbeat in a row that reports that the
    store does not answer the reader, None after one that reports that it does.
    """

    __slots__ = (
        'heartbeat',
        'received_s',
        'reported_s',
        'sent_s',
        'served_s',
        'unserved_since_s',
    )

    def __init__(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Initialize from the reader's first heartbeat."""
        self.heartbeat = heartbeat
        self.received_s = now_s
        self.sent_s = now_s
        self.reported_s = 0.0
        self.served_s = 0.0
        self.unserved_since_s: float | None = None

    def update(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Apply a newer heartbeat that is received at ``now_s``."""
        self.heartbeat = heartbeat
        self.received_s = now_s
        self.sent_s = now_s - heartbeat.age_ms / _MILLISECONDS
        if heartbeat.is_served:
            self.reported_s = self.sent_s
            self.unserved_since_s = None
        elif self.unserved_since_s is None:
            self.unserved_since_s = self.sent_s

    def aged(self, now_s: float) -> Heartbeat:
        """Return the heartbeat with its age at ``now_s``."""
        age_ms = round((now_s - self.sent_s) * _MILLISECONDS)
        return msgspec.structs.replace(self.heartbeat, age_ms=max(age_ms, 0))


class ReceivedHeartbeats:
    """The newest heartbeat of each reader."""

    __slots__ = (
        '_checked_s',
        '_distrusted_until_s',
        '_heartbeats',
        '_own_host',
    )

    def __init__(self, own_host: str) -> None:
        """Initialize without heartbeats, for the host ``own_host``."""
        self._own_host = own_host
        self._heartbeats: dict[str, ReceivedHeartbeat] = {}
        self._distrusted_until_s = 0.0
        self._checked_s = 0.0

    def by_host(self) -> Mapping[str, ReceivedHeartbeat]:
        """Return the newest heartbeats by host."""
        return self._heartbeats

    def detect_stall(self, now_s: float, *, is_periodic: bool = False) -> None:
        """Detect that this host was stalled since the last periodic check.

        ``is_periodic`` is true for calls at regular intervals.
        """
        if self._checked_s and now_s - self._checked_s > _STALL_THRESHOLD_S:
            self._distrusted_until_s = now_s + _BACKLOG_S
        if is_periodic:
            self._checked_s = now_s

    def record(self, heartbeat: Heartbeat, now_s: float) -> News:
        """Record a heartbeat of another host, if it is newer than the last."""
        if heartbeat.host == self._own_host:
            return News.NOTHING
        news = News.HEARTBEAT
        received = self._heartbeats.get(heartbeat.host)
        if received is None:
            news = News.READER
            received = self._heartbeats[heartbeat.host] = ReceivedHeartbeat(
                heartbeat, now_s
            )
        elif not heartbeat.is_newer_than(received.heartbeat):
            return News.NOTHING
        elif received.heartbeat.is_served is not heartbeat.is_served:
            news = News.READER
        received.update(heartbeat, now_s)
        if heartbeat.is_served and now_s >= self._distrusted_until_s:
            answered_s = heartbeat.answered_ms / _MILLISECONDS
            received.served_s = received.sent_s - answered_s
        return news

    def record_own(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Record a heartbeat of this host, so that digests include it."""
        self._heartbeats[heartbeat.host] = ReceivedHeartbeat(heartbeat, now_s)

    def drop(self, host: str) -> None:
        """Remove a host that is leaving."""
        self._heartbeats.pop(host, None)

    def expire(self, now_s: float) -> None:
        """Discard heartbeats that are too old."""
        for host, received in tuple(self._heartbeats.items()):
            if now_s - received.received_s > _HEARTBEAT_LIFETIME_S:
                self._heartbeats.pop(host)

    def current_until_s(self, own_served_s: float) -> float:
        """Return until when the newest heartbeats confirm the host's data.

        ``own_served_s`` is when the store last answered this host as a reader.
        """
        served_s = [received.served_s for received in self._heartbeats.values()]
        return max(own_served_s, *served_s, 0) + _FRESHNESS_S

    def select_recent(self, now_s: float) -> tuple[Heartbeat, ...]:
        """Return the newest heartbeats to forward to other hosts."""
        fresh = [
            received
            for received in self._heartbeats.values()
            if now_s - received.sent_s < _FRESHNESS_S
        ]
        fresh.sort(key=lambda received: received.sent_s, reverse=True)
        return tuple(
            received.aged(now_s)
            for received in fresh[:_MAX_FORWARDED_HEARTBEATS]
        )
