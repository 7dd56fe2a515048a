"""Runs two example workspaces through a drain and a killed balancer.

``python -m standins.demo [--json] [--short] [--seed N]`` starts the platform
stand-in, the backend servers and six balancers of each workspace as processes,
opens flows, sends requests, drains one backend server and kills one balancer.
The exit code is 0 only if no guarantee was broken.
"""

import argparse
import asyncio
import signal
import sys
from collections import Counter
from typing import Any, Final

import msgspec

from standins import users
from standins.cluster import Cluster, ClusterError, start_platform
from standins.processes import stop_all
from standins.userrun import Scale, UserRun

_ZERO_FIGURES: Final = (
    'flows_broken',
    'answers_wrong_service',
    'answers_wrong_request',
    'answers_wrong_flow',
    'answered_but_not_run',
    'refused_but_ran',
    'ran_twice',
    'new_flows_after_drain',
    'runs_after_drain',
    'wrong_service_packets',
    'balancer_faults',
)


_FULL: Final = Scale(flows_per_service=200, phase_s=4, pause_s=0.5)
_SHORT: Final = Scale(flows_per_service=40, phase_s=2, pause_s=0.4)


class Demo:
    """The demo; ``stop`` ends all that was started."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Use the parsed command line ``arguments``."""
        self._seed: int = arguments.seed
        self._scale = _SHORT if arguments.short else _FULL
        self._shows_progress = not arguments.json
        self._clusters: list[Cluster] = []
        self._runs: list[UserRun] = []

    async def run(self) -> dict[str, Any]:
        """Run everything and return the figures."""
        await self._start()
        started_s = asyncio.get_running_loop().time()
        before = await self._fetch_metrics()
        self._print_progress('opening flows')
        per_service = self._scale.flows_per_service
        await asyncio.gather(
            *(run.open_flows(per_service) for run in self._runs),
        )
        imbalance = max(run.imbalance_ratio() for run in self._runs)
        for started in self._runs:
            started.use_flows()
        await asyncio.sleep(self._scale.phase_s)
        await self._drain_and_kill()
        await asyncio.sleep(self._scale.phase_s)
        self._print_progress('checking every flow')
        await asyncio.gather(*(run.finish() for run in self._runs))
        elapsed_s = asyncio.get_running_loop().time() - started_s
        return await self._collect_figures(imbalance, elapsed_s, before)

    async def stop(self) -> None:
        """End all flows and processes."""
        for run in self._runs:
            run.close()
        await asyncio.gather(*(cluster.stop() for cluster in self._clusters))
        # Stops the platform stand-in and what an interrupted start has left.
        await stop_all()

    async def _start(self) -> None:
        self._print_progress('starting the platform stand-in')
        platform = await start_platform()
        url = platform.ready['url']
        first = 1
        for pool in (users.lakeshore(), users.beaulac()):
            self._clusters.append(Cluster(pool, url, first))
            first += len(pool.members.hosts)
        self._print_progress('starting backend servers and 12 balancers')
        await asyncio.gather(*(cluster.start() for cluster in self._clusters))
        self._runs = [
            UserRun(cluster, self._scale, self._seed + number)
            for number, cluster in enumerate(self._clusters)
        ]

    async def _drain_and_kill(self) -> None:
        drained = await asyncio.gather(*(run.drain() for run in self._runs))
        self._print_progress(f'drained {", ".join(drained)}')
        extra_flow_count = max(1, self._scale.flows_per_service // 4)
        await asyncio.gather(
            *(run.open_flows(extra_flow_count) for run in self._runs)
        )
        killed = await asyncio.gather(
            *(run.kill_balancer() for run in self._runs),
        )
        self._print_progress(f'killed {", ".join(killed)}')

    async def _collect_figures(
        self,
        imbalance: float,
        elapsed_s: float,
        before: dict[str, dict[str, float]],
    ) -> dict[str, Any]:
        totals: Counter[str] = Counter()
        in_force_ms = 0
        reports = await asyncio.gather(
            *(run.summarize() for run in self._runs),
        )
        for report in reports:
            in_force_ms = max(in_force_ms, report.pop('config_in_force_ms'))
            totals.update(report)
        pages = await self._fetch_metrics()
        control_bytes = max(
            _control_bytes(page) - _control_bytes(before[host_id])
            for host_id, page in pages.items()
        )
        shown = (*_ZERO_FIGURES, 'requests_sent', 'answers_ok')
        totals.update(dict.fromkeys(shown, 0))
        return {
            **dict(sorted(totals.items())),
            'balancer_faults': round(
                sum(page['currantshore_faults'] for page in pages.values()),
            ),
            'imbalance_ratio': round(imbalance, 3),
            'config_in_force_s': in_force_ms / 1000,
            'control_bytes_per_s_max': round(control_bytes / elapsed_s),
            'rss_mb_max': round(max(map(_resident_mb, pages.values())), 1),
            'elapsed_s': round(elapsed_s, 1),
            'seed': self._seed,
        }

    async def _fetch_metrics(self) -> dict[str, dict[str, float]]:
        requests = [
            (host_id, cluster.metrics(host_id))
            for cluster in self._clusters
            for host_id in cluster.running()
        ]
        pages = await asyncio.gather(*(page for _, page in requests))
        host_ids = [host_id for host_id, _ in requests]
        return dict(zip(host_ids, pages, strict=True))

    def _print_progress(self, what: str) -> None:
        if self._shows_progress:
            print(f'... {what}', flush=True)


def _control_bytes(page: dict[str, float]) -> float:
    # Relayed requests are traffic of callers on the peer socket.
    sent = sum(
        number
        for name, number in page.items()
        if name.startswith('currantshore_control_bytes_total')
    )
    return sent - page['currantshore_relay_sent_bytes_total']


def _resident_mb(page: dict[str, float]) -> float:
    return page['currantshore_max_resident_bytes'] / 2**20


def broken_guarantees(figures: dict[str, Any]) -> list[str]:
    """Return the names of the figures that are not 0 as guaranteed."""
    return [name for name in _ZERO_FIGURES if figures[name]]


def print_table(figures: dict[str, Any]) -> None:
    """Print one line for each figure."""
    width = max(map(len, figures))
    for name, figure in figures.items():
        mark = '  <- must be 0' if name in _ZERO_FIGURES and figure else ''
        print(f'{name:<{width}}  {figure}{mark}')


async def run_demo(arguments: argparse.Namespace) -> int:
    """Run the demo until it ends or is interrupted; return the exit code."""
    demo = Demo(arguments)
    work = asyncio.ensure_future(demo.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, work.cancel)
    try:
        figures = await work
    except (ClusterError, asyncio.CancelledError) as error:
        print(f'demo ended early: {error!r}', file=sys.stderr)
        return 1
    finally:
        await demo.stop()
    broken = broken_guarantees(figures)
    if arguments.json:
        print(msgspec.json.encode(figures).decode(), flush=True)
    else:
        print_table(figures)
    return 1 if broken else 0


def main() -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description='demo of currantshore')
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--short', action='store_true')
    parser.add_argument('--seed', type=int, default=1)
    return asyncio.run(run_demo(parser.parse_args()))


if __name__ == '__main__':
    sys.exit(main())
