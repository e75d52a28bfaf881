"""The prefill work queued on an engine, by priority.

Prefill can dominate an engine's time: a prompt of 9,000 tokens takes a third
of a second, so three queued ones make the next request late. An engine
processes the prompts of more urgent requests first. Where more prompts arrive
than an engine can process, those that are late anyway come last.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.messages import PlaceAsk
    from flamingovalve.generated.settings import GatewaySettings


class PrefillBacklog:
    """Seconds of queued prefill work, drained as time passes.

    Engines do not report when a prefill is done, so the backlog is drained by
    the clock, the most urgent work first. Prompts that yield come last.
    """

    def __init__(self) -> None:
        """Start with an empty backlog."""
        self._seconds_by_priority: dict[int, float] = {}
        self._yielding_seconds = 0.0
        self._longest_yielding = 0.0
        self._drained_at = clock.now()

    def add(self, priority: int, seconds: float) -> None:
        """Add the prefill of a request, which takes ``seconds``."""
        self._drain()
        waiting = self._seconds_by_priority.get(priority, 0)
        self._seconds_by_priority[priority] = waiting + seconds

    def add_yielding(self, seconds: float) -> None:
        """Add a prefill that begins after all that do not yield."""
        self._drain()
        self._yielding_seconds += seconds
        self._longest_yielding = max(self._longest_yielding, seconds)

    def wait_seconds(self) -> float:
        """Return the seconds until the prefill of a new request can begin.

        Less urgent prompts count too: an engine finishes a long prefill that
        it has begun before a short one that is more urgent. Without them, a
        short request waited half a second for a long document on an engine
        that seemed idle.
        """
        self._drain()
        if self._seconds_by_priority:
            return sum(self._seconds_by_priority.values())
        # The one that has begun.
        return min(self._yielding_seconds, self._longest_yielding)

    def total_seconds(self) -> float:
        """Return the seconds until the prefill of a yielding one can begin."""
        self._drain()
        return sum(self._seconds_by_priority.values()) + self._yielding_seconds

    def clear(self) -> None:
        """Empty the backlog after a restart of the engine."""
        self._seconds_by_priority.clear()
        self._yielding_seconds = 0
        self._longest_yielding = 0

    def _drain(self) -> None:
        now = clock.now()
        elapsed = now - self._drained_at
        self._drained_at = now
        for priority in sorted(self._seconds_by_priority):
            waiting = self._seconds_by_priority[priority]
            done = min(waiting, elapsed)
            elapsed -= done
            if waiting > done:
                self._seconds_by_priority[priority] = waiting - done
            else:
                del self._seconds_by_priority[priority]
        self._yielding_seconds = max(0, self._yielding_seconds - elapsed)
        if not self._yielding_seconds:
            self._longest_yielding = 0


def must_yield(
    settings: GatewaySettings, ask: PlaceAsk, seconds: float
) -> bool:
    """Return whether a request is prefilled after those that can be in time.

    In the order of arrival, a backlog that is longer than the target makes
    every request late.

    :param seconds: expected time until its first event if it does not yield
    """
    return settings.late_requests_yield and seconds > ask.target
