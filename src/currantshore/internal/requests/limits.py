"""Limits the concurrent runs of one backend server adaptively."""

from typing import Final

# One overload makes several runs fail at once. They lower the limit only once.
_MIN_DECREASE_INTERVAL_S: Final = 0.1
_DECREASE_RATIO: Final = 0.7

# Most overloads are over after this time.
_MAX_PAUSE_S: Final = 1.0


class AdaptiveLimit:
    """Additive increase, multiplicative decrease of outstanding runs.

    Follows Chiu and Jain, "Analysis of the increase and decrease algorithms
    for congestion avoidance in computer networks" (1989). A shed or a timeout
    lowers the limit. As many successes as the current limit raise it by one.
    It stays between 1 and the ceiling.
    """

    __slots__ = ('_ceiling', '_limit', '_lowered_s', '_paused_until_s')

    def __init__(self, ceiling: int) -> None:
        """Initialize the limit to ``ceiling`` outstanding runs, at least 1."""
        self._ceiling = max(1, ceiling)
        self._limit = float(self._ceiling)
        self._lowered_s = -_MIN_DECREASE_INTERVAL_S
        self._paused_until_s = 0.0

    def cap(self, ceiling: int) -> None:
        """Apply a new declared slot count."""
        if ceiling != self._ceiling:
            self._ceiling = max(1, ceiling)
            self._limit = min(self._limit, float(self._ceiling))

    def allowed(self, weight_ratio: float) -> int:
        """Return the outstanding runs allowed, at least 1.

        ``weight_ratio`` is below 1.0 during a slow start.
        """
        return max(1, int(self._limit * weight_ratio))

    def is_paused(self, now_s: float) -> bool:
        """Return whether the backend server requested a pause."""
        return now_s < self._paused_until_s

    def on_success(self) -> None:
        """Raise the limit by a fraction of one run."""
        raised = self._limit + 1 / self._limit
        self._limit = min(raised, float(self._ceiling))

    def on_shed(self, now_s: float, retry_after_s: float) -> None:
        """Lower the limit and pause for the time that the server requests."""
        self._lower(now_s)
        pause_s = min(max(retry_after_s, 0), _MAX_PAUSE_S)
        self._paused_until_s = max(self._paused_until_s, now_s + pause_s)

    def on_timeout(self, now_s: float) -> None:
        """Lower the limit after a run without a complete answer."""
        self._lower(now_s)

    def _lower(self, now_s: float) -> None:
        if now_s - self._lowered_s >= _MIN_DECREASE_INTERVAL_S:
            self._lowered_s = now_s
            self._limit = max(1.0, self._limit * _DECREASE_RATIO)
