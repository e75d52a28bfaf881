# flake8: noqa: WPS
"""A configuration that is published while VMs read the store in pages."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig'))

from fleet import BOUNDS, Addresses, Fleet, Record, Vm, end_on_signals
from runner import HEARTBEAT_SECONDS, Runner
from store import Store
from wire import ask

HOST = 'site.example'
VMS = 4
ZONES = 4
# Adapters of which the operator has declared a version.
DECLARED = 3000
SLOWNESS = 60.0
SLOW_SECONDS = 4.5
DOWN_SECONDS = 0.6
CHANGE_AFTER_SECONDS = 0.7
REQUESTS_PER_VM = 10
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def route(name: str, service: str) -> dict[str, Any]:
    """Return a route of safe requests."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': 'idempotent',
        'Service': service,
        'MaxAttempts': 2,
        'TimeoutMs': 1000,
        'TargetLatencyMs': 100,
        'Priority': 2,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a whole configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/health'} for name in ('old', 'new')
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 15000,
        },
    }


FIRST = configuration(
    5, [route('stays', 'old'), route('moves', 'old'), route('ends', 'old')]
)
SECOND = configuration(
    9, [route('stays', 'old'), route('moves', 'new'), route('comes', 'new')]
)


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        """Describe the deployment."""
        self.record = record
        self.ids = itertools.count(1)
        addresses = Addresses()
        self.store = Store()
        self.store_address = addresses.address()
        self.fleet = Fleet(addresses, self.store_address, VMS, ZONES)
        self.runners = [
            Runner(
                self.store,
                f'i-{service}{index}',
                service,
                addresses.address(),
                f'zone-{index}',
            )
            for service in ('old', 'new')
            for index in range(2)
        ]
        self.sent: dict[str, tuple[str, str]] = {}
        self.answers: dict[str, int] = {}

    async def run(self) -> int:
        """Play; return the exit code."""
        await self.store.open(self.store_address)
        for index in range(DECLARED):
            self.store.put(
                f'op/version/base.a{index}',
                {'Model': 'base', 'Adapter': f'a{index}', 'Version': 2},
            )
        self.store.put('op/config', FIRST)
        for runner in self.runners:
            await runner.start()
            await asyncio.sleep(HEARTBEAT_SECONDS / len(self.runners))
        try:
            return await self._play()
        finally:
            self.fleet.close()
            for runner in self.runners:
                await runner.stop()
            await self.store.close()

    async def _play(self) -> int:
        for vm in self.fleet.vms:
            self.fleet.start(vm)
        await self.fleet.wait_ready()
        await asyncio.sleep(5)
        if not await self._serves(FIRST, 'first'):
            return 2
        await self._change()
        touch = BOUNDS['ContactMs'] / 1000 + BOUNDS['ConfigMs'] / 1000
        await asyncio.sleep(max(SLOW_SECONDS, DOWN_SECONDS) + touch + 1)
        kept = await self._serves(SECOND, 'second')
        self.record.add('the rule ' + ('held' if kept else 'was broken'))
        return 0 if kept else 1

    async def _change(self) -> None:
        loop = asyncio.get_running_loop()
        if TROUBLE:
            self.store.slowness = SLOWNESS
            loop.call_later(SLOW_SECONDS, self._end_slowness)
            self.record.add(f'the store answers {SLOWNESS:g} times slower')
            for vm in self.fleet.vms:
                self.fleet.signal(vm, signal.SIGKILL)
            self.record.add('all gateways are killed')
            await asyncio.sleep(DOWN_SECONDS)
            self.store.page_asked.clear()
            for vm in self.fleet.vms:
                self.fleet.start(vm)
            self.record.add('all gateways are started')
            await self.store.page_asked.wait()
            self.record.add('a gateway reads the store')
            await asyncio.sleep(CHANGE_AFTER_SECONDS)
        revision = self.store.put('op/config', SECOND)
        self.record.add(f'version 9 is acknowledged, revision {revision}')

    def _end_slowness(self) -> None:
        self.store.slowness = 1.0
        self.record.add('the store is as fast as before')

    async def _serves(self, wanted: dict[str, Any], label: str) -> bool:
        """Send requests to each VM; return whether all are as configured."""
        services = {one['Name']: one['Service'] for one in wanted['Routes']}
        wrong: Counter[str] = Counter()
        for vm in self.fleet.vms:
            for name in ('stays', 'moves', 'ends', 'comes'):
                for _request in range(REQUESTS_PER_VM):
                    found = await self._send(vm, name)
                    right = services.get(name, '404')
                    if found != right:
                        wrong[f'{vm.name} {name}: {found}, not {right}'] += 1
        for text, count in wrong.items():
            self.record.add(f'{label}: {count} requests wrong: {text}')
        return not wrong

    async def _send(self, vm: Vm, name: str) -> str:
        attempt = f'{next(self.ids):016x}'
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Time-Budget-Ms', '1000'),
        ]
        self.record.add(f'{attempt} sent to {vm.name}, /{name}/1')
        answer = await ask(vm.front, 'GET', f'/{name}/1', headers)
        ran = [
            one.name
            for one in self.runners
            if any(identifier == attempt for _at, identifier in one.runs)
        ]
        self.record.add(f'{attempt} answered {answer.status}, run by {ran}')
        if not ran:
            return str(answer.status)
        return next(one.service for one in self.runners if one.name in ran)


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
    end_on_signals()
    sys.exit(asyncio.run(main()))
