"""Opens all sockets of a daemon, so that tests can cut or block links."""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import termios
from dataclasses import dataclass
from typing import Final, NewType

import curio
from curio import socket
from curio.io import Socket

from flamingovalve.util.listeners import (
    EarlyListeners,
    listen,
    split_address,
)

Address = NewType('Address', str)

_INT: Final = struct.Struct('i')
_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class SocketTimeouts:
    """When the operating system gives up a connection, in whole seconds.

    :ivar user: time without an acknowledgement of sent data or probes; also
        for a peer that accepts no more data
    :ivar idle: time without data before the first probe
    :ivar interval: time between probes
    """

    user: int
    idle: int
    interval: int

    def apply(self, opened: Socket) -> None:
        """Set the timeouts of a connection.

        The user timeout alone ends the probes, whatever their count.
        """
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval),
            (
                socket.IPPROTO_TCP,
                socket.TCP_KEEPCNT,
                max(1, self.user // self.interval),
            ),
            (
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self.user * _MS_PER_SECOND,
            ),
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        )
        for level, name, setting in options:
            opened.setsockopt(level, name, setting)


# Longer than a sound upstream or VM is silent, so that four retransmissions
# fit in.
LINK_TIMEOUTS: Final = SocketTimeouts(user=4, idle=2, interval=1)
# Callers may read slowly, and their networks fail for longer.
_CALLER_USER_TIMEOUT_SECONDS: Final = 30
CALLER_TIMEOUTS: Final = SocketTimeouts(
    user=_CALLER_USER_TIMEOUT_SECONDS, idle=10, interval=5
)


class Network:
    """Opens listening, connected and datagram sockets."""

    def __init__(self, listeners: EarlyListeners | None = None) -> None:
        """Use the sockets that ``listeners`` has already opened."""
        self._listeners = listeners or EarlyListeners()

    async def connect(self, address: str, seconds: float) -> Socket:
        """Connect to ``address`` within ``seconds``.

        :raises OSError: when the connection is refused or times out
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            async with curio.timeout_after(seconds):
                await opened.connect(split_address(address))
        except curio.TaskTimeout as timeout:
            await self.discard(opened)
            raise TimeoutError(
                f'connecting to {address} timed out'
            ) from timeout
        except BaseException:
            await self.discard(opened)
            raise
        LINK_TIMEOUTS.apply(opened)
        return opened

    async def refuses_connections(self, address: str, seconds: float) -> bool:
        """Return whether ``address`` refuses connections.

        A timeout may be caused by the network. A refusal comes from the
        machine itself: nothing listens there any more.
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
        """Open a socket that accepts connections at ``address``."""
        return Socket(self._listeners.take(address) or listen(address))

    def datagrams(self, address: str) -> Socket:
        """Open a socket for datagrams at ``address``."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(split_address(address))
        return opened

    async def accept(
        self, listening: Socket, timeouts: SocketTimeouts = CALLER_TIMEOUTS
    ) -> Socket:
        """Wait for the next connection on ``listening``."""
        accepted, _origin = await listening.accept()
        timeouts.apply(accepted)
        return accepted

    def send_now(self, opened: Socket, encoded: bytes) -> int:
        """Send what the kernel accepts without waiting.

        :returns: the number of bytes sent
        :raises OSError: if the connection is closed or broken
        """
        try:
            return os.write(opened.fileno(), encoded)
        except BlockingIOError:
            return 0

    def unacknowledged(self, opened: Socket) -> int:
        """Return the sent bytes that the peer has not acknowledged."""
        return unacknowledged_bytes(opened)

    async def discard(self, opened: Socket) -> None:
        """Close a socket and ignore errors."""
        with contextlib.suppress(OSError):
            await opened.close()


def is_closed_by_peer(opened: Socket) -> bool:
    """Return whether the peer has closed the connection, without waiting.

    An idle connection that the peer has closed is readable and at end of
    file. A link that drops all packets is not detected.
    """
    return _peek(opened) == b''


def unacknowledged_bytes(opened: Socket) -> int:
    """Return the sent bytes that have not reached the peer's buffer.

    :returns: the count; 0 if the operating system does not tell
    """
    try:
        packed = fcntl.ioctl(
            opened.fileno(), termios.TIOCOUTQ, bytes(_INT.size)
        )
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(packed)[0])


def is_quiet(opened: Socket) -> bool:
    """Return whether a connection is open and has no data to read."""
    return _peek(opened) is None


def _peek(opened: Socket) -> bytes | None:
    """Return unread data; empty at end of file, ``None`` if there is none."""
    if opened.fileno() < 0:
        return b''
    try:
        with opened.blocking() as raw:
            return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b''
