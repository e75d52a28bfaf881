"""A manual clock for unit tests."""

from __future__ import annotations

import unittest

from flamingovalve.util import clock

_START = 1000.0


class TimedTestCase(unittest.TestCase):
    """A test case whose clock only moves when it is advanced."""

    def setUp(self) -> None:
        """Replace the clock by a stopped one."""
        self.moment = _START
        clock.replace_source(lambda: self.moment, lambda: self.moment)
        self.addCleanup(clock.restore_source)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.moment += seconds
