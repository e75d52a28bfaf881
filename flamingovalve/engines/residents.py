"""Which adapters an engine holds, and which of them may go."""

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
_FORGOTTEN_RATE: Final = 1e-4
_SWEEP_SIZE: Final = 1024


class ResidentState(Enum):
    """Where an adapter is on its way into or out of a slot."""

    LOADING = 'loading'
    READY = 'ready'
    UNLOADING = 'unloading'


@dataclass(slots=True)
class Resident:
    """One adapter in a slot.

    :ivar name: ``ADAPTER@VERSION``
    :ivar pins: requests dispatched and not known to have ended
    :ivar used_at: when it was last dispatched to, on our clock
    :ivar foreign_at: when a report last showed requests of somebody else
    :ivar recent_peak: most pins since the last report was compared
    :ivar earlier_peak: most pins between the two reports before that
    """

    name: str
    state: ResidentState
    pins: int = 0
    used_at: float = 0
    foreign_at: float = float('-inf')
    recent_peak: int = 0
    earlier_peak: int = 0

    def become_ready(self) -> None:
        """Note the end of its load.

        Reports lag: one that was taken before this moment may not show it,
        and must not be taken for proof that the engine lost it.
        """
        self.state = ResidentState.READY
        self.used_at = clock.now()

    def pin(self) -> None:
        """Count a request that is dispatched to it."""
        self.pins += 1
        self.used_at = clock.now()
        self.recent_peak = max(self.recent_peak, self.pins)

    def unpin(self) -> None:
        """Count a request that is known to have ended."""
        self.pins = max(0, self.pins - 1)

    def compare(self, running: int) -> None:
        """Compare a report's count with ours, which the report lags behind."""
        if running > max(self.recent_peak, self.earlier_peak):
            self.foreign_at = clock.now()
        self.earlier_peak = self.recent_peak
        self.recent_peak = self.pins


class Popularity:
    """Request rates by adapter name, also of those not resident.

    A name is forgotten once its rate has faded, so the size follows the
    adapters in use and not the inventory.
    """

    def __init__(self) -> None:
        """Start without any request seen."""
        self._rates_by_name: dict[str, DecayingRate] = {}
        self._sweep_at = _SWEEP_SIZE

    def __len__(self) -> int:
        """Count the names that are remembered."""
        return len(self._rates_by_name)

    def add(self, name: str) -> None:
        """Count one request."""
        rate = self._rates_by_name.get(name)
        if rate is None:
            rate = DecayingRate(_RATE_HALF_LIFE_SECONDS)
            self._rates_by_name[name] = rate
            self._sweep()
        rate.add()

    def rate(self, name: str) -> float:
        """Give the requests a second of ``name``."""
        known = self._rates_by_name.get(name)
        return known.per_second() if known else 0

    def _sweep(self) -> None:
        if len(self._rates_by_name) < self._sweep_at:
            return
        kept = {
            name: rate
            for name, rate in self._rates_by_name.items()
            if rate.per_second() > _FORGOTTEN_RATE
        }
        self._rates_by_name = kept
        self._sweep_at = max(_SWEEP_SIZE, 2 * len(kept))


class Residents:
    """The slots of one engine."""

    def __init__(self, slots: int, eviction: EvictionPolicy) -> None:
        """Hold up to ``slots`` adapters."""
        self.slots = slots
        self.popularity = Popularity()
        self.by_name: dict[str, Resident] = {}
        self._removed_by_name: dict[str, Resident] = {}
        self._worth = _WORTH[eviction]

    def ready(self, name: str) -> Resident | None:
        """Give the adapter if it can be dispatched to."""
        resident = self.by_name.get(name)
        if resident is None or resident.state is not ResidentState.READY:
            return None
        return resident

    def has_free_slot(self) -> bool:
        """Tell whether a load needs no eviction."""
        return len(self.by_name) < self.slots

    def add(self, name: str, state: ResidentState) -> Resident:
        """Give ``name`` a slot."""
        resident = self._removed_by_name.pop(name, None)
        if resident is None or not resident.pins:
            resident = Resident(name, state)
        resident.state = state
        resident.used_at = clock.now()
        self.by_name[name] = resident
        return resident

    def remove(self, name: str) -> None:
        """Free the slot of ``name``; its pins stay with it.

        An engine that restarted is noticed late. A request that reached it
        since then still runs, although all that it held is counted as lost.
        Were its pin forgotten, the adapter would be loaded again, seem
        unused and be evicted under the request.
        """
        resident = self.by_name.pop(name, None)
        if resident is not None and resident.pins:
            self._removed_by_name[name] = resident

    def victim(
        self,
        excluded: Iterable[str],
        allowed: Callable[[Resident], bool],
    ) -> Resident | None:
        """Give the ready, unpinned adapter that is worth least.

        :param excluded: names that must stay, such as those waited for
        :param allowed: tells whether an adapter may go at all
        """
        kept = set(excluded)
        candidates = [
            resident
            for resident in self.by_name.values()
            if resident.state is ResidentState.READY
            and not resident.pins
            and resident.name not in kept
            and allowed(resident)
        ]
        return min(candidates, key=self.worth, default=None)

    def worth(self, resident: Resident) -> tuple[float, float]:
        """Give what keeping an adapter is worth, as the policy sees it."""
        return self._worth(self, resident)


def _by_rate(residents: Residents, resident: Resident) -> tuple[float, float]:
    # Every adapter takes the same time to load again, so what an eviction
    # costs is how soon its next request comes.
    return residents.popularity.rate(resident.name), resident.used_at


def _by_use(_residents: Residents, resident: Resident) -> tuple[float, float]:
    return resident.used_at, 0


_WORTH: Final[
    dict[
        EvictionPolicy,
        Callable[[Residents, Resident], tuple[float, float]],
    ]
] = {
    EvictionPolicy.LEAST_VALUABLE: _by_rate,
    EvictionPolicy.LEAST_RECENT: _by_use,
}
