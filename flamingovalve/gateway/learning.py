"""Estimates that an owner derives from the requests its engines served.

Services differ by a factor of ten in how long a request keeps its place and
in how many adapters an engine keeps in memory. No fixed value fits them all,
so each value starts as an initial estimate that observations correct.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import AdapterId

# Weight of the newest sample in a mean, as for the round-trip time of TCP.
_SMOOTHING_FACTOR: Final = 0.125
# Unloaded adapters that may still be in an engine's memory.
_MAX_REMEMBERED_ADAPTERS: Final = 512
_INITIAL_LOAD_SECONDS: Final = 0.25
# A load from an engine's own memory takes this share of a fetch.
_KEPT_LOAD_SHARE: Final = 0.1
_INITIAL_FULL_SPEED_LOADS: Final = 8.0
_MAX_FULL_SPEED_LOADS: Final = 512.0
# Increase of the number of full-speed loads after a load that was ready in
# time: this many before the first late load, afterwards this share.
_INITIAL_INCREASE_LOADS: Final = 1.0
_LATER_INCREASE_SHARE: Final = 0.003
_MISS_CHANGE_SHARE: Final = 0.06
_HIT_DECREASE_SHARE: Final = 0.001
# At or below this contention a late load means that a single load takes longer
# than estimated.
_LOW_CONTENTION: Final = 0.5
_INITIAL_KEPT_ADAPTERS: Final = 48
# Adapters beyond the known capacity that are also assumed to be kept.
_INITIAL_PROBE_MARGIN: Final = 24
_MAX_PROBE_MARGIN: Final = 128
# A single missing adapter may have been dropped for another reason.
_CAPACITY_AFTER_MISS_SHARE: Final = 0.9


class MeanSeconds:
    """Exponentially weighted mean of durations, in seconds."""

    def __init__(self, initial: float) -> None:
        """Start with an initial estimate."""
        self.mean = initial

    def record(self, seconds: float) -> None:
        """Add one measured duration."""
        self.mean += (seconds - self.mean) * _SMOOTHING_FACTOR


class PlaceInterval:
    """Mean interval between places granted to waiting requests.

    Popular adapters keep most slots permanently, so the number of slots says
    little about how fast waiting requests get one.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._mean_interval: float | None = None
        self._interval_started_at = clock.now()

    def restart(self) -> None:
        """Measure the next interval from now on.

        Called when a request begins to wait in an empty queue, and while no
        place can come free.
        """
        self._interval_started_at = clock.now()

    def record_place(self) -> None:
        """Record that a waiting request got a place."""
        now = clock.now()
        elapsed = now - self._interval_started_at
        self._interval_started_at = now
        if self._mean_interval is None:
            self._mean_interval = elapsed
        else:
            self._mean_interval += (
                elapsed - self._mean_interval
            ) * _SMOOTHING_FACTOR

    def expected_seconds(
        self, initial: float, *, has_waiting_requests: bool
    ) -> float:
        """Return the expected seconds between two granted places.

        :param initial: estimate in seconds to use without observations
        :param has_waiting_requests: whether requests wait; then the current
            interval counts as soon as it exceeds the mean, so that a stall
            shows before it ends
        """
        interval = (
            initial if self._mean_interval is None else self._mean_interval
        )
        if not has_waiting_requests:
            return interval
        return max(interval, clock.now() - self._interval_started_at)


@dataclass(frozen=True, slots=True)
class ExpectedLoad:
    """The estimate for one load, until a request shows its outcome.

    Times are on the monotonic clock.

    :ivar is_kept: whether the engine is assumed to have the adapter in memory
    :ivar contention: loads in progress divided by those that the weight store
        serves at full speed
    :ivar began_at: when the order was accepted
    :ivar ready_at: when the adapter should be loaded
    :ivar fetched_at: when it should be loaded if it had to be fetched
    """

    is_kept: bool
    contention: float
    began_at: float
    ready_at: float
    fetched_at: float


class LoadTimes:
    """Estimates how long loads take, alone and concurrently.

    The weight store serves a number of loads at full speed; beyond it loads
    slow down in proportion. Neither that number nor the duration of a load is
    published. Requests are sent when their adapter should be loaded, and an
    engine refuses those that arrive too early: a refusal increases the
    expected times and successes decrease them, as in network congestion
    control.

    :ivar seconds: estimated seconds of one load at full speed
    :ivar full_speed: estimated number of loads served at full speed
    :ivar under_way: loads in progress
    """

    def __init__(self, seconds: float = _INITIAL_LOAD_SECONDS) -> None:
        """Start with initial estimates.

        :param seconds: duration of one load from the weight store
        """
        self.seconds = seconds
        self.full_speed = _INITIAL_FULL_SPEED_LOADS
        self.under_way = 0
        self._has_missed = False
        self._missed_at = float('-inf')

    def expected(self, *, is_kept: bool) -> ExpectedLoad:
        """Return the estimate for a load that begins now."""
        now = clock.now()
        contention = (self.under_way + 1) / self.full_speed
        fetch_seconds = self.seconds * max(1, contention)
        load_seconds = (
            self.seconds * _KEPT_LOAD_SHARE if is_kept else fetch_seconds
        )
        return ExpectedLoad(
            is_kept,
            contention,
            now,
            now + load_seconds,
            now + fetch_seconds,
        )

    def record_hit(self, load: ExpectedLoad) -> None:
        """Record that an adapter was loaded when expected."""
        if load.is_kept:
            return
        if load.contention > 1:
            increase = _INITIAL_INCREASE_LOADS
            if self._has_missed:
                increase = _LATER_INCREASE_SHARE * self.full_speed
            self.full_speed = min(
                self.full_speed + increase, _MAX_FULL_SPEED_LOADS
            )
        else:
            self.seconds *= 1 - _HIT_DECREASE_SHARE

    def record_miss(self, load: ExpectedLoad) -> None:
        """Record that an adapter was not loaded when expected."""
        if load.is_kept or load.began_at < self._missed_at:
            # Loads that began before the last miss show the same congestion.
            return
        self._missed_at = clock.now()
        if load.contention > _LOW_CONTENTION:
            self._has_missed = True
            self.full_speed = max(1, self.full_speed * (1 - _MISS_CHANGE_SHARE))
        else:
            self.seconds *= 1 + _MISS_CHANGE_SHARE


class KeptAdapters:
    """Which adapters an engine still has in its memory after their unload.

    The engine drops the least recently used ones beyond a capacity that it
    does not report. The capacity is probed by treating a few more adapters as
    kept: an engine that lacks one refuses the request without running it.

    :ivar capacity: estimated number of unloaded adapters that are kept
    """

    def __init__(self) -> None:
        """Start without unloaded adapters."""
        self.capacity = _INITIAL_KEPT_ADAPTERS
        self._probe_margin = _INITIAL_PROBE_MARGIN
        self._unload_number_by_name: dict[AdapterId, int] = {}
        self._unload_count = 0

    def __contains__(self, name: AdapterId) -> bool:
        """Return whether an adapter is assumed to be in memory."""
        depth = self._depth(name)
        return depth is not None and depth <= self.capacity + self._probe_margin

    def record_unload(self, name: AdapterId) -> None:
        """Record that an adapter was unloaded."""
        self._unload_count += 1
        self._unload_number_by_name.pop(name, None)
        self._unload_number_by_name[name] = self._unload_count
        while len(self._unload_number_by_name) > _MAX_REMEMBERED_ADAPTERS:
            self._unload_number_by_name.pop(
                next(iter(self._unload_number_by_name))
            )

    def record_kept(self, name: AdapterId) -> None:
        """Record that an adapter was still in memory when loaded."""
        depth = self._depth(name)
        if depth is not None and depth > self.capacity:
            self.capacity = depth
            self._probe_margin = min(2 * self._probe_margin, _MAX_PROBE_MARGIN)

    def record_dropped(self, name: AdapterId) -> None:
        """Record that an adapter was no longer in memory when loaded."""
        depth = self._depth(name)
        if depth is None:
            return
        self._probe_margin = max(self._probe_margin // 2, 1)
        if depth <= self.capacity:
            self.capacity = int(self.capacity * _CAPACITY_AFTER_MISS_SHARE)

    def clear(self) -> None:
        """Forget all adapters after a restart of the engine."""
        self._unload_number_by_name.clear()

    def _depth(self, name: AdapterId) -> int | None:
        """Return the number of unloads since the unload of this adapter."""
        number = self._unload_number_by_name.get(name)
        return None if number is None else self._unload_count - number
