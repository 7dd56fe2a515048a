"""Slopes of control cost against the size of a pool; see docs/CAPACITY.md.

Run ``python -m bench.capacity`` from the root; ``--quick`` takes seconds.
Prints one JSON line. Times are CPU time, and time of spreading is virtual.
"""

import argparse
import json
import resource
import sys
from typing import Any, Final

from bench.healthcosts import measure_health
from bench.poolcosts import measure_spread, measure_traffic
from bench.statecosts import (
    measure_backends,
    measure_messages,
    measure_state,
)

_SEED: Final = 1
_HOSTS: Final = (8, 16, 32, 64)
_QUICK_HOSTS: Final = (8, 12, 16)
_SERVICES: Final = (61, 122, 244)
_QUICK_SERVICES: Final = (8, 16, 32)
_BACKENDS: Final = (1, 2, 4)
_LOSS_RATIOS: Final = (0.0, 0.01, 0.05)
_CHANGES: Final = 20
_QUICK_CHANGES: Final = 2
_DURATION_S: Final = 20.0
_QUICK_DURATION_S: Final = 4.0


def measure(*, is_quick: bool) -> dict[str, Any]:
    """Return all figures of one run."""
    hosts = _QUICK_HOSTS if is_quick else _HOSTS
    services = _QUICK_SERVICES if is_quick else _SERVICES
    changes = _QUICK_CHANGES if is_quick else _CHANGES
    resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    duration_s = _QUICK_DURATION_S if is_quick else _DURATION_S
    return {
        'bench': 'capacity',
        'is_quick': is_quick,
        'seed': _SEED,
        'duration_s': duration_s,
        'resident_after_import_kb': resident_kb,
        'traffic': measure_traffic(hosts, _LOSS_RATIOS, duration_s, _SEED),
        'spread': measure_spread(hosts, _LOSS_RATIOS, range(changes)),
        'health': measure_health(services, hosts[-1]),
        'state': measure_state(services, hosts),
        'messages': measure_messages(services[-1]),
        'backends': measure_backends(_BACKENDS, services[1]),
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    arguments = parser.parse_args()
    json.dump(measure(is_quick=arguments.quick), sys.stdout)
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
