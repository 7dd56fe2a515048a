"""Datagrams between entry hosts, as MessagePack arrays.

Each fits into one packet of a link (1,200 bytes). A digest goes out twice a
second to a few hosts, so its size decides what a host spends on control.
"""

from typing import Final, TypeAlias

import msgspec

from currantshore.errors import WireFormatError
from currantshore.internal.steering.catalog import BackendEntry, BackendRemoved
from currantshore.wire import Endpoint

MAX_MESSAGE_SIZE_BYTES: Final = 1200

# Changes in one datagram; an entry takes about 110 bytes.
CHANGES_PER_MESSAGE: Final = 8


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """A sign of life of a host that reads the store.

    ``started_ms`` and ``count`` order the beats of one host over its restarts.
    ``is_served`` is false while the store does not answer it.
    """

    host: str
    zone: str
    link_mbit_per_s: int
    started_ms: int
    count: int
    is_served: bool

    def is_newer_than(self, other: 'Beat') -> bool:
        """Tell whether this beat came after ``other`` of the same host."""
        return (self.started_ms, self.count) > (other.started_ms, other.count)


class Neighbour(msgspec.Struct, frozen=True, array_like=True):
    """The IP number, availability zone and bandwidth of a host."""

    host: str
    zone: str
    link_mbit_per_s: int


class Digest(msgspec.Struct, frozen=True, array_like=True, tag='digest'):
    """What a host holds, and the beats and hosts that it has heard of."""

    zone: str
    link_mbit_per_s: int
    configuration_version: int
    backend_revision: int
    beats: tuple[Beat, ...]
    neighbours: tuple[Neighbour, ...]
    is_leaving: bool = False


class Ask(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Asks for the changes of backend servers after a revision."""

    backend_revision: int


class Listed(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a backend server."""

    backend_id: str
    instance: int
    service_id: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    started_ms: int
    revision: int


class Removed(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that the store lists no longer."""

    backend_id: str
    revision: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag='changes'):
    """All changes of backend servers after one revision up to another."""

    after_revision: int
    revision: int
    listed: tuple[Listed, ...]
    removed: tuple[Removed, ...]


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """All backend servers at a revision, for a host that lacks history."""

    revision: int
    listed: tuple[Listed, ...]


Message: TypeAlias = Digest | Ask | Changes

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message)
_listing_decoder: Final = msgspec.msgpack.Decoder(Listing)


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Decode a datagram; raises ``WireFormatError``."""
    try:
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, ValueError) as error:
        raise WireFormatError(str(error)) from error


def encode_listing(listing: Listing) -> bytes:
    """Return the body of a complete listing."""
    return _encoder.encode(listing)


def decode_listing(body: bytes) -> Listing:
    """Decode a complete listing; raises ``WireFormatError``."""
    try:
        return _listing_decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise WireFormatError(str(error)) from error


def list_entry(entry: BackendEntry) -> Listed:
    """Return the wire form of an entry."""
    return Listed(
        entry.backend_id,
        entry.instance,
        entry.service_id,
        entry.endpoint.host,
        entry.endpoint.port,
        entry.zone,
        entry.slots,
        entry.is_draining,
        entry.started_ms,
        entry.revision,
    )


def read_entry(listed: Listed) -> BackendEntry:
    """Return the entry that a host has passed on."""
    return BackendEntry(
        listed.backend_id,
        listed.instance,
        listed.service_id,
        Endpoint(listed.host, listed.port),
        listed.zone,
        listed.slots,
        listed.is_draining,
        listed.started_ms,
        listed.revision,
    )


def pack_changes(
    after_revision: int,
    changes: tuple[BackendEntry | BackendRemoved, ...],
    revision: int,
) -> Changes:
    """Return one message of changes, which are in order of revision."""
    return Changes(
        after_revision,
        revision,
        tuple(
            list_entry(change)
            for change in changes
            if isinstance(change, BackendEntry)
        ),
        tuple(
            Removed(change.backend_id, change.revision)
            for change in changes
            if isinstance(change, BackendRemoved)
        ),
    )


def unpack_changes(
    message: Changes,
) -> list[BackendEntry | BackendRemoved]:
    """Return the changes of a message in order of revision."""
    changes: list[BackendEntry | BackendRemoved] = [
        read_entry(listed) for listed in message.listed
    ]
    changes += [
        BackendRemoved(removed.backend_id, removed.revision)
        for removed in message.removed
    ]
    return sorted(changes, key=lambda change: change.revision)
