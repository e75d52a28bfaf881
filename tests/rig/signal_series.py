"""Series of signals that overlap, on VMs that serve orders meanwhile."""

from __future__ import annotations

import random
import signal
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

import curio

from flamingovalve.util.listeners import split_address
from tests.rig.linked_processes import ROOT
from tests.rig.signal_processes import (
    GRACE_SECONDS,
    SignalFleet,
    has_ended,
    read_status,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from curio.io import Socket

    from tests.rig.linked_processes import LinkedVm

_CLIENTS_PER_VM: Final = 3
_RUN_SECONDS: Final = (0.02, 0.1, 0.5, 1.5)
_UPTIMES_SECONDS: Final = (0, 0.02, 0.1, 0.3, 0.6, 1.5, 4.0)
_MAX_FLOOD: Final = 3000
_MAX_SERIES: Final = 40
_LOG_LINES: Final = 40
_CHANGES: Final = (
    {},
    {'format = json': 'format = text'},
    {'format = json': 'format = json\nlevel = warning'},
    {'idle_pool_seconds = 10': 'idle_pool_seconds = 9'},
    {'connections = 1000': 'connections = 900'},
)
_FAULTY_TEXTS: Final = ('', '[vm]\nid = ha', '[vm\n', 'no section')


class SignalSeries:
    """One play, from a seed; what the VMs do also depends on the machine.

    :ivar violations: a description of each violation
    :ivar steps: how often each disturbance occurred
    :ivar answers: number of orders by status; 0 for none
    :ivar longest_stop: seconds from the signal to the end of a process
    """

    def __init__(self, seed: int, vms: int, root: Path = ROOT) -> None:
        """Describe the play.

        :param root: checkout whose gateway is run
        """
        self.violations: list[str] = []
        self.steps: Counter[str] = Counter()
        self.answers: Counter[int] = Counter()
        self.starts = 0
        self.longest_stop = 0.0
        self._rng = random.Random(f'signals {seed}')
        self._fleet = SignalFleet(vms, root)
        self._order_ids: list[str] = []
        self._ends_at = 0.0
        for upstream in self._fleet.upstreams:
            upstream.run_seconds = self._rng.choice(_RUN_SECONDS)

    def play(self, seconds: float) -> None:
        """Send signals for some time, then check that all VMs serve."""
        self._ends_at = time.monotonic() + seconds

        async def play_all() -> None:
            async with curio.TaskGroup(wait=None) as clients:
                await self._play(clients)

        self._fleet.run(play_all)

    async def _play(self, clients: curio.TaskGroup) -> None:
        async with curio.TaskGroup() as lives:
            for vm in self._fleet.vms:
                await lives.spawn(self._live, vm)
                for _client in range(_CLIENTS_PER_VM):
                    await clients.spawn(self._send_forever, vm)
        for vm in self._fleet.vms:
            if not await self._fleet.wait_ready(vm):
                self.violations.append(f'{vm.name} does not serve at the end')
        self.violations += [
            f'{order_id} ran {self._fleet.runs(order_id)} times'
            for order_id in self._order_ids
            if self._fleet.runs(order_id) > 1
        ]

    # -- Processes

    async def _live(self, vm: LinkedVm) -> None:
        """Start, disturb and stop a VM until the play is over."""
        while time.monotonic() < self._ends_at:
            await self._fleet.start(vm)
            self.starts += 1
            if has_ended(vm):
                self.violations.append(f'{vm.name} ended as it started')
            async with curio.TaskGroup() as disturbances:
                await self._disturb(vm, disturbances)
                await curio.sleep(self._rng.choice(_UPTIMES_SECONDS))
                await self._stop(vm)
            vm.process = None
        await self._fleet.start(vm)

    async def _disturb(
        self, vm: LinkedVm, disturbances: curio.TaskGroup
    ) -> None:
        """Begin disturbances that outlast the VM, or end before it."""
        kinds: tuple[Callable[[LinkedVm], Awaitable[None]], ...] = (
            self._flood,
            self._send_series,
            self._change_settings,
            self._spoil_settings,
        )
        for disturb in self._rng.sample(kinds, self._rng.randint(1, 3)):
            self.steps[disturb.__name__.strip('_')] += 1
            await disturbances.spawn(disturb, vm)

    async def _stop(self, vm: LinkedVm) -> None:
        process = vm.process
        assert process is not None
        if process.poll() is not None:
            status = process.returncode
            self.violations.append(f'{vm.name} ended by itself: {status}')
            return
        number = self._rng.choice((signal.SIGTERM, signal.SIGINT))
        for _repeat in range(self._rng.choice((1, 1, 5, 50))):
            process.send_signal(number)
        began_at = time.monotonic()
        status = await self._fleet.status(vm, GRACE_SECONDS)
        self.longest_stop = max(self.longest_stop, time.monotonic() - began_at)
        if status != 0:
            log = self._fleet.processes.log(vm).splitlines()[-_LOG_LINES:]
            self.violations.append(
                f'{vm.name} was stopped: {status}\n' + '\n'.join(log)
            )
            self._fleet.processes.kill(vm)

    async def _flood(self, vm: LinkedVm) -> None:
        """Send many SIGHUPs in a row."""
        for _repeat in range(self._rng.randrange(_MAX_FLOOD)):
            self._signal(vm, signal.SIGHUP)

    async def _send_series(self, vm: LinkedVm) -> None:
        """Send a SIGHUP again and again, also while the VM drains."""
        pause = self._rng.uniform(0.001, 0.2)
        for _repeat in range(self._rng.randrange(_MAX_SERIES)):
            self._signal(vm, signal.SIGHUP)
            await curio.sleep(pause)

    async def _change_settings(self, vm: LinkedVm) -> None:
        """Change the settings, with a SIGHUP for each change."""
        for _repeat in range(self._rng.randint(1, 5)):
            change = self._rng.choice(_CHANGES)
            self._fleet.processes.write_settings(vm, change)
            self._signal(vm, signal.SIGHUP)
            await curio.sleep(self._rng.uniform(0, 0.5))

    async def _spoil_settings(self, vm: LinkedVm) -> None:
        """Leave faulty settings for a moment, once the VM has read them."""
        while not has_ended(vm) and not await self._fleet.is_ready(vm):
            await curio.sleep(0.05)
        text = self._rng.choice(_FAULTY_TEXTS)
        self._fleet.processes.write_text(vm, text)
        self._signal(vm, signal.SIGHUP)
        await curio.sleep(self._rng.uniform(0, 0.3))
        self._fleet.processes.write_settings(vm)
        self._signal(vm, signal.SIGHUP)

    def _signal(self, vm: LinkedVm, number: signal.Signals) -> None:
        process = vm.process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    # -- Callers

    async def _send_forever(self, vm: LinkedVm) -> None:
        while True:
            try:
                opened = await curio.open_connection(*split_address(vm.front))
            except OSError:
                await curio.sleep(0.02)
                continue
            async with opened:
                await self._use(opened, vm)

    async def _use(self, opened: Socket, vm: LinkedVm) -> None:
        """Send orders over a connection until the VM closes it."""
        status = 1
        while status:
            order_id, request = self._fleet.new_order(b'x' * 200)
            self._order_ids.append(order_id)
            half = self._rng.randrange(len(request))
            try:
                await opened.sendall(request[:half])
                if self._rng.random() < 0.2:
                    await curio.sleep(self._rng.uniform(0, 6))
                await opened.sendall(request[half:])
            except OSError:
                status = 0
            else:
                status = await read_status(opened)
                self._check(order_id, status, vm)
            self.answers[status] += 1
            await curio.sleep(self._rng.uniform(0, 0.05))

    def _check(self, order_id: str, status: int, vm: LinkedVm) -> None:
        """Check the answer to an order that was sent completely."""
        ran = self._fleet.runs(order_id)
        if ran and not status:
            self.violations.append(f'{order_id} ran at {vm.name}, no answer')
        if ran and status == 503:
            self.violations.append(f'{order_id} ran and was refused')
