"""Detects backend servers that have stopped answering.

This is meant for backends that crash or lose power under traffic. Their entries
stay in the store for three heartbeat intervals, but the flows that pass a host
show the silence within tens of milliseconds.

A backend is silent if an opening is late and the backend has answered no flow
since, or if a request is pending and the backend has answered no flow for long.
The consequences depend on what else is observed:

* With silence alone, new flows are placed on other backends for a while.
* The flows of a silent backend are reset if two attempts to connect to it fail
  while an attempt to connect to another backend, made at the same time,
  succeeds. The other backend is the control: a full link or a stalled host
  delays both attempts.
* The flows of a silent backend are also reset if another backend has announced
  its address. No connection attempt is needed then, since it would reach the
  new owner of the address.

Any answer of the backend to any flow ends the silence. New flows avoid the
backend for up to half a second more.
"""

import enum
from typing import Final

from currantshore.internal.steering.directory import (
    Backend,
    Standing,
)

# A silent backend is avoided for this long after the silence is last observed.
_AVOIDANCE_S: Final = 0.5

# A request is late after this many times its backend's mean latency. With a
# full queue of 12 requests for 3 slots, a request takes about 5 times as long
# as without one.
_LATE_FACTOR: Final = 6.0

# Bounds of the time after which an unanswered request is late: most of the
# caller's first retransmission timeout (200 ms), and three times that timeout.
# However long the work is, a request may take twice the mean latency.
_LATE_MIN_S: Final = 0.15
_LATE_MAX_S: Final = 0.6
_MIN_LATE_FACTOR: Final = 2.0

# Failed connection attempts after which a silent backend counts as dead. One
# failure may be a lost packet.
_FAILURES_UNTIL_DEAD: Final = 2

# Time between two attempts to connect to a silent backend, before and after it
# counts as dead.
_CHECK_INTERVAL_S: Final = 0.1
_RECHECK_INTERVAL_S: Final = 1.0


# A lapsed backend counts as dead for this long after the time at which another
# attempt would be due. A reset costs the caller a new flow; without one, the
# caller waits until its deadline.
_LAPSED_DEAD_LIFE_S: Final = 1.0


@enum.unique
class Health(enum.Enum):
    """State of a backend as observed through its flows and by checks."""

    ANSWERING = 'answering'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class SilenceWatch:
    """Tracks whether one backend is silent."""

    __slots__ = (
        '_check_after_s',
        '_failures',
        '_is_checking',
        '_silent_since_s',
        'health',
    )

    def __init__(self) -> None:
        """Initialize the watch of a backend that answers."""
        self.health = Health.ANSWERING
        self._silent_since_s = 0.0
        self._failures = 0
        self._check_after_s = 0.0
        self._is_checking = False

    def evaluate(
        self,
        backend: Backend,
        now_s: float,
        late_opening_s: float,
        *,
        is_replaced: bool,
    ) -> bool:
        """Update the health from flows; return whether to try a connection.

        ``late_opening_s`` is the age from which an unanswered opening counts
        as late, ``is_replaced`` whether the backend's address belongs to
        another one.
        """
        if self.health is Health.DEAD:
            is_silent = backend.last_answer_s <= self._silent_since_s
            if not is_replaced and self._is_state_expired(backend, now_s):
                is_silent = False
        else:
            is_silent = _is_silent(backend, now_s, late_opening_s)
        if not is_silent:
            self.clear()
            return False
        if self.health is Health.ANSWERING:
            self.health = Health.SUSPECT
            self._silent_since_s = now_s
        backend.suspect_until_s = now_s + _AVOIDANCE_S
        return self._begin_check_if_due(backend, now_s)

    def record_check(self, *, is_reachable: bool, now_s: float) -> bool:
        """Record an attempt; return whether the backend is dead from now on."""
        self._is_checking = False
        if is_reachable or self.health is Health.ANSWERING:
            self.clear()
            self._check_after_s = now_s + _RECHECK_INTERVAL_S
            return False
        self._failures += 1
        was_dead = self.health is Health.DEAD
        if self._failures >= _FAILURES_UNTIL_DEAD:
            self.health = Health.DEAD
        is_dead = self.health is Health.DEAD
        interval_s = _RECHECK_INTERVAL_S if is_dead else _CHECK_INTERVAL_S
        self._check_after_s = now_s + interval_s
        return is_dead and not was_dead

    def mark_dead(self, now_s: float) -> bool:
        """Mark a silent backend as dead; return whether its state changed."""
        self._is_checking = False
        self._check_after_s = now_s + _RECHECK_INTERVAL_S
        was_dead = self.health is Health.DEAD
        self.health = Health.DEAD
        self._failures = _FAILURES_UNTIL_DEAD
        return not was_dead

    def record_inconclusive_check(self, now_s: float) -> None:
        """Record an attempt that proved nothing; another one may follow."""
        self._is_checking = False
        self._check_after_s = now_s + _CHECK_INTERVAL_S

    def clear(self) -> None:
        """Treat the backend as answering again."""
        self.health = Health.ANSWERING
        self._failures = 0

    def _begin_check_if_due(self, backend: Backend, now_s: float) -> bool:
        if self._is_checking or now_s < self._check_after_s:
            return False
        if self.health is Health.DEAD and backend.standing is Standing.LAPSED:
            return False
        self._is_checking = True
        return True

    def _is_state_expired(self, backend: Backend, now_s: float) -> bool:
        # No further attempts are made to a lapsed backend, since most have
        # gone for good. Instead, its state expires. If the backend was only
        # cut off from the store, it answers the next packets of its flows.
        if backend.standing is not Standing.LAPSED:
            return False
        return now_s - self._check_after_s > _LAPSED_DEAD_LIFE_S


def _is_silent(backend: Backend, now_s: float, late_opening_s: float) -> bool:
    answered_s = backend.last_answer_s
    opening_s = _oldest_s(backend.pending_openings)
    if opening_s is not None and now_s - opening_s >= late_opening_s:
        if answered_s <= opening_s:
            return True
    requested_s = _oldest_s(backend.pending_requests)
    if requested_s is None:
        return False
    late_s = max(
        min(backend.mean_latency_s * _LATE_FACTOR, _LATE_MAX_S),
        backend.mean_latency_s * _MIN_LATE_FACTOR,
        _LATE_MIN_S,
    )
    return now_s - max(requested_s, answered_s) >= late_s


def _oldest_s(times_s: dict[bytes, float]) -> float | None:
    return next(iter(times_s.values()), None)
