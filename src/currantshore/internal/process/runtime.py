"""The root circuits component, driven by the asyncio loop.

Circuits has its own loop and clock. Here, firing an event schedules a flush of
the event queue on the asyncio loop instead, so that timers, sockets and events
share one clock, which tests replace with a paused one.
"""

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

from circuits import Component, Event, handler

# Called with the exception and the name of the event whose handler raised it.
FaultHook: TypeAlias = Callable[[BaseException, str], None]


class LoopRoot(Component):  # type: ignore[misc]
    """Root of the component tree; flushes its queue with ``call_soon``.

    All calls must come from the loop's thread. An exception in a handler is
    passed to the fault hook and does not stop the process.
    """

    channel = 'root'

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_fault: FaultHook,
    ) -> None:
        """Initialize; prefer ``from_loop``."""
        self._loop = loop
        self._on_fault = on_fault
        self._is_flush_scheduled = False
        super().__init__()

    @classmethod
    def from_loop(
        cls,
        loop: asyncio.AbstractEventLoop,
        on_fault: FaultHook,
    ) -> 'LoopRoot':
        """Build a root whose events are dispatched on ``loop``."""
        return cls(loop, on_fault)

    def flush_now(self) -> None:
        """Dispatch all queued events and those that their handlers fire."""
        while len(self):
            self.flush()

    def _fire(
        self,
        event: Any,
        channel: Any,
        priority: int = 0,
    ) -> None:
        # Every fired event of the tree passes through this method; circuits has
        # no other hook that notifies a foreign loop of queued events.
        super()._fire(event, channel, priority)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._run_flush)

    def _run_flush(self) -> None:
        self._is_flush_scheduled = False
        self.flush()
        # Events fired by handlers wait for the next iteration of the loop, so
        # that a chain of events cannot keep sockets from being read.
        if len(self):
            self._schedule_flush()

    @handler('exception', channel='*')  # type: ignore[untyped-decorator]
    def _on_exception(
        self,
        error_type: type[BaseException],
        error: BaseException,
        traceback: object,
        handler: object = None,
        fevent: Event | None = None,
    ) -> None:
        name = 'unknown' if fevent is None else fevent.name
        self._on_fault(error, name)
