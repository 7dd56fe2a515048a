"""Codec of the handover of request ids from an executor to a successor."""

from collections.abc import Iterator, Mapping
from typing import Final

import msgspec

from currantshore.codes import ResultCode
from currantshore.errors import WireFormatError
from currantshore.internal.requests.requestlog import RequestLog
from currantshore.internal.requests.requestroutes import Process

# A body ends after the flow that reaches this number of ids. 8,192 ids take
# about 80 KB, well below a message limit of 4 MB.
_IDS_IN_BODY: Final = 8192


class FlowIds(msgspec.Struct, frozen=True, array_like=True):
    """The request ids of one flow.

    ``refused`` maps a result code to the ids that were refused with it;
    ``used`` are the other used ids, also those of requests in progress.
    """

    flow_key: int
    floor: int
    used: list[int]
    refused: dict[int, list[int]]


class HandoverBody(msgspec.Struct, frozen=True, array_like=True):
    """One of ``count`` bodies for a service.

    ``heir`` is the incarnation of the successor for which the ids are meant.
    Another process on that host must not use them, because it lacks the
    requests that the earlier process ran since the handover. ``processes`` are
    the executors (host id, incarnation) whose ids these are: the sender and
    the processes whose ids it received.
    """

    heir: int
    processes: list[Process]
    index: int
    count: int
    flows: list[FlowIds]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(HandoverBody)


def encode_bodies(
    heir: int,
    processes: list[Process],
    logs: Mapping[int, RequestLog],
) -> list[bytes]:
    """Return the bodies for one service, at least one."""
    chunks = list(_chunks(logs)) or [[]]
    count = len(chunks)
    return [
        encode_body(HandoverBody(heir, processes, index, count, flows))
        for index, flows in enumerate(chunks)
    ]


def encode_body(body: HandoverBody) -> bytes:
    """Encode one body."""
    return _encoder.encode(body)


def decode_body(body: bytes) -> HandoverBody:
    """Decode a body; raises ``WireFormatError``."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise WireFormatError(str(error)) from error


def codes_of(flow: FlowIds) -> dict[int, ResultCode]:
    """Return the code of the outcome of each id of ``flow``."""
    codes = dict.fromkeys(flow.used, ResultCode.OUTCOME_UNKNOWN)
    known = set(ResultCode)
    for code, request_ids in flow.refused.items():
        if code in known:
            codes.update(dict.fromkeys(request_ids, ResultCode(code)))
        else:
            # A newer version may use codes that are unknown here.
            codes.update(
                dict.fromkeys(request_ids, ResultCode.OUTCOME_UNKNOWN),
            )
    return codes


def _chunks(logs: Mapping[int, RequestLog]) -> Iterator[list[FlowIds]]:
    chunk: list[FlowIds] = []
    size = 0
    for flow_key, log in logs.items():
        chunk.append(_flow_ids(flow_key, log))
        size += len(log.codes) + 1
        if size >= _IDS_IN_BODY:
            yield chunk
            chunk = []
            size = 0
    if chunk:
        yield chunk


def _flow_ids(flow_key: int, log: RequestLog) -> FlowIds:
    used = []
    refused: dict[int, list[int]] = {}
    for request_id, code in log.codes.items():
        if code is ResultCode.OUTCOME_UNKNOWN:
            used.append(request_id)
        else:
            refused.setdefault(int(code), []).append(request_id)
    return FlowIds(flow_key, log.floor, used, refused)
