"""Which backend servers have fallen silent, and what that permits.

The load that this answers: servers that crash or lose power under traffic.
Their entries stay in the store for three heartbeats; the flows that pass a
host show the silence within tens of milliseconds.

Signs, and what each permits:

* an opening, or a request for long, without an answer, and no answer of the
  server to any other flow since: new flows go elsewhere for a while;
* one of these, and two attempts to connect that fail while an attempt to
  connect to another server, made at the same time, succeeds: flows of the
  server are reset;
* one of these, and an entry of another server at its address: the same, without
  an attempt, which would reach the address's new owner.

Any answer of the server to any flow ends all of it. The other server is the
control of the trial: a full link or a stalled host delays both.
"""

import enum
from typing import Final

from currantshore.internal.steering.directory import (
    Backend,
    Standing,
)

# A server is tried again this long after a sign of silence.
_AVOID_S: Final = 0.5

# A request is late when its server takes this many times its mean latency; a
# full queue of 12 before 3 slots takes about 5 times the mean.
_LATE_FACTOR: Final = 6.0

# Bounds of the time after which an unanswered request is a sign: most of a
# caller's first retransmission (200 ms), and three of them; but work of any
# length may take twice its mean.
_LATE_MIN_S: Final = 0.15
_LATE_MAX_S: Final = 0.6
_USUAL_FACTOR: Final = 2.0

# Failed connection attempts that confirm a silence; one may be a lost packet.
_CONFIRMATIONS: Final = 2

# Pause between two attempts to connect to a silent server, before and after
# the silence is confirmed.
_CHECK_PAUSE_S: Final = 0.1
_RECHECK_PAUSE_S: Final = 1.0


# How long a verdict on a server whose entry has lapsed is used without another
# attempt: a reset costs the caller a new flow, a wait its deadline.
_VERDICT_LIFE_S: Final = 1.0


@enum.unique
class Health(enum.Enum):
    """What flows have shown of a server."""

    ANSWERING = 'answering'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class SilenceWatch:
    """Follows the silence of one server."""

    __slots__ = (
        '_check_after_s',
        '_failures',
        '_is_checking',
        '_since_s',
        'health',
    )

    def __init__(self) -> None:
        """Start with a server that answers."""
        self.health = Health.ANSWERING
        self._since_s = 0.0
        self._failures = 0
        self._check_after_s = 0.0
        self._is_checking = False

    def judge(
        self,
        backend: Backend,
        now_s: float,
        late_opening_s: float,
        *,
        is_replaced: bool,
    ) -> bool:
        """Judge a server by its flows; tell whether to try a connection.

        ``late_opening_s`` is the age from which an unanswered opening is a
        sign, ``is_replaced`` whether its address belongs to another server.
        """
        if self.health is Health.DEAD:
            is_silent = backend.last_answer_s <= self._since_s
            if not is_replaced and self._is_stale(backend, now_s):
                is_silent = False
        else:
            is_silent = _is_silent(backend, now_s, late_opening_s)
        if not is_silent:
            self.clear()
            return False
        if self.health is Health.ANSWERING:
            self.health = Health.SUSPECT
            self._since_s = now_s
        backend.suspect_until_s = now_s + _AVOID_S
        return self._starts_check(backend, now_s)

    def note_check(self, *, is_reachable: bool, now_s: float) -> bool:
        """Take the outcome of an attempt; tell if it confirms the silence."""
        self._is_checking = False
        if is_reachable or self.health is Health.ANSWERING:
            self.clear()
            self._check_after_s = now_s + _RECHECK_PAUSE_S
            return False
        self._failures += 1
        was_dead = self.health is Health.DEAD
        if self._failures >= _CONFIRMATIONS:
            self.health = Health.DEAD
        is_dead = self.health is Health.DEAD
        pause_s = _RECHECK_PAUSE_S if is_dead else _CHECK_PAUSE_S
        self._check_after_s = now_s + pause_s
        return is_dead and not was_dead

    def confirm(self, now_s: float) -> bool:
        """Take a silent server as dead; tell whether that is new."""
        self._is_checking = False
        self._check_after_s = now_s + _RECHECK_PAUSE_S
        was_dead = self.health is Health.DEAD
        self.health = Health.DEAD
        self._failures = _CONFIRMATIONS
        return not was_dead

    def note_no_check(self, now_s: float) -> None:
        """Take an attempt that showed nothing; another may follow."""
        self._is_checking = False
        self._check_after_s = now_s + _CHECK_PAUSE_S

    def clear(self) -> None:
        """Take a server as answering again."""
        self.health = Health.ANSWERING
        self._failures = 0

    def _starts_check(self, backend: Backend, now_s: float) -> bool:
        if self._is_checking or now_s < self._check_after_s:
            return False
        if self.health is Health.DEAD and backend.standing is Standing.LAPSED:
            return False
        self._is_checking = True
        return True

    def _is_stale(self, backend: Backend, now_s: float) -> bool:
        # A server that has lapsed is not tried again and again, since most
        # have gone for good. One that was only cut off shows it to the next
        # flow that is not reset.
        if backend.standing is not Standing.LAPSED:
            return False
        return now_s - self._check_after_s > _VERDICT_LIFE_S


def _is_silent(backend: Backend, now_s: float, late_opening_s: float) -> bool:
    answered_s = backend.last_answer_s
    opening_s = _first(backend.openings)
    if opening_s is not None and now_s - opening_s >= late_opening_s:
        if answered_s <= opening_s:
            return True
    asked_s = _first(backend.asked)
    if asked_s is None:
        return False
    late_s = max(
        min(backend.latency_s * _LATE_FACTOR, _LATE_MAX_S),
        backend.latency_s * _USUAL_FACTOR,
        _LATE_MIN_S,
    )
    return now_s - max(asked_s, answered_s) >= late_s


def _first(times_s: dict[bytes, float]) -> float | None:
    return next(iter(times_s.values()), None)
