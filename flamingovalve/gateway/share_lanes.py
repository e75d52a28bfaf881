"""The waiting requests and the virtual time of one workspace.

Requests that can still be served in time and late ones are kept apart, since
those of any workspace that are timely are served first.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedDict

from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.gateway.waiting import Turn
    from flamingovalve.generated.ids import WorkspaceId
    from flamingovalve.generated.messages import PlaceAsk

# A load takes about as long as the prefill of this many tokens, and keeps an
# engine's slot from others.
_LOAD_TOKENS: Final = 2048
# Weight of the newest sample in a mean interval.
_SMOOTHING_FACTOR: Final = 0.125


def tokens_of(ask: PlaceAsk, *, is_load: bool = False) -> int:
    """Return the tokens that a place for ``ask`` costs, at least one."""
    tokens = ask.prompt_tokens + ask.output_tokens
    return max(1, tokens + is_load * _LOAD_TOKENS)


class PlaceTimes:
    """The mean interval between places of a workspace.

    :ivar interval: seconds; rises from 0, so that one long interval does not
        cause refusals
    """

    def __init__(self) -> None:
        """Start without places."""
        self.interval = 0.0
        self._granted_at: float | None = None

    def record(self) -> None:
        """Record that a place was granted."""
        now = clock.now()
        if self._granted_at is not None:
            elapsed = now - self._granted_at
            self.interval += (elapsed - self.interval) * _SMOOTHING_FACTOR
        self._granted_at = now

    def interrupt(self) -> None:
        """Record that no request waited since the last place."""
        self._granted_at = None


class Line:
    """Waiting requests of a workspace that are all timely or all late.

    :ivar tokens: what places for all of them cost
    :ivar places: places granted to them while others of them waited
    :ivar key: sort key of the workspace among those with such requests
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.by_turn: SortedDict = SortedDict()
        self.tokens = 0
        self.places = PlaceTimes()
        self.key: tuple[float, Turn] | None = None

    def record_grant(self) -> None:
        """Record that a request was removed because it got a place.

        Places of an empty line come as requests do, so it starts again.
        """
        if self.by_turn:
            self.places.record()
        else:
            self.places = PlaceTimes()

    def remove(self, turn: Turn, tokens: int) -> None:
        """Remove a request.

        An interval shows the rate of the workspace's own places only if a
        request waited from its start to its end.
        """
        del self.by_turn[turn]
        self.tokens -= tokens
        if not self.by_turn:
            self.places.interrupt()

    def mean_tokens(self) -> float:
        """Return the mean tokens of a request; 1 if there is none."""
        return self.tokens / len(self.by_turn) if self.by_turn else 1.0


class Lane:
    """The waiting requests and the virtual time of one workspace.

    :ivar start: virtual time at which its next place starts
    :ivar idle_key: key among the workspaces that are ahead without waiting
    :ivar timely: requests that can still be served in time
    :ivar places: all places granted to it while any request waited
    """

    def __init__(
        self,
        workspace: WorkspaceId,
        weight: float,
        start: float,
    ) -> None:
        """Start without requests at the virtual time ``start``."""
        self.workspace = workspace
        self.weight = weight
        self.start = start
        self.idle_key: tuple[float, WorkspaceId] | None = None
        self.timely = Line()
        self.late = Line()
        self.places = PlaceTimes()

    def line(self, *, is_late: bool) -> Line:
        """Return the timely or the late requests."""
        return self.late if is_late else self.timely

    def is_waiting(self) -> bool:
        """Return whether a request waits."""
        return bool(self.timely.by_turn or self.late.by_turn)

    def waiting_count(self) -> int:
        """Return the number of requests that wait."""
        return len(self.timely.by_turn) + len(self.late.by_turn)

    def rank_of_new(self, due_at: float) -> int:
        """Return the number of timely requests before a new one."""
        return self.timely.by_turn.bisect_left((False, due_at, sys.maxsize))

    def step(self, line: Line) -> float:
        """Return the mean virtual time of a place for a request of a line."""
        return line.mean_tokens() / self.weight

    def served_before(self, tag: float, turn: Turn | None, line: Line) -> int:
        """Return how many requests of a line start before a virtual time.

        :param turn: turn of the request that starts at ``tag``; None if it
            is the newest
        """
        if tag < self.start:
            return 0
        if tag == self.start and turn is not None:
            return int(line.by_turn.peekitem(0)[0] < turn)
        served = int((tag - self.start) / self.step(line)) + 1
        return min(served, len(line.by_turn))


def move(
    lanes: SortedDict,
    old: tuple[float, object] | None,
    new: tuple[float, object] | None,
    lane: Lane,
) -> None:
    """Replace the key of a workspace; None if it is not in the index."""
    if old == new:
        return
    if old is not None:
        del lanes[old]
    if new is not None:
        lanes[new] = lane


def last_entry(
    lane: Lane,
    line: Line,
    end: float,
    index: int,
) -> tuple[tuple[float, float, int], int, Lane]:
    """Return a heap entry that puts the request served last first.

    :param end: virtual time at which the place of the request ends
    """
    turn, waiter = line.by_turn.peekitem(index)
    start = end - tokens_of(waiter.ask) / lane.weight
    return ((-start, -turn.due_at, -turn.serial), index, lane)
