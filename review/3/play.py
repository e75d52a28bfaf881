# flake8: noqa: WPS
"""Requests that wait for a load while the owner of the engines shuts down."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig'))

from engine import MODEL, Engine, Fetches, engine_traits
from fleet import BOUNDS, Addresses, Fleet, Record, Vm, end_on_signals
from runner import HEARTBEAT_SECONDS
from store import Store
from wire import ask

HOST = 'site.example'
VMS = 4
ZONES = 4
ENGINES = 5
REQUESTS_PER_SECOND = 70
PLAY_SECONDS = 75.0
FIRST_STOP_SECONDS = 3.0
LAST_STOP_SECONDS = 12.0
PAUSE_SECONDS = 3.5
TIMEOUT_SECONDS = 2.0
LATE_SECONDS = 0.5
# Clients leave a stream without an event after four times the objective.
OBJECTIVE_SECONDS = 1.0
CLIENT_SECONDS = 4 * OBJECTIVE_SECONDS
BUDGET_MS = 5005
# "Eight or more of them, and over a quarter"
LEAST_LATE = 8
MOST_LATE_SHARE = 0.25
# Adapters that are asked for, of 3,000.
POPULAR = 20
RARE = 400
RARE_SHARE = 0.5
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

CONFIGURATION: dict[str, Any] = {
    'Version': 5,
    'Routes': [
        {
            'Name': 'review',
            'Host': HOST,
            'PathPrefix': '/review/',
            'Kind': 'streaming',
            'Service': 'llm',
            'MaxAttempts': 1,
            'TimeoutMs': int(TIMEOUT_SECONDS * 1000),
            'TargetLatencyMs': int(OBJECTIVE_SECONDS * 1000),
            'GapTargetMs': 250,
            'Priority': 2,
            'Sticky': True,
        }
    ],
    'Services': [
        {'Name': 'llm', 'HealthPath': '/health', 'Engine': engine_traits()}
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 4194304,
        'HeaderTimeoutMs': 5000,
        'IdleTimeoutMs': 15000,
    },
}


@dataclass
class Sent:
    """A request and the seconds until its whole answer; infinite for none."""

    attempt: str
    vm: Vm
    at: float
    seconds: float


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
        fetches = Fetches()
        self.engines = [
            Engine(
                self.store,
                f'i-llm{index}',
                'llm',
                addresses.address(),
                f'zone-{index % ZONES}',
                fetches,
            )
            for index in range(ENGINES)
        ]
        self.answers: Counter[str] = Counter()
        self.sent: list[Sent] = []
        self.stopped: set[str] = set()
        self.restarts: dict[str, list[tuple[float, float]]] = {
            vm.name: [] for vm in self.fleet.vms
        }

    async def run(self) -> int:
        """Play; return the exit code."""
        await self.store.open(self.store_address)
        self.store.put('op/config', CONFIGURATION)
        for engine in self.engines:
            await engine.start()
            await asyncio.sleep(HEARTBEAT_SECONDS / ENGINES)
        try:
            return await self._play()
        finally:
            self.fleet.close()
            for engine in self.engines:
                await engine.stop()
            await self.store.close()

    async def _play(self) -> int:
        for vm in self.fleet.vms:
            self.fleet.start(vm)
        await self.fleet.wait_ready()
        await asyncio.sleep(6)
        end = time.monotonic() + PLAY_SECONDS
        stops = asyncio.create_task(self._restart_in_turn(end))
        tasks = set()
        while time.monotonic() < end:
            vms = [vm for vm in self.fleet.vms if vm.name not in self.stopped]
            tasks.add(asyncio.create_task(self._send(self.rng.choice(vms))))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        await stops
        return self._check()

    async def _restart_in_turn(self, end: float) -> None:
        """Stop and start one VM after the other."""
        await asyncio.sleep(FIRST_STOP_SECONDS)
        for vm in itertools.cycle(self.fleet.vms):
            if time.monotonic() > end - LAST_STOP_SECONDS or not TROUBLE:
                return
            self.stopped.add(vm.name)
            terminated_at = time.monotonic()
            self.fleet.signal(vm, signal.SIGTERM)
            self.record.add(f'SIGTERM to {vm.name}')
            await self.fleet.wait_ended(vm, BOUNDS['GraceS'])
            self.record.add(f'{vm.name} has ended')
            self.fleet.start(vm)
            self.restarts[vm.name].append((terminated_at, vm.started_at))
            await self.fleet.wait_ready([vm])
            self.record.add(f'{vm.name} is ready')
            self.stopped.discard(vm.name)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _send(self, vm: Vm) -> None:
        attempt = f'{next(self.ids):016x}'
        number = self.rng.randrange(POPULAR)
        if self.rng.random() < RARE_SHARE:
            number = POPULAR + self.rng.randrange(RARE)
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Time-Budget-Ms', str(BUDGET_MS)),
            ('Model', f'{MODEL}/a{number}'),
            ('Token-Counts', '600,16'),
            ('Prompt-Prefix', f'{number:x}:200,{attempt}:400'),
        ]
        self.record.add(f'{attempt} sent to {vm.name} for a{number}')
        sent_at = time.monotonic()
        answer = await ask(
            vm.front, 'POST', '/review/1', headers, b'prompt', CLIENT_SECONDS
        )
        seconds = time.monotonic() - sent_at
        if not answer.status:
            seconds = float('inf')
        self.sent.append(Sent(attempt, vm, sent_at, seconds))
        self.answers[f'{answer.status} {answer.problem}'] += 1
        self.record.add(f'{attempt} answered {answer.status} {answer.problem}')

    def _check(self) -> int:
        """Apply the rule to the requests at machines in touch."""
        runs = set()
        for engine in self.engines:
            for at, attempt in engine.runs:
                runs.add(attempt)
                self.record.add(f'{attempt} run by {engine.name}', at)
        sent = [one for one in self.sent if self._is_in_touch(one)]
        long = [one for one in sent if one.seconds > TIMEOUT_SECONDS]
        bound = TIMEOUT_SECONDS + LATE_SECONDS
        late = [one for one in long if one.seconds > bound]
        for one in late:
            has_run = 'has run' if one.attempt in runs else 'has not run'
            self.record.add(
                f'{one.attempt} at {one.vm.name}, in touch, has no answer '
                f'{bound} s after it was sent, and {has_run}',
                one.at,
            )
        self.record.add(f'answers: {dict(self.answers)}')
        self.record.add(
            f'{len(sent)} requests at machines in touch, {len(long)} '
            f'unanswered at {TIMEOUT_SECONDS} s, {len(late)} at {bound} s'
        )
        broken = len(late) >= LEAST_LATE
        broken = broken and len(late) > MOST_LATE_SHARE * len(long)
        overfull = sum(engine.overfull for engine in self.engines)
        self.record.add(f'loads beyond the slots of an engine: {overfull}')
        self.record.add('the rule ' + ('was broken' if broken else 'held'))
        return 1 if broken else 0

    def _is_in_touch(self, one: Sent) -> bool:
        """Return whether a VM was in touch until the answer was late."""
        end = one.at + TIMEOUT_SECONDS + LATE_SECONDS
        contact = BOUNDS['ContactMs'] / 1000
        return all(
            end < terminated_at or one.at > started_at + contact
            for terminated_at, started_at in self.restarts[one.vm.name]
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
    end_on_signals()
    sys.exit(asyncio.run(main()))
