"""How much longer than usual each backend server takes for its answers.

The load that this answers: servers that turn slow, or are cold, beside others
that are not. A host sees only its own requests at a server; the queue that
other hosts have built there shows in how long its answers take. An answer is
compared with the middle one of its route, so that in a flood, when all are
late, no server counts as slow.
"""

from collections.abc import Container
from typing import Final

from currantshore.internal.steering.catalog import Route
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.quantiles import RunningQuantile

_MIDDLE: Final = 0.5

# Weight of the newest answer in a server's mean: about the last five.
_WEIGHT: Final = 0.2

# Means up to this many times the usual are what the spread of work and the
# way to another zone make of equal servers.
_USUAL_RATIO: Final = 1.5

# A server that gets no requests shows nothing new: its mean counts half as
# much after this time, so that it is tried again.
_HALF_LIFE_S: Final = 2.0


class Slownesses:
    """Follows the usual latency of each route, and each server's mean."""

    __slots__ = ('_usual',)

    def __init__(self) -> None:
        """Start without routes."""
        self._usual: dict[bytes, RunningQuantile] = {}

    def note(
        self,
        route: Route,
        backend: Backend,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Take an answer of ``backend`` to a request of ``route``."""
        usual = self._usual.get(route.address_key)
        if usual is None:
            usual = RunningQuantile(_MIDDLE, latency_s)
            self._usual[route.address_key] = usual
        usual.note(latency_s)
        ratio = latency_s / usual.estimate
        mean = backend.latency_ratio
        backend.latency_ratio += (ratio - mean) * _WEIGHT
        backend.latency_noted_s = now_s

    def forget_gone(self, routes: Container[bytes]) -> None:
        """Forget routes that are not in ``routes``."""
        for address_key in tuple(self._usual):
            if address_key not in routes:
                self._usual.pop(address_key)


def slowness(backend: Backend, now_s: float) -> float:
    """Return how many times as long as usual the server takes; 1 or more."""
    excess = backend.latency_ratio - _USUAL_RATIO
    if excess <= 0:
        return 1
    half_lives: float = (now_s - backend.latency_noted_s) / _HALF_LIFE_S
    return 1 + excess * 2**-half_lives
