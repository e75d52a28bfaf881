"""The share of the weight store's budget that one VM takes.

Every owner gossips how many loads it has in flight and how many wait. Each
takes a share of the budget in proportion to its demand. News of the others
lags, so the store's own slowness, seen as loads that take longer than they
should, shrinks the share further.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import StoreRumour
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.settings import SchedulingSettings

_UNLOADED_SECONDS: Final = 0.25
_SLOW_FACTOR: Final = 2.0
_STALE_SECONDS: Final = 5.0
_FEWEST_LOADS: Final = 1.0
_TELL_SECONDS: Final = 1.0
_SHRINK: Final = 0.7
_GROW: Final = 1.1
_CREEP: Final = 1.1
_SHORTEST_SECONDS: Final = 0.01


class StoreShare:
    """Says whether one more load may start at this VM."""

    def __init__(self, own_id: VmId, settings: SchedulingSettings) -> None:
        """Share ``settings.store_loads`` with the other owners."""
        self.loading = 0
        self.share = float(settings.store_loads)
        self._own_id = own_id
        self._budget = settings.store_loads
        self._fastest = _UNLOADED_SECONDS
        self._waiting_by_owner: dict[object, int] = {}
        self._others: dict[VmId, tuple[float, StoreRumour]] = {}
        self._sequence = 0
        self._slowdown = 1.0
        self._told = (0, 0)
        self._told_at = float('-inf')

    def start(self) -> bool:
        """Count a load as started, if the share allows it."""
        if self.loading >= max(self._allowed(), _FEWEST_LOADS):
            return False
        self.loading += 1
        return True

    def ended(self, seconds: float | None) -> None:
        """Count a load as ended after ``seconds``; none if it failed.

        A load that ends at once never asked the store, as when the engine
        held the adapter already. It says nothing of the store's speed.
        """
        self.loading -= 1
        if seconds is None or seconds < _SHORTEST_SECONDS:
            return
        # What a load takes at best is learnt anew all the time. Against a
        # fixed value, a store that is slow for everybody would look as if
        # we overloaded it, and fewer loads would make it no faster.
        self._fastest = min(seconds, self._fastest * _CREEP)
        if seconds > self._fastest * _SLOW_FACTOR:
            self._slowdown = max(self._slowdown * _SHRINK, 1 / self._budget)
        else:
            self._slowdown = min(self._slowdown * _GROW, 1.0)

    def waiting(self, owner: object, count: int) -> None:
        """Take the number of loads that ``owner`` could start now."""
        if count:
            self._waiting_by_owner[owner] = count
        else:
            self._waiting_by_owner.pop(owner, None)

    def wanted(self) -> int:
        """Give the number of loads that wait at this VM."""
        return sum(self._waiting_by_owner.values())

    def hear(self, rumour: StoreRumour) -> bool:
        """Take another VM's use; tell whether it was news."""
        known = self._others.get(rumour.vm)
        if rumour.vm == self._own_id:
            return False
        if known is not None and known[1].sequence >= rumour.sequence:
            return False
        self._others[rumour.vm] = (clock.now(), rumour)
        return True

    def changed_rumour(self) -> StoreRumour | None:
        """Give the rumour that states our use, if there is news.

        At most one a second; repeated while there is any use, since others
        forget what they heard.
        """
        moment = clock.now()
        use = (self.loading, self.wanted())
        if moment < self._told_at + _TELL_SECONDS or use == self._told == (
            0,
            0,
        ):
            return None
        self._told = use
        self._told_at = moment
        self._sequence = max(self._sequence + 1, int(clock.wall() * 1000))
        return StoreRumour(self._own_id, *use, self._sequence)

    def _allowed(self) -> float:
        own = self.loading + self.wanted() + 1
        demand = own + self._demand_of_others()
        self.share = self._budget * own / demand * self._slowdown
        return self.share

    def _demand_of_others(self) -> int:
        oldest = clock.now() - _STALE_SECONDS
        return sum(
            rumour.loading + rumour.waiting
            for at, rumour in self._others.values()
            if at >= oldest
        )
