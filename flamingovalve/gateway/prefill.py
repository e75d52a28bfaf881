"""How much prompt an engine still has to read, by urgency.

Answers engines whose time goes into reading prompts: a review of 9,000
tokens takes a third of a second, so three that wait make the next one late.
An engine reads the prompts of more urgent requests first.
"""

from __future__ import annotations

from flamingovalve.util import clock


class PrefillBacklog:
    """Seconds of reading that wait, drained as time passes.

    Nobody reports when a prompt has been read, so the queue is drained by
    the clock, the most urgent work first.
    """

    def __init__(self) -> None:
        """Start with nothing to read."""
        self._seconds_by_priority: dict[int, float] = {}
        self._at = clock.now()

    def add(self, priority: int, seconds: float) -> None:
        """Add the prompt of a request."""
        self._drain()
        waiting = self._seconds_by_priority.get(priority, 0)
        self._seconds_by_priority[priority] = waiting + seconds

    def ahead(self) -> float:
        """Give the seconds until one more prompt is begun.

        Less urgent prompts count too: an engine finishes a long one that it
        has begun before it reads a short one that is more urgent. Left out,
        a question waited half a second behind a long document on an engine
        that seemed to be free.
        """
        self._drain()
        return sum(self._seconds_by_priority.values())

    def clear(self) -> None:
        """Count nothing as waiting: the engine began anew."""
        self._seconds_by_priority.clear()

    def _drain(self) -> None:
        moment = clock.now()
        left = moment - self._at
        self._at = moment
        for priority in sorted(self._seconds_by_priority):
            waiting = self._seconds_by_priority[priority]
            read = min(waiting, left)
            left -= read
            if waiting > read:
                self._seconds_by_priority[priority] = waiting - read
            else:
                del self._seconds_by_priority[priority]
