"""Opens every socket of a daemon, so that tests can cut or silence links."""

from __future__ import annotations

import contextlib
from typing import NewType

import curio
from curio import socket
from curio.io import Socket

from flamingovalve.util.listeners import (
    EarlyListeners,
    listen,
    split_address,
)

Address = NewType('Address', str)


class Network:
    """Opens listening, connected and datagram sockets."""

    def __init__(self, listeners: EarlyListeners | None = None) -> None:
        """Use sockets that ``listeners`` has open already, where it has."""
        self._listeners = listeners or EarlyListeners()

    async def connect(self, address: str, seconds: float) -> Socket:
        """Connect to ``address`` within ``seconds``.

        :raises OSError: when the address refuses or does not answer in time
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            async with curio.timeout_after(seconds):
                await opened.connect(split_address(address))
        except curio.TaskTimeout as late:
            await self.discard(opened)
            raise TimeoutError(f'no answer from {address}') from late
        except BaseException:
            await self.discard(opened)
            raise
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return opened

    async def refuses(self, address: str, seconds: float) -> bool:
        """Tell whether nothing listens at ``address`` any more.

        Silence may be the network's. A refused connection is an answer of
        the machine itself.
        """
        try:
            opened = await self.connect(address, seconds)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        await self.discard(opened)
        return False

    def listen(self, address: str) -> Socket:
        """Accept connections at ``address``."""
        return Socket(self._listeners.take(address) or listen(address))

    def datagrams(self, address: str) -> Socket:
        """Send and receive datagrams at ``address``."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(split_address(address))
        return opened

    async def accept(self, listening: Socket) -> Socket:
        """Wait for the next connection on ``listening``."""
        accepted, _origin = await listening.accept()
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted

    async def discard(self, opened: Socket) -> None:
        """Close a socket whose other end no longer matters."""
        with contextlib.suppress(OSError):
            await opened.close()


def has_ended(opened: Socket) -> bool:
    """Tell whether the other end has closed, without waiting.

    An idle connection whose other end has gone shows it by being readable
    and at its end. A link that went silent shows nothing here.
    """
    return _peek(opened) == b''


def is_quiet(opened: Socket) -> bool:
    """Tell whether a connection is open and nothing waits to be read."""
    return _peek(opened) is None


def _peek(opened: Socket) -> bytes | None:
    """Give what waits to be read; empty at the end, nothing if none came."""
    if opened.fileno() < 0:
        return b''
    try:
        with opened.blocking() as raw:
            return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b''
