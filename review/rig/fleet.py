# flake8: noqa: WPS
"""Starts gateways with the command of the deploy file, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, TextIO

from wire import ask

ROOT = Path(__file__).resolve().parents[2]
# Bounds of `sites/icew-karachi.toml`.
BOUNDS: dict[str, Any] = {
    'SeedLagS': 3,
    'ReuseAfterS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ConfigMs': 2000,
    'DowngradeSlackMs': 250,
    'MaxStretchMs': 5000,
    'RetryRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 104,
    'RecoveryS': 12,
    'LeaseMs': 3000,
    'ThawMs': 300,
    'version_ms': 5000,
}
_METRICS_PORT = 9464
_READY_SECONDS = 30
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')
_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}\n(.*?)\{\{/\2\}\}\n', re.DOTALL)


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Addresses:
    """Free loopback addresses, with the same ports on each host."""

    def __init__(self) -> None:
        """Choose hosts that no other process uses."""
        rng = random.Random()
        while True:
            self._net = f'127.{rng.randint(30, 220)}.{rng.randint(1, 250)}'
            if _is_free(f'{self._net}.1', _METRICS_PORT):
                break
        self._port = rng.randint(20000, 29000)
        self._hosts = 0

    def host(self) -> str:
        """Return a new host."""
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    def address(self) -> str:
        """Return a free address on a new host."""
        host = self.host()
        while not _is_free(host, self._port):
            self._port += 1
        return f'{host}:{self._port}'


def _value(fields: dict[str, Any], name: str) -> Any:
    found: Any = fields
    for part in name.split('.'):
        if isinstance(found, list):
            found = found[int(part)] if int(part) < len(found) else None
        else:
            found = found.get(part) if isinstance(found, dict) else None
    return found


def _text(found: Any) -> str:
    if found is None:
        return ''
    if isinstance(found, list):
        return ','.join(map(_text, found))
    if isinstance(found, dict):
        return json.dumps(found)
    return str(found).lower() if isinstance(found, bool) else str(found)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as DEPLOY describes it."""

    def section(match: re.Match[str]) -> str:
        found = _value(fields, match.group(2))
        is_shown = found not in (None, False, [], {})
        return match.group(3) if is_shown == (match.group(1) == '#') else ''

    rendered = _SECTION.sub(section, template)
    return _PLACEHOLDER.sub(
        lambda match: _text(_value(fields, match.group(1))), rendered
    )


class Vm:
    """An entry VM and its current process."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        """Describe a VM that runs nothing."""
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = f'{ip}:8149'
        self.ready = f'{ip}:8141'
        self.directory = f'{ip}:8143'
        self.control = f'{ip}:8144'
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0


class Fleet:
    """The gateways of a small deployment."""

    def __init__(
        self,
        addresses: Addresses,
        store: str,
        count: int,
        zones: int,
        bounds: dict[str, Any] | None = None,
    ) -> None:
        """Describe ``count`` VMs in ``zones`` zones."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['entry']
        self._template = (ROOT / self._role['template']).read_text()
        self._store = store
        self._bounds = bounds or BOUNDS
        self._folder = tempfile.TemporaryDirectory()
        self.vms = [
            Vm(f'edge-{index}', addresses.host(), f'zone-{index % zones}')
            for index in range(count)
        ]

    def start(self, vm: Vm) -> None:
        """Start the process of a VM."""
        folder = Path(self._folder.name)
        path = folder / f'{vm.name}.ini'
        path.write_text(render(self._template, self._fields(vm)))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'FLAMINGOVALVE_BOOT': str(path),
        }
        with (folder / f'{vm.name}.log').open('ab') as output:
            vm.process = subprocess.Popen(
                self._role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        vm.started_at = time.monotonic()

    def signal(self, vm: Vm, number: signal.Signals) -> None:
        """Send a signal to the process of a VM."""
        if vm.process is not None and vm.process.poll() is None:
            vm.process.send_signal(number)

    def kill(self, vm: Vm) -> None:
        """Kill the process of a VM."""
        self.signal(vm, signal.SIGKILL)
        if vm.process is not None:
            vm.process.wait()

    async def wait_ended(self, vm: Vm, seconds: float) -> None:
        """Wait until the process of a VM has ended; then kill it."""
        end = time.monotonic() + seconds
        while vm.process is not None and vm.process.poll() is None:
            if time.monotonic() > end:
                self.kill(vm)
            await asyncio.sleep(0.02)

    async def wait_ready(self, vms: list[Vm] | None = None) -> None:
        """Wait until VMs say that they are ready.

        :raises TimeoutError: if that takes too long
        """
        end = time.monotonic() + _READY_SECONDS
        for vm in vms or self.vms:
            while (await ask(vm.ready, 'GET', '/ready', [])).status != 200:
                if time.monotonic() > end:
                    raise TimeoutError(f'{vm.name} does not get ready')
                await asyncio.sleep(0.05)

    def log(self, vm: Vm) -> str:
        """Return what the processes of a VM have logged."""
        return (Path(self._folder.name) / f'{vm.name}.log').read_text()

    def close(self) -> None:
        """End all processes."""
        for vm in self.vms:
            self.kill(vm)
        keep = os.environ.get('REVIEW_LOGS')
        if keep:
            for vm in self.vms:
                Path(keep, f'{vm.name}.log').write_text(self.log(vm))
        self._folder.cleanup()

    def _fields(self, vm: Vm) -> dict[str, Any]:
        return {
            'Node': vm.name,
            'Zone': vm.zone,
            'Ip': vm.ip,
            'Listen': {
                'Front': vm.front,
                'Ready': vm.ready,
                'Directory': vm.directory,
                'Control': vm.control,
            },
            'PortRange': [7380, 7395],
            'Seeds': [one.control for one in self.vms[:3]],
            'Limits': {
                'CpuShare': 0.731,
                'Cores': 1,
                'MemoryMb': 222,
                'LinkMbps': 350.0,
            },
            'Bounds': self._bounds,
            'Platform': {'Addr': self._store},
        }


def end_on_signals() -> None:
    """Let SIGTERM end the processes that were started, and exit with 2."""
    signal.signal(signal.SIGTERM, _exit)


def _exit(_number: int, _frame: object) -> None:
    sys.exit(2)


class Record:
    """Writes what was sent, answered and run, with the seconds."""

    def __init__(self, path: Path) -> None:
        """Write to ``path``."""
        self._file: TextIO = path.open('w')
        self._began_at = time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line."""
        now = time.monotonic() if at is None else at
        self._file.write(f'{now - self._began_at:9.3f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()
