"""Listening sockets that are open before the libraries of a daemon load.

Imports nothing but the standard library's sockets, so that the ports open
within milliseconds of the start of a process.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections.abc import Iterable

_BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into its two parts.

    :raises ValueError: when the text is not of that form
    """
    host, separator, port = address.rpartition(':')
    if not separator or not port.isdigit():
        raise ValueError(f'{address!r} is not of the form IP:port')
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
        """Hold none."""
        self._by_address: dict[str, socket.socket] = {}

    @classmethod
    def opened(cls, addresses: Iterable[str]) -> Self:
        """Listen at ``addresses``, as far as they can be bound.

        The daemon tries those that cannot once more and says what is wrong.
        """
        listeners = cls()
        for address in addresses:
            with contextlib.suppress(OSError, ValueError):
                listeners._by_address[address] = listen(address)
        return listeners

    def take(self, address: str) -> socket.socket | None:
        """Give the socket of an address to whoever accepts there."""
        return self._by_address.pop(address, None)
