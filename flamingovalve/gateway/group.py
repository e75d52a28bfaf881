"""The engines of one group, and what choices among them rest on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingovalve.gateway import dispatch
from flamingovalve.gateway.engine import (
    EngineContext,
    OwnedEngine,
    OwnerCounts,
)
from flamingovalve.gateway.learning import LoadTimes
from flamingovalve.gateway.ledger import EngineLedger
from flamingovalve.gateway.orders import OrderChain
from flamingovalve.gateway.popularity import Popularity
from flamingovalve.generated.ids import ModelId
from flamingovalve.util import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import curio

    from flamingovalve.gateway.catalogue import Catalogue
    from flamingovalve.gateway.engine import EngineLink, EngineListener
    from flamingovalve.gateway.fencing import Fences
    from flamingovalve.gateway.model import EngineTraits, Upstream
    from flamingovalve.generated.ids import UpstreamId, VmId
    from flamingovalve.generated.messages import PlaceAsk
    from flamingovalve.generated.settings import GatewaySettings
    from flamingovalve.util.tasks import TaskSet


class EngineGroup:
    """Follows and orders the engines that one owner has.

    :ivar predecessor_ended: whether whoever owned the group before has
        provably stopped ordering
    :ivar orders_after: no engine that is taken up is ordered before this
        moment, on our clock
    """

    def __init__(
        self,
        settings: GatewaySettings,
        vm: VmId,
        fences: Fences,
        catalogue: Catalogue,
        link_to: Callable[[Upstream], EngineLink],
        tasks: TaskSet,
    ) -> None:
        """Have no engine yet.

        :param fences: finds the fencing numbers of orders
        :param link_to: opens the way to an engine
        """
        self.counts = OwnerCounts()
        self.popularity = Popularity()
        self.engines_by_id: dict[UpstreamId, OwnedEngine] = {}
        self.loads = LoadTimes(settings.adapter_load_seconds)
        self.predecessor_ended = False
        self.orders_after = 0.0
        self._is_new = True
        self._settings = settings
        self._vm = vm
        self._fences = fences
        self._catalogue = catalogue
        self._link_to = link_to
        self._tasks = tasks
        self._followers: dict[UpstreamId, curio.Task] = {}
        self._asked_by_model: dict[ModelId, int] = {}

    async def replace(
        self,
        upstreams: Iterable[Upstream],
        traits: EngineTraits,
        listener: EngineListener,
    ) -> None:
        """Have exactly ``upstreams`` from now on.

        :param listener: is told what happens on the engines
        """
        wanted = {upstream.id: upstream for upstream in upstreams}
        for name in list(self.engines_by_id):
            if name not in wanted:
                await self._release(name, listener)
        for name, upstream in wanted.items():
            known = self.engines_by_id.get(name)
            if known is None:
                await self._adopt(upstream, traits, listener)
            else:
                known.ledger.upstream = upstream
                known.ledger.traits = traits
        # Said of whoever owned the group before us; an engine that comes
        # later may come from a group whose owner lives.
        self.predecessor_ended = False
        self._is_new = False

    def hold_orders(self, seconds: float) -> None:
        """Order nothing for a while, nor let new engines be ordered."""
        until = clock.now() + seconds
        self.orders_after = max(self.orders_after, until)
        for engine in self.engines_by_id.values():
            chain = engine.ledger.chain
            chain.stands_down_until = max(chain.stands_down_until, until)

    def note_asked(self, ask: PlaceAsk) -> None:
        """Count a request for the popularity of its model and adapter."""
        if ask.model in self._models():
            asked = self._asked_by_model.get(ask.model, 0)
            self._asked_by_model[ask.model] = asked + 1
        if ask.adapter:
            self.popularity.note(ask.adapter)

    def ledgers(self) -> list[EngineLedger]:
        """Give what is known of each engine."""
        return [engine.ledger for engine in self.engines_by_id.values()]

    def usable(self) -> list[EngineLedger]:
        """Give the engines that take requests."""
        return [
            ledger
            for ledger in self.ledgers()
            if ledger.is_usable()
            and self._catalogue.takes_requests(ledger.upstream)
        ]

    def candidates(self, ask: PlaceAsk) -> list[EngineLedger]:
        """Give the engines that a request may go to."""
        return [
            ledger
            for ledger in self.usable()
            if ledger.upstream.id not in ask.avoided
        ]

    def choose(self, ask: PlaceAsk) -> dispatch.Choice | None:
        """Choose an engine for a request, if one has a place."""
        return dispatch.choose(
            ask,
            self.candidates(ask),
            self.popularity,
            self.version(ask),
        )

    def has_openings(self) -> bool:
        """Tell whether an adapter could be loaded now for who waits."""
        return dispatch.openings(self.usable(), self.popularity)

    def version(self, ask: PlaceAsk) -> int:
        """Give the version that a request's adapter must have; 0 for any."""
        return self._catalogue.wanted_version(ask.model, ask.adapter)

    async def _adopt(
        self,
        upstream: Upstream,
        traits: EngineTraits,
        listener: EngineListener,
    ) -> None:
        settings = self._settings
        chain = OrderChain(
            settings.lease_seconds,
            settings.report_lag_seconds,
            self.orders_after,
            predecessor_ended=self.predecessor_ended,
        )
        ledger = EngineLedger(
            upstream, traits, settings, chain, loads=self.loads
        )
        if self._is_new:
            # The claim exceeds those of whoever owned the group before.
            ledger.fence = self._fences.claimed
        context = EngineContext(
            self._vm,
            self._fences,
            self.counts,
            self.popularity,
            self._missing_model,
            listener,
        )
        engine = OwnedEngine(context, ledger, self._link_to(upstream))
        self.engines_by_id[upstream.id] = engine
        task = await self._tasks.spawn(engine.follow)
        self._followers[upstream.id] = task

    async def _release(
        self,
        name: UpstreamId,
        listener: EngineListener,
    ) -> None:
        engine = self.engines_by_id.pop(name)
        await self._followers.pop(name).cancel()
        for waiters in engine.waiting.values():
            await listener.requeue(waiters)
        engine.waiting.clear()

    def _missing_model(self, engine: EngineLedger) -> ModelId:
        """Give the model that an empty engine should load; empty for none."""
        ledgers = self.ledgers()
        model = dispatch.model_in_demand(ledgers, self._asked_by_model)
        if model in engine.at_hand or not dispatch.is_fetching(ledgers):
            return model
        return ModelId('')

    def _models(self) -> set[ModelId]:
        return {
            name for ledger in self.ledgers() for name in ledger.traits.models
        }
