"""Runs the soak test: ``python -m soak --seed 1 --seconds 20``.

Starts entry processes, a store, backend servers and callers on loopback and
injects faults drawn from the seed, some one after another and some overlapping.
Prints one JSON line for each seed; the exit code is 1 if a guarantee was
broken.
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
from soak.system import ADDRESS, FIRST_PORT, SERVICES, ZONES, SoakSystem
from standins.packetends import CallerFlow

_FLOW_COUNT: Final = 24

# Directory for the logs of failed runs; not part of the repository.
_LOG_DIRECTORY: Final = Path('build') / 'soak'

# Delay before a caller that was refused tries again.
_REOPEN_DELAY_S: Final = 0.2

# Time to recover after the last fault: a restarted process is ready within 1 s,
# a silent watch is detected within 5 s.
_RECOVERY_S: Final = 7.0


class FlowRun:
    """One caller, which opens a flow, uses it and opens the next one."""

    def __init__(self, system: SoakSystem, number: int, seed: int) -> None:
        """Use the service at ``number`` modulo the number of services."""
        self._system = system
        self._rng = random.Random(seed * 1000 + number)
        self._service_port = FIRST_PORT + number % len(SERVICES)
        self._host_index = number % len(system.entries)
        self.counts: Counter[str] = Counter()

    async def run(self, until_s: float) -> None:
        """Open and use flows until ``until_s`` on the clock of the loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            self._choose_host()
            flow = self._system.caller.flow((ADDRESS, self._service_port))
            is_open = await flow.open(self._entry_address())
            self.counts['opened' if is_open else 'not_opened'] += 1
            if is_open:
                await self._send_requests(flow, until_s)
            else:
                await asyncio.sleep(_REOPEN_DELAY_S)

    async def _send_requests(self, flow: CallerFlow, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        remaining = self._rng.randint(1, 40)
        backend = self._system.backend_names[flow.token]
        while remaining and loop.time() < until_s:
            remaining -= 1
            self._choose_host()
            request = f'{flow.port}-{remaining}'.encode()
            answer = await flow.ask(self._entry_address(), request)
            name = f'127.0.1.1:{flow.port}'
            if flow.is_reset:
                self.counts['reset'] += 1
                self._system.guarantees.check_reset(name, backend, loop.time())
                return
            if not answer:
                # The caller abandons the flow together with the request:
                # otherwise a late answer could match the next request's
                # numbers.
                self.counts['unanswered'] += 1
                return
            self.counts['answered'] += 1
            self._system.guarantees.check_answer(name, request, answer)
            await asyncio.sleep(self._rng.uniform(0.01, 0.2))

    def _choose_host(self) -> None:
        # As on the platform, a flow stays with its host while that host is up.
        while not self._system.is_up(self._host_index):
            self._host_index = self._rng.randrange(len(self._system.entries))
            if not any(
                map(self._system.is_up, range(len(self._system.entries)))
            ):
                return

    def _entry_address(self) -> tuple[str, int]:
        return self._system.entries[self._host_index].packet_address


async def run_soak(
    seed: int,
    seconds: float,
    hosts: int,
    logs: Path = _LOG_DIRECTORY,
) -> dict[str, object]:
    """Run one soak; return its figures and the broken guarantees.

    The logs of a run that broke a guarantee are written below ``logs``.
    """
    system = SoakSystem(hosts, seed)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(system.stop)
        await system.start()
        counts, faults = await _run_flows_and_faults(system, seed, seconds)
        await _check_recovery(system)
        system.guarantees.check_backends(system.backends, system.service_ports)
    if system.guarantees.broken:
        system.write_logs(logs / f'seed-{seed}')
    return {
        'seed': seed,
        'seconds': seconds,
        'hosts': hosts,
        'faults': faults,
        'checked': system.guarantees.checked,
        'broken': system.guarantees.broken,
        **counts,
    }


async def _run_until_terminated(
    seed: int,
    seconds: float,
    hosts: int,
) -> dict[str, object]:
    # On SIGTERM, cancel the soak so that it ends the processes it started.
    loop = asyncio.get_running_loop()
    work = loop.create_task(run_soak(seed, seconds, hosts))
    loop.add_signal_handler(signal.SIGTERM, work.cancel)
    return await work


async def _run_flows_and_faults(
    system: SoakSystem,
    seed: int,
    seconds: float,
) -> tuple[Counter[str], int]:
    loop = asyncio.get_running_loop()
    source = FaultSource(seed, len(system.entries), len(system.backends), ZONES)
    schedule = source.schedule(seconds)
    runs = [FlowRun(system, number, seed) for number in range(_FLOW_COUNT)]
    begin_s = loop.time()
    end_s = begin_s + seconds + _RECOVERY_S
    work = [loop.create_task(run.run(end_s)) for run in runs]
    for at_s, fault in schedule:
        await asyncio.sleep(max(0, begin_s + at_s - loop.time()))
        work.append(loop.create_task(system.apply(fault)))
    await asyncio.gather(*work)
    counts: Counter[str] = Counter()
    for run in runs:
        counts.update(run.counts)
    return counts, len(schedule)


async def _check_recovery(system: SoakSystem) -> None:
    for entry in system.entries:
        flow = system.caller.flow((ADDRESS, FIRST_PORT))
        is_open = await flow.open(entry.packet_address)
        system.guarantees.check(
            is_open, f'{entry.host}: does not serve at the end'
        )
    await system.check_beliefs()


def main() -> int:
    """Run one soak or several; return 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--hosts', type=int, default=5)
    arguments = parser.parse_args()
    status = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        run = _run_until_terminated(seed, arguments.seconds, arguments.hosts)
        result = asyncio.run(run)
        sys.stdout.write(f'{msgspec.json.encode(result).decode()}\n')
        sys.stdout.flush()
        status = 1 if result['broken'] else status
    return status


if __name__ == '__main__':
    sys.exit(main())
