"""Probes, reports and CPU of backend server health at the target pool size."""

import random
import time
from collections import Counter as Tally
from collections.abc import Sequence
from typing import Any, Final, TypeAlias

from bench.fits import fit_line
from bench.virtualpool import (
    PEER_KEY,
    UDP_HEADER_SIZE_BYTES,
    build_pool,
)
from currantshore import wire
from currantshore.internal import peerwire
from currantshore.internal.counters import Counters
from currantshore.internal.events import Action, SendToBackend, SendToPeer
from currantshore.internal.healthchecks.health import HealthPlane
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.internal.views import LiveView, PeerView

Figures: TypeAlias = dict[str, Any]

_TICK_S: Final = 0.05
_BACKENDS_PER_SERVICE: Final = 2
_QUIET_S: Final = 20.0
_AFTER_S: Final = 20.0
_RECOVERY_S: Final = 40.0
# Membership knows of the loss of a zone after this time; see losscosts.
_VIEW_DELAY_S: Final = 4.0
# A rack of the platform holds about this many backend servers of one pool.
_RACK_BACKENDS: Final = 20


def measure_health(services: Sequence[int], host_count: int) -> Figures:
    """Return costs of a node by number of backend servers of the pool."""
    counts = [size * _BACKENDS_PER_SERVICE for size in services]
    rows = [_HealthRun(size, host_count).measure() for size in services]
    found: Figures = {
        'hosts': host_count,
        'backend_servers': counts,
        'rows': rows,
    }
    for figure in ('probes_per_s', 'sent_bytes_per_s', 'cpu_ratio'):
        found[f'fit_{figure}'] = fit_line(counts, [row[figure] for row in rows])
    return found


class _HealthRun:
    """Health planes of a pool; a rack of backend servers dies."""

    def __init__(self, services: int, host_count: int) -> None:
        self.pool = build_pool(host_count, services, _BACKENDS_PER_SERVICE)
        self.by_endpoint = _by_endpoint(self.pool)
        self.dead: set[str] = set()
        self.now_s = 0.0
        self.cpu_s = 0.0
        self.probes = 0
        self.sent_bytes: Tally[str] = Tally()
        self.planes = {
            host.host_id: HealthPlane.from_config(
                host.host_id, Counters(), PEER_KEY, random.Random(1)
            )
            for host in self.pool.members.hosts
        }
        self.is_view_late = False
        self.peers = {
            host.host_id: PeerView(
                host.host_id, host.zone, 1, False, True, 0, {}
            )
            for host in self.pool.members.hosts
        }
        for plane in self.planes.values():
            plane.configure(self.pool, 0.0)
        self.show_peers()

    def show_peers(self) -> None:
        """Give every plane the live hosts."""
        self.is_view_late = False
        for host_id, plane in self.planes.items():
            view = LiveView(host_id, dict(self.peers), 1)
            plane.on_live_view(view, self.now_s)

    def measure(self) -> Figures:
        """Return the costs in quiet and after the loss of a rack."""
        self.run(_QUIET_S)
        self.reset()
        self.run(_QUIET_S)
        node_seconds = len(self.planes) * _QUIET_S
        quiet: Figures = {
            'probes_per_s': round(self.probes / node_seconds, 3),
            'sent_bytes_per_s': round(
                self.sent_bytes.total() / node_seconds, 1
            ),
            'cpu_ratio': round(self.cpu_s / node_seconds, 6),
        }
        names = sorted(self.by_endpoint.values())
        rack = set(names[: min(_RACK_BACKENDS, len(names) // 4)])
        rack_figures = self.lose(rack, 'rack')
        self.dead = set()
        self.run(_RECOVERY_S)
        return quiet | rack_figures | self.lose_zone()

    def lose_zone(self) -> Figures:
        """Lose the hosts and the backend servers of one zone together."""
        zone = self.pool.members.zones[0]
        for host in self.pool.members.hosts:
            if host.zone == zone:
                self.planes.pop(host.host_id)
                self.peers.pop(host.host_id)
        dead = {
            backend.backend_id
            for service in self.pool.services
            for backend in service.backend_servers
            if backend.zone == zone
        }
        self.is_view_late = True
        figures = self.lose(dead, 'zone')
        figures['zone_lost_backends'] = len(dead)
        return figures

    def lose(self, dead: set[str], label: str) -> Figures:
        """Kill backend servers and follow until all balancers know."""
        self.reset()
        self.dead = dead
        started_s = self.now_s
        known_s = 0.0
        while self.now_s - started_s < _AFTER_S:
            self.run(_TICK_S)
            if self.is_view_late and self.now_s - started_s > _VIEW_DELAY_S:
                self.show_peers()
            if not known_s and self.is_known():
                known_s = self.now_s - started_s
        busiest = max(self.sent_bytes.values())
        return {
            f'{label}_known_s': round(known_s, 2),
            f'{label}_mean_bytes_per_s': round(
                self.sent_bytes.total() / len(self.planes) / _AFTER_S
            ),
            f'{label}_busiest_bytes_per_s': round(busiest / _AFTER_S),
        }

    def is_known(self) -> bool:
        """Tell whether every balancer holds every dead server unusable."""
        return not any(
            plane.is_usable(backend_id)
            for plane in self.planes.values()
            for backend_id in self.dead
        )

    def reset(self) -> None:
        """Start the counts again."""
        self.cpu_s = 0.0
        self.probes = 0
        self.sent_bytes.clear()

    def run(self, duration_s: float) -> None:
        """Tick all planes and deliver what they send."""
        for _ in range(round(duration_s / _TICK_S)):
            self.now_s += _TICK_S
            for host_id, plane in self.planes.items():
                started_s = time.process_time()
                actions = plane.tick(self.now_s)
                self.cpu_s += time.process_time() - started_s
                self._act(host_id, actions)

    def _act(self, host_id: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendToBackend(target=target, payload=payload):
                    self.probes += 1
                    self._count(host_id, payload)
                    self._answer(host_id, target, payload)
                case SendToPeer(host_id=peer_id, payload=payload):
                    self._count(host_id, payload)
                    self._report(peer_id, payload)

    def _count(self, host_id: str, payload: bytes) -> None:
        self.sent_bytes[host_id] += len(payload) + UDP_HEADER_SIZE_BYTES

    def _answer(
        self, host_id: str, target: wire.Endpoint, payload: bytes
    ) -> None:
        order = wire.decode_order(payload)
        is_dead = self.by_endpoint[target] in self.dead
        if is_dead or not isinstance(order, wire.Probe):
            return
        reply = wire.ProbeReply(order.probe_id, 'service', 0.5, 'active')
        self.planes[host_id].on_probe_reply(target, reply, self.now_s)

    def _report(self, peer_id: str, payload: bytes) -> None:
        report = peerwire.unseal(payload, PEER_KEY)
        is_there = peer_id in self.planes
        if is_there and isinstance(report, peerwire.HealthReport):
            started_s = time.process_time()
            self.planes[peer_id].on_health_report(report, self.now_s)
            self.cpu_s += time.process_time() - started_s


def _by_endpoint(pool: PoolSnapshot) -> dict[wire.Endpoint, str]:
    return {
        backend.endpoint: backend.backend_id
        for service in pool.services
        for backend in service.backend_servers
    }
