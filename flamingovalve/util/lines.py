"""Writes lines to a file descriptor without blocking."""

from __future__ import annotations

import os
from typing import Final

# Writes of at most this size to a pipe are atomic.
_MAX_LINE_BYTES: Final = 4096


class LineWriter:
    """A text stream that drops lines while the descriptor is not writable.

    When the reader of standard output stops reading, the pipe fills, and a
    blocking write would stall every request of the process. Dropped lines are
    counted, and the count is written once a write succeeds again.
    """

    def __init__(self, descriptor: int) -> None:
        """Make ``descriptor`` non-blocking and write to it."""
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, truncated to the size of an atomic write."""
        encoded = text.encode(errors='backslashreplace')
        if len(encoded) > _MAX_LINE_BYTES:
            encoded = b''.join((encoded[: _MAX_LINE_BYTES - 1], b'\n'))
        if self.dropped and self._try_write(self._dropped_line()):
            self.dropped = 0
        if not self._try_write(encoded):
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _dropped_line(self) -> bytes:
        return f'{{"message": "lines dropped", "lines": {self.dropped}}}\n'.encode()

    def _try_write(self, encoded: bytes) -> bool:
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # The pipe is full or its reader has closed it. Only the count
            # that is written later can report this.
            return False
        return True
