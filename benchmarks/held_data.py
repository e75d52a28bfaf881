"""Memory of a VM with slow callers: ``python -m benchmarks.held_data``.

Runs the HTTP server of a VM in a process of its own. 500 callers read its
streams at a trickle while others read theirs at once. Compares no bound (each
event is written before the next one is read from the engine) with a bound,
and both with no slow callers.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio
import logbook
from curio import socket

from demo.processes import free_address, wait_listening
from flamingovalve.cmd.tables import table
from flamingovalve.generated.settings import RelaySettings, Settings
from flamingovalve.http.client import ConnectionPool, UpstreamCall
from flamingovalve.http.messages import Request, Response
from flamingovalve.http.server import HttpServer
from flamingovalve.util.listeners import split_address
from flamingovalve.util.network import Network

if TYPE_CHECKING:
    from curio.io import Socket

    from flamingovalve.http.server import Responder

SLOW_CALLERS = 500
FAST_CALLERS = 10
SECONDS = 15.0
MEMORY_MB = 152.0
SLOW_EVENT = b'data: %s\n\n' % (b'x' * 4088)
SLOW_GAP = 0.1
FAST_EVENT = b'data: %s\n\n' % (b'x' * 192)
FAST_GAP = 0.01
FAST_EVENTS = 50
SEND_BUFFER = 16384
READ_BYTES = 256
READ_GAP = 0.1
_KB_PER_MB = 1000.0


class SmallBuffers(Network):
    """Accepts connections whose kernel buffers are as small as on slow links.

    On loopback the kernel takes megabytes for each connection.
    """

    async def accept(self, listening: Socket) -> Socket:
        """Wait for the next connection."""
        accepted = await super().accept(listening)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        return accepted


class Engines:
    """Streams the events of two kinds of requests as they arrive."""

    def __init__(self) -> None:
        """Start without events."""
        self.server: HttpServer | None = None
        self.slow_events = 0

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a request, or return the figures of the process."""
        if request.path == '/figures':
            await responder.send(Response.from_json(self._figures()))
            return
        await responder.start(200, [])
        if request.path == '/fast':
            for _ in range(FAST_EVENTS):
                await responder.chunk(FAST_EVENT)
                await curio.sleep(FAST_GAP)
            await responder.end()
            return
        while True:
            await responder.chunk(SLOW_EVENT)
            self.slow_events += 1
            await curio.sleep(SLOW_GAP)

    def _figures(self) -> dict[str, Any]:
        assert self.server is not None
        status = Path('/proc/self/status').read_text('ascii')
        peak = next(
            int(line.split()[1])
            for line in status.splitlines()
            if line.startswith('VmHWM')
        )
        held = self.server.held
        return {
            'peak_mb': peak / _KB_PER_MB,
            'held_mb': held.peak / _KB_PER_MB / _KB_PER_MB,
            'waits': held.counts.waits,
            'slow_events': self.slow_events,
            'processor': time.process_time(),
        }


async def serve(address: str, memory_mb: float) -> None:
    """Serve until killed."""
    settings = Settings()
    settings.vm.memory_mb = memory_mb
    engines = Engines()
    network = SmallBuffers()
    engines.server = HttpServer.from_config(network, engines.answer, settings)
    await engines.server.serve(network.listen(address))


async def read_slowly(address: str) -> None:
    """Read a stream at a trickle."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    await opened.connect(split_address(address))
    await opened.sendall(b'GET /slow HTTP/1.1\r\nhost: x\r\n\r\n')
    while await opened.recv(READ_BYTES):
        await curio.sleep(READ_GAP)


async def read_at_once(address: str, seconds: list[float]) -> None:
    """Read streams and record the time of each."""
    pool = ConnectionPool(Network(), RelaySettings())
    while True:
        started_at = time.monotonic()
        await pool.exchange(address, UpstreamCall('GET', '/fast', []), SECONDS)
        seconds.append(time.monotonic() - started_at)


async def measure(address: str, slow: int) -> dict[str, Any]:
    """Run the callers of one case and return its figures."""
    seconds: list[float] = []
    for _ in range(slow):
        await curio.spawn(read_slowly, address, daemon=True)
    for _ in range(FAST_CALLERS):
        await curio.spawn(read_at_once, address, seconds, daemon=True)
    await curio.sleep(SECONDS)
    seconds.sort()
    pool = ConnectionPool(Network(), RelaySettings())
    call = UpstreamCall('GET', '/figures', [])
    figures = json.loads((await pool.exchange(address, call, SECONDS)).body)
    figures['fast_median'] = seconds[len(seconds) // 2]
    figures['fast_late'] = seconds[int(len(seconds) * 0.99)]
    return figures


def run_case(slow: int, memory_mb: float) -> dict[str, Any]:
    """Start a server process, measure it and stop it."""
    address = free_address()
    command = [sys.executable, '-m', 'benchmarks.held_data']
    process = subprocess.Popen([*command, address, str(memory_mb)])
    try:
        wait_listening(address)
        return curio.run(measure, address, slow)
    finally:
        process.kill()
        process.wait()


def main() -> None:
    """Print one row for each case."""
    if len(sys.argv) > 1:
        with logbook.NullHandler().applicationbound():
            curio.run(serve, sys.argv[1], float(sys.argv[2]))
        return
    names = ('peak_mb', 'held_mb', 'waits', 'slow_events', 'processor')
    timings = ('fast_median', 'fast_late')
    rows = []
    for slow, memory_mb in ((0, MEMORY_MB), (SLOW_CALLERS, 0.0)):
        rows.append(_row(slow, memory_mb, (*names, *timings)))
    rows.append(_row(SLOW_CALLERS, MEMORY_MB, (*names, *timings)))
    print(table(['slow', 'memory_mb', *names, *timings], rows))


def _row(slow: int, memory_mb: float, names: tuple[str, ...]) -> list[object]:
    figures = run_case(slow, memory_mb)
    return [slow, memory_mb, *(round(figures[name], 3) for name in names)]


if __name__ == '__main__':
    main()
