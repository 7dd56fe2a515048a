"""A short soak with a fixed seed, and the seeds that ever failed."""

import asyncio
import contextlib
import pathlib
import socket

import testtools

from soak.__main__ import run_soak
from soak.faults import FaultSource
from standins.entries import free_port

_REGRESSIONS = pathlib.Path(__file__).parents[2] / 'soak' / 'regressions.txt'

# A run that hangs ends here, far above its length on a busy machine.
_LIMIT_S = 120

# Of 28,000 ports so many are held and drawn that about ten would coincide.
_HELD_PORTS = 600
_DRAWN_PORTS = 500


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


class PortTests(testtools.TestCase):
    """Guards against a soak that ends since two of its sockets share a port."""

    def test_a_free_port_is_held_by_no_datagram_socket(self):
        host = '127.0.3.1'
        with contextlib.ExitStack() as stack:
            held = set()
            for _ in range(_HELD_PORTS):
                taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                stack.enter_context(taken)
                taken.bind((host, 0))
                held.add(taken.getsockname()[1])
            drawn = {free_port(host) for _ in range(_DRAWN_PORTS)}
        self.assertEqual(set(), held & drawn)


class FaultSourceTests(testtools.TestCase):
    """Guards against a seed that cannot be played again."""

    def test_a_seed_draws_the_same_faults(self):
        first = FaultSource(7, 5, 6).schedule(20)
        self.assertEqual(first, FaultSource(7, 5, 6).schedule(20))
        self.assertNotEqual(first, FaultSource(8, 5, 6).schedule(20))
