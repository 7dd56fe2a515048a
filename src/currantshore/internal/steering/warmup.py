"""Limits new flows at backends that are still warming up.

This is meant for a zone whose backends all return cold while callers press, as
after an evacuation or a loss of power. The configuration states how many
requests a second a cold backend bears, from all hosts together. Placement by
load does the opposite: a cold backend has no requests yet, so that every host
prefers it.

The hosts of the backend's zone share its rate without messages for it. A few of
them, its openers, are chosen by rendezvous hashing (Thaler and Ravishankar,
"Using name-based mappings to increase hit rates", 1998) over the known hosts of
the zone. Each opener spaces its openings evenly; no other host opens any. Hosts
of other zones send nothing to a cold backend, so that zones which cannot reach
each other do not exceed the rate together.

Guarantee: in any second, the openings stay below the stated rate times the
overshoot plus the slack, while the views of the zone's hosts name at most twice
as many openers as intended. Doubtful cases count against opening: a host that
has just started, was stalled, is leaving, or knows so many hosts of its zone
that it cannot know all of them, opens nothing to cold backends.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, Self

from currantshore.internal.hashing import ranked
from currantshore.internal.steering.catalog import Route, Warmup
from currantshore.internal.steering.directory import (
    RESTART_S,
    Backend,
    Standing,
)
from currantshore.internal.steering.mechanisms import Mechanism, SwitchedOff

# Hosts whose views differ may choose twice as many openers as intended.
_VIEW_SKEW: Final = 2

# Openings of one opener in the worst second. More openers bear more of the
# zone's openings, but each of them may begin the second with an opening, which
# reduces the even rate.
_OPENINGS_PER_OPENER: Final = 3

# After this time, a host and the hosts of its zone know each other.
_SETTLE_S: Final = 5.0

# A gap between two ticks from which the host was stalled.
_STALL_S: Final = 0.5

# Starts of backends for which the openers are kept.
_MAX_STARTS: Final = 4096

# While a more urgent opening was refused within this time, less urgent ones
# are refused as well.
_URGENT_REFUSED_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupBounds:
    """How far the openings of a second may exceed a stated rate.

    The bound is the rate times ``overshoot_ratio`` plus ``slack_openings``.
    ``host`` is the IP address of this host.
    """

    host: str = ''
    overshoot_ratio: float = 1.0
    slack_openings: float = 0.0


class OpenerShare(NamedTuple):
    """The number of openers of a cold backend, and the rate of each."""

    openers: int
    openings_per_s: float


class _Refused(NamedTuple):
    """The priority of a refused opening; a lower number is more urgent."""

    priority: int
    refused_s: float


def share_rate(rate_per_s: float, bounds: WarmupBounds) -> OpenerShare:
    """Divide what a cold backend bears among its openers.

    Each opener spaces its openings evenly, so that it sends at most one more
    than its rate in any second. Without openers, the bound is too low for that.
    """
    most = rate_per_s * bounds.overshoot_ratio + bounds.slack_openings
    budget = most / _VIEW_SKEW
    openers = max(math.floor(budget / _OPENINGS_PER_OPENER), 1)
    openings_per_s = min(budget / openers - 1, rate_per_s / openers)
    if openings_per_s <= 0:
        return OpenerShare(0, 0)
    return OpenerShare(openers, openings_per_s)


class WarmupLimiter:
    """Keeps the openings at cold backends within their stated rate.

    The cost is one comparison for a warm backend. For a cold one, the openers
    are chosen once for each of its starts and each change of the zone's hosts.
    """

    __slots__ = (
        '_bounds',
        '_held_off_s',
        '_hosts',
        '_is_limited',
        '_last_tick_s',
        '_next_opening_s',
        '_openers',
        '_refused',
        '_settled_s',
        '_shares',
        '_warmups',
        '_zone',
    )

    def __init__(
        self, zone: str, bounds: WarmupBounds, *, is_limited: bool = True
    ) -> None:
        """Initialize without rates, so that no backend is limited yet.

        With ``is_limited`` off, stated rates are ignored.
        """
        self._zone = zone
        self._bounds = bounds
        self._is_limited = is_limited
        self._warmups: Mapping[str, Warmup] = {}
        self._shares: dict[str, OpenerShare] = {}
        self._hosts: frozenset[str] = frozenset()
        # Whether this host is an opener of a start of a backend.
        self._openers: dict[tuple[str, int], bool] = {}
        self._next_opening_s: dict[Backend, float] = {}
        # When an opening was last held off a cold backend, by service.
        self._held_off_s: dict[str, float] = {}
        # The most urgent opening that was refused lately, by service.
        self._refused: dict[str, _Refused] = {}
        self._last_tick_s = 0.0
        self._settled_s = math.inf

    @classmethod
    def from_config(
        cls, zone: str, bounds: WarmupBounds, switched_off: SwitchedOff
    ) -> Self:
        """Build the limiter of a host in ``zone``."""
        is_limited = Mechanism.WARMUP_LIMIT not in switched_off
        return cls(zone, bounds, is_limited=is_limited)

    def configure(self, warmups: Mapping[str, Warmup]) -> None:
        """Apply the stated rates by service id."""
        if not self._is_limited:
            return
        self._warmups = warmups
        self._shares = {
            service_id: share_rate(warmup.requests_per_s, self._bounds)
            for service_id, warmup in warmups.items()
        }
        self._openers.clear()

    def set_zone_hosts(self, hosts: Iterable[str]) -> None:
        """Set the known hosts of the zone, with this one if it may open."""
        known = frozenset(hosts)
        if known != self._hosts:
            self._hosts = known
            self._openers.clear()

    def tick(self, now_s: float) -> None:
        """Record that this host runs; forget backends that are warm."""
        if self._is_stalled(now_s):
            self._settled_s = now_s + _SETTLE_S
        self._last_tick_s = now_s
        for backend in tuple(self._next_opening_s):
            if not self._is_cold(backend, now_s):
                self._next_opening_s.pop(backend)
        if len(self._openers) > _MAX_STARTS:
            self._openers.clear()

    def warm_up_again(self, backends: Iterable[Backend], now_s: float) -> None:
        """Count ``backends`` as cold since ``now_s`` at the latest."""
        for backend in backends:
            warmup = self._warmups.get(backend.entry.service_id)
            if warmup is not None:
                cold_until_s = now_s + warmup.duration_s
                backend.cold_until_s = max(backend.cold_until_s, cold_until_s)

    def may_open(self, backend: Backend, now_s: float) -> bool:
        """Return whether a new flow may open at ``backend`` now."""
        if not self._is_cold(backend, now_s):
            return True
        service_id = backend.entry.service_id
        if self._may_open_cold(backend, self._shares[service_id], now_s):
            return True
        self._held_off_s[service_id] = now_s
        return False

    def record_opening(self, backend: Backend, now_s: float) -> None:
        """Space the openings of this host at a cold backend."""
        if self._is_cold(backend, now_s):
            share = self._shares[backend.entry.service_id]
            self._next_opening_s[backend] = now_s + 1 / share.openings_per_s

    def yields_to_urgent(
        self, route: Route, backend: Backend, now_s: float
    ) -> bool:
        """Return whether a cold backend is left to more urgent openings."""
        service_id = backend.entry.service_id
        if not self._is_cold(backend, now_s):
            return False
        refused = self._refused.get(service_id)
        if refused is None or now_s - refused.refused_s > _URGENT_REFUSED_S:
            return False
        return refused.priority < route.priority

    def refuses(self, route: Route, service_id: str, now_s: float) -> bool:
        """Return whether an opening found only cold backends; record it.

        Call this for an opening for which no backend of the service was found.
        """
        if self._held_off_s.get(service_id) != now_s:
            return False
        refused = self._refused.get(service_id)
        is_most_urgent = (
            refused is None
            or route.priority <= refused.priority
            or now_s - refused.refused_s > _URGENT_REFUSED_S
        )
        if is_most_urgent:
            self._refused[service_id] = _Refused(route.priority, now_s)
        return True

    def _may_open_cold(
        self, backend: Backend, share: OpenerShare, now_s: float
    ) -> bool:
        if backend.entry.zone != self._zone or now_s < self._settled_s:
            return False
        if self._is_stalled(now_s) or not self._is_opener(backend, share):
            return False
        return now_s >= self._next_opening_s.get(backend, 0)

    def _is_opener(self, backend: Backend, share: OpenerShare) -> bool:
        start = (backend.entry.backend_id, backend.entry.started_ms)
        is_opener = self._openers.get(start)
        if is_opener is None:
            openers = ranked(self._hosts, *start)[: share.openers]
            is_opener = self._bounds.host in openers
            self._openers[start] = is_opener
        return is_opener

    def _is_stalled(self, now_s: float) -> bool:
        return now_s - self._last_tick_s > _STALL_S

    def _is_cold(self, backend: Backend, now_s: float) -> bool:
        warmup = self._warmups.get(backend.entry.service_id)
        if warmup is None:
            return False
        if now_s < backend.cold_until_s or backend.standing is Standing.LAPSED:
            return True
        # A backend that is or was silent for so long may have started again
        # without this host having its new entry.
        is_suspect = now_s < backend.suspect_until_s
        if is_suspect and now_s - backend.last_answer_s > RESTART_S:
            return True
        return now_s - backend.returned_s < warmup.duration_s
