"""Counters and latency histograms of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    generate_latest,
)

if TYPE_CHECKING:
    from flamingovalve.gateway.daemon import GatewayDaemon

_BUCKETS: Final = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class GatewayMetrics:
    """What the gateway counts, in the Prometheus text format."""

    def __init__(self, daemon: GatewayDaemon) -> None:
        """Describe ``daemon``."""
        self._daemon = daemon
        self._registry = CollectorRegistry()
        self._requests = Counter(
            'flamingovalve_requests',
            'Requests of callers, by outcome.',
            ['outcome'],
            registry=self._registry,
        )
        self._seconds = Histogram(
            'flamingovalve_request_seconds',
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
