"""Estimates how much longer than usual the answers of each backend take.

This is meant for backends that become slow or have just started, next to others
at full speed. A host observes only its own requests at a backend; the queue of
requests from other hosts shows only in the latency of answers. Each latency is
compared with the median of its route, so that no backend counts as slow in a
flood in which all are late.
"""

from collections.abc import Container
from typing import Final

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.quantiles import RunningQuantile

_MEDIAN: Final = 0.5

# Weight of the newest answer in a backend's moving average, which is over about
# the last five answers.
_RATIO_WEIGHT: Final = 0.2

# Equal backends have mean ratios up to this, because requests need different
# amounts of work and because of the delay to other zones.
_MAX_USUAL_RATIO: Final = 1.5

# A backend without requests gives no new latencies. Its excess ratio is halved
# each time this passes, so that it gets requests again.
_HALF_LIFE_S: Final = 2.0


class SlownessTracker:
    """Tracks each route's median latency and each backend's mean ratio."""

    __slots__ = ('_usual',)

    def __init__(self) -> None:
        """Initialize without routes."""
        self._usual: dict[bytes, RunningQuantile] = {}

    def record(
        self,
        route: Route,
        backend: Backend,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Record an answer of ``backend`` to a request of ``route``.

        A latency of 0 is ignored: a host that was paused has read the request
        and the acknowledgement of its answer at the same time.
        """
        if latency_s <= 0:
            return
        usual = self._usual.get(route.address_key)
        if usual is None:
            usual = RunningQuantile(_MEDIAN, latency_s)
            self._usual[route.address_key] = usual
        usual.record(latency_s)
        ratio = latency_s / usual.estimate
        mean = backend.latency_ratio
        backend.latency_ratio += (ratio - mean) * _RATIO_WEIGHT
        backend.latency_updated_s = now_s

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Forget routes that are not in ``routes``."""
        for address_key in tuple(self._usual):
            if address_key not in routes:
                self._usual.pop(address_key)


def slowness(backend: Backend, now_s: float) -> float:
    """Return the factor by which a backend counts as slow; at least 1.

    This is 1 plus the excess of its mean ratio over ``_MAX_USUAL_RATIO``. The
    excess decays while the backend gives no answers.
    """
    excess = backend.latency_ratio - _MAX_USUAL_RATIO
    if excess <= 0:
        return 1
    half_lives: float = (now_s - backend.latency_updated_s) / _HALF_LIFE_S
    return 1 + excess * 2**-half_lives
