"""Maintains the verdict of one balancer about one backend server.

Consecutive failures mark a backend server as down, consecutive successes bring
it back. The two thresholds and the hold time are a hysteresis that keeps a
server at the edge of its capacity from flapping.
"""

from typing import Final

from currantshore.internal import chartloader

_CHART: Final = chartloader.load('backend')
DOWN: Final = 'down'
_RETURNING: Final = 'returning'

# Two lost packets in a row are common on a link with 5% loss; four are not.
FAILURES_TO_DOWN: Final = 4
SUCCESSES_TO_RETURN: Final = 2
# Failures further apart than this are single losses, not one fault.
_FAILURE_MEMORY_S: Final = 10.0
_MIN_HOLD_S: Final = 2.0
_MAX_HOLD_S: Final = 60.0
# After a return that lasts this long, the hold time is reset.
_STABLE_S: Final = 60.0
SLOW_START_S: Final = 10.0
_MIN_WEIGHT_RATIO: Final = 0.1
# A probe that succeeds while requests fail proves only that the health endpoint
# works, so it must not reset the failures of real traffic within this time.
_PASSIVE_PRIORITY_S: Final = 3.0


class Verdict:
    """State, failures and successes of one backend server.

    Passive outcomes come from real traffic, the others from probes.
    """

    __slots__ = (
        '_down_since_s',
        '_failures',
        '_hold_s',
        '_last_failure_s',
        '_last_passive_failure_s',
        '_returned_s',
        '_successes',
        'is_from_traffic',
        'last_success_s',
        'state',
    )

    def __init__(self) -> None:
        """Initialize as usable, which lasts until the server fails."""
        self.state = _CHART.initial
        self.last_success_s = float('-inf')
        # Whether failures of real traffic, not only of probes, marked it down.
        self.is_from_traffic = False
        self._failures = 0
        self._successes = 0
        self._hold_s = _MIN_HOLD_S
        self._down_since_s = float('-inf')
        self._returned_s = float('-inf')
        self._last_failure_s = float('-inf')
        self._last_passive_failure_s = float('-inf')

    @property
    def is_down(self) -> bool:
        """Return whether this balancer considers the server down."""
        return self.state == DOWN

    @property
    def is_returning(self) -> bool:
        """Return whether it is in its slow start."""
        return self.state == _RETURNING

    @property
    def is_failing(self) -> bool:
        """Return whether the newest outcomes are failures."""
        return self._failures > 0

    @property
    def is_uncertain(self) -> bool:
        """Return whether the next few outcomes can change the verdict."""
        return self._successes > 0 if self.is_down else self.is_failing

    def fail(self, now_s: float, *, is_passive: bool) -> None:
        """Record a request that timed out or a probe without a reply."""
        if now_s - self._last_failure_s > _FAILURE_MEMORY_S:
            self._failures = 0
        self._failures += 1
        self._successes = 0
        self._last_failure_s = now_s
        if is_passive:
            self._last_passive_failure_s = now_s
        self._apply_event('failure')
        if self._failures >= FAILURES_TO_DOWN:
            self._mark_down(now_s)

    def succeed(self, now_s: float, *, is_passive: bool) -> None:
        """Record an answer, a downstream packet or a probe reply."""
        age_s = now_s - self._last_passive_failure_s
        if not is_passive and age_s < _PASSIVE_PRIORITY_S:
            return
        self.last_success_s = now_s
        self._failures = 0
        self._successes += 1
        self._apply_event('success')
        if self.is_down and self._may_return(now_s):
            self.begin_return(now_s)

    def begin_slow_start(self, now_s: float) -> None:
        """Begin the slow start of a backend server that has just joined."""
        self._returned_s = now_s
        self.state = _RETURNING

    def begin_return(self, now_s: float) -> None:
        """Begin the slow start of a backend server that was down."""
        if self.is_down:
            self._returned_s = now_s
            self._failures = 0
            self._apply_event('recovered')

    def weight_ratio(self, now_s: float) -> float:
        """Return the current share of its normal weight."""
        if self.state != _RETURNING:
            return 1.0
        age_ratio = (now_s - self._returned_s) / SLOW_START_S
        if age_ratio >= 1:
            self._apply_event('warmed')
            return 1.0
        return max(_MIN_WEIGHT_RATIO, age_ratio)

    def _may_return(self, now_s: float) -> bool:
        if self._successes < SUCCESSES_TO_RETURN:
            return False
        return now_s - self._down_since_s >= self._hold_s

    def _mark_down(self, now_s: float) -> None:
        if self.is_down:
            return
        is_flapping = now_s - self._returned_s < _STABLE_S
        self._hold_s = (
            min(self._hold_s * 2, _MAX_HOLD_S) if is_flapping else _MIN_HOLD_S
        )
        age_s = now_s - self._last_passive_failure_s
        self.is_from_traffic = age_s <= _FAILURE_MEMORY_S
        self._down_since_s = now_s
        self._successes = 0
        self._apply_event('confirmed')

    def _apply_event(self, event: str) -> None:
        self.state = _CHART.next_state(self.state, event)
