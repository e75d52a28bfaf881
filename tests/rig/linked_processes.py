"""Gateways as processes on loopback, with links between them to cut."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

from tests.rig import linked_boot
from tests.rig.addresses import bound_host, peer_address
from tests.rig.settings_template import render

if TYPE_CHECKING:
    from collections.abc import Iterable

ROOT: Final = Path(__file__).parents[2]
STORE: Final = 'store'
_DOMAINS: Final = ('east', 'west', 'north')
_SEEDS: Final = 3
_STOP_SECONDS: Final = 10
_FIELDS: Final = {
    'Limits.CpuShare': '0.731',
    'Limits.MemoryMb': '222',
    'PortRange.0': '7380',
    'Bounds.LeaseMs': '3000',
    'Bounds.GraceS': '8',
    'Bounds.RetryWindowS': '10',
    'Bounds.RetryRatio': '0.2',
    'Bounds.RetrySlack': '104',
}


@dataclass
class LinkedVm:
    """A VM and its current process.

    :ivar disturbed_at: when it was resumed or one of its links healed
    """

    name: str
    host: str
    domain: str
    process: subprocess.Popen[bytes] | None = None
    is_paused: bool = False
    disturbed_at: list[float] = field(default_factory=list)

    @property
    def front(self) -> str:
        """Address for callers."""
        return f'{self.host}:8149'

    @property
    def ready(self) -> str:
        """Address that tells whether it is ready."""
        return f'{self.host}:8141'

    @property
    def peer(self) -> str:
        """Address for other VMs, which is also its id."""
        return f'{self.host}:{_FIELDS["PortRange.0"]}'

    @property
    def is_running(self) -> bool:
        """Whether its process runs and is not paused."""
        return self.process is not None and not self.is_paused


class LinkedProcesses:
    """The processes of all VMs, and what is cut off from what.

    :ivar vms: the VMs by their names
    """

    def __init__(self, vms: int, store: str, root: Path = ROOT) -> None:
        """Describe the processes; none is started.

        :param store: address of the store
        :param root: checkout whose gateway is run
        """
        self.vms = {
            vm.name: vm
            for vm in (
                LinkedVm(
                    f'vm-{index}',
                    bound_host(peer_address(index).partition(':')[0]),
                    _DOMAINS[index % len(_DOMAINS)],
                )
                for index in range(vms)
            )
        }
        self._store = store
        self._root = root
        self._cut: set[tuple[str, str]] = set()
        self._directory = tempfile.TemporaryDirectory()
        self._write_links()

    def close(self) -> None:
        """Kill all processes."""
        for vm in self.vms.values():
            self.kill(vm)
        self._directory.cleanup()

    def running(self) -> list[LinkedVm]:
        """Return the VMs whose process runs."""
        return [vm for vm in self.vms.values() if vm.is_running]

    # -- Processes

    def start(self, vm: LinkedVm) -> None:
        """Start the process of a VM, unless there is one."""
        if vm.process is not None:
            return
        self.write_settings(vm)
        with self._path(vm, 'log').open('ab') as output:
            vm.process = subprocess.Popen(
                self.command(),
                cwd=self._root,
                env={
                    **os.environ,
                    'PYTHONPATH': self.python_path(),
                    'FLAMINGOVALVE_BOOT': str(self._path(vm, 'ini')),
                    linked_boot.VARIABLE: str(self._path(vm, 'links')),
                },
                stdout=output,
                stderr=output,
            )

    def command(self) -> list[str]:
        """Return the command that starts a VM."""
        return [sys.executable, '-P', linked_boot.__file__]

    def python_path(self) -> str:
        """Return the folders from which a VM imports."""
        return str(self._root)

    def write_settings(
        self, vm: LinkedVm, changes: dict[str, str] | None = None
    ) -> None:
        """Write the settings file of a VM at once.

        :param changes: texts to replace in it, by the text before
        """
        text = render(self._fields(vm))
        for before, after in (changes or {}).items():
            text = text.replace(before, after)
        self.write_text(vm, text)

    def write_text(self, vm: LinkedVm, text: str) -> None:
        """Replace the settings file of a VM by any text."""
        draft = self._path(vm, 'ini-draft')
        draft.write_text(text, 'utf-8')
        draft.replace(self._path(vm, 'ini'))

    def kill(self, vm: LinkedVm) -> None:
        """Kill the process of a VM, also if it is paused."""
        if vm.process is not None:
            vm.process.kill()
            vm.process.wait(_STOP_SECONDS)
        vm.process = None
        vm.is_paused = False

    def pause(self, vm: LinkedVm) -> None:
        """Stop the process of a VM until it is resumed."""
        if vm.process is not None:
            vm.process.send_signal(signal.SIGSTOP)
            vm.is_paused = True

    def resume(self, vm: LinkedVm) -> None:
        """Let a paused process go on."""
        if vm.process is not None and vm.is_paused:
            vm.process.send_signal(signal.SIGCONT)
            vm.is_paused = False
            vm.disturbed_at.append(time.monotonic())

    def log(self, vm: LinkedVm) -> str:
        """Return what the processes of a VM have logged."""
        path = self._path(vm, 'log')
        return path.read_text('utf-8') if path.exists() else ''

    # -- Links

    def cut(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Cut two groups of VMs, or VMs and the store, off from each other."""
        others = list(right)
        for name in left:
            for other in others:
                self._cut |= {(name, other), (other, name)}
        self._write_links()

    def heal(self, names: Iterable[str], others: Iterable[str]) -> None:
        """Heal the links between two groups."""
        targets = list(others)
        links = {(name, other) for name in names for other in targets}
        links |= {(other, name) for name, other in links}
        healed = links & self._cut
        self._cut -= healed
        self._write_links()
        for name, _other in healed:
            if name in self.vms:
                self.vms[name].disturbed_at.append(time.monotonic())

    # -- Files

    def _write_links(self) -> None:
        for vm in self.vms.values():
            cut = sorted(
                self._address(other)
                for name, other in self._cut
                if name == vm.name
            )
            draft = self._path(vm, 'draft')
            draft.write_text('\n'.join(cut), 'utf-8')
            draft.replace(self._path(vm, 'links'))

    def _address(self, name: str) -> str:
        return self._store if name == STORE else self.vms[name].host

    def _path(self, vm: LinkedVm, kind: str) -> Path:
        return Path(self._directory.name) / f'{vm.name}.{kind}'

    def _fields(self, vm: LinkedVm) -> dict[str, str]:
        seeds = list(self.vms.values())[:_SEEDS]
        return {
            **_FIELDS,
            'Node': vm.name,
            'Zone': vm.domain,
            'Ip': vm.host,
            'Listen.Front': vm.front,
            'Listen.Ready': vm.ready,
            'Listen.Directory': f'{vm.host}:8143',
            'Seeds': ','.join(f'{seed.host}:8144' for seed in seeds),
            'Platform.Addr': self._store,
        }
