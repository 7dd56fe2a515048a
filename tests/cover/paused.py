"""An asyncio loop whose clock stands still until a test advances it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_ResultT = TypeVar('_ResultT')


class _ReadySelector(selectors.SelectSelector):
    """Reports what is ready and never waits."""

    def select(self, timeout=None):
        return super().select(0)


class PausedLoop(asyncio.SelectorEventLoop):
    """A loop on which no time passes except by ``advance``.

    Callbacks and sockets that are ready run at once; timers run only when the
    clock has been advanced past them.
    """

    def __init__(self):
        super().__init__(_ReadySelector())
        self._now_s = 1000.0

    def time(self) -> float:
        return self._now_s

    def run(self, work: Coroutine[Any, Any, _ResultT]) -> _ResultT:
        """Run ``work`` to its end."""
        return self.run_until_complete(work)

    async def settle(self, turns: int = 20) -> None:
        """Let everything run that is ready now."""
        left = turns
        while left:
            left -= 1
            await asyncio.sleep(0)

    async def advance(self, seconds: float, step_s: float = 0.01) -> None:
        """Move the clock in steps, so that timers run in their order."""
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            self._now_s = min(end_s, self._now_s + step_s)
            await self.settle(3)
