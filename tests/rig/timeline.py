"""A manual clock for unit tests."""

from __future__ import annotations

import unittest

from flamingovalve.util import clock

_START = 1000.0


class TimedTestCase(unittest.TestCase):
    """A test case whose clock only moves when it is advanced."""

    def setUp(self) -> None:
        """Replace the clock by a stopped one."""
        self.current_time = _START
        clock.replace_source(
            lambda: self.current_time, lambda: self.current_time
        )
        self.addCleanup(clock.restore_source)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.current_time += seconds
