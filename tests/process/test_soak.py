"""A short soak with a fixed seed, and the seeds that ever failed."""

import asyncio
import pathlib

import testtools

from soak.__main__ import run_soak
from soak.faults import FaultSource

_REGRESSIONS = pathlib.Path(__file__).parents[2] / 'soak' / 'regressions.txt'

# A run that hangs ends here, far above its length on a busy machine.
_LIMIT_S = 120


class ShortSoakTests(testtools.TestCase):
    """Guards against faults that break a promise only in combination."""

    def test_no_promise_is_broken_in_a_short_soak(self):
        found = asyncio.run(asyncio.wait_for(run_soak(1, 8, 4), _LIMIT_S))
        self.assertEqual([], found['broken'], found)
        self.assertGreater(found['answered'], 100, found)

    def test_a_regression_seed_keeps_its_promises(self):
        lines = _REGRESSIONS.read_text().splitlines()
        seeds = [line.split()[:3] for line in lines if line[0].isdigit()]
        seed, seconds, hosts = (int(word) for word in seeds[-1])
        run = run_soak(seed, seconds, hosts)
        found = asyncio.run(asyncio.wait_for(run, _LIMIT_S))
        self.assertEqual([], found['broken'], found)


class FaultSourceTests(testtools.TestCase):
    """Guards against a seed that cannot be played again."""

    def test_a_seed_draws_the_same_faults(self):
        first = FaultSource(7, 5, 6).schedule(20)
        self.assertEqual(first, FaultSource(7, 5, 6).schedule(20))
        self.assertNotEqual(first, FaultSource(8, 5, 6).schedule(20))
