"""How often each adapter is asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util.rates import DecayingRate

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

# Popularity moves on every few seconds on the users' deployments; a shorter
# memory forgets the Zipf head between two of its calls.
_RATE_HALF_LIFE_SECONDS: Final = 15.0
# Callers name adapters as they like; 100 bytes for each that was asked for
# lately, and 40 times as many as five engines hold.
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
