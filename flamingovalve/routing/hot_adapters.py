"""Detection of adapters that need more than one engine."""

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

_WIDEN_INTERVAL_SECONDS: Final = 2.0
_REPEAT_INTERVAL_SECONDS: Final = 20.0
_MAX_SPREAD: Final = 8


class HotAdapters:
    """Widens the spread of adapters whose requests wait for seats.

    An adapter gains engines within seconds and loses them a minute after
    the last rumour that it is hot, so a fluctuating request rate does not
    cause repeated loads and evictions.
    """

    def __init__(
        self,
        engines: OwnedEngines,
        placement: Placement,
        settings: SchedulingSettings,
    ) -> None:
        """Detect hot adapters in the queues of ``engines``."""
        self._engines = engines
        self._placement = placement
        self._settings = settings
        self._changed_at: dict[str, float] = {}

    def rumours(self) -> Iterator[SpreadRumour]:
        """Yield the rumours that are due of adapters that are hot now."""
        for owner in self._engines.owners():
            for name in self._hot_names(owner):
                yield from self._widen(name)

    def _hot_names(self, owner: EngineOwner) -> list[str]:
        scheduler = owner.scheduler
        max_wait_seconds = self._settings.hot_seconds
        now = clock.now()
        return [
            name
            for name in scheduler.queue.names()
            if scheduler.residents.ready(name)
            and now - scheduler.queue.head(name).entered_at > max_wait_seconds
        ]

    def _widen(self, name: str) -> Iterator[SpreadRumour]:
        now = clock.now()
        spread = self._placement.spread(name)
        unchanged_seconds = now - self._changed_at.get(name, float('-inf'))
        if spread < _MAX_SPREAD and unchanged_seconds > _WIDEN_INTERVAL_SECONDS:
            spread += 1
        elif unchanged_seconds < _REPEAT_INTERVAL_SECONDS:
            return
        self._changed_at[name] = now
        yield self._placement.widen(name, spread)
