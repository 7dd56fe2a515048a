"""Decode objects of the platform's store.

Unreadable values affect as little as possible: an entry, a route or a route's
share is left out, or the field of a route gets a safe default. Each is
described as a fault, and the rest is used.
"""

import contextlib
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, Final, Literal, NamedTuple, TypeAlias

import msgspec

from currantshore.internal.addresses import is_host_address
from currantshore.internal.revisions import (
    MAX_STORE_REVISION,
    build_revision,
)
from currantshore.internal.steering.catalog import (
    BackendEntry,
    BackendRemoved,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    Warmup,
)
from currantshore.platform.packets import MAX_PORT, encode_address
from currantshore.platform.tolerant import (
    TolerantDecoder,
    decode_value,
    split_array,
    split_object,
)
from currantshore.wire import Endpoint

_MILLISECONDS: Final = 1000
_HEXADECIMAL: Final = 16
_HEX_DIGITS: Final = frozenset('0123456789abcdef')
_MAX_INSTANCE: Final = 2**64

# Hosts send these numbers to each other as MessagePack, which has 64 bits.
_MAX_NUMBER: Final = 2**63 - 1
_Number: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_StoreRevision: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_STORE_REVISION)
]

# Hosts send these names to each other with eight servers per datagram, so their
# length is limited, to that of a DNS label.
_Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]

_KINDS: Final = {
    'safe': RequestKind.IDEMPOTENT,
    'unsafe': RequestKind.AT_MOST_ONCE,
    'upload': RequestKind.UPLOAD,
    'download': RequestKind.DOWNLOAD,
}

# If the limit is unreadable, flows are kept for as long as the platform's
# documentation allows an idle flow to live.
_FALLBACK_IDLE_TIMEOUT_S: Final = 60.0

# If a service's warm-up is unreadable, servers count as cold for this long
# after the evacuation of their zone ends.
_FALLBACK_WARMUP_S: Final = 10.0

_MAX_WARMUP_S: Final = 3600
_MAX_RATE: Final = 1e6

# Length of the excerpt of an unreadable object in a fault.
_EXCERPT_BYTES: Final = 80

_DECODE_ERRORS: Final = (msgspec.DecodeError, ValueError, OSError)


class _Meta(msgspec.Struct):
    name: _Name
    revision: _StoreRevision = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _NamedMeta(msgspec.Struct):
    # A longer one would not fit into the request for the next page.
    name: Annotated[str, msgspec.Meta(max_length=1024)]


class _NamedObject(msgspec.Struct):
    """The part that a listing needs to continue after an unreadable object."""

    meta: _NamedMeta


class _Page(msgspec.Struct, rename='kebab'):
    items: list[msgspec.Raw]
    # The store's revision for which the whole page is valid.
    as_of: _StoreRevision
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename='kebab'):
    events: list[msgspec.Raw]
    as_of: _StoreRevision


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


# Values for unreadable fields of a route. Requests of an unknown type run at
# most once, and without a target latency no answer counts as late.
_SAFE_DEFAULTS: Final = {
    'name': '',
    'route_type': 'unsafe',
    'timeout_ms': 0,
    'target_latency_ms': 0,
}


class _Limits(msgspec.Struct, rename='kebab'):
    idle_timeout_ms: Annotated[float, msgspec.Meta(gt=0)]


class _Service(msgspec.Struct, rename='kebab'):
    name: str
    warmup_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WARMUP_S)] = 0
    # Without a rate or with 0, cold servers bear as much as others.
    warmup_per_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE)] = 0


class _ServiceName(msgspec.Struct):
    """The part of a service that is needed if its warm-up is unreadable."""

    name: str


class _Configuration(msgspec.Struct):
    version: _Number
    routes: list[msgspec.Raw]
    services: msgspec.Raw = msgspec.Raw(b'[]')
    limits: msgspec.Raw = msgspec.Raw(b'null')


class _Server(msgspec.Struct, rename='kebab'):
    # An entry that lacks a field without a default, or has a field of another
    # type, was written by something else and is no server. This includes the
    # fields that are not used otherwise.
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
    """A page of a listing; ``next_name`` is empty on the last one.

    ``faults`` has a sentence for each unreadable entry. The next page starts
    after ``next_name``.
    """

    entries: list[BackendEntry]
    faults: list[str]
    revision: int
    next_name: str


class Changes(NamedTuple):
    """The result of a watch of backend servers."""

    changes: list[BackendEntry | BackendRemoved]
    faults: list[str]
    revision: int


class EvacuationPage(NamedTuple):
    """A page of the listing of evacuated zones, as ``Page``."""

    zones: frozenset[str]
    faults: list[str]
    revision: int
    next_name: str


class EvacuationChanges(NamedTuple):
    """The result of a watch of evacuated zones.

    ``is_evacuated`` has the newest state of each zone that has changed.
    """

    is_evacuated: dict[str, bool]
    faults: list[str]
    revision: int


class DecodedConfiguration(NamedTuple):
    """A configuration, and a sentence for each unreadable part."""

    table: RoutingTable
    faults: tuple[str, ...]


class StoredConfiguration(NamedTuple):
    """The store's configuration; ``table`` is None if there is no readable one.

    ``revision`` is the store's revision of the answer. ``body`` is the encoded
    configuration for other hosts, an argument of ``decode_configuration``. For
    a page of a listing, ``next_name`` is as in ``Page``.
    """

    table: RoutingTable | None
    body: bytes
    revision: int
    faults: tuple[str, ...] = ()
    next_name: str = ''

    @property
    def version(self) -> int:
        """The version of the configuration, 0 if there is none."""
        return 0 if self.table is None else self.table.version


_page_decoder: Final = TolerantDecoder(_Page)
_events_decoder: Final = TolerantDecoder(_Events)
_object_decoder: Final = TolerantDecoder(_Object)
_server_decoder: Final = TolerantDecoder(_Server)
_configuration_decoder: Final = TolerantDecoder(_Configuration)
_event_decoder: Final = TolerantDecoder(_Event)
_named_decoder: Final = TolerantDecoder(_NamedObject)
_route_decoder: Final = TolerantDecoder(_Route)
_share_decoder: Final = TolerantDecoder(_Share)
_service_decoder: Final = TolerantDecoder(_Service)
_service_name_decoder: Final = TolerantDecoder(_ServiceName)
_limits_decoder: Final = TolerantDecoder(_Limits)


def decode_backend_page(body: bytes, restores: int = 0) -> Page:
    """Decode a page of backend servers; raises ``msgspec.DecodeError``.

    An unreadable entry is left out, with a sentence in ``faults``.
    """
    page = _page_decoder.decode(body)
    entries: list[BackendEntry] = []
    faults: list[str] = []
    for raw in page.items:
        try:
            stored_object = _object_decoder.decode(raw)
            entries.append(_decode_backend(stored_object, restores))
        except _DECODE_ERRORS as error:
            faults.append(_describe_fault(raw, error))
    next_name = _last_name(page.items) if page.has_more else ''
    revision = build_revision(restores, page.as_of)
    return Page(entries, faults, revision, next_name)


def decode_backend_changes(body: bytes, restores: int = 0) -> Changes:
    """Decode the result of a watch of backend servers.

    An entry that has become unreadable counts as removed, because its server
    cannot be used; it is skipped if its name or revision is unreadable as well.
    Raises ``msgspec.DecodeError``.
    """
    result = _events_decoder.decode(body)
    changes: list[BackendEntry | BackendRemoved] = []
    faults: list[str] = []
    for raw in result.events:
        try:
            event = _event_decoder.decode(raw)
            stored_object = _object_decoder.decode(event.object)
        except _DECODE_ERRORS as error:
            faults.append(_describe_fault(raw, error))
            continue
        changes.append(
            _decode_change(stored_object, restores, event.removed, faults)
        )
    revision = build_revision(restores, result.as_of)
    return Changes(changes, faults, revision)


def decode_evacuation_page(body: bytes, restores: int = 0) -> EvacuationPage:
    """Decode a page of the evacuated zones; raises ``msgspec.DecodeError``.

    The name of an object is a zone; what else it holds does not matter. An
    object without a readable name is left out, with a sentence in ``faults``.
    """
    page = _page_decoder.decode(body)
    zones: set[str] = set()
    faults: list[str] = []
    for raw in page.items:
        try:
            zones.add(_object_decoder.decode(raw).meta.name)
        except msgspec.DecodeError as error:
            faults.append(_describe_fault(raw, error))
    next_name = _last_name(page.items) if page.has_more else ''
    revision = build_revision(restores, page.as_of)
    return EvacuationPage(frozenset(zones), faults, revision, next_name)


def decode_evacuation_changes(
    body: bytes, restores: int = 0
) -> EvacuationChanges:
    """Decode the result of a watch of the evacuated zones.

    An unreadable event is skipped, so that its zone stays as it was. Raises
    ``msgspec.DecodeError``.
    """
    result = _events_decoder.decode(body)
    is_evacuated: dict[str, bool] = {}
    faults: list[str] = []
    for raw in result.events:
        try:
            event = _event_decoder.decode(raw)
            name = _object_decoder.decode(event.object).meta.name
        except msgspec.DecodeError as error:
            faults.append(_describe_fault(raw, error))
        else:
            is_evacuated[name] = not event.removed
    revision = build_revision(restores, result.as_of)
    return EvacuationChanges(is_evacuated, faults, revision)


def decode_configuration_page(
    body: bytes, restores: int = 0
) -> StoredConfiguration:
    """Decode the listing that contains the configuration.

    Raises:
        msgspec.DecodeError: the body is no listing. For a listing with an
            unreadable configuration, the table is None and there is a fault.
    """
    page = _page_decoder.decode(body)
    revision = build_revision(restores, page.as_of)
    newest = _newest_configuration(page.items, revision)
    next_name = _last_name(page.items) if page.has_more else ''
    return newest._replace(next_name=next_name)


def decode_configuration_changes(
    body: bytes, restores: int = 0
) -> StoredConfiguration:
    """Decode the result of a watch of the configuration.

    Raises ``msgspec.DecodeError``.
    """
    result = _events_decoder.decode(body)
    objects: list[msgspec.Raw] = []
    faults: list[str] = []
    for raw in result.events:
        try:
            event = _event_decoder.decode(raw)
        except msgspec.DecodeError as error:
            faults.append(_describe_fault(raw, error))
            continue
        if not event.removed:
            objects.append(event.object)
    revision = build_revision(restores, result.as_of)
    newest = _newest_configuration(objects, revision)
    return newest._replace(faults=(*faults, *newest.faults))


def decode_configuration(spec: bytes) -> DecodedConfiguration:
    """Decode the body of a configuration.

    An unreadable route does not affect the other routes.

    Raises:
        msgspec.DecodeError: the version or the list of routes is unreadable.
    """
    configuration = _configuration_decoder.decode(spec)
    faults: list[str] = []
    routes: dict[bytes, Route] = {}
    for raw in configuration.routes:
        try:
            route = _decode_route(raw, faults)
        except _DECODE_ERRORS as error:
            faults.append(f'route left out: {_describe_fault(raw, error)}')
        else:
            routes[route.address_key] = route
    idle_timeout_s = _decode_idle_timeout_s(configuration.limits, faults)
    services = _decode_services(configuration.services, faults)
    table = RoutingTable(
        configuration.version,
        routes,
        idle_timeout_s,
        {
            name: warmup
            for name, warmup in services.items()
            if warmup is not None
        },
        frozenset(services),
    )
    return DecodedConfiguration(table, tuple(faults))


def _decode_idle_timeout_s(limits: msgspec.Raw, faults: list[str]) -> float:
    try:
        idle_timeout_ms = _limits_decoder.decode(limits).idle_timeout_ms
    except msgspec.DecodeError as error:
        faults.append(f'limits: {error}')
        return _FALLBACK_IDLE_TIMEOUT_S
    return idle_timeout_ms / _MILLISECONDS


def _decode_services(
    services: msgspec.Raw, faults: list[str]
) -> dict[str, Warmup | None]:
    """Decode the services, with the warm-up if cold servers bear less.

    If a service's warm-up is unreadable, its cold servers get no new flows.
    """
    decoded: dict[str, Warmup | None] = {}
    try:
        listed = split_array(bytes(services))
    except msgspec.DecodeError as error:
        faults.append(f'services: {error}')
        return decoded
    for raw in listed:
        try:
            service = _service_decoder.decode(raw)
        except msgspec.DecodeError as error:
            faults.append(
                f'warm-up of a service: {_describe_fault(raw, error)}'
            )
            with contextlib.suppress(msgspec.DecodeError):
                name = _service_name_decoder.decode(raw).name
                decoded[name] = Warmup(_FALLBACK_WARMUP_S, 0)
            continue
        decoded[service.name] = (
            Warmup(service.warmup_s, service.warmup_per_s)
            if service.warmup_per_s
            else None
        )
    return decoded


def _last_name(items: Sequence[msgspec.Raw]) -> str:
    # Skip objects whose name is unreadable as well.
    for raw in reversed(items):
        with contextlib.suppress(msgspec.DecodeError):
            return _named_decoder.decode(raw).meta.name
    raise msgspec.DecodeError(
        'has-more is set, but no object has a readable name'
    )


def _newest_configuration(
    objects: Iterable[msgspec.Raw],
    revision: int,
) -> StoredConfiguration:
    newest = StoredConfiguration(None, b'', revision)
    faults: list[str] = []
    for raw in objects:
        try:
            candidate = _decode_main_configuration(raw, revision)
        except msgspec.DecodeError as error:
            faults.append(f'configuration: {_describe_fault(raw, error)}')
            continue
        if candidate.version > newest.version:
            newest = candidate
    return newest._replace(faults=(*faults, *newest.faults))


def _decode_main_configuration(
    raw: msgspec.Raw, revision: int
) -> StoredConfiguration:
    stored_object = _object_decoder.decode(raw)
    if stored_object.meta.name != 'main':
        return StoredConfiguration(None, b'', revision)
    table, faults = decode_configuration(stored_object.spec)
    return StoredConfiguration(
        table, bytes(stored_object.spec), revision, faults
    )


def _decode_route(raw: msgspec.Raw, faults: list[str]) -> Route:
    try:
        route = _route_decoder.decode(raw)
    except msgspec.DecodeError:
        route = _decode_route_leniently(raw, faults)
    shares: tuple[ServiceShare, ...] = (ServiceShare(route.service, 1),)
    if not route.service:
        shares = tuple(_decode_shares(route, faults))
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


def _decode_route_leniently(raw: msgspec.Raw, faults: list[str]) -> _Route:
    """Decode a route field by field, with defaults for unreadable fields.

    Raises:
        msgspec.ValidationError: a field without a safe default is missing or
            unreadable.
    """
    raw_fields = split_object(bytes(raw))
    decoded: dict[str, Any] = {}
    for field in msgspec.structs.fields(_Route):
        wire_name = field.encode_name
        if wire_name not in raw_fields and not field.required:
            continue
        try:
            decoded[field.name] = decode_value(
                raw_fields.get(wire_name, b'null'), field.type
            )
        except msgspec.DecodeError as error:
            faults.append(f'{_describe_route(raw_fields)} {wire_name}: {error}')
    try:
        return _Route(**{**_SAFE_DEFAULTS, **decoded})
    except TypeError as error:
        raise msgspec.ValidationError(str(error)) from error


def _decode_shares(route: _Route, faults: list[str]) -> Iterable[ServiceShare]:
    for raw in route.weighted_services:
        try:
            share = _share_decoder.decode(raw)
        except msgspec.DecodeError as error:
            fault = _describe_fault(raw, error)
            faults.append(f'route {route.name} weighted-services: {fault}')
        else:
            yield ServiceShare(share.service, share.weight)


def _describe_route(raw_fields: Mapping[str, bytes]) -> str:
    return f'route {raw_fields.get("name", b"").strip()[:_EXCERPT_BYTES]!r}'


def _decode_change(
    stored_object: _Object,
    restores: int,
    is_removed: bool,
    faults: list[str],
) -> BackendEntry | BackendRemoved:
    removal = BackendRemoved(
        stored_object.meta.name,
        build_revision(restores, stored_object.meta.revision),
    )
    if is_removed:
        return removal
    try:
        return _decode_backend(stored_object, restores)
    except _DECODE_ERRORS as error:
        faults.append(f'{stored_object.meta.name}: {error}')
        return removal


def _decode_backend(stored_object: _Object, restores: int) -> BackendEntry:
    server = _server_decoder.decode(stored_object.spec)
    endpoint = _decode_endpoint(server.address)
    # The instance number is the hexadecimal digits of the name, in order.
    digits = [
        digit for digit in stored_object.meta.name if digit in _HEX_DIGITS
    ]
    instance = int(''.join(digits), _HEXADECIMAL)
    if instance >= _MAX_INSTANCE:
        raise ValueError(f'id {stored_object.meta.name!r} exceeds 64 bits')
    return BackendEntry(
        stored_object.meta.name,
        instance,
        server.service,
        endpoint,
        server.zone,
        server.slots,
        server.state == 'draining',
        server.born,
        build_revision(restores, stored_object.meta.revision),
        math.ceil(server.warmup_left_ms),
    )


def _decode_endpoint(address: str) -> Endpoint:
    host, _, port = address.rpartition(':')
    # The port 0 cannot be sent to.
    if not is_host_address(host) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f'address={address[:_EXCERPT_BYTES]!r} is not the IPv4 address and'
            ' port of a host'
        )
    return Endpoint(host, int(port))


def _describe_fault(raw: Any, error: Exception) -> str:
    return f'{bytes(raw)[:_EXCERPT_BYTES]!r}: {error}'
