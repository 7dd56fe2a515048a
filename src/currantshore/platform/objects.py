"""Objects of the platform's store, decoded into the product's types."""

import contextlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, Final, Literal, NamedTuple, TypeAlias

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

# Hosts pass these numbers on as MessagePack, which ends at 64 bits.
_MAX_NUMBER: Final = 2**63 - 1
_Number: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]

# Names that hosts pass on, eight servers to a datagram: as long as a DNS label.
_Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]

_KINDS: Final = {
    'safe': RequestKind.IDEMPOTENT,
    'unsafe': RequestKind.AT_MOST_ONCE,
    'upload': RequestKind.UPLOAD,
    'download': RequestKind.DOWNLOAD,
}

# Without a readable limit, flows are kept in memory for as long as the users'
# pages let a flow live.
_FALLBACK_IDLE_TIMEOUT_S: Final = 60.0

# A log line shows the beginning of what cannot be read.
_SHOWN_BYTES: Final = 80

_BAD_OBJECT: Final = (msgspec.DecodeError, ValueError, OSError)


class _Meta(msgspec.Struct):
    name: _Name
    revision: _Number = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _NamedMeta(msgspec.Struct):
    name: str


class _NamedObject(msgspec.Struct):
    """What a listing needs to go on after an object it cannot read."""

    meta: _NamedMeta


class _Page(msgspec.Struct, rename='kebab'):
    items: list[msgspec.Raw]
    # The store's revision at which the whole page holds.
    as_of: _Number
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename='kebab'):
    events: list[msgspec.Raw]
    as_of: _Number


class _Share(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, rename='kebab'):
    name: str
    host: str
    # A port between slashes, not a path.
    path_prefix: str
    route_type: Literal['safe', 'unsafe', 'upload', 'download']
    timeout_ms: Annotated[float, msgspec.Meta(ge=0)]
    target_latency_ms: Annotated[float, msgspec.Meta(ge=0)]
    priority: int = 0
    service: str = ''
    weighted_services: list[msgspec.Raw] = []


# What is assumed of a route's fields that cannot be read. An unknown type runs
# once at most, and without a target latency no answer counts as late.
_SAFE_READINGS: Final = {
    'name': '',
    'route_type': 'unsafe',
    'timeout_ms': 0,
    'target_latency_ms': 0,
}


class _Limits(msgspec.Struct, rename='kebab'):
    idle_timeout_ms: Annotated[float, msgspec.Meta(gt=0)]


class _Configuration(msgspec.Struct):
    version: _Number
    routes: list[msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b'null')


class _Server(msgspec.Struct, rename='kebab'):
    # An entry that lacks one of these fields, or holds one of another type, is
    # another writer's and names no server, also where no decision reads it.
    service: _Name
    address: str
    zone: _Name
    version: str
    state: Literal['ready', 'draining']
    slots: Annotated[int, msgspec.Meta(ge=1, le=2**31)]
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=2**31)]
    sequence: _Number
    # Unix milliseconds of the server's start.
    born: _Number = 0


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


class ReadConfiguration(NamedTuple):
    """A configuration, and a sentence for each part that cannot be read."""

    table: RoutingTable
    faults: tuple[str, ...]


class Configured(NamedTuple):
    """A configuration, None where none can be read, and its revision.

    ``body`` is what ``decode_configuration`` takes, for other hosts.
    """

    table: RoutingTable | None
    body: bytes
    revision: int
    faults: tuple[str, ...] = ()

    @property
    def version(self) -> int:
        """The version of the configuration, 0 where there is none."""
        return 0 if self.table is None else self.table.version


_page_decoder: Final = msgspec.json.Decoder(_Page)
_events_decoder: Final = msgspec.json.Decoder(_Events)
_object_decoder: Final = msgspec.json.Decoder(_Object)
_server_decoder: Final = msgspec.json.Decoder(_Server)
_configuration_decoder: Final = msgspec.json.Decoder(_Configuration)
_event_decoder: Final = msgspec.json.Decoder(_Event)
_named_decoder: Final = msgspec.json.Decoder(_NamedObject)
_route_decoder: Final = msgspec.json.Decoder(_Route)
_share_decoder: Final = msgspec.json.Decoder(_Share)
_limits_decoder: Final = msgspec.json.Decoder(_Limits)
_fields_decoder: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])


def decode_backend_page(body: bytes) -> Page:
    """Decode a page of backend servers; raises ``msgspec.DecodeError``.

    An entry that cannot be read is left out, with a sentence in ``faults``.
    """
    page = _page_decoder.decode(body)
    entries: list[BackendEntry] = []
    faults: list[str] = []
    for raw in page.items:
        try:
            entries.append(_decode_backend(_object_decoder.decode(raw)))
        except _BAD_OBJECT as error:
            faults.append(_describe_fault(raw, error))
    next_name = _last_name(page.items) if page.has_more else ''
    return Page(entries, faults, page.as_of, next_name)


def decode_backend_changes(body: bytes) -> Changes:
    """Decode what a watch of backend servers returned.

    An entry that cannot be read any more counts as removed, because it names
    no server to use.
    """
    seen = _events_decoder.decode(body)
    changes: list[BackendEntry | BackendRemoved] = []
    faults: list[str] = []
    for raw in seen.events:
        try:
            event = _event_decoder.decode(raw)
            found = _object_decoder.decode(event.object)
        except _BAD_OBJECT as error:
            faults.append(_describe_fault(raw, error))
            continue
        changes.append(_decode_change(found, event.removed, faults))
    return Changes(changes, faults, seen.as_of)


def decode_configuration_page(body: bytes) -> Configured:
    """Decode the listing that holds the one configuration.

    Raises:
        msgspec.DecodeError: it is no listing. A configuration in it that
            cannot be read is a fault, and no table.
    """
    page = _page_decoder.decode(body)
    return _newest_configuration(page.items, page.as_of)


def decode_configuration_changes(body: bytes) -> Configured:
    """Decode what a watch of the configuration returned."""
    seen = _events_decoder.decode(body)
    kept: list[msgspec.Raw] = []
    faults: list[str] = []
    for raw in seen.events:
        try:
            event = _event_decoder.decode(raw)
        except msgspec.DecodeError as error:
            faults.append(_describe_fault(raw, error))
            continue
        if not event.removed:
            kept.append(event.object)
    newest = _newest_configuration(kept, seen.as_of)
    return newest._replace(faults=(*faults, *newest.faults))


def decode_configuration(spec: bytes) -> ReadConfiguration:
    """Decode the body of one configuration.

    A route that cannot be read costs no other one.

    Raises:
        msgspec.DecodeError: version or list of routes cannot be read.
    """
    found = _configuration_decoder.decode(spec)
    faults: list[str] = []
    routes: dict[bytes, Route] = {}
    for raw in found.routes:
        try:
            route = _read_route(raw, faults)
        except _BAD_OBJECT as error:
            faults.append(f'route left out: {_describe_fault(raw, error)}')
        else:
            routes[route.address_key] = route
    try:
        limits = _limits_decoder.decode(found.limits)
        idle_timeout_s = limits.idle_timeout_ms / _MILLISECONDS
    except msgspec.DecodeError as error:
        faults.append(f'limits: {error}')
        idle_timeout_s = _FALLBACK_IDLE_TIMEOUT_S
    table = RoutingTable(found.version, routes, idle_timeout_s)
    return ReadConfiguration(table, tuple(faults))


def _last_name(items: Sequence[msgspec.Raw]) -> str:
    # An object of which not even the name can be read is passed over.
    for raw in reversed(items):
        with contextlib.suppress(msgspec.DecodeError):
            return _named_decoder.decode(raw).meta.name
    raise msgspec.DecodeError('no object of a page with more to come is named')


def _newest_configuration(
    objects: Iterable[msgspec.Raw],
    revision: int,
) -> Configured:
    newest = Configured(None, b'', revision)
    faults: list[str] = []
    for raw in objects:
        try:
            found = _read_main(raw, revision)
        except msgspec.DecodeError as error:
            faults.append(f'configuration: {_describe_fault(raw, error)}')
            continue
        if found.version > newest.version:
            newest = found
    return newest._replace(faults=(*faults, *newest.faults))


def _read_main(raw: msgspec.Raw, revision: int) -> Configured:
    found = _object_decoder.decode(raw)
    if found.meta.name != 'main':
        return Configured(None, b'', revision)
    table, faults = decode_configuration(found.spec)
    return Configured(table, bytes(found.spec), revision, faults)


def _read_route(raw: msgspec.Raw, faults: list[str]) -> Route:
    try:
        route = _route_decoder.decode(raw)
    except msgspec.ValidationError:
        route = _read_route_loosely(raw, faults)
    shares: tuple[ServiceShare, ...] = (ServiceShare(route.service, 1),)
    if not route.service:
        shares = tuple(_read_shares(route, faults))
    port = int(route.path_prefix.strip('/'))
    return Route(
        encode_address(route.host, port),
        route.name,
        shares,
        _KINDS[route.route_type],
        route.priority,
        route.target_latency_ms / _MILLISECONDS,
        route.timeout_ms / _MILLISECONDS,
    )


def _read_route_loosely(raw: msgspec.Raw, faults: list[str]) -> _Route:
    """Read what can be read of a route, field by field.

    Raises:
        msgspec.ValidationError: a field without a safe reading is missing.
    """
    found = _fields_decoder.decode(raw)
    kept: dict[str, Any] = {}
    for field in msgspec.structs.fields(_Route):
        wire_name = field.encode_name
        if wire_name not in found and not field.required:
            continue
        try:
            kept[field.name] = msgspec.json.decode(
                found.get(wire_name, b'null'), type=field.type
            )
        except msgspec.DecodeError as error:
            faults.append(f'{_describe_route(found)} {wire_name}: {error}')
    try:
        return _Route(**{**_SAFE_READINGS, **kept})
    except TypeError as error:
        raise msgspec.ValidationError(str(error)) from error


def _read_shares(route: _Route, faults: list[str]) -> Iterable[ServiceShare]:
    for raw in route.weighted_services:
        try:
            share = _share_decoder.decode(raw)
        except msgspec.DecodeError as error:
            fault = _describe_fault(raw, error)
            faults.append(f'route {route.name} weighted-services: {fault}')
        else:
            yield ServiceShare(share.service, share.weight)


def _describe_route(found: Mapping[str, msgspec.Raw]) -> str:
    return f'route {bytes(found.get("name", b""))[:_SHOWN_BYTES]!r}'


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
    if instance >= _MAX_INSTANCE:
        raise ValueError(f'id {found.meta.name!r} exceeds 64 bits')
    return BackendEntry(
        found.meta.name,
        instance,
        server.service,
        Endpoint(host, int(port)),
        server.zone,
        server.slots,
        server.state == 'draining',
        server.born,
        found.meta.revision,
    )


def _describe_fault(raw: Any, error: Exception) -> str:
    return f'{bytes(raw)[:_SHOWN_BYTES]!r}: {error}'
