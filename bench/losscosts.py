"""What the loss of hosts, and their return, costs a pool."""

from collections.abc import Collection
from typing import Any, Final, TypeAlias

from bench.fits import fit_line
from bench.virtualpool import Network, VirtualPool, build_pool

Figures: TypeAlias = dict[str, Any]

_SERVICES: Final = 8
_QUIET_S: Final = 10.0
_WINDOW_S: Final = 5.0
_STEP_S: Final = 0.05
_LIMIT_S: Final = 30.0
_LOSS_RATIO: Final = 0.01


def measure_losses(host_counts: Collection[int], seed: int) -> Figures:
    """Return time and traffic of a restart, a lost rack and a lost zone."""
    sizes = list(host_counts)
    restarts = [_restart(size, seed) for size in sizes]
    largest = max(sizes)
    found: Figures = {
        'hosts': sizes,
        'restart': restarts,
        'rack': _loss(largest, set(range(0, largest, 8)), seed),
        'zone': _loss(largest, set(range(0, largest, 3)), seed),
    }
    for figure in ('pool_extra_bytes', 'pool_extra_datagrams'):
        found[f'fit_restart_{figure}'] = fit_line(
            sizes, [row[figure] for row in restarts]
        )
    return found


class _Traffic:
    """Datagrams and bytes that the nodes of a pool have sent."""

    def __init__(self, pool: VirtualPool) -> None:
        self.pool = pool
        self.count = 0
        self.size_bytes = 0
        self.busiest_bytes = 0

    def take(self) -> '_Traffic':
        """Return what was sent since the last call."""
        nodes = list(self.pool.nodes.values())
        taken = _Traffic(self.pool)
        sizes = [node.sent_size_bytes for node in nodes]
        counts = [node.sent_count for node in nodes]
        taken.size_bytes = sum(sizes)
        taken.busiest_bytes = max(sizes)
        taken.count = sum(counts)
        for node in nodes:
            node.sent_count = 0
            node.sent_size_bytes = 0
        return taken


def _quiet_pool(host_count: int, seed: int) -> tuple[VirtualPool, _Traffic]:
    """Return a pool that has run a while and its traffic in one window."""
    snapshot = build_pool(host_count, _SERVICES, 2)
    pool = VirtualPool(snapshot, seed, Network(loss_ratio=_LOSS_RATIO))
    pool.run_until(_QUIET_S)
    traffic = _Traffic(pool)
    traffic.take()
    pool.run_until(pool.now_s + _WINDOW_S)
    return pool, traffic.take()


def _restart(host_count: int, seed: int) -> Figures:
    """Restart one host without configuration."""
    pool, quiet = _quiet_pool(host_count, seed)
    started_s = pool.now_s
    old = pool.nodes['host-01']
    pool.stop('host-01')
    node = pool.start('host-01', old.zone, None)
    ready_s = 0.0
    while pool.now_s - started_s < _WINDOW_S:
        pool.run_until(pool.now_s + _STEP_S)
        if node.plane.is_ready() and not ready_s:
            ready_s = pool.now_s - started_s
    knows_all = len(node.plane.view().peers) == host_count
    after = _Traffic(pool).take()
    return {
        'has_configuration_s': round(ready_s, 2),
        'knows_all_after_window': knows_all,
        'pool_extra_bytes': after.size_bytes - quiet.size_bytes,
        'pool_extra_datagrams': after.count - quiet.count,
        'busiest_bytes_per_s': round(after.busiest_bytes / _WINDOW_S),
    }


def _loss(host_count: int, places: set[int], seed: int) -> Figures:
    """Stop hosts together, then start them together."""
    pool, quiet = _quiet_pool(host_count, seed)
    names = {f'host-{place:02}' for place in places}
    zones = {name: pool.nodes[name].zone for name in names}
    snapshot = next(iter(pool.nodes.values())).plane.pool
    for name in names:
        pool.stop(name)
    agreed_s = _time_to_agree(pool)
    lost_s = _fill_window(pool, agreed_s)
    lost = _Traffic(pool).take()
    for name in sorted(names):
        pool.start(name, zones[name], snapshot)
    returned_s = _time_to_agree(pool)
    returned_window_s = _fill_window(pool, returned_s)
    returned = _Traffic(pool).take()
    left = host_count - len(names)
    return {
        'lost_hosts': len(names),
        'all_agree_s': round(agreed_s, 2),
        'quiet_bytes_per_s': round(quiet.size_bytes / host_count / _WINDOW_S),
        'lost_bytes_per_s': round(lost.size_bytes / left / lost_s),
        'lost_busiest_bytes_per_s': round(lost.busiest_bytes / lost_s),
        'return_agree_s': round(returned_s, 2),
        'return_bytes_per_s': round(
            returned.size_bytes / host_count / returned_window_s
        ),
        'return_busiest_bytes_per_s': round(
            returned.busiest_bytes / returned_window_s
        ),
    }


def _fill_window(pool: VirtualPool, elapsed_s: float) -> float:
    """Run to the end of the window; return how long it was in the end."""
    pool.run_until(pool.now_s + max(_WINDOW_S - elapsed_s, 0))
    return max(_WINDOW_S, elapsed_s)


def _time_to_agree(pool: VirtualPool) -> float:
    """Return the time until every live set is the set of running hosts."""
    started_s = pool.now_s
    names = {node.host_id for node in pool.running()}
    while not _agree(pool, names):
        if pool.now_s - started_s > _LIMIT_S:
            raise RuntimeError('the live sets did not agree')
        pool.run_until(pool.now_s + _STEP_S)
    return pool.now_s - started_s


def _agree(pool: VirtualPool, names: set[str]) -> bool:
    return all(set(node.plane.view().peers) == names for node in pool.running())
