"""Exports the counters of the core and the sockets to Prometheus."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from currantshore.codes import DropReason, ResultCode, RetryReason
from currantshore.internal.counters import Count, Counters
from currantshore.internal.process.datagrams import BatchSocket


@dataclasses.dataclass(frozen=True, slots=True)
class MetricSources:
    """The sources of the metrics, which are read at each scrape."""

    counters: Counters
    sockets: Callable[[], Mapping[str, BatchSocket]]
    gauges: Callable[[], Mapping[str, float]]
    control_bytes: Callable[[], Mapping[str, int]]
    versions: Callable[[], Mapping[str, int]]


class BalancerCollector(Collector):
    """Reads all counts at each scrape; keeps no copies."""

    __slots__ = ('_sources',)

    def __init__(self, sources: MetricSources) -> None:
        """Initialize with the sources to read."""
        self._sources = sources

    def collect(self) -> Iterator[Metric]:
        """Yield one metric family for each kind of count."""
        yield from self._core_metrics()
        yield from self._socket_metrics()
        versions = GaugeMetricFamily(
            'currantshore_configuration_version',
            'Version of each configuration object on this host.',
            labels=['key'],
        )
        for key, version in self._sources.versions().items():
            versions.add_metric([key], version)
        yield versions
        for name, gauge in self._sources.gauges().items():
            yield GaugeMetricFamily(
                f'currantshore_{name}',
                f'Current {name}.',
                value=gauge,
            )

    def _core_metrics(self) -> Iterator[Metric]:
        counters = self._sources.counters
        yield _build_family(
            'refusals',
            'Refusals sent to callers, by result code.',
            'code',
            {code.name.lower(): counters.refusals[code] for code in ResultCode},
        )
        yield _build_family(
            'retries',
            'Repeated requests, lookups and other calls, by reason.',
            'reason',
            {reason.value: counters.retries[reason] for reason in RetryReason},
        )
        yield _build_family(
            'drops',
            'Datagrams dropped without an answer, by reason.',
            'reason',
            {reason.value: counters.drops[reason] for reason in DropReason},
        )
        for kind in Count:
            yield CounterMetricFamily(
                f'currantshore_{kind.value}',
                f'Count of {kind.value}.',
                value=counters.counts[kind],
            )

    def _socket_metrics(self) -> Iterator[Metric]:
        sockets = self._sources.sockets()
        yield _build_family(
            'datagrams_received',
            'Datagrams read, by socket.',
            'socket',
            {name: udp_socket.received for name, udp_socket in sockets.items()},
        )
        yield _build_family(
            'datagrams_sent',
            'Datagrams passed to the kernel, by socket.',
            'socket',
            {name: udp_socket.sent for name, udp_socket in sockets.items()},
        )
        yield _build_family(
            'datagrams_failed',
            'Datagrams that the kernel did not accept, by socket.',
            'socket',
            {
                name: udp_socket.failed_sends
                for name, udp_socket in sockets.items()
            },
        )
        yield _build_family(
            'control_bytes',
            'Bytes of control traffic sent, by channel.',
            'channel',
            self._sources.control_bytes(),
        )


def build_registry(sources: MetricSources) -> CollectorRegistry:
    """Return a new registry, so that tests can build several."""
    registry = CollectorRegistry()
    registry.register(BalancerCollector(sources))
    ProcessCollector(registry=registry)
    return registry


def _build_family(
    name: str,
    explanation: str,
    label: str,
    counts: Mapping[str, int],
) -> CounterMetricFamily:
    family = CounterMetricFamily(
        f'currantshore_{name}',
        explanation,
        labels=[label],
    )
    for key, count in counts.items():
        family.add_metric([key], count)
    return family
