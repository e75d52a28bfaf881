"""When refused callers should come back."""

from __future__ import annotations

import unittest

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import return_times

CALLERS = 200


class TestReturnTimes(unittest.TestCase):
    """Callers that are refused at the same moment."""

    def test_callers_do_not_return_together(self):
        """Guards against the same burst once more after a refusal."""
        waits = [return_times.spread(2, f'r{one}') for one in range(CALLERS)]
        self.assertGreaterEqual(min(waits), 2)
        fullest = max(
            sum(start <= wait < start + 0.1 for wait in waits)
            for start in (2, 2.1, 2.2, 2.3, 2.4, 2.5)
        )
        self.assertLess(fullest, CALLERS / 3)

    def test_time_that_no_caller_can_wait(self):
        """Guards against a Retry-After that is no finite time to come."""
        for seconds in (float('inf'), float('nan'), -1):
            with self.assertRaises(ValueError):
                ServingError(ErrorKind.OVERLOADED, '', retry_after=seconds)
