"""Writing log lines never blocks a process."""

from __future__ import annotations

import json
import os
import unittest

from flamingovalve.util.lines import LineWriter


class TestLineWriter(unittest.TestCase):
    """A line writer on a pipe whose reader may stop reading."""

    def setUp(self) -> None:
        """Open a pipe with a line writer at its write end."""
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        self.writer = LineWriter(write_end)

    def read_lines(self):
        """Return the lines in the pipe."""
        os.set_blocking(self.read_end, False)
        return os.read(self.read_end, 1 << 20).decode().splitlines()

    def test_line_is_written(self):
        self.writer.write('one\n')
        self.assertEqual(self.read_lines(), ['one'])

    def test_stopped_reader_does_not_block_writes(self):
        """The log collector stops reading for a while.

        If writes blocked, every request of the process would hang until the
        collector reads again. The lines are dropped and counted instead.
        """
        for _line in range(200):
            self.writer.write('x' * 1000 + '\n')
        self.assertGreater(self.writer.dropped, 100)
        written = self.read_lines()
        dropped = self.writer.dropped
        self.assertEqual(len(written) + dropped, 200)
        self.writer.write('after\n')
        dropped_notice, last = self.read_lines()
        self.assertEqual(json.loads(dropped_notice)['lines'], dropped)
        self.assertEqual(last, 'after')

    def test_long_line_is_truncated(self):
        self.writer.write('x' * 100000 + '\n')
        self.assertLessEqual(len(self.read_lines()[0]), 4096)
