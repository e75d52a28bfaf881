"""Overhead of a daemon on a request: ``python -m benchmarks.relay``.

Runs real processes on loopback. Every figure is compared, in the same run,
with a minimal relay on the same libraries (h11 on curio) or with the stand-in
itself.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
from hdrh.histogram import HdrHistogram

from benchmarks import echo
from demo.load import completion
from demo.processes import (
    APPLICATION,
    Processes,
    Shape,
    adapter_name,
    free_address,
    wait_listening,
)
from flamingovalve.cmd.tables import table
from flamingovalve.generated.settings import RelaySettings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.util.network import Network

if TYPE_CHECKING:
    from collections.abc import Callable

SHAPE = Shape('relay', ('one',), 2, 1, 1, adapters=50, slots=8, batch=64)
TOKENS = 100
WARM_UP_CALLS = 50
REQUESTS = 600
STREAMS = 40
CLAIMS = 300
CALLERS = 8
_MICROSECONDS = 1_000_000
_MAX_RECORDED_MICROSECONDS = 60 * _MICROSECONDS


@dataclass
class Timing:
    """Latencies of the calls to one address."""

    name: str
    seconds: float
    histogram: HdrHistogram
    processor: float

    def row(self, base: Timing) -> list[object]:
        """Return a table row relative to ``base``."""
        return [
            self.name,
            round(self._ms(50), 2),
            round(self._ms(99), 2),
            round(self._ms(50) / base._ms(50), 2),
            round(self._ms(99) / base._ms(99), 2),
            round(self.histogram.total_count / self.seconds),
        ]

    def _ms(self, percentile: float) -> float:
        return self.histogram.get_value_at_percentile(percentile) / 1000


class LoadGenerator:
    """Sends the same call many times over persistent connections."""

    def __init__(
        self, address: str, call: Callable[[int], UpstreamCall]
    ) -> None:
        """Create a generator of calls to ``address``."""
        self._address = address
        self._call = call
        self._pool = ConnectionPool(Network(), RelaySettings())
        self._histogram = HdrHistogram(1, _MAX_RECORDED_MICROSECONDS, 3)
        self._remaining = 0

    async def run(self, name: str, count: int, callers: int) -> Timing:
        """Send ``count`` calls from ``callers`` concurrent tasks."""
        self._remaining = count
        started_at = time.perf_counter()
        tasks = [await curio.spawn(self._caller) for _index in range(callers)]
        for task in tasks:
            await task.join()
        seconds = time.perf_counter() - started_at
        await self._pool.close()
        return Timing(name, seconds, self._histogram, 0)

    async def _caller(self) -> None:
        while self._remaining > 0:
            self._remaining -= 1
            before = time.perf_counter()
            response = await self._pool.exchange(
                self._address,
                self._call(self._remaining),
                60,
            )
            assert response.status == 200, response
            elapsed = time.perf_counter() - before
            self._histogram.record_value(int(elapsed * _MICROSECONDS))


def measure(
    name: str, address: str, call: Callable, count: int, callers: int
) -> Timing:
    """Measure the calls to an address after a warm-up."""
    curio.run(LoadGenerator(address, call).run, name, WARM_UP_CALLS, 1)
    return curio.run(LoadGenerator(address, call).run, name, count, callers)


def unstreamed_call(index: int) -> UpstreamCall:
    """Return a completion call with a short, unstreamed response."""
    call = completion(f'{adapter_name(1)}@2', f'prompt {index}')
    call.body = call.body.replace(b'{"model"', b'{"max_tokens": 1, "model"', 1)
    call.headers.append(('x-request-id', f'direct-{index}'))
    return call


def stream_call(index: int) -> UpstreamCall:
    """Return a completion call with a streamed response."""
    call = completion(f'{adapter_name(1)}@2', f'prompt {index}')
    extra = f'{{"stream": true, "max_tokens": {TOKENS}, "model"'.encode()
    call.body = call.body.replace(b'{"model"', extra, 1)
    call.headers.append(('x-request-id', f'stream-{index}'))
    return call


def entry_call(_index: int) -> UpstreamCall:
    """Return a call that looks up the addresses for an adapter."""
    query = f'model={adapter_name(1)}&application={APPLICATION}'
    return UpstreamCall('GET', f'/v1/entry?{query}', [])


def processor_seconds(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f'/proc/{pid}/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def main() -> None:
    """Run the measurements and print their tables."""
    with Processes(SHAPE) as fleet:
        fleet.wait_ready()
        fleet.set_engines({'token_seconds': 0.0})
        owner_id = next(iter(fleet.owners().values()))
        owner = next(vm for vm in fleet.vms if vm.id == owner_id)
        other = next(vm for vm in fleet.vms if vm.id != owner_id)
        engine = fleet.engine_addresses[0]
        curio.run(
            LoadGenerator(owner.http_address, unstreamed_call).run, 'load', 1, 1
        )
        echo_address = free_address()
        bare = subprocess.Popen(
            [sys.executable, '-m', 'benchmarks.echo', echo_address, engine],
        )
        try:
            wait_listening(echo_address)
            _latency(
                owner.http_address, other.http_address, engine, echo_address
            )
            _processor(owner, bare, echo_address)
            _claims(owner.http_address)
        finally:
            bare.kill()
            bare.wait()


def _latency(owner: str, other: str, engine: str, bare: str) -> None:
    timings = [
        measure('stand-in itself', engine, unstreamed_call, REQUESTS, 1),
        measure('bare relay', bare, unstreamed_call, REQUESTS, 1),
        measure('owner', owner, unstreamed_call, REQUESTS, 1),
        measure('other VM', other, unstreamed_call, REQUESTS, 1),
    ]
    headings = (
        'WHOLE ANSWERS',
        'P50 MS',
        'P99 MS',
        'P50 X',
        'P99 X',
        'REQUESTS/S',
    )
    print(table(headings, [timing.row(timings[0]) for timing in timings]))
    print()


def _processor(
    owner: object, bare: subprocess.Popen[bytes], bare_address: str
) -> None:
    pid = owner.process.pid
    rows = []
    for name, call, count, unit in (
        ('entry answer', entry_call, 2000, 1),
        ('request', unstreamed_call, REQUESTS, 1),
        ('streamed chunk', stream_call, STREAMS, TOKENS),
    ):
        daemon_seconds = (
            _processor_seconds_per_call(owner.http_address, pid, call, count)
            / unit
        )
        if name == 'entry answer':
            base = _processor_seconds_per_call(
                bare_address, bare.pid, echo.echo_call, count
            )
        else:
            base = (
                _processor_seconds_per_call(bare_address, bare.pid, call, count)
                / unit
            )
        rows.append(
            (
                name,
                f'{daemon_seconds * _MICROSECONDS:.0f}',
                f'{base * _MICROSECONDS:.0f}',
                f'{daemon_seconds / base:.2f}',
                f'{1 / daemon_seconds:.0f}',
            ),
        )
    headings = ('ONE CORE', 'OURS US', 'BARE US', 'RATIO', 'PER SECOND')
    print(table(headings, rows))
    print(f'resident memory: {resident_bytes(pid) / 1e6:.0f} MB')


def _claims(address: str) -> None:
    """Compare a claimed, non-idempotent call with an idempotent one."""
    figures = {}
    for name, call in (('status', ''), ('pay', 'permit')):
        figures[name] = curio.run(_time_calls, address, name, bool(call))
    ratios = [
        figures['pay'].get_value_at_percentile(percentile)
        / figures['status'].get_value_at_percentile(percentile)
        for percentile in (50, 99)
    ]
    print(
        f'a claimed call takes {ratios[0]:.2f} (p50) and {ratios[1]:.2f} '
        '(p99) of an unclaimed one; the service itself takes 10 ms',
    )


async def _time_calls(address: str, name: str, claimed: bool) -> HdrHistogram:
    histogram = HdrHistogram(1, _MAX_RECORDED_MICROSECONDS, 3)
    pool = ConnectionPool(Network(), RelaySettings())
    for index in range(CLAIMS):
        headers = [('authorization', f'Bearer {APPLICATION}')]
        if claimed:
            query = f'service=orders&call={name}&application={APPLICATION}'
            entry = UpstreamCall('GET', f'/v1/entry?{query}', [])
            entry_response = await pool.exchange(address, entry, 10)
            permit = json.loads(entry_response.body)['permit']
            headers.append(('idempotency-key', permit))
        call = UpstreamCall.from_json(
            'POST',
            f'/v1/services/orders/{name}',
            {'order': f'{index}'},
            headers,
        )
        before = time.perf_counter()
        response = await pool.exchange(address, call, 10)
        assert response.status == 200, response
        elapsed = time.perf_counter() - before
        histogram.record_value(int(elapsed * _MICROSECONDS))
    await pool.close()
    return histogram


def _processor_seconds_per_call(
    address: str, pid: int, call: Callable, count: int
) -> float:
    curio.run(LoadGenerator(address, call).run, 'warm', 20, CALLERS)
    before = processor_seconds(pid)
    curio.run(LoadGenerator(address, call).run, 'cost', count, CALLERS)
    return (processor_seconds(pid) - before) / count


if __name__ == '__main__':
    main()
