"""What an owner learns of its engines from the requests that they served.

Services differ by a factor of ten in how long a request keeps its place and
how many adapters an engine keeps at hand. A fixed figure is wrong for all
but one of them, so each is a first guess that what is seen corrects.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

# One request in eight moves a mean by an eighth, as TCP smooths its times.
_STEP: Final = 0.125
_FIRST_HOLD_SECONDS: Final = 1.0
_LONGEST_INTERVAL_SECONDS: Final = 1.0
# Adapters that gave up their slot and may still be in an engine's memory.
_REMEMBERED_ADAPTERS: Final = 512
_FIRST_KEPT: Final = 48
# Loads are tried as if this many more were kept than have been seen to be.
_FIRST_MARGIN: Final = 24
_LARGEST_MARGIN: Final = 128
# One adapter that is missing may have been dropped for another reason.
_MISSED_SHARE: Final = 0.9


class HoldSeconds:
    """How long a request keeps its place, averaged over those that ended."""

    def __init__(self) -> None:
        """Start with a guess."""
        self.mean = _FIRST_HOLD_SECONDS

    def note(self, seconds: float) -> None:
        """Take one request that ended into account."""
        self.mean += (seconds - self.mean) * _STEP


class Turnover:
    """How often a place comes free for somebody who waits.

    The adapters in demand keep most slots for good, so the number of slots
    says little of how fast those who wait get one.
    """

    def __init__(self) -> None:
        """Start without anything seen."""
        self._interval: float | None = None
        self._since = clock.now()

    def note_first(self) -> None:
        """Note that somebody begins to wait where nobody did."""
        self._since = clock.now()

    def note_place(self) -> None:
        """Note that somebody who waited got a place."""
        moment = clock.now()
        passed = min(moment - self._since, _LONGEST_INTERVAL_SECONDS)
        self._since = moment
        if self._interval is None:
            self._interval = passed
        else:
            self._interval += (passed - self._interval) * _STEP

    def seconds_each(self, guess: float) -> float:
        """Give the time from one place to the next.

        :param guess: what to go by while nothing has been seen
        """
        seen = self._interval
        if seen is None:
            seen = guess
        return max(seen, clock.now() - self._since - _LONGEST_INTERVAL_SECONDS)


class KeptAdapters:
    """Which adapters an engine still has in its memory after their unload.

    The engine drops those that were used longest ago, at a number that it
    does not say. It is found out by loading a few more as if they were there:
    an engine that does not have one refuses its request without running it.
    """

    def __init__(self) -> None:
        """Know of none."""
        self.capacity = _FIRST_KEPT
        self._margin = _FIRST_MARGIN
        self._left: dict[AdapterId, int] = {}
        self._departures = 0

    def __contains__(self, name: AdapterId) -> bool:
        """Tell whether an adapter should be at hand."""
        depth = self._depth(name)
        return depth is not None and depth <= self.capacity + self._margin

    def note_left(self, name: AdapterId) -> None:
        """Note that an adapter gave up its slot."""
        self._departures += 1
        self._left.pop(name, None)
        self._left[name] = self._departures
        while len(self._left) > _REMEMBERED_ADAPTERS:
            self._left.pop(next(iter(self._left)))

    def note_found(self, name: AdapterId) -> None:
        """Note that an adapter was at hand when it was loaded."""
        depth = self._depth(name)
        if depth is not None and depth > self.capacity:
            self.capacity = depth
            self._margin = min(2 * self._margin, _LARGEST_MARGIN)

    def note_missed(self, name: AdapterId) -> None:
        """Note that an adapter had to be fetched."""
        depth = self._depth(name)
        if depth is None:
            return
        self._margin = max(self._margin // 2, 1)
        if depth <= self.capacity:
            self.capacity = int(self.capacity * _MISSED_SHARE)

    def clear(self) -> None:
        """Count nothing as kept: the engine began anew."""
        self._left.clear()

    def _depth(self, name: AdapterId) -> int | None:
        """Give how many adapters left after this one."""
        departure = self._left.get(name)
        return None if departure is None else self._departures - departure
