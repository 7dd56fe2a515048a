"""Log lines of the entry process: JSON on standard output, bounded in rate."""

import sys
import time
from typing import Any, Final

import msgspec

# Lines a second on average and at once; what is over is counted, so that a
# fault under load neither fills the log nor takes the processor.
_LINES_PER_S: Final = 20.0
_BURST_LINES: Final = 100.0


class DecisionLog:
    """Writes one line an event, and says how many were left out."""

    __slots__ = ('_left', '_refilled_s', 'left_out')

    def __init__(self) -> None:
        """Start with a full allowance."""
        self._left = _BURST_LINES
        self._refilled_s = time.monotonic()
        self.left_out = 0

    def write(self, event: str, **fields: Any) -> None:
        """Write ``event`` with ``fields`` unless the allowance is used up."""
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * _LINES_PER_S
        self._left = min(_BURST_LINES, self._left + gained)
        self._refilled_s = now_s
        if self._left < 1:
            self.left_out += 1
            return
        self._left -= 1
        line = {'event': event, 'time_ms': round(time.time() * 1000), **fields}
        if self.left_out:
            line['left_out'] = self.left_out
            self.left_out = 0
        sys.stdout.write(f'{msgspec.json.encode(line).decode()}\n')
        sys.stdout.flush()
