"""Tracks when the local configuration was last known to be current."""

from __future__ import annotations

from flamingovalve.util import clock


class Confirmation:
    """The latest time at which the local configuration was current.

    Uses the boot clock, which includes suspensions, so that a resumed VM does
    not treat its configuration as fresh.
    """

    def __init__(self) -> None:
        """Create an object without any confirmation."""
        self._as_of = float('-inf')

    def record(self, asked_at: float, age: float = 0) -> None:
        """Record a response that confirmed or updated the configuration.

        :param asked_at: when the request was sent, on the boot clock; the
            time of receipt would understate the age
        :param age: age in seconds of the responder's own confirmation
        """
        self._as_of = max(self._as_of, asked_at - age)

    def age(self) -> float:
        """Return the seconds since the last confirmation; infinite if none."""
        return clock.boot() - self._as_of

    def is_later_than(self, instant: float) -> bool:
        """Return whether the configuration was current at an instant.

        :param instant: time on the boot clock
        """
        return self._as_of >= instant
