"""Signals at any moment in the life of a daemon's process."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import curio

from flamingovalve.util.signal_record import SignalRecord
from flamingovalve.util.signals import SignalQueue
from tests.rig.linked_processes import ROOT
from tests.rig.signal_processes import (
    SignalFleet,
    exchange,
    has_ended,
    records_signals,
    wait_for,
)

# More than a socket pair holds single bytes.
FLOOD = 2000
NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class TestSignalQueue(unittest.TestCase):
    """Signals of this process, recorded and delivered to a task."""

    def setUp(self) -> None:
        """Restore the actions of signals after the test."""
        for number in NUMBERS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(signal.set_wakeup_fd, -1)
        self.record = SignalRecord.installed()

    async def first(self, count: int) -> list[signal.Signals]:
        """Return the first signals that a new queue delivers."""
        queue = SignalQueue(self.record)
        for _number in range(FLOOD):
            signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)
        async with curio.timeout_after(5):
            return [await anext(queue) for _index in range(count)]

    def test_sigterm_after_a_flood(self):
        """Guards against a SIGTERM that is lost behind other signals."""
        expected = [signal.SIGHUP, signal.SIGTERM]
        self.assertEqual(curio.run(self.first, 2), expected)

    def test_signal_before_the_queue(self):
        """Guards against the loss of signals while a daemon is imported."""
        signal.raise_signal(signal.SIGTERM)
        self.assertEqual(curio.run(self.first, 1), [signal.SIGTERM])

    def test_other_tasks_during_a_flood(self):
        """Guards against a flood that keeps all other tasks waiting."""
        self.assertGreater(curio.run(self.count_turns), 10)

    async def count_turns(self) -> int:
        """Count the turns of a task while another one reads signals."""
        turns = 0

        async def read_forever() -> None:
            async for number in SignalQueue(self.record):
                signal.raise_signal(number)

        signal.raise_signal(signal.SIGHUP)
        reading = await curio.spawn(read_forever)
        for _turn in range(20):
            await curio.sleep(0)
            turns += 1
        await reading.cancel()
        return turns


class TestEarlyRecord(unittest.TestCase):
    """What a process imports before it records signals."""

    def test_imports_before_signals_are_recorded(self):
        """Guards against imports that lengthen the time without handlers."""
        script = (
            'import sys; before = set(sys.modules)\n'
            'import flamingovalve.util.signal_record\n'
            'print(*sorted(set(sys.modules) - before))'
        )
        imported = subprocess.run(
            [sys.executable, '-S', '-c', script],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.split()
        self.assertEqual(
            imported,
            [
                'flamingovalve',
                'flamingovalve.util',
                'flamingovalve.util.signal_record',
            ],
        )


class TestProcess(unittest.TestCase):
    """A VM as a process, started as deployed."""

    def setUp(self) -> None:
        """Describe a fleet of one VM."""
        self.fleet = SignalFleet(1)
        self.vm = self.fleet.vms[0]

    def signal(self, *numbers: signal.Signals) -> None:
        """Send signals to the process of the VM."""
        assert self.vm.process is not None
        for number in numbers:
            self.vm.process.send_signal(number)

    def test_sighup_while_it_starts(self):
        """Guards against a SIGHUP that ends a process which imports."""

        async def play() -> None:
            await self.fleet.start_listening(self.vm)
            self.signal(signal.SIGHUP)
            self.assertTrue(await self.fleet.wait_ready(self.vm))

        self.fleet.run(play)

    def test_sigterm_while_it_starts(self):
        """Guards against resets of callers when a VM that starts must end."""

        async def play() -> None:
            await self.fleet.start_listening(self.vm)
            self.signal(signal.SIGTERM)
            _order, request = self.fleet.new_order()
            self.assertIn(await exchange(self.vm.front, request), (200, 503))
            self.assertEqual(await self.fleet.status(self.vm), 0)

        self.fleet.run(play)

    def test_series_of_signals_while_it_starts(self):
        """Guards against a daemon that leaves before its parts exist."""

        async def play() -> None:
            for step in range(6):
                await self.fleet.start_listening(self.vm)
                await curio.sleep(step * 0.1)
                self.signal(signal.SIGHUP, signal.SIGTERM)
                for _repeat in range(20):
                    if has_ended(self.vm):
                        break
                    self.signal(signal.SIGHUP, signal.SIGTERM)
                    await curio.sleep(0.02)
                self.assertEqual(await self.fleet.status(self.vm), 0, step)

        self.fleet.run(play)

    def test_settings_that_change_while_it_starts(self):
        """Guards against a start with settings from before the last SIGHUP."""

        async def play() -> None:
            await self.fleet.start_listening(self.vm)
            moved = f'{self.vm.host}:8150'
            self.fleet.processes.write_settings(
                self.vm, {f'{self.vm.host}:8149': moved}
            )
            self.signal(signal.SIGHUP)
            self.assertTrue(await self.fleet.wait_ready(self.vm))
            _order, request = self.fleet.new_order()
            self.assertEqual(await exchange(moved, request), 200)
            self.assertEqual(await exchange(self.vm.front, request), 0)

        self.fleet.run(play)

    def test_sighup_while_it_drains(self):
        """Guards against a SIGHUP that ends or delays a drain."""

        async def play() -> None:
            await self.fleet.start(self.vm)
            self.assertTrue(await self.fleet.wait_ready(self.vm))
            self.signal(signal.SIGTERM)
            for _repeat in range(5):
                await curio.sleep(0.3)
                self.signal(signal.SIGHUP)
            self.assertEqual(await self.fleet.status(self.vm), 0)
            log = self.fleet.processes.log(self.vm)
            self.assertIn('log settings reloaded', log)

        self.fleet.run(play)

    def test_settings_that_need_a_restart_are_named(self):
        """Guards against changes that are neither applied nor reported."""

        async def play() -> None:
            await self.fleet.start(self.vm)
            self.assertTrue(await self.fleet.wait_ready(self.vm))
            self.fleet.processes.write_settings(
                self.vm,
                {
                    'idle_pool_seconds = 10': 'idle_pool_seconds = 9',
                    'format = json': 'format = text',
                },
            )
            self.signal(signal.SIGHUP)
            await wait_for(lambda: 'relay.idle_pool_seconds' in self.log())
            self.assertNotIn('logging.format', self.log())
            self.assertNotIn('vm.id', self.log())

        self.fleet.run(play)

    def test_flood_of_sighups(self):
        """Guards against a flood that ends a VM or hangs it."""

        async def play() -> None:
            await self.fleet.start(self.vm)
            for _repeat in range(FLOOD * 2):
                self.signal(signal.SIGHUP)
            self.assertTrue(await self.fleet.wait_ready(self.vm))
            for _repeat in range(FLOOD * 5):
                self.signal(signal.SIGHUP)
            self.signal(signal.SIGTERM)
            self.assertEqual(await self.fleet.status(self.vm), 0)
            self.assertNotIn('wakeup fd', self.log())

        self.fleet.run(play)

    def log(self) -> str:
        """Return what the VM has logged."""
        return self.fleet.processes.log(self.vm)


class TestFailure(unittest.TestCase):
    """A daemon that fails as it starts."""

    def test_address_in_use(self):
        """Guards against a failed daemon that waits for its tasks."""
        fleet = SignalFleet(1)
        vm = fleet.vms[0]

        async def play() -> None:
            with socket.create_server((vm.host, 8149)):
                fleet.processes.start(vm)
                self.assertEqual(await fleet.status(vm, 20), 1)
            self.assertIn('the daemon failed', fleet.processes.log(vm))

        fleet.run(play)


class TestFaultySettings(unittest.TestCase):
    """The end of a process whose settings have faults."""

    def check_end(self, command: list[str], environment: dict[str, str]):
        """Check the status while signals arrive until the end."""
        process = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            env={**os.environ, **environment},
            stderr=subprocess.PIPE,
        )
        vm = SignalFleet(1).vms[0]
        vm.process = process
        end = time.monotonic() + 20
        while process.poll() is None and time.monotonic() < end:
            if records_signals(vm):
                process.send_signal(signal.SIGHUP)
            time.sleep(0.0005)
        _output, errors = process.communicate()
        self.assertEqual(process.returncode, 2, errors)

    def test_signals_until_the_end_of_the_platform_daemon(self):
        """Guards against a signal that changes the status of the exit."""
        self.check_end(['start.py'], {'FLAMINGOVALVE_BOOT': '/nowhere.ini'})

    def test_signals_until_the_end_of_the_plain_daemon(self):
        """Guards against a signal that changes the status of the exit."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'vm.ini'
            path.write_text('[vm]\n', 'utf-8')
            self.check_end(
                ['-m', 'flamingovalve.cmd.flamingovalved', str(path)], {}
            )
