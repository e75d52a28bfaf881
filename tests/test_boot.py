"""A VM's ports are open before its daemon has loaded."""

from __future__ import annotations

import socket
import tempfile
import unittest
from pathlib import Path

import curio

from flamingovalve.cmd.boot import callers_addresses
from flamingovalve.util.listeners import EarlyListeners, split_address
from flamingovalve.util.network import Network
from tests.rig.addresses import free_address


class TestEarlyListeners(unittest.TestCase):
    """Callers that connect while a process starts."""

    def setUp(self) -> None:
        """Open a port as a process does before its libraries load."""
        self.address = free_address()
        self.listeners = EarlyListeners.opened([self.address])
        self.addCleanup(self._close_rest)

    def _close_rest(self) -> None:
        rest = self.listeners.take(self.address)
        if rest is not None:
            rest.close()

    def test_caller_that_connects_before_the_daemon_accepts_is_served(self):
        """Guards against refused connections while a daemon loads."""
        with socket.create_connection(split_address(self.address)) as caller:
            caller.sendall(b'early')
            received = curio.run(self._accept_and_read)
        self.assertEqual(received, b'early')

    async def _accept_and_read(self) -> bytes:
        network = Network(self.listeners)
        listening = network.listen(self.address)
        async with listening, await network.accept(listening) as accepted:
            return await accepted.recv(16)

    def test_address_in_use_is_left_to_the_daemon(self):
        """Guards against a crash before faults can be told."""
        twice = EarlyListeners.opened([self.address, 'no address'])
        self.assertIsNone(twice.take(self.address))

    def test_socket_is_given_once(self):
        """Guards against two tasks that accept on one socket."""
        first = self.listeners.take(self.address)
        self.assertIsNotNone(first)
        first.close()
        self.assertIsNone(self.listeners.take(self.address))


class TestCallersAddresses(unittest.TestCase):
    """Which ports the settings open to callers."""

    def addresses(self, text: str) -> list[str]:
        """Give the addresses that settings of this text name."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'vm.ini'
            path.write_text(text, 'utf-8')
            return callers_addresses(path)

    def test_ports_of_requests_and_lookups(self):
        found = self.addresses(
            '[vm]\nhttp_address = 127.0.0.1:8149\n'
            '[platform]\ndirectory_address = 127.0.0.1:8143\n'
        )
        self.assertEqual(found, ['127.0.0.1:8149', '127.0.0.1:8143'])

    def test_settings_that_cannot_be_read(self):
        """Guards against a start that ends before it names the faults."""
        self.assertEqual(self.addresses('no section'), [])
        self.assertEqual(callers_addresses(Path('/nowhere/vm.ini')), [])
