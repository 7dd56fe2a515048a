"""How much of a request's latency was waiting, by what its route usually takes.

The load that this answers: queues that stand full, on sites of any work and
target latency. A host sees latencies only. What a route takes without a queue
is the middle one of its latencies, of the minutes past and not of the seconds
of a flood; the rest is waiting. It is judged by the time that the route's
target leaves for waiting, so that work that takes most of a target is not
mistaken for a queue.
"""

import collections
import dataclasses
from collections.abc import Container
from typing import Final, Protocol

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff
from currantshore.internal.steering.quantiles import RunningQuantile

# The middle answer of a period without a flood has not waited, and the gate
# looks at the middle one as well, so that the spread of work is no waiting.
_QUIET_SHARE: Final = 0.5

# The least of several periods counts, so that each has to vary by less than a
# tenth; a period of the smallest hosts has some dozens of answers.
_STEP_RATIO: Final = 0.03

# The least of the last periods counts: two minutes, while floods are seconds.
_PERIOD_S: Final = 10.0
_PERIODS: Final = 12

# Prior, until a route has been followed for some seconds: work of a fifth of
# its target latency, or what is measured, up to two thirds of the target. A
# host that starts in a flood measures the queue as well, which takes more.
_PRIOR_RATIO: Final = 0.2
_MOST_PRIOR_RATIO: Final = 2 / 3
_FOLLOWED_S: Final = 10.0


@dataclasses.dataclass(slots=True)
class _RouteLatency:
    """Middle latencies of a route, one for each period."""

    first_s: float
    period_s: float
    quantiles: collections.deque[RunningQuantile] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_PERIODS)
    )

    def note(self, latency_s: float, now_s: float) -> None:
        if not self.quantiles or now_s - self.period_s >= _PERIOD_S:
            self.period_s = now_s
            before_s = latency_s
            if self.quantiles:
                before_s = self.quantiles[-1].estimate
            self.quantiles.append(
                RunningQuantile(_QUIET_SHARE, before_s, _STEP_RATIO)
            )
        self.quantiles[-1].note(latency_s)

    def quiet_s(self, target_s: float, now_s: float) -> float:
        if now_s - self.first_s < _FOLLOWED_S:
            measured_s = max(
                self.quantiles[-1].estimate, target_s * _PRIOR_RATIO
            )
            return min(measured_s, target_s * _MOST_PRIOR_RATIO)
        return min(quantile.estimate for quantile in self.quantiles)


class Waits(Protocol):
    """Tells how near an answer's latency is to being late."""

    def note(self, route: Route, latency_s: float, now_s: float) -> float:
        """Take an answer's latency; return its share, 1 for just in time."""

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Forget routes that are not in ``routes``."""


def build_waits(switched_off: SwitchedOff) -> Waits:
    """Build what is in force."""
    if Mechanism.WAIT_SHARES in switched_off:
        return LatencyShares()
    return WaitShares()


class LatencyShares:
    """Takes all of a latency for waiting; the baseline."""

    __slots__ = ()

    def note(self, route: Route, latency_s: float, now_s: float) -> float:
        """Return the latency in parts of the route's target."""
        return latency_s / route.target_latency_s

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Hold nothing that could be forgotten."""


class WaitShares:
    """Follows what each route takes without a queue."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Start with the prior for every route."""
        self._routes: dict[bytes, _RouteLatency] = {}

    def note(self, route: Route, latency_s: float, now_s: float) -> float:
        """Take an answer's latency; return its share of waiting.

        0 is an answer without a queue; at 1 waiting took all the time that the
        route's target leaves, or its timeout where work alone takes longer
        than the target.
        """
        found = self._routes.get(route.address_key)
        if found is None:
            found = _RouteLatency(now_s, now_s)
            self._routes[route.address_key] = found
        found.note(latency_s, now_s)
        quiet_s = found.quiet_s(route.target_latency_s, now_s)
        bound_s = route.target_latency_s
        if bound_s <= quiet_s:
            bound_s = route.timeout_s
        if bound_s <= quiet_s:
            return 0
        return max(latency_s - quiet_s, 0) / (bound_s - quiet_s)

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Forget routes that are not in ``routes``."""
        for address_key in tuple(self._routes):
            if address_key not in routes:
                self._routes.pop(address_key)
