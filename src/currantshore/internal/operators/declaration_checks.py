"""Checks of declarations across fields, rows and files.

They read the raw tables, so that a fault in one field hides no other fault.
"""

import dataclasses
import ipaddress
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from currantshore.errors import InvalidArgumentError
from currantshore.internal.operators.faults import Faults, Table, rows
from currantshore.internal.snapshot import MAX_BUCKET_COUNT
from currantshore.wire import Endpoint

# With fewer buckets for each, the fullest of 8 to 32 backend servers has over
# 1.04 to 1.07 times the mean (200 tables each). New services get twice as
# many, because bucket_count is fixed and backend servers are added later.
MIN_BUCKETS_PER_BACKEND: Final = 1024

# Shares are decimal fractions; their sum may be off by rounding.
_SHARE_TOLERANCE: Final = 1e-9

_MAX_PORT: Final = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationFile:
    """One file: its name below the directory and its TOML table."""

    name: str
    table: Table


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """Where a value stands."""

    file: str
    path: str
    given: object


def find_endpoint(text: str) -> Endpoint | None:
    """Return the endpoint that ``text`` names, or None."""
    host, _, port = text.rpartition(':')
    try:
        number = ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return None
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        return None
    return Endpoint(str(number), int(port))


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that ``text`` names.

    Raises:
        InvalidArgumentError: when it is no IP address with a port.
    """
    endpoint = find_endpoint(text)
    if endpoint is None:
        raise InvalidArgumentError.from_value(
            'text', text, 'an IP address and a port like 127.0.1.1:7000'
        )
    return endpoint


def check_files(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    """Add the faults that concern more than one field."""
    _check_endpoints(pool, services, faults)
    _check_zones(pool, services, faults)
    _check_ids(pool, services, faults)
    _check_not_empty(pool, 'hosts', faults)
    for service in services:
        _check_file_name(service, faults)
        _check_not_empty(service, 'backend_servers', faults)
        _check_not_empty(service, 'priority_classes', faults)
        _check_buckets(service, faults)
        _check_classes(service, faults)


def _column(
    file: DeclarationFile,
    list_name: str,
    field: str,
) -> Iterator[_Place]:
    for path, row in rows(file.table, list_name):
        given = row.get(field)
        if isinstance(given, str):
            yield _Place(file.name, f'{path}{field}', given)


def _field(files: Iterable[DeclarationFile], name: str) -> Iterator[_Place]:
    for file in files:
        given = file.table.get(name)
        if isinstance(given, str):
            yield _Place(file.name, name, given)


def _backend_column(
    services: Iterable[DeclarationFile],
    field: str,
) -> Iterator[_Place]:
    for service in services:
        yield from _column(service, 'backend_servers', field)


def _check_unique(
    places: Iterable[_Place],
    faults: Faults,
    accepted: str,
) -> None:
    first: dict[object, _Place] = {}
    for place in places:
        earlier = first.setdefault(place.given, place)
        if earlier is not place:
            faults.add(
                place.file,
                place.path,
                place.given,
                f'{accepted}; {earlier.file}: {earlier.path} has the same',
            )


def _check_endpoints(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    datagram = [
        *_field(services, 'address'),
        *_backend_column(services, 'endpoint'),
        *_column(pool, 'hosts', 'peer_endpoint'),
    ]
    stream = list(_column(pool, 'hosts', 'rpc_endpoint'))
    for place in (*datagram, *stream):
        if find_endpoint(str(place.given)) is None:
            accepted = 'an IP address and a port like 127.0.1.1:7000'
            faults.add(place.file, place.path, place.given, accepted)
    # A shared address would carry packets of one service to another.
    _check_unique(datagram, faults, 'an address that nothing else has')
    _check_unique(stream, faults, 'an address that no other host has')


def _check_zones(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    zones = pool.table.get('zones')
    if not isinstance(zones, list):
        return
    declared = [_Place(pool.name, 'zones', zone) for zone in zones]
    _check_unique(declared, faults, 'zones without repetition')
    accepted = f'one of the zones {", ".join(map(repr, zones))}'
    named = (
        *_column(pool, 'hosts', 'zone'),
        *_backend_column(services, 'zone'),
    )
    for place in named:
        if place.given not in zones:
            faults.add(place.file, place.path, place.given, accepted)


def _check_ids(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    _check_unique(
        _field(services, 'service_id'),
        faults,
        'an id that no other service has',
    )
    # "drain" and "join" take the id of a host or of a backend server.
    members = (
        *_column(pool, 'hosts', 'host_id'),
        *_backend_column(services, 'backend_id'),
    )
    _check_unique(
        members,
        faults,
        'an id that no other host or backend server of the pool has',
    )


def _check_file_name(service: DeclarationFile, faults: Faults) -> None:
    service_id = service.table.get('service_id')
    expected = service.name.rpartition('/')[2].removesuffix('.toml')
    if isinstance(service_id, str) and service_id != expected:
        accepted = f'{expected!r} as in the name of the file'
        faults.add(service.name, 'service_id', service_id, accepted)


def _check_not_empty(
    file: DeclarationFile,
    name: str,
    faults: Faults,
) -> None:
    given = file.table.get(name)
    if isinstance(given, list) and not given:
        faults.add(file.name, name, given, 'a list of at least one')


def _check_buckets(service: DeclarationFile, faults: Faults) -> None:
    given = service.table.get('bucket_count')
    if not isinstance(given, int):
        return
    backend_count = len(list(rows(service.table, 'backend_servers')))
    lowest = min(MAX_BUCKET_COUNT, MIN_BUCKETS_PER_BACKEND * backend_count)
    is_power = given > 0 and given.bit_count() == 1
    if not is_power or not lowest <= given <= MAX_BUCKET_COUNT:
        accepted = f'a power of two from {lowest} to {MAX_BUCKET_COUNT}'
        faults.add(service.name, 'bucket_count', given, accepted)


def _check_classes(service: DeclarationFile, faults: Faults) -> None:
    names = _column(service, 'priority_classes', 'name')
    _check_unique(names, faults, 'a name that no other class has')
    given = [
        row.get('guaranteed_share_ratio')
        for _path, row in rows(service.table, 'priority_classes')
    ]
    shares = [share for share in given if isinstance(share, (int, float))]
    total = sum(shares)
    if total > 1 + _SHARE_TOLERANCE:
        path = 'priority_classes[*].guaranteed_share_ratio'
        accepted = f'shares with a sum of at most 1.0, not {total:.3f}'
        faults.add(service.name, path, shares, accepted)
