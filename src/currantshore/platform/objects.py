"""Objects of the platform's store, decoded into the product's types."""

from collections.abc import Iterable
from typing import Any, Final, Literal, NamedTuple

import msgspec

from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
)
from currantshore.platform.packets import encode_address
from currantshore.wire import Endpoint

_MILLISECONDS: Final = 1000
_HEXADECIMAL: Final = 16
_HEX_DIGITS: Final = frozenset('0123456789abcdef')
_MAX_INSTANCE: Final = 2**64

_KINDS: Final = {
    'safe': RequestKind.IDEMPOTENT,
    'unsafe': RequestKind.AT_MOST_ONCE,
    'upload': RequestKind.UPLOAD,
}

_BAD_OBJECT: Final = (msgspec.DecodeError, ValueError, OSError)


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Page(msgspec.Struct, rename='kebab'):
    items: list[msgspec.Raw]
    # The store's revision at which the whole page holds.
    as_of: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename='kebab'):
    events: list[_Event]
    as_of: int


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='kebab'):
    name: str
    host: str
    # A port between slashes, not a path.
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    service: str = ''
    weighted_services: list[_Share] = []


class _Limits(msgspec.Struct, rename='kebab'):
    idle_timeout_ms: float


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits


class _Server(msgspec.Struct, rename='kebab'):
    service: str
    address: str
    zone: str
    state: Literal['ready', 'draining']
    slots: int
    warmup_left_ms: float = 0
    # Unix milliseconds of the server's start.
    born: int = 0


class Page(NamedTuple):
    """A part of a listing; ``next_name`` is empty on the last one."""

    entries: list[BackendEntry]
    faults: list[str]
    revision: int
    next_name: str


class Changes(NamedTuple):
    """What a watch of backend servers returned."""

    changes: list[BackendEntry | BackendRemoved]
    faults: list[str]
    revision: int


class Configured(NamedTuple):
    """A configuration, None where there is none yet, and its revision.

    ``body`` is what ``decode_configuration`` takes, for other hosts.
    """

    table: RoutingTable | None
    body: bytes
    revision: int


_page_decoder: Final = msgspec.json.Decoder(_Page)
_events_decoder: Final = msgspec.json.Decoder(_Events)
_object_decoder: Final = msgspec.json.Decoder(_Object)
_server_decoder: Final = msgspec.json.Decoder(_Server)
_configuration_decoder: Final = msgspec.json.Decoder(_Configuration)


def decode_backend_page(body: bytes) -> Page:
    """Decode a page of backend servers; raises ``msgspec.DecodeError``.

    An entry that cannot be read is left out, with a sentence in ``faults``.
    """
    page = _page_decoder.decode(body)
    entries: list[BackendEntry] = []
    faults: list[str] = []
    last_name = ''
    for raw in page.items:
        try:
            found = _object_decoder.decode(raw)
            last_name = found.meta.name
            entries.append(_decode_backend(found))
        except _BAD_OBJECT as error:
            faults.append(_describe_fault(raw, error))
    return Page(entries, faults, page.as_of, last_name if page.has_more else '')


def decode_backend_changes(body: bytes) -> Changes:
    """Decode what a watch of backend servers returned.

    An entry that cannot be read any more counts as removed, because it names
    no server to use.
    """
    seen = _events_decoder.decode(body)
    changes: list[BackendEntry | BackendRemoved] = []
    faults: list[str] = []
    for event in seen.events:
        try:
            found = _object_decoder.decode(event.object)
        except _BAD_OBJECT as error:
            faults.append(_describe_fault(event.object, error))
            continue
        changes.append(_decode_change(found, event.removed, faults))
    return Changes(changes, faults, seen.as_of)


def decode_configuration_page(body: bytes) -> Configured:
    """Decode the listing that holds the one configuration.

    Raises:
        msgspec.DecodeError: it is no listing, or the configuration in it
            cannot be read.
    """
    page = _page_decoder.decode(body)
    return _newest_configuration(page.items, page.as_of)


def decode_configuration_changes(body: bytes) -> Configured:
    """Decode what a watch of the configuration returned."""
    seen = _events_decoder.decode(body)
    kept = [event.object for event in seen.events if not event.removed]
    return _newest_configuration(kept, seen.as_of)


def decode_configuration(spec: bytes) -> RoutingTable:
    """Decode the body of one configuration; raises ``DecodeError``."""
    found = _configuration_decoder.decode(spec)
    routes = {route.address_key: route for route in _read_routes(found.routes)}
    idle_timeout_s = found.limits.idle_timeout_ms / _MILLISECONDS
    return RoutingTable(found.version, routes, idle_timeout_s)


def _newest_configuration(
    objects: Iterable[msgspec.Raw],
    revision: int,
) -> Configured:
    newest = Configured(None, b'', revision)
    for raw in objects:
        found = _object_decoder.decode(raw)
        if found.meta.name != 'main':
            continue
        table = decode_configuration(found.spec)
        if newest.table is None or table.version > newest.table.version:
            newest = Configured(table, bytes(found.spec), revision)
    return newest


def _read_routes(routes: Iterable[_Route]) -> Iterable[Route]:
    for route in routes:
        shares = [
            ServiceShare(share.service, share.weight)
            for share in route.weighted_services
        ]
        if route.service:
            shares = [ServiceShare(route.service, 1)]
        port = int(route.path_prefix.strip('/'))
        yield Route(
            encode_address(route.host, port),
            route.name,
            tuple(shares),
            _KINDS[route.route_type],
            route.priority,
            route.target_latency_ms / _MILLISECONDS,
            route.timeout_ms / _MILLISECONDS,
        )


def _decode_change(
    found: _Object,
    is_removed: bool,
    faults: list[str],
) -> BackendEntry | BackendRemoved:
    removal = BackendRemoved(found.meta.name, found.meta.revision)
    if is_removed:
        return removal
    try:
        return _decode_backend(found)
    except _BAD_OBJECT as error:
        faults.append(f'{found.meta.name}: {error}')
        return removal


def _decode_backend(found: _Object) -> BackendEntry:
    server = _server_decoder.decode(found.spec)
    host, _, port = server.address.rpartition(':')
    encode_address(host, int(port))
    digits = [one for one in found.meta.name if one in _HEX_DIGITS]
    instance = int(''.join(digits), _HEXADECIMAL)
    if instance >= _MAX_INSTANCE or server.slots < 1:
        raise ValueError(f'id or slots out of range in {server!r}')
    return BackendEntry(
        found.meta.name,
        instance,
        server.service,
        Endpoint(host, int(port)),
        server.zone,
        server.slots,
        server.state == 'draining',
        server.warmup_left_ms / _MILLISECONDS,
        server.born,
        found.meta.revision,
    )


def _describe_fault(raw: Any, error: Exception) -> str:
    return f'{bytes(raw)[:80]!r}: {error}'
