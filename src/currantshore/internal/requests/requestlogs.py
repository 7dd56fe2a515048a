"""Keeps the request logs of an executor's flows, bounded in number and age."""

from collections.abc import Mapping
from typing import Final, TypeAlias

from currantshore.codes import ResultCode
from currantshore.internal.requests.requestlog import (
    MAX_IDS_ABOVE_FLOOR,
    RequestLog,
)

# Bounds the logs to 29 MB in a flood of new flows with one id each.
MAX_FLOWS: Final = 65536

# Above this number of ids in all logs, about 30 MB, each log that records
# another id is cut to a few, so that their sum is bounded too.
MAX_IDS: Final = 262144
FLOW_IDS_WHEN_FULL: Final = 8

# A paused process does not read its sockets, so only the time in which it ran
# counts for the age of a log. A longer time between calls counts as 1 s.
_MAX_STEP_S: Final = 1.0

DEFAULT_RETENTION_S: Final = 300.0

_Logs: TypeAlias = dict[int, tuple[str, RequestLog]]


class RequestLogs:
    """Request logs by flow key, in two generations.

    A log is dropped after one to two retention times without a request. The
    retention time is the flow idle timeout; callers re-send only within it.
    """

    __slots__ = (
        '_age_s',
        '_current',
        '_id_count',
        '_last_s',
        '_previous',
        'retention_s',
    )

    def __init__(self) -> None:
        """Initialize without logs."""
        self.retention_s = DEFAULT_RETENTION_S
        self._current: _Logs = {}
        self._previous: _Logs = {}
        self._age_s = 0.0
        self._id_count = 0
        self._last_s: float | None = None

    def find(self, flow_key: int) -> RequestLog | None:
        """Return the log of a flow and keep it for another retention time."""
        held = self._current.get(flow_key)
        if held is None:
            held = self._previous.pop(flow_key, None)
            if held is None:
                return None
            self._current[flow_key] = held
        return held[1]

    def record(
        self,
        service_id: str,
        flow_key: int,
        request_id: int,
        code: ResultCode = ResultCode.OUTCOME_UNKNOWN,
    ) -> bool:
        """Record an id; return ``False`` if there are too many flows."""
        log = self._find_or_add(service_id, flow_key)
        if log is None:
            return False
        count_before = len(log.codes)
        limit = MAX_IDS_ABOVE_FLOOR
        if self._id_count >= MAX_IDS:
            limit = FLOW_IDS_WHEN_FULL
        log.record(request_id, code, limit)
        self._id_count += len(log.codes) - count_before
        return True

    def merge(
        self,
        service_id: str,
        flow_key: int,
        floor: int,
        codes: Mapping[int, ResultCode],
    ) -> bool:
        """Add another executor's ids; return ``False`` if there is no room."""
        if self._id_count >= MAX_IDS:
            return False
        log = self._find_or_add(service_id, flow_key)
        if log is None:
            return False
        count_before = len(log.codes)
        log.merge(floor, codes)
        self._id_count += len(log.codes) - count_before
        return True

    def of_service(self, service_id: str) -> dict[int, RequestLog]:
        """Return the logs of one service by flow key."""
        entries = {**self._previous, **self._current}
        return {
            flow_key: log
            for flow_key, (owner, log) in entries.items()
            if owner == service_id
        }

    def advance(self, now_s: float) -> None:
        """Advance the age of the logs; drop those past their retention."""
        if self._last_s is not None:
            self._age_s += min(max(now_s - self._last_s, 0), _MAX_STEP_S)
        self._last_s = now_s
        if self._age_s >= self.retention_s:
            self._age_s = 0.0
            dropped = self._previous.values()
            self._id_count -= sum(len(log.codes) for _, log in dropped)
            self._previous = self._current
            self._current = {}

    def _find_or_add(
        self,
        service_id: str,
        flow_key: int,
    ) -> RequestLog | None:
        log = self.find(flow_key)
        if log is None and not self._is_full():
            log = RequestLog()
            self._current[flow_key] = (service_id, log)
        return log

    def _is_full(self) -> bool:
        return len(self._current) + len(self._previous) >= MAX_FLOWS
