"""Which balancers of a pool are executors for a service."""

import functools
from typing import Final

from currantshore.internal.hashing import ranked
from currantshore.internal.snapshot import ServiceSnapshot
from currantshore.internal.views import LiveView, PeerView

# An executor orders work by urgency only among its own slots, so it needs
# several; with more executors than slots they shed each other's urgent work
# (docs/measurements/overload.md).
SLOTS_PER_EXECUTOR: Final = 4

# The loss of one executor leaves another one that knows its own requests.
MIN_EXECUTORS: Final = 2

_CACHED_SERVICES: Final = 1024


def executor_hosts(
    service: ServiceSnapshot,
    hosts: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the hosts that new tokens of ``service`` name as executors.

    ``hosts`` are the live hosts that are not leaving.
    """
    slots = sum(each.slot_count for each in service.takes_new_flows())
    count = max(MIN_EXECUTORS, slots // SLOTS_PER_EXECUTOR)
    return _first_ranked(service.service_id, count, hosts)


def choose_executor(
    service: ServiceSnapshot,
    view: LiveView,
    flow_key: int,
) -> PeerView | None:
    """Return the balancer that a new token names, ``None`` without any."""
    hosts = executor_hosts(service, tuple(sorted(view.owners())))
    if not hosts:
        return None
    return view.peers[hosts[flow_key % len(hosts)]]


@functools.lru_cache(maxsize=_CACHED_SERVICES)
def _first_ranked(
    service_id: str,
    count: int,
    hosts: tuple[str, ...],
) -> tuple[str, ...]:
    return tuple(ranked(hosts, 'executor', service_id)[:count])
