"""Messages between balancers and their sealed UDP codec.

A sealed datagram is an 8-byte keyed BLAKE2b tag and the MessagePack array of
one message, so that a host without the pool's key cannot inject messages.
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

    ``counters`` maps the 32-bit hash of a host id to the highest
    (incarnation, counter) known of it. ``configuration_digest`` is a hash of
    the versions held; ``prepared_digest`` is the digest up to which the sender
    prepared every change and had its handovers acknowledged. ``members`` holds
    the packed liveness of the pool (see ``internal/members/packing``). Without
    ``has_demands`` the demands are those of the heartbeat before. With it,
    ``draining`` counts the known flows of draining backend servers; None when
    there are too many of these to list.
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
    """Asks a flow's owner for the backend server of a flow.

    With ``is_known_only`` the receiver does not place the flow: it answers
    with an empty ``backend_id`` unless it already knows the flow.
    """

    sender: str
    service_id: str
    flow_key: int
    is_known_only: bool = False


class LookupReply(Message, frozen=True, array_like=True, tag='lookupreply'):
    """Answers ``Lookup``.

    An empty ``backend_id`` means a warming owner or, for a lookup of known
    flows only, a flow that the sender does not know.
    """

    sender: str
    service_id: str
    flow_key: int
    backend_id: str


class RelayedRequest(Message, frozen=True, array_like=True, tag='relay'):
    """A framed ``Request`` or ``Cancel`` on its way to its executor.

    ``hops_left`` bounds the relays that follow, so that balancers with
    different views of the successor cannot pass a request in a circle.
    """

    sender: str
    service_id: str
    caller: Endpoint
    datagram: bytes
    hops_left: int = 2


class RelayedReply(Message, frozen=True, array_like=True, tag='relayreply'):
    """A datagram for a caller that only ``sender``'s peer can reach."""

    sender: str
    service_id: str
    caller: Endpoint
    datagram: bytes


class HealthReport(Message, frozen=True, array_like=True, tag='health'):
    """A verdict of one balancer about backend servers that it watches.

    ``verdicts`` maps a backend id to whether it is usable. ``service_id`` is
    empty when they are of several services. ``incarnation`` and ``sequence``
    order the reports of one sender.
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
    """Encode ``message`` and put its tag in front."""
    body = _encoder.encode(message)
    return _tag(body, key) + body


def unseal(datagram: bytes, key: bytes) -> PeerMessage:
    """Check the tag and decode; raises ``WireFormatError``."""
    body = datagram[TAG_SIZE_BYTES:]
    if not hmac.compare_digest(datagram[:TAG_SIZE_BYTES], _tag(body, key)):
        raise WireFormatError('the tag does not match the pool key')
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise WireFormatError(str(error)) from error


def _tag(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG_SIZE_BYTES, key=key).digest()
