"""Dumps the state of a daemon for operators and tests."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.daemon import Daemon
    from flamingovalve.engines.owner import EngineOwner
    from flamingovalve.membership.members import Member


def state_of(daemon: Daemon) -> dict[str, Any]:
    """Return the state of ``daemon`` as JSON values."""
    settings = daemon.settings
    return {
        'vm': settings.vm.id,
        'failure_domain': settings.vm.failure_domain,
        'incarnation': daemon.incarnation,
        'ready': daemon.is_ready,
        'leaving': daemon.is_leaving,
        'requests_in_progress': daemon.in_progress,
        'configuration': _configuration(daemon),
        'members': {
            vm_id: _member(member)
            for vm_id, member in daemon.members.by_id.items()
        },
        'engines': {
            owner.engine.id: _engine(owner) for owner in daemon.engines.owners()
        },
        'claims': daemon.executor.table.counts_by_state(),
        'store': {
            'loading': daemon.store.loading,
            'share': round(daemon.store.share, 2),
        },
        'spread_adapters': daemon.placement.spreads(),
        'open_breakers': daemon.breakers.open_addresses(),
        'quarantined': len(daemon.quarantine),
        'counts': {
            name: dataclasses.asdict(counts)
            for name, counts in daemon.all_counts().items()
        },
    }


def _configuration(daemon: Daemon) -> dict[str, Any]:
    keeper = daemon.keeper
    return {
        'version': keeper.inventory.version,
        'list_revision': keeper.vm_list.revision if keeper.vm_list else 0,
        'adapters': len(keeper.inventory.adapters),
        'watcher': keeper.is_watcher(),
        'service_calls': daemon.service.calls,
        'service_failures': daemon.service.failures,
        'faults': [str(fault) for fault in keeper.faults],
    }


def _member(member: Member) -> dict[str, Any]:
    return {
        'state': member.state.value,
        'published': member.vm.state.value,
        'incarnation': member.incarnation,
        'present': member.is_present(),
        'direct_path': member.direct,
    }


def _engine(owner: EngineOwner) -> dict[str, Any]:
    scheduler = owner.scheduler
    return {
        'state': owner.state.value,
        'leased': owner.may_dispatch(),
        'running': scheduler.running,
        'waiting': len(scheduler.queue),
        'service_seconds': round(scheduler.services.mean, 4),
        'load_seconds': round(scheduler.loads.mean, 4),
        'residents': {
            resident.name: {
                'state': resident.state.value,
                'pins': resident.pins,
                'idle_seconds': round(clock.now() - resident.used_at, 2),
            }
            for resident in scheduler.residents.by_name.values()
        },
        'counts': dataclasses.asdict(scheduler.counts),
        'ownership': dataclasses.asdict(owner.counts),
    }
