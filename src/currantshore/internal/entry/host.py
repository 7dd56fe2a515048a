"""One entry process: its core, sockets and tasks."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

from currantshore.internal.entry.following import StoreFollower
from currantshore.internal.entry.forwarding import Forwarder
from currantshore.internal.entry.holdings import Holdings
from currantshore.internal.entry.peering import Peering
from currantshore.internal.entry.peering import (
    TICK_INTERVAL_S as MIRROR_TICK_S,
)
from currantshore.internal.entry.settings import EntrySettings
from currantshore.internal.hashing import stable_hash
from currantshore.internal.httpserver import Page, PageServer
from currantshore.internal.mirror.core import MirrorConfig, MirrorCore
from currantshore.internal.steering.core import Refusal, SteeringCore
from currantshore.internal.steering.directory import Backend
from currantshore.wire import Endpoint

_OK: Final = 200
_MILLISECONDS: Final = 1000
_UNAVAILABLE: Final = 503

# Routers look twice a second and take a host out after two misses; a third
# interval is for a probe that was under way.
_LINGER_S: Final = 1.6

# A host that has not been sent a packet for this long has left the rotation.
_QUIET_S: Final = 0.3

# Left of the platform's grace for the end of the process itself.
_STOP_RESERVE_S: Final = 1.0

_STOP_CHECK_S: Final = 0.05

# A server answers a connection attempt within two delays of the longest link.
_CHECK_TIMEOUT_S: Final = 0.12

_RESTART_DELAY_S: Final = 0.2


class EntryHost:
    """Forwards packets until it is asked to stop."""

    __slots__ = (
        '_core',
        '_follower',
        '_holdings',
        '_mirror',
        '_peer_server',
        '_peering',
        '_forwarder',
        '_is_leaving',
        '_log',
        '_loop',
        '_ready_server',
        '_settings',
        '_stop_requested',
        '_tasks',
        '_was_ready',
    )

    def __init__(
        self,
        settings: EntrySettings,
        log: Callable[..., None],
    ) -> None:
        """Build all parts; ``start`` opens the sockets."""
        self._settings = settings
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        self._is_leaving = False
        self._was_ready = False
        self._tasks: set[asyncio.Task[None]] = set()
        started_ms = round(time.time() * _MILLISECONDS)
        seed = stable_hash(settings.host_id, started_ms)
        own = settings.packet_address.host
        self._core = SteeringCore.from_config(settings.zone, seed)
        self._mirror = MirrorCore.from_config(
            MirrorConfig(
                own,
                settings.zone,
                started_ms,
                tuple(one.host for one in settings.seed_addresses),
                seed,
            ),
            self._core,
        )
        self._holdings = Holdings(self._core, self._mirror, log)
        self._follower = StoreFollower(
            self._holdings, settings.store_address, log, random.Random(seed)
        )

    async def start(self) -> None:
        """Open all sockets and start all tasks; raises ``OSError``."""
        settings = self._settings
        self._forwarder = Forwarder.open_at(
            self._core,
            settings.packet_address,
            self._on_refusal,
            self._start_check,
        )
        self._start(self._follower.follow_backends)
        self._start(self._follower.follow_configuration)
        self._ready_server = await PageServer.start_at(
            settings.ready_address, {'/readyz': self._tell_ready}
        )
        self._start(self._forwarder.run_ticks)
        internal = Endpoint(
            settings.packet_address.host, settings.internal_ports[0]
        )
        self._peering = Peering.open_at(self._holdings, internal, self._log)
        self._peer_server = await PageServer.start_at(
            internal, self._peering.pages()
        )
        self._start(self._run_mirror)
        self._log('started', host_id=settings.host_id, zone=settings.zone)

    def request_stop(self) -> None:
        """Begin a graceful shutdown; later calls change nothing."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until a stop is requested and the routers have noticed."""
        await self._stop_requested.wait()
        self._is_leaving = True
        started_s = self._loop.time()
        self._log('leaving')
        longest_s = max(0.0, self._settings.grace_s - _STOP_RESERVE_S)
        while not self._may_stop(started_s, longest_s):
            await asyncio.sleep(_STOP_CHECK_S)
        elapsed_s = self._loop.time() - started_s
        self._log('left', elapsed_s=round(elapsed_s, 3))
        for task in self._tasks:
            task.cancel()
        self._forwarder.close()
        self._peering.close()
        self._peer_server.close()
        self._ready_server.close()

    async def _run_mirror(self) -> None:
        while True:
            actions = self._mirror.tick(
                self._loop.time(),
                is_served=self._follower.is_served(),
                is_leaving=self._is_leaving,
            )
            self._peering.send_all(actions.sendings)
            self._follower.check()
            await asyncio.sleep(MIRROR_TICK_S)

    def _may_stop(self, started_s: float, longest_s: float) -> bool:
        now_s = self._loop.time()
        if now_s - started_s >= longest_s:
            return True
        if now_s - started_s < _LINGER_S:
            return False
        return now_s - self._forwarder.last_packet_s >= _QUIET_S

    def _tell_ready(self) -> Page:
        is_ready = self._holdings.is_complete() and not self._is_leaving
        if is_ready and not self._was_ready:
            self._was_ready = True
            self._log('ready', backends=len(self._core.directory.entries()))
        status = _OK if is_ready else _UNAVAILABLE
        return Page(status, 'application/json', b'{}')

    def _start(self, work: Callable[[], Awaitable[None]]) -> None:
        task = self._loop.create_task(self._keep(work))
        self._tasks.add(task)

    async def _keep(self, work: Callable[[], Awaitable[None]]) -> None:
        # A fault in one task must not end the process and its forwarding.
        while True:
            try:
                await work()
            except Exception as error:
                self._log(
                    'task_failed',
                    task=work.__qualname__,
                    error=f'{type(error).__name__}: {error}',
                )
            await asyncio.sleep(_RESTART_DELAY_S)

    def _on_refusal(self, flow_key: bytes, refusal: Refusal) -> None:
        """Count only; the forwarder has counted it already."""

    def _start_check(self, backend: Backend) -> None:
        task = self._loop.create_task(self._check(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, backend: Backend) -> None:
        endpoint = backend.entry.endpoint
        is_reachable = True
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    endpoint.host, endpoint.port
                )
            writer.close()
        except (OSError, TimeoutError):
            is_reachable = False
        resets = self._core.on_checked(
            backend, is_reachable=is_reachable, now_s=self._loop.time()
        )
        self._log(
            'backend_server_checked',
            backend_id=backend.entry.backend_id,
            is_reachable=is_reachable,
            health=self._core.health(backend).value,
            resets=len(resets),
        )
        self._forwarder.reset_all(resets)
