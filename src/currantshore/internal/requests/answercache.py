"""Final outcomes of requests, and a cache of answers for re-sent requests."""

import dataclasses
from collections import OrderedDict
from typing import Final

from currantshore import wire
from currantshore.codes import ResultCode
from currantshore.internal.events import SendToCaller

MAX_CACHE_SIZE_BYTES: Final = 4 * 1024 * 1024

# Size of an entry without its payload, so that empty answers count too.
_ENTRY_SIZE_BYTES: Final = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The final outcome of a request: a complete answer or a refusal.

    ``attempt`` is the caller's newest attempt when the request ended.
    """

    service_id: str
    caller: wire.Endpoint
    request_id: int
    attempt: int
    code: ResultCode
    retry_after_ms: int = 0
    run_id: int = 0
    parts: tuple[bytes, ...] = ()

    def size_bytes(self) -> int:
        """Return the approximate memory use of the outcome."""
        return _ENTRY_SIZE_BYTES + sum(len(part) for part in self.parts)

    def to_actions(self, attempt: int) -> list[SendToCaller]:
        """Return the datagrams that send the outcome to the caller.

        ``attempt`` is that of the message that requests the outcome. The
        answer carries this attempt or the newest one, whichever is higher.
        """
        newest = max(attempt, self.attempt)
        if self.code is not ResultCode.OK:
            return [self._send(self._refusal())]
        return [
            self._send(self._answer(newest, index))
            for index in range(len(self.parts))
        ]

    def _refusal(self) -> wire.Refusal:
        return wire.Refusal(self.request_id, self.code, self.retry_after_ms)

    def _answer(self, attempt: int, index: int) -> wire.Answer:
        return wire.Answer(
            self.request_id,
            attempt,
            index,
            len(self.parts),
            self.parts[index],
            self.run_id,
        )

    def _send(self, message: wire.Message) -> SendToCaller:
        return SendToCaller(
            self.service_id,
            self.caller,
            wire.encode(message),
        )


class AnswerCache:
    """The most recent answers; drops the oldest above a limit in bytes."""

    __slots__ = ('_limit_bytes', '_outcomes', '_size_bytes')

    def __init__(self, limit_bytes: int = MAX_CACHE_SIZE_BYTES) -> None:
        """Initialize for answers of at most ``limit_bytes`` in total."""
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._outcomes: OrderedDict[tuple[int, int], Outcome] = OrderedDict()

    def put(self, flow_key: int, outcome: Outcome) -> None:
        """Store the first answer to a request; ignore later ones."""
        key = (flow_key, outcome.request_id)
        if key in self._outcomes or outcome.size_bytes() > self._limit_bytes:
            return
        self._outcomes[key] = outcome
        self._size_bytes += outcome.size_bytes()
        while self._size_bytes > self._limit_bytes:
            _, oldest = self._outcomes.popitem(last=False)
            self._size_bytes -= oldest.size_bytes()

    def get(
        self,
        flow_key: int,
        request_id: int,
        caller: wire.Endpoint,
    ) -> Outcome | None:
        """Return the answer if it is cached and belongs to ``caller``.

        The caller is compared because two flows may have the same 64-bit key.
        """
        outcome = self._outcomes.get((flow_key, request_id))
        if outcome is None or outcome.caller != caller:
            return None
        return outcome
