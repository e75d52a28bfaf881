"""Learns after which time a call has taken longer than nearly all calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from flamingovalve.generated.ids import ServiceId

# Share of the calls that take less time. The retry budget allows at most one
# retry for ten calls, and retries after failures need their part of it.
_QUANTILE: Final = 0.95
# A call beyond the quantile raises it by a fifth, one below lowers it by 1 %.
_STEP: Final = 0.2
_INITIAL_RATIO: Final = 3.0
_MIN_RATIO: Final = 1.5
_MAX_RATIO: Final = 20.0


class HedgeDelays:
    """The time of nearly all calls of each service, in expected times.

    Relative to the time that the keeper expects, as that grows with the queue:
    a hedge in overload would only add to it.
    """

    def __init__(self) -> None:
        """Start with the initial estimate."""
        self._ratios_by_service: dict[ServiceId, float] = {}

    def delay(self, service: ServiceId, expected: float) -> float:
        """Return the seconds after which a call may be hedged."""
        return expected * self._ratio(service)

    def record(self, service: ServiceId, ratio: float) -> None:
        """Record the time of an answered call, relative to that expected."""
        self._adjust(service, is_longer=ratio > self._ratio(service))

    def record_hedge(self, service: ServiceId) -> None:
        """Record a call that was hedged, whose own time may stay unknown."""
        self._adjust(service, is_longer=True)

    def _ratio(self, service: ServiceId) -> float:
        return self._ratios_by_service.get(service, _INITIAL_RATIO)

    def _adjust(self, service: ServiceId, *, is_longer: bool) -> None:
        growth = _QUANTILE if is_longer else _QUANTILE - 1
        ratio = self._ratio(service) * math.exp(_STEP * growth)
        self._ratios_by_service[service] = min(
            max(ratio, _MIN_RATIO), _MAX_RATIO
        )
