"""The demo as a user runs it."""

import asyncio
import pathlib
import signal

import msgspec
import testtools

from standins.processes import ChildProcess

_LIMIT_S = 120
_FIGURES = (
    'flows_opened',
    'flows_broken',
    'requests_sent',
    'answers_ok',
    'answers_wrong_service',
    'refused_not_run',
    'refused_but_ran',
    'ran_twice',
    'imbalance_ratio',
    'config_in_force_s',
    'control_bytes_per_s_max',
    'rss_mb_max',
    'seed',
)


class DemoTests(testtools.TestCase):
    """Guards against broken promises and against processes left behind."""

    def test_the_short_demo_breaks_no_promise(self):
        code, figures = asyncio.run(self._run())
        self.assertEqual(0, code, figures)
        for name in _FIGURES:
            self.assertIn(name, figures)

    def test_an_interrupted_demo_leaves_no_process(self):
        code, left = asyncio.run(self._interrupt())
        self.assertEqual(1, code)
        self.assertEqual([], left)

    async def _run(self):
        demo = await ChildProcess.start(
            'demo', '-m', 'standins.demo', '--short', '--json'
        )
        line = await asyncio.wait_for(demo.read_bytes(), _LIMIT_S)
        figures = msgspec.json.decode(line.splitlines()[-1])
        return await demo.wait(_LIMIT_S), figures

    async def _interrupt(self):
        demo = await ChildProcess.start('demo', '-m', 'standins.demo')
        children = []
        # The platform, 21 backend servers and some of the balancers.
        while len(children) < 25 and demo.is_running:
            await asyncio.sleep(0.05)
            children = _children(demo.pid)
        demo.send_signal(signal.SIGINT)
        code = await demo.wait(_LIMIT_S)
        return code, [pid for pid in children if _is_running(pid)]


def _children(pid):
    listed = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
    return [int(child) for child in listed.read_text().split()]


def _is_running(pid):
    status = pathlib.Path(f'/proc/{pid}/status')
    return status.exists() and 'zombie' not in status.read_text()
