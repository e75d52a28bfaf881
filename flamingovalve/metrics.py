"""Prometheus metrics, read from the counts of the components."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Final

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingovalve.daemon import Daemon

PREFIX: Final = 'flamingovalve'

# Help text of each count; the metrics reference is generated from it.
MEANINGS: Final[dict[str, str]] = {
    'http_connections': 'Connections accepted from callers.',
    'http_requests': 'Requests read from callers.',
    'http_refused_connections': 'Connections refused over the limit.',
    'http_malformed': 'Requests refused because they could not be read.',
    'http_slow_callers': 'Callers that stopped sending within a request.',
    'http_stalled_callers': 'Callers that stopped reading their answer.',
    'http_callers_gone': 'Connections that callers closed early.',
    'gossip_sent': 'Membership datagrams sent.',
    'gossip_sent_bytes': 'Bytes of membership datagrams sent.',
    'gossip_received': 'Membership datagrams received.',
    'gossip_received_bytes': 'Bytes of membership datagrams received.',
    'gossip_forged': 'Datagrams dropped for a wrong key.',
    'gossip_garbled': 'Datagrams dropped as undecodable.',
    'gossip_replayed': 'Datagrams dropped as repeated or outdated.',
    'gossip_suspicions': 'Suspicions raised by this VM.',
    'gossip_refuted': 'Suspicions of this VM that it refuted.',
    'gossip_late_wakeups': 'Times this process was found to have been paused.',
    'peer_exchanges': 'Messages sent to other VMs that need a reply.',
    'peer_opened': 'Connections opened to other VMs.',
    'peer_failures': 'Connections to other VMs that failed.',
    'peer_server_connections': 'Connections accepted from other VMs.',
    'peer_server_messages': 'Messages received from other VMs.',
    'peer_server_rejected': 'Peer connections rejected as not authentic.',
    'router_requests': 'Completions routed for callers.',
    'router_local': 'Completions run on an engine of this VM.',
    'router_forwarded': 'Completions forwarded to the owner of their engine.',
    'router_retries': 'Completions retried.',
    'router_spills': 'Completions sent to their next engine because of load.',
    'router_resumed': 'Streams resumed after their VM was lost.',
    'router_failed': 'Completions that failed for good.',
    'forward_completions': 'Completions sent to other VMs.',
    'forward_calls': 'Service calls sent to other VMs.',
    'forward_lost': 'Forwarded requests whose VM was lost.',
    'configuration_accepted': 'Inventory versions accepted.',
    'configuration_refused': 'Published values refused as invalid.',
    'configuration_older': 'Published values ignored as older than ours.',
    'configuration_pages_from_service': 'Pages read from the service.',
    'configuration_pages_from_peers': 'Pages read from other VMs.',
    'configuration_failed_fetches': 'Reads of the configuration that failed.',
    'claims_run': 'Non-idempotent calls run by this VM.',
    'claims_replayed': 'Recorded answers replayed.',
    'claims_sealed': 'Calls answered as sealed: not run, never to run.',
    'claims_unknown': 'Calls whose outcome is not known.',
    'claims_blocked': 'Calls refused because a holder did not answer.',
    'claims_joined': 'Resends that matched the record of an earlier send.',
    'quarantine_crashes': 'Engine crashes seen.',
    'quarantine_suspects': 'Requests suspected after a crash.',
    'quarantine_convicted': 'Requests that crashed an engine alone.',
    'quarantine_cleared': 'Suspects that ran in isolation without a crash.',
    'quarantine_refused': 'Requests refused by the quarantine.',
}

ENGINE_MEANINGS: Final[dict[str, str]] = {
    'dispatched': 'Requests sent to the engine.',
    'refused': 'Requests refused before they reached the engine.',
    'stalled': 'Requests that waited for a load.',
    'stall_seconds': 'Seconds that requests waited for loads.',
    'loads': 'Adapter loads ordered.',
    'failed_loads': 'Adapter loads that failed.',
    'evictions': 'Adapters evicted.',
    'busy_seat_seconds': 'Seat-seconds used.',
    'wanted_seat_seconds': 'Seat-seconds used or waited for.',
}

GAUGES: Final[dict[str, str]] = {
    'ready': 'Whether the VM has a configuration (1) or not (0).',
    'leaving': 'Whether the VM is leaving.',
    'requests_in_progress': 'Requests that this VM is working on.',
    'configuration_version': 'Inventory version in force.',
    'configuration_faults': 'Faults in the newest refused configuration.',
    'configuration_service_calls': 'Calls made to the service so far.',
    'members_present': 'VMs that share the work, as this VM sees it.',
    'members_indirect': 'VMs that only others can reach.',
    'engines_owned': 'Engines that this VM owns.',
    'claims_records': 'Records of non-idempotent calls held.',
    'breakers_open': 'Upstreams whose circuit breaker is open.',
    'quarantined': 'Requests under suspicion or refused.',
    'store_loading': 'Loads of this VM in flight.',
    'store_share': 'Loads that this VM allows itself in flight.',
}

_SECONDS_BUCKETS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.45,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)


class DaemonMetrics(Collector):
    """Turns the counts of a daemon into metrics when they are scraped.

    Serving a request only increments plain counts.
    """

    def __init__(self, daemon: Daemon) -> None:
        """Register the metrics of ``daemon``."""
        self._daemon = daemon
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self.answer_seconds = Histogram(
            f'{PREFIX}_answer_seconds',
            'Time from a completion request to the end of its answer.',
            registry=self._registry,
            buckets=_SECONDS_BUCKETS,
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics."""
        for group, counts in self._daemon.all_counts().items():
            yield from _counters(group, counts)
        for name, meaning in GAUGES.items():
            gauge = self._daemon.gauges()[name]
            yield GaugeMetricFamily(f'{PREFIX}_{name}', meaning, gauge)
        yield from self._engine_counters()

    def _engine_counters(self) -> Iterator[Metric]:
        owners = self._daemon.engines.owners()
        for name, meaning in ENGINE_MEANINGS.items():
            family = CounterMetricFamily(
                f'{PREFIX}_engine_{name}',
                meaning,
                labels=['engine'],
            )
            for owner in owners:
                count = getattr(owner.scheduler.counts, name)
                family.add_metric([owner.engine.id], count)
            yield family


def _counters(group: str, counts: Any) -> Iterator[Metric]:
    for entry in dataclasses.fields(counts):
        name = f'{group}_{entry.name}'
        meaning = MEANINGS.get(name)
        if meaning is not None:
            yield CounterMetricFamily(
                f'{PREFIX}_{name}',
                meaning,
                getattr(counts, entry.name),
            )


def reference() -> str:
    """Return the metrics reference page."""
    rows = ['# Metrics reference', '', 'Generated by `make generate`.', '']
    rows.extend(('| metric | type | meaning |', '| --- | --- | --- |'))
    tables = (
        (MEANINGS, 'counter', ''),
        (ENGINE_MEANINGS, 'counter by engine', 'engine_'),
        (GAUGES, 'gauge', ''),
    )
    for table, kind, infix in tables:
        suffix = '_total' if kind.startswith('counter') else ''
        rows.extend(
            f'| `{PREFIX}_{infix}{name}{suffix}` | {kind} | {meaning} |'
            for name, meaning in table.items()
        )
    rows.append(
        f'| `{PREFIX}_answer_seconds` | histogram | '
        'Time from a completion request to the end of its answer. |',
    )
    return '\n'.join([*rows, ''])
