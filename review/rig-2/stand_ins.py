"""Stand-ins for store, runners and clients, and gateways as processes.

Only the standard library is used. All addresses are loopback addresses.
"""

# flake8: noqa
# Straight-line test code; ruff checks its format, imports and docstrings.

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
READ_ERRORS = (ConnectionError, asyncio.IncompleteReadError, OSError)
_STORE_PORT, _FRONT, _READY, _DIRECTORY, _PEER = 8142, 8149, 8141, 8143, 7380
HOST = 'shop.example'


def fresh_hosts(count: int) -> list[str]:
    """Return loopback hosts that no other run is likely to use."""
    rng = random.Random(f'{os.getpid()} {time.time_ns()}')
    net = f'127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}'
    return [f'{net}.{number + 1}' for number in range(count)]


# -- HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by lower-case name."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if ':' in line)
    return first, {
        name.strip().lower(): text.strip() for name, _, text in pairs
    }


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return a body with a length or in chunks."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        size = -1
        while size:
            size = int((await reader.readline()).partition(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
    return body


def encoded(first: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return a message; header values are written in UTF-8."""
    lines = [first, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, address: str) -> None:
        """Serve at ``address``."""
        self.address = address

    async def start(self) -> None:
        """Listen."""
        host, _colon, port = self.address.partition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _version = first.split(' ')
                body = await read_body(reader, headers)
                status, lines, content = await self.answer(
                    method, target, headers, body
                )
                writer.write(encoded(f'HTTP/1.1 {status} -', lines, content))
                await writer.drain()
        except (*READ_ERRORS, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Return status, headers and body."""
        raise NotImplementedError


# -- Platform


class Store(Server):
    """The platform's store: items with revisions, listed and watched."""

    def __init__(self, host: str) -> None:
        """Create an empty store."""
        super().__init__(f'{host}:{_STORE_PORT}')
        self.revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, content: object) -> None:
        """Write an item."""
        raw = base64.b64encode(json.dumps(content).encode()).decode()
        self.revision += 1
        item = {
            'Key': key,
            'Value': raw,
            'Revision': self.revision,
            'Created': self.revision,
            'Lease': 0,
        }
        self._items[key] = item
        self._record(item)

    def _record(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Answer a list or a watch."""
        parts = urlsplit(target)
        query = {
            name: texts[-1] for name, texts in parse_qs(parts.query).items()
        }
        prefix = query.get('PathPrefix', '')
        if parts.path == '/kv-range':
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            found: dict[str, Any] = {'items': items, 'MorePages': False}
        else:
            found = {'events': await self._watch(prefix, query)}
        found['StoreRevision'] = self.revision
        kind = [('Content-Type', 'application/json')]
        return 200, kind, json.dumps(found).encode()

    async def _watch(
        self, prefix: str, query: dict[str, str]
    ) -> list[dict[str, Any]]:
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return events
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                continue


class Runner(Server):
    """A runner of a plain service, which counts the runs of each request.

    :ivar extra_headers: added to the answer to each run
    """

    def __init__(self, name: str, address: str, record: Record) -> None:
        """Create a runner that has run nothing."""
        super().__init__(address)
        self.name = name
        self.runs: Counter[str] = Counter()
        self.extra_headers: list[tuple[str, str]] = []
        self._record = record
        self._heartbeats = 0
        self._born = int(time.time() * 1000)

    def entry(self) -> dict[str, Any]:
        """Return what it writes to the store."""
        self._heartbeats += 1
        return {
            'Service': 'orders',
            'Addr': self.address,
            'Zone': 'zone-a',
            'Version': 'v1',
            'Slots': 6,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Seq': self._heartbeats,
            'born': self._born,
        }

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Run a request, unless it is meant for another runner."""
        request_id = headers.get('attempt-id', '')
        own = [('Attempt-Id', request_id)]
        if headers.get('expect-instance', self.name) != self.name:
            return 421, [*own, ('Not-Executed', '1')], b''
        if target == '/health':
            return 200, [*own, ('Instance', self.name)], b''
        self.runs[request_id] += 1
        self._record.add('run', id=request_id, runner=self.name, target=target)
        await asyncio.sleep(0.02)
        own.append(('Response-Seal', f'seal.{self.name}.{request_id}'))
        content = f'{self.name} ran {target}'.encode()
        return 200, [*own, *self.extra_headers], content


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one route that may run once at most."""
    return {
        'Version': version,
        'Routes': [
            {
                'Name': 'order',
                'Host': HOST,
                'PathPrefix': '/order/',
                'Kind': 'non_idempotent',
                'Service': 'orders',
                'TimeoutMs': 3000,
                'TargetLatencyMs': 400,
                'Priority': 2,
                'MaxAttempts': 2,
            }
        ],
        'Services': [{'Name': 'orders', 'HealthPath': '/health'}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 10000,
        },
    }


# -- Gateways


class Gateway:
    """One entry VM, started with the command of the deploy file."""

    def __init__(self, host: str, seeds: list[str], store: Store) -> None:
        """Describe the VM at ``host``; nothing is started."""
        self.host = host
        self.front = (host, _FRONT)
        self._directory = tempfile.TemporaryDirectory()
        folder = Path(self._directory.name)
        self.settings = folder / 'settings.ini'
        self.log = folder / 'log'
        self.settings.write_text(_rendered(host, seeds, store.address))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start its process."""
        command = _deployed_command()
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': 'target/deps',
                    'FLAMINGOVALVE_BOOT': str(self.settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, seconds: float) -> int | None:
        """Return the exit status; None if it still runs after ``seconds``."""
        ends_at = time.monotonic() + seconds
        process = self.process
        assert process is not None
        while process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        return process.poll()

    async def is_ready(self, seconds: float) -> bool:
        """Return whether it says that it is ready within ``seconds``."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                reader, writer = await asyncio.open_connection(
                    self.host, _READY
                )
                writer.write(
                    encoded('GET /ready HTTP/1.1', [('Host', 'x')], b'')
                )
                first, _headers = await read_head(reader)
                writer.close()
            except READ_ERRORS:
                first = ''
            if ' 200 ' in first:
                return True
            await asyncio.sleep(0.05)
        return False

    def close(self) -> None:
        """Kill its process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def _deployed_command() -> list[str]:
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    found = re.search(r'^run = "(.+)"$', text, re.MULTILINE)
    assert found is not None
    return found[1].split(' ')


def _rendered(host: str, seeds: list[str], store: str) -> str:
    """Fill in the settings template, with the values of a small deployment."""
    fields = {
        'Node': f'edge-{host}',
        'Zone': 'zone-a',
        'Ip': host,
        'Listen.Front': f'{host}:{_FRONT}',
        'Listen.Ready': f'{host}:{_READY}',
        'Listen.Directory': f'{host}:{_DIRECTORY}',
        'PortRange.0': str(_PEER),
        'Seeds': ','.join(f'{seed}:8144' for seed in seeds),
        'Platform.Addr': store,
        'Limits.CpuShare': '0.731',
        'Limits.Cores': '1',
        'Limits.MemoryMb': '222',
        'Limits.LinkMbps': '350.0',
        'Bounds.LeaseMs': '3000',
        'Bounds.GraceS': '8',
        'Bounds.RetryWindowS': '10',
        'Bounds.RetryRatio': '0.2',
        'Bounds.RetrySlack': '104',
    }
    text = (ROOT / 'deploy' / 'settings.ini').read_text()
    section = r'\{\{%s([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n'
    text = re.sub(
        section % '#',
        lambda found: found[2] if found[1] in fields else '',
        text,
        flags=re.DOTALL,
    )
    text = re.sub(
        section % r'\^',
        lambda found: '' if found[1] in fields else found[2],
        text,
        flags=re.DOTALL,
    )
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda found: fields.get(found[1], ''), text
    )


# -- Clients


class Client:
    """A client with one connection that it keeps open."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        """Send requests to ``gateway``."""
        self._gateway = gateway
        self._record = record
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def order(
        self, number: int, seconds: float = 3.0, prefix: str = '/order/'
    ) -> tuple[str, Any]:
        """Send one order.

        :param prefix: what its path begins with
        :returns: its id, and the status or why there is none
        """
        request_id = f'{random.getrandbits(64):016x}'
        headers = [
            ('Host', HOST),
            ('Attempt-Id', request_id),
            ('Time-Budget-Ms', str(int(seconds * 1000))),
        ]
        message = encoded(f'POST {prefix}{number} HTTP/1.1', headers, b'ring')
        self._record.add('sent', id=request_id, path=f'{prefix}{number}')
        outcome: Any = 'no answer until its deadline'
        try:
            async with asyncio.timeout(seconds):
                outcome = await self._exchange(message)
        except TimeoutError:
            self._streams = None
        except READ_ERRORS as error:
            self._streams = None
            outcome = f'connection closed without an answer: {error!r}'
        self._record.add('answered', id=request_id, outcome=outcome)
        return request_id, outcome

    async def _exchange(self, message: bytes) -> int:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._gateway.front)
        reader, writer = self._streams
        writer.write(message)
        first, headers = await read_head(reader)
        await read_body(reader, headers)
        if headers.get('connection') == 'close':
            writer.close()
            self._streams = None
        return int(first.split(' ')[1])


class Record:
    """What was sent, run and answered, written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Write to ``folder``."""
        self._lines: list[str] = []
        self._path = folder / 'record.txt'
        self._began_at = time.monotonic()

    def add(self, event: str, **facts: Any) -> None:
        """Add a line with its time in seconds."""
        at = time.monotonic() - self._began_at
        words = [f'{name}={fact}' for name, fact in facts.items()]
        self._lines.append(' '.join([f'{at:8.3f}', event, *words]))

    def write(self) -> None:
        """Write the file."""
        self._path.write_text('\n'.join([*self._lines, '']))


def run(case: Any, folder: Path) -> None:
    """Run a case and exit with its status."""
    if not (ROOT / 'target' / 'deps').is_dir():
        sys.exit(COULD_NOT_RUN)
    record = Record(folder)
    record.add('begins', trouble=TROUBLE)
    gateways: list[Gateway] = []
    status = COULD_NOT_RUN
    try:
        status = asyncio.run(case(record, gateways))
    finally:
        for gateway in gateways:
            gateway.close()
        record.add('ends', status=status)
        record.write()
    sys.exit(status)
