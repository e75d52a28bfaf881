"""Log lines never hold up a process."""

from __future__ import annotations

import json
import os
import unittest

from flamingovalve.util.lines import LineWriter


class TestLineWriter(unittest.TestCase):
    """A pipe whose reader comes and goes."""

    def setUp(self) -> None:
        """Open a pipe."""
        self.prefill, writing = os.pipe()
        self.addCleanup(os.close, self.prefill)
        self.addCleanup(os.close, writing)
        self.writer = LineWriter(writing)

    def read_lines(self):
        """Read what is in the pipe."""
        os.set_blocking(self.prefill, False)
        return os.read(self.prefill, 1 << 20).decode().splitlines()

    def test_line_is_written(self):
        self.writer.write('one\n')
        self.assertEqual(self.read_lines(), ['one'])

    def test_reader_that_stops_holds_up_nothing(self):
        """Whoever collects the logs stops reading for a while.

        With a write that waits, every request of the process would hang
        until the collector reads again.
        """
        for _line in range(200):
            self.writer.write('x' * 1000 + '\n')
        self.assertGreater(self.writer.dropped, 100)
        written = self.read_lines()
        dropped = self.writer.dropped
        self.assertEqual(len(written) + dropped, 200)
        self.writer.write('after\n')
        count, last = self.read_lines()
        self.assertEqual(json.loads(count)['lines'], dropped)
        self.assertEqual(last, 'after')

    def test_long_line_is_shortened(self):
        self.writer.write('x' * 100000 + '\n')
        self.assertLessEqual(len(self.read_lines()[0]), 4096)
