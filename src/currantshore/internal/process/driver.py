"""The component that passes input to the decision core and runs its actions."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeAlias

from circuits import Component, Event, handler

from currantshore.core import BalancerCore
from currantshore.internal.events import (
    Action,
    BackendDatagram,
    CallerDatagram,
    FetchConfiguration,
    HandOverFlows,
    HandOverRequests,
    PeerDatagram,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from currantshore.internal.process.datagrams import Batch, Datagrams
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.wire import Endpoint

TICK_INTERVAL_S: Final = 0.05

PeerAction: TypeAlias = HandOverFlows | HandOverRequests | FetchConfiguration


class CoreInput(Event):  # type: ignore[misc]
    """An event of ``internal/events`` for the core."""

    name = 'core_input'


class PeerCall(Event):  # type: ignore[misc]
    """An action that needs a call to another balancer."""

    name = 'peer_call'


class CoreDriver(Component):  # type: ignore[misc]
    """Passes batches, ticks and control events to the core, in order."""

    channel = 'core'

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        core: BalancerCore,
        datagrams: Datagrams,
        on_configured: Callable[[PoolSnapshot], None],
    ) -> None:
        """Initialize; ``on_configured`` is called when the pool has changed."""
        self._loop = loop
        self._core = core
        self._datagrams = datagrams
        self._on_configured = on_configured
        self._pool: PoolSnapshot | None = None
        self._peer_endpoints: dict[str, Endpoint] = {}
        self.peer_bytes = 0
        super().__init__()

    async def run_ticks(self) -> None:
        """Tick the core until cancelled."""
        while True:
            self._run_actions(self._core.tick(self._loop.time()))
            await asyncio.sleep(TICK_INTERVAL_S)

    @handler('caller_batch')  # type: ignore[untyped-decorator]
    def on_caller_batch(self, service_id: str, batch: Batch) -> None:
        """Pass datagrams that arrived on the address of a service."""
        now_s = self._loop.time()
        handle = self._core.handle
        sends, unknown_datagrams = self._core.forward_known(service_id, batch)
        self._datagrams.backend.send_all(sends)
        actions: list[Action] = []
        for payload, source in unknown_datagrams:
            event = CallerDatagram(
                service_id, Endpoint(source[0], source[1]), payload
            )
            actions += handle(event, now_s)
        self._run_actions(actions)

    @handler('backend_batch')  # type: ignore[untyped-decorator]
    def on_backend_batch(self, batch: Batch) -> None:
        """Pass datagrams that arrived from backend servers."""
        now_s = self._loop.time()
        handle = self._core.handle
        actions: list[Action] = []
        for payload, source in batch:
            event = BackendDatagram(Endpoint(source[0], source[1]), payload)
            actions += handle(event, now_s)
        self._run_actions(actions)

    @handler('peer_batch')  # type: ignore[untyped-decorator]
    def on_peer_batch(self, batch: Batch) -> None:
        """Pass datagrams that arrived from other balancers."""
        for payload, _ in batch:
            self.on_core_input(PeerDatagram(payload))

    @handler('core_input')  # type: ignore[untyped-decorator]
    def on_core_input(self, core_event: Any) -> None:
        """Pass one event and detect a change of the configuration."""
        # The parameter must not be named ``event``: circuits would pass its own
        # event to it.
        self._run_actions(self._core.handle(core_event, self._loop.time()))
        pool = self._core.pool()
        if pool is not None and pool is not self._pool:
            self._pool = pool
            self._peer_endpoints = {
                host.host_id: host.peer_endpoint for host in pool.members.hosts
            }
            self._on_configured(pool)

    def _run_actions(self, actions: Iterable[Action]) -> None:
        # The branches are ordered by frequency, because the loop body runs
        # about once for each packet.
        send_to_backend = self._datagrams.backend.send
        for action in actions:
            if isinstance(action, SendToBackend):
                send_to_backend(action.payload, action.target)
            elif isinstance(action, SendToCaller):
                self._send_to_caller(action)
            elif isinstance(action, SendToPeer):
                self._send_to_peer(action)
            else:
                self.fire(PeerCall(action), 'peers')

    def _send_to_caller(self, action: SendToCaller) -> None:
        socket = self._datagrams.services.get(action.service_id)
        if socket is not None:
            socket.send(action.payload, action.caller)

    def _send_to_peer(self, action: SendToPeer) -> None:
        target = self._peer_endpoints.get(action.host_id)
        if target is not None:
            self.peer_bytes += len(action.payload)
            self._datagrams.peer.send(action.payload, target)
