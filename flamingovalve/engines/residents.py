"""Adapters in the slots of an engine, and the choice of eviction victims."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.settings import EvictionPolicy
from flamingovalve.util import clock
from flamingovalve.util.rates import DecayingRate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_RATE_HALF_LIFE_SECONDS: Final = 60
_MIN_KEPT_RATE_PER_SECOND: Final = 1e-4
_MIN_SWEEP_SIZE: Final = 1024


class ResidentState(Enum):
    """Load state of an adapter in a slot."""

    LOADING = 'loading'
    READY = 'ready'
    UNLOADING = 'unloading'


@dataclass(slots=True)
class Resident:
    """One adapter in a slot.

    :ivar name: ``ADAPTER@VERSION``
    :ivar pins: requests dispatched and not known to have ended
    :ivar used_at: when a request was last dispatched to it, on the monotonic
        clock
    :ivar foreign_use_at: when a report last showed requests of another VM
    :ivar recent_peak: maximum of the pins since the last report
    :ivar earlier_peak: maximum of the pins between the last two reports
    """

    name: str
    state: ResidentState
    pins: int = 0
    used_at: float = 0
    foreign_use_at: float = float('-inf')
    recent_peak: int = 0
    earlier_peak: int = 0

    def mark_ready(self) -> None:
        """Record the end of its load.

        Reports lag: one that was taken before the load ended may not list
        the adapter, which does not mean that the engine lost it.
        """
        self.state = ResidentState.READY
        self.used_at = clock.now()

    def pin(self) -> None:
        """Record that a request was dispatched to it."""
        self.pins += 1
        self.used_at = clock.now()
        self.recent_peak = max(self.recent_peak, self.pins)

    def unpin(self) -> None:
        """Record that one of its requests is known to have ended."""
        self.pins = max(0, self.pins - 1)

    def record_report(self, running: int) -> None:
        """Detect requests of other VMs from a report.

        The report lags, so it is compared with the peak of the pins since
        the report before the last.

        :param running: requests that the engine reports for the adapter
        """
        if running > max(self.recent_peak, self.earlier_peak):
            self.foreign_use_at = clock.now()
        self.earlier_peak = self.recent_peak
        self.recent_peak = self.pins


class Popularity:
    """Request rates by adapter name, including adapters not resident.

    A name is removed once its rate has decayed, so the size depends on the
    adapters in use and not on the inventory.
    """

    def __init__(self) -> None:
        """Create an empty table of rates."""
        self._rates_by_name: dict[str, DecayingRate] = {}
        self._sweep_size = _MIN_SWEEP_SIZE

    def __len__(self) -> int:
        """Return the number of names with a rate."""
        return len(self._rates_by_name)

    def add(self, name: str) -> None:
        """Record one request for ``name``."""
        rate = self._rates_by_name.get(name)
        if rate is None:
            rate = DecayingRate(_RATE_HALF_LIFE_SECONDS)
            self._rates_by_name[name] = rate
            self._remove_decayed()
        rate.add()

    def rate(self, name: str) -> float:
        """Return the requests per second for ``name``."""
        known = self._rates_by_name.get(name)
        return known.per_second() if known else 0

    def _remove_decayed(self) -> None:
        if len(self._rates_by_name) < self._sweep_size:
            return
        retained = {
            name: rate
            for name, rate in self._rates_by_name.items()
            if rate.per_second() > _MIN_KEPT_RATE_PER_SECOND
        }
        self._rates_by_name = retained
        self._sweep_size = max(_MIN_SWEEP_SIZE, 2 * len(retained))


class Residents:
    """The slots of one engine."""

    def __init__(self, slots: int, eviction: EvictionPolicy) -> None:
        """Create ``slots`` empty slots."""
        self.slots = slots
        self.popularity = Popularity()
        self.by_name: dict[str, Resident] = {}
        self._removed_by_name: dict[str, Resident] = {}
        self._value_of = _VALUE_FUNCTIONS[eviction]

    def ready(self, name: str) -> Resident | None:
        """Return the adapter if requests can be dispatched to it, else None."""
        resident = self.by_name.get(name)
        if resident is None or resident.state is not ResidentState.READY:
            return None
        return resident

    def has_free_slot(self) -> bool:
        """Return whether a load can start without an eviction."""
        return len(self.by_name) < self.slots

    def add(self, name: str, state: ResidentState) -> Resident:
        """Assign a slot to ``name``."""
        resident = self._removed_by_name.pop(name, None)
        if resident is None or not resident.pins:
            resident = Resident(name, state)
        resident.state = state
        resident.used_at = clock.now()
        self.by_name[name] = resident
        return resident

    def remove(self, name: str) -> None:
        """Free the slot of ``name``, but keep its pins.

        A restart of the engine is detected with a delay. A request that
        reached the engine after the restart still runs, although all
        adapters are removed when the restart is detected. Without its pin,
        the adapter would look unused once loaded again and could be evicted
        while the request runs.
        """
        resident = self.by_name.pop(name, None)
        if resident is not None and resident.pins:
            self._removed_by_name[name] = resident

    def victim(
        self,
        excluded: Iterable[str],
        allowed: Callable[[Resident], bool],
    ) -> Resident | None:
        """Return the ready, unpinned adapter of the lowest retention value.

        :param excluded: names that must stay, such as those that queued
            requests need
        :param allowed: returns whether an adapter may be evicted at all
        """
        retained = set(excluded)
        candidates = [
            resident
            for resident in self.by_name.values()
            if resident.state is ResidentState.READY
            and not resident.pins
            and resident.name not in retained
            and allowed(resident)
        ]
        return min(candidates, key=self.retention_value, default=None)

    def retention_value(self, resident: Resident) -> tuple[float, float]:
        """Return the retention value of an adapter under the policy."""
        return self._value_of(self, resident)


def _value_by_rate(
    residents: Residents, resident: Resident
) -> tuple[float, float]:
    # Every adapter takes the same time to reload, so the cost of an eviction
    # depends only on how soon the next request for the adapter arrives.
    return residents.popularity.rate(resident.name), resident.used_at


def _value_by_last_use(
    _residents: Residents, resident: Resident
) -> tuple[float, float]:
    return resident.used_at, 0


_VALUE_FUNCTIONS: Final[
    dict[
        EvictionPolicy,
        Callable[[Residents, Resident], tuple[float, float]],
    ]
] = {
    EvictionPolicy.LEAST_VALUABLE: _value_by_rate,
    EvictionPolicy.LEAST_RECENT: _value_by_last_use,
}
