"""Runs the callers of one workspace in the demo and counts the outcomes."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Iterable
from typing import Final

import msgspec

from currantshore.codes import ResultCode
from currantshore.internal.snapshot import (
    BackendState,
    ServiceSnapshot,
    service_key,
)
from standins.caller import Flow
from standins.cluster import Cluster
from standins.ledger import compare
from standins.network import Fabric, Faults

_FAULTS: Final = Faults(
    loss_ratio=0.01, duplicate_ratio=0.01, reorder_ratio=0.01
)
# New work must stop within 3 s of a drain.
_DRAIN_TIMEOUT_S: Final = 3.0
# Delay until the fabric detects that a balancer has died.
_FABRIC_DELAY_S: Final = 1.0
_POLL_S: Final = 0.05
_LOST_EXECUTOR: Final = (
    ResultCode.EXECUTOR_LOST,
    ResultCode.TOKEN_INVALID,
    ResultCode.BALANCER_LEAVING,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scale:
    """Size and pace of the demo."""

    flows_per_service: int
    phase_s: float
    pause_s: float


class UserRun:
    """Callers of one workspace and their flows during the demo."""

    __slots__ = (
        '_cluster',
        '_scale',
        '_stopping',
        '_tasks',
        'fabric',
        'flows',
        'report',
    )

    def __init__(self, cluster: Cluster, scale: Scale, seed: int) -> None:
        """Prepare callers for a started cluster."""
        self._cluster = cluster
        self._scale = scale
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self.fabric = Fabric(cluster.routes(), _FAULTS, seed)
        self.flows: list[Flow] = []
        self.report: Counter[str] = Counter()

    async def open_flows(self, count: int) -> list[Flow]:
        """Open ``count`` flows to each service, every other one framed."""
        opened = [
            Flow(self.fabric, service.service_id, len(self.flows) + number)
            for service in self._cluster.pool.services
            for number in range(count)
        ]
        self.flows += opened
        await asyncio.gather(*(self._open_flow(one) for one in opened))
        return opened

    def use_flows(self) -> None:
        """Keep all flows in use until ``finish``."""
        loop = asyncio.get_running_loop()
        self._tasks += [
            loop.create_task(self._use_flow(flow)) for flow in self.flows
        ]

    async def drain(self) -> str:
        """Drain the first backend server of the largest service."""
        service = max(
            self._cluster.pool.services,
            key=lambda one: len(one.backend_servers),
        )
        drained = service.backend_servers[0]
        servers = (
            msgspec.structs.replace(drained, state=BackendState.DRAINING),
            *service.backend_servers[1:],
        )
        changed = msgspec.structs.replace(service, backend_servers=servers)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        version = await self._cluster.replace_service(changed)
        await self._wait_for_version(changed, version)
        in_force_s = loop.time() - started_s
        self.report['config_in_force_ms'] = round(in_force_s * 1000)
        await asyncio.sleep(max(0, _DRAIN_TIMEOUT_S - in_force_s))
        # From now on the backend counts new work as a broken guarantee.
        await self._cluster.control(drained.backend_id, is_draining=True)
        return drained.backend_id

    async def kill_balancer(self) -> str:
        """Kill the last balancer; the fabric withdraws it after a delay."""
        host_id = self._cluster.running()[-1]
        await self._cluster.kill_balancer(host_id)
        await asyncio.sleep(_FABRIC_DELAY_S)
        self.fabric.withdraw(host_id)
        return host_id

    async def finish(self) -> None:
        """Stop using the flows and check each of them once more."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        await asyncio.gather(*(flow.exchange() for flow in self.flows))

    async def summarize(self) -> Counter[str]:
        """Return the totals of the counts of callers and backends."""
        cluster = self._cluster
        records = await asyncio.gather(
            *(cluster.record(backend_id) for backend_id in cluster.backends),
        )
        verdict = compare(self.flows, list(records))
        self.report['flows_opened'] = len(self.flows)
        for flow in self.flows:
            self.report.update(flow.counts)
            self.report['flows_broken'] += flow.is_broken
        self.report['refused_but_ran'] = verdict.refused_but_ran
        self.report['ran_twice'] = verdict.ran_twice
        self.report['answered_but_not_run'] = verdict.answered_but_not_run
        self.report['wrong_service_packets'] = verdict.wrong_service
        for record in records:
            counts = record['counts']
            self.report['new_flows_after_drain'] += counts.get(
                'new_flows_while_draining', 0
            )
            self.report['runs_after_drain'] += counts.get(
                'runs_while_draining', 0
            )
        self.report['refused_not_run'] = _count_refused(self.flows)
        return self.report

    def close(self) -> None:
        """Close all flows."""
        for task in self._tasks:
            task.cancel()
        for flow in self.flows:
            flow.close()

    def imbalance_ratio(self) -> float:
        """Return the largest ratio of maximum to mean flows of a service."""
        ratios = []
        for service in self._cluster.pool.services:
            held = Counter(
                flow.backend_id
                for flow in self.flows
                if flow.service_id == service.service_id
            )
            mean = sum(held.values()) / len(service.backend_servers)
            ratios.append(max(held.values()) / mean)
        return max(ratios)

    async def _open_flow(self, flow: Flow) -> None:
        if flow.flow_id % 2 == 0 and not await flow.open_framed():
            flow.counts['opens_timed_out'] += 1
        await flow.exchange()

    async def _use_flow(self, flow: Flow) -> None:
        service = self._cluster.service(flow.service_id)
        classes = [one.name for one in service.priority_classes]
        # Staggered starts spread the load of the flows over the pause.
        await asyncio.sleep(self._scale.pause_s * (flow.flow_id % 10) / 10)
        while not self._stopping:
            await flow.exchange()
            if flow.token:
                await self._request(flow, classes)
            await asyncio.sleep(self._scale.pause_s)

    async def _request(self, flow: Flow, classes: list[str]) -> None:
        chosen = classes[flow.sequence % len(classes)]
        outcome = await flow.request(
            chosen, is_repeatable=flow.sequence % 3 == 0
        )
        if outcome.code in _LOST_EXECUTOR:
            flow.counts['reopened'] += 1
            await flow.open_framed()

    async def _wait_for_version(
        self,
        service: ServiceSnapshot,
        version: int,
    ) -> None:
        key = service_key(self._cluster.pool_id, service.service_id)
        name = f'currantshore_configuration_version{{key="{key}"}}'
        await self._cluster.wait_for(
            f'{key} version {version}',
            lambda: self._is_in_force(name, version),
        )

    async def _is_in_force(self, name: str, version: int) -> bool:
        pages = await asyncio.gather(
            *(
                self._cluster.metrics(host_id)
                for host_id in self._cluster.running()
            ),
        )
        return all(page.get(name, 0) >= version for page in pages)


def _count_refused(flows: Iterable[Flow]) -> int:
    return sum(
        outcome.is_refused_not_run()
        for flow in flows
        for outcome in flow.outcomes
    )
