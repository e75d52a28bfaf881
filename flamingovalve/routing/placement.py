"""Which engine serves an adapter."""

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

_CACHED_ORDERS: Final = 20000
_ORDER_LENGTH: Final = 8
_SPREAD_SECONDS: Final = 60


class Placement:
    """Orders the engines of a model for each adapter version.

    Rendezvous keeps an adapter on one engine, so it is loaded once. A hot
    adapter gets more engines: the owner of its engines says so by a rumour
    and repeats it while that lasts; without repeats it fades.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        chance: random.Random,
    ) -> None:
        """Place by ``policy``."""
        self._chance = chance
        self._choose = _POLICIES[policy]
        self._inventory: Inventory | None = None
        self._orders: OrderedDict[str, list[EngineId]] = OrderedDict()
        self._spreads: dict[str, tuple[float, SpreadRumour]] = {}
        self.under_way: dict[EngineId, int] = {}

    def replace_inventory(self, inventory: Inventory) -> None:
        """Place over the engines of ``inventory`` from now on."""
        previous = self._inventory
        self._inventory = inventory
        if previous is None or _usable(previous) != _usable(inventory):
            self._orders.clear()

    def order(self, name: str, model: ModelId) -> list[EngineId]:
        """Give the first engines of the adapter version ``name``."""
        known = self._orders.get(name)
        if known is not None:
            self._orders.move_to_end(name)
            return known
        order = self._compute(name, model)
        self._orders[name] = order
        if len(self._orders) > _CACHED_ORDERS:
            self._orders.popitem(last=False)
        return order

    def choose(
        self,
        name: str,
        model: ModelId,
        avoided: set[EngineId],
    ) -> EngineId | None:
        """Give the engine to try next.

        :param avoided: engines that failed this request already
        """
        candidates = self.candidates(name, model)
        left = [engine for engine in candidates if engine not in avoided]
        return self._choose(self, name, left)

    def candidates(self, name: str, model: ModelId) -> list[EngineId]:
        """Give every engine that could be chosen, best first."""
        return self.order(name, model)

    def spread(self, name: str) -> int:
        """Give the number of engines that an adapter version may use."""
        known = self._spreads.get(name)
        if known is None:
            return 1
        heard_at, rumour = known
        if clock.now() - heard_at > _SPREAD_SECONDS:
            del self._spreads[name]
            return 1
        return max(1, rumour.engines)

    def hear(self, rumour: SpreadRumour) -> bool:
        """Take an owner's word on a hot adapter; tell if it was news."""
        known = self._spreads.get(rumour.adapter)
        if known is not None and known[1].sequence >= rumour.sequence:
            return False
        self._spreads[rumour.adapter] = (clock.now(), rumour)
        return True

    def widen(self, name: str, engines: int) -> SpreadRumour:
        """Give a hot adapter ``engines`` engines; give the rumour of it."""
        sequence = int(clock.wall() * 1000)
        rumour = SpreadRumour(AdapterId(name), engines, sequence)
        self.hear(rumour)
        return rumour

    def spreads(self) -> dict[str, int]:
        """Give the adapters that use more than one engine."""
        return {
            name: self.spread(name)
            for name in list(self._spreads)
            if self.spread(name) > 1
        }

    @property
    def chance(self) -> random.Random:
        """Give the source of random choices."""
        return self._chance

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
        ranked = hashing.first(name, usable, _ORDER_LENGTH)
        return [EngineId(engine_id) for engine_id in ranked]


def _by_rendezvous(
    placement: Placement,
    name: str,
    left: list[EngineId],
) -> EngineId | None:
    if not left:
        return None
    return placement.chance.choice(left[: placement.spread(name)])


def _at_random(
    placement: Placement,
    _name: str,
    left: list[EngineId],
) -> EngineId | None:
    return placement.chance.choice(left) if left else None


def _least_loaded(
    placement: Placement,
    _name: str,
    left: list[EngineId],
) -> EngineId | None:
    shuffled = placement.chance.sample(left, len(left))
    return min(
        shuffled,
        key=lambda engine: placement.under_way.get(engine, 0),
        default=None,
    )


_POLICIES: Final[
    dict[
        PlacementPolicy,
        Callable[[Placement, str, list[EngineId]], EngineId | None],
    ]
] = {
    PlacementPolicy.RENDEZVOUS: _by_rendezvous,
    PlacementPolicy.RANDOM: _at_random,
    PlacementPolicy.LEAST_LOADED: _least_loaded,
}


def _usable(inventory: Inventory) -> dict[ModelId, list[tuple[str, bool]]]:
    return {
        model: [
            (engine_id, inventory.engines_by_id[engine_id].leaving)
            for engine_id in engine_ids
        ]
        for model, engine_ids in inventory.engine_ids_by_model.items()
    }
