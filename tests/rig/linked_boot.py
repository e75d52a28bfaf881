"""Runs a gateway whose links to single addresses can be cut.

It is run as a script, from the root of the checkout whose gateway it runs.
The file named by ``LINKS`` lists the hosts and addresses that are out of
reach, one a line; it may change at any time. Datagrams to them are dropped,
new connections time out, and data on open connections waits.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any, Final

import curio
from curio import socket
from curio.io import Socket
from curio.traps import _read_wait

from flamingovalve.cmd import boot
from flamingovalve.util.listeners import split_address
from flamingovalve.util.network import Network

VARIABLE: Final = 'LINKS'
_POLL_SECONDS: Final = 0.02


class _Links:
    """The addresses that are out of reach, as the file lists them."""

    def __init__(self, path: Path) -> None:
        """Read the file when it is first needed."""
        self._path = path
        self._read_state = (0, 0)
        self._cut: frozenset[str] = frozenset()

    def is_cut(self, address: str) -> bool:
        """Return whether an address or its host is out of reach."""
        found = self._path.stat()
        state = (found.st_ino, found.st_mtime_ns)
        if state != self._read_state:
            self._read_state = state
            self._cut = frozenset(self._path.read_text('utf-8').split())
        return address in self._cut or address.partition(':')[0] in self._cut

    async def wait(self, address: str) -> None:
        """Wait until an address is within reach."""
        while self.is_cut(address):
            await curio.sleep(_POLL_SECONDS)


class _LinkedSocket(Socket):
    """A connection whose data waits while its link is cut."""

    def __init__(self, raw: Any, links: _Links, address: str) -> None:
        """Wrap a socket that is connected to ``address``."""
        super().__init__(raw)
        self._links = links
        self._address = address

    async def recv(self, maxsize: int, flags: int = 0) -> bytes:
        """Receive data once the link is not cut."""
        while True:
            await self._links.wait(self._address)
            try:
                return self._socket_recv(maxsize, flags)
            except BlockingIOError:
                await _read_wait(self._fileno)

    async def sendall(self, data: bytes, flags: int = 0) -> None:
        """Send data once the link is not cut."""
        await self._links.wait(self._address)
        await super().sendall(data, flags)

    async def send(self, data: bytes, flags: int = 0) -> int:
        """Send some of the data once the link is not cut."""
        await self._links.wait(self._address)
        return await super().send(data, flags)


class _LinkedDatagrams(Socket):
    """A socket that drops datagrams to addresses out of reach."""

    def __init__(self, raw: Any, links: _Links) -> None:
        """Wrap a bound socket."""
        super().__init__(raw)
        self._links = links

    async def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Send or drop a datagram."""
        host, port = address
        if self._links.is_cut(f'{host}:{port}'):
            return len(data)
        return await super().sendto(data, address)


def _link(links: _Links) -> None:
    """Let all connections and datagrams depend on links."""
    connect = Network.connect

    async def connect_linked(
        network: Network, address: str, seconds: float
    ) -> Socket:
        if links.is_cut(address):
            await curio.sleep(seconds)
            raise TimeoutError(f'connecting to {address} timed out')
        opened = await connect(network, address, seconds)
        return _LinkedSocket(opened._socket, links, address)

    def open_datagrams(_network: Network, address: str) -> Socket:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(split_address(address))
        return _LinkedDatagrams(opened._socket, links)

    Network.connect = connect_linked  # type: ignore[method-assign]
    Network.datagrams = open_datagrams  # type: ignore[method-assign]


def main() -> None:
    """Run the gateway of the current directory."""
    if not Path(boot.__file__).is_relative_to(Path.cwd()):
        sys.exit(f'this runs {boot.__file__}, not the current directory')
    _link(_Links(Path(os.environ[VARIABLE])))
    boot.main()


if __name__ == '__main__':
    main()
