# flake8: noqa: WPS
"""An entry of another writer whose address can't be used."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig'))

from fleet import Addresses, Fleet, Record, Vm
from runner import Runner
from store import Store
from wire import ask

HOST = 'site.example'
VMS = 4
ZONES = 3
RUNNERS = 3
WORK_SECONDS = 0.09
TIMEOUT_SECONDS = 1.5
CLIENT_SECONDS = 3.003
LATE_SECONDS = 0.5
# "Eight or more of them, and over a quarter"
LEAST_LATE = 8
MOST_LATE_SHARE = 0.25
REQUESTS_PER_SECOND = 40
CALM_SECONDS = 5.0
PLAY_SECONDS = 60.0
FOREIGN_KEY = 'servers/desk-7'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

CONFIGURATION: dict[str, Any] = {
    'Version': 5,
    'Routes': [
        {
            'Name': 'pay',
            'Host': HOST,
            'PathPrefix': '/pay/',
            'Kind': 'non_idempotent',
            'Service': 'app',
            'MaxAttempts': 1,
            'TimeoutMs': int(TIMEOUT_SECONDS * 1000),
            'TargetLatencyMs': 400,
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
        self.rng = random.Random(1)
        addresses = Addresses()
        self.store = Store()
        self.store_address = addresses.address()
        self.fleet = Fleet(addresses, self.store_address, VMS, ZONES)
        self.runners = [
            Runner(
                self.store,
                f'i-app{index}',
                'app',
                addresses.address(),
                f'zone-{index}',
                WORK_SECONDS,
            )
            for index in range(RUNNERS)
        ]
        # An address without a port.
        self.foreign = addresses.host()
        self.answers: Counter[str] = Counter()
        self.seconds: list[float] = []

    async def run(self) -> int:
        """Play; return the exit code."""
        await self.store.open(self.store_address)
        self.store.put('op/config', CONFIGURATION)
        for runner in self.runners:
            await runner.start()
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
        await asyncio.sleep(CALM_SECONDS)
        began_at = time.monotonic()
        is_written = not TROUBLE
        tasks = set()
        while time.monotonic() < began_at + PLAY_SECONDS:
            if not is_written and time.monotonic() > began_at + CALM_SECONDS:
                is_written = True
                self._write_foreign_entry()
            vm = self.rng.choice(self.fleet.vms)
            tasks.add(asyncio.create_task(self._send(vm)))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        return self._check()

    def _write_foreign_entry(self) -> None:
        entry = {
            'Service': 'app',
            'Addr': self.foreign,
            'Zone': 'zone-0',
            'Version': 'v1',
            'Slots': 6,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': 0,
        }
        revision = self.store.put(FOREIGN_KEY, entry)
        self.record.add(f'{FOREIGN_KEY} is {entry}, revision {revision}')

    async def _send(self, vm: Vm) -> None:
        attempt = f'{next(self.ids):016x}'
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Time-Budget-Ms', str(int(CLIENT_SECONDS * 1000))),
        ]
        self.record.add(f'{attempt} sent to {vm.name}')
        sent_at = time.monotonic()
        answer = await ask(
            vm.front, 'POST', '/pay/1', headers, b'pay', CLIENT_SECONDS
        )
        seconds = time.monotonic() - sent_at
        self.seconds.append(seconds if answer.status else float('inf'))
        self.answers[f'{answer.status} {answer.problem}'] += 1
        self.record.add(
            f'{attempt} answered {answer.status} {answer.problem} '
            f'after {seconds:.3f} s'
        )

    def _check(self) -> int:
        """Apply the rule on requests that reach their route's timeout."""
        for runner in self.runners:
            for at, attempt in runner.runs:
                self.record.add(f'{attempt} run by {runner.name}', at)
        long = [one for one in self.seconds if one > TIMEOUT_SECONDS]
        late = [one for one in long if one > TIMEOUT_SECONDS + LATE_SECONDS]
        self.record.add(
            f'{len(self.seconds)} requests, {len(long)} unanswered at '
            f'{TIMEOUT_SECONDS} s, {len(late)} of them at '
            f'{TIMEOUT_SECONDS + LATE_SECONDS} s: {dict(self.answers)}'
        )
        broken = len(late) >= LEAST_LATE and 2 * len(late) > len(long)
        broken = broken and len(late) > MOST_LATE_SHARE * len(long)
        self.record.add('the rule ' + ('was broken' if broken else 'held'))
        return 1 if broken else 0


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
