"""Free loopback addresses."""

from __future__ import annotations

import itertools
import os
import socket

_FIRST_PORT = 20000
_PID = os.getpid()
_HOST = f'127.{64 + (_PID >> 16) % 64}.{_PID >> 8 & 255}.{_PID % 254 + 1}'
_PORTS = itertools.count(_FIRST_PORT)


def free_address() -> str:
    """Give an IP:port that nothing listens at, for TCP and UDP.

    The host is one of the loopback range that belongs to this process
    alone, so that runs side by side do not take each other's ports.
    """
    while True:
        port = next(_PORTS)
        if _is_free(port, socket.SOCK_STREAM) and _is_free(
            port,
            socket.SOCK_DGRAM,
        ):
            return f'{_HOST}:{port}'


def _is_free(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
