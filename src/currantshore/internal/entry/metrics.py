"""Render the metrics page of the entry process.

This module is loaded on the first request of the page, because its library is
large and most processes are never scraped.
"""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from prometheus_client import (
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from currantshore.internal.steering.latencies import LatencyHistogram


# Counts by family and kind.
_Counts: TypeAlias = Mapping[str, Mapping[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryMetrics:
    """The sources of the metrics, which are read at each scrape.

    ``counts`` returns monotonic counts by family and kind, ``gauges`` current
    values by name; ``latencies`` are histograms by name.
    """

    counts: Callable[[], _Counts]
    gauges: Callable[[], Mapping[str, float]]
    latencies: Mapping[str, LatencyHistogram]


class EntryCollector(Collector):
    """Reads all sources at each scrape; keeps no copies."""

    __slots__ = ('_sources',)

    def __init__(self, sources: EntryMetrics) -> None:
        """Initialize with ``sources``."""
        self._sources = sources

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        for name, counts in self._sources.counts().items():
            family = CounterMetricFamily(
                f'currantshore_entry_{name}',
                f'Count of {name} by reason or kind.',
                labels=['kind'],
            )
            for kind, count in counts.items():
                family.add_metric([kind], count)
            yield family
        for name, current in self._sources.gauges().items():
            yield GaugeMetricFamily(
                f'currantshore_entry_{name}', f'Current {name}.', value=current
            )
        for name, latencies in self._sources.latencies.items():
            yield HistogramMetricFamily(
                f'currantshore_entry_{name}_seconds',
                f'Latency of {name}, as flows show it at this host.',
                buckets=list(latencies.cumulative()),
                sum_value=latencies.total_s,
            )


def build_page(sources: EntryMetrics) -> Callable[[], bytes]:
    """Return a function that renders the page."""
    registry = CollectorRegistry()
    registry.register(EntryCollector(sources))
    ProcessCollector(registry=registry)

    def render() -> bytes:  # noqa: WPS430
        return generate_latest(registry)

    return render
