"""Check silent backend servers by connection attempts."""

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
# together 50 ms between regions. An attempt that takes five times as long has
# failed.
_CHECK_TIMEOUT_S: Final = 0.25

# The control attempt has to succeed well within the timeout of the check.
# Otherwise the path of both is so slow that a failed check proves nothing.
_CONTROL_TIMEOUT_S: Final = 0.1


class ConnectionChecker(Component):  # type: ignore[misc]
    """Tries to connect to a silent server and, as a control, to another one.

    The control is a server that answers.
    """

    channel = 'checks'

    def __init__(
        self,
        core: SteeringCore,
        log: DecisionLog,
        switched_off: SwitchedOff = NOTHING_OFF,
    ) -> None:
        """Report the results to ``core`` and ``log``."""
        self._core = core
        self._has_control = Mechanism.CHECK_CONTROL not in switched_off
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self.attempts = 0
        super().__init__()

    @handler('check_requested')  # type: ignore[untyped-decorator]
    def on_check_requested(self, backend: Backend) -> None:
        """Start a check of ``backend``."""
        task = self._loop.create_task(self._check(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all checks."""
        for task in self._tasks:
            task.cancel()

    async def _check(self, backend: Backend) -> None:
        control = self._core.watches.control_of(backend)
        is_reachable, is_control_reachable = await asyncio.gather(
            self._try_connect(backend, _CHECK_TIMEOUT_S),
            self._try_control(control),
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

    async def _try_control(self, control: Backend | None) -> bool:
        if not self._has_control:
            return True
        return await self._try_connect(control, _CONTROL_TIMEOUT_S)

    async def _try_connect(
        self, backend: Backend | None, timeout_s: float
    ) -> bool:
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
            # A failed attempt is a result of the check, not an error.
            return False
        writer.transport.abort()
        return True
