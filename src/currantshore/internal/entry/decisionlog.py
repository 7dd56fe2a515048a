"""Write the entry process's log: rate-limited JSON lines on standard output.

The logging library takes a quarter of the startup time, so it is loaded in a
thread once the process is ready. The latest lines are kept until then.
"""

import asyncio
import collections
import os
import sys
import time
from typing import Any, Final

import msgspec

# Limits of the average rate and of a burst. Lines above them are only counted,
# so that a fault under load neither fills the log nor uses much CPU time: 40
# lines of 250 bytes a second take less than 0.2% of a core.
_STATE_LINES_PER_S: Final = 20.0
_FLOW_LINES_PER_S: Final = 20.0
_BURST_LINES: Final = 100.0

# Lines kept until the logging library is loaded, enough for one second of a
# startup under load; the oldest are dropped.
_MAX_PENDING_LINES: Final = 200

_MILLISECONDS: Final = 1000


class _TokenBucket:
    """Limits the average rate and the bursts of log lines."""

    __slots__ = ('_rate_per_s', '_refilled_s', '_tokens', 'left_out')

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = _BURST_LINES
        self._refilled_s = time.monotonic()
        self.left_out = 0

    def try_acquire(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes one line per event, with the number of lines left out before it.

    Changes of the process's state and decisions about flows have separate
    limits, so that a flood of flows does not suppress the line that reports a
    store that does not answer.
    """

    __slots__ = ('_flow_bucket', '_logger', '_pending', '_state_bucket', 'lost')

    def __init__(self) -> None:
        """Initialize with full buckets; lines are kept until ``load``."""
        self._state_bucket = _TokenBucket(_STATE_LINES_PER_S)
        self._flow_bucket = _TokenBucket(_FLOW_LINES_PER_S)
        self._logger: Any = None
        self._pending: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_PENDING_LINES
        )
        # Lines that could not be written to standard output.
        self.lost = 0

    @property
    def left_out(self) -> int:
        """The number of lines left out since the last one of each kind."""
        return self._state_bucket.left_out + self._flow_bucket.left_out

    def write(self, event: str, **fields: Any) -> None:
        """Log a change of the process's state."""
        self._write_line(self._state_bucket, event, fields)

    def write_flow(self, event: str, **fields: Any) -> None:
        """Log a decision about one flow."""
        self._write_line(self._flow_bucket, event, fields)

    async def load(self) -> None:
        """Load the logging library in a thread, without delaying packets."""
        self._use_logger(await asyncio.to_thread(_build_logger))

    def load_now(self) -> None:
        """Load the logging library at once, for a process that will exit."""
        self._use_logger(_build_logger())

    def _write_line(
        self,
        bucket: _TokenBucket,
        event: str,
        fields: dict[str, Any],
    ) -> None:
        if not bucket.try_acquire():
            return
        line = {
            'event': event,
            'time_ms': round(time.time() * _MILLISECONDS),
            **fields,
        }
        if bucket.left_out:
            line['left_out'] = bucket.left_out
            bucket.left_out = 0
        if self._logger is None:
            self._pending.append(line)
        else:
            self._emit(line)

    def _use_logger(self, logger: Any) -> None:
        self._logger = logger
        while self._pending:
            self._emit(self._pending.popleft())

    def _emit(self, line: dict[str, Any]) -> None:
        try:
            self._logger.info(**line)
        except (OSError, ValueError):
            # Standard output is full or closed, or a text cannot be encoded;
            # forwarding must continue.
            self.lost += 1


def _build_logger() -> Any:
    import structlog  # noqa: PLC0415, WPS433

    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return structlog.wrap_logger(
        structlog.BytesLogger(sys.stdout.buffer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.BoundLogger,
    )


def _encode(line: Any, **_: Any) -> bytes:
    return msgspec.json.encode(line)
