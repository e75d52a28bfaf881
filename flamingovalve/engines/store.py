"""Share of the weight store's load budget that one VM may use.

Every VM gossips how many of its loads are in progress and how many wait,
and takes a share of the budget in proportion to its demand. Rumours lag, so
the share also shrinks when loads take longer than they do on an unloaded
store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.generated.messages import StoreRumour
from flamingovalve.util import clock

if TYPE_CHECKING:
    from flamingovalve.generated.ids import VmId
    from flamingovalve.generated.settings import SchedulingSettings

_INITIAL_FASTEST_SECONDS: Final = 0.25
_SLOW_FACTOR: Final = 2.0
_STALE_SECONDS: Final = 5.0
_MIN_LOADS: Final = 1.0
_RUMOUR_INTERVAL_SECONDS: Final = 1.0
_SHRINK_FACTOR: Final = 0.7
_GROWTH_FACTOR: Final = 1.1
_FASTEST_GROWTH_FACTOR: Final = 1.1
_MIN_LOAD_SECONDS: Final = 0.01


class StoreShare:
    """Decides whether one more load may start at this VM."""

    def __init__(self, own_id: VmId, settings: SchedulingSettings) -> None:
        """Share ``settings.store_loads`` with the other VMs."""
        self.loading = 0
        self.share = float(settings.store_loads)
        self._own_id = own_id
        self._budget = settings.store_loads
        self._fastest_seconds = _INITIAL_FASTEST_SECONDS
        self._waiting_by_owner: dict[object, int] = {}
        self._rumours_by_vm: dict[VmId, tuple[float, StoreRumour]] = {}
        self._sequence = 0
        self._slowdown = 1.0
        self._announced_use = (0, 0)
        self._announced_at = float('-inf')

    def start(self) -> bool:
        """Count a load as started if the share allows it.

        :returns: whether the load may start
        """
        if self.loading >= max(self._compute_share(), _MIN_LOADS):
            return False
        self.loading += 1
        return True

    def ended(self, seconds: float | None) -> None:
        """Record the end of a load.

        A load that ends at once did not use the store, for example because
        the engine held the adapter already. It is not a measurement of the
        store's speed.

        :param seconds: duration of the load; None if it failed
        """
        self.loading -= 1
        if seconds is None or seconds < _MIN_LOAD_SECONDS:
            return
        # The minimum duration is estimated continuously. Against a fixed
        # value, a store that is slow for every VM would look overloaded by
        # this one, and starting fewer loads would not make it faster.
        self._fastest_seconds = min(
            seconds, self._fastest_seconds * _FASTEST_GROWTH_FACTOR
        )
        if seconds > self._fastest_seconds * _SLOW_FACTOR:
            self._slowdown = max(
                self._slowdown * _SHRINK_FACTOR, 1 / self._budget
            )
        else:
            self._slowdown = min(self._slowdown * _GROWTH_FACTOR, 1.0)

    def record_waiting(self, owner: object, count: int) -> None:
        """Record the number of loads that ``owner`` could start now."""
        if count:
            self._waiting_by_owner[owner] = count
        else:
            self._waiting_by_owner.pop(owner, None)

    def wanted(self) -> int:
        """Return the number of loads that wait on this VM."""
        return sum(self._waiting_by_owner.values())

    def apply_rumour(self, rumour: StoreRumour) -> bool:
        """Record another VM's use; return whether the rumour was newer."""
        known = self._rumours_by_vm.get(rumour.vm)
        if rumour.vm == self._own_id:
            return False
        if known is not None and known[1].sequence >= rumour.sequence:
            return False
        self._rumours_by_vm[rumour.vm] = (clock.now(), rumour)
        return True

    def due_rumour(self) -> StoreRumour | None:
        """Return the rumour of this VM's use, if one is due.

        At most one rumour is due per second. It is repeated while the use
        is not zero, since receivers ignore a rumour once it is stale.
        """
        now = clock.now()
        use = (self.loading, self.wanted())
        if (
            now < self._announced_at + _RUMOUR_INTERVAL_SECONDS
            or use == self._announced_use == (0, 0)
        ):
            return None
        self._announced_use = use
        self._announced_at = now
        self._sequence = max(self._sequence + 1, int(clock.wall() * 1000))
        return StoreRumour(self._own_id, *use, self._sequence)

    def _compute_share(self) -> float:
        own = self.loading + self.wanted() + 1
        demand = own + self._other_demand()
        self.share = self._budget * own / demand * self._slowdown
        return self.share

    def _other_demand(self) -> int:
        stale_before = clock.now() - _STALE_SECONDS
        return sum(
            rumour.loading + rumour.waiting
            for received_at, rumour in self._rumours_by_vm.values()
            if received_at >= stale_before
        )
