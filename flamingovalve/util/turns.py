"""Lets other tasks run while one always finds work to do."""

from __future__ import annotations

from typing import Final

import curio

_MAX_STEPS: Final = 32
_BYTES_PER_STEP: Final = 8192


class Turns:
    """Yields after a bound of work that did not wait for anything.

    Reading from a socket that has data does not switch tasks, so a task whose
    peer sends without end would stop all others, and the timeouts as well.
    """

    def __init__(self) -> None:
        """Start a turn."""
        self._steps = 0

    async def record(self, size: int = 0) -> None:
        """Record a step; let other tasks run if the turn is over.

        :param size: bytes that the step has handled
        """
        self._steps += 1 + size // _BYTES_PER_STEP
        if self._steps >= _MAX_STEPS:
            self._steps = 0
            await curio.sleep(0)
