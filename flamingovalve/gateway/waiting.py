"""Requests that wait for a place on an engine, in the order of their turns.

Answers bursts over what the engines hold: hundreds of requests may wait, and
an event that frees one place must not look at all of them. Turns, positions
and limits are kept sorted, so each costs the logarithm of their number.
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
    from flamingovalve.gateway.ledger import Place
    from flamingovalve.generated.ids import AdapterId
    from flamingovalve.generated.messages import PlaceAsk

# A request goes ahead of those that are less urgent by one rank and came this
# much before it. With strict ranks, urgent requests that alone exceed what the
# engines serve would leave the others none at all.
_RANK_SECONDS: Final = 0.4


class Turn(NamedTuple):
    """When the turn of a waiting request comes; the lowest goes first."""

    is_late: bool
    moment: float
    serial: int


@dataclass(eq=False, slots=True)
class Waiter:
    """One request that waits for a place.

    :ivar aged_at: up to when its times left were counted down
    :ivar place: the place, once an engine was chosen
    :ivar refusal: why there will be none
    :ivar is_gone: whether its caller has left
    :ivar in_time_until: a place before this moment still makes its answer
        come in time, on our clock
    """

    ask: PlaceAsk
    asked_at: float
    aged_at: float
    settled: curio.Event = field(default_factory=curio.Event)
    place: Place | None = None
    refusal: ServingError | None = None
    is_gone: bool = False
    in_time_until: float = 0
    turn: Turn = Turn(is_late=False, moment=0, serial=0)

    def age(self) -> None:
        """Count down what is left of its request's times.

        Without this a request that waited for two seconds got a place as if
        its caller had all of its patience left, and the caller was gone
        before the first event.
        """
        moment = clock.now()
        elapsed = moment - self.aged_at
        self.aged_at = moment
        self.ask.target -= elapsed
        self.ask.patience -= elapsed
        self.ask.remaining -= elapsed


class WaitingRequests:
    """Keeps those who wait by their turn and by their adapter.

    Who can still be answered in time goes first. In turn of their coming,
    a burst that lasts makes everybody wait until just too late: as many are
    served, but none of them in time.
    """

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._by_turn: SortedDict = SortedDict()
        self._by_limit: SortedDict = SortedDict()
        self._by_adapter: dict[AdapterId, dict[Turn, Waiter]] = {}
        self._serials = itertools.count()

    def __len__(self) -> int:
        """Count who waits."""
        return len(self._by_turn)

    def __contains__(self, waiter: Waiter) -> bool:
        """Tell whether a request waits."""
        return self._by_turn.get(waiter.turn) is waiter

    @property
    def late_count(self) -> int:
        """Count those whose answer can no longer be in time."""
        return len(self) - self.in_time_count()

    def in_time_count(self) -> int:
        """Count those whose answer can still be in time."""
        return len(self._by_limit)

    def add(self, waiter: Waiter) -> None:
        """Let a request wait for its turn."""
        ask = waiter.ask
        is_late = clock.now() >= waiter.in_time_until
        moment = waiter.asked_at + ask.priority * _RANK_SECONDS
        waiter.turn = Turn(is_late, moment, next(self._serials))
        self._by_turn[waiter.turn] = waiter
        self._by_adapter.setdefault(ask.adapter, {})[waiter.turn] = waiter
        if not is_late:
            self._by_limit[_limit_of(waiter)] = waiter

    def demote_late(self) -> list[Waiter]:
        """Put those behind who can no longer be answered in time.

        :returns: who they are
        """
        moment = clock.now()
        overdue = []
        while self._by_limit and self._by_limit.peekitem(0)[0] <= (moment,):
            _limit, waiter = self._by_limit.peekitem(0)
            self.remove(waiter)
            self.add(waiter)
            overdue.append(waiter)
        return overdue

    def remove(self, waiter: Waiter) -> bool:
        """Let a request wait no more; tell whether it did."""
        if waiter not in self:
            return False
        del self._by_turn[waiter.turn]
        if not waiter.turn.is_late:
            del self._by_limit[_limit_of(waiter)]
        same = self._by_adapter[waiter.ask.adapter]
        del same[waiter.turn]
        if not same:
            del self._by_adapter[waiter.ask.adapter]
        return True

    def ahead_of(self, waiter: Waiter) -> int:
        """Count who goes before a waiting request."""
        return self._by_turn.bisect_left(waiter.turn)

    def first(self, most: int) -> list[Waiter]:
        """Give those whose turn comes first."""
        return list(itertools.islice(self._by_turn.values(), most))

    def last(self, most: int) -> list[Waiter]:
        """Give those whose turn comes last, the very last first."""
        turns = itertools.islice(reversed(self._by_turn), most)
        return [self._by_turn[turn] for turn in turns]

    def of_adapter(self, name: AdapterId) -> list[Waiter]:
        """Give those who wait for one adapter, in turn."""
        return list(self._by_adapter.get(name, {}).values())

    def __iter__(self) -> Iterator[Waiter]:
        """Go through everybody in turn."""
        return iter(list(self._by_turn.values()))


def _limit_of(waiter: Waiter) -> tuple[float, int]:
    return (waiter.in_time_until, waiter.turn.serial)
