"""Traffic, CPU and spreading time of membership against the pool's size."""

import statistics
from collections.abc import Iterable
from typing import Any, Final, TypeAlias

from bench.fits import fit_line
from bench.virtualpool import (
    PEER_KEY,
    UDP_HEADER_SIZE_BYTES,
    Network,
    VirtualPool,
    build_pool,
    with_version,
)
from currantshore.internal import peerwire
from currantshore.internal.hashing import short_hash
from currantshore.internal.members.membership import HEARTBEAT_INTERVAL_S
from currantshore.internal.snapshot import PoolSnapshot

Figures: TypeAlias = dict[str, Any]

_ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
_SETTLE_S: Final = 6.0
_FANOUT: Final = 3
_SERVICES: Final = 244
# The daemon looks every half second whether its host has become a watcher,
# and the platform answers a listing in milliseconds.
_WATCH_CHECK_S: Final = 0.5
_PLATFORM_S: Final = 0.05
_STEP_S: Final = 0.05
_LIMIT_S: Final = 40.0
_PERCENT: Final = 100


def measure_traffic(
    host_counts: Iterable[int],
    loss_ratios: Iterable[float],
    duration_s: float,
    seed: int,
) -> Figures:
    """Return bytes, datagrams and CPU a second of a node by pool size."""
    sizes = list(host_counts)
    found: Figures = {'hosts': sizes}
    for loss_ratio in loss_ratios:
        rows = [_traffic(size, loss_ratio, duration_s, seed) for size in sizes]
        label = _loss_label(loss_ratio)
        found[label] = rows
        for figure in ('sent_bytes_per_s', 'sent_per_s', 'cpu_ratio'):
            figures = [row[figure] for row in rows]
            found[f'fit_{figure}_{label}'] = fit_line(sizes, figures)
    found['baseline_bytes_per_s'] = [_baseline(size) for size in sizes]
    return found


def measure_spread(
    host_counts: Iterable[int],
    loss_ratios: Iterable[float],
    seeds: Iterable[int],
) -> Figures:
    """Return the time until a change is on the hosts, by pool size."""
    sizes = list(host_counts)
    tries = list(seeds)
    found: Figures = {'hosts': sizes}
    for loss_ratio in loss_ratios:
        found[_loss_label(loss_ratio)] = [
            _spread(size, loss_ratio, tries, is_lost=False) for size in sizes
        ]
    found['watchers_lost'] = [
        _spread(size, 0.01, tries, is_lost=True) for size in sizes
    ]
    return found


def _loss_label(loss_ratio: float) -> str:
    return f'loss_{round(loss_ratio * _PERCENT)}_percent'


def _traffic(
    host_count: int,
    loss_ratio: float,
    duration_s: float,
    seed: int,
) -> Figures:
    snapshot = build_pool(host_count, _SERVICES, 2, _ZONES)
    pool = VirtualPool(snapshot, seed, Network(loss_ratio=loss_ratio))
    demands = {f'service-{place:03}': place for place in range(_SERVICES)}
    for node in pool.nodes.values():
        node.plane.set_demands(demands)
    pool.run_until(_SETTLE_S)
    for node in pool.nodes.values():
        node.sent_count = 0
        node.sent_size_bytes = 0
    pool.plane_cpu_s = 0.0
    missing = 0
    looks = round(duration_s / HEARTBEAT_INTERVAL_S)
    for look in range(1, looks + 1):
        pool.run_until(_SETTLE_S + look * HEARTBEAT_INTERVAL_S)
        views = [one.plane.view() for one in pool.nodes.values()]
        missing += sum([host_count - len(view.peers) for view in views])
    node_seconds = host_count * duration_s
    sizes = [one.sent_size_bytes for one in pool.nodes.values()]
    counts = [one.sent_count for one in pool.nodes.values()]
    largest = [one.largest_size_bytes for one in pool.nodes.values()]
    return {
        'sent_bytes_per_s': round(sum(sizes) / node_seconds),
        'sent_per_s': round(sum(counts) / node_seconds, 2),
        'cpu_ratio': round(pool.plane_cpu_s / node_seconds, 6),
        'largest_bytes': max(largest),
        'false_not_live': missing,
        'observations': looks * host_count * (host_count - 1),
    }


def _baseline(host_count: int) -> int:
    """Return the bytes a second of full records of all hosts to 3 peers."""
    counters = {
        short_hash(f'host-{place:02}'): (1_700_000_000_000 + place, 70_000)
        for place in range(host_count)
    }
    beat = peerwire.Heartbeat(
        'host-00', 1_700_000_000_000, False, True, counters, 2**63, 2**63, {}
    )
    size_bytes = len(peerwire.seal(beat, PEER_KEY)) + UDP_HEADER_SIZE_BYTES
    return round(size_bytes * _FANOUT / HEARTBEAT_INTERVAL_S)


def _spread(
    host_count: int,
    loss_ratio: float,
    seeds: list[int],
    *,
    is_lost: bool,
) -> Figures:
    delays_s: list[float] = []
    last_s: list[float] = []
    fetches = 0
    for seed in seeds:
        run = _SpreadRun(host_count, loss_ratio, seed)
        run.change(is_lost=is_lost)
        delays_s.extend(run.arrived_s.values())
        last_s.append(max(run.arrived_s.values()))
        fetches += sum(node.fetch_count for node in run.pool.running())
    return {
        'p50_s': _percentile(delays_s, 50),
        'p99_s': _percentile(delays_s, 99),
        'all_hosts_p50_s': _percentile(last_s, 50),
        'all_hosts_max_s': round(max(last_s), 2),
        'fetches_per_host': round(fetches / len(delays_s), 2),
        'changes': len(seeds),
    }


class _SpreadRun:
    """One change of one service, followed until every host holds it."""

    def __init__(self, host_count: int, loss_ratio: float, seed: int) -> None:
        self.snapshot = build_pool(host_count, 8, 2, _ZONES)
        network = Network(loss_ratio=loss_ratio)
        self.pool = VirtualPool(self.snapshot, seed, network)
        self.pool.run_until(_SETTLE_S + seed % 10 * _STEP_S)
        self.changed = with_version(self.snapshot, 0, 2)
        self.started_s = self.pool.now_s
        self.arrived_s: dict[str, float] = {}
        for node in self.pool.nodes.values():
            node.fetch_count = 0

    def change(self, *, is_lost: bool) -> None:
        """Accept a change; with ``is_lost`` every watcher dies at once."""
        watchers = self._watchers()
        if is_lost:
            for host_id in watchers:
                self.pool.stop(host_id)
        else:
            self.pool.run_until(self.pool.now_s + _PLATFORM_S)
            self._read(watchers)
        while not self._is_everywhere():
            if self.pool.now_s - self.started_s > _LIMIT_S:
                raise RuntimeError('the change did not reach all hosts')
            self.pool.run_until(self.pool.now_s + _STEP_S)
            if is_lost:
                self._replace_watchers()

    def _watchers(self) -> list[str]:
        return [
            node.host_id
            for node in self.pool.running()
            if node.host_id in node.plane.watchers(node.zone)
        ]

    def _replace_watchers(self) -> None:
        """Let hosts that have become watchers list the platform's objects."""
        checks = round((self.pool.now_s - self.started_s) / _STEP_S)
        if checks % round(_WATCH_CHECK_S / _STEP_S) == 0:
            self._read(self._watchers())

    def _read(self, host_ids: Iterable[str]) -> None:
        for host_id in host_ids:
            self.pool.configure(self.pool.nodes[host_id], self.changed)

    def _is_everywhere(self) -> bool:
        for node in self.pool.running():
            is_new = node.host_id not in self.arrived_s
            if is_new and _version(node.plane.pool) == 2:
                elapsed_s = self.pool.now_s - self.started_s
                self.arrived_s[node.host_id] = elapsed_s
        return len(self.arrived_s) == len(self.pool.running())


def _version(held: PoolSnapshot | None) -> int:
    return 0 if held is None else held.services[0].version


def _percentile(figures: list[float], percent: int) -> float:
    if len(figures) < 2:
        return round(figures[0], 2)
    cuts = statistics.quantiles(figures, n=_PERCENT, method='inclusive')
    return round(cuts[percent - 1], 2)
