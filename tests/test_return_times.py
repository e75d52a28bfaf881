"""Tests of the retry times of refused callers."""

from __future__ import annotations

import unittest

from flamingovalve.errors import ErrorKind, ServingError
from flamingovalve.gateway import return_times

CALLERS = 200


class TestReturnTimes(unittest.TestCase):
    """Callers that are refused at the same time."""

    def test_retry_times_have_jitter(self):
        """Guards against refused callers that return as the same burst."""
        waits = [
            return_times.add_jitter(2, f'r{one}') for one in range(CALLERS)
        ]
        self.assertGreaterEqual(min(waits), 2)
        max_count = max(
            sum(start <= wait < start + 0.1 for wait in waits)
            for start in (2, 2.1, 2.2, 2.3, 2.4, 2.5)
        )
        self.assertLess(max_count, CALLERS / 3)

    def test_invalid_retry_time_is_rejected(self):
        """Guards against a Retry-After that is infinite, NaN or negative."""
        for seconds in (float('inf'), float('nan'), -1):
            with self.assertRaises(ValueError):
                ServingError(ErrorKind.OVERLOADED, '', retry_after=seconds)
