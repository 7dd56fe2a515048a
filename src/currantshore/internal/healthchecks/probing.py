"""Selects which balancer probes which backend server, and when."""

from collections.abc import Iterable, Mapping
from typing import Final

from currantshore.internal import hashing
from currantshore.internal.snapshot import BackendServer
from currantshore.internal.views import LiveView

PROBERS_PER_BACKEND: Final = 3
_PROBERS_IN_BACKEND_ZONE: Final = 2
PROBE_TIMEOUT_S: Final = 0.5
_MIN_INTERVAL_S: Final = 1.0
# Limits a balancer to 5 probes (about 200 bytes) per second.
_MAX_PROBES_PER_S: Final = 5.0
_RAISED_FACTOR: Final = 5.0
RAISED_RATE_DURATION_S: Final = 10.0
# Confirms an uncertain state within two seconds at any usual probe rate.
_UNCERTAIN_INTERVAL_S: Final = 0.4
# Limits the raised rates when the servers of many services fail together: 20
# probes a second are about 800 bytes a second.
MAX_PROBES_PER_TICK: Final = 1


def probers(backend: BackendServer, view: LiveView) -> list[str]:
    """Return the balancers that probe ``backend``.

    Two of them are in the backend server's availability zone if it has that
    many, so that a network cut between zones does not look like a failed
    backend server. One is in another zone, so that a zone that is cut off is
    detected.
    """
    peers = [peer for peer in view.peers.values() if not peer.is_leaving]
    near = [peer.host_id for peer in peers if peer.zone == backend.zone]
    far = [peer.host_id for peer in peers if peer.zone != backend.zone]
    near = hashing.ranked(near, 'probe', backend.backend_id)
    far = hashing.ranked(far, 'probe', backend.backend_id)
    chosen = near[:_PROBERS_IN_BACKEND_ZONE]
    chosen.extend(far[: PROBERS_PER_BACKEND - len(chosen)])
    return chosen


class ProbeSchedule:
    """Tracks probes that are due and probes that wait for their reply."""

    __slots__ = (
        '_due_s',
        '_in_flight',
        '_interval_s',
        '_raised_until_s',
        '_service_by_backend',
        '_uncertain',
    )

    def __init__(self) -> None:
        """Initialize without assignments."""
        self._due_s: dict[str, float] = {}
        self._uncertain: set[str] = set()
        self._service_by_backend: dict[str, str] = {}
        self._raised_until_s: dict[str, float] = {}
        self._in_flight: dict[int, tuple[str, float]] = {}
        self._interval_s = _MIN_INTERVAL_S

    def assign(self, services: Mapping[str, str], now_s: float) -> None:
        """Probe the ids in ``services``, which maps them to service ids."""
        count = len(services)
        self._interval_s = max(_MIN_INTERVAL_S, count / _MAX_PROBES_PER_S)
        spread_s = self._interval_s / max(count, 1)
        self._due_s = {
            backend_id: self._due_s.get(backend_id, now_s + spread_s * position)
            for position, backend_id in enumerate(services)
        }
        self._service_by_backend = dict(services)
        self._uncertain &= services.keys()

    @property
    def usual_interval_s(self) -> float:
        """Return the time between probes when nothing fails."""
        return self._interval_s

    def is_assigned(self, backend_id: str) -> bool:
        """Return whether this balancer probes ``backend_id``."""
        return backend_id in self._service_by_backend

    def raise_rate(self, service_id: str, now_s: float) -> None:
        """Probe the backend servers of a service more often for a while."""
        if self._raised_until_s.get(service_id, 0.0) <= now_s:
            for backend_id, service in self._service_by_backend.items():
                if service == service_id:
                    self._due_s[backend_id] = now_s
        self._raised_until_s[service_id] = now_s + RAISED_RATE_DURATION_S

    def update_uncertain(
        self,
        backend_id: str,
        now_s: float,
        *,
        is_uncertain: bool,
    ) -> None:
        """Probe a backend server often until its state is certain."""
        if not is_uncertain:
            self._uncertain.discard(backend_id)
        elif backend_id in self._service_by_backend:
            self._uncertain.add(backend_id)
            soon_s = now_s + _UNCERTAIN_INTERVAL_S
            self._due_s[backend_id] = min(self._due_s[backend_id], soon_s)

    def _next_probe_s(self, backend_id: str, now_s: float) -> float:
        if backend_id in self._uncertain:
            return now_s + _UNCERTAIN_INTERVAL_S
        return now_s + self.interval_s(
            self._service_by_backend[backend_id], now_s
        )

    def interval_s(self, service_id: str, now_s: float) -> float:
        """Return the usual or raised time between probes of a service."""
        if self._raised_until_s.get(service_id, 0.0) > now_s:
            return self._interval_s / _RAISED_FACTOR
        return self._interval_s

    def pop_due(self, now_s: float) -> list[str]:
        """Return the backend ids to probe now and schedule the next time."""
        due = [
            backend_id
            for backend_id, due_s in self._due_s.items()
            if due_s <= now_s
        ]
        due.sort(key=self._due_s.__getitem__)
        chosen = due[:MAX_PROBES_PER_TICK]
        for backend_id in chosen:
            self._due_s[backend_id] = self._next_probe_s(backend_id, now_s)
        return chosen

    def record_probe(
        self, probe_id: int, backend_id: str, now_s: float
    ) -> None:
        """Record that a probe was sent."""
        self._in_flight[probe_id] = (backend_id, now_s + PROBE_TIMEOUT_S)

    def pop_in_flight(self, probe_id: int) -> str | None:
        """Return the backend id of an in-flight probe; None for other ids."""
        in_flight = self._in_flight.pop(probe_id, None)
        return None if in_flight is None else in_flight[0]

    def pop_expired(self, now_s: float) -> Iterable[str]:
        """Return the backend ids whose probes had no reply in time."""
        expired = [
            probe_id
            for probe_id, (_, expires_s) in self._in_flight.items()
            if expires_s <= now_s
        ]
        return [self._in_flight.pop(probe_id)[0] for probe_id in expired]
