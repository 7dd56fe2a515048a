"""Connection attempts to backend servers that have fallen silent."""

import asyncio
from typing import Final

from circuits import Component, handler

from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.events import FlowsLost
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.directory import Backend
from currantshore.internal.steering.mechanisms import (
    NOTHING_OFF,
    Mechanism,
    SwitchedOff,
)

# A server answers a connection attempt within two delays of the longest link,
# 50 ms between regions; five times that is not reached for want of an answer.
_CHECK_TIMEOUT_S: Final = 0.25

# The control of an attempt has to succeed with room to spare, or the path of
# both is so slow that a failed attempt shows nothing.
_CONTROL_TIMEOUT_S: Final = 0.1


class ConnectionChecker(Component):  # type: ignore[misc]
    """Tries a silent server and, as a control, one that answers."""

    channel = 'checks'

    def __init__(
        self,
        core: SteeringCore,
        log: DecisionLog,
        switched_off: SwitchedOff = NOTHING_OFF,
    ) -> None:
        """Report outcomes to ``core``."""
        self._core = core
        self._has_control = Mechanism.CHECK_CONTROL not in switched_off
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self.attempts = 0
        super().__init__()

    @handler('check_wanted')  # type: ignore[untyped-decorator]
    def on_check_wanted(self, backend: Backend) -> None:
        """Start a check of ``backend``."""
        task = self._loop.create_task(self._check(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all checks."""
        for task in self._tasks:
            task.cancel()

    async def _check(self, backend: Backend) -> None:
        control = self._core.watches.control_of(backend)
        is_reachable, is_control_reachable = await asyncio.gather(
            self._reach(backend, _CHECK_TIMEOUT_S),
            self._reach_control(control),
        )
        resets = self._core.on_checked(
            backend,
            is_reachable=is_reachable,
            is_control_reachable=is_control_reachable,
            now_s=self._loop.time(),
        )
        self._log.write(
            'backend_server_checked',
            backend_id=backend.entry.backend_id,
            is_reachable=is_reachable,
            is_control_reachable=is_control_reachable,
            control_id=control.entry.backend_id if control else '',
            health=self._core.watches.health(backend).value,
            resets=len(resets),
        )
        if resets:
            self.fire(FlowsLost(resets), 'packets')

    async def _reach_control(self, control: Backend | None) -> bool:
        if not self._has_control:
            return True
        return await self._reach(control, _CONTROL_TIMEOUT_S)

    async def _reach(self, backend: Backend | None, timeout_s: float) -> bool:
        if backend is None:
            return False
        self.attempts += 1
        endpoint = backend.entry.endpoint
        try:
            async with asyncio.timeout(timeout_s):
                _, writer = await asyncio.open_connection(
                    endpoint.host, endpoint.port
                )
        except (OSError, TimeoutError):
            # The outcome is what the caller wants to know.
            return False
        writer.transport.abort()
        return True
