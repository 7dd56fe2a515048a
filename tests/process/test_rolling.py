"""Planned restarts of all balancers, one at a time."""

import asyncio
import signal

from currantshore.internal.process.settings import ExitCode
from standins.userrun import Scale, UserRun
from tests.process.harness import ProcessTestCase


class RollingRestartTests(ProcessTestCase):
    """Guards against flows that break after every process was replaced."""

    def test_flows_survive_a_drain_and_the_restart_of_every_balancer(self):
        self.run_scenario(self._restart_all)

    async def _restart_all(self):
        run = UserRun(self.cluster, Scale(0, 0, pause_s=0.2), seed=1)
        await run.open_flows(20)
        run.use_flows()
        await run.drain()
        await self._restart_in_turn(run, self.cluster.running())
        await run.finish()
        report = await run.summarize()
        run.close()
        for count_name in (
            'flows_broken',
            'ran_twice',
            'refused_but_ran',
            'answers_wrong_service',
            'new_flows_after_drain',
        ):
            self.assertEqual(0, report[count_name], (count_name, report))

    async def _restart_in_turn(self, run, host_ids):
        remaining = list(host_ids)
        while remaining:
            host_id = remaining.pop(0)
            child = self.cluster.balancers[host_id]
            child.send_signal(signal.SIGTERM)
            # The fabric detects the leave while the balancer lingers.
            await asyncio.sleep(0.5)
            run.fabric.withdraw(host_id)
            self.assertEqual(ExitCode.OK, await child.wait(60))
            await self.cluster.start_balancer(host_id)
            await self.cluster.wait_until_ready()
            host_plan = self.cluster.hosts[host_id]
            run.fabric.restore(host_id, host_plan.services)
