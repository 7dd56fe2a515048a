"""Messages that callers and backend servers exchange with balancers.

A framed datagram consists of the two bytes ``C5 5E`` and one MessagePack array,
whose first element is the message's tag. Every other datagram is opaque and is
forwarded unchanged as part of a flow. All numeric ids are unsigned integers.
All ``*_ms`` fields are milliseconds relative to the time of sending, because
the clocks of callers, balancers and backend servers are not synchronized.
"""

from typing import Final, TypeAlias, TypeVar

import msgspec

from currantshore.errors import WireFormatError

FRAME_MARK: Final = b'\xc5\x5e'

# Fits the Ethernet MTU of 1,500 bytes with the forwarded header added.
MAX_PAYLOAD_SIZE_BYTES: Final = 1400

# A caller that respects the payload limit sends no larger datagrams.
MAX_DATAGRAM_SIZE_BYTES: Final = 1600


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """An IP address and a port."""

    host: str
    port: int


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all framed messages."""


class Open(Message, frozen=True, array_like=True, tag='open'):
    """Requests a flow token.

    ``first_request_id`` is the lowest request id that the caller will use with
    the new token. A caller that reopens a flow because its executor is gone
    passes an id above all that it used before, and its last ``token``, so that
    the flow keeps its backend server.
    """

    first_request_id: int = 1
    token: bytes = b''


class Opened(Message, frozen=True, array_like=True, tag='opened'):
    """Answers ``Open`` with the token for the caller's further messages."""

    token: bytes


class Data(Message, frozen=True, array_like=True, tag='data'):
    """Carries bytes of a flow, in either direction."""

    payload: bytes
    token: bytes = b''


class Close(Message, frozen=True, array_like=True, tag='close'):
    """Ends a flow; balancers discard its state."""

    token: bytes = b''


class Request(Message, frozen=True, array_like=True, tag='request'):
    """Requests one run of work on the flow's service."""

    request_id: int
    attempt: int
    priority_class: str
    is_repeatable: bool
    deadline_ms: int
    payload: bytes
    token: bytes


class Cancel(Message, frozen=True, array_like=True, tag='cancel'):
    """Cancels a request; the answer states whether it had started."""

    request_id: int
    token: bytes


class Answer(Message, frozen=True, array_like=True, tag='answer'):
    """One part of the answer to a request; ``part`` counts from 0.

    ``run_id`` is the same in all parts of one run. A caller combines only
    parts with the same ``run_id``, because a repeatable request may be run by
    two balancers.
    """

    request_id: int
    attempt: int
    part: int
    parts: int
    payload: bytes
    run_id: int = 0


class Refusal(Message, frozen=True, array_like=True, tag='refusal'):
    """The final result of a request that gets no answer.

    ``code`` is a ``ResultCode``. ``request_id`` is 0 if the refusal concerns
    the flow instead of one request.
    """

    request_id: int
    code: int
    retry_after_ms: int


class Forwarded(Message, frozen=True, array_like=True, tag='fwd'):
    """A caller's opaque or ``Data`` payload on its way to a backend server."""

    service_id: str
    caller: Endpoint
    payload: bytes


class Run(Message, frozen=True, array_like=True, tag='run'):
    """Instructs a backend server to run one request.

    The executor is the balancer that sends this message.

    ``run_id`` is unique for the lifetime of the executor's process;
    ``deadline_ms`` is the remaining time.
    """

    service_id: str
    caller: Endpoint
    run_id: int
    request_id: int
    attempt: int
    priority_class: str
    deadline_ms: int
    payload: bytes


class CancelRun(Message, frozen=True, array_like=True, tag='cancelrun'):
    """Instructs a backend server to stop a run and free its slot."""

    service_id: str
    run_id: int


class Probe(Message, frozen=True, array_like=True, tag='probe'):
    """Checks whether a backend server responds."""

    probe_id: int


class ProbeReply(Message, frozen=True, array_like=True, tag='probereply'):
    """Answers ``Probe``; ``load_ratio`` is the reported use of slots."""

    probe_id: int
    service_id: str
    load_ratio: float
    state: str


class Downstream(Message, frozen=True, array_like=True, tag='down'):
    """A backend server's bytes for the caller of a flow."""

    service_id: str
    caller: Endpoint
    payload: bytes


class RunAnswer(Message, frozen=True, array_like=True, tag='runanswer'):
    """One part of a run's result."""

    service_id: str
    caller: Endpoint
    run_id: int
    part: int
    parts: int
    payload: bytes


class RunShed(Message, frozen=True, array_like=True, tag='runshed'):
    """Reports that the backend server did not and will not start a run."""

    service_id: str
    run_id: int
    retry_after_ms: int


CallerMessage: TypeAlias = Open | Data | Close | Request | Cancel
BalancerReply: TypeAlias = Opened | Data | Answer | Refusal
BackendOrder: TypeAlias = Forwarded | Run | CancelRun | Probe
BackendReply: TypeAlias = Downstream | RunAnswer | RunShed | ProbeReply

_MessageT = TypeVar('_MessageT')

_encoder = msgspec.msgpack.Encoder()
_caller_decoder = msgspec.msgpack.Decoder(CallerMessage)
_balancer_decoder = msgspec.msgpack.Decoder(BalancerReply)
_order_decoder = msgspec.msgpack.Decoder(BackendOrder)
_reply_decoder = msgspec.msgpack.Decoder(BackendReply)


def is_framed(datagram: bytes) -> bool:
    """Return whether ``datagram`` starts with the frame mark."""
    return datagram.startswith(FRAME_MARK)


def encode(message: Message) -> bytes:
    """Encode a framed datagram."""
    return FRAME_MARK + _encoder.encode(message)


def decode_from_caller(datagram: bytes) -> CallerMessage:
    """Decode a message from a caller; raises ``WireFormatError``."""
    return _decode(_caller_decoder, datagram)


def decode_from_balancer(datagram: bytes) -> BalancerReply:
    """Decode a balancer's message to a caller; raises ``WireFormatError``."""
    return _decode(_balancer_decoder, datagram)


def decode_order(datagram: bytes) -> BackendOrder:
    """Decode a balancer's message to a backend server."""
    return _decode(_order_decoder, datagram)


def decode_reply(datagram: bytes) -> BackendReply:
    """Decode a message from a backend server; raises ``WireFormatError``."""
    return _decode(_reply_decoder, datagram)


def _decode(
    decoder: msgspec.msgpack.Decoder[_MessageT],
    datagram: bytes,
) -> _MessageT:
    if not is_framed(datagram):
        raise WireFormatError('the frame mark C5 5E is missing')
    try:
        return decoder.decode(memoryview(datagram)[len(FRAME_MARK) :])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise WireFormatError(str(error)) from error
