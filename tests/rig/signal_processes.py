"""VMs that run as deployed, get signals and serve orders meanwhile."""

from __future__ import annotations

import itertools
import signal
import sys
import sysconfig
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import curio

from flamingovalve.util.listeners import split_address
from flamingovalve.util.network import Network
from standins.platform_runner import HEALTH_PATH, PlatformRunnerStandIn
from standins.platform_store import PlatformStoreStandIn
from tests.rig.addresses import free_address
from tests.rig.linked_processes import ROOT, LinkedProcesses, LinkedVm

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

HOST: Final = 'site.example'
GRACE_SECONDS: Final = 8.0
READY_SECONDS: Final = 30.0
_UPSTREAMS: Final = 3
_POLL_SECONDS: Final = 0.005
_ANSWER_SECONDS: Final = 12.0
_READ_BYTES: Final = 65536
_TIMEOUT_MS: Final = 6000


class DeployedProcesses(LinkedProcesses):
    """Processes that are started with the command of the deploy file."""

    def command(self) -> list[str]:
        """Return the command, with the interpreter of this process."""
        text = (self._root / 'deploy' / 'system.toml').read_text('utf-8')
        run = tomllib.loads(text)['roles']['entry']['run']
        return [sys.executable, *run.split(' ')[1:]]

    def python_path(self) -> str:
        """Return the folders from which a VM imports.

        The command leaves out the folders of installed libraries.
        """
        return ':'.join((str(self._root), sysconfig.get_path('purelib')))


def records_signals(vm: LinkedVm) -> bool:
    """Return whether the process of a VM has a handler for SIGHUP."""
    if vm.process is None:
        return False
    try:
        status = Path(f'/proc/{vm.process.pid}/status').read_text('ascii')
    except OSError:
        return False
    caught = next(
        (line for line in status.splitlines() if line.startswith('SigCgt:')),
        'SigCgt: 0',
    )
    return bool(int(caught.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


class SignalFleet:
    """VMs as processes, a store and a plain service.

    :ivar upstreams: upstreams of the service, which run orders
    """

    def __init__(self, vms: int, root: Path = ROOT) -> None:
        """Describe the fleet.

        :param root: checkout whose gateway is run
        """
        network = Network()
        self._store = PlatformStoreStandIn(network, free_address())
        self._numbers = itertools.count()
        self.upstreams = [
            PlatformRunnerStandIn(network, free_address(), f'app-{index}')
            for index in range(_UPSTREAMS)
        ]
        self.processes = DeployedProcesses(vms, self._store.address, root)
        self.vms = list(self.processes.vms.values())

    def run(self, play: Callable[[], Awaitable[None]]) -> None:
        """Run a play while store and upstreams serve."""
        curio.run(self._run, play)

    async def _run(self, play: Callable[[], Awaitable[None]]) -> None:
        self._publish()
        try:
            async with curio.TaskGroup(wait=None) as stand_ins:
                await stand_ins.spawn(self._store.run)
                for upstream in self.upstreams:
                    await stand_ins.spawn(upstream.run)
                await play()
        finally:
            self.processes.close()

    def _publish(self) -> None:
        route = {
            'Name': 'orders',
            'PathPrefix': '/orders/',
            'Kind': 'non_idempotent',
            'Service': 'app',
            'MaxAttempts': 2,
            'Host': HOST,
            'TimeoutMs': _TIMEOUT_MS,
            'TargetLatencyMs': 1000,
        }
        service = {'Name': 'app', 'HealthPath': HEALTH_PATH}
        self._store.put(
            'op/config',
            {'Version': 5, 'Routes': [route], 'Services': [service]},
        )
        for upstream in self.upstreams:
            entry: dict[str, Any] = {
                'Service': 'app',
                'Addr': upstream.address,
                'Zone': 'east',
                'Slots': 40,
                'State': 'ready',
            }
            self._store.put(f'servers/{upstream.name}', entry)

    # -- Processes

    async def start(self, vm: LinkedVm) -> None:
        """Start a VM and wait until its process records signals."""
        self.processes.start(vm)
        await wait_for(lambda: records_signals(vm) or has_ended(vm))

    async def start_listening(self, vm: LinkedVm) -> None:
        """Start a VM and wait until callers can connect."""
        self.processes.start(vm)
        while not has_ended(vm) and not await _accepts(vm.front):
            await curio.sleep(_POLL_SECONDS)

    async def wait_ready(self, vm: LinkedVm) -> bool:
        """Wait until a VM is ready; return whether it is in time."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end and not has_ended(vm):
            if await self.is_ready(vm):
                return True
            await curio.sleep(_POLL_SECONDS)
        return False

    async def is_ready(self, vm: LinkedVm) -> bool:
        """Return whether a VM says that it is ready."""
        head = f'GET /ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n'
        return await exchange(vm.ready, head.encode()) == 200

    async def status(
        self, vm: LinkedVm, seconds: float = GRACE_SECONDS
    ) -> int | None:
        """Wait for the end of a process; None if it runs on."""
        assert vm.process is not None
        end = time.monotonic() + seconds
        while vm.process.poll() is None and time.monotonic() < end:
            await curio.sleep(_POLL_SECONDS)
        status = vm.process.poll()
        if status is not None:
            vm.process = None
        return status

    # -- Orders

    def new_order(self, body: bytes = b'') -> tuple[str, bytes]:
        """Return the id and the bytes of an order."""
        order_id = f'order-{next(self._numbers)}'
        head = (
            f'POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Attempt-Id: {order_id}\r\nTime-Budget-Ms: {_TIMEOUT_MS}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return order_id, head.encode() + body

    def runs(self, order_id: str) -> int:
        """Return how often upstreams have run an order."""
        return sum(
            upstream.runs_by_request[order_id] for upstream in self.upstreams
        )


def has_ended(vm: LinkedVm) -> bool:
    """Return whether the process of a VM has ended."""
    return vm.process is None or vm.process.poll() is not None


async def wait_for(is_true: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if that takes too long
    """
    end = time.monotonic() + READY_SECONDS
    while not is_true():
        if time.monotonic() > end:
            raise TimeoutError('the condition does not come to hold')
        await curio.sleep(_POLL_SECONDS)


async def exchange(address: str, request: bytes) -> int:
    """Send a request on a connection of its own; return the status, or 0."""
    try:
        opened = await curio.open_connection(*split_address(address))
    except OSError:
        return 0
    async with opened:
        try:
            await opened.sendall(request)
        except OSError:
            return 0
        return await read_status(opened)


async def read_status(opened: Socket) -> int:
    """Read an answer with a length; return its status, 0 if it breaks."""
    received = b''
    try:
        async with curio.timeout_after(_ANSWER_SECONDS):
            while not _is_whole(received):
                part = await opened.recv(_READ_BYTES)
                if not part:
                    return 0
                received += part
    except (OSError, curio.TaskTimeout):
        return 0
    return int(received.split(b' ', 2)[1])


def _is_whole(received: bytes) -> bool:
    head, separator, body = received.partition(b'\r\n\r\n')
    if not separator:
        return False
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return len(body) >= length


async def _accepts(address: str) -> bool:
    try:
        opened = await curio.open_connection(*split_address(address))
    except OSError:
        return False
    await opened.close()
    return True
