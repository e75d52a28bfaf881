# flake8: noqa: WPS
"""Runners that leave without a report while VMs are restarted in turn."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig'))

from fleet import BOUNDS, Addresses, Fleet, Record, Vm
from runner import Runner
from store import Store
from wire import ask

HOST = 'site.example'
VMS = 4
ZONES = 4
RUNNERS = 12
PLAY_SECONDS = 95
LEAVING = 3
LINGER_SECONDS = 1.5
# Loopback has none of the delays of links, which take as long as the store.
STORE_ANSWER_SECONDS = 0.001
REQUESTS_PER_SECOND = 60
WAIT_SECONDS = 1.3
# A process reads the store about half a second after its start.
FIRST_LEAVES_SECONDS = 0.4
BETWEEN_LEAVES_SECONDS = 0.12
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

CONFIGURATION: dict[str, Any] = {
    'Version': 5,
    'Routes': [
        {
            'Name': 'reads',
            'Host': HOST,
            'PathPrefix': '/reads/',
            'Kind': 'idempotent',
            'Service': 'app',
            'MaxAttempts': 2,
            'TimeoutMs': 1000,
            'TargetLatencyMs': 100,
            'Priority': 2,
        }
    ],
    'Services': [{'Name': 'app', 'HealthPath': '/health'}],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 4194304,
        'HeaderTimeoutMs': 5000,
        'IdleTimeoutMs': 15000,
    },
}


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        """Describe the deployment."""
        self.record = record
        self.ids = itertools.count(1)
        self.addresses = Addresses()
        self.store = Store(STORE_ANSWER_SECONDS)
        self.store_address = self.addresses.address()
        self.fleet = Fleet(self.addresses, self.store_address, VMS, ZONES)
        self.rng = random.Random(1)
        self.numbers = itertools.count()
        self.runners: list[Runner] = []
        self.all_runners: list[Runner] = []
        self.gone_at: dict[str, float] = {}
        self.sent_by: dict[str, tuple[Vm, float]] = {}
        self.down: set[str] = set()
        self.restarts: dict[str, list[tuple[float, float]]] = {
            vm.name: [] for vm in self.fleet.vms
        }

    async def add_runner(self) -> None:
        """Start a runner."""
        index = next(self.numbers)
        runner = Runner(
            self.store,
            f'i-{index:03d}',
            'app',
            self.addresses.address(),
            f'zone-{index % ZONES}',
        )
        await runner.start()
        self.runners.append(runner)
        self.all_runners.append(runner)

    async def run(self) -> int:
        """Play; return the exit code."""
        await self.store.open(self.store_address)
        self.store.on_read = lambda: self.record.add('a gateway reads all')
        self.store.put('op/config', CONFIGURATION)
        for _runner in range(RUNNERS):
            await self.add_runner()
            await asyncio.sleep(0.1)
        try:
            return await self._play()
        finally:
            self.fleet.close()
            for runner in self.all_runners:
                await runner.stop()
            await self.store.close()

    async def _play(self) -> int:
        for vm in self.fleet.vms:
            self.fleet.start(vm)
        await self.fleet.wait_ready()
        await asyncio.sleep(5)
        clients = asyncio.create_task(self._clients())
        end = time.monotonic() + PLAY_SECONDS
        for vm in itertools.cycle(self.fleet.vms):
            if time.monotonic() > end:
                break
            await self._restart(vm)
        await asyncio.sleep(3)
        clients.cancel()
        broken = self._check()
        self.record.add('the rule ' + ('was broken' if broken else 'held'))
        return 1 if broken else 0

    async def _restart(self, vm: Vm) -> None:
        """Restart a VM; some runners leave as it returns."""
        if TROUBLE:
            self.down.add(vm.name)
            terminated_at = time.monotonic()
            self.fleet.signal(vm, signal.SIGTERM)
            self.record.add(f'SIGTERM to {vm.name}')
            await self.fleet.wait_ended(vm, BOUNDS['GraceS'])
            self.fleet.start(vm)
            self.restarts[vm.name].append((terminated_at, vm.started_at))
            self.record.add(f'{vm.name} is started')
        await asyncio.sleep(FIRST_LEAVES_SECONDS)
        for _runner in range(LEAVING):
            await self._leave()
            await asyncio.sleep(BETWEEN_LEAVES_SECONDS)
        await self.fleet.wait_ready([vm])
        self.record.add(f'{vm.name} is ready')
        self.down.discard(vm.name)
        await asyncio.sleep(WAIT_SECONDS)

    async def _leave(self) -> None:
        """Let a runner leave without a report, and another one replace it."""
        runner = self.runners.pop(0)
        runner.stop_beats()
        revision = self.store.delete(runner.key)
        self.gone_at[runner.name] = time.monotonic()
        self.record.add(f'{runner.name} is removed, revision {revision}')
        await self.add_runner()
        asyncio.get_running_loop().call_later(
            BOUNDS['DrainMs'] / 1000 + LINGER_SECONDS,
            lambda: asyncio.create_task(self._exit(runner)),
        )

    async def _exit(self, runner: Runner) -> None:
        await runner.stop()
        self.record.add(f'{runner.name} exits')

    async def _clients(self) -> None:
        while True:
            vms = [vm for vm in self.fleet.vms if vm.name not in self.down]
            asyncio.create_task(self._send(self.rng.choice(vms)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def _send(self, vm: Vm) -> None:
        attempt = f'{next(self.ids):016x}'
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Time-Budget-Ms', '1000'),
        ]
        self.sent_by[attempt] = (vm, time.monotonic())
        self.record.add(f'{attempt} sent to {vm.name}')
        answer = await ask(vm.front, 'GET', '/reads/1', headers)
        self.record.add(f'{attempt} answered {answer.status}')

    def _check(self) -> int:
        """Return the number of requests that came too late to a runner."""
        late = 0
        for runner in self.all_runners:
            bound = self.gone_at.get(runner.name, float('inf'))
            bound += BOUNDS['DrainMs'] / 1000
            for at, attempt in runner.runs:
                vm, sent_at = self.sent_by[attempt]
                self.record.add(f'{attempt} run by {runner.name}', at)
                is_in_touch = self._is_in_touch(vm, sent_at, at)
                if sent_at > bound and is_in_touch:
                    late += 1
                    self.record.add(
                        f'{attempt} from {vm.name} reached {runner.name} '
                        f'{at - bound:.3f} s too late',
                        at,
                    )
        return late

    def _is_in_touch(self, vm: Vm, begin: float, end: float) -> bool:
        """Return whether a VM was in touch from ``begin`` to ``end``."""
        contact = BOUNDS['ContactMs'] / 1000
        return all(
            end < terminated_at or begin > started_at + contact
            for terminated_at, started_at in self.restarts[vm.name]
        )


async def main() -> int:
    """Play the case once."""
    record = Record(Path(__file__).with_name('record.txt'))
    try:
        return await Play(record).run()
    except Exception as failed:
        record.add(f'the case could not run: {failed!r}')
        return 2
    finally:
        record.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
