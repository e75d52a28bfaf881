"""Delivers signals of the operating system to a task."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING, Self

from curio.io import Socket

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import FrameType


class SignalQueue:
    """Asynchronous iterator over signals in the order of their arrival.

    The interpreter writes the number of each signal to a socket, so that a
    curio kernel that waits for descriptors wakes up without polling.
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        """Install handlers for the signals of ``numbers``."""
        reading, writing = socket.socketpair()
        self._writing = writing
        self._reading = Socket(reading)
        self._writing.setblocking(False)
        signal.set_wakeup_fd(self._writing.fileno())
        for number in numbers:
            signal.signal(number, _ignore)

    def __aiter__(self) -> Self:
        """Return this iterator."""
        return self

    async def __anext__(self) -> signal.Signals:
        """Wait for the next signal."""
        received = await self._reading.recv(1)
        return signal.Signals(received[0])


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Do nothing: the socket delivers the signal to the waiting task."""
