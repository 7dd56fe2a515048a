"""The component that makes the core's calls to other balancers."""

import asyncio
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any, Final

from circuits import Component, handler

from currantshore.codes import RetryReason
from currantshore.core import BalancerCore
from currantshore.internal.events import (
    ConfigurationChanged,
    FetchConfiguration,
    FlowsHandedOver,
    HandoverFinished,
    HandOverFlows,
    HandOverRequests,
    RequestsHandedOver,
)
from currantshore.internal.objectapi.records import merge_objects
from currantshore.internal.process.driver import CoreInput, PeerAction
from currantshore.internal.process.logs import get_logger
from currantshore.internal.process.rpc import PeerCallError, PeerClient
from currantshore.internal.snapshot import PoolSnapshot
from currantshore.wire import Endpoint

# Keeps a call well under 4 MB, the limit of a gRPC message: a service has about
# 2,000 flows for each backend server, of 5 bytes each.
_MAX_HANDOVERS_PER_CALL: Final = 64


class Peers(Component):  # type: ignore[misc]
    """Makes each call in a separate task and passes the outcome to the core."""

    channel = 'peers'

    def __init__(
        self,
        core: BalancerCore,
        client: PeerClient,
        pool_id: str,
        incarnation: int,
    ) -> None:
        """Initialize; calls are made with ``client``."""
        self._core = core
        self._client = client
        self._pool_id = pool_id
        self._incarnation = incarnation
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching: set[Endpoint] = set()
        self._waiting_handovers: dict[str, list[HandOverFlows]] = {}
        self._log = get_logger('peers')
        super().__init__()

    @handler('peer_call')  # type: ignore[untyped-decorator]
    def on_peer_call(self, action: PeerAction) -> None:
        """Start the call that ``action`` requests."""
        if isinstance(action, HandOverFlows):
            self._queue_handover(action)
            return
        self._start_task(self._run_action(action))

    def _queue_handover(self, action: HandOverFlows) -> None:
        # A new host receives a handover for each service, and a starting host
        # sends one for each service to each peer. With one call for each
        # handover, 244 services and 64 hosts would make over 30,000 calls.
        waiting = self._waiting_handovers.setdefault(action.host_id, [])
        waiting.append(action)
        if len(waiting) == 1:
            self._start_task(self._hand_over_flows(action.host_id))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_handed_over(
        self, event: FlowsHandedOver | RequestsHandedOver
    ) -> None:
        """Pass a handover to the core before it is acknowledged."""
        self.fire(CoreInput(event), 'core')
        self.root.flush_now()

    def pool(self) -> PoolSnapshot | None:
        """Return the configuration of this balancer."""
        return self._core.pool()

    async def fetch_from(self, target: Endpoint) -> bool:
        """Fetch newer configuration; return False if the call failed.

        Returns True without a call while another fetch from ``target`` is in
        progress.
        """
        if target in self._fetching:
            return True
        self._fetching.add(target)
        try:
            objects = await self._client.fetch(target, self._core.pool())
        except PeerCallError as error:
            self._core.counters.retry(RetryReason.CONFIGURATION_FETCH_FAILED)
            self._log.warning('configuration_fetch_failed', error=str(error))
            return False
        finally:
            self._fetching.discard(target)
        self.accept_objects(objects)
        return True

    def accept_objects(self, objects: Iterable[tuple[str, int, bytes]]) -> None:
        """Merge (key, version, body) into the pool and pass it to the core."""
        current = self._core.pool()
        merged, problems = merge_objects(self._pool_id, current, objects)
        for problem in problems:
            self._log.error('object_unreadable', error=problem)
        if merged is not None and merged != current:
            self.fire(CoreInput(ConfigurationChanged(merged)), 'core')
            self.root.flush_now()

    async def close(self) -> None:
        """Wait for the calls in progress and close the connections."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def _run_action(self, action: PeerAction) -> None:
        target = self._find_endpoint(action.host_id)
        match action:
            case FetchConfiguration():
                if target is not None:
                    await self.fetch_from(target)
            case HandOverRequests():
                await self._hand_over_requests(target, action)

    async def _hand_over_flows(self, host_id: str) -> None:
        # Waits one iteration of the loop, so that the handovers that follow in
        # this iteration are sent in the same call.
        await asyncio.sleep(0)
        actions = self._waiting_handovers.pop(host_id)
        chunks = [
            actions[first : first + _MAX_HANDOVERS_PER_CALL]
            for first in range(0, len(actions), _MAX_HANDOVERS_PER_CALL)
        ]
        await asyncio.gather(
            *(self._hand_over_chunk(host_id, chunk) for chunk in chunks),
        )

    async def _hand_over_chunk(
        self,
        host_id: str,
        actions: Sequence[HandOverFlows],
    ) -> None:
        target = self._find_endpoint(host_id)
        is_acknowledged = False
        if target is not None:
            is_acknowledged = await self._client.hand_over_flows(
                target, actions
            )
        for action in actions:
            outcome = HandoverFinished(
                action.host_id,
                action.service_id,
                action.handover_id,
                is_acknowledged,
            )
            self.fire(CoreInput(outcome), 'core')

    async def _hand_over_requests(
        self,
        target: Endpoint | None,
        action: HandOverRequests,
    ) -> None:
        is_accepted = False
        if target is not None:
            is_accepted = await self._client.hand_over_requests(
                target, action, self._incarnation
            )
        if not is_accepted:
            self._log.warning('request_handover_failed', host=action.host_id)

    def _find_endpoint(self, host_id: str) -> Endpoint | None:
        pool: Any = self._core.pool()
        hosts = () if pool is None else pool.members.hosts
        for host in hosts:
            if host.host_id == host_id:
                endpoint: Endpoint = host.rpc_endpoint
                return endpoint
        return None
