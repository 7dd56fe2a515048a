"""Slopes of control cost against the size of a pool; see docs/CAPACITY.md.

Run ``python -m bench.capacity`` from the root; ``--quick`` takes seconds.
Prints one JSON line. Times are CPU time, and time of spreading is virtual.
"""

import argparse
import json
import resource
import sys
from collections.abc import Callable, Collection
from typing import Any, Final, TypeAlias

from bench.contactcosts import measure_contact
from bench.healthcosts import measure_health
from bench.losscosts import measure_losses
from bench.poolcosts import measure_spread, measure_traffic
from bench.statecosts import (
    measure_backends,
    measure_messages,
    measure_state,
)

_Figures: TypeAlias = dict[str, Any]
_Measure: TypeAlias = Callable[[], _Figures]

_SEED: Final = 1
_HOSTS: Final = (8, 16, 32, 64)
_QUICK_HOSTS: Final = (8, 12, 16)
_SERVICES: Final = (61, 122, 244)
_QUICK_SERVICES: Final = (8, 16, 32)
_BACKENDS: Final = (1, 2, 4)
_LOSS_RATIOS: Final = (0.0, 0.01, 0.05)
_CHANGES: Final = 10
_QUICK_CHANGES: Final = 2
_DURATION_S: Final = 20.0
_QUICK_DURATION_S: Final = 4.0


def measure(parts: Collection[str], *, is_quick: bool) -> _Figures:
    """Return the figures of some parts, or of all when ``parts`` is empty."""
    hosts = _QUICK_HOSTS if is_quick else _HOSTS
    services = _QUICK_SERVICES if is_quick else _SERVICES
    changes = _QUICK_CHANGES if is_quick else _CHANGES
    resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    duration_s = _QUICK_DURATION_S if is_quick else _DURATION_S
    found: _Figures = {
        'bench': 'capacity',
        'is_quick': is_quick,
        'seed': _SEED,
        'duration_s': duration_s,
        'resident_after_import_kb': resident_kb,
    }
    measures: dict[str, _Measure] = {
        'traffic': lambda: measure_traffic(
            hosts, _LOSS_RATIOS, duration_s, _SEED
        ),
        'spread': lambda: measure_spread(hosts, _LOSS_RATIOS, range(changes)),
        'health': lambda: measure_health(services, hosts[-1]),
        'contact': lambda: measure_contact(hosts, services[0]),
        'losses': lambda: measure_losses(hosts, _SEED),
        'state': lambda: measure_state(services, hosts),
        'messages': lambda: measure_messages(services[-1]),
        'backends': lambda: measure_backends(_BACKENDS, services[1]),
    }
    for part, take in measures.items():
        if part in parts or not parts:
            found[part] = take()
    return found


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--part', action='append', default=[])
    arguments = parser.parse_args()
    json.dump(
        measure(arguments.part, is_quick=arguments.quick),
        sys.stdout,
    )
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
