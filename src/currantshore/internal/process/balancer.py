"""Builds, starts and stops the parts of one balancer."""

import asyncio
import random
import resource
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from currantshore.core import BalancerCore, CoreConfig
from currantshore.internal.events import LeaveRequested
from currantshore.internal.objectapi.platform import PlatformClient
from currantshore.internal.process.admin import AdminServer
from currantshore.internal.process.datagrams import Datagrams
from currantshore.internal.process.driver import CoreDriver, CoreInput
from currantshore.internal.process.following import PlatformFollower
from currantshore.internal.process.logs import get_logger
from currantshore.internal.process.metrics import MetricSources, build_registry
from currantshore.internal.process.peers import Peers
from currantshore.internal.process.rpc import PeerClient, serve_peers
from currantshore.internal.process.runtime import LoopRoot
from currantshore.internal.process.settings import Settings
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.wire import Endpoint

_IDLE_CHECK_S: Final = 0.05
_RESTART_DELAY_S: Final = 0.2
_REBIND_DELAY_S: Final = 1.0
_FAULT_LOG_INTERVAL_S: Final = 1.0


class Balancer:
    """One balancer: the core, its adapters and their tasks."""

    __slots__ = (
        '_admin',
        '_core',
        '_datagrams',
        '_driver',
        '_fault_count',
        '_fault_logged_s',
        '_follower',
        '_is_leaving',
        '_log',
        '_loop',
        '_peer_client',
        '_peers',
        '_platform',
        '_root',
        '_rpc_server',
        '_settings',
        '_stop_requested',
        '_tasks',
    )

    def __init__(self, settings: Settings) -> None:
        """Initialize all parts; ``start`` opens the sockets."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._log = get_logger('balancer')
        self._stop_requested = asyncio.Event()
        self._is_leaving = False
        self._fault_count = 0
        self._fault_logged_s: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        incarnation = _new_incarnation()
        self._core = BalancerCore.from_config(
            CoreConfig(
                settings.host_id,
                settings.zone,
                incarnation,
                settings.peer_key,
                settings.seed,
            ),
        )
        self._root = LoopRoot.from_loop(self._loop, self._on_fault)
        self._peer_client = PeerClient(settings.host_id, settings.peer_key)
        self._platform = PlatformClient.from_config(
            settings.platform_url,
            timeout_s=settings.platform_timeout_s,
            rng=random.Random(settings.seed),
            counters=self._core.counters,
            attempts=2,
        )
        self._peers = Peers(
            self._core, self._peer_client, settings.pool_id, incarnation
        ).register(self._root)
        self._follower = PlatformFollower(
            self._core, self._platform, self._peers, settings
        ).register(self._root)

    async def start(self) -> None:
        """Open all sockets and start all tasks; raises ``OSError``."""
        settings = self._settings
        self._datagrams = Datagrams.from_addresses(
            self._loop, settings.backend_address, settings.peer_address
        ).register(self._root)
        self._driver = CoreDriver(
            self._loop, self._core, self._datagrams, self._on_configured
        ).register(self._root)
        listening = await serve_peers(
            self._peers, settings.peer_key, settings.rpc_address
        )
        self._rpc_server = listening.server
        registry = build_registry(self._build_metric_sources())
        self._admin = await AdminServer.start_at(
            settings.admin_address, registry, self.is_ready
        )
        for work in (
            self._driver.run_ticks,
            self._follower.follow,
            self._follower.report,
        ):
            self._tasks.append(
                self._loop.create_task(self._restart_on_exit(work))
            )
        self._log.info(
            'started',
            host_id=settings.host_id,
            rpc=_format_address(listening.address),
            peer=_format_address(self._datagrams.peer.address),
            backend=_format_address(self._datagrams.backend.address),
            admin=_format_address(self._admin.address),
        )

    def is_ready(self) -> bool:
        """Return whether the fabric should send packets to this balancer.

        The fabric is the network that routes packets to the hosts.
        """
        return not self._is_leaving and self._core.is_ready()

    def request_stop(self) -> None:
        """Request a graceful shutdown; further calls have no effect."""
        self._stop_requested.set()

    async def wait_for_stop(self) -> None:
        """Wait until a stop is requested."""
        await self._stop_requested.wait()

    async def leave(self) -> None:
        """Leave the pool: hand over flows, finish requests and linger."""
        settings = self._settings
        self._is_leaving = True
        self._log.info('leaving')
        started_s = self._loop.time()
        self._driver.fire(CoreInput(LeaveRequested()), 'core')
        self._root.flush_now()
        deadline_s = started_s + settings.drain_timeout_s
        # Peers learn of the leave from the next heartbeats, so an idle core
        # may still receive requests that it has to finish.
        linger_deadline_s = started_s + settings.leave_linger_s
        while not self._may_stop(
            min(linger_deadline_s, deadline_s), deadline_s
        ):
            await asyncio.sleep(_IDLE_CHECK_S)
        self._log.info(
            'left',
            is_idle=self._core.is_idle(),
            elapsed_s=round(self._loop.time() - started_s, 3),
        )

    async def close(self) -> None:
        """End all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin.close()
        self._rpc_server.close()
        await self._rpc_server.wait_closed()
        await self._peers.close()
        await self._platform.close()
        await self._datagrams.close()

    async def _restart_on_exit(
        self, task: Callable[[], Awaitable[None]]
    ) -> None:
        # A fault in a control task must not end the process, because that would
        # break flows that do not depend on the task.
        while True:
            try:
                await task()
            except Exception:
                self._fault_count += 1
                self._log.exception('task_failed', task=task.__qualname__)
            await asyncio.sleep(_RESTART_DELAY_S)

    def _may_stop(self, earliest_s: float, deadline_s: float) -> bool:
        now_s = self._loop.time()
        if now_s >= deadline_s:
            return True
        return now_s >= earliest_s and self._core.is_idle()

    def _on_configured(self, pool: PoolSnapshot) -> None:
        addresses = {
            service.service_id: self._find_listen_address(
                service.service_id, service.address
            )
            for service in pool.services
        }
        for removed_id in set(self._datagrams.services) - set(addresses):
            self._datagrams.close_service(removed_id)
        for service_id, address in addresses.items():
            self._open_service(service_id, address)
        self._peer_client.close_all_except(
            [
                *self._settings.seed_peers,
                *(host.rpc_endpoint for host in pool.members.hosts),
            ],
        )
        self._log.info('configured', versions=pool.versions())
        if self._core.is_declared_leaving():
            self.request_stop()

    def _open_service(self, service_id: str, address: Endpoint) -> None:
        try:
            self._datagrams.open_service(service_id, address)
        except OSError as error:
            self._log.error(
                'service_address_unavailable',
                service_id=service_id,
                address=_format_address(address),
                error=str(error),
            )
            self._loop.call_later(_REBIND_DELAY_S, self._rebind, service_id)

    def _rebind(self, service_id: str) -> None:
        pool = self._core.pool()
        services = () if pool is None else pool.services
        for service in services:
            if service.service_id == service_id:
                address = self._find_listen_address(service_id, service.address)
                self._open_service(service_id, address)

    def _find_listen_address(
        self, service_id: str, declared: Endpoint
    ) -> Endpoint:
        configured = self._settings.service_addresses.get(service_id)
        if configured is not None:
            return configured
        return Endpoint(
            self._settings.service_host or declared.host, declared.port
        )

    def _build_metric_sources(self) -> MetricSources:
        return MetricSources(
            self._core.counters,
            self._datagrams.sockets,
            self._read_gauges,
            self._read_control_bytes,
            self._read_versions,
        )

    def _read_versions(self) -> Mapping[str, int]:
        pool = self._core.pool()
        return {} if pool is None else pool.versions()

    def _read_gauges(self) -> Mapping[str, float]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            'ready': float(self.is_ready()),
            'leaving': float(self._is_leaving),
            'faults': self._fault_count,
            'max_resident_bytes': usage.ru_maxrss * 1024,
        }

    def _read_control_bytes(self) -> Mapping[str, int]:
        return {
            'peer': self._driver.peer_bytes,
            'rpc': self._peer_client.sent_bytes,
        }

    def _on_fault(self, error: BaseException, event_name: str) -> None:
        self._fault_count += 1
        # A fault in the packet path can occur with every batch, so the log is
        # limited to one line per event name and interval.
        now_s = self._loop.time()
        logged_s = self._fault_logged_s.get(event_name)
        if logged_s is None or now_s - logged_s >= _FAULT_LOG_INTERVAL_S:
            self._fault_logged_s[event_name] = now_s
            self._log.error(
                'handler_failed',
                trigger=event_name,
                faults=self._fault_count,
                exc_info=error,
            )


def _new_incarnation() -> int:
    # The process has no disk, but its number must be higher after a restart.
    # It is the wall clock in milliseconds, which is assumed to rise between two
    # starts of the process.
    return time.time_ns() // 1_000_000


def _format_address(address: Endpoint) -> str:
    return f'{address.host}:{address.port}'
