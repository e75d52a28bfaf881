"""Ports of a VM are open before its daemon is imported."""

from __future__ import annotations

import socket
import tempfile
import unittest
from pathlib import Path

import curio

from flamingovalve.cmd.boot import caller_addresses
from flamingovalve.util.listeners import EarlyListeners, split_address
from flamingovalve.util.network import Network
from tests.rig.addresses import free_address


class TestEarlyListeners(unittest.TestCase):
    """Sockets opened before the daemon is imported."""

    def setUp(self) -> None:
        """Open a port as a process does before it imports the daemon."""
        self.address = free_address()
        self.listeners = EarlyListeners.opened([self.address])
        self.addCleanup(self._close_rest)

    def _close_rest(self) -> None:
        rest = self.listeners.take(self.address)
        if rest is not None:
            rest.close()

    def test_caller_that_connects_before_the_daemon_accepts_is_served(self):
        """Guards against refused connections while a daemon starts."""
        with socket.create_connection(split_address(self.address)) as caller:
            caller.sendall(b'early')
            received = curio.run(self._accept_and_read)
        self.assertEqual(received, b'early')

    async def _accept_and_read(self) -> bytes:
        network = Network(self.listeners)
        listening = network.listen(self.address)
        async with listening, await network.accept(listening) as accepted:
            return await accepted.recv(16)

    def test_unusable_address_is_skipped(self):
        """Guards against a crash before the daemon reports the fault.

        One address is in use and one is invalid.
        """
        twice = EarlyListeners.opened([self.address, 'no address'])
        self.assertIsNone(twice.take(self.address))

    def test_socket_is_returned_once(self):
        """Guards against two tasks accepting on one socket."""
        first = self.listeners.take(self.address)
        self.assertIsNotNone(first)
        first.close()
        self.assertIsNone(self.listeners.take(self.address))


class TestCallersAddresses(unittest.TestCase):
    """Addresses for callers in a settings file."""

    def addresses(self, text: str) -> list[str]:
        """Return the caller addresses in settings with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'vm.ini'
            path.write_text(text, 'utf-8')
            return caller_addresses(path)

    def test_http_and_directory_addresses(self):
        found = self.addresses(
            '[vm]\nhttp_address = 127.0.0.1:8149\n'
            '[platform]\ndirectory_address = 127.0.0.1:8143\n'
        )
        self.assertEqual(found, ['127.0.0.1:8149', '127.0.0.1:8143'])

    def test_settings_that_cannot_be_read(self):
        """Guards against an exit before the daemon reports the faults."""
        self.assertEqual(self.addresses('no section'), [])
        self.assertEqual(caller_addresses(Path('/nowhere/vm.ini')), [])
