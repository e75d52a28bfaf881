"""Failover of twenty real daemons: ``python -m benchmarks.processes``.

Kills one owner and stops another, and measures until each engine has one
owner again.
"""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

from benchmarks.relay import processor_seconds, resident_bytes
from demo.processes import Processes, Shape, get_json
from flamingovalve.cmd.tables import table

if TYPE_CHECKING:
    from demo.processes import Vm

SHAPE = Shape(
    'twenty',
    ('korangi', 'site-area', 'landhi', 'port-qasim'),
    vms=20,
    engines=8,
    service_replicas=1,
)
IDLE_SECONDS = 20
STOP_SECONDS = 15
SETTLE_SECONDS = 40


def main() -> None:
    """Measure the idle cost and the failover times and print them."""
    with Processes(SHAPE) as fleet:
        fleet.wait_ready(60)
        time.sleep(5)
        _print_idle(fleet)
        rows = []
        killed = _pick_owner(fleet, set())
        fleet.signal(killed, signal.SIGKILL)
        rows.append(
            ('SIGKILL to an owner', _time_to_settle(fleet, {killed.id}))
        )
        frozen = _pick_owner(fleet, {killed.id})
        fleet.signal(frozen, signal.SIGSTOP)
        excluded_ids = {killed.id, frozen.id}
        rows.append(
            ('SIGSTOP to an owner', _time_to_settle(fleet, excluded_ids))
        )
        time.sleep(STOP_SECONDS)
        fleet.signal(frozen, signal.SIGCONT)
        rows.append(('SIGCONT', _time_to_settle(fleet, {killed.id})))
        print(table(('EVENT', 'ONE OWNER EACH AFTER S'), rows))


def _print_idle(fleet: Processes) -> None:
    before = [_usage(vm) for vm in fleet.vms]
    time.sleep(IDLE_SECONDS)
    after = [_usage(vm) for vm in fleet.vms]
    rows = []
    for index, name in enumerate(('core', 'datagram bytes/s', 'datagrams/s')):
        rates = sorted(
            (last[index] - first[index]) / IDLE_SECONDS
            for first, last in zip(before, after, strict=True)
        )
        scale = 100 if name == 'core' else 1
        unit = '%' if name == 'core' else ''
        rows.append(
            (
                name,
                f'{rates[len(rates) // 2] * scale:.2f}{unit}',
                f'{rates[-1] * scale:.2f}{unit}',
            ),
        )
    memory = sorted(resident_bytes(_pid(vm)) / 1e6 for vm in fleet.vms)
    rows.append(('resident MB', f'{memory[10]:.0f}', f'{memory[-1]:.0f}'))
    print(table(('A VM WITHOUT REQUESTS', 'MEDIAN', 'WORST'), rows))
    print()


def _usage(vm: Vm) -> tuple[float, float, float]:
    state = get_json(vm.http_address, '/state') or {}
    gossip = state['counts']['gossip']
    return processor_seconds(_pid(vm)), gossip['sent_bytes'], gossip['sent']


def _pid(vm: Vm) -> int:
    assert vm.process is not None
    return vm.process.pid


def _pick_owner(fleet: Processes, excluded: set[str]) -> Vm:
    owners = set(fleet.owners().values()) - excluded
    return next(vm for vm in fleet.vms if vm.id in owners)


def _time_to_settle(fleet: Processes, excluded_ids: set[str]) -> str:
    started_at = time.monotonic()
    observed_vms = [vm for vm in fleet.vms if vm.id not in excluded_ids]
    while time.monotonic() - started_at < SETTLE_SECONDS:
        if _is_settled(observed_vms):
            return f'under {time.monotonic() - started_at:.1f}'
        time.sleep(0.1)
    return f'not within {SETTLE_SECONDS}'


def _is_settled(observed_vms: list[Vm]) -> bool:
    owned: list[str] = []
    for vm in observed_vms:
        state = get_json(vm.http_address, '/state') or {}
        for engine, entry in state.get('engines', {}).items():
            if entry['leased']:
                owned.append(engine)
    return sorted(owned) == sorted(set(owned)) and len(owned) == SHAPE.engines


if __name__ == '__main__':
    main()
