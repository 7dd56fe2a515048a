"""Which balancer probes which backend server, and when."""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.internal import hashing
from currantshore.internal.snapshot import BackendServer
from currantshore.internal.views import LiveView

PROBERS_PER_BACKEND: Final = 3
_PROBERS_OF_OWN_ZONE: Final = 2
PROBE_TIMEOUT_S: Final = 0.5
_MIN_INTERVAL_S: Final = 1.0
# Keeps the probes of a node under 5 a second (about 200 bytes a second).
_MAX_PROBES_PER_S: Final = 5.0
_RAISED_FACTOR: Final = 5.0
RAISED_FOR_S: Final = 10.0
# A doubtful backend server is settled within two seconds at any usual rate.
_DOUBT_INTERVAL_S: Final = 0.4
# Bounds the raised rates when the servers of many services fail together: 20
# probes a second are about 800 bytes a second.
MAX_PROBES_PER_TICK: Final = 1


def probers(backend: BackendServer, view: LiveView) -> list[str]:
    """Return the balancers that probe ``backend``.

    Two of them are of its own availability zone where it has that many, so
    that a cut between zones does not look like a failed backend server; one
    is of another zone, so that a cut-off zone is noticed.
    """
    peers = [peer for peer in view.peers.values() if not peer.is_leaving]
    near = [peer.host_id for peer in peers if peer.zone == backend.zone]
    far = [peer.host_id for peer in peers if peer.zone != backend.zone]
    near = hashing.ranked(near, 'probe', backend.backend_id)
    far = hashing.ranked(far, 'probe', backend.backend_id)
    chosen = near[:_PROBERS_OF_OWN_ZONE]
    chosen.extend(far[: PROBERS_PER_BACKEND - len(chosen)])
    return chosen


class ProbeSchedule:
    """Probes that are due and probes that wait for their reply."""

    __slots__ = (
        '_doubtful',
        '_due_s',
        '_interval_s',
        '_raised_s',
        '_services',
        '_waiting',
    )

    def __init__(self) -> None:
        """Start without assignments."""
        self._due_s: dict[str, float] = {}
        self._doubtful: set[str] = set()
        self._services: dict[str, str] = {}
        self._raised_s: dict[str, float] = {}
        self._waiting: dict[int, tuple[str, float]] = {}
        self._interval_s = _MIN_INTERVAL_S

    def assign(self, services: Mapping[str, str], now_s: float) -> None:
        """Probe exactly these backend ids; maps each to its service id."""
        count = len(services)
        self._interval_s = max(_MIN_INTERVAL_S, count / _MAX_PROBES_PER_S)
        spread_s = self._interval_s / max(count, 1)
        self._due_s = {
            backend_id: self._due_s.get(backend_id, now_s + spread_s * place)
            for place, backend_id in enumerate(services)
        }
        self._services = dict(services)
        self._doubtful &= services.keys()

    @property
    def usual_interval_s(self) -> float:
        """Return the time between probes when nothing fails."""
        return self._interval_s

    def is_assigned(self, backend_id: str) -> bool:
        """Tell whether this balancer probes ``backend_id``."""
        return backend_id in self._services

    def raise_rate(self, service_id: str, now_s: float) -> None:
        """Probe the backend servers of a service more often for a while."""
        if self._raised_s.get(service_id, 0.0) <= now_s:
            for backend_id, service in self._services.items():
                if service == service_id:
                    self._due_s[backend_id] = now_s
        self._raised_s[service_id] = now_s + RAISED_FOR_S

    def doubt(
        self,
        backend_id: str,
        now_s: float,
        *,
        is_doubtful: bool,
    ) -> None:
        """Probe a backend server often until its state is settled."""
        if not is_doubtful:
            self._doubtful.discard(backend_id)
        elif backend_id in self._services:
            self._doubtful.add(backend_id)
            soon_s = now_s + _DOUBT_INTERVAL_S
            self._due_s[backend_id] = min(self._due_s[backend_id], soon_s)

    def _next_s(self, backend_id: str, now_s: float) -> float:
        if backend_id in self._doubtful:
            return now_s + _DOUBT_INTERVAL_S
        return now_s + self.interval_s(self._services[backend_id], now_s)

    def interval_s(self, service_id: str, now_s: float) -> float:
        """Return the usual time between probes of a backend server."""
        if self._raised_s.get(service_id, 0.0) > now_s:
            return self._interval_s / _RAISED_FACTOR
        return self._interval_s

    def take_due(self, now_s: float) -> list[str]:
        """Return the backend ids to probe now and schedule the next time."""
        due = [
            backend_id
            for backend_id, due_s in self._due_s.items()
            if due_s <= now_s
        ]
        due.sort(key=self._due_s.__getitem__)
        chosen = due[:MAX_PROBES_PER_TICK]
        for backend_id in chosen:
            self._due_s[backend_id] = self._next_s(backend_id, now_s)
        return chosen

    def wait_for(self, probe_id: int, backend_id: str, now_s: float) -> None:
        """Note that a probe was sent."""
        self._waiting[probe_id] = (backend_id, now_s + PROBE_TIMEOUT_S)

    def answer(self, probe_id: int) -> str | None:
        """Return the backend id that a reply belongs to, if it waits."""
        waiting = self._waiting.pop(probe_id, None)
        return None if waiting is None else waiting[0]

    def take_expired(self, now_s: float) -> Iterable[str]:
        """Return the backend ids whose probes had no reply in time."""
        expired = [
            probe_id
            for probe_id, (_, expires_s) in self._waiting.items()
            if expires_s <= now_s
        ]
        return [self._waiting.pop(probe_id)[0] for probe_id in expired]
