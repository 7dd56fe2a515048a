"""Runs one scenario against real processes on loopback."""

import asyncio
import contextlib

import testtools

from standins import users
from standins.caller import Flow
from standins.cluster import Cluster, start_platform
from standins.network import Fabric, Faults

# Far longer than any scenario on a busy machine; ends a scenario that hangs.
_TIMEOUT_S = 120


class ProcessTestCase(testtools.TestCase):
    """Starts a platform, backend servers and balancers for one scenario."""

    host_count = 3

    def run_scenario(self, scenario):
        """Run ``scenario`` on a started cluster and end all processes."""
        asyncio.run(asyncio.wait_for(self._run(scenario), _TIMEOUT_S))

    async def _run(self, scenario):
        async with contextlib.AsyncExitStack() as stack:
            self.platform = await start_platform()
            stack.push_async_callback(self.platform.stop)
            self.cluster = Cluster(
                users.lakeshore(self.host_count), self.platform.ready['url']
            )
            stack.push_async_callback(self.cluster.stop)
            await self.cluster.start()
            self.fabric = Fabric(self.cluster.routes(), Faults(), seed=1)
            self._flows = []
            stack.callback(self._close_flows)
            await scenario()

    async def open_flows(self, count, service_id='dockwatch'):
        """Open framed and opaque flows in turn; all must be answered."""
        opened = [
            Flow(self.fabric, service_id, flow_id) for flow_id in range(count)
        ]
        self._flows += opened
        await asyncio.gather(*(self._open_flow(flow) for flow in opened))
        return opened

    async def assert_flows_answer(self, flows):
        answered = await asyncio.gather(*(flow.exchange(20) for flow in flows))
        broken = [
            (flow.address, flow.counts)
            for flow, is_answered in zip(flows, answered, strict=True)
            if not is_answered
        ]
        self.assertEqual([], broken)

    async def runs_of(self, flow):
        """Return how often each request id of ``flow`` was run."""
        records = await asyncio.gather(
            *(
                self.cluster.record(backend_id)
                for backend_id in self.cluster.backends
            )
        )
        return sorted(
            run[1]
            for record in records
            for run in record['ran']
            if run[0] == flow.address
        )

    async def _open_flow(self, flow):
        if flow.flow_id % 2 == 0:
            self.assertTrue(await flow.open_framed(20))
        self.assertTrue(await flow.exchange(20), flow.counts)

    def _close_flows(self):
        for flow in self._flows:
            flow.close()
