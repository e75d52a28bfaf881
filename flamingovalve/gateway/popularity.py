"""Request rate of each adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util.rates import DecayingRate

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

# A shorter half-life forgets popular adapters between two of their requests.
_RATE_HALF_LIFE_SECONDS: Final = 15.0
# Callers choose adapter names freely, so the number of entries is bounded.
_MAX_RATED_ADAPTERS: Final = 2000


class Popularity:
    """Request rate of each adapter."""

    def __init__(self) -> None:
        """Start without requests."""
        self._by_name: dict[AdapterId, DecayingRate] = {}

    def record(self, name: AdapterId) -> None:
        """Count one request for an adapter."""
        rate = self._by_name.pop(name, None)
        if rate is None:
            rate = DecayingRate(_RATE_HALF_LIFE_SECONDS)
        self._by_name[name] = rate
        rate.add()
        while len(self._by_name) > _MAX_RATED_ADAPTERS:
            self._by_name.pop(next(iter(self._by_name)))

    def per_second(self, name: AdapterId) -> float:
        """Return the requests per second for an adapter."""
        rate = self._by_name.get(name)
        return rate.per_second() if rate else 0

    def rank(self, name: AdapterId) -> float:
        """Return a sort key; the least requested adapter has the lowest."""
        rate = self._by_name.get(name)
        return rate.rank if rate else float('-inf')
