"""The counts, gauges and state dump of a gateway daemon, for operators."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from flamingovalve.gateway.daemon import GatewayDaemon


def counts_of(daemon: GatewayDaemon) -> dict[str, Any]:
    """Return the counts of each component of ``daemon`` by name."""
    return {
        'http': daemon.http.counts,
        'held': daemon.http.held.counts,
        'gossip': daemon.gossip.counts,
        'peer': daemon.peers.counts,
        'peer_server': daemon.peer_server.counts,
        'catalogue': daemon.catalogue.counts,
        'access': daemon.access.counts,
        'revocation': daemon.guard.counts,
        'quota': daemon.quotas.counts,
        'owner': daemon.owned.total_counts(),
        'quarantine': daemon.quarantine.counts,
        'retry_budget': daemon.retries.budget.counts,
        'stream_versions': daemon.versions.counts,
        **daemon.upstreams.counts(),
        **daemon.calls.counts(),
    }


def gauges_of(daemon: GatewayDaemon) -> dict[str, float]:
    """Return the gauges of ``daemon`` by name."""
    return {
        'ready': daemon.is_ready,
        'leaving': daemon.is_leaving,
        'requests_in_progress': daemon.front.in_progress,
        'configuration_version': daemon.catalogue.configuration.version,
        'catalogue_revision': daemon.catalogue.revision,
        'upstreams_unreachable': len(daemon.upstreams.paths.failing()),
        'services_unreachable': len(
            daemon.upstreams.paths.unreachable_services()
        ),
        'tunnels_forwarded': daemon.upstreams.forwarded.open_count,
        'store_reachable': daemon.follower.reachable,
        'confirmation_age_seconds': daemon.follower.confirmation.age(),
        'members_present': len(daemon.members.present()),
        **daemon.retries.gauges(),
        'engines_owned': daemon.owned.engine_count(),
        'loop_delay_seconds': daemon.directory.delay.mean,
        'held_bytes': daemon.http.held.total,
        'held_bytes_peak': daemon.http.held.peak,
        'held_callers': daemon.http.held.callers,
    }


def state_of(daemon: GatewayDaemon) -> dict[str, Any]:
    """Return the state of ``daemon`` as JSON values."""
    return {
        'vm': daemon.settings.vm.id,
        'leaving': daemon.is_leaving,
        'configuration': daemon.catalogue.configuration.version,
        'revision': daemon.catalogue.revision,
        'in_progress': daemon.front.in_progress,
        'members': {
            name: member.state.value
            for name, member in daemon.members.by_id.items()
        },
        'owners': {
            group: claim.vm for group, claim in daemon.claims.by_group.items()
        },
        'owned': daemon.owned.state_dump(),
        'credit': daemon.quota_keeper.state_dump(),
        'calls': daemon.calls.keeper.state_dump(),
        'upstreams': daemon.upstreams.statuses.state_dump(),
        'cut_off': daemon.upstreams.reachability.state_dump(),
        'unreachable': daemon.upstreams.paths.state_dump(),
        'catalogue': asdict(daemon.catalogue.counts),
    }
