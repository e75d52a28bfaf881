"""How long upstreams have lately worked on the requests of each route."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from flamingovalve.util import clock

_WINDOW_SECONDS: Final = 30.0


@dataclass(slots=True)
class _Window:
    """Runs that ended in one window of time.

    :ivar longest: seconds of the longest one
    """

    began_at: float
    count: int = 0
    total: float = 0
    longest: float = 0


@dataclass(slots=True)
class _RouteRuns:
    """Runs of one route: those in the last two windows, those in progress.

    :ivar started_by_run: when each run in progress started, the oldest first
    """

    current: _Window
    previous: _Window
    started_by_run: dict[int, float] = field(default_factory=dict)


class RunDurations:
    """The durations of runs by route, over the last half to one minute."""

    def __init__(self) -> None:
        """Start without any run."""
        self._by_route: dict[str, _RouteRuns] = defaultdict(_new_runs)
        self._numbers = itertools.count()

    def begin(self, route: str) -> int:
        """Record the start of a run; return its number."""
        number = next(self._numbers)
        self._by_route[route].started_by_run[number] = clock.now()
        return number

    def end(self, route: str, number: int) -> None:
        """Record the end of a run, for whatever reason."""
        runs = self._by_route[route]
        now = clock.now()
        seconds = now - runs.started_by_run.pop(number)
        window = _current_window(runs, now)
        window.count += 1
        window.total += seconds
        window.longest = max(window.longest, seconds)

    def mean(self, route: str) -> float | None:
        """Return the mean of the runs that ended, in seconds.

        :returns: None if none has ended lately
        """
        runs = self._by_route[route]
        current = _current_window(runs, clock.now())
        count = current.count + runs.previous.count
        if not count:
            return None
        return (current.total + runs.previous.total) / count

    def longest(self, route: str) -> float | None:
        """Return the duration of the longest run, in seconds.

        Runs in progress count with the time that has passed.

        :returns: None if none has ended lately
        """
        if self.mean(route) is None:
            return None
        runs = self._by_route[route]
        now = clock.now()
        oldest = next(iter(runs.started_by_run.values()), now)
        return max(runs.current.longest, runs.previous.longest, now - oldest)


def _new_runs() -> _RouteRuns:
    now = clock.now()
    return _RouteRuns(_Window(now), _Window(now))


def _current_window(runs: _RouteRuns, now: float) -> _Window:
    """Return the window of a time; older windows are dropped."""
    age = now - runs.current.began_at
    if age >= _WINDOW_SECONDS:
        is_recent = age < 2 * _WINDOW_SECONDS
        runs.previous = runs.current if is_recent else _Window(now)
        runs.current = _Window(now)
    return runs.current
