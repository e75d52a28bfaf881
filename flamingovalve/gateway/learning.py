"""What an owner learns of its engines from the requests that they served.

Services differ by a factor of ten in how long a request keeps its place and
how many adapters an engine keeps at hand. A fixed figure is wrong for all
but one of them, so each is a first guess that what is seen corrects.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

# Share of the newest time in a mean, as TCP smooths its round trips.
_STEP: Final = 0.125
# Adapters that gave up their slot and may still be in an engine's memory.
_REMEMBERED_ADAPTERS: Final = 512
_FIRST_LOAD_SECONDS: Final = 0.25
# An adapter in an engine's own memory takes this share of a fetch.
_KEPT_SHARE: Final = 0.1
_FIRST_FULL_SPEED: Final = 8.0
_MOST_FULL_SPEED: Final = 512.0
# Loads more at full speed after one that came in time, until the first that
# did not; after it, this share more.
_FIRST_STEP: Final = 1.0
_LATER_SHARE: Final = 0.003
_MISS_SHARE: Final = 0.06
_SHRINK_SHARE: Final = 0.001
# Below this share of full speed a late load tells of loads as such.
_LITTLE_CONTENTION: Final = 0.5
_FIRST_KEPT: Final = 48
# Loads are tried as if this many more were kept than have been seen to be.
_FIRST_MARGIN: Final = 24
_LARGEST_MARGIN: Final = 128
# One adapter that is missing may have been dropped for another reason.
_MISSED_SHARE: Final = 0.9


class MeanSeconds:
    """How long something takes, averaged over the last times."""

    def __init__(self, guess: float) -> None:
        """Start with a guess."""
        self.mean = guess

    def note(self, seconds: float) -> None:
        """Take one more time into account."""
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

    def restart(self) -> None:
        """Measure the next interval from now on.

        For when somebody begins to wait where nobody did, and while no place
        can come free.
        """
        self._since = clock.now()

    def note_place(self) -> None:
        """Note that somebody who waited got a place."""
        moment = clock.now()
        passed = moment - self._since
        self._since = moment
        if self._interval is None:
            self._interval = passed
        else:
            self._interval += (passed - self._interval) * _STEP

    def seconds_each(self, guess: float, *, is_waited_for: bool) -> float:
        """Give the time from one place to the next.

        :param guess: what to go by while nothing has been seen
        :param is_waited_for: whether somebody waits, so that a standstill
            shows before it ends
        """
        seen = guess if self._interval is None else self._interval
        if not is_waited_for:
            return seen
        return max(seen, clock.now() - self._since)


@dataclass(frozen=True, slots=True)
class ExpectedLoad:
    """What was expected of one load until a request showed the truth.

    :ivar is_kept: whether the engine was thought to have it in its memory
    :ivar contention: loads under way over those that run at full speed
    :ivar began_at: when its order was accepted, on our clock
    :ivar ready_at: when it should be there, on our clock
    :ivar fetched_at: when it should be there if it had to be fetched
    """

    is_kept: bool
    contention: float
    began_at: float
    ready_at: float
    fetched_at: float


class LoadTimes:
    """How long loads take, alone and while others are under way.

    The weight store serves some loads at full speed; more take longer in
    proportion. Neither figure is told. Requests are sent when their adapter
    should be there, and an engine refuses those that come too early: from a
    refusal the times grow, from successes they shrink, as a sender on a
    network learns its share of a link.
    """

    def __init__(self, seconds: float = _FIRST_LOAD_SECONDS) -> None:
        """Start with a guess.

        :param seconds: of one load from the weight store
        """
        self.seconds = seconds
        self.full_speed = _FIRST_FULL_SPEED
        self.under_way = 0
        self._was_missed = False
        self._missed_at = float('-inf')

    def expected(self, *, is_kept: bool) -> ExpectedLoad:
        """Give what to expect of a load that begins now."""
        moment = clock.now()
        contention = (self.under_way + 1) / self.full_speed
        fetching = self.seconds * max(1, contention)
        taking = self.seconds * _KEPT_SHARE if is_kept else fetching
        return ExpectedLoad(
            is_kept,
            contention,
            moment,
            moment + taking,
            moment + fetching,
        )

    def note_hit(self, load: ExpectedLoad) -> None:
        """Note that an adapter was there when it should have been."""
        if load.is_kept:
            return
        if load.contention > 1:
            step = _FIRST_STEP
            if self._was_missed:
                step = _LATER_SHARE * self.full_speed
            self.full_speed = min(self.full_speed + step, _MOST_FULL_SPEED)
        else:
            self.seconds *= 1 - _SHRINK_SHARE

    def note_miss(self, load: ExpectedLoad) -> None:
        """Note that an adapter was not there yet."""
        if load.is_kept or load.began_at < self._missed_at:
            # Loads that began before the last miss tell of the same moment.
            return
        self._missed_at = clock.now()
        if load.contention > _LITTLE_CONTENTION:
            self._was_missed = True
            self.full_speed = max(1, self.full_speed * (1 - _MISS_SHARE))
        else:
            self.seconds *= 1 + _MISS_SHARE


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
