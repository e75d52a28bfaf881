"""Finds adapters that need more than one engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from flamingovalve.engines.owner import EngineOwner
    from flamingovalve.generated.messages import SpreadRumour
    from flamingovalve.generated.settings import SchedulingSettings
    from flamingovalve.routing.engines import OwnedEngines
    from flamingovalve.routing.placement import Placement

_WIDEN_SECONDS: Final = 2.0
_REPEAT_SECONDS: Final = 20.0
_WIDEST: Final = 8


class HotAdapters:
    """Widens the spread of adapters whose requests wait for seats.

    An adapter gains engines within seconds and loses them only a minute
    after the last sign of it, so a load that swings does not make
    adapters come and go.
    """

    def __init__(
        self,
        engines: OwnedEngines,
        placement: Placement,
        settings: SchedulingSettings,
    ) -> None:
        """Watch the queues of ``engines``."""
        self._engines = engines
        self._placement = placement
        self._settings = settings
        self._changed_at: dict[str, float] = {}

    def rumours(self) -> Iterator[SpreadRumour]:
        """Give the news of adapters that are hot now."""
        for owner in self._engines.owners():
            for name in self._hot_names(owner):
                yield from self._widen(name)

    def _hot_names(self, owner: EngineOwner) -> list[str]:
        scheduler = owner.scheduler
        longest = self._settings.hot_seconds
        moment = clock.now()
        return [
            name
            for name in scheduler.queue.names()
            if scheduler.residents.ready(name)
            and moment - scheduler.queue.head(name).entered_at > longest
        ]

    def _widen(self, name: str) -> Iterator[SpreadRumour]:
        moment = clock.now()
        spread = self._placement.spread(name)
        waited = moment - self._changed_at.get(name, float('-inf'))
        if spread < _WIDEST and waited > _WIDEN_SECONDS:
            spread += 1
        elif waited < _REPEAT_SECONDS:
            return
        self._changed_at[name] = moment
        yield self._placement.widen(name, spread)
