# flake8: noqa: WPS
"""Runners that send a second copy of a refusal, late."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'rig'))

from engine import MODEL, Engine, Fetches, engine_traits
from fleet import Addresses, Fleet, Record, Vm, end_on_signals
from runner import HEARTBEAT_SECONDS
from store import Store
from wire import ask

if TYPE_CHECKING:
    from wire import Connection, Request

HOST = 'site.example'
VMS = 3
ZONES = 3
ENGINES = 5
REQUESTS_PER_SECOND = 70
PLAY_SECONDS = 72
# `garble` with how `extra late`: share, x and for_s of the site file.
FAULTY = 3
ANSWER_SHARE = 0.03
FAULT_SECONDS = 5.0
FAULT_TIMES = (4.0, 12.0, 20.0, 28.0, 36.0, 44.0, 52.0, 60.0)
# Adapters that are asked for, of 3,000.
POPULAR = 20
RARE = 400
RARE_SHARE = 0.35
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

CONFIGURATION: dict[str, Any] = {
    'Version': 5,
    'Routes': [
        {
            'Name': 'chat',
            'Host': HOST,
            'PathPrefix': '/chat/',
            'Kind': 'streaming',
            'Service': 'llm',
            'MaxAttempts': 1,
            'TimeoutMs': 15000,
            'TargetLatencyMs': 600,
            'GapTargetMs': 250,
            'Priority': 0,
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


class FaultyEngine(Engine):
    """An engine that repeats some of its answers at the next request.

    :ivar faulty_until: end of the fault, on the monotonic clock
    :ivar answers: answers to requests during the fault
    :ivar repeated: those that were repeated
    """

    faulty_until = 0.0
    answers = 0
    repeated = 0
    on_repeat = staticmethod(lambda name, attempt: None)

    async def serve(self, request: Request, connection: Connection) -> None:
        """Send what is due of the last answer, then serve the request."""
        extra = connection.state.pop('extra', b'')
        if extra:
            self.on_repeat(self.name, request.headers.get('attempt-id', ''))
            await connection.send_part(extra)
        await super().serve(request, connection)

    async def serve_stream(
        self, request: Request, connection: Connection
    ) -> None:
        """Serve a request, and perhaps plan to repeat the answer."""
        await super().serve_stream(request, connection)
        if time.monotonic() > self.faulty_until:
            return
        self.answers += 1
        is_refusal = connection.last_answer.startswith(b'HTTP/1.1 421')
        if is_refusal and self.repeated + 1 <= self.answers * ANSWER_SHARE:
            self.repeated += 1
            connection.state['extra'] = connection.last_answer


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
            FaultyEngine(
                self.store,
                f'i-llm{index}',
                'llm',
                addresses.address(),
                f'zone-{index % ZONES}',
                fetches,
            )
            for index in range(ENGINES)
        ]
        for engine in self.engines:
            engine.on_repeat = self._record_repeat
        self.answers: Counter[str] = Counter()
        self.status_by_id: dict[str, int] = {}

    def _record_repeat(self, name: str, attempt: str) -> None:
        self.record.add(f'{name} repeats its last answer before {attempt}')

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
        faults = asyncio.create_task(self._faults())
        end = time.monotonic() + PLAY_SECONDS
        tasks = set()
        while time.monotonic() < end:
            tasks.add(
                asyncio.create_task(self._send(self.rng.choice(self.fleet.vms)))
            )
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        await faults
        await asyncio.sleep(1)
        return self._check()

    async def _faults(self) -> None:
        began = time.monotonic()
        for at in FAULT_TIMES:
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            if not TROUBLE:
                continue
            faulty = self.rng.sample(self.engines, FAULTY)
            for engine in faulty:
                engine.answers = 0
                engine.repeated = 0
                engine.faulty_until = time.monotonic() + FAULT_SECONDS
            names = [engine.name for engine in faulty]
            self.record.add(f'{names} repeat answers for {FAULT_SECONDS} s')

    async def _send(self, vm: Vm) -> None:
        attempt = f'{next(self.ids):016x}'
        number = self.rng.randrange(POPULAR)
        if self.rng.random() < RARE_SHARE:
            number = POPULAR + self.rng.randrange(RARE)
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Time-Budget-Ms', '15000'),
            ('Model', f'{MODEL}/a{number}'),
            ('Token-Counts', '600,16'),
            ('Prompt-Prefix', f'{number:x}:200,{attempt}:400'),
        ]
        self.record.add(f'{attempt} sent to {vm.name} for a{number}')
        answer = await ask(
            vm.front, 'POST', '/chat/1', headers, b'prompt', seconds=15
        )
        self.answers[f'{answer.status} {answer.problem}'] += 1
        self.status_by_id[attempt] = answer.status
        self.record.add(f'{attempt} answered {answer.status} {answer.problem}')

    def _check(self) -> int:
        runs = defaultdict(list)
        for engine in self.engines:
            for at, attempt in engine.runs:
                runs[attempt].append((at, engine.name))
                self.record.add(f'{attempt} run by {engine.name}', at)
        broken = 0
        for attempt, where in runs.items():
            status = self.status_by_id[attempt]
            if len(where) > 1:
                broken += 1
                names = [name for _at, name in where]
                self.record.add(f'TWICE: {attempt} was run by {names}')
            if status in {408, 421, 429, 503}:
                broken += 1
                self.record.add(f'REFUSED: {attempt} got {status} and has run')
        self.record.add(f'answers: {dict(self.answers)}')
        overfull = sum(engine.overfull for engine in self.engines)
        self.record.add(f'loads beyond the slots of an engine: {overfull}')
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
    end_on_signals()
    sys.exit(asyncio.run(main()))
