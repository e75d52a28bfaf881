"""Delivers signals of the operating system to a task."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING, Final, Self

import curio
from curio.io import Socket

if TYPE_CHECKING:
    from flamingovalve.util.signal_record import SignalRecord

_READ_BYTES: Final = 4096


class SignalQueue:
    """Asynchronous iterator over recorded signals in order of arrival.

    The interpreter writes a byte for each signal to a socket, so that a
    curio kernel that waits for descriptors wakes up without polling. The
    bytes carry nothing else: those that find the socket full are dropped
    without a report, which would wait for a lock that the interrupted code
    may hold.
    """

    def __init__(self, record: SignalRecord) -> None:
        """Deliver the signals of ``record``, earlier ones included."""
        reading, writing = socket.socketpair()
        self._record = record
        self._taken: list[int] = []
        self._writing = writing
        self._reading = Socket(reading)
        self._writing.setblocking(False)
        signal.set_wakeup_fd(self._writing.fileno(), warn_on_full_buffer=False)

    def __aiter__(self) -> Self:
        """Return this iterator."""
        return self

    async def __anext__(self) -> signal.Signals:
        """Wait for the next signal."""
        # Other tasks run between the signals of a flood.
        await curio.sleep(0)
        while not self._taken:
            self._taken = self._record.take()
            if not self._taken:
                await self._reading.recv(_READ_BYTES)
        return signal.Signals(self._taken.pop(0))
