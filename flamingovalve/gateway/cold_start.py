"""Orders the loads of an owner in its first seconds after a loss of all VMs.

Written for the seconds in which no VM knows queues, rates or popularity and
all owners begin to load simultaneously. Requests have gathered while no order
could be sent, and the weight store serves only some of their adapters in
time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger, note

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from flamingovalve.gateway.learning import LoadTimes
    from flamingovalve.gateway.ledger import EngineLedger
    from flamingovalve.gateway.waiting import Waiter
    from flamingovalve.generated.ids import AdapterId, WorkspaceId

logger = get_logger(__name__)

# Time after the first load in which the waiting requests are served or
# refused and rates become known.
_SETTLING_SECONDS: Final = 3.0
# Engines answer within this time; later, requests are refused as before.
_REPORT_SECONDS: Final = 0.5
# The sweeps of the queue use a new order each; events between them don't.
_ORDER_SECONDS: Final = 0.05
# Value of a late response, as a share of one in time.
_LATE_VALUE: Final = 0.4


class ColdStart:
    """The first seconds of an owner.

    :ivar is_enabled: whether loads are ordered by the requests that wait
    """

    def __init__(self, loads: LoadTimes, *, is_enabled: bool) -> None:
        """Start as an owner that has just claimed its group.

        :param loads: learned load times and number of full-speed loads
        """
        self.is_enabled = is_enabled
        self._loads = loads
        self._claimed_at = clock.now()
        self._ends_at = float('-inf')
        self._rank_by_adapter: dict[AdapterId, int] = {}
        self._ranked_at = float('-inf')

    def begin(self, orders_after: float) -> None:
        """Begin with engines to which no order may be sent yet.

        :param orders_after: time of the first order, on the monotonic clock
        """
        pause = orders_after - clock.now()
        if self.is_enabled and pause > 0:
            self._ends_at = orders_after + _SETTLING_SECONDS
            note(logger, 'cold start', pause=round(pause, 2))

    def is_active(self) -> bool:
        """Return whether the owner has not settled yet."""
        return clock.now() < self._ends_at

    def awaits_reports(self, engines: Iterable[EngineLedger]) -> bool:
        """Return whether the first reports are still being read.

        A request that arrives in between would be refused, as no engine is
        known to hold its model.
        """
        if not self.is_enabled:
            return False
        if clock.now() > self._claimed_at + _REPORT_SECONDS:
            return False
        return not any(engine.models for engine in engines)

    def may_fetch(self, engines: Iterable[EngineLedger]) -> bool:
        """Return whether one more fetch leaves the others at full speed.

        One more than known is allowed, as only this shows whether the weight
        store serves more.
        """
        if not self.is_active():
            return True
        coming = sum(engine.coming() for engine in engines)
        return coming <= self._loads.full_speed

    def load_interval(self) -> float:
        """Return the assumed seconds between two loads; 0 if settled.

        Between loads no place is assumed to come free, until the rate of
        places has been observed.
        """
        if not self.is_active():
            return 0
        return self._loads.seconds / max(self._loads.full_speed, 1)

    def ranked(
        self,
        waiters: Iterable[Waiter],
        engines: Sequence[EngineLedger],
        worths: Mapping[WorkspaceId, float],
    ) -> list[AdapterId]:
        """Return the adapters of waiting requests in the order of loads.

        Those in an engine's memory go first, then those that bring the most
        value. The order of arrival decides among equals.

        :param waiters: waiting requests in turn
        :param worths: value of a request by its workspace; 1 if missing
        """
        if clock.now() < self._ranked_at + _ORDER_SECONDS:
            return list(self._rank_by_adapter)
        worth: dict[AdapterId, float] = {}
        for waiter in waiters:
            name = waiter.ask.adapter
            added = _LATE_VALUE if waiter.turn.is_late else 1
            added *= worths.get(waiter.ask.workspace, 1)
            worth[name] = worth.get(name, 0) + added
        kept = {
            name
            for name in worth
            if any(name in engine.kept for engine in engines)
        }
        names = sorted(worth, key=lambda one: (one not in kept, -worth[one]))
        self._rank_by_adapter = {name: rank for rank, name in enumerate(names)}
        self._ranked_at = clock.now()
        return names

    def rank_of(self, adapter: AdapterId) -> int:
        """Return how many adapters are loaded before this one."""
        return self._rank_by_adapter.get(adapter, len(self._rank_by_adapter))
