"""Logs the request ids that an executor has seen, bounded for each flow."""

import enum
import heapq
from collections.abc import Mapping
from typing import Final

from currantshore.codes import ResultCode

# Bounds the log of a flow to about 110 KB. A request is refused as too old if
# its caller sends more requests than this before it re-sends the request.
MAX_IDS_ABOVE_FLOOR: Final = 1024

_DROP_DIVISOR: Final = 16


@enum.unique
class IdState(enum.Enum):
    """State of a request id in a log."""

    FRESH = enum.auto()
    SEEN = enum.auto()
    TOO_OLD = enum.auto()


class RequestLog:
    """The used ids of one flow: a floor and at most 1,024 single ids.

    Ids below the floor count as used. Each single id has the result code of
    its refusal. ``OUTCOME_UNKNOWN`` is stored for a request that is in
    progress and for one that was answered.
    """

    __slots__ = ('_codes', '_floor')

    def __init__(
        self,
        floor: int = 0,
        codes: Mapping[int, ResultCode] | None = None,
    ) -> None:
        """Initialize with every id below ``floor`` counted as used."""
        self._floor = floor
        self._codes = dict(codes or {})

    @property
    def floor(self) -> int:
        """Lowest id that may be fresh; lower ones count as used."""
        return self._floor

    @property
    def codes(self) -> Mapping[int, ResultCode]:
        """Result codes by id, for the single ids."""
        return self._codes

    def state(self, request_id: int) -> IdState:
        """Return whether ``request_id`` is fresh, seen or too old."""
        if request_id in self._codes:
            return IdState.SEEN
        if request_id < self._floor:
            return IdState.TOO_OLD
        return IdState.FRESH

    def code(self, request_id: int) -> ResultCode:
        """Return the result code of a seen id."""
        return self._codes.get(request_id, ResultCode.OUTCOME_UNKNOWN)

    def record(
        self,
        request_id: int,
        code: ResultCode = ResultCode.OUTCOME_UNKNOWN,
        limit: int = MAX_IDS_ABOVE_FLOOR,
    ) -> None:
        """Record ``request_id`` as used, with the code of its outcome.

        Above ``limit`` ids, drops the lowest ones and sets the floor above
        them.
        """
        if request_id < self._floor and request_id not in self._codes:
            return
        self._codes[request_id] = code
        if len(self._codes) > limit:
            # Finding the lowest ids needs a scan, so several are dropped at a
            # time.
            kept = limit - limit // _DROP_DIVISOR
            dropped = len(self._codes) - kept
            for lowest in heapq.nsmallest(dropped, self._codes):
                self._codes.pop(lowest)
                self._floor = max(self._floor, lowest + 1)

    def merge(self, floor: int, codes: Mapping[int, ResultCode]) -> None:
        """Add the ids of another executor's log of the same flow."""
        self._floor = max(self._floor, floor)
        for request_id, code in codes.items():
            if request_id not in self._codes:
                self.record(request_id, code)
