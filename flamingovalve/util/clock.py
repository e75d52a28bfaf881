"""The clocks that every module reads.

The curio kernel reads ``time.monotonic``; so does this module, so that both
agree. Tests replace the sources by a clock that they pause and advance.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Sources:
    """The functions that are read for the time."""

    def __init__(self) -> None:
        """Read the clocks of the operating system."""
        self.monotonic: Callable[[], float] = time.monotonic
        self.wall: Callable[[], float] = time.time
        self.boot: Callable[[], float] = _boot_time


_SOURCES = _Sources()


def now() -> float:
    """Give the monotonic time in seconds."""
    return _SOURCES.monotonic()


def wall() -> float:
    """Give the Unix time in seconds, as this VM believes it to be."""
    return _SOURCES.wall()


def boot() -> float:
    """Give the seconds since the VM booted, including suspensions."""
    return _SOURCES.boot()


def replace_source(
    monotonic: Callable[[], float],
    wall_time: Callable[[], float],
    boot_time: Callable[[], float] | None = None,
) -> None:
    """Read the clocks from other sources from now on (tests only).

    :param boot_time: defaults to ``monotonic``
    """
    _SOURCES.monotonic = monotonic
    _SOURCES.wall = wall_time
    _SOURCES.boot = boot_time or monotonic


def restore_source() -> None:
    """Read the clocks of the operating system again."""
    replace_source(time.monotonic, time.time, _boot_time)
