"""Free loopback addresses."""

from __future__ import annotations

import itertools
import os
import socket

_FIRST_PORT = 20000
_PORTS = itertools.count(_FIRST_PORT)


def free_address() -> str:
    """Give an IP:port that nothing listens at, for TCP and UDP.

    The host is one of the loopback range that belongs to this process
    alone, so that runs side by side do not take each other's ports.
    """
    host = own_host()
    while True:
        port = next(_PORTS)
        if _is_free(host, port, socket.SOCK_STREAM) and _is_free(
            host,
            port,
            socket.SOCK_DGRAM,
        ):
            return f'{host}:{port}'


def own_host() -> str:
    """Give the loopback address that belongs to this process."""
    # Asked anew each time: a forked process must not share its parent's.
    own = os.getpid()
    return f'127.{64 + (own >> 16) % 64}.{own >> 8 & 255}.{own % 254 + 1}'


def _is_free(host: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
