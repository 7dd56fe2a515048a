"""Define and encode the datagrams between entry hosts (MessagePack arrays).

A message is meant to fit into one packet of 1,200 bytes; only the digests of
hosts whose zones have very long names exceed it. A digest is sent twice a
second to a few hosts, so its size determines a host's control traffic. A
``Listing`` is larger and is fetched by HTTP.
"""

from collections.abc import Iterable
from typing import Any, Final, TypeAlias

import msgspec

from currantshore.errors import WireFormatError
from currantshore.internal.addresses import is_host_address
from currantshore.internal.steering.catalog import BackendEntry, BackendRemoved
from currantshore.wire import Endpoint

MAX_MESSAGE_SIZE_BYTES: Final = 1200

# A server takes about 110 bytes of a datagram, one with the longest names 800.
CHANGES_PER_MESSAGE: Final = 8
_MESSAGE_HEAD_BYTES: Final = 32
_CHANGE_NUMBERS_BYTES: Final = 64

# The evacuated zones of a digest, more than a deployment has zones. Other
# objects of their kind would make it too long to be read.
MAX_EVACUATED_ZONES: Final = 32
MAX_ZONES_SIZE_BYTES: Final = 640


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat of a host that reads the store.

    ``started_ms`` and ``count`` order the heartbeats of one host across
    restarts. ``is_served`` is false while the store does not answer the host.
    ``age_ms`` is how long ago it was sent, when another host forwards it, and
    ``answered_ms`` how long before that the store had last answered the reader.
    """

    host: str
    zone: str
    link_mbit_per_s: int
    started_ms: int
    count: int
    is_served: bool
    age_ms: int = 0
    answered_ms: int = 0

    def is_newer_than(self, other: 'Heartbeat') -> bool:
        """Return whether this was sent after ``other`` of the same host."""
        return (self.started_ms, self.count) > (other.started_ms, other.count)


class Neighbour(msgspec.Struct, frozen=True, array_like=True):
    """The IP address, availability zone and bandwidth of a host."""

    host: str
    zone: str
    link_mbit_per_s: int


class Digest(msgspec.Struct, frozen=True, array_like=True, tag='digest'):
    """The versions a host has, and heartbeats and hosts that it forwards.

    With ``is_reply_requested``, the recipient answers with its own digest.
    """

    zone: str
    link_mbit_per_s: int
    configuration_version: int
    backend_revision: int
    beats: tuple[Heartbeat, ...]
    neighbours: tuple[Neighbour, ...]
    is_leaving: bool = False
    evacuation_revision: int = 0
    evacuated_zones: tuple[str, ...] = ()
    is_reply_requested: bool = False


class ChangesRequest(msgspec.Struct, frozen=True, array_like=True, tag='ask'):
    """Requests the changes of backend servers after a revision."""

    backend_revision: int


class ListedBackend(msgspec.Struct, frozen=True, array_like=True):
    """The wire form of a ``BackendEntry``.

    ``instance`` is the number that identifies the server in packets.
    """

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
    warmup_left_ms: int = 0


class RemovedBackend(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that the store no longer lists."""

    backend_id: str
    revision: int


class Changes(msgspec.Struct, frozen=True, array_like=True, tag='changes'):
    """All changes of backend servers after one revision up to another.

    ``after_revision`` is -1 and there are no changes if the sender's log does
    not reach back to the requested revision.
    """

    after_revision: int
    revision: int
    listed: tuple[ListedBackend, ...]
    removed: tuple[RemovedBackend, ...]


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """All backend servers at a revision, for a host that is too far behind."""

    revision: int
    listed: tuple[ListedBackend, ...]


Message: TypeAlias = Digest | ChangesRequest | Changes

# Fields that hosts of earlier releases do not know. They are the last ones of
# their message and left out if unset, so that a message which needs none of
# them has the bytes of those releases.
_EVACUATION_FIELDS: Final = 2
_ADDED_HEARTBEAT_FIELDS: Final = 2
_ADDED_BACKEND_FIELDS: Final = 1

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message)
_listing_decoder: Final = msgspec.msgpack.Decoder(Listing)


def encode_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case Digest():
            return _encoder.encode(_omit_unset_of_digest(message))
        case Changes():
            return _encoder.encode(_omit_unset(message))
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Decode a datagram; raises ``WireFormatError``."""
    try:
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, ValueError) as error:
        raise WireFormatError(str(error)) from error


def encode_listing(listing: Listing) -> bytes:
    """Encode a complete list of backend servers."""
    return _encoder.encode(_omit_unset(listing))


def decode_listing(body: bytes) -> Listing:
    """Decode a complete list; raises ``WireFormatError``."""
    try:
        return _listing_decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise WireFormatError(str(error)) from error


def _omit_unset_of_digest(digest: Digest) -> list[Any]:
    """Return the fields of ``digest`` without those at the end that are unset.

    Unset fields of its heartbeats are left out as well.
    """
    beats: tuple[Any, ...] = tuple(
        beat
        if beat.age_ms or beat.answered_ms
        else msgspec.to_builtins(beat)[:-_ADDED_HEARTBEAT_FIELDS]
        for beat in digest.beats
    )
    fields: list[Any] = msgspec.to_builtins(
        msgspec.structs.replace(digest, beats=beats)
    )
    if digest.is_reply_requested:
        return fields
    fields.pop()
    if digest.evacuation_revision:
        return fields
    return fields[:-_EVACUATION_FIELDS]


def _omit_unset(message: Changes | Listing) -> Changes | Listing:
    """Return ``message`` without the unset fields of its entries."""
    listed: tuple[Any, ...] = tuple(
        entry
        if entry.warmup_left_ms
        else msgspec.to_builtins(entry)[:-_ADDED_BACKEND_FIELDS]
        for entry in message.listed
    )
    return msgspec.structs.replace(message, listed=listed)


def pack_entry(entry: BackendEntry) -> ListedBackend:
    """Return the wire form of an entry."""
    return ListedBackend(
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
        entry.warmup_left_ms,
    )


def unpack_entry(listed: ListedBackend) -> BackendEntry:
    """Return the entry of the wire form."""
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
        listed.warmup_left_ms,
    )


def unpack_listing(listing: Listing) -> list[BackendEntry]:
    """Return the entries of a list, without those whose address is none."""
    return [
        unpack_entry(listed)
        for listed in listing.listed
        if is_host_address(listed.host)
    ]


def count_fitting(changes: Iterable[BackendEntry | BackendRemoved]) -> int:
    """Return how many of the first ``changes`` one message can hold.

    At least one: no single change is longer than a message.
    """
    size_bytes = _MESSAGE_HEAD_BYTES
    count = 0
    for change in changes:
        size_bytes += _size_bytes(change)
        is_full = count and size_bytes > MAX_MESSAGE_SIZE_BYTES
        if is_full or count == CHANGES_PER_MESSAGE:
            return count
        count += 1
    return count


def _size_bytes(change: BackendEntry | BackendRemoved) -> int:
    """Return an upper bound of the size of an encoded change."""
    texts = [change.backend_id]
    if isinstance(change, BackendEntry):
        texts += [change.service_id, change.zone]
    return _CHANGE_NUMBERS_BYTES + sum(len(text.encode()) for text in texts)


def pack_changes(
    after_revision: int,
    changes: tuple[BackendEntry | BackendRemoved, ...],
    revision: int,
) -> Changes:
    """Return a message of ``changes``, which are in order of revision."""
    return Changes(
        after_revision,
        revision,
        tuple(
            pack_entry(change)
            for change in changes
            if isinstance(change, BackendEntry)
        ),
        tuple(
            RemovedBackend(change.backend_id, change.revision)
            for change in changes
            if isinstance(change, BackendRemoved)
        ),
    )


def unpack_changes(
    message: Changes,
) -> list[BackendEntry | BackendRemoved]:
    """Return the changes of a message in order of revision.

    An entry whose address is none counts as removed: hosts of earlier releases
    pass on what they could not check.
    """
    changes: list[BackendEntry | BackendRemoved] = [
        unpack_entry(listed)
        if is_host_address(listed.host)
        else BackendRemoved(listed.backend_id, listed.revision)
        for listed in message.listed
    ]
    changes += [
        BackendRemoved(removed.backend_id, removed.revision)
        for removed in message.removed
    ]
    return sorted(changes, key=lambda change: change.revision)
