"""A clock that a test of plain decisions sets by hand."""

from __future__ import annotations

import unittest

from flamingovalve.util import clock

_START = 1000.0


class TimedTestCase(unittest.TestCase):
    """A test whose clock stands still until it is advanced."""

    def setUp(self) -> None:
        """Stop the clock."""
        self.moment = _START
        clock.replace_source(lambda: self.moment, lambda: self.moment)
        self.addCleanup(clock.restore_source)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.moment += seconds
