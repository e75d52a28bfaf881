"""Scheduling policies under comparison: the default and the baselines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.generated.settings import EvictionPolicy, PlacementPolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingovalve.generated.settings import Settings

    Tune = Callable[[Settings], None]


def _baseline(placement: PlacementPolicy) -> Tune:
    def tune(settings: Settings) -> None:
        settings.scheduling.placement = placement
        settings.scheduling.eviction = EvictionPolicy.LEAST_RECENT
        settings.scheduling.group_seconds = 0
        settings.scheduling.preemption = False

    return tune


def _default(_settings: Settings) -> None:
    """Keep the default settings."""


POLICIES: dict[str, Tune] = {
    'random + LRU': _baseline(PlacementPolicy.RANDOM),
    'least loaded + LRU': _baseline(PlacementPolicy.LEAST_LOADED),
    'rendezvous + LRU': _baseline(PlacementPolicy.RENDEZVOUS),
    'ours': _default,
}
