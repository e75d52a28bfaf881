"""Shows both deployments' shape, small: load, a loss, a payment."""

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
WATCH_SECONDS = 30

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
    """Run the demo; the exit status tells whether all went well."""
    rows = []
    well = True
    for shape in (INDUS_CREST, ZAHRADNI_KARTA):
        print(
            f'{shape.name}: starting {shape.vms} VMs, {shape.engines} '
            f'engines, {shape.adapters} adapters'
        )
        with Processes(shape) as fleet:
            fleet.wait_ready()
            well &= _show_commands(fleet.vms[0])
            row, good = _show_load(fleet)
            rows.append((shape.name, *row))
            well &= good
            well &= _show_payment(fleet)
    head = (
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
    print(table(head, rows))
    print('all is well' if well else 'SOMETHING WENT WRONG')
    return 0 if well else 1


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
    victim = _an_owner(fleet)
    watch = Takeover(fleet, victim)
    curio.run(load.run, REQUESTS, RATE, watch.start)
    watch.join()
    figures = load.figures
    row = (
        REQUESTS,
        figures.answered,
        figures.wrong,
        figures.failed,
        figures.tries,
        round(figures.percentile(0.5), 2),
        round(figures.percentile(0.95), 2),
        f'under {watch.seconds:.1f}',
    )
    return row, figures.answered == REQUESTS


def _an_owner(fleet: Processes) -> Vm:
    owners = set(fleet.owners().values())
    return next(vm for vm in fleet.vms[1:] if vm.id in owners)


class Takeover(threading.Thread):
    """Kills an owner and measures, beside the load, until others own.

    :ivar seconds: from the signal to the first look that shows it
    """

    def __init__(self, fleet: Processes, victim: Vm) -> None:
        """Kill ``victim`` once started."""
        super().__init__()
        self.seconds = float('inf')
        self._fleet = fleet
        self._victim = victim

    def run(self) -> None:
        """Kill and watch."""
        print(f'SIGKILL to {self._victim.id}, which owns engines')
        self._fleet.signal(self._victim, signal.SIGKILL)
        killed_at = time.monotonic()
        while time.monotonic() - killed_at < WATCH_SECONDS:
            if len(self._fleet.owners()) == self._fleet.shape.engines:
                self.seconds = time.monotonic() - killed_at
                return
            time.sleep(0.1)


def _show_payment(fleet: Processes) -> bool:
    alive = [vm for vm in fleet.vms if get_json(vm.http_address, '/readyz')]
    query = f'service=orders&call=pay&application={APPLICATION}'
    entry = get_json(alive[0].http_address, f'/v1/entry?{query}')
    assert entry is not None
    answers = [
        _pay(vm.http_address, entry['permit']) for vm in (*alive[:3], alive[0])
    ]
    runs = sum(
        _runs(address, entry['permit']) for address in fleet.service_addresses
    )
    print(f'one payment sent {len(answers)} times through 3 VMs: ran {runs}x')
    return runs == 1 and len(set(answers)) == 1


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
        with http_request.urlopen(request, timeout=30) as answered:
            return answered.read()
    except http_error.HTTPError as refused:
        return refused.read()


def _runs(address: str, _permit: str) -> int:
    request = http_request.Request(f'http://{address}/control', b'{}')
    with http_request.urlopen(request, timeout=10) as answered:
        return json.load(answered)['runs']


if __name__ == '__main__':
    sys.exit(main())
