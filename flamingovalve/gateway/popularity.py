"""How often each adapter is asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util.rates import DecayingRate

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

# A shorter memory forgets popular adapters between two of their requests.
_RATE_HALF_LIFE_SECONDS: Final = 15.0
# Callers name adapters as they like, so their number is bounded.
_RATED_ADAPTERS: Final = 2000


class Popularity:
    """How often each adapter is asked for."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._by_name: dict[AdapterId, DecayingRate] = {}

    def note(self, name: AdapterId) -> None:
        """Count one request for an adapter."""
        rate = self._by_name.pop(name, None)
        if rate is None:
            rate = DecayingRate(_RATE_HALF_LIFE_SECONDS)
        self._by_name[name] = rate
        rate.add()
        while len(self._by_name) > _RATED_ADAPTERS:
            self._by_name.pop(next(iter(self._by_name)))

    def per_second(self, name: AdapterId) -> float:
        """Give the requests a second for an adapter."""
        rate = self._by_name.get(name)
        return rate.per_second() if rate else 0

    def rank(self, name: AdapterId) -> float:
        """Give a number by which adapters can be ordered, the rarest first."""
        rate = self._by_name.get(name)
        return rate.rank if rate else float('-inf')
