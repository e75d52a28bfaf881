"""Adapters that occupy slots of an engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingovalve.gateway.learning import ExpectedLoad
    from flamingovalve.generated.ids import AdapterId


class AdapterState(Enum):
    """State of an adapter on an engine.

    ``UNPROVEN`` means that its load was ordered and not answered, so that the
    engine may still load it.
    """

    LOADING = 'coming'
    RESIDENT = 'resident'
    UNLOADING = 'going'
    UNPROVEN = 'unproven'


@dataclass(slots=True)
class HeldAdapter:
    """One adapter that occupies a slot.

    :ivar uses: number of places that use it
    :ivar ready_at: when its load should be complete, on the monotonic clock
    :ivar replaces: the previous version, which stays if the load fails
    :ivar is_ordered: false while an order to load or unload it is queued or
        in flight; until then no report shows how the order ended
    :ivar load: the estimate for its load, until a request shows whether the
        adapter was loaded by then
    :ivar is_confirmed: whether a report or a request has confirmed it on the
        engine
    :ivar named: count of orders that its unproven load named
    """

    name: AdapterId
    version: int
    state: AdapterState
    uses: int = 0
    ready_at: float = 0
    used_at: float = 0
    replaces: HeldAdapter | None = None
    is_ordered: bool = True
    load: ExpectedLoad | None = None
    is_confirmed: bool = True
    named: int = 0

    def is_idle(self) -> bool:
        """Return whether the adapter can be evicted.

        An adapter that should be loaded by now may still be loading, and the
        engine cannot unload it until then.
        """
        if self.state is not AdapterState.RESIDENT or not self.is_confirmed:
            return False
        return not self.uses

    def awaits_unload(self) -> bool:
        """Return whether an order to unload it is about to be sent."""
        return self.state is AdapterState.UNLOADING and not self.is_ordered

    def may_occupy(self) -> bool:
        """Return whether the engine may hold it, in whatever version.

        The engine does not hold an adapter whose load is queued, unless the
        load replaces another version.
        """
        if self.state is not AdapterState.LOADING or self.is_ordered:
            return True
        return self.replaces is not None and self.replaces.may_occupy()

    def may_be_in_progress(self) -> bool:
        """Return whether the engine may be loading it already."""
        return self.state in {AdapterState.LOADING, AdapterState.UNPROVEN}
