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
    """Where the metrics come from; each is read when it is asked for."""

    counters: Counters
    sockets: Callable[[], Mapping[str, BatchSocket]]
    gauges: Callable[[], Mapping[str, float]]
    control_bytes: Callable[[], Mapping[str, int]]
    versions: Callable[[], Mapping[str, int]]


class BalancerCollector(Collector):
    """Reads all counts when Prometheus scrapes; keeps no copies."""

    __slots__ = ('_sources',)

    def __init__(self, sources: MetricSources) -> None:
        """Use ``sources``."""
        self._sources = sources

    def collect(self) -> Iterator[Metric]:
        """Yield one family for each kind of count."""
        yield from self._core_counts()
        yield from self._socket_counts()
        versions = GaugeMetricFamily(
            'currantshore_configuration_version',
            'Version held of each configuration object.',
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

    def _core_counts(self) -> Iterator[Metric]:
        counters = self._sources.counters
        yield _family(
            'refusals',
            'Refusals sent to callers, by result code.',
            'code',
            {code.name.lower(): counters.refusals[code] for code in ResultCode},
        )
        yield _family(
            'retries',
            'Requests and lookups sent again, by reason.',
            'reason',
            {reason.value: counters.retries[reason] for reason in RetryReason},
        )
        yield _family(
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

    def _socket_counts(self) -> Iterator[Metric]:
        sockets = self._sources.sockets()
        yield _family(
            'datagrams_received',
            'Datagrams read, by socket.',
            'socket',
            {name: one.received for name, one in sockets.items()},
        )
        yield _family(
            'datagrams_sent',
            'Datagrams given to the kernel, by socket.',
            'socket',
            {name: one.sent for name, one in sockets.items()},
        )
        yield _family(
            'datagrams_failed',
            'Datagrams that the kernel did not take, by socket.',
            'socket',
            {name: one.failed_sends for name, one in sockets.items()},
        )
        yield _family(
            'control_bytes',
            'Bytes of control traffic sent, by channel.',
            'channel',
            self._sources.control_bytes(),
        )


def build_registry(sources: MetricSources) -> CollectorRegistry:
    """Return a registry of its own, so that tests can build several."""
    registry = CollectorRegistry()
    registry.register(BalancerCollector(sources))
    ProcessCollector(registry=registry)
    return registry


def _family(
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
