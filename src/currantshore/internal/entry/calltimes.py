"""Decides how long watches of the store wait, and whether it answers.

This is meant for a store that stops answering a host without an error: the
connections stay open, and a watch without changes looks the same as one that
nobody answers. Each answer shows that the store served this host until then.
The watches of a host are therefore spread over the time that one of them takes,
so that some answer is due soon, without more calls than unspread ones make.

No function here does input or output; times are those of the monotonic clock in
seconds.
"""

from typing import Final

# The pause before the next watch. All changes in it arrive in one answer, so
# that a burst of changes costs a bounded number of calls.
BATCHING_PAUSE_S: Final = 0.2

# From one answer of a watch to the next, without changes.
_CYCLE_S: Final = 2.95

# A store that answers 75 times as late as usual stays within the margin. Later
# answers enlarge it, so that a store that is slow for long counts as serving.
_MARGIN_S: Final = 0.3

# A listing that takes longer counts as unanswered.
_LISTING_DUE_S: Final = 0.8

# A call that failed is repeated within this time; a host whose calls go on to
# fail is not served.
_FAILURE_GRACE_S: Final = 0.4


def choose_wait_s(now_s: float, place: int, count: int) -> float:
    """Return how long a watch that begins now waits, at most ``_CYCLE_S``.

    It is the watch ``place`` of ``count``. Its answers are due at the same
    moments of each cycle, and those of all watches at even distances. A change
    in between makes the next wait shorter.
    """
    elapsed_s = now_s - _CYCLE_S * place / count
    return _CYCLE_S - elapsed_s % _CYCLE_S


class CallTimes:
    """When the call of a subject is due, and since when its calls fail.

    ``answered_s`` is when the last call was answered, 0 before the first
    answer. ``due_s`` is None while no call is in flight.
    """

    __slots__ = ('_failing_since_s', '_lateness_s', 'answered_s', 'due_s')

    def __init__(self) -> None:
        """Initialize without a call."""
        self._failing_since_s: float | None = None
        self._lateness_s = 0.0
        self.answered_s = 0.0
        self.due_s: float | None = None

    def begin_listing(self, now_s: float) -> None:
        """Record that a listing begins."""
        self.due_s = now_s + _LISTING_DUE_S

    def begin_watch(self, due_s: float) -> None:
        """Record that a watch begins whose answer is due at ``due_s``."""
        self.due_s = due_s

    def record_answer(self, now_s: float) -> None:
        """Record that the call in flight succeeded."""
        due_s = now_s if self.due_s is None else self.due_s
        self._lateness_s = max(now_s - due_s, 0.0)
        self._failing_since_s = None
        self.answered_s = now_s
        self.due_s = None

    def record_failure(self, now_s: float, *, may_pass: bool) -> None:
        """Record that the call in flight failed.

        ``may_pass`` is whether the next call may succeed, as after a lost
        connection. Otherwise, and if the answer was late, the host counts as
        not served at once.
        """
        may_be_served = may_pass and self.is_served(now_s)
        self.due_s = None
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if not may_be_served:
            self._failing_since_s -= _FAILURE_GRACE_S

    def record_stall(self, now_s: float) -> None:
        """Record that this host was paused: answers may wait in its socket."""
        if self.due_s is not None:
            self.due_s = max(self.due_s, now_s)

    def clear_failures(self) -> None:
        """Forget the failures of a host that begins or stops to read."""
        self._failing_since_s = None

    def is_served(self, now_s: float) -> bool:
        """Return whether the store answers, as far as it is known."""
        if self._failing_since_s is not None:
            return now_s - self._failing_since_s < _FAILURE_GRACE_S
        if self.due_s is None:
            return True
        return now_s - self.due_s <= _MARGIN_S + self._lateness_s
