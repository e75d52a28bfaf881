"""Demo of both deployments, scaled down: load, failover and a payment."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from urllib import error as http_error
from urllib import request as http_request

import curio

from demo.load import Load
from demo.processes import (
    APPLICATION,
    Processes,
    Shape,
    Vm,
    get_json,
)
from flamingovalve.cmd.tables import table

REQUESTS = int(os.environ.get('DEMO_REQUESTS', '240'))
RATE = 40.0
SEED = 7
MAX_TAKEOVER_SECONDS = 30

INDUS_CREST = Shape(
    'Indus Crest',
    ('korangi', 'site-area', 'landhi', 'port-qasim'),
    vms=5,
    engines=5,
    service_replicas=2,
)
ZAHRADNI_KARTA = Shape(
    'Zahradní Karta',
    ('praha-a', 'praha-b', 'brno-c'),
    vms=4,
    engines=4,
    service_replicas=2,
    fencing=False,
)


def main() -> int:
    """Run the demo and return its exit status: 0 if every check passed."""
    rows = []
    all_passed = True
    for shape in (INDUS_CREST, ZAHRADNI_KARTA):
        print(
            f'{shape.name}: starting {shape.vms} VMs, {shape.engines} '
            f'engines, {shape.adapters} adapters'
        )
        with Processes(shape) as fleet:
            fleet.wait_ready()
            all_passed &= _show_commands(fleet.vms[0])
            row, passed = _show_load(fleet)
            rows.append((shape.name, *row))
            all_passed &= passed
            all_passed &= _show_payment(fleet)
    headings = (
        'DEPLOYMENT',
        'REQUESTS',
        'RIGHT',
        'WRONG',
        'FAILED',
        'TRIES',
        'P50 S',
        'P95 S',
        'NEW OWNER S',
    )
    print()
    print(table(headings, rows))
    print('all is well' if all_passed else 'SOMETHING WENT WRONG')
    return 0 if all_passed else 1


def _show_commands(vm: Vm) -> bool:
    command = [
        sys.executable,
        '-m',
        'flamingovalve.cmd.flamingovalve',
        'send',
        vm.http_address,
        'hello',
        '--model',
        'adapter-00001@1',
        '--application',
        APPLICATION,
    ]
    print('$ flamingovalve', *command[3:])
    return subprocess.run(command, check=False).returncode == 0


def _show_load(fleet: Processes) -> tuple[tuple[object, ...], bool]:
    addresses = [vm.http_address for vm in fleet.vms]
    load = Load(addresses[1:], fleet.shape.adapters, SEED)
    victim = _pick_owner(fleet)
    takeover = Takeover(fleet, victim)
    curio.run(load.run, REQUESTS, RATE, takeover.start)
    takeover.join()
    figures = load.figures
    row = (
        REQUESTS,
        figures.answered,
        figures.wrong,
        figures.failed,
        figures.tries,
        round(figures.percentile(0.5), 2),
        round(figures.percentile(0.95), 2),
        f'under {takeover.seconds:.1f}',
    )
    return row, figures.answered == REQUESTS


def _pick_owner(fleet: Processes) -> Vm:
    owners = set(fleet.owners().values())
    return next(vm for vm in fleet.vms[1:] if vm.id in owners)


class Takeover(threading.Thread):
    """Kills an owner under load and times the takeover of its engines.

    :ivar seconds: time from the signal to the first poll that finds an owner
        for every engine; infinite if none does
    """

    def __init__(self, fleet: Processes, victim: Vm) -> None:
        """Create a thread that kills ``victim`` when it is started."""
        super().__init__()
        self.seconds = float('inf')
        self._fleet = fleet
        self._victim = victim

    def run(self) -> None:
        """Kill the VM and poll until every engine has an owner."""
        print(f'SIGKILL to {self._victim.id}, which owns engines')
        self._fleet.signal(self._victim, signal.SIGKILL)
        killed_at = time.monotonic()
        while time.monotonic() - killed_at < MAX_TAKEOVER_SECONDS:
            if len(self._fleet.owners()) == self._fleet.shape.engines:
                self.seconds = time.monotonic() - killed_at
                return
            time.sleep(0.1)


def _show_payment(fleet: Processes) -> bool:
    ready_vms = [vm for vm in fleet.vms if get_json(vm.http_address, '/readyz')]
    query = f'service=orders&call=pay&application={APPLICATION}'
    entry = get_json(ready_vms[0].http_address, f'/v1/entry?{query}')
    assert entry is not None
    responses = [
        _pay(vm.http_address, entry['permit'])
        for vm in (*ready_vms[:3], ready_vms[0])
    ]
    runs = sum(
        _runs(address, entry['permit']) for address in fleet.service_addresses
    )
    print(f'one payment sent {len(responses)} times through 3 VMs: ran {runs}x')
    return runs == 1 and len(set(responses)) == 1


def _pay(address: str, permit: str) -> bytes:
    request = http_request.Request(
        f'http://{address}/v1/services/orders/pay',
        json.dumps({'order': 'renewal-1'}).encode(),
        {
            'authorization': f'Bearer {APPLICATION}',
            'idempotency-key': permit,
            'content-type': 'application/json',
        },
    )
    try:
        with http_request.urlopen(request, timeout=30) as response:
            return response.read()
    except http_error.HTTPError as error:
        return error.read()


def _runs(address: str, _permit: str) -> int:
    request = http_request.Request(f'http://{address}/control', b'{}')
    with http_request.urlopen(request, timeout=10) as response:
        return json.load(response)['runs']


if __name__ == '__main__':
    sys.exit(main())
