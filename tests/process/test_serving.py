"""Balancers, backend servers and callers as real processes."""

import asyncio
import signal

import aiohttp
import msgspec
import testtools

from currantshore.codes import ResultCode
from currantshore.internal.process.settings import ExitCode
from currantshore.internal.snapshot import HostState, pool_key
from standins.processes import ChildProcess
from standins.userrun import Scale, UserRun
from tests.process.harness import ProcessTestCase


class ServingTests(ProcessTestCase):
    """Guards against parts that work only separately."""

    def test_flows_and_requests_are_served_end_to_end(self):
        self.run_scenario(self._serve)

    async def _serve(self):
        flows = await self.open_flows(8)
        await self.assert_flows_answer(flows)
        outcome = await flows[0].request('checkout')
        self.assertEqual(ResultCode.OK, outcome.code)
        self.assertEqual([1], await self.runs_of(flows[0]))

    def test_serving_continues_while_the_platform_is_down(self):
        self.run_scenario(self._serve_without_platform)

    async def _serve_without_platform(self):
        flows = await self.open_flows(4)
        await self._set_outage()
        await self.assert_flows_answer(flows)
        more = await self.open_flows(4)
        outcome = await more[0].request('checkout')
        self.assertEqual(ResultCode.OK, outcome.code)
        # A restarted balancer fetches the whole configuration from its peers.
        host_id = self.cluster.running()[0]
        await self.cluster.kill_balancer(host_id)
        await self.cluster.start_balancer(host_id)
        await self.cluster.wait_until_ready()
        await self.assert_flows_answer(flows + more)

    async def _set_outage(self):
        url = f'{self.platform.ready["url"]}/faults'
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json={'outage': True}) as answer,
        ):
            answer.raise_for_status()


class StoppingTests(ProcessTestCase):
    """Guards against stops that abort requests or break flows."""

    def test_sigterm_finishes_a_request_in_progress_and_exits_cleanly(self):
        self.run_scenario(self._stop_executor)

    async def _stop_executor(self):
        flow = (await self.open_flows(1))[0]
        await self.cluster.control(flow.backend_id, work_ms=1500)
        request = asyncio.ensure_future(flow.request('checkout'))
        executor = await self._wait_for_run(flow)
        child = self.cluster.balancers[executor]
        child.send_signal(signal.SIGTERM)
        child.send_signal(signal.SIGTERM)
        outcome = await request
        self.assertEqual(ResultCode.OK, outcome.code)
        self.fabric.withdraw(executor)
        self.assertEqual(ExitCode.OK, await child.wait(60))
        self.assertEqual([1], await self.runs_of(flow))
        await self.assert_flows_answer([flow])

    def test_a_host_marked_as_leaving_stops_by_itself(self):
        self.run_scenario(self._mark_as_leaving)

    async def _mark_as_leaving(self):
        flows = await self.open_flows(8)
        members = self.cluster.pool.members
        *kept, last = members.hosts
        leaving = msgspec.structs.replace(last, state=HostState.LEAVING)
        changed = msgspec.structs.replace(members, hosts=(*kept, leaving))
        await self.cluster.write(pool_key(members.pool_id), changed)
        child = self.cluster.balancers[last.host_id]
        self.assertEqual(ExitCode.OK, await child.wait(60))
        self.fabric.withdraw(last.host_id)
        await self.assert_flows_answer(flows)

    def test_a_killed_balancer_breaks_no_flow(self):
        self.run_scenario(self._kill_balancer)

    async def _kill_balancer(self):
        flows = await self.open_flows(12)
        host_id = self.cluster.running()[-1]
        await self.cluster.kill_balancer(host_id)
        self.fabric.withdraw(host_id)
        await self.assert_flows_answer(flows)

    def test_a_stalled_executor_runs_nothing_twice(self):
        self.run_scenario(self._stall_executor)

    async def _stall_executor(self):
        flow = (await self.open_flows(1))[0]
        await self.cluster.control(flow.backend_id, work_ms=300)
        request = asyncio.ensure_future(flow.request('checkout'))
        executor = await self._wait_for_run(flow)
        child = self.cluster.balancers[executor]
        child.send_signal(signal.SIGSTOP)
        # Longer than the failure timeout, so that the others detect the stall.
        await asyncio.sleep(3)
        child.send_signal(signal.SIGCONT)
        await request
        await flow.request('checkout')
        runs = await self.runs_of(flow)
        self.assertEqual(sorted(set(runs)), runs)

    async def _wait_for_run(self, flow):
        async def has_run():
            return bool(await self.runs_of(flow))

        await self.cluster.wait_for('the request to run', has_run)
        return await self._executor()

    async def _executor(self):
        name = 'currantshore_requests_run_total'
        host_ids = self.cluster.running()
        pages = await asyncio.gather(
            *(self.cluster.metrics(host_id) for host_id in host_ids)
        )
        ran = [
            host_id
            for host_id, page in zip(host_ids, pages, strict=True)
            if page[name]
        ]
        self.assertEqual(1, len(ran), 'balancers that ran the request')
        return ran[0]


class DrainTests(ProcessTestCase):
    """Guards against a drain that breaks flows or admits new work."""

    def test_a_drain_keeps_flows_and_stops_new_ones(self):
        self.run_scenario(self._drain)

    async def _drain(self):
        run = UserRun(self.cluster, Scale(0, 0, 0), seed=1)
        flows = await self.open_flows(24)
        drained = await run.drain()
        await self.assert_flows_answer(flows)
        more = await self.open_flows(24)
        self.assertNotIn(drained, {flow.backend_id for flow in more})
        await self.assert_flows_answer(flows + more)


class StartTests(testtools.TestCase):
    """Guards against a process that starts with bad settings."""

    def test_bad_settings_are_all_named_before_the_process_exits(self):
        code, log = asyncio.run(self._start('--zone=X Y', '--seed=x'))
        self.assertEqual(ExitCode.BAD_SETTINGS, code)
        for name in ('--zone', "'X Y'", '--seed', '--host-id', '--peer-key'):
            self.assertIn(name, log)

    async def _start(self, *flags):
        child = await ChildProcess.start(
            'balancer', '-m', 'currantshore.internal.process.daemon', *flags
        )
        code = await child.wait(60)
        return code, child.log_text()
