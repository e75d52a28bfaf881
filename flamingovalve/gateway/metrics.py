"""Counters, gauges and latency histograms of the gateway."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Final

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
    from collections.abc import Iterator

    from flamingovalve.gateway.daemon import GatewayDaemon

_PREFIX: Final = 'flamingovalve'
_BUCKETS: Final = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class GatewayMetrics(Collector):
    """What the gateway counts, in the Prometheus text format.

    The modules keep plain counts; they are read when somebody asks.
    """

    def __init__(self, daemon: GatewayDaemon) -> None:
        """Describe ``daemon``."""
        self._daemon = daemon
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
        for group, counts in self._daemon.all_counts().items():
            for entry in dataclasses.fields(counts):
                name = f'{_PREFIX}_{group}_{entry.name}'
                count = getattr(counts, entry.name)
                meaning = f'Count of {entry.name} of the part {group}.'
                yield CounterMetricFamily(name, meaning, count)
        for name, gauge in self._daemon.gauges().items():
            meaning = f'{name.replace("_", " ").capitalize()} at this moment.'
            yield GaugeMetricFamily(f'{_PREFIX}_{name}', meaning, gauge)
