"""Gateway daemons as processes on loopback, before upstreams that reject.

Run as a program, it is the store and the upstreams; each request that reaches
an upstream is written to standard output with its time.
"""

from __future__ import annotations

import http.client
import itertools
import os
import random
import subprocess
import sys
import tempfile
import threading
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final, Self

import curio

from flamingovalve.http.messages import Response
from flamingovalve.util.network import Network
from standins.platform_runner import HEALTH_PATH, PlatformRunnerStandIn
from standins.platform_store import PlatformStoreStandIn
from tests.rig.addresses import free_address
from tests.rig.retry_rule import Allowance, RetryHistory

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable, Iterable
    from types import TracebackType

    from flamingovalve.http.messages import Request
    from flamingovalve.http.server import Responder

HOST: Final = 'site.example'
_BOOT_MODULE: Final = 'flamingovalve.cmd.boot'
_OWN_MODULE: Final = 'tests.rig.budget_processes'
_UPSTREAMS: Final = 4
_HEARTBEAT_SECONDS: Final = 1.0
_STOP_SECONDS: Final = 10
_READY_SECONDS: Final = 30
_POLL_SECONDS: Final = 0.1
_CLIENT_SECONDS: Final = 4.0
_OK: Final = 200


class _RejectingRunner(PlatformRunnerStandIn):
    """A plain upstream that rejects each request and reports its arrival."""

    async def run_request(self, request: Request, responder: Responder) -> None:
        """Reject one request."""
        attempt = request.headers.get('attempt-id', '')
        sys.stdout.write(f'{time.monotonic()} {attempt}\n')
        sys.stdout.flush()
        await responder.send(Response(503, [('Not-Executed', '1')]))


async def _serve_upstreams(store_address: str, addresses: list[str]) -> None:
    network = Network()
    store = PlatformStoreStandIn(network, store_address)
    route = {
        'Name': 'reads',
        'PathPrefix': '/reads/',
        'Kind': 'idempotent',
        'Service': 'app',
        'MaxAttempts': 2,
        'Host': HOST,
        'TimeoutMs': 5000,
        'TargetLatencyMs': 1000,
    }
    service = {'Name': 'app', 'HealthPath': HEALTH_PATH}
    configuration = {'Version': 5, 'Routes': [route], 'Services': [service]}
    store.put('op/config', configuration)
    for index, address in enumerate(addresses):
        runner = _RejectingRunner(network, address, f'app-{index}')
        await curio.spawn(runner.run, daemon=True)
    await curio.spawn(store.run, daemon=True)
    while True:
        for index, address in enumerate(addresses):
            entry = {
                'Service': 'app',
                'Addr': address,
                'Zone': 'east',
                'Slots': 8,
                'State': 'ready',
            }
            store.put(f'servers/app-{index}', entry)
        await curio.sleep(_HEARTBEAT_SECONDS)


@dataclass
class GatewayVm:
    """A VM and its current process.

    :ivar seeds: peer addresses of the VMs that it asks for the others
    """

    name: str
    front: str
    directory: str
    peer: str
    seeds: list[str]
    process: subprocess.Popen[bytes] | None = None


class BudgetProcesses:
    """Processes of VMs and upstreams, and clients that count retries.

    :ivar served: number of requests that were served
    """

    def __init__(
        self, vms: int, allowance: Allowance, seed: int = 1, seeds: int = 3
    ) -> None:
        """Describe the processes; they start on entry.

        :param seeds: VMs that all VMs ask for the others; 0 lets each VM know
            two addresses at which no VM listens, and no other VM
        """
        self.allowance = allowance
        self.served = 0
        self._rng = random.Random(f'processes {seed}')
        self._request_times: list[float] = []
        self._numbers = itertools.count()
        self._clients: list[threading.Thread] = []
        self.vms = [
            GatewayVm(
                f'vm-{index}',
                free_address(),
                free_address(),
                free_address(),
                [],
            )
            for index in range(vms)
        ]
        for vm in self.vms:
            unused = [free_address(), free_address()]
            vm.seeds = [one.peer for one in self.vms[:seeds]] or unused
        self._store = free_address()
        self._upstreams: subprocess.Popen[bytes]

    def __enter__(self) -> Self:
        """Start the upstreams and all VMs."""
        self._directory = tempfile.TemporaryDirectory()
        self._arrivals = Path(self._directory.name) / 'arrivals'
        addresses = [free_address() for _index in range(_UPSTREAMS)]
        with self._arrivals.open('wb') as output:
            self._upstreams = subprocess.Popen(
                [sys.executable, '-m', _OWN_MODULE, self._store, *addresses],
                stdout=output,
            )
        for vm in self.vms:
            self.start(vm)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Kill every process that this object started."""
        for client in self._clients:
            client.join()
        for vm in self.vms:
            self.kill(vm)
        self._upstreams.kill()
        self._upstreams.wait(_STOP_SECONDS)
        self._directory.cleanup()

    # -- Processes

    def start(self, vm: GatewayVm) -> None:
        """Start the process of a VM."""
        folder = Path(self._directory.name)
        path = folder / f'{vm.name}.ini'
        path.write_text(self._settings(vm), 'utf-8')
        with (folder / f'{vm.name}.log').open('ab') as output:
            vm.process = subprocess.Popen(
                [sys.executable, '-m', _BOOT_MODULE],
                env={**os.environ, 'FLAMINGOVALVE_BOOT': str(path)},
                stdout=output,
            )

    def kill(self, vm: GatewayVm) -> None:
        """Kill the process of a VM, also if it is stopped."""
        if vm.process is not None:
            vm.process.kill()
            vm.process.wait(_STOP_SECONDS)
        vm.process = None

    def restart(self, vms: Iterable[GatewayVm]) -> None:
        """Kill and start VMs at once."""
        chosen = list(vms)
        for vm in chosen:
            self.kill(vm)
        for vm in chosen:
            self.start(vm)

    def send_signal(
        self, vms: Iterable[GatewayVm], number: signal.Signals
    ) -> None:
        """Send a signal to the processes of VMs."""
        for vm in vms:
            if vm.process is not None:
                vm.process.send_signal(number)

    def wait_reachable(self) -> None:
        """Wait until a request through each VM has reached an upstream.

        :raises TimeoutError: if that takes too long
        """
        end = time.monotonic() + _READY_SECONDS
        for vm in self.vms:
            while not self._reaches_upstream(vm):
                if time.monotonic() > end:
                    raise TimeoutError(f'{vm.name} does not get ready')
                time.sleep(_POLL_SECONDS)

    def log(self, vm: GatewayVm) -> str:
        """Return what the processes of a VM have logged."""
        path = Path(self._directory.name) / f'{vm.name}.log'
        return path.read_text('utf-8')

    # -- Clients

    def play(self, seconds: float, per_second: float = 20) -> None:
        """Send requests at random times to random VMs."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self._rng.expovariate(per_second))
            client = threading.Thread(
                target=self._send, args=(self._rng.choice(self.vms),)
            )
            client.start()
            self._clients.append(client)

    def settle(self) -> None:
        """Wait until all clients are done."""
        for client in self._clients:
            client.join()
        self._clients.clear()

    def history(self) -> RetryHistory:
        """Return the requests so far and the retries at the upstreams."""
        arrivals = defaultdict(list)
        for line in self._arrivals.read_text('utf-8').splitlines():
            at, attempt = line.split(' ')
            arrivals[attempt].append(float(at))
        retries = [
            at for times in arrivals.values() for at in sorted(times)[1:]
        ]
        return RetryHistory(self.allowance, self._request_times, retries)

    def _send(self, vm: GatewayVm) -> bool:
        """Send a request; return whether a VM has answered."""
        number = next(self._numbers)
        self._request_times.append(time.monotonic())
        caller = http.client.HTTPConnection(vm.front, timeout=_CLIENT_SECONDS)
        headers = {
            'Host': HOST,
            'Attempt-Id': f'attempt-{number}',
            'Time-Budget-Ms': str(int(_CLIENT_SECONDS * 1000)),
        }
        try:
            caller.request('POST', f'/reads/{number}', b'body', headers)
            status = caller.getresponse().status
        except (OSError, http.client.HTTPException):
            return False
        finally:
            caller.close()
        self.served += status == _OK
        return True

    def _reaches_upstream(self, vm: GatewayVm) -> bool:
        before = self._arrivals.stat().st_size
        return self._send(vm) and self._arrivals.stat().st_size > before

    def _settings(self, vm: GatewayVm) -> str:
        domain = 'east' if int(vm.name.removeprefix('vm-')) % 2 else 'west'
        return (
            f'[vm]\nid = {vm.name}\nfailure_domain = {domain}\n'
            f'http_address = {vm.front}\npeer_address = {vm.peer}\n'
            'memory_mb = 152\n'
            f'[platform]\nstore = {self._store}\n'
            f'directory_address = {vm.directory}\n'
            f'[fleet]\nopen = true\nseeds = {",".join(vm.seeds)}\n'
            'probe_seconds = 0.5\nack_seconds = 0.15\n'
            'suspicion_seconds = 0.8\n'
            f'[gateway]\nretry_ratio = {self.allowance.ratio}\n'
            f'retry_slack = {self.allowance.slack}\n'
            f'retry_window_seconds = {self.allowance.window}\n'
            '[relay]\nconnect_seconds = 0.4\n'
            '[logging]\nformat = json\n'
        )


def _main(arguments: list[str], run: Callable[..., None] = curio.run) -> None:
    run(_serve_upstreams, arguments[0], arguments[1:])


if __name__ == '__main__':
    _main(sys.argv[1:])
