"""Estimates which share of a request's target latency was spent in a queue.

This is meant to detect queues that stay full, for any processing time and
target latency. A host observes only latencies. The latency of a route without a
queue is estimated as the lowest of the medians of several periods. These cover
two minutes, while floods last for seconds. The rest of a latency is the wait.
The wait is divided by the time that the route's target leaves for waiting, so
that processing that takes most of a target is not mistaken for a queue.
"""

import collections
import dataclasses
from collections.abc import Container
from typing import Final, Protocol

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff
from currantshore.internal.steering.quantiles import RunningQuantile

# The median request of a period without a flood has not waited. The gate uses
# the median too, so that differences in processing time do not count as waits.
_MEDIAN: Final = 0.5

# Small enough that the median of a period varies by less than a tenth, because
# the minimum over several periods is used. On the smallest hosts, a period has
# only some dozens of answers.
_STEP_RATIO: Final = 0.03

# The minimum of the last periods is used. They cover two minutes, much longer
# than a flood.
_PERIOD_S: Final = 10.0
_PERIODS: Final = 12

# In the first seconds of a route, its latency without a queue is assumed to be
# the measured median, but at least a fifth and at most two thirds of its
# target. The upper bound is for hosts that start in a flood, whose measured
# latencies include a longer wait.
_MIN_PRIOR_RATIO: Final = 0.2
_MAX_PRIOR_RATIO: Final = 2 / 3
_PRIOR_LIFE_S: Final = 10.0


@dataclasses.dataclass(slots=True)
class _RouteLatency:
    """Median latencies of a route, one for each period."""

    started_s: float
    period_start_s: float
    quantiles: collections.deque[RunningQuantile] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_PERIODS)
    )

    def record(self, latency_s: float, now_s: float) -> None:
        if not self.quantiles or now_s - self.period_start_s >= _PERIOD_S:
            self.period_start_s = now_s
            previous_s = latency_s
            if self.quantiles:
                previous_s = self.quantiles[-1].estimate
            self.quantiles.append(
                RunningQuantile(_MEDIAN, previous_s, _STEP_RATIO)
            )
        self.quantiles[-1].record(latency_s)

    def unqueued_s(self, target_s: float, now_s: float) -> float:
        if now_s - self.started_s < _PRIOR_LIFE_S:
            measured_s = max(
                self.quantiles[-1].estimate, target_s * _MIN_PRIOR_RATIO
            )
            return min(measured_s, target_s * _MAX_PRIOR_RATIO)
        return min(quantile.estimate for quantile in self.quantiles)


class WaitEstimator(Protocol):
    """Estimates how close an answer's latency is to being late."""

    def record(self, route: Route, latency_s: float, now_s: float) -> float:
        """Record a latency; return its wait share, 1 for just in time."""

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Forget routes that are not in ``routes``."""


def build_wait_estimator(switched_off: SwitchedOff) -> WaitEstimator:
    """Build the estimator, or its baseline where it is switched off."""
    if Mechanism.WAIT_SHARES in switched_off:
        return LatencyShares()
    return WaitShares()


class LatencyShares:
    """Counts the whole latency as waiting; the baseline."""

    __slots__ = ()

    def record(self, route: Route, latency_s: float, now_s: float) -> float:
        """Return the latency as a share of the route's target."""
        return latency_s / route.target_latency_s

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Do nothing."""


class WaitShares:
    """Tracks each route's latency when no request waits."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Initialize without routes; each starts with the prior."""
        self._routes: dict[bytes, _RouteLatency] = {}

    def record(self, route: Route, latency_s: float, now_s: float) -> float:
        """Record an answer's latency; return its wait share.

        The share is 0 for an answer without a wait. It is 1 if the wait took
        all the time that the route's target leaves, or that its timeout leaves
        where processing alone takes longer than the target. A latency of 0 has
        not been measured (``SlownessTracker.record``) and is not recorded.
        """
        if latency_s <= 0:
            return 0
        route_latency = self._routes.get(route.address_key)
        if route_latency is None:
            route_latency = _RouteLatency(now_s, now_s)
            self._routes[route.address_key] = route_latency
        route_latency.record(latency_s, now_s)
        unqueued_s = route_latency.unqueued_s(route.target_latency_s, now_s)
        bound_s = route.target_latency_s
        if bound_s <= unqueued_s:
            bound_s = route.timeout_s
        if bound_s <= unqueued_s:
            return 0
        return max(latency_s - unqueued_s, 0) / (bound_s - unqueued_s)

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Forget routes that are not in ``routes``."""
        for address_key in tuple(self._routes):
            if address_key not in routes:
                self._routes.pop(address_key)
