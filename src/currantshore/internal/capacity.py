"""Which backend servers of a service may get a run now."""

import enum
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

from currantshore.internal.limits import AdaptiveLimit
from currantshore.internal.slotshares import SlotShares
from currantshore.internal.snapshot import BackendServer
from currantshore.internal.views import BackendHealth

_NONE_TRIED: Final[frozenset[str]] = frozenset()


@enum.unique
class AdmissionMode(enum.Enum):
    """How much a balancer limits itself; all but the first are baselines."""

    FAIR_SHARES = enum.auto()
    WEIGHTED_SHARES = enum.auto()
    EQUAL_SHARES = enum.auto()
    LIMITS_ONLY = enum.auto()
    UNLIMITED = enum.auto()


class Capacity:
    """Slot shares, adaptive limits and health of one service's servers."""

    __slots__ = (
        '_backends',
        '_demands',
        '_health',
        '_limits',
        '_mode',
        '_outstanding',
        '_shares',
    )

    def __init__(
        self,
        host_id: str,
        health: BackendHealth,
        mode: AdmissionMode,
    ) -> None:
        """Start without backend servers, as the only balancer."""
        self._health = health
        self._mode = mode
        self._backends: tuple[BackendServer, ...] = ()
        self._demands: Mapping[str, int] = {host_id: 0}
        self._limits: dict[str, AdaptiveLimit] = {}
        self._outstanding: Counter[str] = Counter()
        self._shares = SlotShares(host_id)

    @property
    def outstanding(self) -> int:
        """Runs that are out, on any backend server of the service."""
        return self._outstanding.total()

    def configure(
        self,
        backends: tuple[BackendServer, ...],
        now_s: float,
    ) -> None:
        """Send new runs only to ``backends``."""
        self._backends = backends
        held = self._limits
        self._limits = {}
        for backend in backends:
            limit = held.get(backend.backend_id)
            if limit is None:
                limit = AdaptiveLimit(backend.slot_count)
            limit.cap(backend.slot_count)
            self._limits[backend.backend_id] = limit
        self._share(now_s)

    def on_demands(self, demands: Mapping[str, int], now_s: float) -> None:
        """Use the demand of each live balancer, this one included."""
        if demands != self._demands:
            self._demands = demands
            self._share(now_s)

    def is_usable(self, backend_id: str) -> bool:
        """Tell whether the health verdict is good."""
        return self._health.is_usable(backend_id)

    def has_usable(self, tried: frozenset[str] = _NONE_TRIED) -> bool:
        """Tell whether a backend server outside ``tried`` takes runs."""
        return any(True for _ in self._usable(tried))

    def slot_count(self, now_s: float) -> int:
        """Return the runs that this balancer may have out, at least 1."""
        allowed = sum(
            self._allowance(backend, now_s)
            for backend in self._usable(_NONE_TRIED)
        )
        return max(1, allowed)

    def pick(
        self,
        preferred: str,
        tried: frozenset[str],
        now_s: float,
    ) -> BackendServer | None:
        """Choose a server with a free slot, ``preferred`` if possible."""
        ready = [
            backend
            for backend in self._usable(tried)
            if not self._limits[backend.backend_id].is_paused(now_s)
        ]
        free = [backend for backend in ready if self._free(backend, now_s) > 0]
        # A balancer without a share still has one request outstanding, so
        # that a service never stops at a host that lost every slot draw.
        if not free and not self.outstanding:
            free = ready
        for backend in free:
            if backend.backend_id == preferred:
                return backend
        return max(
            free,
            key=lambda each: self._free(each, now_s),
            default=None,
        )

    def take(self, backend_id: str) -> None:
        """Count a run as out."""
        self._outstanding[backend_id] += 1

    def release(self, backend_id: str) -> None:
        """Count a run as ended, however it ended."""
        self._outstanding[backend_id] -= 1
        if not self._outstanding[backend_id]:
            self._outstanding.pop(backend_id)

    def on_success(self, backend_id: str, now_s: float) -> None:
        """Note a whole answer."""
        self._health.record_success(backend_id, now_s)
        if self._adapts() and backend_id in self._limits:
            self._limits[backend_id].on_success()

    def on_shed(
        self,
        backend_id: str,
        retry_after_s: float,
        now_s: float,
    ) -> None:
        """Note a run that the server did not start."""
        if self._adapts() and backend_id in self._limits:
            self._limits[backend_id].on_shed(now_s, retry_after_s)

    def on_timeout(self, backend_id: str, now_s: float) -> None:
        """Note a run without a whole answer in time."""
        self._health.record_failure(backend_id, now_s)
        if self._adapts() and backend_id in self._limits:
            self._limits[backend_id].on_timeout(now_s)

    def _adapts(self) -> bool:
        return self._mode in {
            AdmissionMode.FAIR_SHARES,
            AdmissionMode.WEIGHTED_SHARES,
            AdmissionMode.LIMITS_ONLY,
        }

    def _share(self, now_s: float) -> None:
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

    def _allowance(self, backend: BackendServer, now_s: float) -> int:
        ratio = self._health.weight_ratio(backend.backend_id)
        allowed = self._limits[backend.backend_id].allowed(ratio)
        if self._mode is AdmissionMode.LIMITS_ONLY:
            return allowed
        return min(allowed, self._shares.share(backend.backend_id, now_s))

    def _free(self, backend: BackendServer, now_s: float) -> int:
        if self._mode is AdmissionMode.UNLIMITED:
            return 1
        taken = self._outstanding[backend.backend_id]
        return self._allowance(backend, now_s) - taken
