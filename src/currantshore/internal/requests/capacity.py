"""Selects a backend server with a free slot for each run of a service."""

import enum
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

from currantshore.internal.requests.limits import AdaptiveLimit
from currantshore.internal.requests.slotshares import SlotShares
from currantshore.internal.snapshot import BackendServer
from currantshore.internal.views import BackendHealth

# The slot count is cached this long; successes raise a limit by less than a
# slot in this time.
_UPDATE_INTERVAL_S: Final = 0.05

_NONE_TRIED: Final[frozenset[str]] = frozenset()


@enum.unique
class AdmissionMode(enum.Enum):
    """How a balancer limits its runs; all but the first are baselines."""

    FAIR_SHARES = enum.auto()
    WEIGHTED_SHARES = enum.auto()
    EQUAL_SHARES = enum.auto()
    LIMITS_ONLY = enum.auto()
    UNLIMITED = enum.auto()


class Capacity:
    """Slot shares, adaptive limits and health of a service's backends."""

    __slots__ = (
        '_backends',
        '_demands',
        '_health',
        '_limits',
        '_mode',
        '_outstanding',
        '_shares',
        '_slot_count',
        '_updated_s',
    )

    def __init__(
        self,
        host_id: str,
        health: BackendHealth,
        mode: AdmissionMode,
    ) -> None:
        """Initialize without backend servers, as the only balancer."""
        self._health = health
        self._mode = mode
        self._backends: tuple[BackendServer, ...] = ()
        self._demands: Mapping[str, int] = {host_id: 0}
        self._limits: dict[str, AdaptiveLimit] = {}
        self._outstanding: Counter[str] = Counter()
        self._shares = SlotShares(host_id)
        self._slot_count = 0
        self._updated_s = float('-inf')

    @property
    def outstanding(self) -> int:
        """Number of outstanding runs on all backend servers of the service."""
        return self._outstanding.total()

    def configure(
        self,
        backends: tuple[BackendServer, ...],
        now_s: float,
    ) -> None:
        """Send new runs only to ``backends``."""
        self._backends = backends
        previous = self._limits
        self._limits = {}
        for backend in backends:
            limit = previous.get(backend.backend_id)
            if limit is None:
                limit = AdaptiveLimit(backend.slot_count)
            limit.cap(backend.slot_count)
            self._limits[backend.backend_id] = limit
        self._update_shares(now_s)

    def on_demands(self, demands: Mapping[str, int], now_s: float) -> None:
        """Apply the demand of each live balancer, including this one."""
        if demands != self._demands:
            self._demands = demands
            self._update_shares(now_s)

    def is_usable(self, backend_id: str) -> bool:
        """Return whether the backend server is healthy."""
        return self._health.is_usable(backend_id)

    def has_usable(self, tried: frozenset[str] = _NONE_TRIED) -> bool:
        """Return whether a backend server outside ``tried`` is usable."""
        return any(True for _ in self._usable(tried))

    def slot_count(self, now_s: float) -> int:
        """Return the outstanding runs allowed to this balancer, at least 1."""
        if now_s - self._updated_s >= _UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._slot_count = sum(
                self._allowance(backend, now_s)
                for backend in self._usable(_NONE_TRIED)
            )
        return max(1, self._slot_count)

    def has_room(self, now_s: float) -> bool:
        """Return whether a run may start on any backend server.

        If no run is outstanding, one may start without a free slot.
        """
        for backend in self._unpaused(_NONE_TRIED, now_s):
            if not self.outstanding or self._free_slots(backend, now_s) > 0:
                return True
        return False

    def choose(
        self,
        preferred: str,
        tried: frozenset[str],
        now_s: float,
    ) -> BackendServer | None:
        """Choose a backend with a free slot, ``preferred`` if possible."""
        ready = list(self._unpaused(tried, now_s))
        free = {
            backend.backend_id: self._free_slots(backend, now_s)
            for backend in ready
        }
        # A balancer without a slot share may still have one outstanding run,
        # so that its requests for the service do not wait indefinitely.
        if self.outstanding or max(free.values(), default=0) > 0:
            ready = [each for each in ready if free[each.backend_id] > 0]
        for backend in ready:
            if backend.backend_id == preferred:
                return backend
        return max(
            ready,
            key=lambda each: free[each.backend_id],
            default=None,
        )

    def acquire(self, backend_id: str) -> None:
        """Count a run as outstanding."""
        self._outstanding[backend_id] += 1

    def release(self, backend_id: str) -> None:
        """Count a run as ended, with any outcome."""
        self._outstanding[backend_id] -= 1
        if not self._outstanding[backend_id]:
            self._outstanding.pop(backend_id)

    def on_success(self, backend_id: str, now_s: float) -> None:
        """Record a complete answer."""
        self._health.record_success(backend_id, now_s)
        if self._is_adaptive() and backend_id in self._limits:
            self._limits[backend_id].on_success()

    def on_shed(
        self,
        backend_id: str,
        retry_after_s: float,
        now_s: float,
    ) -> None:
        """Record a run that the backend server refused to start."""
        if self._is_adaptive() and backend_id in self._limits:
            self._limits[backend_id].on_shed(now_s, retry_after_s)

    def on_timeout(self, backend_id: str, now_s: float) -> None:
        """Record a run that timed out or whose backend server was lost."""
        self._health.record_failure(backend_id, now_s)
        if self._is_adaptive() and backend_id in self._limits:
            self._limits[backend_id].on_timeout(now_s)

    def _is_adaptive(self) -> bool:
        return self._mode in {
            AdmissionMode.FAIR_SHARES,
            AdmissionMode.WEIGHTED_SHARES,
            AdmissionMode.LIMITS_ONLY,
        }

    def _update_shares(self, now_s: float) -> None:
        self._updated_s = float('-inf')
        shares = self._shares
        match self._mode:
            case AdmissionMode.EQUAL_SHARES:
                shares.update_equally(self._backends, self._demands, now_s)
            case AdmissionMode.WEIGHTED_SHARES:
                shares.update_weighted(self._backends, self._demands, now_s)
            case _:
                shares.update(self._backends, self._demands, now_s)

    def _usable(self, tried: frozenset[str]) -> Iterator[BackendServer]:
        return (
            backend
            for backend in self._backends
            if backend.backend_id not in tried
            and self._health.is_usable(backend.backend_id)
        )

    def _unpaused(
        self,
        tried: frozenset[str],
        now_s: float,
    ) -> Iterator[BackendServer]:
        return (
            backend
            for backend in self._usable(tried)
            if not self._limits[backend.backend_id].is_paused(now_s)
        )

    def _allowance(self, backend: BackendServer, now_s: float) -> int:
        ratio = self._health.weight_ratio(backend.backend_id)
        allowed = self._limits[backend.backend_id].allowed(ratio)
        if self._mode is AdmissionMode.LIMITS_ONLY:
            return allowed
        return min(allowed, self._shares.share(backend.backend_id, now_s))

    def _free_slots(self, backend: BackendServer, now_s: float) -> int:
        if self._mode is AdmissionMode.UNLIMITED:
            return 1
        used = self._outstanding[backend.backend_id]
        return self._allowance(backend, now_s) - used
