"""Log lines of the entry process: JSON on standard output, bounded in rate.

The logging library is loaded after the process is ready, in a thread, since
it takes a quarter of the time of a start; lines of before wait for it.
"""

import asyncio
import collections
import os
import sys
import time
from typing import Any, Final

import msgspec

# Lines a second on average and at once; what is over is counted, so that a
# fault under load neither fills the log nor takes the processor: 40 lines of
# 250 bytes take less than 0.2% of a core.
_BELIEF_LINES_PER_S: Final = 20.0
_FLOW_LINES_PER_S: Final = 20.0
_BURST_LINES: Final = 100.0

# Lines that wait for the logging library, of a second of a start under load.
_MAX_WAITING: Final = 200

_MILLISECONDS: Final = 1000


class _Allowance:
    """Lets a number of lines a second pass, and some more at once."""

    __slots__ = ('_left', '_lines_per_s', '_refilled_s', 'left_out')

    def __init__(self, lines_per_s: float) -> None:
        self._lines_per_s = lines_per_s
        self._left = _BURST_LINES
        self._refilled_s = time.monotonic()
        self.left_out = 0

    def take(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * self._lines_per_s
        self._left = min(_BURST_LINES, self._left + gained)
        self._refilled_s = now_s
        if self._left < 1:
            self.left_out += 1
            return False
        self._left -= 1
        return True


class DecisionLog:
    """Writes one line an event, and says how many were left out.

    What the process believes and what it does with flows have allowances of
    their own, so that a flood of flows hides no lost dependency.
    """

    __slots__ = ('_beliefs', '_flows', '_logger', '_waiting', 'lost')

    def __init__(self) -> None:
        """Start with full allowances and no library."""
        self._beliefs = _Allowance(_BELIEF_LINES_PER_S)
        self._flows = _Allowance(_FLOW_LINES_PER_S)
        self._logger: Any = None
        self._waiting: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=_MAX_WAITING
        )
        # Lines that standard output did not take.
        self.lost = 0

    @property
    def left_out(self) -> int:
        """Lines left out since the last one that was written."""
        return self._beliefs.left_out + self._flows.left_out

    def write(self, event: str, **fields: Any) -> None:
        """Write what the process believes from now on."""
        self._put(self._beliefs, event, fields)

    def write_flow(self, event: str, **fields: Any) -> None:
        """Write what was decided about one flow."""
        self._put(self._flows, event, fields)

    async def load(self) -> None:
        """Load the logging library without holding up packets."""
        self._attach(await asyncio.to_thread(_build_logger))

    def load_now(self) -> None:
        """Load the logging library at once, where the process ends anyway."""
        self._attach(_build_logger())

    def _put(
        self,
        allowance: _Allowance,
        event: str,
        fields: dict[str, Any],
    ) -> None:
        if not allowance.take():
            return
        line = {
            'event': event,
            'time_ms': round(time.time() * _MILLISECONDS),
            **fields,
        }
        if allowance.left_out:
            line['left_out'] = allowance.left_out
            allowance.left_out = 0
        if self._logger is None:
            self._waiting.append(line)
        else:
            self._emit(line)

    def _attach(self, logger: Any) -> None:
        self._logger = logger
        while self._waiting:
            self._emit(self._waiting.popleft())

    def _emit(self, line: dict[str, Any]) -> None:
        try:
            self._logger.info(**line)
        except OSError:
            # Standard output is full or closed; packets go on.
            self.lost += 1


def _build_logger() -> Any:
    import structlog  # noqa: PLC0415, WPS433

    with_descriptor = sys.stdout.fileno()
    os.set_blocking(with_descriptor, False)
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
