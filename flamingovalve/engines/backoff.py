"""When a load that failed may be tried again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from flamingovalve.util import clock

_FIRST_SECONDS: Final = 0.5
_LONGEST_SECONDS: Final = 30.0


@dataclass(slots=True)
class Backoff:
    """The failures of one adapter's loads.

    :ivar until: the load is not tried before this moment, on our clock
    """

    failures: int
    until: float


class LoadBackoffs:
    """Failed loads by adapter name; each failure doubles the pause.

    A broken adapter would otherwise be loaded again and again and take the
    store's budget from those that work.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._by_name: dict[str, Backoff] = {}

    def failed(self, name: str) -> None:
        """Count a failed load."""
        known = self._by_name.get(name)
        failures = known.failures + 1 if known else 1
        pause = min(_FIRST_SECONDS * 2 ** (failures - 1), _LONGEST_SECONDS)
        self._by_name[name] = Backoff(failures, clock.now() + pause)

    def clear(self, name: str) -> None:
        """Forget the failures of an adapter that has loaded."""
        self._by_name.pop(name, None)

    def remaining(self, name: str) -> float:
        """Give the seconds until a load may be tried; 0 if it may now."""
        known = self._by_name.get(name)
        return max(known.until - clock.now(), 0) if known else 0
