"""The pauses between the events of a stream, as an engine causes them.

The owner of an engine learns from them which prompts make other streams pause.
"""

from __future__ import annotations

from flamingovalve.http.bodies import EventBuffer
from flamingovalve.util import clock


class EventPauses:
    """Measures the longest pause between two complete events of a stream.

    The time in which an event is written to the caller does not count:
    otherwise a caller that reads slowly would look like a slow engine.

    A stream that ends early ends its last pause.

    :ivar longest: longest pause in seconds; 0 before the first event
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self.longest = 0.0
        self._event_at: float | None = None
        self._received_at = 0.0
        self._is_writing = False
        self._events = EventBuffer()

    def record_chunk(self, chunk_bytes: bytes) -> None:
        """Record data that has just been received from the upstream."""
        now = clock.now()
        self._received_at = now
        self._is_writing = True
        if not self._events.feed(chunk_bytes):
            return
        if self._event_at is not None:
            self.longest = max(self.longest, now - self._event_at)
        self._event_at = now

    def record_written(self) -> None:
        """Record that the last data received is written to the caller."""
        self._is_writing = False
        if self._event_at is not None:
            self._event_at += clock.now() - self._received_at

    def record_end(self) -> None:
        """Record that the stream ended before its last event."""
        ended_at = self._received_at if self._is_writing else clock.now()
        if self._event_at is not None:
            self.longest = max(self.longest, ended_at - self._event_at)
