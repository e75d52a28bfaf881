"""Placement of adapters on engines."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from flamingovalve.generated.ids import AdapterId, EngineId
from flamingovalve.generated.messages import SpreadRumour
from flamingovalve.generated.settings import PlacementPolicy
from flamingovalve.util import clock, hashing

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from flamingovalve.config.inventory import Inventory
    from flamingovalve.generated.ids import ModelId

_MAX_CACHED_ORDERS: Final = 20000
_MAX_ORDER_LENGTH: Final = 8
_SPREAD_SECONDS: Final = 60


class Placement:
    """Orders the engines of a model for each adapter version.

    Rendezvous hashing keeps an adapter on one engine, so it is loaded once.
    A hot adapter is spread over more engines: an owner of its engines sends
    a rumour and repeats it while the adapter is hot. Without repetition the
    spread expires.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        rng: random.Random,
    ) -> None:
        """Place adapters by ``policy``."""
        self._rng = rng
        self._choose = _CHOICE_BY_POLICY[policy]
        self._inventory: Inventory | None = None
        self._orders: OrderedDict[str, list[EngineId]] = OrderedDict()
        self._spreads: dict[str, tuple[float, SpreadRumour]] = {}
        self.in_progress_by_engine: dict[EngineId, int] = {}

    def replace_inventory(self, inventory: Inventory) -> None:
        """Use the engines of ``inventory`` from now on."""
        previous = self._inventory
        self._inventory = inventory
        if previous is None or _usable_engines(previous) != _usable_engines(
            inventory
        ):
            self._orders.clear()

    def order(self, name: str, model: ModelId) -> list[EngineId]:
        """Return the preferred engines of the adapter version ``name``."""
        known = self._orders.get(name)
        if known is not None:
            self._orders.move_to_end(name)
            return known
        order = self._compute(name, model)
        self._orders[name] = order
        if len(self._orders) > _MAX_CACHED_ORDERS:
            self._orders.popitem(last=False)
        return order

    def choose(
        self,
        name: str,
        model: ModelId,
        avoided: set[EngineId],
    ) -> EngineId | None:
        """Return the engine to try next, or None if none is left.

        :param avoided: engines to leave out, such as those that have failed
            the request
        """
        candidates = self.candidates(name, model)
        engine_ids = [engine for engine in candidates if engine not in avoided]
        return self._choose(self, name, engine_ids)

    def candidates(self, name: str, model: ModelId) -> list[EngineId]:
        """Return the engines that may be chosen, most preferred first."""
        return self.order(name, model)

    def spread(self, name: str) -> int:
        """Return the number of engines that an adapter version may use."""
        known = self._spreads.get(name)
        if known is None:
            return 1
        received_at, rumour = known
        if clock.now() - received_at > _SPREAD_SECONDS:
            del self._spreads[name]
            return 1
        return max(1, rumour.engines)

    def apply_rumour(self, rumour: SpreadRumour) -> bool:
        """Record an owner's rumour of a hot adapter.

        :returns: whether the rumour was newer than the known one
        """
        known = self._spreads.get(rumour.adapter)
        if known is not None and known[1].sequence >= rumour.sequence:
            return False
        self._spreads[rumour.adapter] = (clock.now(), rumour)
        return True

    def widen(self, name: str, engines: int) -> SpreadRumour:
        """Spread a hot adapter over ``engines`` engines.

        :returns: the rumour to send to other VMs
        """
        sequence = int(clock.wall() * 1000)
        rumour = SpreadRumour(AdapterId(name), engines, sequence)
        self.apply_rumour(rumour)
        return rumour

    def spreads(self) -> dict[str, int]:
        """Return the spread of each adapter that uses more than one engine."""
        return {
            name: self.spread(name)
            for name in list(self._spreads)
            if self.spread(name) > 1
        }

    @property
    def rng(self) -> random.Random:
        """Source of random choices."""
        return self._rng

    def _compute(self, name: str, model: ModelId) -> list[EngineId]:
        if self._inventory is None:
            return []
        engine_ids = self._inventory.engine_ids_by_model.get(model, [])
        engines = self._inventory.engines_by_id
        usable = [
            engine_id
            for engine_id in engine_ids
            if not engines[engine_id].leaving
        ]
        ranked = hashing.first(name, usable, _MAX_ORDER_LENGTH)
        return [EngineId(engine_id) for engine_id in ranked]


def _by_rendezvous(
    placement: Placement,
    name: str,
    engine_ids: list[EngineId],
) -> EngineId | None:
    if not engine_ids:
        return None
    return placement.rng.choice(engine_ids[: placement.spread(name)])


def _by_random_choice(
    placement: Placement,
    _name: str,
    engine_ids: list[EngineId],
) -> EngineId | None:
    return placement.rng.choice(engine_ids) if engine_ids else None


def _by_least_load(
    placement: Placement,
    _name: str,
    engine_ids: list[EngineId],
) -> EngineId | None:
    shuffled = placement.rng.sample(engine_ids, len(engine_ids))
    return min(
        shuffled,
        key=lambda engine: placement.in_progress_by_engine.get(engine, 0),
        default=None,
    )


_CHOICE_BY_POLICY: Final[
    dict[
        PlacementPolicy,
        Callable[[Placement, str, list[EngineId]], EngineId | None],
    ]
] = {
    PlacementPolicy.RENDEZVOUS: _by_rendezvous,
    PlacementPolicy.RANDOM: _by_random_choice,
    PlacementPolicy.LEAST_LOADED: _by_least_load,
}


def _usable_engines(
    inventory: Inventory,
) -> dict[ModelId, list[tuple[str, bool]]]:
    return {
        model: [
            (engine_id, inventory.engines_by_id[engine_id].leaving)
            for engine_id in engine_ids
        ]
        for model, engine_ids in inventory.engine_ids_by_model.items()
    }
