"""The clocks that all modules read.

Like the curio kernel, this module reads ``time.monotonic``, so that both
agree. Tests replace the sources with a clock that they pause and advance.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Sources:
    """The functions that return the time."""

    def __init__(self) -> None:
        """Read the clocks of the operating system."""
        self.monotonic: Callable[[], float] = time.monotonic
        self.wall: Callable[[], float] = time.time
        self.boot: Callable[[], float] = _boot_time


_SOURCES = _Sources()


def now() -> float:
    """Return the monotonic time in seconds."""
    return _SOURCES.monotonic()


def wall() -> float:
    """Return the Unix time in seconds according to this VM's clock."""
    return _SOURCES.wall()


def boot() -> float:
    """Return the seconds since the VM booted, including suspensions."""
    return _SOURCES.boot()


def replace_source(
    monotonic: Callable[[], float],
    wall_time: Callable[[], float],
    boot_time: Callable[[], float] | None = None,
) -> None:
    """Replace the sources of the clocks (tests only).

    :param boot_time: defaults to ``monotonic``
    """
    _SOURCES.monotonic = monotonic
    _SOURCES.wall = wall_time
    _SOURCES.boot = boot_time or monotonic


def restore_source() -> None:
    """Read the clocks of the operating system again."""
    replace_source(time.monotonic, time.time, _boot_time)
