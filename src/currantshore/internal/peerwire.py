"""Messages between balancers and their sealed UDP codec.

A sealed datagram is an 8-byte keyed BLAKE2b tag followed by one message as a
MessagePack array. A host without the pool's key cannot inject messages.
"""

import hashlib
import hmac
from typing import Final, TypeAlias

import msgspec

from currantshore.errors import WireFormatError
from currantshore.wire import Endpoint, Message

TAG_SIZE_BYTES: Final = 8


class Heartbeat(Message, frozen=True, array_like=True, tag='hb'):
    """Liveness, configuration versions and demand of one balancer.

    ``counters`` maps the 32-bit hash of a host id to the highest known
    (incarnation, counter) of the host. ``configuration_digest`` is a hash of
    the sender's object versions; ``prepared_digest`` is that of the newest
    configuration for which the sender has prepared every change and its
    handovers were acknowledged.
    ``members`` is the packed liveness of the pool (see
    ``internal/members/packing``). Without ``has_demands`` the demands of the
    previous heartbeat still apply. With it, ``draining`` maps draining backend
    servers to their number of known flows, None if there are too many to list.
    """

    sender: str
    incarnation: int
    is_leaving: bool
    is_warm: bool
    counters: dict[int, tuple[int, int]]
    configuration_digest: int
    prepared_digest: int
    demands: dict[str, int]
    successor: str = ''
    members: bytes = b''
    has_demands: bool = True
    draining: dict[str, int] | None = None


class Lookup(Message, frozen=True, array_like=True, tag='lookup'):
    """Requests the backend server of a flow from the flow's owner.

    With ``is_known_only`` the receiver does not place the flow, but answers
    with an empty ``backend_id`` if the flow is unknown to it.
    """

    sender: str
    service_id: str
    flow_key: int
    is_known_only: bool = False


class LookupReply(Message, frozen=True, array_like=True, tag='lookupreply'):
    """Answers ``Lookup``.

    ``backend_id`` is empty if the owner is still warming up or, for a lookup
    of known flows only, if the flow is unknown to the sender of this reply.
    """

    sender: str
    service_id: str
    flow_key: int
    backend_id: str


class RelayedRequest(Message, frozen=True, array_like=True, tag='relay'):
    """A framed ``Request`` or ``Cancel`` relayed towards its executor.

    ``hops_left`` limits further relays, so that balancers with different views
    of the successor cannot relay a request in a loop.
    """

    sender: str
    service_id: str
    caller: Endpoint
    datagram: bytes
    hops_left: int = 2


class RelayedReply(Message, frozen=True, array_like=True, tag='relayreply'):
    """A datagram for a caller that only the receiver can reach."""

    sender: str
    service_id: str
    caller: Endpoint
    datagram: bytes


class HealthReport(Message, frozen=True, array_like=True, tag='health'):
    """Health verdicts of one balancer on the backend servers that it probes.

    ``verdicts`` maps a backend id to whether it is usable. ``service_id`` is
    empty if the backend servers belong to several services. ``incarnation``
    and ``sequence`` order the reports of one sender.
    """

    sender: str
    service_id: str
    verdicts: dict[str, bool]
    incarnation: int = 0
    sequence: int = 0


PeerMessage: TypeAlias = (
    Heartbeat
    | Lookup
    | LookupReply
    | RelayedRequest
    | RelayedReply
    | HealthReport
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def seal(message: Message, key: bytes) -> bytes:
    """Return the encoded ``message`` with its tag in front."""
    body = _encoder.encode(message)
    return _tag(body, key) + body


def unseal(datagram: bytes, key: bytes) -> PeerMessage:
    """Verify the tag and decode; raises ``WireFormatError``."""
    body = datagram[TAG_SIZE_BYTES:]
    if not hmac.compare_digest(datagram[:TAG_SIZE_BYTES], _tag(body, key)):
        raise WireFormatError('the tag does not match the pool key')
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise WireFormatError(str(error)) from error


def _tag(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG_SIZE_BYTES, key=key).digest()
