"""Exponential backoff of failed adapter loads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from flamingovalve.util import clock

_INITIAL_PAUSE_SECONDS: Final = 0.5
_MAX_PAUSE_SECONDS: Final = 30.0


@dataclass(slots=True)
class Backoff:
    """Consecutive failed loads of one adapter.

    :ivar failures: failed loads since the last successful one
    :ivar retry_at: earliest time of the next load, on the monotonic clock
    """

    failures: int
    retry_at: float


class LoadBackoffs:
    """Failed loads by adapter name; each failure doubles the pause.

    Without a pause, an adapter that cannot be loaded would be retried all
    the time and use up the part of the store's load budget that other
    adapters need.
    """

    def __init__(self) -> None:
        """Create an empty table of failures."""
        self._by_name: dict[str, Backoff] = {}

    def record_failure(self, name: str) -> None:
        """Record a failed load and extend the pause."""
        known = self._by_name.get(name)
        failures = known.failures + 1 if known else 1
        pause = min(
            _INITIAL_PAUSE_SECONDS * 2 ** (failures - 1), _MAX_PAUSE_SECONDS
        )
        self._by_name[name] = Backoff(failures, clock.now() + pause)

    def clear(self, name: str) -> None:
        """Reset the failures of an adapter that has loaded."""
        self._by_name.pop(name, None)

    def remaining_seconds(self, name: str) -> float:
        """Return the seconds until a load may be tried; 0 if it may be now."""
        known = self._by_name.get(name)
        return max(known.retry_at - clock.now(), 0) if known else 0
