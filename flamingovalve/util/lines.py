"""Writes lines to a descriptor and never waits for its reader."""

from __future__ import annotations

import os
from typing import Final

# A pipe takes a write of this size whole or not at all.
_LONGEST_LINE_BYTES: Final = 4096


class LineWriter:
    """A text stream whose lines are dropped while nobody reads them.

    A reader of standard output that stops reading fills the pipe, and the
    next write would hold up every request of the process. Dropped lines are
    counted, and the count is written as soon as there is room again.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which no longer blocks from now on."""
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, shortened to what a pipe takes at once."""
        encoded = text.encode()
        if len(encoded) > _LONGEST_LINE_BYTES:
            encoded = b''.join((encoded[: _LONGEST_LINE_BYTES - 1], b'\n'))
        if self.dropped and self._put(self._dropped_line()):
            self.dropped = 0
        if not self._put(encoded):
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: every line is written when it comes."""

    def _dropped_line(self) -> bytes:
        return f'{{"message": "lines dropped", "lines": {self.dropped}}}\n'.encode()

    def _put(self, encoded: bytes) -> bool:
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # Nobody reads, or the reader is gone. There is no better place
            # to say so than the count that is written later.
            return False
        return True
