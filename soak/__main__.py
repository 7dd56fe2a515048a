"""``python -m soak --seed 1 --seconds 20``: one JSON line, 1 if broken.

Runs entry processes, a store, backend servers and callers on loopback, and
strikes them with faults drawn from the seed, in series and overlapping.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

from soak.faults import FaultSource
from soak.world import ADDRESS, FIRST_PORT, SERVICES, SoakWorld
from standins.packetends import CallerFlow

_FLOWS: Final = 24

# Where the logs of failed runs are kept; not part of the repository.
_LOGS: Final = Path('build') / 'soak'

# A caller that was refused comes back after this long.
_REFUSED_PAUSE_S: Final = 0.2

# After the last fault, all that was struck has this long to recover: a
# restarted process is ready in a second, a silent watch is noticed in five.
_HEAL_S: Final = 7.0


class FlowRun:
    """One caller's flow: opened, used, closed and opened again."""

    def __init__(self, world: SoakWorld, number: int, seed: int) -> None:
        """Use service ``number`` modulo the services."""
        self._world = world
        self._rng = random.Random(seed * 1000 + number)
        self._service_port = FIRST_PORT + number % len(SERVICES)
        self._place = number % len(world.entries)
        self.counts: Counter[str] = Counter()

    async def run(self, until_s: float) -> None:
        """Open and use flows until then."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            self._choose_host()
            flow = self._world.caller.flow((ADDRESS, self._service_port))
            is_open = await flow.open(self._entry())
            self.counts['opened' if is_open else 'not_opened'] += 1
            if is_open:
                await self._use(flow, until_s)
            else:
                await asyncio.sleep(_REFUSED_PAUSE_S)

    async def _use(self, flow: CallerFlow, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        left = self._rng.randint(1, 40)
        backend = self._world.names[flow.token]
        while left and loop.time() < until_s:
            left -= 1
            self._choose_host()
            asked = f'{flow.port}-{left}'.encode()
            answer = await flow.ask(self._entry(), asked)
            name = f'127.0.1.1:{flow.port}'
            if flow.is_reset:
                self.counts['reset'] += 1
                self._world.promises.judge_reset(name, backend, loop.time())
                return
            if not answer:
                # A caller gives the flow up with the request; its numbers
                # would fit a late answer to the next one.
                self.counts['unanswered'] += 1
                return
            self.counts['answered'] += 1
            self._world.promises.judge_answer(name, asked, answer)
            await asyncio.sleep(self._rng.uniform(0.01, 0.2))

    def _choose_host(self) -> None:
        # A flow stays with its host until that is gone, as with the platform.
        while not self._world.is_up(self._place):
            self._place = self._rng.randrange(len(self._world.entries))
            if not any(map(self._world.is_up, range(len(self._world.entries)))):
                return

    def _entry(self) -> tuple[str, int]:
        return self._world.entries[self._place].packet_address


async def run_soak(
    seed: int,
    seconds: float,
    hosts: int,
    logs: Path = _LOGS,
) -> dict[str, object]:
    """Run one soak; return its figures and what was broken.

    The logs of a run that broke a promise are kept below ``logs``.
    """
    world = SoakWorld(hosts, seed)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(world.stop)
        await world.start()
        counts, faults = await _strike_and_use(world, seed, seconds)
        await _check_healed(world)
        world.promises.judge_backends(world.backends, world.ports)
    if world.promises.broken:
        world.write_logs(logs / f'seed-{seed}')
    return {
        'seed': seed,
        'seconds': seconds,
        'hosts': hosts,
        'faults': faults,
        'checked': world.promises.checked,
        'broken': world.promises.broken,
        **counts,
    }


async def _run_until_told(
    seed: int,
    seconds: float,
    hosts: int,
) -> dict[str, object]:
    # A soak that is told to end ends the processes that it started.
    loop = asyncio.get_running_loop()
    work = loop.create_task(run_soak(seed, seconds, hosts))
    loop.add_signal_handler(signal.SIGTERM, work.cancel)
    return await work


async def _strike_and_use(
    world: SoakWorld,
    seed: int,
    seconds: float,
) -> tuple[Counter[str], int]:
    loop = asyncio.get_running_loop()
    source = FaultSource(seed, len(world.entries), len(world.backends))
    schedule = source.schedule(seconds)
    runs = [FlowRun(world, number, seed) for number in range(_FLOWS)]
    begin_s = loop.time()
    end_s = begin_s + seconds + _HEAL_S
    work = [loop.create_task(run.run(end_s)) for run in runs]
    for at_s, fault in schedule:
        await asyncio.sleep(max(0, begin_s + at_s - loop.time()))
        work.append(loop.create_task(world.apply(fault)))
    await asyncio.gather(*work)
    counts: Counter[str] = Counter()
    for run in runs:
        counts.update(run.counts)
    return counts, len(schedule)


async def _check_healed(world: SoakWorld) -> None:
    for entry in world.entries:
        flow = world.caller.flow((ADDRESS, FIRST_PORT))
        is_open = await flow.open(entry.packet_address)
        world.promises.check(
            is_open, f'{entry.host}: does not serve at the end'
        )


def main() -> int:
    """Run one soak or several; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--hosts', type=int, default=5)
    given = parser.parse_args()
    status = 0
    for seed in range(given.seed, given.seed + given.seeds):
        run = _run_until_told(seed, given.seconds, given.hosts)
        found = asyncio.run(run)
        sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
        sys.stdout.flush()
        status = 1 if found['broken'] else status
    return status


if __name__ == '__main__':
    sys.exit(main())
