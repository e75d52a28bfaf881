"""Requests that wait for a place on an engine, in the order of service.

In a burst hundreds of requests may wait, and an event that frees one place
must not scan all of them. Turns, positions and deadlines are kept sorted, so
each operation takes logarithmic time.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

import curio
from sortedcontainers import SortedDict

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingovalve.errors import ServingError
    from flamingovalve.gateway.fair_shares import FairShares
    from flamingovalve.gateway.ledger import Place
    from flamingovalve.generated.ids import AdapterId
    from flamingovalve.generated.messages import PlaceAsk

# A request is served before one that is a priority level less urgent and
# arrived up to this much earlier. With strict priorities, urgent requests that
# alone exceed the capacity would starve all others.
_PRIORITY_LEVEL_SECONDS: Final = 0.4


class Turn(NamedTuple):
    """Sort key of a waiting request; the lowest is served first.

    :ivar due_at: arrival time, delayed according to the priority
    :ivar serial: makes keys unique
    """

    is_late: bool
    due_at: float
    serial: int


@dataclass(eq=False, slots=True)
class Waiter:
    """One request that waits for a place.

    :ivar times_updated_at: when the remaining times of ``ask`` were last
        updated
    :ivar settled: set when the request has a place or a refusal
    :ivar place: the place, once an engine is chosen
    :ivar refusal: why the request gets no place
    :ivar is_disconnected: whether the caller has disconnected
    :ivar place_deadline: latest time, on the monotonic clock, to get a place
        and still respond in time
    :ivar arrived_at: arrival of the first attempt of a request that returns
        after a refusal, on the monotonic clock; None for any other
    :ivar is_charged: whether its workspace was charged for a place
    :ivar has_waited: whether it was in the queue before
    """

    ask: PlaceAsk
    asked_at: float
    times_updated_at: float
    settled: curio.Event = field(default_factory=curio.Event)
    place: Place | None = None
    refusal: ServingError | None = None
    is_disconnected: bool = False
    place_deadline: float = 0
    turn: Turn = Turn(is_late=False, due_at=0, serial=0)
    arrived_at: float | None = None
    is_charged: bool = False
    has_waited: bool = False

    def due_at(self) -> float:
        """Return the time by which waiting requests are sorted."""
        arrived_at = self.arrived_at
        if arrived_at is None:
            arrived_at = self.asked_at
        return arrived_at + self.ask.priority * _PRIORITY_LEVEL_SECONDS

    def update_times(self) -> None:
        """Subtract the time waited from the request's remaining times.

        Without this a request that had waited for two seconds got a place as
        if all of its caller's patience were left, and the caller disconnected
        before the first event.
        """
        now = clock.now()
        elapsed = now - self.times_updated_at
        self.times_updated_at = now
        self.ask.target -= elapsed
        self.ask.patience -= elapsed
        self.ask.remaining -= elapsed


class WaitingRequests:
    """Waiting requests, sorted by turn and indexed by adapter.

    Requests that can still be served in time come first. In plain
    order of arrival, a long burst makes every request wait until just after
    its target: as many are served, but none in time. While requests of
    several workspaces wait, the fair shares decide among the timely requests
    and among the late ones.
    """

    def __init__(self, shares: FairShares) -> None:
        """Start without waiting requests."""
        self.shares = shares
        self._by_turn: SortedDict = SortedDict()
        self._by_deadline: SortedDict = SortedDict()
        self._by_adapter: dict[AdapterId, SortedDict] = {}
        self._serials = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_turn)

    def __contains__(self, waiter: Waiter) -> bool:
        """Return whether a request waits."""
        return self._by_turn.get(waiter.turn) is waiter

    @property
    def late_count(self) -> int:
        """Number of requests that can no longer be served in time."""
        return len(self) - self.in_time_count()

    def in_time_count(self) -> int:
        """Return the number of requests that can still be served in time."""
        return len(self._by_deadline)

    def add(self, waiter: Waiter) -> None:
        """Add a request and assign its turn."""
        ask = waiter.ask
        is_late = clock.now() >= waiter.place_deadline
        waiter.turn = Turn(is_late, waiter.due_at(), next(self._serials))
        self._by_turn[waiter.turn] = waiter
        self._by_adapter.setdefault(ask.adapter, SortedDict())[waiter.turn] = (
            waiter
        )
        if not is_late:
            self._by_deadline[_deadline_key(waiter)] = waiter
        self.shares.add(waiter)
        waiter.has_waited = True

    def demote_overdue(self) -> list[Waiter]:
        """Move requests past their deadline behind all timely ones.

        :returns: the moved requests
        """
        now = clock.now()
        overdue = []
        while self._by_deadline and self._by_deadline.peekitem(0)[0] <= (now,):
            _deadline, waiter = self._by_deadline.peekitem(0)
            self.remove(waiter)
            self.add(waiter)
            overdue.append(waiter)
        return overdue

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request; return whether it was waiting."""
        if waiter not in self:
            return False
        del self._by_turn[waiter.turn]
        if not waiter.turn.is_late:
            del self._by_deadline[_deadline_key(waiter)]
        same_adapter = self._by_adapter[waiter.ask.adapter]
        del same_adapter[waiter.turn]
        if not same_adapter:
            del self._by_adapter[waiter.ask.adapter]
        self.shares.remove(waiter)
        return True

    def ahead_of(self, waiter: Waiter) -> int:
        """Return the number of requests served before this one."""
        if self.shares.is_active() and waiter in self:
            before = self.in_time_count() if waiter.turn.is_late else 0
            return before + self.shares.ahead_of(waiter)
        return self._by_turn.bisect_left(waiter.turn)

    def first(self, count: int) -> list[Waiter]:
        """Return up to ``count`` requests in the order of service."""
        if self.shares.is_active():
            return self.shares.first(count)
        return list(itertools.islice(self._by_turn.values(), count))

    def last(self, count: int) -> list[Waiter]:
        """Return up to ``count`` requests that are served last, reversed."""
        if self.shares.is_active():
            return self.shares.last(count)
        turns = itertools.islice(reversed(self._by_turn), count)
        return [self._by_turn[turn] for turn in turns]

    def first_of_adapter(self, name: AdapterId) -> Waiter | None:
        """Return the first request in turn that waits for an adapter."""
        by_turn = self._by_adapter.get(name)
        return by_turn.peekitem(0)[1] if by_turn else None

    def of_adapter(self, name: AdapterId) -> list[Waiter]:
        """Return the requests that wait for an adapter, in turn."""
        return list(self._by_adapter.get(name, {}).values())

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a copy of the waiting requests, in turn."""
        return iter(list(self._by_turn.values()))


def _deadline_key(waiter: Waiter) -> tuple[float, int]:
    return (waiter.place_deadline, waiter.turn.serial)
