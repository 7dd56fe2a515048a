"""Selects the balancers of a pool that are executors for a service."""

import functools
from typing import Final

from currantshore.internal.hashing import ranked
from currantshore.internal.snapshot import ServiceSnapshot
from currantshore.internal.views import LiveView, PeerView

# An executor orders requests by urgency only within its own slots, so it needs
# several. With more executors than slots, the less urgent requests of one make
# the backend servers shed urgent requests of others
# (docs/measurements/overload.md).
SLOTS_PER_EXECUTOR: Final = 4

# When one executor is lost, the requests of the others are not affected.
MIN_EXECUTORS: Final = 2

_CACHED_SERVICES: Final = 1024


def executor_hosts(
    service: ServiceSnapshot,
    hosts: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the hosts named as executors in new tokens of ``service``.

    ``hosts`` are the live hosts that are not leaving.
    """
    slots = sum(each.slot_count for each in service.active_backends())
    count = max(MIN_EXECUTORS, slots // SLOTS_PER_EXECUTOR)
    return _first_ranked(service.service_id, count, hosts)


def choose_executor(
    service: ServiceSnapshot,
    view: LiveView,
    flow_key: int,
) -> PeerView | None:
    """Return the executor for a new token.

    Returns ``None`` if every live host is leaving.
    """
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
