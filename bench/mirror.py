"""Costs of telling hosts of changes: ``python -m bench.mirror``.

Runs the mirror cores of three zones on a virtual clock and prints one JSON
line: bytes and processor time of a host, calls of the store for a change, and
the time until every host has it, for several numbers of hosts. The baseline is
a watch of every host: one call for each host and change.
"""

import sys
import time
from typing import Final

import msgspec

from tests.stateful.mirror_world import MirrorWorld

_ZONES: Final = 3
_HOSTS_PER_ZONE: Final = (3, 12, 48, 128)
_BACKENDS: Final = 60
_QUIET_S: Final = 10.0
_CHANGES: Final = 5
_LIMIT_S: Final = 10.0
_SEED: Final = 1


def measure(hosts_per_zone: int, loss_ratio: float) -> dict[str, float]:
    """Return the figures of one size."""
    world = MirrorWorld(_ZONES, hosts_per_zone, _SEED, loss_ratio)
    world.add_servers(_BACKENDS)
    world.run(8)
    hosts = len(world.hosts)
    bytes_before = world.bytes_sent
    begin_s = time.process_time()
    world.run(_QUIET_S)
    spent_s = time.process_time() - begin_s
    sent = (world.bytes_sent - bytes_before) / _QUIET_S / hosts
    calls_before = world.calls
    spread_s = [_time_change(world, one) for one in range(1, _CHANGES + 1)]
    return {
        'hosts': hosts,
        'loss_ratio': loss_ratio,
        'sent_bytes_per_s': round(sent),
        'core_percent': round(100 * spent_s / _QUIET_S / hosts, 3),
        'calls_per_change': (world.calls - calls_before) / _CHANGES,
        'calls_per_change_if_all_watch': hosts,
        'slowest_spread_s': round(max(spread_s), 2),
    }


def _time_change(world: MirrorWorld, number: int) -> float:
    world.store.put(number, is_draining=True)
    begin_s = world.now_s
    while world.outdated_hosts() and world.now_s - begin_s < _LIMIT_S:
        world.run(0.05)
    return world.now_s - begin_s


def main() -> None:
    """Print the figures of all sizes, without loss and with 5%."""
    found = [
        measure(hosts_per_zone, loss_ratio)
        for loss_ratio in (0, 0.05)
        for hosts_per_zone in _HOSTS_PER_ZONE
    ]
    line = {'seed': _SEED, 'backend_servers': _BACKENDS, 'sizes': found}
    sys.stdout.write(f'{msgspec.json.encode(line).decode()}\n')


if __name__ == '__main__':
    main()
