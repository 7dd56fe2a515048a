"""The systems of the two example users, for the demo and process tests."""

import itertools
from typing import Final

from currantshore.internal.snapshot import (
    BackendServer,
    PoolHost,
    PoolMembers,
    PoolSnapshot,
    PriorityClass,
    ServiceSnapshot,
)
from currantshore.wire import Endpoint

# Replaced by the addresses that the processes get.
_UNSET: Final = Endpoint('127.0.0.1', 0)
_BUCKETS_PER_SERVER: Final = 2048


def lakeshore(host_count: int = 6) -> PoolSnapshot:
    """Return the pool of Lakeshore Municipal Mobility Utility."""
    zones = ('harbor', 'eastside', 'millrace', 'northpark')
    classes = (
        PriorityClass('checkout', 0, 0.4),
        PriorityClass('return', 1, 0.3),
        PriorityClass('browse', 2, 0.1),
    )
    reports = (
        PriorityClass('incident', 0, 0.6),
        PriorityClass('photo', 1, 0.2),
    )
    services = (
        _service('lakeshore', 'dockwatch', 7, 3, zones, classes),
        _service('lakeshore', 'incident-upload', 4, 3, zones, reports),
    )
    return PoolSnapshot(_members('lakeshore', zones, host_count), services)


def beaulac(host_count: int = 6) -> PoolSnapshot:
    """Return the pool of Couvercles Beaulac et Fils."""
    zones = ('atelier-nord', 'atelier-sud', 'entrepot')
    orders = (
        PriorityClass('livraison-du-jour', 0, 0.3),
        PriorityClass('commande', 1, 0.3),
        PriorityClass('catalogue', 2, 0.1),
    )
    firings = (
        PriorityClass('glacure', 0, 0.6),
        PriorityClass('archive', 1, 0.2),
    )
    services = (
        _service('beaulac', 'lignes-commandes', 7, 2, zones, orders),
        _service('beaulac', 'labo-glacure', 3, 2, zones, firings),
    )
    return PoolSnapshot(_members('beaulac', zones, host_count), services)


def _members(
    user_id: str,
    zones: tuple[str, ...],
    host_count: int,
) -> PoolMembers:
    placed = itertools.islice(itertools.cycle(zones), host_count)
    hosts = tuple(
        PoolHost(f'{zone}-{number}', zone, _UNSET, _UNSET)
        for number, zone in enumerate(placed, 1)
    )
    return PoolMembers(user_id, user_id, zones, hosts)


def _service(
    user_id: str,
    service_id: str,
    server_count: int,
    slot_count: int,
    zones: tuple[str, ...],
    classes: tuple[PriorityClass, ...],
) -> ServiceSnapshot:
    placed = itertools.islice(itertools.cycle(zones), server_count)
    servers = tuple(
        BackendServer(
            f'{service_id}-{number}',
            zone,
            _UNSET,
            slot_count,
        )
        for number, zone in enumerate(placed, 1)
    )
    # The next power of two above 2,048 buckets for each backend server.
    buckets = 1 << (server_count * _BUCKETS_PER_SERVER - 1).bit_length()
    return ServiceSnapshot(
        service_id, user_id, _UNSET, buckets, servers, classes
    )
