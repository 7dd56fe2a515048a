"""Run an entry process.

It builds the steering core and the mirror core and runs the components and
tasks around them.
"""

import asyncio
import contextlib
import importlib
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from currantshore.codes import FlowRefusal
from currantshore.internal.entry.checking import ConnectionChecker
from currantshore.internal.entry.decisionlog import DecisionLog
from currantshore.internal.entry.following import StoreFollower
from currantshore.internal.entry.forwarding import Forwarder
from currantshore.internal.entry.peering import Peering
from currantshore.internal.entry.peering import (
    TICK_INTERVAL_S as MIRROR_TICK_S,
)
from currantshore.internal.entry.settings import EntrySettings
from currantshore.internal.entry.storereplica import StoreReplica
from currantshore.internal.hashing import stable_hash
from currantshore.internal.httpserver import Page, PageServer
from currantshore.internal.mirror.core import (
    MirrorConfig,
    MirrorCore,
)
from currantshore.internal.process.runtime import LoopRoot
from currantshore.internal.revisions import restores_of, store_revision_of
from currantshore.internal.steering.core import SteeringCore
from currantshore.internal.steering.mechanisms import Mechanism
from currantshore.internal.steering.warmup import WarmupBounds
from currantshore.wire import Endpoint

READY_PATH: Final = '/readyz'
METRICS_PATH: Final = '/metrics'

_OK: Final = 200
_UNAVAILABLE: Final = 503
_MILLISECONDS: Final = 1000

# Routers probe twice a second and remove a host after two failed probes. The
# time covers a third interval, for a probe that was in flight, and a margin.
_LINGER_S: Final = 1.6

# After this long without a packet, the routers are assumed to have removed the
# host.
_QUIET_S: Final = 0.3

# Part of the platform's grace period that is kept for ending the process.
_STOP_RESERVE_S: Final = 1.0

# The longest time that packets stay unread in the socket until the host has a
# configuration and a list of servers: callers retransmit after 200 ms.
_FIRST_LIST_S: Final = 0.2

_STOP_CHECK_S: Final = 0.05
_RESTART_DELAY_S: Final = 0.2

# Forwarding does not need the logging library; it is loaded once the host has
# been reported as ready, or at the latest this long after the start.
_LOG_LIBRARY_DELAY_S: Final = 2.0
_LOAD_CHECK_S: Final = 0.1


class EntryHost:
    """Forwards packets until a stop is requested."""

    __slots__ = (
        '_checker',
        '_follower',
        '_forwarder',
        '_is_leaving',
        '_is_loading_metrics',
        '_linger_s',
        '_load_after_s',
        '_log',
        '_loop',
        '_mirror',
        '_peering',
        '_render_metrics',
        '_replica',
        '_root',
        '_servers',
        '_settings',
        '_steering',
        '_stop_requested',
        '_tasks',
        '_was_ready',
    )

    def __init__(self, settings: EntrySettings, log: DecisionLog) -> None:
        """Build the cores; ``start`` opens the sockets."""
        self._settings = settings
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._root = LoopRoot.from_loop(self._loop, self._on_task_error)
        self._stop_requested = asyncio.Event()
        self._is_leaving = False
        self._is_loading_metrics = False
        is_lingering = Mechanism.STOP_LINGER not in settings.switched_off
        self._linger_s = _LINGER_S if is_lingering else 0
        is_loaded_late = Mechanism.LATE_LIBRARIES not in settings.switched_off
        self._load_after_s = _LOG_LIBRARY_DELAY_S if is_loaded_late else 0
        self._was_ready = False
        self._render_metrics: Callable[[], bytes] | None = None
        self._servers: list[PageServer] = []
        self._tasks: set[asyncio.Task[None]] = set()
        started_ms = round(time.time() * _MILLISECONDS)
        seed = stable_hash(settings.host_id, started_ms)
        self._steering = SteeringCore.from_config(
            settings.zone,
            seed,
            settings.switched_off,
            WarmupBounds(
                settings.packet_address.host,
                settings.warmup_overshoot_ratio,
                settings.warmup_slack_openings,
            ),
        )
        self._mirror = MirrorCore.from_config(
            MirrorConfig(
                settings.packet_address.host,
                settings.zone,
                round(settings.link_mbit_per_s),
                started_ms,
                _seed_hosts(settings),
                seed,
                settings.switched_off,
            ),
            self._steering,
        )
        self._replica = StoreReplica(self._steering, self._mirror, log)
        self._follower = StoreFollower(
            self._replica, settings.store_address, log, random.Random(seed)
        )

    async def start(self) -> None:
        """Open all sockets and start all tasks; raises ``OSError``."""
        settings = self._settings
        self._forwarder = Forwarder.open_at(
            self._steering, settings.packet_address, self._log
        ).register(self._root)
        self._start_supervised(self._follower.follow_backends)
        self._start_supervised(self._follower.follow_configuration)
        if settings.has_evacuations:
            self._start_supervised(self._follower.follow_evacuated_zones)
        await self._serve(
            settings.ready_address, {READY_PATH: self._readiness_page}
        )
        self._start_supervised(self._forward)
        host_traffic_address = Endpoint(
            settings.packet_address.host, settings.internal_ports[0]
        )
        self._peering = Peering.open_at(
            self._replica, host_traffic_address, self._log
        ).register(self._root)
        self._checker = ConnectionChecker(
            self._steering, self._log, settings.switched_off
        ).register(self._root)
        pages = {**self._peering.pages(), METRICS_PATH: self._metrics_page}
        await self._serve(host_traffic_address, pages)
        if settings.metrics_address is not None:
            await self._serve(
                settings.metrics_address, {METRICS_PATH: self._metrics_page}
            )
        self._start_supervised(self._run_mirror)
        self._start_task(self._load_log)
        self._log.write(
            'started',
            host_id=settings.host_id,
            zone=settings.zone,
            switched_off=sorted(
                mechanism.value for mechanism in settings.switched_off
            ),
        )

    def request_stop(self) -> None:
        """Begin a graceful shutdown; later calls change nothing."""
        self._stop_requested.set()

    def change_settings(self, settings: EntrySettings) -> None:
        """Apply settings that changed while the process runs.

        Only the seed addresses and the grace period take effect. Other settings
        wait for the next start; open flows use the current addresses.
        """
        if settings == self._settings:
            return
        self._settings = settings
        self._mirror.change_seed_hosts(_seed_hosts(settings))
        self._log.write('settings_changed', host_id=settings.host_id)

    async def run(self) -> None:
        """Run until a stop is requested and routers have removed the host.

        The wait for the routers is limited by the platform's grace period.
        """
        await self._stop_requested.wait()
        self._is_leaving = True
        stop_started_s = self._loop.time()
        self._log.write('leaving')
        max_wait_s = max(0.0, self._settings.grace_s - _STOP_RESERVE_S)
        while not self._may_stop(stop_started_s, max_wait_s):
            await asyncio.sleep(_STOP_CHECK_S)
        elapsed_s = self._loop.time() - stop_started_s
        self._log.write('left', elapsed_s=round(elapsed_s, 3))
        for task in self._tasks:
            task.cancel()
        self._forwarder.close()
        self._peering.close()
        self._checker.close()
        for server in self._servers:
            server.close()

    async def _serve(
        self,
        address: Endpoint,
        pages: Mapping[str, Callable[[], Page]],
    ) -> None:
        self._servers.append(await PageServer.start_at(address, pages))

    async def _forward(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_FIRST_LIST_S):
                await self._replica.completed.wait()
        await self._forwarder.run()

    async def _run_mirror(self) -> None:
        while True:
            actions = self._mirror.tick(
                self._loop.time(),
                is_served=self._follower.is_served(),
                answered_s=self._follower.answered_s(),
                is_leaving=self._is_leaving,
            )
            self._peering.send_all(actions.outgoing)
            self._follower.cancel_stale_calls()
            await asyncio.sleep(MIRROR_TICK_S)

    async def _load_log(self) -> None:
        latest_s = self._loop.time() + self._load_after_s
        while not self._was_ready and self._loop.time() < latest_s:
            await asyncio.sleep(_LOAD_CHECK_S)
        await self._log.load()

    def _may_stop(self, stop_started_s: float, max_wait_s: float) -> bool:
        now_s = self._loop.time()
        if now_s - stop_started_s >= max_wait_s:
            return True
        if now_s - stop_started_s < self._linger_s:
            return False
        quiet_s: float = now_s - self._forwarder.last_packet_s
        return quiet_s >= _QUIET_S

    def _readiness_page(self) -> Page:
        is_ready = self._replica.is_complete() and not self._is_leaving
        if is_ready and not self._was_ready:
            self._was_ready = True
            self._log.write(
                'ready', backends=len(self._steering.directory.entries())
            )
        status = _OK if is_ready else _UNAVAILABLE
        return Page(status, 'application/json', b'{}')

    def _metrics_page(self) -> Page:
        if self._render_metrics is None:
            # Load the library on the first request: most hosts are never
            # scraped, and it takes 5 MB.
            if not self._is_loading_metrics:
                self._is_loading_metrics = True
                self._start_task(self._load_metrics)
            return Page(_UNAVAILABLE, 'text/plain', b'loading\n')
        return Page(_OK, 'text/plain; version=0.0.4', self._render_metrics())

    async def _load_metrics(self) -> None:
        metrics = await asyncio.to_thread(
            importlib.import_module, 'currantshore.internal.entry.metrics'
        )
        sources = metrics.EntryMetrics(
            self._counts, self._gauges, self._steering.records.latencies
        )
        self._render_metrics = metrics.build_page(sources)

    def _counts(self) -> Mapping[str, Mapping[str, int]]:
        forwarder = self._forwarder
        refusals = {
            reason.name.lower(): forwarder.refusals[reason]
            for reason in FlowRefusal
        }
        return {
            'packets': forwarder.counts,
            'refusals': refusals,
            'peer_messages': self._peering.counts,
            'store_calls': self._follower.calls,
            'checks': {'attempts': self._checker.attempts},
            'unreadable_objects': self._replica.unreadable,
            'log_lines': {'lost': self._log.lost},
        }

    def _gauges(self) -> Mapping[str, float]:
        return {
            'flows': len(self._steering.records),
            'backend_servers': len(self._steering.directory.entries()),
            'configuration_version': self._steering.table.version,
            'backend_revision': store_revision_of(self._mirror.revision),
            'store_restores': restores_of(self._mirror.revision),
            'evacuated_zones': len(self._steering.directory.evacuated_zones),
            'known_hosts': self._mirror.known_hosts(),
            'is_reader': self._mirror.role.is_reader,
            'is_current': self._steering.is_current(self._loop.time()),
            'is_ready': self._was_ready and not self._is_leaving,
        }

    def _start_task(self, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks.add(asyncio.ensure_future(work()))

    def _start_supervised(self, work: Callable[[], Awaitable[None]]) -> None:
        self._tasks.add(self._loop.create_task(self._run_forever(work)))

    async def _run_forever(self, work: Callable[[], Awaitable[None]]) -> None:
        # An error in one task must not end the process and its forwarding.
        while True:
            try:
                await work()
            except Exception as error:
                self._on_task_error(error, work.__qualname__)
            await asyncio.sleep(_RESTART_DELAY_S)

    def _on_task_error(self, error: BaseException, where: str) -> None:
        self._log.write(
            'task_failed',
            task=where,
            error=f'{type(error).__name__}: {error}',
        )


def _seed_hosts(settings: EntrySettings) -> tuple[str, ...]:
    # If no host has seeds, none sends a first message, and none learns of
    # another host.
    if Mechanism.HOST_MESSAGES in settings.switched_off:
        return ()
    return tuple(address.host for address in settings.seed_addresses)
