"""Checks of declarations beyond the types and limits of single fields.

They read the raw TOML tables, so that a fault in one field does not hide
another.
"""

import dataclasses
import ipaddress
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from currantshore.errors import InvalidArgumentError
from currantshore.internal.operators.faults import Faults, Table, rows
from currantshore.internal.snapshot import MAX_BUCKET_COUNT
from currantshore.wire import Endpoint

# With fewer buckets for each backend server, the fullest of 8 to 32 backend
# servers has more than 1.04 to 1.07 times the mean (200 tables each). New
# services get twice as many, because bucket_count is fixed and backend servers
# may be added later.
MIN_BUCKETS_PER_BACKEND: Final = 1024

# Allows for rounding in the sum of decimal fractions.
_SHARE_TOLERANCE: Final = 1e-9

_MAX_PORT: Final = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationFile:
    """A declaration file: its path below the directory and its TOML table."""

    name: str
    table: Table


@dataclasses.dataclass(frozen=True, slots=True)
class _LocatedValue:
    """A value and its location."""

    file: str
    path: str
    given: object


def parse_endpoint_or_none(text: str) -> Endpoint | None:
    """Return the endpoint in ``text``, or None if it is not valid."""
    host, _, port = text.rpartition(':')
    try:
        number = ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return None
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        return None
    return Endpoint(str(number), int(port))


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint in ``text``.

    Raises:
        InvalidArgumentError: when it is not an IP address with a port.
    """
    endpoint = parse_endpoint_or_none(text)
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
    """Add all faults that the conversion of single fields does not find."""
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


def _row_fields(
    file: DeclarationFile,
    list_name: str,
    field: str,
) -> Iterator[_LocatedValue]:
    for path, row in rows(file.table, list_name):
        given = row.get(field)
        if isinstance(given, str):
            yield _LocatedValue(file.name, f'{path}{field}', given)


def _file_fields(
    files: Iterable[DeclarationFile], name: str
) -> Iterator[_LocatedValue]:
    for file in files:
        given = file.table.get(name)
        if isinstance(given, str):
            yield _LocatedValue(file.name, name, given)


def _backend_fields(
    services: Iterable[DeclarationFile],
    field: str,
) -> Iterator[_LocatedValue]:
    for service in services:
        yield from _row_fields(service, 'backend_servers', field)


def _check_unique(
    located_values: Iterable[_LocatedValue],
    faults: Faults,
    accepted: str,
) -> None:
    first_by_value: dict[object, _LocatedValue] = {}
    for located in located_values:
        earlier = first_by_value.setdefault(located.given, located)
        if earlier is not located:
            faults.add(
                located.file,
                located.path,
                located.given,
                f'{accepted}; {earlier.file}: {earlier.path} has the same '
                'value',
            )


def _check_endpoints(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    datagram_endpoints = [
        *_file_fields(services, 'address'),
        *_backend_fields(services, 'endpoint'),
        *_row_fields(pool, 'hosts', 'peer_endpoint'),
    ]
    stream_endpoints = list(_row_fields(pool, 'hosts', 'rpc_endpoint'))
    for located in (*datagram_endpoints, *stream_endpoints):
        if parse_endpoint_or_none(str(located.given)) is None:
            accepted = 'an IP address and a port like 127.0.1.1:7000'
            faults.add(located.file, located.path, located.given, accepted)
    # With a shared address, packets of one service would reach another.
    _check_unique(
        datagram_endpoints, faults, 'an address that is used only once'
    )
    _check_unique(stream_endpoints, faults, 'an address that no other host has')


def _check_zones(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    zones = pool.table.get('zones')
    if not isinstance(zones, list):
        return
    declared = [_LocatedValue(pool.name, 'zones', zone) for zone in zones]
    _check_unique(declared, faults, 'zones without repetition')
    accepted = f'one of the zones {", ".join(map(repr, zones))}'
    used_zones = (
        *_row_fields(pool, 'hosts', 'zone'),
        *_backend_fields(services, 'zone'),
    )
    for located in used_zones:
        if located.given not in zones:
            faults.add(located.file, located.path, located.given, accepted)


def _check_ids(
    pool: DeclarationFile,
    services: Sequence[DeclarationFile],
    faults: Faults,
) -> None:
    _check_unique(
        _file_fields(services, 'service_id'),
        faults,
        'an id that no other service has',
    )
    # "drain" and "join" accept the id of a host or of a backend server.
    members = (
        *_row_fields(pool, 'hosts', 'host_id'),
        *_backend_fields(services, 'backend_id'),
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
        accepted = f'{expected!r}, as in the file name'
        faults.add(service.name, 'service_id', service_id, accepted)


def _check_not_empty(
    file: DeclarationFile,
    name: str,
    faults: Faults,
) -> None:
    given = file.table.get(name)
    if isinstance(given, list) and not given:
        faults.add(file.name, name, given, 'a list with at least one entry')


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
    names = _row_fields(service, 'priority_classes', 'name')
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
