"""Counters, gauges and latency histograms of the gateway."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_PREFIX: Final = 'flamingovalve'
_BUCKETS: Final = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class GatewayMetrics(Collector):
    """Exports the metrics of the gateway in the Prometheus text format.

    Components maintain plain counts, which are read on each scrape.
    """

    def __init__(
        self,
        counts: Callable[[], dict[str, Any]],
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        """Export the counts and gauges of a daemon.

        :param counts: returns the counts of each component by its name
        :param gauges: returns the gauges by name
        """
        self._counts = counts
        self._gauges = gauges
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)
        self._requests = Counter(
            f'{_PREFIX}_requests',
            'Requests of callers, by outcome.',
            ['outcome'],
            registry=self._registry,
        )
        self._seconds = Histogram(
            f'{_PREFIX}_request_seconds',
            'Time from reading a request to the end of its answer.',
            registry=self._registry,
            buckets=_BUCKETS,
        )

    def record_request(self, outcome: str, seconds: float) -> None:
        """Record the outcome and the duration of a request."""
        self._requests.labels(outcome).inc()
        self._seconds.observe(seconds)

    def exposition(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Collect the current counts and gauges."""
        for component, counts in self._counts().items():
            for count_field in dataclasses.fields(counts):
                name = f'{_PREFIX}_{component}_{count_field.name}'
                count = getattr(counts, count_field.name)
                documentation = (
                    f'Count of {count_field.name} of the part {component}.'
                )
                yield CounterMetricFamily(name, documentation, count)
        for name, gauge in self._gauges().items():
            documentation = (
                f'{name.replace("_", " ").capitalize()} at this moment.'
            )
            yield GaugeMetricFamily(f'{_PREFIX}_{name}', documentation, gauge)
