"""Listening sockets that are opened before a daemon loads its libraries.

Imports only the socket module and other small modules of the standard
library, so that the ports open within milliseconds of the start of a process.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections.abc import Iterable

_BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the IP address and the port.

    :raises ValueError: when ``address`` does not have that form
    """
    host, separator, port = address.rpartition(':')
    if not separator or not port.isdigit():
        raise ValueError(f'{address!r} does not have the form IP:port')
    return host, int(port)


def listen(address: str) -> socket.socket:
    """Open a TCP socket that queues connections to ``address``.

    :raises OSError: when the address cannot be bound
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind(split_address(address))
        opened.listen(_BACKLOG)
    except BaseException:
        opened.close()
        raise
    return opened


class EarlyListeners:
    """Sockets that queue connections until a daemon accepts them."""

    def __init__(self) -> None:
        """Start without sockets."""
        self._by_address: dict[str, socket.socket] = {}

    @classmethod
    def opened(cls, addresses: Iterable[str]) -> Self:
        """Listen at those of ``addresses`` that can be bound.

        The daemon retries the others and reports why they cannot be bound.
        """
        listeners = cls()
        for address in addresses:
            with contextlib.suppress(OSError, ValueError):
                listeners._by_address[address] = listen(address)
        return listeners

    def take(self, address: str) -> socket.socket | None:
        """Remove and return the socket of an address, if there is one."""
        return self._by_address.pop(address, None)

    def keep(self, addresses: Iterable[str]) -> None:
        """Close the sockets of all other addresses.

        Callers that connect there would wait for a daemon that listens
        elsewhere.
        """
        for address in set(self._by_address) - set(addresses):
            self._by_address.pop(address).close()
