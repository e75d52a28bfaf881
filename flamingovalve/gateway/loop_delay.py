"""Whether the event loop of this process runs late.

Addresses VMs that get more requests than their processor time suffices for:
all their responses are late, while other VMs are idle.
"""

from __future__ import annotations

from typing import Final

import curio

from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

logger = get_logger(__name__)

_PERIOD_SECONDS: Final = 0.25
# Weight of the newest delay; a pause of half a second alone is no overload.
_SMOOTHING_FACTOR: Final = 0.15
# Calls of plain services have targets from 0.16 s on, and pass the loop
# several times.
_LATE_SECONDS: Final = 0.1
_IN_TIME_SECONDS: Final = 0.02


class LoopDelay:
    """Measures how much later than planned this process wakes up.

    :ivar mean: smoothed delay in seconds
    :ivar is_late: whether it is too long to serve callers in time
    """

    def __init__(self) -> None:
        """Start in time."""
        self.mean = 0.0
        self.is_late = False

    def record(self, delay: float) -> None:
        """Record one delay in seconds."""
        self.mean += (delay - self.mean) * _SMOOTHING_FACTOR
        limit = _IN_TIME_SECONDS if self.is_late else _LATE_SECONDS
        was_late = self.is_late
        self.is_late = self.mean > limit
        if self.is_late is not was_late:
            note(
                logger,
                'this VM is overloaded' if self.is_late else 'this VM has room',
                delay=round(self.mean, 3),
            )

    async def measure_forever(self) -> None:
        """Measure until cancelled."""
        while True:
            planned = clock.now() + _PERIOD_SECONDS
            await curio.sleep(_PERIOD_SECONDS)
            self.record(max(clock.now() - planned, 0))
