"""Causes of requests that were answered lately."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from flamingovalve.generated.ids import Fingerprint

_MAX_CAUSES: Final = 4096


class Successes:
    """A bounded table of causes with a recent success, at any VM."""

    def __init__(self, seconds: float) -> None:
        """Remember a success for ``seconds``."""
        self._seconds = seconds
        self._until_by_cause: OrderedDict[Fingerprint, float] = OrderedDict()

    def record(self, causes: Iterable[Fingerprint]) -> None:
        """Record a success of each cause."""
        until = clock.now() + self._seconds
        for cause in causes:
            self._until_by_cause[cause] = until
            self._until_by_cause.move_to_end(cause)
        while len(self._until_by_cause) > _MAX_CAUSES:
            self._until_by_cause.popitem(last=False)

    def include(self, cause: Fingerprint) -> bool:
        """Return whether a success of a cause is known."""
        return clock.now() < self._until_by_cause.get(cause, 0)
