"""Free loopback addresses."""

from __future__ import annotations

import functools
import itertools
import os
import socket

_FIRST_PORT = 20000
_PORTS = itertools.count(_FIRST_PORT)
_PEER_PORT = 7380
_BLOCKS = 64
# Sockets that keep other runs out of a block for as long as this one lives.
_GUARDS: list[socket.socket] = []


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


def peer_address(index: int) -> str:
    """Give the peer address of a VM, the same in each run of the tests.

    Who owns what is decided by hashes of these addresses, so a seed plays
    the same only where they are the same. Runs side by side take different
    blocks; the first block is free wherever one runs alone.
    """
    return f'127.200.{_own_block()}.{index + 1}:{_PEER_PORT}'


@functools.cache
def _own_block() -> int:
    for block in range(_BLOCKS):
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((f'127.200.{block}.254', _PEER_PORT))
        except OSError:
            guard.close()
            continue
        _GUARDS.append(guard)
        return block
    raise RuntimeError('every block of addresses is taken; end other runs')


def _is_free(host: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
