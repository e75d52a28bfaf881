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
    """What the gateway counts, in the Prometheus text format.

    The modules keep plain counts; they are read when somebody asks.
    """

    def __init__(
        self,
        counts: Callable[[], dict[str, Any]],
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        """Describe what the parts of a daemon count.

        :param counts: gives the counts of every part by its name
        :param gauges: gives the gauges by their name
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

    def note(self, outcome: str, seconds: float) -> None:
        """Count one request."""
        self._requests.labels(outcome).inc()
        self._seconds.observe(seconds)

    def exposition(self) -> bytes:
        """Give all metrics."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Give the counts and gauges of this moment."""
        for group, counts in self._counts().items():
            for entry in dataclasses.fields(counts):
                name = f'{_PREFIX}_{group}_{entry.name}'
                count = getattr(counts, entry.name)
                meaning = f'Count of {entry.name} of the part {group}.'
                yield CounterMetricFamily(name, meaning, count)
        for name, gauge in self._gauges().items():
            meaning = f'{name.replace("_", " ").capitalize()} at this moment.'
            yield GaugeMetricFamily(f'{_PREFIX}_{name}', meaning, gauge)
